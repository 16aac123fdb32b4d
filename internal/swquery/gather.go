package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// maxAttempts bounds the attempts for one shard of one query.
	maxAttempts = 6
	// attemptBits is the width of the attempt number inside an attempt ID.
	attemptBits = 8
	// shardBits is the width of the shard's position inside an attempt ID.
	shardBits = 24
)

// Target is one way to reach a replica: a backend server through the VM that owns it.
type Target struct {
	Server string
	Owner  string
	// Local marks a server of this VM's data centre.
	Local bool
}

// ShardPlan is one shard of the pinned snapshot with the ways to reach it, best first.
type ShardPlan struct {
	Number    int
	Documents int64
	Targets   []Target
}

// Command tells the scatter to send an attempt.
type Command struct {
	Attempt uint64
	Shard   int
	Target  Target
}

// Orders is what the gather wants done after an event. The slices are reused by the next event.
type Actions struct {
	Send   []Command
	Cancel []Command
}

// Budget grants attempts beyond the first for a shard.
type Budget interface {
	// Take reports whether one more attempt is granted for the shard of that number.
	Take(shard int) bool
}

// GatherConfig holds what a Gather is built from.
type GatherConfig struct {
	Shards []ShardPlan
	// Epoch tells apart the gathers of one query; it stands in each attempt ID.
	Epoch uint16
	// Idempotent allows more than one attempt for a shard once one may have run.
	Idempotent bool
	// MayRetry forbids hedges and retries, when false, of a request that may crash servers; nil allows them.
	MayRetry func() bool
	// MayRetryCrashed forbids, when false, a retry after a server died with the request in flight; nil allows it.
	MayRetryCrashed func() bool
	// Canary forbids hedges until a shard has answered.
	Canary bool
	Budget Budget
	// MaxAttempts bounds the attempts for one shard that may have run; the default is maxAttempts.
	MaxAttempts int
	// Order puts the targets that are left for the shard of that number into the order in which to try them, each time that
	// one is needed; nil keeps the order of the plan.
	Order func(shard int, left []Target)
	// HedgeAfter returns the wait before a shard is hedged, or zero for never.
	HedgeAfter func(shard int, target Target) time.Duration
	// OnLate is told once of each attempt that is due for a hedge, whether it is granted or not; it may be nil.
	OnLate func(server string, age time.Duration)
}

// Gather decides which attempts to send for each shard and which answer counts. It does no I/O and takes the time as
// an argument; one goroutine uses it. Each shard counts once, whatever hedges and retries did.
type Gather struct {
	config  GatherConfig
	shards  []gatherShard
	orders  Actions
	waiting int
	// answered is set once a shard has answered, held counts the shards that are held back until then.
	answered bool
	held     int
	// closed is set when nothing may be sent any more.
	closed bool
	// nextTick is no later than the next hedge that is due; zero when none is.
	nextTick time.Time
	// total and failed count the documents of all shards and of those that failed.
	total  int64
	failed int64
	// failedShards is the number of shards that failed.
	failedShards int

	Attempts int
	Hedges   int
	Retries  int
	// NotHeld is set when a shard has failed and a replica of it does not hold the snapshot.
	NotHeld bool
}

type gatherShard struct {
	plan       ShardPlan
	nextTarget int
	attempts   []attempt
	// running is the number of attempts without an outcome.
	running int
	hedgeAt time.Time
	state   shardState
	answer  swbackend.Answer
	notHeld int
	ran     swcode.Ran
	// held marks a shard whose retry waits until another shard has answered.
	held bool
}

type shardState int

const (
	shardRunning  shardState = 0
	shardAnswered shardState = 1
	shardFailed   shardState = 2
)

type attempt struct {
	target Target
	sentAt time.Time
	ended  bool
	// lost marks an attempt that ended with the loss of its owner; its answer still counts when it comes after all.
	lost bool
	// late marks an attempt that OnLate was told of.
	late bool
	// useless marks a server that cannot answer whoever asks it.
	useless bool
	// notRun marks an attempt that has certainly not run.
	notRun bool
}

