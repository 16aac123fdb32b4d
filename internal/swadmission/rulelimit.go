package swadmission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// ruleLimit is what a VM holds of one rule's limits: tokens borrowed from the allocator, or its fair share.
type ruleLimit struct {
	limiter  *Limiter
	rule     string
	rate     float64
	inFlight int

	mutex sync.Mutex
	// rateTokens are valid until rateExpires.
	rateTokens  float64
	rateExpires time.Time
	// allowed is the number of in-flight tokens held until allowedExpires; running of them are in use.
	allowed        int
	allowedExpires time.Time
	running        int
	waiters        []*ruleWaiter
	// dryUntil is when the allocator said to ask again.
	dryUntil time.Time
	// fairUntil is when the allocator is tried again after it could not be reached; fairFilled is when the fair share
	// of rate tokens was last added.
	fairUntil  time.Time
	fairFilled time.Time
	refilling  bool
	// requestedAt is when the allocator was asked last; leases count from then.
	requestedAt time.Time
	// usedAt is when the last request came or ended; ended is set when the limit was dropped for want of use.
	usedAt time.Time
	ended  bool
	// wake tells the refilling goroutine that a request came or went.
	wake chan struct{}
	// taken counts the requests started since the last request to the allocator.
	taken int
}

// ruleLimitIdle is how long an unused limit is kept.
const ruleLimitIdle = 10 * time.Second

// ruleEntry is what becomes of a request that asks for a rule's tokens: it has them when the entry is empty.
type ruleEntry struct {
	// waiter is set when the request waits.
	waiter *ruleWaiter
	// refusedFor is the time until tokens may come when the request is refused.
	refusedFor time.Duration
	// ended is set when the limit was dropped and must be looked up again.
	ended bool
}

type ruleWaiter struct {
	ready chan struct{}
}

func newRuleLimit(limiter *Limiter, decision *swrule.Decision) *ruleLimit {
	return &ruleLimit{
		limiter:  limiter,
		rule:     decision.ID,
		rate:     decision.RatePerSecond,
		inFlight: decision.InFlight,
		wake:     make(chan struct{}, 1),
	}
}

// enter takes tokens, queues the request, or refuses it.
func (limit *ruleLimit) enter(now time.Time, wait time.Duration) ruleEntry {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if limit.ended {
		return ruleEntry{ended: true}
	}
	limit.usedAt = now
	if len(limit.waiters) == 0 && limit.take(now) {
		return ruleEntry{}
	}
	if expected := limit.expected(now); expected > wait {
		return ruleEntry{refusedFor: expected}
	}
	waiter := &ruleWaiter{ready: make(chan struct{})}
	limit.waiters = append(limit.waiters, waiter)
	limit.refill()
	return ruleEntry{waiter: waiter}
}

// expected returns the shortest time in which a request that comes now can get its tokens.
func (limit *ruleLimit) expected(now time.Time) time.Duration {
	expected := time.Duration(0)
	if limit.rate > 0 {
		expected = time.Duration(float64(len(limit.waiters)) / limit.rate * float64(time.Second))
	}
	if len(limit.waiters) >= ruleWaiters {
		expected = max(expected, time.Minute)
	}
	return max(expected, limit.dryUntil.Sub(now))
}

// take uses one token of each limit when it has them.
func (limit *ruleLimit) take(now time.Time) bool {
	if limit.rate > 0 && (limit.rateTokens+tokenEpsilon < 1 || now.After(limit.rateExpires)) {
		return false
	}
	if limit.inFlight > 0 && (limit.running >= limit.allowed || now.After(limit.allowedExpires)) {
		return false
	}
	limit.rateTokens--
	limit.running++
	limit.taken++
	return true
}

// release ends a request that took tokens.
func (limit *ruleLimit) release() {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	now := time.Now()
	limit.running--
	limit.usedAt = now
	limit.grant(now)
	if len(limit.waiters) == 0 && limit.running == 0 {
		limit.signal()
	}
}

// grant hands tokens to waiting requests in order.
func (limit *ruleLimit) grant(now time.Time) {
	for len(limit.waiters) > 0 && limit.take(now) {
		close(limit.waiters[0].ready)
		limit.waiters[0] = nil
		limit.waiters = limit.waiters[1:]
	}
}

// withdraw takes the waiter out; granted tells that it had its tokens already.
func (limit *ruleLimit) withdraw(waiter *ruleWaiter) (retryAfter time.Duration, granted bool) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	for i, present := range limit.waiters {
		if present == waiter {
			limit.waiters = append(limit.waiters[:i], limit.waiters[i+1:]...)
			return limit.expected(time.Now()), false
		}
	}
	return 0, true
}

func (limit *ruleLimit) signal() {
	select {
	case limit.wake <- struct{}{}:
	default:
	}
}

// refill starts the goroutine that fetches tokens, or wakes it. The caller holds the mutex.
func (limit *ruleLimit) refill() {
	if limit.refilling {
		limit.signal()
		return
	}
	limit.refilling = true
	limit.limiter.group.Go(limit.run)
}

