package swreplica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swlimit"
)

// coldKeyPrefix begins the keys of cold replicas in the shared limits, which hold other keys as well.
const coldKeyPrefix = "cold/"

// coldLimits keeps the limits of cold replicas. A replica that gets more while it is cold may crash. It is safe for concurrent use.
type coldLimits struct {
	// shared holds this VM's part of each limit; nil if there are none.
	shared *swlimit.Pool
	// limitOf is PoolConfig.ColdLimit.
	limitOf func(service string) swlimit.Limit

	mutex sync.Mutex
	// limits holds the limits that are set in shared by key.
	limits map[string]coldLimit
}

// coldLimit is the limit of a cold replica.
type coldLimit struct {
	replica *Replica
	limit   swlimit.Limit
}

func newColdLimits(config *PoolConfig) coldLimits {
	return coldLimits{shared: config.Cold, limitOf: config.ColdLimit, limits: make(map[string]coldLimit)}
}

// apply sets or removes the limit of a replica, and reports whether it has one.
func (coldLimits *coldLimits) apply(now time.Time, replica *Replica, cold bool) bool {
	if coldLimits.shared == nil || !cold && !replica.coldLimited.Load() {
		return false
	}
	limit := swlimit.Limit{}
	if cold {
		limit = coldLimits.limitOf(replica.entry.Load().Service)
	}
	limited := limit != swlimit.Limit{}
	key := replica.coldKey()
	coldLimits.mutex.Lock()
	defer coldLimits.mutex.Unlock()
	replica.coldLimited.Store(limited)
	switch known := coldLimits.limits[key]; {
	case limited:
		if known.limit != limit {
			coldLimits.shared.Set(now, key, limit)
		}
		coldLimits.limits[key] = coldLimit{replica: replica, limit: limit}
	case known.replica == replica:
		// Otherwise the limit is that of a new process with the same ID.
		coldLimits.shared.Set(now, key, limit)
		delete(coldLimits.limits, key)
	}
	return limited
}

// prune removes the limits of replicas that are warm or retired.
func (coldLimits *coldLimits) prune(now time.Time) {
	coldLimits.mutex.Lock()
	limits := slices.Collect(maps.Values(coldLimits.limits))
	coldLimits.mutex.Unlock()
	for _, known := range limits {
		coldLimits.apply(now, known.replica, known.replica.isCold(now))
	}
}

// PruneCold removes the limits of replicas that are no longer cold and get no requests.
func (registry *Registry) PruneCold(now time.Time) {
	registry.config.Pool.cold.prune(now)
}

// coldKey is the same on all VMs.
func (replica *Replica) coldKey() string {
	return coldKeyPrefix + replica.ID()
}

// isCold reports whether the replica is cold.
func (replica *Replica) isCold(now time.Time) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return !replica.retired && now.Before(replica.warmUpEnd)
}

// Cold reports whether the replica is cold and takes no request from this VM now.
func (replica *Replica) Cold(now time.Time) bool {
	return replica.coldWait(now) > 0
}

// coldWait returns how long it takes until this VM may send a request to a cold replica; zero if it may now, or if the replica is warm.
func (replica *Replica) coldWait(now time.Time) time.Duration {
	cold := &replica.pool.cold
	if cold.shared == nil || !cold.apply(now, replica, replica.isCold(now)) {
		return 0
	}
	wait := cold.shared.Wait(now, replica.coldKey())
	if wait <= 0 && cold.shared.Holds(now, replica.coldKey()) < 1 {
		// The microsecond covers rounding.
		return time.Microsecond
	}
	return wait
}

// takeCold takes the place of one request at a cold replica. It returns false if this VM must not send one now.
func (replica *Replica) takeCold(now time.Time) bool {
	cold := &replica.pool.cold
	return cold.shared == nil || !cold.apply(now, replica, replica.isCold(now)) || cold.shared.Take(now, replica.coldKey())
}

// maxPlaceAge is how long after its admission a request may be sent to a cold replica without taking another place. Requests that wait for
// connections while the replica stalls must not arrive together afterwards, on top of those admitted then. Half of what the limit leaves
// above the rate covers those of this time.
const maxPlaceAge = 20 * time.Millisecond

// mayReachCold reports whether a request that was admitted at a time may still be sent to the replica. The place of one that waited for too
// long is lost.
func (replica *Replica) mayReachCold(now, admittedAt time.Time) bool {
	return now.Sub(admittedAt) <= maxPlaceAge || replica.takeCold(now)
}

// updateWarmUp applies how much longer the replica is cold by its entry. An entry may be older than what the replica said in a response, and
// then only extends it. The caller holds the mutex.
func (replica *Replica) updateWarmUp(now time.Time, left time.Duration) {
	if end := now.Add(left); end.After(replica.warmUpEnd) || !replica.saidWarmUp {
		replica.warmUpEnd, replica.saidWarmUp = end, false
	}
}

// observeWarmUp applies how much longer the replica is cold by one of its responses.
func (replica *Replica) observeWarmUp(now time.Time, report Report) {
	replica.mutex.Lock()
	wasCold := now.Before(replica.warmUpEnd)
	replica.warmUpEnd, replica.saidWarmUp = now.Add(report.WarmUpLeft), true
	replica.mutex.Unlock()
	if isCold := report.WarmUpLeft > 0; isCold && !wasCold {
		replica.pool.config.CountEvent("replicas_became_cold", 1)
		replica.reportLine(report).Dur("WarmUpLeft", report.WarmUpLeft).Msg("a replica has become cold")
	}
}
