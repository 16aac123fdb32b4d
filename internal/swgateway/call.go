package swgateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

const (
	// maxAttemptsPerService bounds the attempts for one service. It is more than any gather makes, so that sending a result never
	// blocks.
	maxAttemptsPerService = 8
	// optionalRepeatShare is the fraction of the budget available to repeats that only make an answer more complete. The rest is for
	// requests that fail without a repeat, such as those on a plain route to a shard that searches ask as well. With many VMs, each sees
	// few requests of a shard and its budget is a few repeats per window; a much lower fraction would leave none to searches.
	optionalRepeatShare = 0.75
	// costJitter is the fraction by which estimated costs vary at random, so that VMs do not all choose the same replica.
	costJitter = 0.1
)

// shardCall is the part of a call that goes to one service.
type shardCall struct {
	service  string
	replicas map[string]*swreplica.Replica
	// response is the latest response that the client may get. That of a search's shard is kept only while records is its body, and info is
	// its metadata.
	response *swconn.Response
	info     ResponseInfo
	// records is the answer of a search's shard.
	records  []byte
	answered bool
}

// call sends one request to the replicas of its services. Only the goroutine that runs it uses its fields; the goroutines of its
// attempts send their results to it.
type call struct {
	handler        *Handler
	request        *request
	shards         []shardCall
	gather         *swquery.Gather
	results        chan attemptResult
	cancels        map[uint64]context.CancelFunc
	brokenAttempts []brokenAttempt
	answeredShards int
	// rejected is set when a replica rejected the request because it was full.
	rejected bool
	// rateLimited is set when an attempt was not sent because its replica's rate is used up, and sent when an attempt was sent.
	rateLimited bool
	sent        bool
	// displaced is set when an attempt was not sent because its replica was no longer one that may serve the request, or was cold and had
	// got as much as it takes.
	displaced bool
	// deniedRepeats counts the repeats that the budget did not grant.
	deniedRepeats int
	// deniedWithoutUse counts those of them that were denied because this VM held no use of the slack that all VMs share.
	deniedWithoutUse int
	// heldRepeats counts the repeats for which no replica seemed to have capacity.
	heldRepeats int
	// attempts records all attempts in the order in which they were started.
	attempts []attemptRecord
	// overloaded is set when a replica with a queue rejected the request.
	overloaded bool
	// clientGone is set when the client has closed its connection.
	clientGone bool
	// stopped is set when this VM stops and must answer now. timedOut is set then, and when the deadline has passed.
	stopped  bool
	timedOut bool
}

// services returns the services to which the request is sent.
func (request *request) services() []string {
	if request.route.Gathered() {
		return request.route.Shards
	}
	request.service = request.route.NextService()
	return []string{request.service}
}

// newCall returns a call with the available replicas of each service.
func (handler *Handler) newCall(request *request, services []string) *call {
	call := &call{
		handler:  handler,
		request:  request,
		shards:   make([]shardCall, len(services)),
		results:  make(chan attemptResult, maxAttemptsPerService*len(services)),
		cancels:  make(map[uint64]context.CancelFunc, len(services)),
		attempts: make([]attemptRecord, 0, len(services)),
	}
	plans := make([]swquery.ShardPlan, len(services))
	for i, service := range services {
		plans[i] = call.planShard(i, service)
	}
	call.gather = swquery.NewGather(swquery.GatherConfig{
		Shards:             plans,
		Idempotent:         request.route.Idempotent,
		MaxAttempts:        request.route.MaxAttempts,
		MayRetryAfterCrash: func() bool { return false },
		Budget:             call,
		SortTargets:        call.sortByCost,
		HedgeDelay:         call.hedgeDelay,
	})
	return call
}

// planShard collects the available replicas of one service.
func (call *call) planShard(index int, service string) swquery.ShardPlan {
	replicas := call.handler.config.Replicas.ServiceReplicas(service)
	shard := &call.shards[index]
	shard.service = service
	shard.replicas = make(map[string]*swreplica.Replica, len(replicas))
	// Each shard counts as one document, so that the coverage is the fraction of shards.
	plan := swquery.ShardPlan{Number: index, Documents: 1}
	now := time.Now()
	for _, replica := range replicas {
		if !call.mayAsk(now, replica) {
			continue
		}
		id := replica.ID()
		shard.replicas[id] = replica
		plan.Targets = append(plan.Targets, swquery.Target{Server: id, Local: replica.Distance() == swreplica.SameDataCentre})
	}
	return plan
}

// mayAsk reports whether a replica may get the request now.
func (call *call) mayAsk(now time.Time, replica *swreplica.Replica) bool {
	return call.maySendTo(replica) && call.readyIn(now, replica) == 0
}

// readyIn returns how long it takes until a replica may get the request. The rate of one that is asked through a relay is the relay's matter.
func (call *call) readyIn(now time.Time, replica *swreplica.Replica) time.Duration {
	if !replica.Direct() || call.relayFor(replica).Valid() {
		return replica.RelaysReadyIn(now)
	}
	return replica.ReadyIn(now)
}

