package swgateway

import (
	"math"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// unknownWait stands for a shard of which it is not known when it can be asked.
const unknownWait = time.Duration(math.MaxInt64)

// requiredShards returns the least number of answers that reach the minimum coverage.
func (call *call) requiredShards() int {
	required := 1
	for required < len(call.shards) && !call.coverageMet(required) {
		required++
	}
	return required
}

// retryAfter returns when a request that lacks services may be served: as soon as enough of them can be asked, if that is known. A search
// does not need all of its shards, so that the scarcest ones do not count while the others suffice.
func (call *call) retryAfter(now time.Time) time.Duration {
	reachable := 0
	var waits []time.Duration
	for i := range call.shards {
		if len(call.shards[i].replicas) > 0 {
			reachable++
			continue
		}
		waits = append(waits, call.soonest(i, func(replica *swreplica.Replica) time.Duration {
			if wait := call.readyIn(now, replica); wait > 0 {
				return wait
			}
			// The replica cannot be reached, and it is not known for how long.
			return unknownWait
		}))
	}
	wait := enoughAfter(waits, call.requiredShards()-reachable)
	if wait == unknownWait {
		return notReadyRetryAfter
	}
	return spreadRetryAfter(wait)
}

// rejectedRetryAfter returns when a search of which replicas have rejected too many parts may be served: as soon as enough of the shards
// that failed are expected to have capacity.
func (call *call) rejectedRetryAfter(now time.Time) time.Duration {
	var waits []time.Duration
	for i := range call.shards {
		if call.shards[i].answered || call.hasOpenAttempt(i) {
			continue
		}
		serviceLatency := call.handler.latencies.serviceLatency(call.shards[i].service)
		waits = append(waits, call.soonest(i, func(replica *swreplica.Replica) time.Duration {
			candidate := replica.Candidate(now, serviceLatency)
			return max(call.readyIn(now, replica), candidate.ObstacleWait())
		}))
	}
	wait := enoughAfter(waits, call.requiredShards()-(len(call.shards)-len(waits)))
	if wait == unknownWait {
		return notReadyRetryAfter
	}
	return wait
}

// hasOpenAttempt reports whether an attempt at a shard has no outcome yet.
func (call *call) hasOpenAttempt(shard int) bool {
	return slices.ContainsFunc(call.attempts, func(attempt attemptRecord) bool {
		return attempt.service == call.shards[shard].service && attempt.endedAt.IsZero()
	})
}

// soonest returns the least wait of a shard's replicas that are in use and stand where the request may be served.
func (call *call) soonest(shard int, wait func(replica *swreplica.Replica) time.Duration) time.Duration {
	least := unknownWait
	for _, replica := range call.handler.config.Replicas.ServiceReplicas(call.shards[shard].service) {
		if replica.InUse() && call.mayPlaceAt(replica) {
			least = min(least, wait(replica))
		}
	}
	return least
}

// enoughAfter returns after which of the waits as many of them as needed are over.
func enoughAfter(waits []time.Duration, needed int) time.Duration {
	if needed <= 0 {
		return 0
	}
	if needed > len(waits) {
		return unknownWait
	}
	slices.Sort(waits)
	return waits[needed-1]
}
