package swreplica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreach"
)

// maxDeferredFailures bounds the failures at the replicas of a data centre that are held back at a time.
const maxDeferredFailures = 1024

// deferredFailures holds the failures at replicas of a data centre while it is in doubt whether this VM's links are at fault. It is safe for
// concurrent use.
type deferredFailures struct {
	// count is the length of records. It avoids taking the lock for each response.
	count atomic.Int64

	mutex   sync.Mutex
	records []func(now time.Time)
}

// RecordFailure calls record once it is clear that this VM's links to the replica are not at fault for a failure: at once, when the data centre
// answers, or when a check has found them in order. It never does if they are lost.
func (replica *Replica) RecordFailure(now time.Time, record func(now time.Time)) {
	place := replica.place
	if !place.judge.Doubted() {
		record(now)
		return
	}
	failures := &place.failures
	failures.mutex.Lock()
	defer failures.mutex.Unlock()
	if place.mayConnect() && len(failures.records) < maxDeferredFailures {
		failures.records = append(failures.records, record)
		failures.count.Store(int64(len(failures.records)))
	}
}

// settleFailures records the deferred failures if the links are in order, and drops them if they are lost.
func (place *place) settleFailures(now time.Time) {
	state := place.judge.State()
	if place.failures.count.Load() == 0 || state == swreach.Checking {
		return
	}
	for _, record := range place.failures.takeAll() {
		if state == swreach.Reached {
			record(now)
		}
	}
}

// takeAll removes and returns all records.
func (failures *deferredFailures) takeAll() []func(now time.Time) {
	failures.mutex.Lock()
	defer failures.mutex.Unlock()
	records := failures.records
	failures.records = nil
	failures.count.Store(0)
	return records
}