// NewGather returns a gather that has sent nothing.
func NewGather(config GatherConfig) *Gather {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = maxAttempts
	}
	gather := &Gather{config: config, shards: make([]gatherShard, len(config.Shards)), waiting: len(config.Shards)}
	backing := make([]attempt, 2*len(config.Shards))
	for i := range gather.shards {
		gather.shards[i].plan = config.Shards[i]
		gather.total += config.Shards[i].Documents
		gather.shards[i].attempts = backing[2*i : 2*i : 2*i+2]
	}
	gather.orders.Send = make([]Command, 0, len(config.Shards))
	return gather
}

// Start sends the first attempt for the shards from first up to but not including last.
func (gather *Gather) Start(now time.Time, first, last int) Actions {
	gather.reset()
	for i := first; i < last; i++ {
		gather.send(now, i)
	}
	return gather.orders
}

// Close ends the sending: answers still count, and failures stay open until the deadline that has come.
func (gather *Gather) Close() {
	gather.closed = true
}

// Expects reports whether an attempt of that identity belongs to this gather.
func (gather *Gather) Expects(attemptID uint64, shard int, server string) bool {
	position, attempt := gather.find(attemptID)
	return attempt != nil && attempt.target.Server == server && gather.shards[position].plan.Number == shard
}

// Done reports whether every shard has an answer or has failed.
func (gather *Gather) Done() bool {
	return gather.waiting == 0
}

// Answer takes the outcome of an attempt. It reports the attempt's age and whether the attempt was one of this gather
// that had no outcome yet; any other is to be counted and dropped.
func (gather *Gather) HandleAnswer(now time.Time, attemptID uint64, server string, answer swbackend.Answer) (actions Actions, age time.Duration, known bool) {
	gather.reset()
	position, attempt := gather.find(attemptID)
	if attempt == nil || attempt.target.Server != server {
		return Actions{}, 0, false
	}
	if attempt.ended && !attempt.lost {
		return Actions{}, 0, false
	}
	shard := &gather.shards[position]
	if !attempt.lost {
		shard.running--
	}
	lost := attempt.lost
	attempt.ended = true
	attempt.lost = false
	attempt.notRun = answer.Ran == swcode.RanNo
	shard.noteRan(answer.Ran)
	age = now.Sub(attempt.sentAt)
	if lost && answer.Outcome != swbackend.Answered {
		return gather.orders, age, true
	}
	if shard.state != shardRunning {
		return gather.orders, age, true
	}
	if answer.Outcome == swbackend.Answered {
		gather.accept(now, position, answer)
		return gather.orders, age, true
	}
	attempt.useless = answer.Outcome == swbackend.SnapshotNotHeld || answer.Outcome == swbackend.ServerLeaving
	gather.attemptFailed(now, position, answer)
	return gather.orders, age, true
}

func (gather *Gather) accept(now time.Time, position int, answer swbackend.Answer) {
	shard := &gather.shards[position]
	shard.state = shardAnswered
	shard.answer = answer
	gather.waiting--
	gather.answered = true
	gather.cancelOthers(position)
	gather.releaseHeld(now)
}

func (gather *Gather) cancelOthers(position int) {
	shard := &gather.shards[position]
	for i := range shard.attempts {
		if shard.attempts[i].ended {
			continue
		}
		gather.orders.Cancel = append(gather.orders.Cancel, Command{
			Attempt: gather.attemptID(position, i),
			Shard:   shard.plan.Number,
			Target:  shard.attempts[i].target,
		})
	}
}

func (gather *Gather) attemptFailed(now time.Time, position int, answer swbackend.Answer) {
	shard := &gather.shards[position]
	shard.answer = answer
	if answer.Outcome == swbackend.SnapshotNotHeld {
		shard.notHeld++
	}
	if shard.running > 0 {
		gather.replaceHedge(now, position, answer)
		return
	}
	if gather.holdBack(shard, answer) {
		return
	}
	gather.retryOrFail(now, position)
}

