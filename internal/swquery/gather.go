package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// maxAttempts is the maximum number of attempts for one shard of one query.
	maxAttempts = 6
	// attemptBits is the number of bits of an attempt ID that hold the attempt's number.
	attemptBits = 8
	// shardBits is the number of bits of an attempt ID that hold the shard's position.
	shardBits = 24
)

// Target is a backend server and the owner through which it is reached.
type Target struct {
	Server string
	Owner  string
	// Local is set if the server is in this VM's data centre.
	Local bool
}

// ShardPlan is one shard of the pinned snapshot with its targets, best first.
type ShardPlan struct {
	Number    int
	Documents int64
	Targets   []Target
}

// Command identifies an attempt to send or to cancel.
type Command struct {
	Attempt uint64
	Shard   int
	Target  Target
}

// Actions are the attempts to send and to cancel after an event. The next event reuses the slices.
type Actions struct {
	Send   []Command
	Cancel []Command
}

// Budget limits attempts beyond the first for a shard.
type Budget interface {
	// Take reports whether one more attempt is granted for the shard with that number.
	Take(shard int) bool
}

// GatherConfig configures a Gather.
type GatherConfig struct {
	Shards []ShardPlan
	// Epoch distinguishes the gathers of one query; it is part of each attempt ID.
	Epoch uint16
	// Idempotent allows further attempts for a shard after one that may have run.
	Idempotent bool
	// MayRetry returns false to forbid hedges and retries because the request may crash servers; nil allows them.
	MayRetry func() bool
	// MayRetryAfterCrash returns false to forbid retries after a server crashed with the request in flight; nil allows them.
	MayRetryAfterCrash func() bool
	// Canary forbids hedges until a shard has answered.
	Canary bool
	Budget Budget
	// MaxAttempts is the maximum number of attempts for one shard that may have run; zero means maxAttempts.
	MaxAttempts int
	// SortTargets sorts the remaining targets of the shard with that number before each attempt, best first; nil keeps the order of
	// the plan.
	SortTargets func(shard int, left []Target)
	// HedgeDelay returns the delay before a shard is hedged, or zero for no hedge.
	HedgeDelay func(shard int, target Target) time.Duration
	// OnLate is called once for each attempt that is due for a hedge, whether or not the hedge is granted; it may be nil.
	OnLate func(server string, age time.Duration)
}

// Gather is the state machine that decides which attempts to send for each shard and which answer counts. Each shard
// contributes at most one answer to the result, however many attempts were sent for it. It does no I/O, receives the time as an
// argument, and must be used by one goroutine only.
type Gather struct {
	config        GatherConfig
	shards        []gatherShard
	actions       Actions
	pendingShards int
	// anyAnswered is set once a shard has answered. deferredShards counts the shards whose retry is deferred until then.
	anyAnswered    bool
	deferredShards int
	// sendingStopped is set once no more attempts may be sent.
	sendingStopped bool
	// nextTick is no later than the next due hedge; zero if no hedge is scheduled.
	nextTick time.Time
	// totalDocuments and failedDocuments count the documents of all shards and of the failed shards.
	totalDocuments  int64
	failedDocuments int64
	failedShards    int

	Attempts int
	Hedges   int
	Retries  int
	// NotHeld is set once a shard has failed after some server reported that it does not hold the snapshot.
	NotHeld bool
}

// gatherShard is the state of one shard of a gather.
type gatherShard struct {
	plan ShardPlan
	// nextTarget is the index in plan.Targets of the next target to try.
	nextTarget int
	attempts   []attempt
	// openAttempts is the number of attempts without an outcome.
	openAttempts int
	// hedgeAt is when the next hedge is due; zero if none is scheduled.
	hedgeAt time.Time
	state   shardState
	// answer is the accepted answer, or the last failure.
	answer swbackend.Answer
	// notHeldCount is the number of attempts whose server did not hold the snapshot.
	notHeldCount int
	ran          swcode.Ran
	// deferred is set while the shard's retry waits until another shard has answered.
	deferred bool
}

type shardState int

const (
	shardRunning  shardState = 0
	shardAnswered shardState = 1
	shardFailed   shardState = 2
)

// attempt is one sub-request that was sent for a shard.
type attempt struct {
	target Target
	sentAt time.Time
	ended  bool
	// lost is set if the attempt ended because its owner was lost; a later answer still counts.
	lost bool
	// reportedLate is set once the attempt has been passed to OnLate.
	reportedLate bool
	// serverExcluded is set if the server cannot answer, whichever owner sends to it.
	serverExcluded bool
	// notRun is set if the attempt certainly did not run.
	notRun bool
}

