package swlimit

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

const (
	// batchTime is the time over which needs are collected before lenders are asked.
	batchTime = 10 * time.Millisecond
	// askRate and askBurst bound the requests to other VMs, per second and at once. A request with its reply takes about 300 bytes on the
	// wire, of the 3 KB/s that control work may take.
	askRate  = 8.0
	askBurst = 120.0
	// fillAsks is the number of requests that must be left to fill up the reserves of unused keys, and backgroundAsks to borrow ahead of
	// need. The rest is for TakeOrAsk.
	fillAsks       = askBurst / 2
	backgroundAsks = askBurst / 6
	// maxInFlight bounds the requests in flight.
	maxInFlight = 16
	// maxKeys and maxKeyLength bound a request.
	maxKeys      = 128
	maxKeyLength = 256
	// silentTime is how long a VM that did not answer is not asked again.
	silentTime = 4 * time.Second
	// idleTime is how long a key must have been unused at a VM until its reserve is lent.
	idleTime = 2 * time.Second
	// reserveRetry is the time after which a VM without a reserve to lend may be asked again.
	reserveRetry = 5 * time.Second
	// maxRefusals is the number of requests for a key that may bring nothing until the next waits for refusalPause, or spareRefusalPause if
	// the uses can be spared. Without a pause, every VM would ask every other while the limit is used up.
	maxRefusals       = 3
	refusalPause      = 200 * time.Millisecond
	spareRefusalPause = 2 * time.Second
	// minRetry is the least time after which a lender without uses is asked again.
	minRetry = 50 * time.Millisecond
	// lotFraction is the fraction of its stock that a lender collects before it is asked again by a borrower that wants more.
	lotFraction = 0.75
	// waitForReply bounds the time that TakeOrAsk waits for a VM of its region. waitForFarReply does so for one of another region, to which a
	// round trip takes up to 40 ms, and for the first reply of any VM, as the handshake takes two small VMs some 20 ms of processor time. Both
	// are part of the latency of a request.
	waitForReply    = 25 * time.Millisecond
	waitForFarReply = 60 * time.Millisecond
	// maxReplied bounds the VMs of which it is kept that they have answered.
	maxReplied = 2048
	// maxDirectAsks bounds the VMs that TakeOrAsk asks one after the other: one each of the data centre, the region and elsewhere. Holders
	// of a small limit have one or two uses, so that the nearest is often empty while others are not.
	maxDirectAsks = 3
)

// KeyRequest asks for uses of one key.
type KeyRequest struct {
	Key  string `cbor:"1,keyasint"`
	Want int    `cbor:"2,keyasint"`
	// Spare is set if the uses can be spared: they are lent only by a lender that has plenty.
	Spare bool `cbor:"3,keyasint,omitempty"`
}

// Request asks a lender for uses.
type Request struct {
	Keys []KeyRequest `cbor:"1,keyasint"`
}

// Grant is the answer to a KeyRequest. The lender has deducted Count uses.
type Grant struct {
	Count int `cbor:"1,keyasint,omitempty"`
	// Valid is the validity of uses that were in a reserve or borrowed before. They may not become part of a reserve. Zero means that the
	// uses were in the own bucket of a holder and replace others by the limit's rate.
	Valid time.Duration `cbor:"2,keyasint,omitempty"`
	// RetryAfter is when the lender expects to have more, if it lent less than was asked for.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Reply holds one Grant for each key of a Request, in the same order.
type Reply struct {
	Grants []Grant `cbor:"1,keyasint"`
}

// outgoing is a request to a lender.
type outgoing struct {
	lender swmember.Member
	// isFar is set if the lender is in another region, and isFirst if it has not answered before.
	isFar   bool
	isFirst bool
	request Request
	// sentAt is the time by SuspendClock.
	sentAt time.Duration
	// urgent tells for each key whether a use was missed.
	urgent []bool
}

// Run borrows in the background until the context ends.
func (pool *Pool) Run(ctx context.Context) {
	if pool.config.View == nil {
		return
	}
	pool.mutex.Lock()
	pool.running = true
	pool.mutex.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pool.wake:
			timer.Reset(batchTime)
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		case <-timer.C:
		}
		pool.refresh(time.Now())
		asks, next := pool.plan(time.Now())
		for _, ask := range asks {
			pool.config.Group.Go(func(ctx context.Context) { pool.send(ctx, ask) })
		}
		timer.Reset(next)
	}
}

