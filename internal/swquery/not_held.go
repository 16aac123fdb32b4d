package swquery

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
)

const (
	// notHeldDuration is how long a server that did not hold a snapshot is ranked last for it.
	notHeldDuration = time.Second
	// notHeldPenalty is added to the expected latency of such a server.
	notHeldPenalty = time.Hour
)

// notHeldServers records which backend servers do not hold a snapshot, for example because they are still loading it. A record
// expires after notHeldDuration and does not affect other snapshots on the server. It is safe for concurrent use.
type notHeldServers struct {
	// count is the size of until. It avoids taking the lock while until is empty.
	count atomic.Int64

	mutex sync.Mutex
	until map[notHeldKey]time.Time
}

type notHeldKey struct {
	snapshot *swindex.Snapshot
	server   string
}

func newNotHeldServers() *notHeldServers {
	return &notHeldServers{until: make(map[notHeldKey]time.Time)}
}

func (notHeldServers *notHeldServers) add(now time.Time, snapshot *swindex.Snapshot, server string) {
	notHeldServers.mutex.Lock()
	defer notHeldServers.mutex.Unlock()
	for key, until := range notHeldServers.until {
		if !now.Before(until) {
			delete(notHeldServers.until, key)
		}
	}
	notHeldServers.until[notHeldKey{snapshot, server}] = now.Add(notHeldDuration)
	notHeldServers.count.Store(int64(len(notHeldServers.until)))
}

func (notHeldServers *notHeldServers) has(now time.Time, snapshot *swindex.Snapshot, server string) bool {
	if notHeldServers.count.Load() == 0 {
		return false
	}
	notHeldServers.mutex.Lock()
	defer notHeldServers.mutex.Unlock()
	until, known := notHeldServers.until[notHeldKey{snapshot, server}]
	return known && now.Before(until)
}

// RecordNotHeld makes plans for the snapshot rank the server last for notHeldDuration.
func (planner *Planner) RecordNotHeld(now time.Time, snapshot *swindex.Snapshot, server string) {
	planner.notHeld.add(now, snapshot, server)
}
