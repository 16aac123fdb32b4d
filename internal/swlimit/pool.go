// Package swlimit keeps limits on sums over all VMs, such as the requests of a tenant. Each VM holds a part of each limit and lends what it
// does not need to VMs that need more. The package does no I/O: a function in Config is the transport.
package swlimit

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// Limit bounds the uses of all VMs together: within any time, they make at most Rate times that time plus Burst uses, and never more than
// Margin beyond it. If Window is set, they make at most Burst uses within any Window instead, and Rate and Margin are not used.
type Limit struct {
	// Rate is the number of uses per second, and Burst the number beyond it.
	Rate  float64
	Burst float64
	// Margin is the number of uses that the rule leaves above Rate and Burst within its window. Half of it is added to the stock, and
	// startFraction of it is granted to each generation of processes.
	Margin float64
	// Window is the time in which a use counts. A limit with a window allows Burst uses at once and again in the next window, and so more
	// than a rate that keeps to the same limit in that window.
	Window time.Duration
}

// Config holds the parameters of a Pool.
type Config struct {
	// View returns the registered VMs, or nil while they are unknown; this VM then holds nothing. If the function is nil, the pool lends and
	// borrows nothing, and VMs returns the number of VMs that divide each limit evenly.
	View func() *swmember.View
	VMs  func() int
	// IsNew reports whether this VM had no process before that shared the limits. It may be nil if that is unknown.
	IsNew func() bool
	// Ask sends a request to another VM and returns its reply.
	Ask func(ctx context.Context, lender swmember.Member, request Request) (Reply, error)
	// SuspendClock returns a time that also advances while this VM is suspended, from any origin. It bounds the validity of borrowed uses.
	SuspendClock func() time.Duration
	// Group runs the requests.
	Group *swgroup.Group
	// CountEvent counts events for metrics. It may be nil.
	CountEvent func(name string, count int64)
}

// Pool holds this VM's part of each limit. It is safe for concurrent use.
type Pool struct {
	config Config
	// startedAt is when this process began to share limits.
	startedAt time.Time
	// randomize returns a random number under its argument.
	randomize func(int64) int64
	// wake receives a signal when a key needs more than this VM holds.
	wake chan struct{}

	mutex   sync.Mutex
	buckets map[string]*bucket
	// running is set once Run computes the shares, and stale while some are not up to date.
	running bool
	stale   bool
	// layout caches what the shares of all keys have in common.
	layout *layout
	// needy holds the keys for which this VM may have to borrow.
	needy map[string]*bucket
	// silentUntil holds when VMs that did not answer may be asked again.
	silentUntil map[string]time.Time
	// replied holds the VMs that have answered a request.
	replied map[string]bool
	// asks limits the requests to other VMs; inFlight is the number of those in flight.
	asks     allowance
	inFlight int
}

// bucket is this VM's part of one limit.
type bucket struct {
	limit Limit
	share share
	// view is the view from which share was computed.
	view *swmember.View

	// tokens is the content of the own bucket, which share.rate fills up to share.stock. Only these tokens come from nothing, so all others
	// are counted through them.
	tokens   float64
	filledAt time.Time
	// reserve holds whole tokens that were borrowed for later, up to share.reserve. They do not expire.
	reserve int
	// loans holds the borrowed tokens that expire.
	loans []loan
	// started is set once the first share was known and the bucket has its start.
	started bool
	// removedAt is when the limit was removed; zero if it is in force. A limit that comes back soon goes on with what was left.
	removedAt time.Time
	// returns holds the uses of a limit with a window that come back, in order of time, and outstanding their number.
	returns     []slotReturn
	outstanding int
	// origin is the time from which returns are rounded.
	origin time.Time
	// returnable and returnableReserve count the uses taken since the tokens or the reserve were full; only these can be given back.
	returnable        float64
	returnableReserve int

	// demand and recentDemand are the number of calls of Take, decayed with demandTime and recentTime; usedAt is the time of the latest.
	demand, recentDemand float64
	usedAt               time.Time
	// refusals is the number of requests in a row that brought nothing. After maxRefusals, the next is sent at askAt, or at
	// spareAskAt if the uses can be spared.
	refusals   int
	askAt      time.Time
	spareAskAt time.Time
	// promised is the number of uses for which borrowers were told to come back.
	promised float64
	// deniedAt is when Take was last denied, and deniedBefore the time before that.
	deniedAt     time.Time
	deniedBefore time.Time
	// missed is set when a use was denied since the latest request to a lender, and missedSpare when that was a use that can be spared.
	missed      bool
	missedSpare bool
	// asking is set while a request for the key is in flight.
	asking bool
	// emptyUntil holds when each lender of share.lenders is expected to have a use.
	emptyUntil []time.Time
	// rested is set once the reserve was full. After that it is filled up only while the key is used.
	rested bool
}