// NewGather returns a gather without any attempt.
func NewGather(config GatherConfig) *Gather {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = maxAttempts
	}
	gather := &Gather{config: config, shards: make([]gatherShard, len(config.Shards)), pendingShards: len(config.Shards)}
	backing := make([]attempt, 2*len(config.Shards))
	for i := range gather.shards {
		gather.shards[i].plan = config.Shards[i]
		gather.shards[i].ran = swcode.RanNo
		gather.totalDocuments += config.Shards[i].Documents
		gather.shards[i].attempts = backing[2*i : 2*i : 2*i+2]
	}
	gather.actions.Send = make([]Command, 0, len(config.Shards))
	return gather
}

// Start sends the first attempts for the shards from first up to but not including last.
func (gather *Gather) Start(now time.Time, first, last int) Actions {
	gather.resetActions()
	for i := first; i < last; i++ {
		gather.sendAttempt(now, i)
	}
	return gather.actions
}

// StopSending prevents further attempts when the deadline has passed. Answers still count, and shards whose attempts fail stay
// unresolved.
func (gather *Gather) StopSending() {
	gather.sendingStopped = true
}

// HasAttempt reports whether this gather sent the attempt to that server for the shard with that number.
func (gather *Gather) HasAttempt(attemptID uint64, shard int, server string) bool {
	position, attempt := gather.findAttempt(attemptID)
	return attempt != nil && attempt.target.Server == server && gather.shards[position].plan.Number == shard
}

// Done reports whether every shard has answered or failed.
func (gather *Gather) Done() bool {
	return gather.pendingShards == 0
}

// HandleAnswer handles the outcome of an attempt and returns the attempt's age. known is false if the attempt does not belong
// to this gather or already has an outcome; the caller then counts the answer and drops it.
func (gather *Gather) HandleAnswer(now time.Time, attemptID uint64, server string, answer swbackend.Answer) (actions Actions, age time.Duration, known bool) {
	gather.resetActions()
	position, attempt := gather.findAttempt(attemptID)
	if attempt == nil || attempt.target.Server != server {
		return Actions{}, 0, false
	}
	if attempt.ended && !attempt.lost {
		return Actions{}, 0, false
	}
	shard := &gather.shards[position]
	if !attempt.lost {
		shard.openAttempts--
	}
	lost := attempt.lost
	attempt.ended = true
	attempt.lost = false
	attempt.notRun = answer.Ran == swcode.RanNo
	shard.recordRan(answer.Ran)
	age = now.Sub(attempt.sentAt)
	if lost && answer.Outcome != swbackend.Answered {
		return gather.actions, age, true
	}
	if shard.state != shardRunning {
		return gather.actions, age, true
	}
	if answer.Outcome == swbackend.Answered {
		gather.acceptAnswer(now, position, answer)
		return gather.actions, age, true
	}
	attempt.serverExcluded = answer.Outcome == swbackend.SnapshotNotHeld || answer.Outcome == swbackend.ServerLeaving
	gather.handleFailure(now, position, answer)
	return gather.actions, age, true
}

// acceptAnswer completes a shard with the answer, cancels its other attempts and retries the deferred shards.
func (gather *Gather) acceptAnswer(now time.Time, position int, answer swbackend.Answer) {
	shard := &gather.shards[position]
	shard.state = shardAnswered
	shard.answer = answer
	gather.pendingShards--
	gather.anyAnswered = true
	gather.cancelOpenAttempts(position)
	gather.retryDeferred(now)
}

func (gather *Gather) cancelOpenAttempts(position int) {
	shard := &gather.shards[position]
	for i := range shard.attempts {
		if shard.attempts[i].ended {
			continue
		}
		gather.actions.Cancel = append(gather.actions.Cancel, Command{
			Attempt: gather.attemptID(position, i),
			Shard:   shard.plan.Number,
			Target:  shard.attempts[i].target,
		})
	}
}

// handleFailure records the failure of a shard's attempt, and replaces, retries or defers it, or fails the shard.
func (gather *Gather) handleFailure(now time.Time, position int, answer swbackend.Answer) {
	shard := &gather.shards[position]
	shard.answer = answer
	if answer.Outcome == swbackend.SnapshotNotHeld {
		shard.notHeldCount++
	}
	if shard.openAttempts > 0 {
		gather.replaceHedge(now, position, answer)
		return
	}
	if gather.deferRetry(shard, answer) {
		return
	}
	gather.retryOrFail(now, position)
}

// retryOrFail retries a shard without open attempts, or fails it. Once sending has stopped, the shard stays unresolved.
func (gather *Gather) retryOrFail(now time.Time, position int) {
	if gather.sendingStopped {
		return
	}
	shard := &gather.shards[position]
	if gather.mayRetry(shard, shard.answer) && gather.sendAttempt(now, position) {
		gather.Retries++
		return
	}
	gather.failShard(position)
}