func (gather *Gather) retryOrFail(now time.Time, position int) {
	if gather.closed {
		return
	}
	shard := &gather.shards[position]
	if gather.mayRetry(shard, shard.answer) && gather.send(now, position) {
		gather.Retries++
		return
	}
	gather.fail(position)
}

// mayRetry reports whether a shard whose attempts have all ended may be tried again.
func (gather *Gather) mayRetry(shard *gatherShard, answer swbackend.Answer) bool {
	if !gather.hasTarget(shard) {
		return false
	}
	if !gather.config.Idempotent && shard.ran != swcode.RanNo {
		return false
	}
	if costsNothing(answer.Outcome) {
		return true
	}
	if gather.suspect() || (answer.Crash && gather.crasher()) {
		return false
	}
	return gather.config.Budget.Take(shard.plan.Number)
}

// suspect reports whether the request may crash the servers that run it.
func (gather *Gather) suspect() bool {
	return gather.config.MayRetry != nil && !gather.config.MayRetry()
}

// costsNothing reports whether the backend server spent no capacity on the attempt.
func costsNothing(outcome swbackend.Outcome) bool {
	switch outcome {
	case swbackend.SnapshotNotHeld, swbackend.ServerLeaving, swbackend.Unreachable, swbackend.UnknownServer:
		return true
	default:
		return false
	}
}

func (gather *Gather) fail(position int) {
	shard := &gather.shards[position]
	shard.state = shardFailed
	gather.waiting--
	gather.failed += shard.plan.Documents
	gather.failedShards++
	if shard.notHeld > 0 {
		gather.NotHeld = true
	}
	gather.failHeld()
}

// Lose takes the loss of the attempts that match: their owner did not acknowledge them or its exchange broke. ran tells
// whether they may have run.
func (gather *Gather) Lose(now time.Time, ran swcode.Ran, matches func(attemptID uint64, target Target) bool) Actions {
	gather.reset()
	lost := swbackend.Answer{Outcome: swbackend.Broken, Ran: ran, Code: swcode.BackendFailed, Message: "the owner of the backend server was lost"}
	if ran == swcode.RanNo {
		lost.Outcome = swbackend.Unreachable
	}
	for position := range gather.shards {
		gather.loseShard(now, position, lost, matches)
	}
	return gather.orders
}

func (gather *Gather) loseShard(now time.Time, position int, lost swbackend.Answer, matches func(uint64, Target) bool) {
	shard := &gather.shards[position]
	for i := range shard.attempts {
		attempt := &shard.attempts[i]
		if attempt.ended || !matches(gather.attemptID(position, i), attempt.target) {
			continue
		}
		attempt.ended = true
		attempt.lost = true
		shard.running--
		shard.noteRan(lost.Ran)
		shard.tryAgainLast(attempt.target)
		lost.Message = "owner " + attempt.target.Owner + " of backend server " + attempt.target.Server + " was lost"
		if shard.state == shardRunning {
			gather.attemptFailed(now, position, lost)
		}
	}
}

// tryAgainLast adds a target that was lost with its stream to the end, once: the server lives, and a fresh stream may work.
func (shard *gatherShard) tryAgainLast(target Target) {
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

// Withdraw returns the attempts that have no outcome, to be cancelled.
func (gather *Gather) Withdraw() Actions {
	gather.reset()
	for position := range gather.shards {
		gather.cancelOthers(position)
	}
	return gather.orders
}

func (gather *Gather) attemptID(position, number int) uint64 {
	return uint64(gather.config.Epoch)<<(shardBits+attemptBits) | uint64(position)<<attemptBits | uint64(number)
}

func (gather *Gather) find(attemptID uint64) (position int, found *attempt) {
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

func (gather *Gather) reset() {
	gather.orders.Send = gather.orders.Send[:0]
	gather.orders.Cancel = gather.orders.Cancel[:0]
}