// slotReturn is a number of uses that come back at a time.
type slotReturn struct {
	at    time.Time
	count int
}

// loan is a number of borrowed tokens that expire by Config.SuspendClock.
type loan struct {
	count, taken int
	expires      time.Duration
}

const (
	// demandTime is the time over which the demand for a key is averaged. When the uses in recentTime exceed the mean by more than
	// demandSurplus, or none came for maxGap times the mean time between two, that is hardly chance: the demand has changed.
	demandTime    = 4 * time.Second
	recentTime    = time.Second
	demandSurplus = 1.5
	maxGap        = 3.0
	// veryLikelyUses is the expected number of uses within the validity of a loan from which one is borrowed ahead of need: one loan in
	// twenty is then lost. From likelyUses on, one is borrowed after a use was denied if the lender has plenty.
	veryLikelyUses = 3.0
	likelyUses     = 0.25
	// aheadTime is the time for which uses are borrowed ahead. What is borrowed for longer is lost when the load moves to other VMs.
	aheadTime = 250 * time.Millisecond
	// missedTime is how long a denied use makes a key urgent.
	missedTime = time.Second
	// activeTime is how long after a use the reserve of a key is filled up again.
	activeTime = 10 * time.Second
	// maxLoans bounds the loans of a key, and maxTokens the tokens that are asked for at once.
	maxLoans  = 16
	maxTokens = 16
)

// NewPool returns a pool without limits.
func NewPool(config Config) *Pool {
	if config.CountEvent == nil {
		config.CountEvent = func(string, int64) {}
	}
	if config.IsNew == nil {
		config.IsNew = func() bool { return false }
	}
	if config.SuspendClock == nil {
		started := time.Now()
		config.SuspendClock = func() time.Duration { return time.Since(started) }
	}
	return &Pool{
		config:      config,
		startedAt:   time.Now(),
		randomize:   rand.Int64N,
		wake:        make(chan struct{}, 1),
		buckets:     make(map[string]*bucket),
		needy:       make(map[string]*bucket),
		silentUntil: make(map[string]time.Time),
		replied:     make(map[string]bool),
	}
}

// Set sets the limit of a key. The zero Limit removes the key.
func (pool *Pool) Set(now time.Time, key string, limit Limit) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	present, ok := pool.buckets[key]
	if limit == (Limit{}) {
		if ok && present.removedAt.IsZero() {
			present.removedAt = now
			delete(pool.needy, key)
			pool.forgetRemoved(now)
		}
		return
	}
	if ok {
		present.removedAt = time.Time{}
		if present.limit != limit {
			pool.fill(key, present, now)
			present.limit, present.view = limit, nil
			pool.fill(key, present, now)
		}
		return
	}
	added := &bucket{limit: limit, filledAt: now, origin: now}
	pool.buckets[key] = added
	pool.fill(key, added, now)
	pool.markNeedy(key, added)
}

// removedTime is how long the state of a removed key is kept. It is longer than the windows of the limits' rules, so that a key that is removed
// and set again does not start anew within one.
const removedTime = time.Minute

