package swquarantine

import (
	"sync"
	"time"
)

// knownShards is the number of independently locked shards of a knownSet.
const knownShards = 32

// knownSet is a bounded set of fingerprints, each kept for one to two generations. A shard that is full starts its next
// generation early. The only effect of losing a fingerprint early is that a request may run as a canary first.
type knownSet struct {
	generation time.Duration
	limit      int
	shards     [knownShards]knownShard
}

// knownShard holds the fingerprints of the current generation and the previous one.
type knownShard struct {
	mutex     sync.Mutex
	current   map[uint64]struct{}
	previous  map[uint64]struct{}
	startedAt time.Time
}

func newKnownSet(generation time.Duration, limit int) *knownSet {
	return &knownSet{generation: generation, limit: max(1, limit/knownShards/2)}
}

func (knownSet *knownSet) shard(fingerprint uint64) *knownShard {
	return &knownSet.shards[fingerprint%knownShards]
}

// add adds a fingerprint, or renews it.
func (knownSet *knownSet) add(fingerprint uint64) {
	shard := knownSet.shard(fingerprint)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	knownSet.rotate(shard)
	shard.current[fingerprint] = struct{}{}
}

// has reports whether a fingerprint was added recently.
func (knownSet *knownSet) has(fingerprint uint64) bool {
	shard := knownSet.shard(fingerprint)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	knownSet.rotate(shard)
	if _, ok := shard.current[fingerprint]; ok {
		return true
	}
	_, ok := shard.previous[fingerprint]
	return ok
}

// rotate starts a new generation when the current one is full or has expired. The caller holds the shard's mutex.
func (knownSet *knownSet) rotate(shard *knownShard) {
	age := time.Since(shard.startedAt)
	if shard.current != nil && age < knownSet.generation && len(shard.current) < knownSet.limit {
		return
	}
	shard.previous = shard.current
	if age >= 2*knownSet.generation {
		shard.previous = nil
	}
	shard.current = make(map[uint64]struct{})
	shard.startedAt = time.Now()
}