// unreachableServices returns the services without an available replica.
func (call *call) unreachableServices() []string {
	var names []string
	for i := range call.shards {
		if len(call.shards[i].replicas) == 0 {
			names = append(names, call.shards[i].service)
		}
	}
	return names
}

// servable reports whether enough services have an available replica.
func (call *call) servable() bool {
	reachable := 0
	for i := range call.shards {
		if len(call.shards[i].replicas) > 0 {
			reachable++
		}
	}
	return reachable > 0 && call.coverageMet(reachable)
}

// coverageMet reports whether answers of that many shards reach the minimum coverage.
func (call *call) coverageMet(answeredShards int) bool {
	if !call.request.route.Gathered() {
		return answeredShards > 0
	}
	return answeredShards > 0 && float64(answeredShards) >= call.request.route.MinCoverage*float64(len(call.shards))-coverageTolerance
}

// coverageTolerance absorbs rounding errors of the coverage, which the configuration gives as a decimal fraction.
const coverageTolerance = 1e-9

// needsEveryRemainingShard reports whether the minimum coverage needs an answer from every remaining shard. If so, a repeat decides whether there
// is an answer at all; otherwise it only makes the answer more complete.
func (call *call) needsEveryRemainingShard() bool {
	return !call.coverageMet(len(call.shards) - call.failedShards() - 1)
}

// Take implements swquery.Budget: it reports whether the budget of the shard's service grants one more attempt. When replicas of
// several shards are slow, more repeats are wanted than the budget allows. Searches that need every remaining shard may use the
// whole budget, the others only a fraction of it.
//
// A hedge is denied when all other replicas of the shard have queues: it would not be answered sooner than the attempt in flight,
// and its work would lengthen the queues of a shard that is short of replicas until every search misses its part. This also leaves
// the budget to retries.
//
// A request for a single service is not repeated while all replicas reject, because it can wait for capacity without a repeat.
func (call *call) Take(shard int) bool {
	if call.handler.checkKey(call.request) != nil {
		return false
	}
	if !call.request.route.Gathered() && call.rejected && !call.handler.capacityOf(call.request, call.shards[shard].service).hasCapacity {
		call.heldRepeats++
		return false
	}
	purpose := Retry
	if call.isHedge(shard) {
		purpose = Hedge
		if !call.hasReplicaWithoutQueue(shard) {
			return false
		}
	}
	share := optionalRepeatShare
	if call.needsEveryRemainingShard() {
		share = 1
	}
	share = min(share, call.handler.repeatShare(call.request))
	granted := call.handler.config.Budget.Take(time.Now(), call.shards[shard].service, purpose, share)
	if !granted {
		call.countDenied(call.shards[shard].service)
	}
	return granted
}

// countDenied counts a repeat that the budget did not grant.
func (call *call) countDenied(service string) {
	call.deniedRepeats++
	if !call.handler.config.Budget.HoldsSlack(time.Now(), service) {
		call.deniedWithoutUse++
	}
}

// isHedge reports whether a repeat at the shard would be sent beside an attempt that is still in flight.
func (call *call) isHedge(shard int) bool {
	for i := range call.attempts {
		if call.attempts[i].service == call.shards[shard].service && call.attempts[i].endedAt.IsZero() {
			return true
		}
	}
	return false
}

// hasReplicaWithoutQueue reports whether the shard has a replica that was not asked yet and could start on a request now.
func (call *call) hasReplicaWithoutQueue(shard int) bool {
	for _, replica := range call.shards[shard].replicas {
		asked := slices.ContainsFunc(call.attempts, func(attempt attemptRecord) bool { return attempt.replica == replica })
		if !asked && call.mayAsk(time.Now(), replica) && !replica.HasQueue() {
			return true
		}
	}
	return false
}

// sortByCost sorts the remaining replicas by the estimated cost of a request sent now.
func (call *call) sortByCost(shard int, remaining []swquery.Target) {
	if len(remaining) < 2 {
		return
	}
	now := time.Now()
	shardCall := &call.shards[shard]
	serviceLatency := call.handler.latencies.serviceLatency(shardCall.service)
	type scored struct {
		target swquery.Target
		cost   time.Duration
	}
	scores := make([]scored, len(remaining))
	// One draw for all replicas of a data centre that returns: it gets a share of the requests, however many replicas it has.
	draw := rand.Float64()
	spill := call.newSpill(now, shardCall, remaining)
	shared, jitter := call.sharedEstimates(now, shardCall, remaining)
	for i, target := range remaining {
		replica := shardCall.replicas[target.Server]
		candidate := call.handler.candidate(call.request, now, replica, serviceLatency)
		if shared != nil {
			candidate.Shared = shared[i]
		}
		spill.price(&candidate)
		cost := candidate.Cost() + candidate.ReturnPenalty(draw)
		mayPlace := call.mayPlaceAt(replica)
		spill.offer(&candidate, cost, mayPlace)
		if !mayPlace {
			cost += displacedPenalty
		}
		scores[i] = scored{target, cost + time.Duration(rand.Float64()*jitter*float64(cost))}
	}
	for i, place := range spill.choose(now) {
		scores[i].cost += place
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(a.cost, b.cost) })
	for i := range scores {
		remaining[i] = scores[i].target
	}
}