// forgetRemoved deletes the keys that were removed long ago. The caller holds the mutex.
func (pool *Pool) forgetRemoved(now time.Time) {
	for key, bucket := range pool.buckets {
		if !bucket.removedAt.IsZero() && now.Sub(bucket.removedAt) > removedTime {
			delete(pool.buckets, key)
		}
	}
}

// find returns the bucket of a key whose limit is in force. The caller holds the mutex.
func (pool *Pool) find(key string) (*bucket, bool) {
	bucket, ok := pool.buckets[key]
	return bucket, ok && bucket.removedAt.IsZero()
}

// Take spends one use of a key, and reports whether this VM held one. A key without a limit always has one.
func (pool *Pool) Take(now time.Time, key string) bool {
	return pool.take(now, key, 0)
}

// TakeSpare is Take for a use that others need more: it leaves spareKept uses, and this VM borrows for it only from lenders that have plenty.
func (pool *Pool) TakeSpare(now time.Time, key string) bool {
	return pool.take(now, key, spareKept)
}

// spareKept is the number of uses that TakeSpare leaves for Take.
const spareKept = 1

func (pool *Pool) take(now time.Time, key string, kept float64) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	bucket, ok := pool.find(key)
	if !ok {
		return true
	}
	pool.fill(key, bucket, now)
	if kept == 0 {
		bucket.demand = bucket.decayed(bucket.demand, demandTime, now) + 1
		bucket.recentDemand = bucket.decayed(bucket.recentDemand, recentTime, now) + 1
		bucket.usedAt = now
	}
	granted := bucket.holds() >= 1+kept-tokenEpsilon && bucket.spend(now)
	event := "limit_uses_granted"
	if !granted {
		event = "limit_uses_denied"
		if kept == 0 {
			bucket.missed, bucket.deniedBefore, bucket.deniedAt = true, bucket.deniedAt, now
		}
		bucket.missedSpare = bucket.missedSpare || kept > 0
	}
	pool.config.CountEvent(event, 1)
	if bucket.missed || bucket.missedSpare || bucket.wanted(now) > 0 {
		pool.markNeedy(key, bucket)
	}
	return granted
}

// takeAgain is Take for an attempt that was counted before.
func (pool *Pool) takeAgain(now time.Time, key string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	bucket, ok := pool.find(key)
	if !ok {
		return true
	}
	pool.fill(key, bucket, now)
	if bucket.holds() < 1-tokenEpsilon || !bucket.spend(now) {
		return false
	}
	bucket.missed = false
	pool.config.CountEvent("limit_uses_granted_on_request", 1)
	return true
}

// markNeedy lets Run ask for a key. The caller holds the mutex.
func (pool *Pool) markNeedy(key string, bucket *bucket) {
	if pool.config.View == nil || len(bucket.share.lenders) == 0 && bucket.view != nil {
		return
	}
	pool.needy[key] = bucket
	pool.wakeRun()
}

func (pool *Pool) wakeRun() {
	select {
	case pool.wake <- struct{}{}:
	default:
	}
}

// tokenEpsilon is the tolerance for rounding errors in sums of fractional tokens.
const tokenEpsilon = 1e-9

// spend deducts one use, those that expire first. The caller has checked that there is one.
func (bucket *bucket) spend(now time.Time) bool {
	for i := range bucket.loans {
		if bucket.loans[i].count > 0 {
			bucket.loans[i].count--
			bucket.loans[i].taken++
			return true
		}
	}
	if bucket.tokens >= 1-tokenEpsilon {
		bucket.deduct(1, now.Add(bucket.limit.Window))
		bucket.returnable++
		return true
	}
	if bucket.reserve >= 1 {
		bucket.reserve--
		bucket.returnableReserve++
		return true
	}
	return false
}

