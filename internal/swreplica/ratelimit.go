package swreplica

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// nearRateFraction is the fraction of a replica's rate limit that the VMs in its own data centre share, since they send nearly all
	// requests: those for replicas of other regions go through them.
	nearRateFraction = 0.8
	// rateBurst is the time over which a VM may save up its share of a limit, beyond one request.
	rateBurst = 250 * time.Millisecond
	// maxTokenAge is how long a saved token may be used where a VM's share is below one request in that time. Otherwise, at hundreds of
	// VMs, the tokens that all of them have saved up are far more than the replica takes in seconds.
	maxTokenAge = time.Second
)

// rateShare returns this VM's share of the requests per second that a replica takes from all VMs together. The shares of all VMs add
// up to the limit. VMs do not tell each other what they use: each registered VM has its share whether or not it needs it.
func rateShare(limit float64, distance Distance, vmCounts VMCounts) float64 {
	far := vmCounts.Total - vmCounts.SameDataCentre
	switch {
	case far <= 0:
		return limit / float64(max(1, vmCounts.SameDataCentre))
	case vmCounts.SameDataCentre <= 0:
		return limit / float64(far)
	case distance == SameDataCentre:
		return nearRateFraction * limit / float64(vmCounts.SameDataCentre)
	}
	return (1 - nearRateFraction) * limit / float64(far)
}

// rateLimiter is a token bucket for the requests of this VM at one replica. It is for a replica in need that names the rate which it
// takes, while more requests arrive than that: requests without a token go to other replicas of the service, wait where the service
// has a queue, or are refused at once. It is safe for concurrent use; the zero value has no limit.
type rateLimiter struct {
	mutex sync.Mutex
	// limit is the number of requests per second that the replica takes from all VMs; zero if it named none.
	limit float64
	// share is this VM's share of the limit, and tokens the requests that could be sent at countedAt.
	share     float64
	tokens    float64
	countedAt time.Time
}

// set changes the limit and this VM's share of it, and returns the former limit. A zero limit means none. The first tokens are random:
// all VMs learn of a limit at about the same time, and would otherwise each send a request at once.
func (rateLimiter *rateLimiter) set(now time.Time, limit, share float64) (former float64) {
	rateLimiter.mutex.Lock()
	defer rateLimiter.mutex.Unlock()
	former = rateLimiter.limit
	switch {
	case limit == former && share == rateLimiter.share:
		return former
	case former == 0:
		rateLimiter.tokens = rand.Float64()
	default:
		rateLimiter.tokens = rateLimiter.available(now)
	}
	rateLimiter.limit, rateLimiter.share, rateLimiter.countedAt = limit, share, now
	return former
}

// isSet reports whether there is a limit.
func (rateLimiter *rateLimiter) isSet() bool {
	rateLimiter.mutex.Lock()
	defer rateLimiter.mutex.Unlock()
	return rateLimiter.limit > 0
}

// available returns the requests that may be sent now. The caller holds the mutex.
func (rateLimiter *rateLimiter) available(now time.Time) float64 {
	share := rateLimiter.share
	capacity := max(1, share*rateBurst.Seconds())
	tokens := rateLimiter.tokens + share*now.Sub(rateLimiter.countedAt).Seconds()
	if tokens <= capacity {
		return tokens
	}
	savedFor := (tokens - capacity) / share
	if share*maxTokenAge.Seconds() >= 1 || savedFor <= maxTokenAge.Seconds() {
		return capacity
	}
	// Each token that has lapsed is followed by another one, which is earned first.
	earning := 1 / share
	return min(1, share*math.Mod(savedFor-maxTokenAge.Seconds(), earning+maxTokenAge.Seconds()))
}

// take takes the token of one request. It returns false if the limit allows none now.
func (rateLimiter *rateLimiter) take(now time.Time) bool {
	rateLimiter.mutex.Lock()
	defer rateLimiter.mutex.Unlock()
	if rateLimiter.limit == 0 {
		return true
	}
	available := rateLimiter.available(now)
	if available < 1 {
		return false
	}
	rateLimiter.tokens, rateLimiter.countedAt = available-1, now
	return true
}

// wait returns how long it takes until the limit allows a request; zero if it allows one now.
func (rateLimiter *rateLimiter) wait(now time.Time) time.Duration {
	rateLimiter.mutex.Lock()
	defer rateLimiter.mutex.Unlock()
	if rateLimiter.limit == 0 {
		return 0
	}
	available := rateLimiter.available(now)
	if available >= 1 {
		return 0
	}
	// The microsecond covers rounding.
	return time.Duration((1-available)/rateLimiter.share*float64(time.Second)) + time.Microsecond
}