// hedgeDelay returns the age at which an attempt is late and is hedged.
func (call *call) hedgeDelay(shard int, target swquery.Target) time.Duration {
	shardCall := &call.shards[shard]
	expected := time.Duration(0)
	if replica, ok := shardCall.replicas[target.Server]; ok {
		expected = replica.ExpectedLatency(time.Now(), call.handler.latencies.serviceLatency(shardCall.service))
	}
	return call.handler.latencies.hedgeDelay(call.request.route, expected)
}

// release ends the use of all responses. Those that arrive later are given back once they are dropped.
func (call *call) release() {
	for i := range call.shards {
		call.shards[i].response.Release()
		call.shards[i].response = nil
	}
}

// run sends the request and returns once the answer is decided, the deadline has passed, or the client has gone. It calls
// started, unless nil, when the first attempts are counted at their replicas.
func (call *call) run(ctx context.Context, started func()) {
	now := time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	call.execute(now, call.gather.Start(now, 0, len(call.shards)))
	if started != nil {
		started()
	}
	for !call.decided(time.Now()) {
		timer.Reset(call.wakeDelay(time.Now()))
		select {
		case result := <-call.results:
			call.handleResult(result)
		case <-timer.C:
			now := time.Now()
			call.execute(now, call.gather.Tick(now))
		case <-ctx.Done():
			call.clientGone = true
		case <-call.handler.stop.passed.Done():
			call.stopped = true
		}
	}
	call.cancelAttempts()
}

// decided reports whether to stop waiting for results: all shards are decided, the client has gone, or the deadline has passed, in
// which case it sets timedOut. A search also ends when its minimum coverage can no longer be reached, or when it has been reached
// and the target latency is due.
func (call *call) decided(now time.Time) bool {
	switch {
	case call.clientGone, call.gather.Done():
		return true
	case call.stopped, !now.Before(call.request.deadline):
		call.timedOut = true
		return true
	case call.request.route.Gathered() && !call.coverageMet(len(call.shards)-call.failedShards()):
		return true
	case !call.request.answerBy.IsZero() && !now.Before(call.request.answerBy) && call.request.route.Gathered() && call.coverageMet(call.answeredShards):
		return true
	}
	return false
}

// failedShards returns the number of shards that can no longer answer.
func (call *call) failedShards() int {
	return int((1-call.gather.MaxCoverage())*float64(len(call.shards)) + 0.5)
}

// wakeDelay returns how long to wait for a result before the next timer event.
func (call *call) wakeDelay(now time.Time) time.Duration {
	next := call.request.deadline
	if tick := call.gather.NextTick(); !tick.IsZero() && tick.Before(next) {
		next = tick
	}
	if by := call.request.answerBy; !by.IsZero() && by.After(now) && by.Before(next) {
		next = by
	}
	return max(0, next.Sub(now))
}

// execute starts and cancels attempts.
func (call *call) execute(now time.Time, actions swquery.Actions) {
	for _, command := range actions.Cancel {
		if cancel, ok := call.cancels[command.Attempt]; ok {
			cancel()
		}
	}
	for _, command := range actions.Send {
		replica := call.shards[command.Shard].replicas[command.Target.Server]
		ctx, cancel := context.WithCancel(call.handler.config.Group.Context())
		call.cancels[command.Attempt] = cancel
		relay := call.relayFor(replica)
		call.attempts = append(call.attempts, attemptRecord{
			id: command.Attempt, service: call.shards[command.Shard].service, replica: replica, relay: relay.Name, startedAt: now, outcome: "None",
		})
		call.recordChoice(now, &call.attempts[len(call.attempts)-1], &call.shards[command.Shard])
		mayBeSent := call.maySendTo(replica)
		if mayBeSent && !relay.Valid() && replica.Direct() && !replica.Admit(now) {
			call.rateLimited, mayBeSent = true, false
		}
		if !mayBeSent {
			call.displaced = call.displaced || !call.mayPlaceAt(replica)
			call.results <- attemptResult{command: command, replica: replica, replicaResult: swreplica.Result{Outcome: swreplica.NotSent}, endedAt: now}
			continue
		}
		call.sent = true
		replica.Reserve()
		endPlain := func() {}
		if !call.request.route.Gathered() {
			endPlain = replica.BeginPlain()
		}
		call.handler.config.Group.Go(func(context.Context) {
			defer endPlain()
			call.sendAttempt(ctx, attemptResult{command: command, replica: replica}, relay)
		})
	}
}

// cancelAttempts cancels all attempts that are in flight. Their age is recorded as a lower bound of their latency.
func (call *call) cancelAttempts() {
	now := time.Now()
	for i := range call.attempts {
		if call.attempts[i].endedAt.IsZero() {
			call.handler.latencies.observeCancelled(call.request.route.Name, now.Sub(call.attempts[i].startedAt))
		}
	}
	for _, cancel := range call.cancels {
		cancel()
	}
}
