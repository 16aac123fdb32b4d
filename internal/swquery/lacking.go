package swquery

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
)

const (
	// lackingFor is how long a server that did not hold a snapshot is tried last for it.
	lackingFor = time.Second
	// lackingPenalty is added to the expected time of an answer of such a server.
	lackingPenalty = time.Hour
)

// lackingServers remembers for a while which backend servers do not hold a snapshot, as while it is being loaded. Other
// snapshots on the same servers are not concerned. It is safe for concurrent use.
type lackingServers struct {
	// count is the size of until, so that a calm time costs no lock.
	count atomic.Int64

	mutex sync.Mutex
	until map[lackingKey]time.Time
}

type lackingKey struct {
	snapshot *swindex.Snapshot
	server   string
}

func newLackingServers() *lackingServers {
	return &lackingServers{until: make(map[lackingKey]time.Time)}
}

func (lackingServers *lackingServers) add(now time.Time, snapshot *swindex.Snapshot, server string) {
	lackingServers.mutex.Lock()
	defer lackingServers.mutex.Unlock()
	for key, until := range lackingServers.until {
		if !now.Before(until) {
			delete(lackingServers.until, key)
		}
	}
	lackingServers.until[lackingKey{snapshot, server}] = now.Add(lackingFor)
	lackingServers.count.Store(int64(len(lackingServers.until)))
}

func (lackingServers *lackingServers) has(now time.Time, snapshot *swindex.Snapshot, server string) bool {
	if lackingServers.count.Load() == 0 {
		return false
	}
	lackingServers.mutex.Lock()
	defer lackingServers.mutex.Unlock()
	until, known := lackingServers.until[lackingKey{snapshot, server}]
	return known && now.Before(until)
}

// NoteLacking makes plans for the snapshot try the server last for a while.
func (planner *Planner) NoteLacking(now time.Time, snapshot *swindex.Snapshot, server string) {
	planner.lacking.add(now, snapshot, server)
}
