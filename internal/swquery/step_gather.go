package swquery

import (
	"context"
	"fmt"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// drainingFor is how long this root passes over a backend server whose owner says that it takes no new work.
const drainingFor = 5 * time.Second

// gatherStep waits for the shards' answers, with hedges, retries and cancellation.
type gatherStep struct {
	engine *Engine
}

func (*gatherStep) String() string { return "gather the answers" }

// Run returns once every shard has answered, or the query can no longer reach the coverage that it asks for.
func (gatherStep *gatherStep) Run(ctx context.Context, execution *execution) error {
	ctx, cancel := context.WithDeadline(ctx, execution.answerBy())
	defer cancel()
	wait := &gatherWait{engine: gatherStep.engine, execution: execution}
	wait.run(ctx)
	actions := execution.gather.Withdraw()
	execution.scatter.withdraw(actions.Cancel)
	return gatherStep.conclude(ctx, execution)
}

func (gatherStep *gatherStep) conclude(ctx context.Context, execution *execution) error {
	gather := execution.gather
	if !execution.query.Idempotent() {
		return concludeRun(execution)
	}
	coverage := gather.Coverage()
	if gather.NotHeld && ctx.Err() == nil && gatherStep.engine.pin.hasAnother(execution) {
		return &restartError{Snapshot: execution.snapshot.ID}
	}
	if coverage.whole() || coverage.Shards > 0 && coverage.Fraction() >= execution.query.MinCoverage {
		gatherStep.engine.config.Quarantine.RecordCompletion(execution.query.Fingerprint)
		return nil
	}
	if gather.NotHeld {
		return &restartError{Snapshot: execution.snapshot.ID}
	}
	return execution.shortfall(ctx, coverage)
}

// shortfall returns the refusal of a query that did not reach its coverage.
func (execution *execution) shortfall(ctx context.Context, coverage Coverage) error {
	covered := fmt.Sprintf("%d of %d shards answered", coverage.Shards, coverage.OfShards)
	answer, shard, failed := execution.gather.Failure()
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

// failureCode returns the code that tells a caller why a shard has no answer.
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

// concludeRun tells the outcome of non-idempotent work: all ran, none ran, or it cannot be told for every shard.
func concludeRun(execution *execution) error {
	ran, notRun, unknown := execution.gather.tally()
	if notRun == 0 && unknown == 0 {
		return nil
	}
	if ran == 0 && unknown == 0 {
		if execution.gather.NotHeld {
			return &restartError{Snapshot: execution.snapshot.ID}
		}
		return runRefusal(execution, swcode.RanNo)
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

func runRefusal(execution *execution, ran swcode.Ran) error {
	answer, shard, failed := execution.gather.Failure()
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

// gatherWait is the loop that feeds a gather with events.
type gatherWait struct {
	engine    *Engine
	execution *execution
	// canary is set until one shard of a suspect query has answered; canaryAt is the position of the shard that runs it.
	canary   bool
	canaryAt int
	// due is the time at which the wait was to end.
	due time.Time
	// aborted is set when the canary failed, so that the other shards are not tried.
	aborted bool
	// noted is set once an answer was told to the judge of crashes.
	noted bool
}

func (gatherWait *gatherWait) run(ctx context.Context) {
	execution := gatherWait.execution
	gatherWait.canary = execution.verdict == swquarantine.Canary && len(execution.plan) > 1
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	gatherWait.checkCanary(time.Now())
	for !gatherWait.over() {
		now := time.Now()
		wait := gatherWait.nextWake(now)
		gatherWait.due = now.Add(wait)
		timer.Reset(wait)
		select {
		case <-execution.scatter.events.wake:
			gatherWait.takeEvents()
		case <-timer.C:
			gatherWait.wake(time.Now())
		case <-ctx.Done():
			execution.gather.Close()
			gatherWait.takeEvents()
			gatherWait.dropUnstarted(time.Now())
			return
		}
	}
}

// takeEvents takes what the links have reported.
func (gatherWait *gatherWait) takeEvents() {
	for _, event := range gatherWait.execution.scatter.events.take() {
		gatherWait.take(event)
	}
}

// over reports whether no further answer can change the outcome.
func (gatherWait *gatherWait) over() bool {
	gather := gatherWait.execution.gather
	if gather.Done() || gatherWait.aborted {
		return true
	}
	if !gatherWait.execution.query.Idempotent() {
		return false
	}
	if gather.NotHeld && gatherWait.engine.pin.hasAnother(gatherWait.execution) {
		return true
	}
	return gather.MaxCoverage() < gatherWait.execution.query.MinCoverage
}

func (gatherWait *gatherWait) take(event scatterEvent) {
	now := time.Now()
	event.link.heard = now
	if event.broken {
		gatherWait.lose(now, event.link, event.ran)
		return
	}
	gatherWait.engine.config.Gate.Observe(event.link.owner.Name, event.reply.Report)
	gatherWait.startHeld(event.link)
	if !gatherWait.execution.asked(&event.reply) {
		gatherWait.engine.config.Recorder.CountEvent("crossed_answers", int64(len(event.reply.Answers)))
		return
	}
	for i := range event.reply.Answers {
		gatherWait.answer(now, event.link, &event.reply.Answers[i])
	}
}

// startHeld lets a batch of non-idempotent work begin, once its owner has spoken and while the answer is still wanted.
func (gatherWait *gatherWait) startHeld(link *link) {
	if !link.unstarted() || link.lost || gatherWait.execution.gather.closed {
		return
	}
	link.started = true
	link.line.startHeld(link)
}

// dropUnstarted settles at the end that what was never told to begin has not run.
func (gatherWait *gatherWait) dropUnstarted(now time.Time) {
	for _, link := range gatherWait.execution.scatter.links {
		if !link.unstarted() || link.lost {
			continue
		}
		link.lost = true
		gatherWait.execution.gather.Lose(now, swcode.RanNo, link.carries)
	}
}

// asked reports whether the reply echoes the query and its snapshot.
func (execution *execution) asked(reply *Reply) bool {
	return reply.QueryID == execution.query.ID && reply.Snapshot == execution.snapshot.ID
}

// answer takes one attempt's outcome. An answer that does not echo its attempt is dropped.
func (gatherWait *gatherWait) answer(now time.Time, link *link, item *ItemAnswer) {
	execution := gatherWait.execution
	if !execution.gather.Expects(item.Attempt, item.Shard, item.Server) || !link.answered(item.Attempt) {
		gatherWait.engine.config.Recorder.CountEvent("crossed_answers", 1)
		return
	}
	actions, age, known := execution.gather.HandleAnswer(now, item.Attempt, item.Server, item.Answer)
	if !known {
		gatherWait.engine.config.Recorder.CountEvent("duplicate_answers", 1)
		return
	}
	gatherWait.observe(now, item, age)
	gatherWait.engine.carryOut(now, execution, actions)
	gatherWait.checkCanary(now)
}

// checkCanary sends the other shards once one has answered. A shard where no server saw the request passes the canary on
// to the next; any other failure gives the query up.
func (gatherWait *gatherWait) checkCanary(now time.Time) {
	gather := gatherWait.execution.gather
	for gatherWait.canary && !gather.closed {
		shard := &gather.shards[gatherWait.canaryAt]
		switch {
		case shard.state == shardAnswered:
			gatherWait.release(now)
		case shard.state == shardRunning:
			return
		case shard.ran == swcode.RanNo && gatherWait.canaryAt+1 < len(gather.shards):
			gatherWait.canaryAt++
			gatherWait.start(now, gatherWait.canaryAt, gatherWait.canaryAt+1)
		default:
			gatherWait.canary, gatherWait.aborted = false, true
		}
	}
}

// start sends the first attempts of some shards.
func (gatherWait *gatherWait) start(now time.Time, first, last int) {
	execution := gatherWait.execution
	gatherWait.engine.carryOut(now, execution, execution.gather.Start(now, first, last))
}

// release sends the shards that waited for the canary.
func (gatherWait *gatherWait) release(now time.Time) {
	gatherWait.canary = false
	gatherWait.start(now, gatherWait.canaryAt+1, len(gatherWait.execution.plan))
}

func (gatherWait *gatherWait) observe(now time.Time, item *ItemAnswer, age time.Duration) {
	latencies := gatherWait.engine.latencies
	switch item.Answer.Outcome {
	case swbackend.Answered:
		latencies.Observe(now, gatherWait.execution.query.Index, item.Shard, item.Server, age)
		gatherWait.noteAnswered()
	case swbackend.ServerLeaving:
		gatherWait.engine.config.Registry.SetDraining(item.Server, drainingFor)
	case swbackend.SnapshotNotHeld:
		gatherWait.engine.planner.NoteLacking(now, gatherWait.execution.snapshot, item.Server)
	case swbackend.Cancelled:
		latencies.ObserveWithdrawn(gatherWait.execution.query.Index, item.Shard, age)
	default:
		latencies.ObserveFailure(now, item.Server)
	}
}

// noteAnswered tells once that the request did not crash a server.
func (gatherWait *gatherWait) noteAnswered() {
	crashes := gatherWait.engine.config.Crashes
	if crashes == nil || gatherWait.noted {
		return
	}
	gatherWait.noted = true
	crashes.RecordAnswer(gatherWait.execution.query.Fingerprint)
}

// lose gives up the attempts of a link whose owner is gone.
func (gatherWait *gatherWait) lose(now time.Time, link *link, ran swcode.Ran) {
	if link.lost || len(link.attempts) == 0 {
		return
	}
	link.lost = true
	if link.unstarted() {
		ran = swcode.RanNo
	}
	gatherWait.distrust(link, "lost_owners")
	actions := gatherWait.execution.gather.Lose(now, ran, link.carries)
	gatherWait.engine.carryOut(now, gatherWait.execution, actions)
	gatherWait.checkCanary(now)
}

// overtake sends the attempts of a link whose owner is silent elsewhere as well. Work that the owner was never told to
// begin is given up instead, since it cannot have run.
func (gatherWait *gatherWait) overtake(now time.Time, link *link) {
	if link.unstarted() {
		gatherWait.lose(now, link, swcode.RanNo)
		return
	}
	link.overtaken = true
	gatherWait.distrust(link, "silent_owners")
	actions := gatherWait.execution.gather.Overtake(now, link.carries)
	gatherWait.engine.carryOut(now, gatherWait.execution, actions)
}

// distrust has the owner probed and makes the next batch to it go over a fresh connection.
func (gatherWait *gatherWait) distrust(link *link, event string) {
	gatherWait.engine.config.Recorder.CountEvent(event, 1)
	gatherWait.engine.config.Members.ReportSuspect(link.owner.Name)
	if link.line != nil {
		gatherWait.engine.lines.forget(link.line)
	}
}

// nextWake returns how long to wait for the next hedge or the next owner that is due to be heard.
func (gatherWait *gatherWait) nextWake(now time.Time) time.Duration {
	next := gatherWait.execution.gather.NextTick()
	for _, link := range gatherWait.execution.scatter.links {
		if !gatherWait.mayLose(link) {
			continue
		}
		due := link.heard.Add(gatherWait.silence())
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	if next.IsZero() {
		return time.Hour
	}
	return max(0, next.Sub(now))
}

// mayLose reports whether silence on the link may move its attempts elsewhere. Non-idempotent work that was told to begin
// stays where it is.
func (gatherWait *gatherWait) mayLose(link *link) bool {
	if link.lost || link.overtaken || link.local() || len(link.attempts) == 0 {
		return false
	}
	return gatherWait.execution.query.Idempotent() || link.unstarted()
}

// silence is how long an owner that still has attempts may say nothing.
func (gatherWait *gatherWait) silence() time.Duration {
	return gatherWait.engine.config.AckTimeout
}

// stallPart is the part of the silence by which a wake-up may be late before this VM itself is taken to have stood still.
const stallPart = 4

// forgive gives every owner its time anew, since this VM could not hear them.
func (gatherWait *gatherWait) forgive(now time.Time) {
	for _, link := range gatherWait.execution.scatter.links {
		link.heard = now
	}
}

// wake acts on the hedges and silences that are due.
func (gatherWait *gatherWait) wake(now time.Time) {
	execution := gatherWait.execution
	gatherWait.takeEvents()
	if now.Sub(gatherWait.due) > gatherWait.silence()/stallPart {
		gatherWait.forgive(now)
	}
	for _, link := range execution.scatter.links {
		if gatherWait.mayLose(link) && now.Sub(link.heard) >= gatherWait.silence() {
			gatherWait.overtake(now, link)
		}
	}
	actions := execution.gather.Tick(now)
	gatherWait.engine.carryOut(now, execution, actions)
}
