package swquery

import (
	"context"
	"fmt"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// drainingDuration is how long this root avoids a backend server after its owner reported that it is leaving.
const drainingDuration = 5 * time.Second

// gatherStep collects the answers of the shards and sends hedges, retries and cancellations.
type gatherStep struct {
	engine *Engine
}

func (*gatherStep) String() string { return "gather the answers" }

// Run returns once every shard has answered or failed, the required coverage is out of reach, or the deadline has passed.
func (gatherStep *gatherStep) Run(ctx context.Context, execution *execution) error {
	ctx, cancel := context.WithDeadline(ctx, execution.answerDeadline())
	defer cancel()
	gatherLoop := &gatherLoop{engine: gatherStep.engine, execution: execution}
	gatherLoop.run(ctx)
	actions := execution.gather.CancelOpen()
	execution.scatter.cancel(actions.Cancel)
	return gatherStep.conclude(ctx, execution)
}

// conclude returns nil if the answers suffice, a *restartError to try another snapshot, or the refusal of the query. A restart on
// another snapshot is preferred to a partial answer.
func (gatherStep *gatherStep) conclude(ctx context.Context, execution *execution) error {
	gather := execution.gather
	if !execution.query.Idempotent() {
		return concludeNonIdempotent(execution)
	}
	coverage := gather.Coverage()
	if gather.NotHeld && ctx.Err() == nil && gatherStep.engine.pin.hasAnother(execution) {
		return &restartError{Snapshot: execution.snapshot.ID}
	}
	if coverage.complete() || coverage.Shards > 0 && coverage.Fraction() >= execution.query.MinCoverage {
		gatherStep.engine.config.Quarantine.RecordCompletion(execution.query.Fingerprint)
		return nil
	}
	if gather.NotHeld {
		return &restartError{Snapshot: execution.snapshot.ID}
	}
	return execution.coverageRefusal(ctx, coverage)
}

// coverageRefusal returns the refusal of a query that did not reach its required coverage.
func (execution *execution) coverageRefusal(ctx context.Context, coverage Coverage) error {
	covered := fmt.Sprintf("%d of %d shards answered", coverage.Shards, coverage.OfShards)
	answer, shard, failed := execution.gather.FirstFailure()
	if !failed {
		code := swcode.DeadlineExceeded
		if ctx.Err() == context.Canceled {
			code = swcode.CallerGone
		}
		return execution.refuse(code, covered)
	}
	code := failureCode(answer)
	if execution.query.MinCoverage < 1 {
		code = swcode.CoverageTooLow
	}
	return execution.refuse(code, fmt.Sprintf("shard %d of snapshot %s: %s; %s", shard, execution.snapshot.ID, answer.Message, covered))
}

// failureCode returns the code that explains to the caller why a shard has no answer.
func failureCode(answer swbackend.Answer) swcode.Code {
	if answer.Code != 0 {
		return answer.Code
	}
	switch answer.Outcome {
	case swbackend.Shed:
		return swcode.QueueFull
	case swbackend.Late:
		return swcode.CannotMeet
	case swbackend.Unreachable, swbackend.UnknownServer, swbackend.ServerLeaving:
		return swcode.NoReplica
	case swbackend.SnapshotNotHeld:
		return swcode.SnapshotUnavailable
	default:
		return swcode.BackendFailed
	}
}

// concludeNonIdempotent returns nil if the work ran on every shard, and otherwise a refusal that reports whether it ran on
// none, on some, or possibly.
func concludeNonIdempotent(execution *execution) error {
	ran, notRun, unknown := execution.gather.countRuns()
	if notRun == 0 && unknown == 0 {
		return nil
	}
	if ran == 0 && unknown == 0 {
		if execution.gather.NotHeld {
			return &restartError{Snapshot: execution.snapshot.ID}
		}
		return nonIdempotentRefusal(execution, swcode.RanNo)
	}
	code := swcode.OutcomeUnknown
	if ran > 0 {
		code = swcode.PartialRun
	}
	return &swcode.Error{
		Code:    code,
		Ran:     swcode.RanUnknown,
		Message: fmt.Sprintf("%d shards ran the work, %d did not, %d are unknown", ran, notRun, unknown),
		Rule:    execution.decision.Line,
	}
}

// nonIdempotentRefusal returns the refusal of non-idempotent work that ran on no shard.
func nonIdempotentRefusal(execution *execution, ran swcode.Ran) error {
	answer, shard, failed := execution.gather.FirstFailure()
	if !failed {
		return &swcode.Error{Code: swcode.DeadlineExceeded, Ran: ran, Message: "the deadline passed before the work was sent"}
	}
	return &swcode.Error{
		Code:    failureCode(answer),
		Ran:     ran,
		Message: fmt.Sprintf("shard %d: %s", shard, answer.Message),
		Rule:    execution.decision.Line,
	}
}

// gatherLoop passes answers, losses and timer events to a gather until the query's outcome is decided.
type gatherLoop struct {
	engine    *Engine
	execution *execution
	// canaryPending is set until one shard of a suspected query has answered; canaryPosition is the position of the shard that
	// runs it.
	canaryPending  bool
	canaryPosition int
	// wakeDue is when the timer was due to fire.
	wakeDue time.Time
	// aborted is set when the canary failed; the other shards are then not tried.
	aborted bool
	// reportedAnswered is set once an answer has been reported to the crash tracker.
	reportedAnswered bool
}

// run handles events until the outcome is decided or the context ends. Answers that are queued by then still count.
func (gatherLoop *gatherLoop) run(ctx context.Context) {
	execution := gatherLoop.execution
	gatherLoop.canaryPending = execution.verdict == swquarantine.Canary && len(execution.plan) > 1
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	gatherLoop.checkCanary(time.Now())
	for !gatherLoop.finished() {
		now := time.Now()
		wait := gatherLoop.nextWakeDelay(now)
		gatherLoop.wakeDue = now.Add(wait)
		timer.Reset(wait)
		select {
		case <-execution.scatter.events.wake:
			gatherLoop.handleEvents()
		case <-timer.C:
			gatherLoop.handleTimer(time.Now())
		case <-ctx.Done():
			execution.gather.StopSending()
			gatherLoop.handleEvents()
			gatherLoop.failUnstarted(time.Now())
			return
		}
	}
}

// handleEvents handles the queued events of the calls.
func (gatherLoop *gatherLoop) handleEvents() {
	for _, event := range gatherLoop.execution.scatter.events.drain() {
		gatherLoop.handleEvent(event)
	}
}

// finished reports whether no further answer can change the outcome.
func (gatherLoop *gatherLoop) finished() bool {
	gather := gatherLoop.execution.gather
	if gather.Done() || gatherLoop.aborted {
		return true
	}
	if !gatherLoop.execution.query.Idempotent() {
		return false
	}
	if gather.NotHeld && gatherLoop.engine.pin.hasAnother(gatherLoop.execution) {
		return true
	}
	return gather.MaxCoverage() < gatherLoop.execution.query.MinCoverage
}

// handleEvent handles a reply to a call or the loss of the call. Any reply, even an empty one, shows that the owner responds.
func (gatherLoop *gatherLoop) handleEvent(event scatterEvent) {
	now := time.Now()
	event.call.lastMessageAt = now
	if event.broken {
		gatherLoop.handleLostOwner(now, event.call, event.ran)
		return
	}
	gatherLoop.engine.config.Gate.Observe(event.call.owner.Name, event.reply.Report)
	gatherLoop.startHeldBatch(event.call)
	if !gatherLoop.execution.matches(&event.reply) {
		gatherLoop.engine.config.Recorder.CountEvent("crossed_answers", int64(len(event.reply.Answers)))
		return
	}
	for i := range event.reply.Answers {
		gatherLoop.handleAnswer(now, event.call, &event.reply.Answers[i])
	}
}

// startHeldBatch sends Start for a held batch of non-idempotent work once its owner has acknowledged the batch, unless sending
// has stopped.
func (gatherLoop *gatherLoop) startHeldBatch(call *call) {
	if !call.awaitsStart() || call.lost || gatherLoop.execution.gather.sendingStopped {
		return
	}
	call.started = true
	call.stream.sendStart(call)
}

// failUnstarted marks the batches that were never started as not run. It is called when the deadline passes or the caller
// disconnects.
func (gatherLoop *gatherLoop) failUnstarted(now time.Time) {
	for _, call := range gatherLoop.execution.scatter.calls {
		if !call.awaitsStart() || call.lost {
			continue
		}
		call.lost = true
		gatherLoop.execution.gather.HandleLoss(now, swcode.RanNo, call.hasAttempt)
	}
}

// matches reports whether the reply echoes this query's ID and snapshot.
func (execution *execution) matches(reply *Reply) bool {
	return reply.QueryID == execution.query.ID && reply.Snapshot == execution.snapshot.ID
}

// handleAnswer handles the outcome of one attempt. An answer that does not echo its attempt is dropped.
func (gatherLoop *gatherLoop) handleAnswer(now time.Time, call *call, item *ItemAnswer) {
	execution := gatherLoop.execution
	if !execution.gather.HasAttempt(item.Attempt, item.Shard, item.Server) || !call.removeAttempt(item.Attempt) {
		gatherLoop.engine.config.Recorder.CountEvent("crossed_answers", 1)
		return
	}
	actions, age, known := execution.gather.HandleAnswer(now, item.Attempt, item.Server, item.Answer)
	if !known {
		gatherLoop.engine.config.Recorder.CountEvent("duplicate_answers", 1)
		return
	}
	gatherLoop.observe(now, call.owner.Name, item, age)
	gatherLoop.engine.applyActions(now, execution, actions)
	gatherLoop.checkCanary(now)
}

// checkCanary starts the remaining shards once the canary has answered. If the canary certainly did not run, it moves to the
// next shard; after any other failure the query is aborted.
func (gatherLoop *gatherLoop) checkCanary(now time.Time) {
	gather := gatherLoop.execution.gather
	for gatherLoop.canaryPending && !gather.sendingStopped {
		shard := &gather.shards[gatherLoop.canaryPosition]
		switch {
		case shard.state == shardAnswered:
			gatherLoop.startRemaining(now)
		case shard.state == shardRunning:
			return
		case shard.ran == swcode.RanNo && gatherLoop.canaryPosition+1 < len(gather.shards):
			gatherLoop.canaryPosition++
			gatherLoop.startShards(now, gatherLoop.canaryPosition, gatherLoop.canaryPosition+1)
		default:
			gatherLoop.canaryPending, gatherLoop.aborted = false, true
		}
	}
}

// startShards sends the first attempts of the shards from first up to but not including last.
func (gatherLoop *gatherLoop) startShards(now time.Time, first, last int) {
	execution := gatherLoop.execution
	gatherLoop.engine.applyActions(now, execution, execution.gather.Start(now, first, last))
}

// startRemaining sends the first attempts of the shards that waited for the canary.
func (gatherLoop *gatherLoop) startRemaining(now time.Time) {
	gatherLoop.canaryPending = false
	gatherLoop.startShards(now, gatherLoop.canaryPosition+1, len(gatherLoop.execution.plan))
}

// observe records what an outcome shows about the server: its latency, or that it failed, is leaving or lacks the snapshot.
func (gatherLoop *gatherLoop) observe(now time.Time, owner string, item *ItemAnswer, age time.Duration) {
	planner := gatherLoop.engine.planner
	latencies := gatherLoop.engine.latencies
	switch item.Answer.Outcome {
	case swbackend.Answered:
		planner.RecordReached(owner, item.Server)
		latencies.Observe(now, gatherLoop.execution.query.Index, item.Shard, item.Server, age)
		gatherLoop.reportAnswered()
	case swbackend.ServerLeaving:
		gatherLoop.engine.config.Registry.MarkDraining(item.Server, drainingDuration)
	case swbackend.Unreachable:
		// An owner that has lost its links says nothing about the server.
		if !planner.RecordUnreached(now, owner, item.Server) {
			latencies.ObserveFailure(now, item.Server)
		}
	case swbackend.SnapshotNotHeld:
		planner.RecordNotHeld(now, gatherLoop.execution.snapshot, item.Server)
	case swbackend.Cancelled:
		latencies.ObserveCancelled(gatherLoop.execution.query.Index, item.Shard, age)
	default:
		latencies.ObserveFailure(now, item.Server)
	}
}

// reportAnswered reports once per query that a server answered it, as evidence that the request does not crash servers.
func (gatherLoop *gatherLoop) reportAnswered() {
	crashTracker := gatherLoop.engine.config.Crashes
	if crashTracker == nil || gatherLoop.reportedAnswered {
		return
	}
	gatherLoop.reportedAnswered = true
	crashTracker.RecordAnswer(gatherLoop.execution.query.Fingerprint)
}

// handleLostOwner fails the attempts of a call whose stream broke or whose batch was never started.
func (gatherLoop *gatherLoop) handleLostOwner(now time.Time, call *call, ran swcode.Ran) {
	if call.lost || len(call.attempts) == 0 {
		return
	}
	call.lost = true
	if call.awaitsStart() {
		ran = swcode.RanNo
	}
	gatherLoop.reportUnresponsive(call, "lost_owners")
	actions := gatherLoop.execution.gather.HandleLoss(now, ran, call.hasAttempt)
	gatherLoop.engine.applyActions(now, gatherLoop.execution, actions)
	gatherLoop.checkCanary(now)
}

// handleUnresponsiveOwner sends the attempts of a call to other targets as well after its owner sent nothing for AckTimeout. A
// batch that was never started cannot have run, so its attempts are failed instead.
func (gatherLoop *gatherLoop) handleUnresponsiveOwner(now time.Time, call *call) {
	if call.awaitsStart() {
		gatherLoop.handleLostOwner(now, call, swcode.RanNo)
		return
	}
	call.sentElsewhere = true
	gatherLoop.reportUnresponsive(call, "silent_owners")
	actions := gatherLoop.execution.gather.SendElsewhere(now, call.hasAttempt)
	gatherLoop.engine.applyActions(now, gatherLoop.execution, actions)
}

// reportUnresponsive reports the owner to the membership as a suspect and makes the next batch to it use a new connection.
func (gatherLoop *gatherLoop) reportUnresponsive(call *call, event string) {
	gatherLoop.engine.config.Recorder.CountEvent(event, 1)
	gatherLoop.engine.config.Members.ReportSuspect(call.owner.Name)
	if call.stream != nil {
		gatherLoop.engine.ownerStreams.reconnect(call.stream)
	}
}

// nextWakeDelay returns the time until the next hedge or acknowledgement timeout is due.
func (gatherLoop *gatherLoop) nextWakeDelay(now time.Time) time.Duration {
	next := gatherLoop.execution.gather.NextTick()
	for _, call := range gatherLoop.execution.scatter.calls {
		if !gatherLoop.canTimeOut(call) {
			continue
		}
		due := call.lastMessageAt.Add(gatherLoop.ackTimeout())
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	if next.IsZero() {
		return time.Hour
	}
	return max(0, next.Sub(now))
}

// canTimeOut reports whether the call's attempts may be sent elsewhere when its owner is unresponsive. Non-idempotent work that
// was started must not be.
func (gatherLoop *gatherLoop) canTimeOut(call *call) bool {
	if call.lost || call.sentElsewhere || call.isLocal() || len(call.attempts) == 0 {
		return false
	}
	return gatherLoop.execution.query.Idempotent() || call.awaitsStart()
}

// ackTimeout returns how long an owner with open attempts may send nothing.
func (gatherLoop *gatherLoop) ackTimeout() time.Duration {
	return gatherLoop.engine.config.AckTimeout
}

// stallDivisor divides ackTimeout to give the timer delay above which this VM itself is assumed to have stalled.
const stallDivisor = 4

// resetAckTimers restarts every owner's acknowledgement timeout after this VM stalled, since it could not receive replies.
func (gatherLoop *gatherLoop) resetAckTimers(now time.Time) {
	for _, call := range gatherLoop.execution.scatter.calls {
		call.lastMessageAt = now
	}
}

// handleTimer acts on the hedges and acknowledgement timeouts that are due.
func (gatherLoop *gatherLoop) handleTimer(now time.Time) {
	execution := gatherLoop.execution
	gatherLoop.handleEvents()
	if now.Sub(gatherLoop.wakeDue) > gatherLoop.ackTimeout()/stallDivisor {
		gatherLoop.resetAckTimers(now)
	}
	for _, call := range execution.scatter.calls {
		if gatherLoop.canTimeOut(call) && now.Sub(call.lastMessageAt) >= gatherLoop.ackTimeout() {
			gatherLoop.handleUnresponsiveOwner(now, call)
		}
	}
	actions := execution.gather.Tick(now)
	gatherLoop.engine.applyActions(now, execution, actions)
}