// deduct deducts uses from the own bucket. Those of a limit with a window come back at a time.
func (bucket *bucket) deduct(count int, returnAt time.Time) {
	bucket.tokens = max(0, bucket.tokens-float64(count))
	if bucket.limit.Window == 0 {
		return
	}
	bucket.outstanding += count
	// Rounding up bounds the number of entries. It is relative to origin, since time.Time.Truncate drops the monotonic clock.
	steps := (returnAt.Sub(bucket.origin) + returnStep - 1) / returnStep
	returnAt = bucket.origin.Add(steps * returnStep)
	index := len(bucket.returns)
	for index > 0 && bucket.returns[index-1].at.After(returnAt) {
		index--
	}
	if index > 0 && bucket.returns[index-1].at.Equal(returnAt) {
		bucket.returns[index-1].count += count
		return
	}
	bucket.returns = slices.Insert(bucket.returns, index, slotReturn{at: returnAt, count: count})
}

// returnStep is the resolution of the times at which uses come back.
const returnStep = 50 * time.Millisecond

// Return gives back a use that was taken and not spent. Had it not been taken, it might have expired or been lost in a full bucket since; then
// nothing is given back, because the limit would not hold otherwise.
func (pool *Pool) Return(now time.Time, key string) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	bucket, ok := pool.find(key)
	if !ok {
		return
	}
	pool.fill(key, bucket, now)
	for i := range bucket.loans {
		if bucket.loans[i].taken > 0 {
			bucket.loans[i].taken--
			bucket.loans[i].count++
			return
		}
	}
	switch {
	case bucket.limit.Window > 0:
		// The slot that would come back first comes back now, and the one of this use in its place.
		if len(bucket.returns) > 0 {
			bucket.removeReturns(1)
		}
	case bucket.returnableReserve > 0 && bucket.reserve < bucket.share.reserve:
		bucket.returnableReserve--
		bucket.reserve++
	case bucket.returnable >= 1:
		bucket.returnable--
		bucket.tokens = min(bucket.share.stock, bucket.tokens+1)
	}
}

// removeReturns lets the uses that come back first come back now.
func (bucket *bucket) removeReturns(count int) {
	bucket.outstanding -= count
	bucket.returns[0].count -= count
	if bucket.returns[0].count == 0 {
		bucket.returns = slices.Delete(bucket.returns, 0, 1)
	}
	bucket.tokens = max(0, bucket.share.stock-float64(bucket.outstanding))
}

// Holds returns the number of uses that this VM holds.
func (pool *Pool) Holds(now time.Time, key string) float64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	bucket, ok := pool.find(key)
	if !ok {
		return 0
	}
	pool.fill(key, bucket, now)
	return bucket.holds()
}

// Wait returns when this VM is expected to hold a use; zero if it holds one.
func (pool *Pool) Wait(now time.Time, key string) time.Duration {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	bucket, ok := pool.find(key)
	if !ok {
		return 0
	}
	pool.fill(key, bucket, now)
	if bucket.holds() >= 1-tokenEpsilon {
		return 0
	}
	wait := maxWait
	if len(bucket.returns) > 0 {
		wait = min(wait, bucket.returns[0].at.Sub(now))
	}
	if rate := bucket.share.rate; rate > 0 && bucket.share.stock >= 1 {
		wait = min(wait, seconds((1-bucket.tokens)/rate))
	}
	// A lender that is expected to have a use lends it within the validity of a loan at most.
	for _, emptyUntil := range bucket.emptyUntil {
		wait = min(wait, max(borrowWait, emptyUntil.Sub(now)))
	}
	return wait
}

const (
	// maxWait bounds Wait: shares may have changed by then.
	maxWait = 10 * time.Second
	// borrowWait is the time after which Wait expects a use from a lender that has one: a batch and a round trip to another region.
	borrowWait = 100 * time.Millisecond
)

func seconds(number float64) time.Duration {
	return time.Duration(min(number, 3600) * float64(time.Second))
}

// holds returns the number of uses, after the expired ones were removed.
func (bucket *bucket) holds() float64 {
	return bucket.tokens + float64(bucket.reserve+bucket.lent())
}

