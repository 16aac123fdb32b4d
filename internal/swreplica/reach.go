package swreplica

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreach"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// checkWidth is the number of replicas of a data centre that a check of this VM's links pings at once.
	checkWidth = 3
	// checkDelay is the time in which an answer or a new connection makes the pings of a check unnecessary.
	checkDelay = 20 * time.Millisecond
	// checkTimeout bounds a check in this region, and farCheckTimeout one in another. Both allow several round trips and a slow accept.
	checkTimeout    = 120 * time.Millisecond
	farCheckTimeout = 250 * time.Millisecond
	// minReturnInterval and maxReturnInterval bound the backoff between checks whether lost links are back, and returnJitter is the fraction by
	// which they vary, as many VMs may have lost them at the same moment.
	minReturnInterval = 200 * time.Millisecond
	maxReturnInterval = 600 * time.Millisecond
	returnJitter      = 0.3
	// overdueFactor is the multiple of a replica's average latency after which an answer is overdue.
	overdueFactor = 4
)

// Reach returns the state of this VM's links to the replica's data centre.
func (replica *Replica) Reach() swreach.State {
	return replica.place.judge.State()
}

// mayConnect reports whether requests and probes may open connections to the place. While its links are lost, only checks do.
func (place *place) mayConnect() bool {
	state := place.judge.State()
	return state == swreach.Reached || state == swreach.Checking
}

// Direct reports whether this VM itself may send to the replica: it has links to the data centre, or an open connection that is left of them.
func (replica *Replica) Direct() bool {
	return replica.place.mayConnect() || replica.hasIdle(time.Now())
}

// heard records that a response arrived on a connection that was opened at a time.
func (place *place) heard(openedAt time.Time) {
	now := time.Now()
	place.judge.Heard(now, openedAt)
	place.settleFailures(now)
}

// observeUnanswered records that the replica's connection ended instead of an answer.
func (replica *Replica) observeUnanswered() {
	replica.place.judge.Unanswered(time.Now(), replica.ID())
	replica.place.suspect()
}

// observeNotOpened records that no connection to the replica could be opened.
func (replica *Replica) observeNotOpened() {
	replica.place.judge.NotOpened(time.Now(), replica.ID())
	replica.place.suspect()
}

// beginSending counts a request that was sent to the place directly, until endSending, and watches for its answer.
func (place *place) beginSending() {
	place.sending.Add(1)
	place.registry.sending.Add(1)
	place.registry.watch()
}

func (place *place) endSending() {
	place.sending.Add(-1)
	place.registry.sending.Add(-1)
}

// watch looks for overdue answers of all places while requests are in flight.
func (registry *Registry) watch() {
	if registry.watched.CompareAndSwap(false, true) {
		registry.config.Pool.config.Group.Go(registry.watchAnswers)
	}
}

func (registry *Registry) watchAnswers(ctx context.Context) {
	for registry.sending.Load() > 0 && swtimer.Wait(ctx, swreach.Silence) == nil {
		for _, place := range registry.otherPlaces(nil) {
			if place.sending.Load() > 0 {
				place.findOverdue(time.Now())
			}
		}
	}
	registry.watched.Store(false)
	if registry.sending.Load() > 0 && ctx.Err() == nil {
		registry.watch()
	}
}

// findOverdue records the replicas that owe an answer, if nothing was heard from the place since they got the request.
func (place *place) findOverdue(now time.Time) {
	heardAt := place.judge.HeardAt()
	if now.Sub(heardAt) < swreach.Silence {
		return
	}
	for _, replica := range place.listed() {
		if replica.isOverdue(now, heardAt) {
			place.judge.Unanswered(now, replica.ID())
		}
	}
	place.suspect()
	// The links that a return has opened meanwhile are others.
	links := place.links.Load()
	if !place.mayConnect() && place.judge.AllSilent(place.inUse()) {
		place.abandonConnections(links)
	}
}

// isOverdue reports whether a request that was sent directly after a time has waited much longer for its answer than usual.
func (replica *Replica) isOverdue(now, sentAfter time.Time) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	patience := max(swreach.Silence, overdueFactor*replica.averageLatency)
	for inFlightRequest := range replica.inFlight {
		if !inFlightRequest.relayed && inFlightRequest.sentAt.After(sentAfter) && now.Sub(inFlightRequest.sentAt) >= patience {
			return true
		}
	}
	return false
}