// send sends a planned request and applies its reply.
func (pool *Pool) send(ctx context.Context, ask *outgoing) {
	ctx, cancel := context.WithTimeout(ctx, arrivalTime)
	defer cancel()
	reply, err := pool.config.Ask(ctx, ask.lender, ask.request)
	pool.receive(time.Now(), ask, reply, err)
}

// maxPlanDelay is the longest time until the needs of keys are reconsidered.
const maxPlanDelay = 10 * time.Second

// plan returns the requests to send now, and when to call it again unless a key becomes needy before.
func (pool *Pool) plan(now time.Time) (asks []*outgoing, next time.Duration) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	next = maxPlanDelay
	byLender := make(map[string]*outgoing)
	for _, need := range pool.needs(now) {
		index, wait := pool.nextLender(now, need)
		if index < 0 {
			next = min(next, wait)
			continue
		}
		lender := need.bucket.share.lenders[index].member
		ask, ok := byLender[lender.Name]
		switch {
		case ok && len(ask.request.Keys) < maxKeys:
		case pool.inFlight >= maxInFlight || !pool.asks.take(now, need.leftAsks()):
			next = min(next, seconds(1/askRate))
			continue
		default:
			pool.inFlight++
			ask = &outgoing{lender: lender, sentAt: pool.config.SuspendClock()}
			byLender[lender.Name] = ask
			asks = append(asks, ask)
		}
		ask.add(need)
	}
	return asks, max(next, batchTime)
}

// need is a key for which this VM should borrow.
type need struct {
	key    string
	bucket *bucket
	want   int
	// urgent is set if requests need the uses, and spare if they can do without.
	urgent, spare bool
}

// add adds a key to a request.
func (ask *outgoing) add(need need) {
	ask.request.Keys = append(ask.request.Keys, KeyRequest{Key: need.key, Want: need.want, Spare: need.spare})
	ask.urgent = append(ask.urgent, need.bucket.missed)
	need.bucket.asking, need.bucket.missed = true, false
}

// needs returns the keys for which to borrow, the urgent ones first, and forgets those that need nothing. The caller holds the mutex.
func (pool *Pool) needs(now time.Time) []need {
	var needs []need
	for key, bucket := range pool.needy {
		if bucket.asking {
			continue
		}
		pool.fill(key, bucket, now)
		if bucket.view == nil {
			continue
		}
		isActive := now.Sub(bucket.usedAt) < activeTime
		bucket.missed = bucket.missed && now.Sub(bucket.usedAt) < missedTime
		need := need{key: key, bucket: bucket, want: bucket.wanted(now)}
		need.urgent = isActive && need.want > 0
		need.spare = !need.urgent
		if isLikely := bucket.missed && bucket.isLikely(now); need.want == 0 && (isLikely || bucket.missedSpare) {
			need.want = 1
		}
		bucket.missedSpare = false
		if need.want == 0 {
			bucket.missed = false
			delete(pool.needy, key)
			continue
		}
		needs = append(needs, need)
	}
	slices.SortFunc(needs, func(a, b need) int {
		return cmp.Or(-cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.key, b.key))
	})
	return needs
}

// rank is higher for needs that are asked for first.
func (need *need) rank() int {
	switch {
	case need.bucket.missed:
		return 2
	case need.urgent:
		return 1
	}
	return 0
}

// leftAsks returns the number of requests that must be left for others.
func (need *need) leftAsks() float64 {
	if need.urgent {
		return backgroundAsks
	}
	return fillAsks
}