// lent returns the number of valid borrowed uses.
func (bucket *bucket) lent() int {
	count := 0
	for i := range bucket.loans {
		count += bucket.loans[i].count
	}
	return count
}

// decayed returns a count of uses, decayed since the latest.
func (bucket *bucket) decayed(count float64, over time.Duration, now time.Time) float64 {
	return count * math.Exp(-max(0, float64(now.Sub(bucket.usedAt)))/float64(over))
}

// demandPerSecond returns the number of uses per second that is expected.
func (bucket *bucket) demandPerSecond(now time.Time) float64 {
	perSecond := bucket.decayed(bucket.demand, demandTime, now) / demandTime.Seconds()
	recent := bucket.decayed(bucket.recentDemand, recentTime, now) / recentTime.Seconds()
	perSecond = max(perSecond, recent-demandSurplus)
	if gap := now.Sub(bucket.usedAt).Seconds(); gap > 0 {
		perSecond = min(perSecond, maxGap/gap)
	}
	return perSecond
}

// isIdle reports whether the key has been used for so much longer than usual that the demand has gone.
func (bucket *bucket) isIdle(now time.Time) bool {
	return bucket.demand/demandTime.Seconds()*now.Sub(bucket.usedAt).Seconds() > maxGap || now.Sub(bucket.usedAt) > demandTime
}

// isLikely reports whether a loan may well be used before it expires.
func (bucket *bucket) isLikely(now time.Time) bool {
	return bucket.demandPerSecond(now)*bucket.share.loanTime.Seconds() >= likelyUses
}

// wanted returns the number of uses to borrow now: to fill up the reserve, and those that are likely to be used before they expire.
func (bucket *bucket) wanted(now time.Time) int {
	want := 0
	if bucket.reserve < bucket.share.reserve && (!bucket.rested || now.Sub(bucket.usedAt) < activeTime) {
		want = bucket.share.reserve - bucket.reserve
	}
	return min(maxTokens, max(want, bucket.wantedLoans(now)))
}

// wantedLoans returns the number of uses that are needed soon and not held: those of the next aheadTime, if one will very likely be used
// before it expires.
func (bucket *bucket) wantedLoans(now time.Time) int {
	perSecond := bucket.demandPerSecond(now)
	if perSecond*bucket.share.loanTime.Seconds() < veryLikelyUses {
		return 0
	}
	target := max(1, int(perSecond*aheadTime.Seconds()))
	return target - bucket.reserve - bucket.lent() - int(bucket.tokens+tokenEpsilon)
}

// fill computes the share anew if the view has changed, adds the tokens since the last call and removes expired loans. The caller holds the
// mutex.
func (pool *Pool) fill(key string, bucket *bucket, now time.Time) {
	pool.updateShare(key, bucket, now)
	for len(bucket.returns) > 0 && !bucket.returns[0].at.After(now) {
		bucket.removeReturns(bucket.returns[0].count)
	}
	if elapsed := now.Sub(bucket.filledAt); elapsed > 0 {
		bucket.tokens += bucket.share.rate * elapsed.Seconds()
		bucket.filledAt = now
	}
	if bucket.tokens >= bucket.share.stock {
		bucket.tokens, bucket.returnable, bucket.promised = bucket.share.stock, 0, 0
	}
	if bucket.reserve >= bucket.share.reserve {
		bucket.reserve, bucket.returnableReserve, bucket.rested = bucket.share.reserve, 0, bucket.view != nil
	}
	if len(bucket.loans) == 0 {
		return
	}
	suspendNow := pool.config.SuspendClock()
	kept := bucket.loans[:0]
	for _, loan := range bucket.loans {
		if suspendNow < loan.expires {
			kept = append(kept, loan)
			continue
		}
		if loan.count > 0 {
			pool.config.CountEvent("limit_uses_expired", int64(loan.count))
		}
	}
	bucket.loans = kept
}
