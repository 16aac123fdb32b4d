package swmember

import (
	"time"
)

// summary identifies a record and its content in a synchronization.
type summary struct {
	_ struct{} `cbor:",toarray"`

	ID  uint64
	Sum uint64
}

// digest returns a hash of the records. Record stores that differ have equal digests only by a hash collision.
func (recordStore *RecordStore) digest() uint64 {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	var digest uint64
	for _, bucket := range recordStore.buckets {
		digest ^= bucket
	}
	return digest
}

// digests returns the digest of each bucket.
func (recordStore *RecordStore) digests() []uint64 {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	return append([]uint64(nil), recordStore.buckets[:]...)
}

// sinceLastChange returns the time since a record was last accepted.
func (recordStore *RecordStore) sinceLastChange(now time.Time) time.Duration {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	return now.Sub(recordStore.lastChange)
}

// summaries lists at most limit records (or one bucket) in buckets whose digests differ from a peer's, and returns the bit set
// of these buckets. It lists whole buckets, so that a record missing from a listed bucket is missing from this store.
func (recordStore *RecordStore) summaries(digests []uint64, limit int) (listed uint64, list []summary) {
	if len(digests) != bucketCount {
		return 0, nil
	}
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	var parts [bucketCount][]summary
	now := time.Now()
	for id, stored := range recordStore.entries {
		bucket := id % bucketCount
		if digests[bucket] != recordStore.buckets[bucket] && recordStore.sendable(stored, now) {
			parts[bucket] = append(parts[bucket], summary{ID: id, Sum: stored.sum})
		}
	}
	for bucket, part := range parts {
		if digests[bucket] == recordStore.buckets[bucket] {
			continue
		}
		if len(list) > 0 && len(list)+len(part) > limit {
			continue
		}
		listed |= 1 << bucket
		list = append(list, part...)
	}
	return listed, list
}

// compare returns the records of the listed buckets that a peer lacks or holds in another version, up to the size of a
// message, and the IDs of those that this store lacks or holds in another version.
func (recordStore *RecordStore) compare(listed uint64, list []summary) (records []Record, wanted []uint64) {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	theirs := make(map[uint64]uint64, len(list))
	for _, item := range list {
		theirs[item.ID] = item.Sum
		stored, ok := recordStore.entries[item.ID]
		if !ok || stored.sum != item.Sum {
			wanted = append(wanted, item.ID)
		}
	}
	now := time.Now()
	size := 0
	for id, stored := range recordStore.entries {
		if listed&(1<<(id%bucketCount)) == 0 || size >= maxMessageSize || !recordStore.sendable(stored, now) {
			continue
		}
		if sum, ok := theirs[id]; !ok || sum != stored.sum {
			records = append(records, stored.withRemainingExpiry(now))
			size += stored.record.size()
		}
	}
	return records, wanted
}

// lookup returns the records with the given IDs, up to the size of a message.
func (recordStore *RecordStore) lookup(ids []uint64) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	size := 0
	var records []Record
	for _, id := range ids {
		stored, ok := recordStore.entries[id]
		if !ok || !recordStore.sendable(stored, now) {
			continue
		}
		records = append(records, stored.withRemainingExpiry(now))
		size += stored.record.size()
		if size >= maxMessageSize {
			break
		}
	}
	return records
}

// piggyback returns recent records to send with a probe or a probe reply to a peer.
func (recordStore *RecordStore) piggyback(peer string) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	size := 0
	var records []Record
	kept := recordStore.piggybackQueue[:0]
	for _, stored := range recordStore.piggybackQueue {
		if stored.remainingSends == 0 || !recordStore.sendable(stored, now) {
			continue
		}
		if size+stored.record.size() <= maxPiggybackSize && stored.source != peer {
			stored.remainingSends--
			size += stored.record.size()
			records = append(records, stored.withRemainingExpiry(now))
		}
		kept = append(kept, stored)
	}
	clear(recordStore.piggybackQueue[len(kept):])
	recordStore.piggybackQueue = kept
	return records
}

// takePushQueue removes and returns the entries to push next, up to the size of a message.
func (recordStore *RecordStore) takePushQueue() []*entry {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	size := 0
	var taken []*entry
	for len(recordStore.pushQueue) > 0 && size < maxMessageSize {
		next := recordStore.pushQueue[0]
		recordStore.pushQueue[0] = nil
		recordStore.pushQueue = recordStore.pushQueue[1:]
		if recordStore.sendable(next, now) {
			taken = append(taken, next)
			size += next.record.size()
		}
	}
	if len(recordStore.pushQueue) == 0 {
		recordStore.pushQueue = nil
	}
	return taken
}