// mayRetry reports whether a shard without open attempts may be retried. It deducts the retry from the budget unless the last
// attempt used no server capacity.
func (gather *Gather) mayRetry(shard *gatherShard, answer swbackend.Answer) bool {
	if !gather.hasTarget(shard) {
		return false
	}
	if !gather.config.Idempotent && shard.ran != swcode.RanNo {
		return false
	}
	if usedNoCapacity(answer.Outcome) {
		return true
	}
	if gather.mayCrashServers() || (answer.Crash && gather.mayHaveCausedCrash()) {
		return false
	}
	return gather.config.Budget.Take(shard.plan.Number)
}

// mayCrashServers reports whether the request is suspected of crashing the servers that run it.
func (gather *Gather) mayCrashServers() bool {
	return gather.config.MayRetry != nil && !gather.config.MayRetry()
}

// usedNoCapacity reports whether the attempt used no capacity of the backend server.
func usedNoCapacity(outcome swbackend.Outcome) bool {
	switch outcome {
	case swbackend.SnapshotNotHeld, swbackend.ServerLeaving, swbackend.Unreachable, swbackend.UnknownServer:
		return true
	default:
		return false
	}
}

func (gather *Gather) failShard(position int) {
	shard := &gather.shards[position]
	shard.state = shardFailed
	gather.pendingShards--
	gather.failedDocuments += shard.plan.Documents
	gather.failedShards++
	if shard.notHeldCount > 0 {
		gather.NotHeld = true
	}
	gather.failDeferred()
}

// HandleLoss fails the matching open attempts, whose owner did not acknowledge them or lost its stream. ran reports whether they
// may have run.
func (gather *Gather) HandleLoss(now time.Time, ran swcode.Ran, matches func(attemptID uint64, target Target) bool) Actions {
	gather.resetActions()
	lost := swbackend.Answer{Outcome: swbackend.Broken, Ran: ran, Code: swcode.BackendFailed, Message: "the owner of the backend server is unreachable"}
	if ran == swcode.RanNo {
		lost.Outcome = swbackend.Unreachable
	}
	for position := range gather.shards {
		gather.loseAttempts(now, position, lost, matches)
	}
	return gather.actions
}

// loseAttempts fails the matching open attempts of one shard. A late answer to one of them still counts.
func (gather *Gather) loseAttempts(now time.Time, position int, lost swbackend.Answer, matches func(uint64, Target) bool) {
	shard := &gather.shards[position]
	for i := range shard.attempts {
		attempt := &shard.attempts[i]
		if attempt.ended || !matches(gather.attemptID(position, i), attempt.target) {
			continue
		}
		attempt.ended = true
		attempt.lost = true
		shard.openAttempts--
		shard.recordRan(lost.Ran)
		shard.appendTarget(attempt.target)
		lost.Message = "owner " + attempt.target.Owner + " of backend server " + attempt.target.Server + " is unreachable"
		if shard.state == shardRunning {
			gather.handleFailure(now, position, lost)
		}
	}
}

// appendTarget adds the target of a lost attempt to the end of the shard's targets, at most once: the server may be alive and
// reachable over a new stream.
func (shard *gatherShard) appendTarget(target Target) {
	count := 0
	for _, known := range shard.plan.Targets {
		if known == target {
			count++
		}
	}
	if count == 1 {
		shard.plan.Targets = append(shard.plan.Targets, target)
	}
}

// CancelOpen returns the open attempts as attempts to cancel.
func (gather *Gather) CancelOpen() Actions {
	gather.resetActions()
	for position := range gather.shards {
		gather.cancelOpenAttempts(position)
	}
	return gather.actions
}

// attemptID combines the epoch, the shard's position in the plan and the attempt's number.
func (gather *Gather) attemptID(position, number int) uint64 {
	return uint64(gather.config.Epoch)<<(shardBits+attemptBits) | uint64(position)<<attemptBits | uint64(number)
}

// findAttempt returns an attempt and its shard's position in the plan, or nil if the ID belongs to another gather.
func (gather *Gather) findAttempt(attemptID uint64) (position int, found *attempt) {
	epoch := attemptID >> (shardBits + attemptBits)
	position = int(attemptID >> attemptBits & (1<<shardBits - 1))
	number := int(attemptID & (1<<attemptBits - 1))
	if epoch != uint64(gather.config.Epoch) || position >= len(gather.shards) {
		return 0, nil
	}
	shard := &gather.shards[position]
	if number >= len(shard.attempts) {
		return 0, nil
	}
	return position, &shard.attempts[number]
}

func (gather *Gather) resetActions() {
	gather.actions.Send = gather.actions.Send[:0]
	gather.actions.Cancel = gather.actions.Cancel[:0]
}
