package swmember

import (
	"time"
)

// summary names a record and its content in a synchronization.
type summary struct {
	_ struct{} `cbor:",toarray"`

	ID  uint64
	Sum uint64
}

// digest returns one number that is equal, but for rare collisions, on boards that hold the same records.
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

// quietFor returns how long ago a record was last accepted.
func (recordStore *RecordStore) quietFor(now time.Time) time.Duration {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	return now.Sub(recordStore.changed)
}

// summaries lists at most limit records in the buckets whose digests differ from a peer's. Whole buckets are listed, so
// that a record absent from a listed bucket is one that this board lacks; listed has a bit for each of them.
func (recordStore *RecordStore) summaries(digests []uint64, limit int) (listed uint64, list []summary) {
	if len(digests) != bucketCount {
		return 0, nil
	}
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	var parts [bucketCount][]summary
	now := time.Now()
	for id, present := range recordStore.entries {
		bucket := id % bucketCount
		if digests[bucket] != recordStore.buckets[bucket] && recordStore.sendable(present, now) {
			parts[bucket] = append(parts[bucket], summary{ID: id, Sum: present.sum})
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

// compare returns the records of the listed buckets that a peer lacks or holds differently, up to the bound of a
// message, and the IDs of those that this board lacks or holds differently.
func (recordStore *RecordStore) compare(listed uint64, list []summary) (records []Record, wanted []uint64) {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	theirs := make(map[uint64]uint64, len(list))
	for _, item := range list {
		theirs[item.ID] = item.Sum
		present, ok := recordStore.entries[item.ID]
		if !ok || present.sum != item.Sum {
			wanted = append(wanted, item.ID)
		}
	}
	now := time.Now()
	size := 0
	for id, present := range recordStore.entries {
		if listed&(1<<(id%bucketCount)) == 0 || size >= maxRecords || !recordStore.sendable(present, now) {
			continue
		}
		if sum, ok := theirs[id]; !ok || sum != present.sum {
			records = append(records, present.outgoing(now))
			size += present.record.size()
		}
	}
	return records, wanted
}

// lookup returns the records with the given IDs, up to the bound of a message.
func (recordStore *RecordStore) lookup(ids []uint64) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	size := 0
	var records []Record
	for _, id := range ids {
		present, ok := recordStore.entries[id]
		if !ok || !recordStore.sendable(present, now) {
			continue
		}
		records = append(records, present.outgoing(now))
		size += present.record.size()
		if size >= maxRecords {
			break
		}
	}
	return records
}

// piggyback returns recent records that ride on a probe to a peer.
func (recordStore *RecordStore) piggyback(peer string) []Record {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	size := 0
	var records []Record
	kept := recordStore.recent[:0]
	for _, present := range recordStore.recent {
		if present.sends == 0 || !recordStore.sendable(present, now) {
			continue
		}
		if size+present.record.size() <= maxPiggyback && present.source != peer {
			present.sends--
			size += present.record.size()
			records = append(records, present.outgoing(now))
		}
		kept = append(kept, present)
	}
	clear(recordStore.recent[len(kept):])
	recordStore.recent = kept
	return records
}

// takeFresh removes the entries to push next, up to the bound of a message.
func (recordStore *RecordStore) takeFresh() []*entry {
	recordStore.mutex.Lock()
	defer recordStore.mutex.Unlock()
	now := time.Now()
	size := 0
	var taken []*entry
	for len(recordStore.fresh) > 0 && size < maxRecords {
		next := recordStore.fresh[0]
		recordStore.fresh[0] = nil
		recordStore.fresh = recordStore.fresh[1:]
		if recordStore.sendable(next, now) {
			taken = append(taken, next)
			size += next.record.size()
		}
	}
	if len(recordStore.fresh) == 0 {
		recordStore.fresh = nil
	}
	return taken
}