// nextLender returns the index of the first lender that may have a use, or -1 and the time until one may. The caller holds the mutex.
func (pool *Pool) nextLender(now time.Time, need need) (int, time.Duration) {
	wait := maxPlanDelay
	askAt := need.bucket.askAt
	if need.spare {
		askAt = need.bucket.spareAskAt
	}
	if askAt.After(now) {
		return -1, askAt.Sub(now)
	}
	for i, lender := range need.bucket.share.lenders {
		// What others have in reserve can only become a loan.
		if !lender.holder && need.bucket.wantedLoans(now) <= 0 {
			break
		}
		at := need.bucket.emptyUntil[i]
		if silentUntil := pool.silentUntil[lender.member.Name]; silentUntil.After(at) {
			at = silentUntil
		}
		if !at.After(now) {
			return i, 0
		}
		wait = min(wait, at.Sub(now))
	}
	return -1, wait
}

// receive applies the reply to a request, or its failure.
func (pool *Pool) receive(now time.Time, ask *outgoing, reply Reply, err error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.inFlight--
	elapsed := pool.config.SuspendClock() - ask.sentAt
	failed := err != nil || len(reply.Grants) != len(ask.request.Keys)
	if failed {
		pool.markSilent(now, ask.lender.Name)
	} else {
		// A reply that TakeOrAsk did not wait for shows as well that the lender is there.
		delete(pool.silentUntil, ask.lender.Name)
		pool.markReplied(ask.lender.Name)
	}
	for i, keyRequest := range ask.request.Keys {
		bucket, ok := pool.find(keyRequest.Key)
		if !ok {
			continue
		}
		bucket.asking = false
		pool.fill(keyRequest.Key, bucket, now)
		var grant Grant
		if !failed {
			grant = reply.Grants[i]
			pool.setEmpty(now, bucket, ask.lender.Name, grant, keyRequest.Want)
		}
		count := max(0, min(grant.Count, keyRequest.Want))
		if count > 0 && elapsed > bucket.share.arrivalTime {
			pool.config.CountEvent("limit_uses_late", int64(count))
			count = 0
		}
		if count > 0 {
			pool.config.CountEvent("limit_uses_borrowed", int64(count))
			bucket.add(count, ask.sentAt, grant.Valid)
			bucket.refusals = 0
		} else {
			bucket.missed = bucket.missed || ask.urgent[i]
			pool.countRefusal(now, bucket, keyRequest.Spare)
		}
		pool.markNeedy(keyRequest.Key, bucket)
	}
}

// countRefusal pauses the requests for a key after several in a row brought nothing.
func (pool *Pool) countRefusal(now time.Time, bucket *bucket, spare bool) {
	bucket.refusals++
	if bucket.refusals < maxRefusals {
		return
	}
	bucket.refusals = 0
	if spare {
		bucket.spareAskAt = now.Add(pool.jitter(spareRefusalPause))
	} else {
		bucket.askAt = now.Add(pool.jitter(refusalPause))
	}
}

// markReplied records that a VM has answered. The caller holds the mutex.
func (pool *Pool) markReplied(name string) {
	if len(pool.replied) >= maxReplied {
		clear(pool.replied)
	}
	pool.replied[name] = true
}

// markSilent records that a VM did not answer. The caller holds the mutex.
func (pool *Pool) markSilent(now time.Time, name string) {
	for other, until := range pool.silentUntil {
		if !until.After(now) {
			delete(pool.silentUntil, other)
		}
	}
	pool.silentUntil[name] = now.Add(pool.jitter(silentTime))
}

// setEmpty records when a lender that lent less than was asked for may be asked again.
func (pool *Pool) setEmpty(now time.Time, bucket *bucket, name string, grant Grant, want int) {
	if grant.Count >= want {
		return
	}
	index := slices.IndexFunc(bucket.share.lenders, func(lender lender) bool { return lender.member.Name == name })
	if index >= 0 {
		bucket.emptyUntil[index] = now.Add(pool.jitter(min(max(grant.RetryAfter, minRetry), maxPlanDelay)))
	}
}