// run fetches and renews tokens until the limit has not been used for a while.
func (limit *ruleLimit) run(ctx context.Context) {
	for {
		switch limit.next(time.Now()) {
		case endUse:
			limit.limiter.limits.Delete(limit.rule)
			return
		case askAllocator:
			request := limit.request()
			reply, err := limit.limiter.fetch(ctx, &request)
			limit.settle(time.Now(), &reply, err)
		case addFairShare:
			limit.settleFair(time.Now())
		case doNothing:
		}
		if !limit.sleep(ctx) {
			return
		}
	}
}

// step is what the refilling goroutine does next.
type step int

const (
	doNothing    step = 0
	askAllocator step = 1
	addFairShare step = 2
	endUse       step = 3
)

func (limit *ruleLimit) next(now time.Time) step {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	switch {
	case limit.unused() && now.Sub(limit.usedAt) > ruleLimitIdle:
		limit.ended = true
		return endUse
	case now.Before(limit.fairUntil):
		return addFairShare
	case limit.unused() && limit.taken == 0:
		return doNothing
	default:
		return askAllocator
	}
}

// unused reports whether nothing waits, runs or is held.
func (limit *ruleLimit) unused() bool {
	return len(limit.waiters) == 0 && limit.running == 0 && limit.allowed == 0
}

// request returns what to ask for. In-flight tokens that are not in use count as given back from here on.
func (limit *ruleLimit) request() TokenRequest {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	now := time.Now()
	limit.requestedAt = now
	request := TokenRequest{Rule: limit.rule, RatePerSecond: limit.rate, InFlight: limit.inFlight}
	if limit.rate > 0 {
		request.WantRate = limit.wantRate(now)
	}
	if limit.inFlight > 0 {
		limit.allowed = min(limit.allowed, limit.running)
		request.Holding = limit.running
		request.WantInFlight = len(limit.waiters) + min(1, limit.taken)
	}
	limit.taken = 0
	return request
}

// wantRate is what waits, and as much as was taken since the last time, within a batch.
func (limit *ruleLimit) wantRate(now time.Time) int {
	left := limit.rateTokens
	if now.After(limit.rateExpires) {
		left = 0
	}
	want := float64(len(limit.waiters)+limit.taken) - left
	most := float64(batchOf(limit.rate)) - left
	return max(0, int(math.Ceil(min(want, most))))
}

// settle takes in the allocator's reply, or turns to the fair share.
func (limit *ruleLimit) settle(now time.Time, reply *TokenReply, err error) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if err != nil {
		limit.fairUntil, limit.fairFilled = now.Add(fairShareFor), now
		limit.addFair(now)
		return
	}
	if now.After(limit.rateExpires) {
		limit.rateTokens = 0
	}
	expires := limit.requestedAt.Add(reply.Lease)
	if reply.Rate > 0 {
		limit.rateTokens += float64(reply.Rate)
		limit.rateExpires = expires
	}
	if limit.inFlight > 0 {
		limit.allowed, limit.allowedExpires = reply.InFlight, expires
	}
	limit.dryUntil = now.Add(reply.RetryAfter)
	limit.grant(now)
}

// sleep waits until there is something to do.
func (limit *ruleLimit) sleep(ctx context.Context) bool {
	timer := time.NewTimer(limit.pause(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-limit.wake:
			timer.Reset(limit.pause(time.Now()))
		}
	}
}

// pause returns the time to the next step.
func (limit *ruleLimit) pause(now time.Time) time.Duration {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	switch {
	case now.Before(limit.fairUntil):
		return fairFillEvery
	case len(limit.waiters) > 0:
		return max(limit.requestedAt.Add(leastFetchPause).Sub(now), limit.dryUntil.Sub(now))
	case limit.rate > 0 && limit.taken > 0:
		return rateBatch / 2
	case limit.unused():
		return ruleLimitIdle
	case limit.running == 0:
		return inFlightRetry
	default:
		return renewEvery
	}
}

// leastFetchPause is the shortest time between two requests to the allocator.
const leastFetchPause = time.Millisecond

func (limit *ruleLimit) settleFair(now time.Time) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	limit.addFair(now)
}

// addFair adds this VM's fair share of the limits.
func (limit *ruleLimit) addFair(now time.Time) {
	if limit.rate > 0 {
		rate := limit.rate * limit.limiter.fairPart()
		if now.After(limit.rateExpires) {
			limit.rateTokens = 0
		}
		filled := rate * now.Sub(limit.fairFilled).Seconds()
		limit.rateTokens = min(max(1, rate*rateBatch.Seconds()), limit.rateTokens+filled)
		limit.rateExpires = now.Add(tokenLease)
	}
	limit.fairFilled = now
	if limit.inFlight > 0 {
		limit.allowed, limit.allowedExpires = limit.limiter.fairShare(limit.inFlight), now.Add(tokenLease)
	}
	limit.dryUntil = time.Time{}
	limit.grant(now)
}

// fairFillEvery is the time between two additions of the fair share.
const fairFillEvery = 10 * time.Millisecond