// AwaitReach waits while this VM's links to the replica are being checked.
func (replica *Replica) AwaitReach(ctx context.Context) {
	for {
		state, changed := replica.place.judge.Changed()
		if state != swreach.Checking {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// listed returns the replicas of the place.
func (place *place) listed() []*Replica {
	if replicas := place.replicas.Load(); replicas != nil {
		return *replicas
	}
	return nil
}

// inUse returns the number of replicas that may be asked to check the links; none while the place is evacuated.
func (place *place) inUse() int {
	if place.isEvacuated() {
		return 0
	}
	count := 0
	for _, replica := range place.listed() {
		if replica.AcceptsWork() {
			count++
		}
	}
	return count
}

// suspect begins a check of the links if the evidence calls for one.
func (place *place) suspect() {
	now := time.Now()
	if !place.judge.HasEvidence(now) {
		return
	}
	elsewhere := 0
	for _, other := range place.registry.otherPlaces(place) {
		elsewhere += other.judge.Refused()
	}
	evidence := place.judge.BeginCheck(now, place.inUse(), elsewhere)
	if evidence == swreach.NoEvidence {
		return
	}
	place.pool.config.Group.Go(func(ctx context.Context) { place.check(ctx, evidence) })
}

// check pings the replicas that answered last, unless the evidence is refuted at once. If none of them can be reached, the links are lost until
// one is.
func (place *place) check(ctx context.Context, evidence swreach.Evidence) {
	pool := place.pool
	pool.config.CountEvent("reach_checks", 1)
	if evidence == swreach.Silent && time.Since(place.judge.HeardAt()) < swreach.Silence {
		// Several replicas that lose answers at once among others that answer are more likely than lost links.
		if swtimer.Wait(ctx, checkDelay) == nil && place.judge.Refuted() {
			place.endCheck(swreach.CheckAnswered)
			return
		}
	}
	result := place.pingAny(ctx, place.bestReached())
	if ctx.Err() != nil {
		return
	}
	place.endCheck(result)
	if place.judge.State() != swreach.Lost {
		return
	}
	lostAt := time.Now()
	place.beginLoss(evidence)
	pool.config.CountEvent("reach_lost", 1)
	pool.config.Log.Warn().Str("ServersIn", place.name).Str("Evidence", string(evidence)).Int("Replicas", place.inUse()).
		Msg("this VM can't reach the backend servers of a data centre")
	place.checkOthers()
	place.awaitReturn(ctx)
	if ctx.Err() != nil {
		return
	}
	pool.config.OnReach(place.name, true)
	pool.config.CountEvent("reach_returned", 1)
	pool.config.Log.Info().Str("ServersIn", place.name).Dur("Lost", time.Since(lostAt)).
		Msg("this VM reaches the backend servers of a data centre again")
}

// endCheck ends a check, and decides whether the failures that led to it count.
func (place *place) endCheck(result swreach.CheckResult) {
	now := time.Now()
	place.judge.EndCheck(now, result)
	place.settleFailures(now)
}

// beginLoss ends what waits for connections that will not open, and for answers that will not arrive. Open connections are kept unless they were
// found to be silent, as those may still work.
func (place *place) beginLoss(evidence swreach.Evidence) {
	place.links.Load().stopConnecting()
	for _, replica := range place.listed() {
		replica.forgetFailures()
	}
	if evidence == swreach.Silent {
		place.abandonConnections(place.links.Load())
	}
	place.pool.config.OnReach(place.name, false)
}

// forgetFailures drops what this VM took for failures of the replica before it found out that its links are lost, and wakes the requests that
// wait for a connection.
func (replica *Replica) forgetFailures() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.failureRate = 0
	replica.signalFreed()
}

// checkOthers checks the links to the other places, as what ended these may have ended them too.
func (place *place) checkOthers() {
	for _, other := range place.registry.otherPlaces(place) {
		if other.inUse() > 0 && other.judge.BeginRelatedCheck() {
			place.pool.config.Group.Go(func(ctx context.Context) { other.check(ctx, swreach.Related) })
		}
	}
}

// bestReached returns the replicas that answered last.
func (place *place) bestReached() []*Replica {
	return place.choose(func(replica *Replica) time.Duration { return time.Since(replica.lastAnswer()) })
}

// leastTried returns the replicas to which this VM has not tried to connect for the longest time. New ones come first.
func (place *place) leastTried() []*Replica {
	return place.choose(func(replica *Replica) time.Duration { return -time.Since(replica.lastTry()) })
}

// choose returns checkWidth replicas that accept work with the lowest rank. Cold ones that take no health request now come last.
func (place *place) choose(rank func(replica *Replica) time.Duration) []*Replica {
	ranks := make(map[*Replica]time.Duration)
	var warm, cold []*Replica
	for _, replica := range place.listed() {
		if !replica.AcceptsWork() {
			continue
		}
		ranks[replica] = rank(replica)
		if replica.Cold(time.Now()) {
			cold = append(cold, replica)
		} else {
			warm = append(warm, replica)
		}
	}
	byRank := func(a, b *Replica) int { return cmp.Compare(ranks[a], ranks[b]) }
	slices.SortFunc(warm, byRank)
	slices.SortFunc(cold, byRank)
	chosen := append(warm, cold...)
	return chosen[:min(checkWidth, len(chosen))]
}

// pingAny pings replicas at once and returns the best result, as soon as one has answered.
func (place *place) pingAny(ctx context.Context, replicas []*Replica) swreach.CheckResult {
	timeout := checkTimeout
	if len(replicas) > 0 && replicas[0].distance == OtherRegion {
		timeout = farCheckTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan swreach.CheckResult, len(replicas))
	for _, replica := range replicas {
		place.pool.config.Group.Go(func(context.Context) { results <- replica.ping(ctx) })
	}
	best := swreach.CheckFailed
	for range replicas {
		if best = max(best, <-results); best == swreach.CheckAnswered {
			break
		}
	}
	return best
}

// awaitReturn waits until the links are back and connections to the replicas are open again.
func (place *place) awaitReturn(ctx context.Context) {
	delay := minReturnInterval
	for {
		if swtimer.Wait(ctx, delay+time.Duration(returnJitter*rand.Float64()*float64(delay))) != nil {
			return
		}
		delay = min(maxReturnInterval, 2*delay)
		if place.inUse() > 0 && place.pingAny(ctx, place.leastTried()) != swreach.CheckAnswered {
			continue
		}
		place.links.Store(newLinks())
		place.judge.Return()
		if place.endReturn(place.reopen(ctx)) {
			return
		}
	}
}

// endReturn ends the return of the links, and reports whether they are in use again. Connections may have been given up during the return, as
// requests that were sent before it had no answer; those that follow must not share their end.
func (place *place) endReturn(reached bool) bool {
	place.judge.EndReturn(reached)
	if reached {
		place.links.Store(newLinks())
	}
	return reached
}

// reopen opens a connection to each replica, one after the other, so that the VMs that return together don't open all of theirs at once. It
// reports whether it opened one. Replicas of other regions are reached through relays as a rule and need none.
func (place *place) reopen(ctx context.Context) bool {
	opened, tried := 0, 0
	for _, replica := range place.listed() {
		if ctx.Err() != nil || replica.distance == OtherRegion {
			break
		}
		if !replica.InUse() || replica.hasIdle(time.Now()) {
			continue
		}
		tried++
		if replica.Probe(ctx) {
			opened++
			replica.markUp()
		}
		if opened == 0 && tried >= checkWidth {
			break
		}
	}
	return opened > 0 || tried == 0
}

// markUp records that the replica can be reached.
func (replica *Replica) markUp() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.down = false
}

// hasIdle reports whether an open connection to the replica is free.
func (replica *Replica) hasIdle(now time.Time) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	for _, connection := range replica.idleConnections {
		if connection.Usable() && now.Sub(connection.IdleSince) < idleTimeout(connection) {
			return true
		}
	}
	return false
}

func (replica *Replica) lastAnswer() time.Time {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.answeredAt
}

func (replica *Replica) lastTry() time.Time {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.triedAt
}

// otherPlaces returns the places other than one; all if it is nil.
func (registry *Registry) otherPlaces(excluded *place) []*place {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var places []*place
	for _, known := range registry.places {
		if known != excluded {
			places = append(places, known)
		}
	}
	return places
}

// Reached returns the data centres with replicas whose links are not lost and not in doubt, in order of their names.
func (registry *Registry) Reached() []string {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var names []string
	for name, known := range registry.places {
		if len(known.listed()) > 0 && known.judge.State() == swreach.Reached {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
