package swmember

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// defaultMaxRecords is the default of RecordStoreConfig.MaxRecords.
	defaultMaxRecords = 8192
	// maxTopics bounds the number of topics.
	maxTopics = 16
	// bucketCount is the number of hash buckets whose digests are compared in a synchronization.
	bucketCount = 64
	// minRemainingExpiry is the remaining lifetime below which a record is no longer sent.
	minRemainingExpiry = time.Second
	// piggybackSends is the number of probes and probe replies that carry a new record.
	piggybackSends = 4
	// maxPiggybackSize bounds the records in a probe or probe reply, in bytes.
	maxPiggybackSize = 1 << 10
	// maxMessageSize is the size of records, in bytes, from which no more are added to a gossip message.
	maxMessageSize = 32 << 10
)

// RecordStoreConfig configures a RecordStore.
type RecordStoreConfig struct {
	// MaxRecords bounds the records of each topic; a full topic accepts no new keys. The default is 8192.
	MaxRecords int
}

// RecordStore holds the records that gossip replicates to every VM. It is safe for concurrent use. Construct it with
// NewRecordStore.
type RecordStore struct {
	config RecordStoreConfig
	// wake holds a signal while there are records to push.
	wake chan struct{}

	mutex sync.Mutex
	// entries holds the records by ID, topics by topic and key.
	entries map[uint64]*entry
	topics  map[string]map[string]*entry
	// buckets holds the XOR of the checksums of the records in each hash bucket.
	buckets [bucketCount]uint64
	// pushQueue holds the entries that have not been pushed yet, piggybackQueue those that probes still carry.
	pushQueue      []*entry
	piggybackQueue []*entry
	// lastChange is when a record was last accepted.
	lastChange time.Time

	subscribersMutex sync.RWMutex
	subscribers      map[string][]func(Record)
}

// entry is a stored record. All fields but remainingSends are immutable.
type entry struct {
	record Record
	id     uint64
	sum    uint64
	// expires is the zero time for a record that does not expire.
	expires time.Time
	// source is the name of the peer that sent the record; it is empty for a record of this VM.
	source string
	// remainingSends is the number of probes and probe replies that still carry the record.
	remainingSends int
}

// NewRecordStore returns an empty record store.
func NewRecordStore(config RecordStoreConfig) *RecordStore {
	if config.MaxRecords <= 0 {
		config.MaxRecords = defaultMaxRecords
	}
	return &RecordStore{
		config:      config,
		wake:        make(chan struct{}, 1),
		entries:     make(map[uint64]*entry),
		topics:      make(map[string]map[string]*entry),
		subscribers: make(map[string][]func(Record)),
	}
}

// Put publishes a record of this VM. It reports whether the record was accepted: it supersedes the stored one, is within
// the size bounds, and fits the store's capacity.
func (recordStore *RecordStore) Put(record Record) bool {
	return len(recordStore.merge("", []Record{record})) > 0
}

// Get returns the record with the given topic and key.
func (recordStore *RecordStore) Get(topic, key string) (Record, bool) {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	stored, ok := recordStore.topics[topic][key]
	if !ok || stored.expired(time.Now()) {
		return Record{}, false
	}
	return stored.withRemainingExpiry(time.Now()), true
}

// Source returns the name of the peer that sent the record with the given topic and key. It returns an empty string when
// this VM published the record or holds none.
func (recordStore *RecordStore) Source(topic, key string) string {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	stored, ok := recordStore.topics[topic][key]
	if !ok {
		return ""
	}
	return stored.source
}

