package swquery

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// unreachingServers is the number of servers of a data centre that an owner must fail to reach, while it reaches none there, until its links
	// and not the servers are taken to be at fault.
	unreachingServers = 2
	// unreachingDuration is how long such an owner is passed over since it last failed to reach one.
	unreachingDuration = 2 * time.Second
)

// ownerLinks records which owners don't reach the servers of a data centre, as their answers show. It is safe for concurrent use.
type ownerLinks struct {
	// count is the size of failures. It avoids taking the lock while there are none.
	count atomic.Int64

	mutex    sync.Mutex
	failures map[ownerLink]*linkFailures
}

// ownerLink is an owner and the data centre of servers.
type ownerLink struct {
	owner, dataCentre string
}

// linkFailures are the servers that an owner could not reach since it last reached one.
type linkFailures struct {
	servers map[string]struct{}
	latest  time.Time
}

func newOwnerLinks() *ownerLinks {
	return &ownerLinks{failures: make(map[ownerLink]*linkFailures)}
}

// recordReached records that an owner reached a server.
func (ownerLinks *ownerLinks) recordReached(link ownerLink) {
	if ownerLinks.count.Load() == 0 {
		return
	}
	ownerLinks.mutex.Lock()
	defer ownerLinks.mutex.Unlock()
	delete(ownerLinks.failures, link)
	ownerLinks.count.Store(int64(len(ownerLinks.failures)))
}

// recordUnreached records that an owner could not reach a server, and reports whether its links are taken to be at fault.
func (ownerLinks *ownerLinks) recordUnreached(now time.Time, link ownerLink, server string) bool {
	ownerLinks.mutex.Lock()
	defer ownerLinks.mutex.Unlock()
	for key, failures := range ownerLinks.failures {
		if now.Sub(failures.latest) >= unreachingDuration {
			delete(ownerLinks.failures, key)
		}
	}
	failures, ok := ownerLinks.failures[link]
	if !ok {
		failures = &linkFailures{servers: make(map[string]struct{})}
		ownerLinks.failures[link] = failures
	}
	failures.servers[server], failures.latest = struct{}{}, now
	ownerLinks.count.Store(int64(len(ownerLinks.failures)))
	return len(failures.servers) >= unreachingServers
}

// lost reports whether the links of an owner to a data centre are taken to be at fault.
func (ownerLinks *ownerLinks) lost(now time.Time, link ownerLink) bool {
	if ownerLinks.count.Load() == 0 {
		return false
	}
	ownerLinks.mutex.Lock()
	defer ownerLinks.mutex.Unlock()
	failures, ok := ownerLinks.failures[link]
	return ok && len(failures.servers) >= unreachingServers && now.Sub(failures.latest) < unreachingDuration
}

// RecordReached records that an owner reached a server.
func (planner *Planner) RecordReached(owner, server string) {
	if planner.links.count.Load() == 0 {
		return
	}
	if known, ok := planner.registry.Servers().Server(server); ok {
		planner.links.recordReached(ownerLink{owner, known.DataCentre})
	}
}

// RecordUnreached records that an owner could not reach a server, and reports whether the owner's links are taken to be at fault. Plans then use
// other VMs for the server's data centre.
func (planner *Planner) RecordUnreached(now time.Time, owner, server string) bool {
	known, ok := planner.registry.Servers().Server(server)
	return ok && planner.links.recordUnreached(now, ownerLink{owner, known.DataCentre}, server)
}