// jitter lengthens a delay by up to a tenth, so that borrowers do not ask a lender at the same time.
func (pool *Pool) jitter(delay time.Duration) time.Duration {
	return delay + time.Duration(pool.randomize(int64(delay)/10+1))
}

// add adds borrowed uses to the reserve while there is room, else to the loans.
func (bucket *bucket) add(count int, sentAt, valid time.Duration) {
	if room := bucket.share.reserve - bucket.reserve; room > 0 && valid == 0 {
		kept := min(room, count)
		bucket.reserve += kept
		count -= kept
	}
	if valid <= 0 || valid > bucket.share.loanTime {
		valid = bucket.share.loanTime
	}
	if count > 0 && len(bucket.loans) < maxLoans {
		bucket.loans = append(bucket.loans, loan{count: count, expires: sentAt + valid})
	}
}

// Lend answers the request of another VM. What it grants is deducted.
func (pool *Pool) Lend(now time.Time, request Request) Reply {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	keys := request.Keys[:min(len(request.Keys), maxKeys)]
	reply := Reply{Grants: make([]Grant, len(keys))}
	for i, keyRequest := range keys {
		reply.Grants[i].RetryAfter = reserveRetry
		if len(keyRequest.Key) > maxKeyLength {
			continue
		}
		if bucket, ok := pool.find(keyRequest.Key); ok {
			pool.fill(keyRequest.Key, bucket, now)
			reply.Grants[i] = bucket.lend(now, pool.config.SuspendClock(), min(keyRequest.Want, maxTokens), keyRequest.Spare)
			pool.config.CountEvent("limit_uses_lent", int64(reply.Grants[i].Count))
		}
	}
	return reply
}

// lend deducts up to want uses. suspendNow is the time by SuspendClock.
func (bucket *bucket) lend(now time.Time, suspendNow time.Duration, want int, spare bool) Grant {
	kept := 0.0
	switch {
	case want <= 0:
		return Grant{}
	case bucket.limit.Window > 0:
		// What this VM is expected to need itself within the window stays here.
		if !bucket.isIdle(now) {
			kept = bucket.demandPerSecond(now) * bucket.limit.Window.Seconds()
		}
		if spare {
			kept = max(kept, bucket.share.stock/2)
		}
	case spare:
		kept = max(0, min(bucket.share.stock/2, bucket.share.stock-1))
	case now.Sub(bucket.usedAt) < missedTime:
		// A VM that uses the key itself keeps one, if it can have two.
		kept = max(0, min(1, bucket.share.stock-1))
	}
	if count := max(0, min(want, int(bucket.tokens-kept+tokenEpsilon))); count > 0 {
		bucket.deduct(count, now.Add(bucket.share.loanTime+bucket.limit.Window))
		bucket.promised = max(0, bucket.promised-float64(count))
		grant := Grant{Count: count, RetryAfter: bucket.retryAfter(now, want, kept)}
		if bucket.limit.Window > 0 {
			grant.Valid = bucket.share.loanTime
		}
		return grant
	}
	if spare {
		return Grant{RetryAfter: bucket.retryAfter(now, want, kept)}
	}
	for i := range bucket.loans {
		loan := &bucket.loans[i]
		if valid := loan.expires - suspendNow; loan.count > 0 && valid > 0 {
			count := min(want, loan.count)
			loan.count -= count
			return Grant{Count: count, Valid: valid, RetryAfter: bucket.retryAfter(now, want, kept)}
		}
	}
	if bucket.reserve > 0 && now.Sub(bucket.usedAt) > idleTime {
		bucket.reserve--
		return Grant{Count: 1, Valid: bucket.share.loanTime, RetryAfter: reserveRetry}
	}
	bucket.promised++
	return Grant{RetryAfter: bucket.retryAfter(now, want, kept)}
}

