package swadmission

import (
	"math"
	"sync"
	"time"
)

const (
	// tokenLease is how long borrowed tokens stay valid without being renewed.
	tokenLease = 2 * time.Second
	// rateBurst is the time whose rate tokens an allocator saves up.
	rateBurst = 100 * time.Millisecond
	// rateBatch is the time whose rate tokens a borrower may take at once.
	rateBatch = 50 * time.Millisecond
	// allocationIdle is how long an allocator remembers a rule that nobody borrows from.
	allocationIdle = time.Minute
	// inFlightBatches is the number of batches into which a VM's fair share of in-flight tokens is split.
	inFlightBatches = 2
)

// TokenRequest asks a rule's allocator for tokens of its limits. It states all that the borrower holds, so that a new
// allocator learns what is out.
type TokenRequest struct {
	Rule          string  `cbor:"1,keyasint"`
	Borrower      string  `cbor:"2,keyasint"`
	RatePerSecond float64 `cbor:"3,keyasint,omitempty"`
	InFlight      int     `cbor:"4,keyasint,omitempty"`
	// WantRate is the number of rate tokens that the borrower could use now.
	WantRate int `cbor:"5,keyasint,omitempty"`
	// Holding is the number of in-flight tokens in use by requests that run.
	Holding int `cbor:"6,keyasint,omitempty"`
	// WantInFlight is the number of in-flight tokens wanted beyond Holding.
	WantInFlight int `cbor:"7,keyasint,omitempty"`
	// Members is the number of live VMs of the data centre as the borrower sees it.
	Members int `cbor:"8,keyasint,omitempty"`
}

// TokenReply grants tokens.
type TokenReply struct {
	// Rate is the number of rate tokens granted.
	Rate int `cbor:"1,keyasint,omitempty"`
	// InFlight is the number of in-flight tokens that the borrower holds from now on, those in use included.
	InFlight int `cbor:"2,keyasint,omitempty"`
	// Lease is how long the tokens are valid.
	Lease time.Duration `cbor:"3,keyasint"`
	// RetryAfter is when to ask again for what was not granted.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// allocator hands out the tokens of the rules whose allocator this VM is.
type allocator struct {
	mutex sync.Mutex
	rules map[string]*allocation
}

// allocation is the state of one rule's limits.
type allocation struct {
	began     time.Time
	used      time.Time
	tokens    float64
	filled    time.Time
	borrowers map[string]borrowed
}

type borrowed struct {
	tokens  int
	expires time.Time
}

func newAllocator() *allocator {
	return &allocator{rules: make(map[string]*allocation)}
}

// serve grants what the rule's limits allow.
func (allocator *allocator) serve(request *TokenRequest) TokenReply {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	now := time.Now()
	allocation := allocator.allocation(request.Rule, now)
	allocation.used = now
	reply := TokenReply{Lease: tokenLease}
	if request.RatePerSecond > 0 && request.WantRate > 0 {
		reply.Rate, reply.RetryAfter = allocation.takeRate(now, request)
	}
	if request.InFlight > 0 {
		reply.InFlight = allocation.takeInFlight(now, request)
		if request.WantInFlight > 0 && reply.InFlight <= request.Holding {
			reply.RetryAfter = max(reply.RetryAfter, inFlightRetry)
		}
	}
	return reply
}

// inFlightRetry is the time after which a borrower that got no in-flight token asks again.
const inFlightRetry = 20 * time.Millisecond

func (allocator *allocator) allocation(rule string, now time.Time) *allocation {
	present := allocator.rules[rule]
	if present != nil {
		return present
	}
	for name, other := range allocator.rules {
		if now.Sub(other.used) > allocationIdle {
			delete(allocator.rules, name)
		}
	}
	present = &allocation{began: now, filled: now, tokens: 1, borrowers: make(map[string]borrowed)}
	allocator.rules[rule] = present
	return present
}

// takeRate grants rate tokens. The bucket starts with one, so that a new allocator adds next to nothing to what an
// earlier one handed out.
func (allocation *allocation) takeRate(now time.Time, request *TokenRequest) (granted int, retryAfter time.Duration) {
	rate := request.RatePerSecond
	most := max(1, rate*rateBurst.Seconds())
	allocation.tokens = min(most, allocation.tokens+rate*now.Sub(allocation.filled).Seconds())
	allocation.filled = now
	granted = min(request.WantRate, batchOf(rate), int(allocation.tokens+tokenEpsilon))
	allocation.tokens -= float64(granted)
	if granted > 0 {
		return granted, 0
	}
	missing := (1 - allocation.tokens) / rate
	return 0, time.Duration(missing*float64(time.Second)) + time.Microsecond
}

// batchOf returns the number of rate tokens that a borrower may hold.
func batchOf(rate float64) int {
	return max(1, int(math.Ceil(rate*rateBatch.Seconds())))
}

// tokenEpsilon absorbs rounding in sums of fractions of tokens.
const tokenEpsilon = 1e-9

// takeInFlight renews what the borrower holds and adds a batch when the limit has room. For one lease after its first
// request a new allocator adds no more than the borrower's fair share, since it does not know yet what is out.
func (allocation *allocation) takeInFlight(now time.Time, request *TokenRequest) int {
	out := 0
	for name, borrowed := range allocation.borrowers {
		if now.After(borrowed.expires) {
			delete(allocation.borrowers, name)
			continue
		}
		if name != request.Borrower {
			out += borrowed.tokens
		}
	}
	fair := max(1, request.InFlight/max(1, request.Members))
	room := request.InFlight - out
	if now.Sub(allocation.began) < tokenLease {
		room = min(room, fair)
	}
	batch := max(1, fair/inFlightBatches)
	tokens := max(request.Holding, min(room, request.Holding+min(batch, request.WantInFlight)))
	allocation.borrowers[request.Borrower] = borrowed{tokens: tokens, expires: now.Add(tokenLease)}
	if tokens == 0 {
		delete(allocation.borrowers, request.Borrower)
	}
	return tokens
}
