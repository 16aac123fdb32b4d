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
	// maxSends bounds the attempts for one service: more than any gather makes, so that results never block.
	maxSends = 8
	// spareShare is the part of the budget that repeats may use which no answer depends on. A VM of many sees few requests of a
	// shard, so that its part of the budget is a handful of repeats in a window; less than nearly all of it would be none.
	spareShare = 0.9
	// choiceJitter is the part by which an estimate varies at random, so that VMs do not all choose the same replica.
	choiceJitter = 0.1
)

// shardCall is one service of a call.
type shardCall struct {
	service  string
	replicas map[string]*swreplica.Replica
	// response is the last that came from a replica, mark what it says.
	response *swconn.Response
	mark     Mark
	answered bool
}

// call is one request on its way to the replicas of its services. One goroutine runs it.
type call struct {
	gateway *Gateway
	request *request
	shards  []shardCall
	gather  *swquery.Gather
	results chan attemptResult
	cancels map[uint64]context.CancelFunc
	crashes []crash
	answers int
	// shed is set when a replica rejected the request for want of room.
	shed bool
	// denied counts the repeats that the budget did not grant.
	denied int
	// told describes the attempts in the order in which they were ordered.
	told []attemptStory
	// crowded is set when a replica rejected the request because of its queue.
	crowded bool
	// gone is set when the client left.
	gone bool
	// late is set when the deadline passed.
	late bool
}

// services returns the services that the request goes to.
func (request *request) services() []string {
	if request.route.Gathered() {
		return request.route.Shards
	}
	return []string{request.route.NextService()}
}

// newCall plans a call: for each service the replicas that may serve it.
func (gateway *Gateway) newCall(request *request, services []string) *call {
	call := &call{
		gateway: gateway,
		request: request,
		shards:  make([]shardCall, len(services)),
		results: make(chan attemptResult, maxSends*len(services)),
		cancels: make(map[uint64]context.CancelFunc, len(services)),
		told:    make([]attemptStory, 0, len(services)),
	}
	plans := make([]swquery.ShardPlan, len(services))
	for i, service := range services {
		plans[i] = call.plan(i, service)
	}
	call.gather = swquery.NewGather(swquery.GatherConfig{
		Shards:          plans,
		Idempotent:      request.route.Repeatable,
		MaxAttempts:     request.route.MaxAttempts,
		MayRetryCrashed: func() bool { return false },
		Budget:          call,
		Order:           call.order,
		HedgeAfter:      call.hedgeAfter,
	})
	return call
}

// plan lists the replicas of one service.
func (call *call) plan(position int, service string) swquery.ShardPlan {
	replicas := call.gateway.config.Replicas.Service(service)
	shard := &call.shards[position]
	shard.service = service
	shard.replicas = make(map[string]*swreplica.Replica, len(replicas))
	plan := swquery.ShardPlan{Number: position, Documents: 1}
	for _, replica := range replicas {
		if !replica.Up() {
			continue
		}
		id := replica.ID()
		shard.replicas[id] = replica
		plan.Targets = append(plan.Targets, swquery.Target{Server: id, Local: replica.Distance() == swreplica.SameDataCentre})
	}
	return plan
}

// without lists the services of which no replica can be reached.
func (call *call) without() []string {
	var names []string
	for i := range call.shards {
		if len(call.shards[i].replicas) == 0 {
			names = append(names, call.shards[i].service)
		}
	}
	return names
}

// servable reports whether enough services have a replica.
func (call *call) servable() bool {
	reachable := 0
	for i := range call.shards {
		if len(call.shards[i].replicas) > 0 {
			reachable++
		}
	}
	return reachable > 0 && call.enough(reachable)
}

// enough reports whether the answers of so many services suffice.
func (call *call) enough(answers int) bool {
	if !call.request.route.Gathered() {
		return answers > 0
	}
	return answers > 0 && float64(answers) >= call.request.route.MinCoverage*float64(len(call.shards))-coverageTolerance
}

// coverageTolerance absorbs the rounding of a share that the configuration gives as a decimal fraction.
const coverageTolerance = 1e-9

// critical reports whether each shard that has not answered is needed for the least coverage. A repeat then decides between an
// answer and none; else it only makes an answer that comes anyway more complete.
func (call *call) critical() bool {
	return !call.enough(len(call.shards) - call.failed() - 1)
}

