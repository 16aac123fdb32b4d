package swmember

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// defaultMaxRecords bounds the records of a topic.
	defaultMaxRecords = 8192
	// maxTopics bounds the topics of a board.
	maxTopics = 16
	// bucketCount is the number of parts whose digests are compared in a synchronization.
	bucketCount = 64
	// leastExpiry is how much longer a record must stand to be worth sending.
	leastExpiry = time.Second
	// piggybackSends is how often a new record rides on probes and their replies.
	piggybackSends = 4
	// maxPiggyback is the size of records that ride on a probe, in bytes.
	maxPiggyback = 1 << 10
	// maxRecords is the size of records in one gossip message, in bytes.
	maxRecords = 32 << 10
)

// BoardConfig holds what a Board is built from.
type RecordStoreConfig struct {
	// MaxRecords bounds the records of each topic; records under new keys are refused beyond it. The default is 8192.
	MaxRecords int
}

// Board holds the records that gossip spreads. It is safe for concurrent use. Construct it with NewBoard.
type RecordStore struct {
	config RecordStoreConfig
	// wake has an element while there are records to push.
	wake chan struct{}

	mutex   sync.Mutex
	entries map[uint64]*entry
	topics  map[string]map[string]*entry
	buckets [bucketCount]uint64
	// fresh holds the entries still to be pushed, recent those that still ride on probes.
	fresh  []*entry
	recent []*entry
	// changed is when a record was last accepted.
	changed time.Time

	subscribersMutex sync.RWMutex
	subscribers      map[string][]func(Record)
}

// entry is a record on the board. All fields but sends are immutable.
type entry struct {
	record Record
	id     uint64
	sum    uint64
	// expires is the zero time for a record that stands for ever.
	expires time.Time
	// source is the name of the peer that sent the record, empty for this VM's own.
	source string
	// sends is how often the record still rides on probes.
	sends int
}

// NewBoard returns an empty board.
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

// Put publishes a record of this VM. It reports whether the record stands over what the board held. A record outside
// the bounds or beyond the board's capacity is not taken.
func (recordStore *RecordStore) Put(record Record) bool {
	return len(recordStore.merge("", []Record{record})) > 0
}

// Get returns the record under a topic and key.
func (recordStore *RecordStore) Get(topic, key string) (Record, bool) {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	present, ok := recordStore.topics[topic][key]
	if !ok || present.expired(time.Now()) {
		return Record{}, false
	}
	return present.outgoing(time.Now()), true
}

// Source returns the name of the peer that sent the record under a topic and key, or an empty string when this VM
// published it or holds none.
func (recordStore *RecordStore) Source(topic, key string) string {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	present, ok := recordStore.topics[topic][key]
	if !ok {
		return ""
	}
	return present.source
}

// Records returns the records of a topic in order of key.
func (recordStore *RecordStore) Records(topic string) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	records := make([]Record, 0, len(recordStore.topics[topic]))
	for _, present := range recordStore.topics[topic] {
		if !present.expired(now) {
			records = append(records, present.outgoing(now))
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Key, b.Key) })
	return records
}

// Subscribe calls receive for every record of a topic that is accepted from now on, whether from this VM or a peer.
// Calls may be concurrent and out of order; receive must not block.
func (recordStore *RecordStore) Subscribe(topic string, receive func(Record)) {
	recordStore.subscribersMutex.Lock()
	defer recordStore.subscribersMutex.Unlock()
	recordStore.subscribers[topic] = append(recordStore.subscribers[topic], receive)
}

// merge takes records from a peer and returns those that stand over what the board held.
func (recordStore *RecordStore) merge(source string, records []Record) []Record {
	accepted := recordStore.accept(source, records)
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

func (recordStore *RecordStore) accept(source string, records []Record) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	var accepted []Record
	for i := range records {
		if recordStore.store(source, &records[i], now) {
			accepted = append(accepted, records[i])
		}
	}
	if len(accepted) > 0 {
		recordStore.changed = now
	}
	return accepted
}

// store takes one record under the lock.
func (recordStore *RecordStore) store(source string, record *Record, now time.Time) bool {
	if !record.valid() {
		return false
	}
	id := record.id()
	present, ok := recordStore.entries[id]
	if ok && !record.Supersedes(&present.record) {
		return false
	}
	if !ok && !recordStore.hasRoom(record.Topic) {
		return false
	}
	next := &entry{record: *record, id: id, sum: record.sum(), source: source, sends: piggybackSends}
	if record.Expires > 0 {
		next.expires = now.Add(record.Expires)
	}
	if ok {
		recordStore.remove(present)
	}
	recordStore.add(next)
	recordStore.fresh = append(recordStore.fresh, next)
	recordStore.recent = append(recordStore.recent, next)
	return true
}

func (recordStore *RecordStore) hasRoom(topic string) bool {
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

// sweep removes expired records and returns them.
func (recordStore *RecordStore) sweep(now time.Time) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	var removed []Record
	for _, present := range recordStore.entries {
		if present.expired(now) {
			removed = append(removed, present.record)
			recordStore.remove(present)
		}
	}
	return removed
}

func (entry *entry) expired(now time.Time) bool {
	return !entry.expires.IsZero() && !entry.expires.After(now)
}

// outgoing returns the record with the time that it still stands.
func (entry *entry) outgoing(now time.Time) Record {
	record := entry.record
	if !entry.expires.IsZero() {
		record.Expires = max(entry.expires.Sub(now), time.Nanosecond)
	}
	return record
}

// sendable reports whether the entry is still on the board and stands long enough to be worth sending.
func (recordStore *RecordStore) sendable(entry *entry, now time.Time) bool {
	if recordStore.entries[entry.id] != entry {
		return false
	}
	return entry.expires.IsZero() || entry.expires.Sub(now) >= leastExpiry
}
