package swquarantine

import (
	"sync"
	"time"
)

// knownShards is the number of independently locked parts of a knownSet.
const knownShards = 32

// knownSet remembers fingerprints for one to two generations, within a bound of memory. Forgetting one early only makes
// a request go to one shard first.
type knownSet struct {
	generation time.Duration
	limit      int
	shards     [knownShards]knownShard
}

type knownShard struct {
	mutex    sync.Mutex
	present  map[uint64]struct{}
	previous map[uint64]struct{}
	began    time.Time
}

func newKnownSet(generation time.Duration, limit int) *knownSet {
	return &knownSet{generation: generation, limit: max(1, limit/knownShards/2)}
}

func (known *knownSet) shard(fingerprint uint64) *knownShard {
	return &known.shards[fingerprint%knownShards]
}

// add remembers a fingerprint.
func (known *knownSet) add(fingerprint uint64) {
	shard := known.shard(fingerprint)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known.turn(shard)
	shard.present[fingerprint] = struct{}{}
}

// has reports whether a fingerprint was added lately.
func (known *knownSet) has(fingerprint uint64) bool {
	shard := known.shard(fingerprint)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	known.turn(shard)
	if _, ok := shard.present[fingerprint]; ok {
		return true
	}
	_, ok := shard.previous[fingerprint]
	return ok
}

// turn begins a new generation when the present one is full or over.
func (known *knownSet) turn(shard *knownShard) {
	age := time.Since(shard.began)
	if shard.present != nil && age < known.generation && len(shard.present) < known.limit {
		return
	}
	shard.previous = shard.present
	if age >= 2*known.generation {
		shard.previous = nil
	}
	shard.present = make(map[uint64]struct{})
	shard.began = time.Now()
}