// retryAfter returns when the bucket is expected to have the uses that are wanted, up to lotFraction of its stock, beyond those kept and those that were
// promised.
func (bucket *bucket) retryAfter(now time.Time, want int, kept float64) time.Duration {
	if len(bucket.returns) > 0 {
		wait := max(minRetry, bucket.returns[0].at.Sub(now))
		if now.Sub(bucket.deniedAt) < missedTime {
			// What comes back first is used here.
			wait = max(wait, bucket.share.loanTime)
		}
		return wait
	}
	if bucket.share.rate <= 0 || bucket.share.stock < 1+kept {
		return reserveRetry
	}
	missing := max(1, min(float64(want), bucket.share.stock*lotFraction), bucket.promised) + kept - bucket.tokens
	return min(reserveRetry, max(minRetry, seconds(missing/bucket.share.rate)))
}

// TakeOrAsk is Take for limits that are smaller than the number of VMs. If this VM holds no use, it asks others, the nearest first, until one
// lends a use or does not answer. A VM that is known to have none, or that did not answer lately, is not asked; one of another region only if all
// nearer ones answer, so that a VM that is cut off decides at once, and if uses are denied rarely: where the limit is used up, waiting for far VMs
// only moves uses about.
func (pool *Pool) TakeOrAsk(ctx context.Context, key string) bool {
	if pool.Take(time.Now(), key) {
		return true
	}
	for range maxDirectAsks {
		ask := pool.planNearest(time.Now(), key)
		if ask == nil || !pool.awaitReply(ctx, ask) {
			return false
		}
		if pool.takeAgain(time.Now(), key) {
			return true
		}
	}
	return false
}

// awaitReply sends a request and reports whether its reply came in time.
func (pool *Pool) awaitReply(ctx context.Context, ask *outgoing) bool {
	replied := make(chan struct{})
	pool.config.Group.Go(func(ctx context.Context) {
		defer close(replied)
		pool.send(ctx, ask)
	})
	wait := waitForReply
	if ask.isFar || ask.isFirst {
		wait = waitForFarReply
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-replied:
		return true
	case <-timer.C:
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.markSilent(time.Now(), ask.lender.Name)
	case <-ctx.Done():
	}
	return false
}

// planNearest returns a request to the nearest VM that may have a use of a key, or nil if there is none.
func (pool *Pool) planNearest(now time.Time, key string) *outgoing {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	bucket, ok := pool.find(key)
	if !ok {
		return nil
	}
	// The background need not make up for a use that is asked for here.
	bucket.missed = false
	index, _ := pool.nextLender(now, need{bucket: bucket})
	if index < 0 {
		return nil
	}
	lender := bucket.share.lenders[index]
	isFar := lender.distance > sameRegion
	if isFar && (now.Sub(bucket.deniedBefore) < missedTime || pool.anySilent(now, bucket.share.lenders[:index])) || pool.inFlight >= maxInFlight || !pool.asks.take(now, 0) {
		return nil
	}
	pool.inFlight++
	ask := &outgoing{lender: lender.member, isFar: isFar, isFirst: !pool.replied[lender.member.Name], sentAt: pool.config.SuspendClock()}
	ask.add(need{key: key, bucket: bucket, want: max(1, bucket.wanted(now))})
	return ask
}

// anySilent reports whether one of the lenders did not answer lately. The caller holds the mutex.
func (pool *Pool) anySilent(now time.Time, lenders []lender) bool {
	return slices.ContainsFunc(lenders, func(lender lender) bool { return pool.silentUntil[lender.member.Name].After(now) })
}

// allowance is a token bucket of requests to other VMs, of the size askBurst.
type allowance struct {
	used     float64
	filledAt time.Time
}

// take takes a request if at least left are left after it.
func (allowance *allowance) take(now time.Time, left float64) bool {
	if elapsed := now.Sub(allowance.filledAt); elapsed > 0 {
		allowance.used = max(0, allowance.used-askRate*elapsed.Seconds())
		allowance.filledAt = now
	}
	if askBurst-allowance.used < 1+left {
		return false
	}
	allowance.used++
	return true
}
