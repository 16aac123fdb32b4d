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
func (board *Board) digest() uint64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var digest uint64
	for _, bucket := range board.buckets {
		digest ^= bucket
	}
	return digest
}

// digests returns the digest of each bucket.
func (board *Board) digests() []uint64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return append([]uint64(nil), board.buckets[:]...)
}

// quietFor returns how long ago a record was last accepted.
func (board *Board) quietFor(now time.Time) time.Duration {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return now.Sub(board.changed)
}

// summaries lists at most limit records in the buckets whose digests differ from a peer's. Whole buckets are listed, so
// that a record absent from a listed bucket is one that this board lacks; listed has a bit for each of them.
func (board *Board) summaries(digests []uint64, limit int) (listed uint64, list []summary) {
	if len(digests) != bucketCount {
		return 0, nil
	}
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var parts [bucketCount][]summary
	now := time.Now()
	for id, present := range board.entries {
		bucket := id % bucketCount
		if digests[bucket] != board.buckets[bucket] && board.sendable(present, now) {
			parts[bucket] = append(parts[bucket], summary{ID: id, Sum: present.sum})
		}
	}
	for bucket, part := range parts {
		if digests[bucket] == board.buckets[bucket] {
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
func (board *Board) compare(listed uint64, list []summary) (records []Record, wanted []uint64) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	theirs := make(map[uint64]uint64, len(list))
	for _, item := range list {
		theirs[item.ID] = item.Sum
		present, ok := board.entries[item.ID]
		if !ok || present.sum != item.Sum {
			wanted = append(wanted, item.ID)
		}
	}
	now := time.Now()
	size := 0
	for id, present := range board.entries {
		if listed&(1<<(id%bucketCount)) == 0 || size >= maxRecords || !board.sendable(present, now) {
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
func (board *Board) lookup(ids []uint64) []Record {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := time.Now()
	size := 0
	var records []Record
	for _, id := range ids {
		present, ok := board.entries[id]
		if !ok || !board.sendable(present, now) {
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
func (board *Board) piggyback(peer string) []Record {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := time.Now()
	size := 0
	var records []Record
	kept := board.recent[:0]
	for _, present := range board.recent {
		if present.sends == 0 || !board.sendable(present, now) {
			continue
		}
		if size+present.record.size() <= maxPiggyback && present.source != peer {
			present.sends--
			size += present.record.size()
			records = append(records, present.outgoing(now))
		}
		kept = append(kept, present)
	}
	clear(board.recent[len(kept):])
	board.recent = kept
	return records
}

// takeFresh removes the entries to push next, up to the bound of a message.
func (board *Board) takeFresh() []*entry {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	now := time.Now()
	size := 0
	var taken []*entry
	for len(board.fresh) > 0 && size < maxRecords {
		next := board.fresh[0]
		board.fresh[0] = nil
		board.fresh = board.fresh[1:]
		if board.sendable(next, now) {
			taken = append(taken, next)
			size += next.record.size()
		}
	}
	if len(board.fresh) == 0 {
		board.fresh = nil
	}
	return taken
}
