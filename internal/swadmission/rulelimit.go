package swadmission

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// ruleLimit holds the tokens that this VM has for one rule's limits, from the allocator or as its fair share.
type ruleLimit struct {
	limiter  *Limiter
	rule     string
	rate     float64
	inFlight int

	mutex sync.Mutex
	// rateTokens is the number of rate tokens, valid until rateExpiresAt.
	rateTokens    float64
	rateExpiresAt time.Time
	// inFlightTokens is the number of in-flight tokens, valid until inFlightExpiresAt. running of them are in use.
	inFlightTokens    int
	inFlightExpiresAt time.Time
	running           int
	waiters           []*ruleWaiter
	// retryAt is when the allocator may be asked again for tokens that it did not grant.
	retryAt time.Time
	// fairShareUntil is when the allocator is tried again after it was unreachable. fairFilledAt is when the fair share of
	// rate tokens was last added.
	fairShareUntil time.Time
	fairFilledAt   time.Time
	refilling      bool
	// requestedAt is when the latest request to the allocator was sent. The leases that it grants start then.
	requestedAt time.Time
	// usedAt is when the latest request arrived or ended. removed is true once the limit was removed as idle.
	usedAt  time.Time
	removed bool
	// wake receives a signal for the refilling goroutine after a request arrived or the last one ended.
	wake chan struct{}
	// startedSinceRequest counts the requests started since the latest request to the allocator.
	startedSinceRequest int
}

// ruleLimitIdleTimeout is how long an unused limit is kept.
const ruleLimitIdleTimeout = 10 * time.Second

// acquireResult is the result of a request for a rule's tokens. It is zero when the tokens were granted.
type acquireResult struct {
	// waiter is set if the request must wait.
	waiter *ruleWaiter
	// retryAfter is positive if the request is refused. It is the shortest time in which tokens may become available.
	retryAfter time.Duration
	// removed is true if the limit was removed and must be looked up again.
	removed bool
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

// acquire takes tokens for a request, queues the request, or refuses it.
func (limit *ruleLimit) acquire(now time.Time, wait time.Duration) acquireResult {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if limit.removed {
		return acquireResult{removed: true}
	}
	limit.usedAt = now
	if len(limit.waiters) == 0 && limit.takeTokens(now) {
		return acquireResult{}
	}
	if expected := limit.expectedWait(now); expected > wait {
		return acquireResult{retryAfter: expected}
	}
	waiter := &ruleWaiter{ready: make(chan struct{})}
	limit.waiters = append(limit.waiters, waiter)
	limit.startRefill()
	return acquireResult{waiter: waiter}
}

// expectedWait returns the shortest time in which a request that arrives now can get its tokens. If maxRuleWaiters requests wait
// already, it returns at least a minute, so that requests with a shorter wait are refused.
func (limit *ruleLimit) expectedWait(now time.Time) time.Duration {
	expected := time.Duration(0)
	if limit.rate > 0 {
		expected = time.Duration(float64(len(limit.waiters)) / limit.rate * float64(time.Second))
	}
	if len(limit.waiters) >= maxRuleWaiters {
		expected = max(expected, time.Minute)
	}
	return max(expected, limit.retryAt.Sub(now))
}

// takeTokens takes one token of each limit and reports whether all were available.
func (limit *ruleLimit) takeTokens(now time.Time) bool {
	if limit.rate > 0 && (limit.rateTokens+tokenEpsilon < 1 || now.After(limit.rateExpiresAt)) {
		return false
	}
	if limit.inFlight > 0 && (limit.running >= limit.inFlightTokens || now.After(limit.inFlightExpiresAt)) {
		return false
	}
	limit.rateTokens--
	limit.running++
	limit.startedSinceRequest++
	return true
}

// release returns the in-flight token of a request that has ended.
func (limit *ruleLimit) release() {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	now := time.Now()
	limit.running--
	limit.usedAt = now
	limit.grantWaiters(now)
	if len(limit.waiters) == 0 && limit.running == 0 {
		limit.wakeRefill()
	}
}

// grantWaiters gives tokens to the waiting requests, first come, first served.
func (limit *ruleLimit) grantWaiters(now time.Time) {
	for len(limit.waiters) > 0 && limit.takeTokens(now) {
		close(limit.waiters[0].ready)
		limit.waiters[0] = nil
		limit.waiters = limit.waiters[1:]
	}
}

// cancel removes the waiter. granted reports whether it was given its tokens before.
func (limit *ruleLimit) cancel(waiter *ruleWaiter) (retryAfter time.Duration, granted bool) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	for i, present := range limit.waiters {
		if present == waiter {
			limit.waiters = append(limit.waiters[:i], limit.waiters[i+1:]...)
			return limit.expectedWait(time.Now()), false
		}
	}
	return 0, true
}

// wakeRefill wakes the refilling goroutine, unless a signal is pending.
func (limit *ruleLimit) wakeRefill() {
	select {
	case limit.wake <- struct{}{}:
	default:
	}
}

// startRefill starts or wakes the goroutine that fetches tokens. The caller holds the mutex.
func (limit *ruleLimit) startRefill() {
	if limit.refilling {
		limit.wakeRefill()
		return
	}
	limit.refilling = true
	limit.limiter.group.Go(limit.runRefill)
}

// runRefill fetches and renews tokens until the limit has been idle for ruleLimitIdleTimeout.
func (limit *ruleLimit) runRefill(ctx context.Context) {
	for {
		switch limit.nextStep(time.Now()) {
		case removeLimit:
			limit.limiter.limits.Delete(limit.rule)
			return
		case askAllocator:
			request := limit.newRequest()
			reply, err := limit.limiter.fetchTokens(ctx, &request)
			limit.applyReply(time.Now(), &reply, err)
		case addFairShare:
			limit.refillFairShare(time.Now())
		case doNothing:
		}
		if !limit.waitForStep(ctx) {
			return
		}
	}
}

