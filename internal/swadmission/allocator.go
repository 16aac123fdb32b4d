package swadmission

import (
	"math"
	"sync"
	"time"
)

const (
	// tokenLeaseTime is how long borrowed tokens are valid unless they are renewed.
	tokenLeaseTime = 2 * time.Second
	// rateBurstTime is the capacity of an allocator's token bucket, as the time in which the rate fills it.
	rateBurstTime = 100 * time.Millisecond
	// rateBatchTime is the size of a borrower's batch of rate tokens, as the time in which the rate yields it.
	rateBatchTime = 50 * time.Millisecond
	// allocationIdleTimeout is how long an allocator keeps the state of a rule that no VM borrows from.
	allocationIdleTimeout = time.Minute
	// batchesPerFairShare is the number of batches into which a VM's fair share of in-flight tokens is split.
	batchesPerFairShare = 2
)

// TokenRequest asks a rule's allocator for tokens. It contains all tokens in use by the borrower, so that a new allocator
// learns how many are lent.
type TokenRequest struct {
	Rule          string  `cbor:"1,keyasint"`
	Borrower      string  `cbor:"2,keyasint"`
	RatePerSecond float64 `cbor:"3,keyasint,omitempty"`
	InFlight      int     `cbor:"4,keyasint,omitempty"`
	// WantRate is the number of additional rate tokens that the borrower could use now.
	WantRate int `cbor:"5,keyasint,omitempty"`
	// Holding is the number of in-flight tokens used by running requests.
	Holding int `cbor:"6,keyasint,omitempty"`
	// WantInFlight is the number of in-flight tokens requested in addition to Holding.
	WantInFlight int `cbor:"7,keyasint,omitempty"`
	// Members is the number of live VMs in the data centre according to the borrower's view.
	Members int `cbor:"8,keyasint,omitempty"`
}

// TokenReply is the answer to a TokenRequest.
type TokenReply struct {
	// Rate is the number of rate tokens granted.
	Rate int `cbor:"1,keyasint,omitempty"`
	// InFlight is the number of in-flight tokens that the borrower now holds, including those in use.
	InFlight int `cbor:"2,keyasint,omitempty"`
	// Lease is how long the tokens are valid.
	Lease time.Duration `cbor:"3,keyasint"`
	// RetryAfter is how long to wait before asking again for tokens that were not granted.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// allocator lends the tokens of the rules that this VM allocates.
type allocator struct {
	mutex sync.Mutex
	rules map[string]*allocation
}

// allocation is the state of one rule's limits.
type allocation struct {
	startedAt  time.Time
	usedAt     time.Time
	rateTokens float64
	filledAt   time.Time
	// leases holds the in-flight tokens of each borrower.
	leases map[string]inFlightLease
}

// inFlightLease is the number of in-flight tokens that one VM holds until the lease expires.
type inFlightLease struct {
	tokens  int
	expires time.Time
}

func newAllocator() *allocator {
	return &allocator{rules: make(map[string]*allocation)}
}

// grant grants the tokens that the rule's limits allow.
func (allocator *allocator) grant(request *TokenRequest) TokenReply {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	now := time.Now()
	allocation := allocator.allocation(request.Rule, now)
	allocation.usedAt = now
	reply := TokenReply{Lease: tokenLeaseTime}
	if request.RatePerSecond > 0 && request.WantRate > 0 {
		reply.Rate, reply.RetryAfter = allocation.grantRate(now, request)
	}
	if request.InFlight > 0 {
		reply.InFlight = allocation.grantInFlight(now, request)
		if request.WantInFlight > 0 && reply.InFlight <= request.Holding {
			reply.RetryAfter = max(reply.RetryAfter, inFlightRetryDelay)
		}
	}
	return reply
}

// inFlightRetryDelay is the time after which a borrower that was granted no in-flight token asks again.
const inFlightRetryDelay = 20 * time.Millisecond

// allocation returns the state of a rule's limits. Before it adds a rule, it removes the idle ones.
func (allocator *allocator) allocation(rule string, now time.Time) *allocation {
	present := allocator.rules[rule]
	if present != nil {
		return present
	}
	for name, other := range allocator.rules {
		if now.Sub(other.usedAt) > allocationIdleTimeout {
			delete(allocator.rules, name)
		}
	}
	present = &allocation{startedAt: now, filledAt: now, rateTokens: 1, leases: make(map[string]inFlightLease)}
	allocator.rules[rule] = present
	return present
}

// grantRate grants rate tokens from a token bucket. The bucket starts with one token, so that a change of allocator
// exceeds the rate by at most one token.
func (allocation *allocation) grantRate(now time.Time, request *TokenRequest) (granted int, retryAfter time.Duration) {
	rate := request.RatePerSecond
	capacity := max(1, rate*rateBurstTime.Seconds())
	allocation.rateTokens = min(capacity, allocation.rateTokens+rate*now.Sub(allocation.filledAt).Seconds())
	allocation.filledAt = now
	granted = min(request.WantRate, maxRateBatch(rate), int(allocation.rateTokens+tokenEpsilon))
	allocation.rateTokens -= float64(granted)
	if granted > 0 {
		return granted, 0
	}
	missing := (1 - allocation.rateTokens) / rate
	return 0, time.Duration(missing*float64(time.Second)) + time.Microsecond
}

// maxRateBatch returns the maximum number of rate tokens that a borrower may hold.
func maxRateBatch(rate float64) int {
	return max(1, int(math.Ceil(rate*rateBatchTime.Seconds())))
}

// tokenEpsilon is the tolerance for rounding errors in sums of fractional tokens.
const tokenEpsilon = 1e-9

// grantInFlight renews the borrower's tokens and adds a batch if the limit allows. For one lease time after the first
// request, it grants no more than the borrower's fair share, because a new allocator does not know all borrowers yet.
func (allocation *allocation) grantInFlight(now time.Time, request *TokenRequest) int {
	lent := 0
	for name, lease := range allocation.leases {
		if now.After(lease.expires) {
			delete(allocation.leases, name)
			continue
		}
		if name != request.Borrower {
			lent += lease.tokens
		}
	}
	fairShare := max(1, request.InFlight/max(1, request.Members))
	available := request.InFlight - lent
	if now.Sub(allocation.startedAt) < tokenLeaseTime {
		available = min(available, fairShare)
	}
	batch := max(1, fairShare/batchesPerFairShare)
	tokens := max(request.Holding, min(available, request.Holding+min(batch, request.WantInFlight)))
	allocation.leases[request.Borrower] = inFlightLease{tokens: tokens, expires: now.Add(tokenLeaseTime)}
	if tokens == 0 {
		delete(allocation.leases, request.Borrower)
	}
	return tokens
}