// Records returns the records of a topic, sorted by key.
func (recordStore *RecordStore) Records(topic string) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	records := make([]Record, 0, len(recordStore.topics[topic]))
	for _, stored := range recordStore.topics[topic] {
		if !stored.expired(now) {
			records = append(records, stored.withRemainingExpiry(now))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// Subscribe registers receive to be called with every record of a topic that is accepted from now on, from this VM or a
// peer. Calls may be concurrent and out of order; receive must not block.
func (recordStore *RecordStore) Subscribe(topic string, receive func(Record)) {
	recordStore.subscribersMutex.Lock()
	defer recordStore.subscribersMutex.Unlock()
	recordStore.subscribers[topic] = append(recordStore.subscribers[topic], receive)
}

// merge stores records from a peer, wakes the push loop, calls the subscribers, and returns the accepted records.
func (recordStore *RecordStore) merge(source string, records []Record) []Record {
	accepted := recordStore.storeAll(source, records)
	if len(accepted) == 0 {
		return nil
	}
	select {
	case recordStore.wake <- struct{}{}:
	default:
	}
	recordStore.subscribersMutex.RLock()
	defer recordStore.subscribersMutex.RUnlock()
	for _, record := range accepted {
		for _, receive := range recordStore.subscribers[record.Topic] {
			receive(record)
		}
	}
	return accepted
}

func (recordStore *RecordStore) storeAll(source string, records []Record) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	var accepted []Record
	for i := range records {
		if recordStore.storeIfNewer(source, &records[i], now) {
			accepted = append(accepted, records[i])
		}
	}
	if len(accepted) > 0 {
		recordStore.lastChange = now
	}
	return accepted
}

// storeIfNewer stores a record if it supersedes the stored one. The caller holds the mutex.
func (recordStore *RecordStore) storeIfNewer(source string, record *Record, now time.Time) bool {
	if !record.valid() {
		return false
	}
	id := record.id()
	stored, ok := recordStore.entries[id]
	if ok && !record.Supersedes(&stored.record) {
		return false
	}
	if !ok && !recordStore.hasCapacity(record.Topic) {
		return false
	}
	next := &entry{record: *record, id: id, sum: record.sum(), source: source, remainingSends: piggybackSends}
	if record.Expires > 0 {
		next.expires = now.Add(record.Expires)
	}
	if ok {
		recordStore.remove(stored)
	}
	recordStore.add(next)
	recordStore.pushQueue = append(recordStore.pushQueue, next)
	recordStore.piggybackQueue = append(recordStore.piggybackQueue, next)
	return true
}

func (recordStore *RecordStore) hasCapacity(topic string) bool {
	records, ok := recordStore.topics[topic]
	if !ok {
		return len(recordStore.topics) < maxTopics
	}
	return len(records) < recordStore.config.MaxRecords
}

func (recordStore *RecordStore) add(added *entry) {
	topic, ok := recordStore.topics[added.record.Topic]
	if !ok {
		topic = make(map[string]*entry)
		recordStore.topics[added.record.Topic] = topic
	}
	topic[added.record.Key] = added
	recordStore.entries[added.id] = added
	recordStore.buckets[added.id%bucketCount] ^= added.sum
}

func (recordStore *RecordStore) remove(removed *entry) {
	delete(recordStore.topics[removed.record.Topic], removed.record.Key)
	delete(recordStore.entries, removed.id)
	recordStore.buckets[removed.id%bucketCount] ^= removed.sum
}

// removeExpired removes the expired records and returns them.
func (recordStore *RecordStore) removeExpired(now time.Time) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	var removed []Record
	for _, stored := range recordStore.entries {
		if stored.expired(now) {
			removed = append(removed, stored.record)
			recordStore.remove(stored)
		}
	}
	return removed
}

func (entry *entry) expired(now time.Time) bool {
	return !entry.expires.IsZero() && !entry.expires.After(now)
}

// withRemainingExpiry returns the record with Expires set to its remaining lifetime.
func (entry *entry) withRemainingExpiry(now time.Time) Record {
	record := entry.record
	if !entry.expires.IsZero() {
		record.Expires = max(entry.expires.Sub(now), time.Nanosecond)
	}
	return record
}

// sendable reports whether the entry is still stored and does not expire too soon to be sent.
func (recordStore *RecordStore) sendable(entry *entry, now time.Time) bool {
	if recordStore.entries[entry.id] != entry {
		return false
	}
	return entry.expires.IsZero() || entry.expires.Sub(now) >= minRemainingExpiry
}