// Take asks the budget of the shard's service for one more attempt. It answers the load in which replicas of several shards
// are slow and more repeats are wanted than may be made: searches that need every shard have the whole budget, the others
// only a part of it.
//
// A request for one replica is not sent on while all of them reject: it can wait for room without a repeat.
func (call *call) Take(shard int) bool {
	if !call.request.route.Gathered() && call.shed && !call.gateway.survey(call.shards[shard].service).open {
		return false
	}
	share := spareShare
	if call.critical() {
		share = 1
	}
	granted := call.gateway.config.Budget.Take(time.Now(), call.shards[shard].service, share)
	if !granted {
		call.denied++
	}
	return granted
}

// order sorts the replicas that are left by when each would answer a request sent now.
func (call *call) order(shard int, left []swquery.Target) {
	if len(left) < 2 {
		return
	}
	now := time.Now()
	known := &call.shards[shard]
	typical := call.gateway.pace.typical(known.service)
	type scored struct {
		target swquery.Target
		expect time.Duration
	}
	scores := make([]scored, len(left))
	for i, target := range left {
		prospect := known.replicas[target.Server].Prospect(now, typical)
		expect := prospect.Expect()
		scores[i] = scored{target, expect + time.Duration(rand.Float64()*choiceJitter*float64(expect))}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(a.expect, b.expect) })
	for i := range scores {
		left[i] = scores[i].target
	}
}

// hedgeAfter returns when an attempt is late.
func (call *call) hedgeAfter(shard int, target swquery.Target) time.Duration {
	known := &call.shards[shard]
	expected := time.Duration(0)
	if replica, ok := known.replicas[target.Server]; ok {
		expected = replica.Expected(time.Now(), call.gateway.pace.typical(known.service))
	}
	return call.gateway.pace.hedgeAfter(call.request.route, expected)
}

// run sends the request and returns once the answer is decided, the deadline has passed, or the client has left.
// started is called once the first attempts are counted at their replicas; it may be nil.
func (call *call) run(ctx context.Context, started func()) {
	now := time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	call.carryOut(now, call.gather.Start(now, 0, len(call.shards)))
	if started != nil {
		started()
	}
	for !call.decided(time.Now()) {
		timer.Reset(call.nextWake(time.Now()))
		select {
		case result := <-call.results:
			call.take(result)
		case <-timer.C:
			now := time.Now()
			call.carryOut(now, call.gather.Tick(now))
		case <-ctx.Done():
			call.gone = true
		}
	}
	call.withdraw()
}

// decided reports whether nothing is gained by waiting longer.
func (call *call) decided(now time.Time) bool {
	switch {
	case call.gone, call.gather.Done():
		return true
	case !now.Before(call.request.deadline):
		call.late = true
		return true
	case call.request.route.Gathered() && !call.enough(len(call.shards)-call.failed()):
		return true
	case !call.request.answerBy.IsZero() && !now.Before(call.request.answerBy) && call.request.route.Gathered() && call.enough(call.answers):
		return true
	}
	return false
}

// failed returns the number of shards that have failed.
func (call *call) failed() int {
	return int((1-call.gather.MaxCoverage())*float64(len(call.shards)) + 0.5)
}

// nextWake returns how long to wait for a result.
func (call *call) nextWake(now time.Time) time.Duration {
	next := call.request.deadline
	if tick := call.gather.NextTick(); !tick.IsZero() && tick.Before(next) {
		next = tick
	}
	if by := call.request.answerBy; !by.IsZero() && by.After(now) && by.Before(next) {
		next = by
	}
	return max(0, next.Sub(now))
}

// carryOut starts and withdraws attempts.
func (call *call) carryOut(now time.Time, actions swquery.Actions) {
	for _, command := range actions.Cancel {
		if cancel, ok := call.cancels[command.Attempt]; ok {
			cancel()
		}
	}
	for _, command := range actions.Send {
		replica := call.shards[command.Shard].replicas[command.Target.Server]
		ctx, cancel := context.WithCancel(call.gateway.config.Group.Context())
		call.cancels[command.Attempt] = cancel
		relay := call.relay(replica)
		call.told = append(call.told, attemptStory{
			id: command.Attempt, service: call.shards[command.Shard].service, replica: replica, relay: relay.Name, begun: now, outcome: "None",
		})
		replica.Reserve()
		call.gateway.config.Group.Go(func(context.Context) { call.attempt(ctx, command, replica, relay) })
	}
}

// withdraw ends all attempts that are still under way. How long they have taken so far tells of late ones as answers do.
func (call *call) withdraw() {
	now := time.Now()
	for i := range call.told {
		if call.told[i].ended.IsZero() {
			call.gateway.pace.observeWithdrawn(call.request.route.Name, now.Sub(call.told[i].begun))
		}
	}
	for _, cancel := range call.cancels {
		cancel()
	}
}