// step is the next action of the refilling goroutine.
type step int

const (
	doNothing    step = 0
	askAllocator step = 1
	addFairShare step = 2
	removeLimit  step = 3
)

// nextStep returns the next action. If it is removeLimit, the limit is marked as removed.
func (limit *ruleLimit) nextStep(now time.Time) step {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	switch {
	case limit.isUnused() && now.Sub(limit.usedAt) > ruleLimitIdleTimeout:
		limit.removed = true
		return removeLimit
	case now.Before(limit.fairShareUntil):
		return addFairShare
	case limit.isUnused() && limit.startedSinceRequest == 0:
		return doNothing
	default:
		return askAllocator
	}
}

// isUnused reports whether no request waits or runs and no in-flight tokens are held.
func (limit *ruleLimit) isUnused() bool {
	return len(limit.waiters) == 0 && limit.running == 0 && limit.inFlightTokens == 0
}

// newRequest returns the next request to the allocator. It gives up the in-flight tokens that are not in use.
func (limit *ruleLimit) newRequest() TokenRequest {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	now := time.Now()
	limit.requestedAt = now
	request := TokenRequest{Rule: limit.rule, RatePerSecond: limit.rate, InFlight: limit.inFlight}
	if limit.rate > 0 {
		request.WantRate = limit.wantRate(now)
	}
	if limit.inFlight > 0 {
		limit.inFlightTokens = min(limit.inFlightTokens, limit.running)
		request.Holding = limit.running
		request.WantInFlight = len(limit.waiters) + min(1, limit.startedSinceRequest)
	}
	limit.startedSinceRequest = 0
	return request
}

// wantRate returns one rate token per waiter and per request started since the last request, up to a full batch.
func (limit *ruleLimit) wantRate(now time.Time) int {
	remaining := limit.rateTokens
	if now.After(limit.rateExpiresAt) {
		remaining = 0
	}
	want := float64(len(limit.waiters)+limit.startedSinceRequest) - remaining
	missing := float64(maxRateBatch(limit.rate)) - remaining
	return max(0, int(math.Ceil(min(want, missing))))
}

// applyReply applies the allocator's reply, or switches to the fair share if the call failed.
func (limit *ruleLimit) applyReply(now time.Time, reply *TokenReply, err error) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	if err != nil {
		limit.fairShareUntil, limit.fairFilledAt = now.Add(allocatorRetryInterval), now
		limit.addFairShareLocked(now)
		return
	}
	if now.After(limit.rateExpiresAt) {
		limit.rateTokens = 0
	}
	expires := limit.requestedAt.Add(reply.Lease)
	if reply.Rate > 0 {
		limit.rateTokens += float64(reply.Rate)
		limit.rateExpiresAt = expires
	}
	if limit.inFlight > 0 {
		limit.inFlightTokens, limit.inFlightExpiresAt = reply.InFlight, expires
	}
	limit.retryAt = now.Add(reply.RetryAfter)
	limit.grantWaiters(now)
}

// waitForStep waits until the next step is due. It returns false when ctx is done.
func (limit *ruleLimit) waitForStep(ctx context.Context) bool {
	timer := time.NewTimer(limit.stepDelay(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-limit.wake:
			timer.Reset(limit.stepDelay(time.Now()))
		}
	}
}

// stepDelay returns the time until the next step.
func (limit *ruleLimit) stepDelay(now time.Time) time.Duration {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	switch {
	case now.Before(limit.fairShareUntil):
		return fairFillInterval
	case len(limit.waiters) > 0:
		return max(limit.requestedAt.Add(minFetchInterval).Sub(now), limit.retryAt.Sub(now))
	case limit.rate > 0 && limit.startedSinceRequest > 0:
		return rateBatchTime / 2
	case limit.isUnused():
		return ruleLimitIdleTimeout
	case limit.running == 0:
		return inFlightRetryDelay
	default:
		return renewInterval
	}
}

// minFetchInterval is the minimum time between two requests to the allocator.
const minFetchInterval = time.Millisecond

// refillFairShare adds this VM's fair share of the limits while the allocator is unreachable.
func (limit *ruleLimit) refillFairShare(now time.Time) {
	limit.mutex.Lock()
	defer limit.mutex.Unlock()
	limit.addFairShareLocked(now)
}

// addFairShareLocked adds this VM's fair share of the limits. The caller holds the mutex.
func (limit *ruleLimit) addFairShareLocked(now time.Time) {
	if limit.rate > 0 {
		rate := limit.rate * limit.limiter.fairFraction()
		if now.After(limit.rateExpiresAt) {
			limit.rateTokens = 0
		}
		filled := rate * now.Sub(limit.fairFilledAt).Seconds()
		limit.rateTokens = min(max(1, rate*rateBatchTime.Seconds()), limit.rateTokens+filled)
		limit.rateExpiresAt = now.Add(tokenLeaseTime)
	}
	limit.fairFilledAt = now
	if limit.inFlight > 0 {
		limit.inFlightTokens, limit.inFlightExpiresAt = limit.limiter.fairInFlight(limit.inFlight), now.Add(tokenLeaseTime)
	}
	limit.retryAt = time.Time{}
	limit.grantWaiters(now)
}

// fairFillInterval is the time between two additions of the fair share.
const fairFillInterval = 10 * time.Millisecond
