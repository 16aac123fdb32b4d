package swquery

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
)

// scatterStep sends the first attempts: to every shard, or to a single shard as a canary if the query is suspected of crashing
// servers.
type scatterStep struct {
	engine *Engine
}

func (*scatterStep) String() string { return "scatter to the owners" }

// Run creates the gather and sends its first attempts. Every shard of the plan adds to the budget for extra attempts.
func (scatterStep *scatterStep) Run(_ context.Context, execution *execution) error {
	engine := scatterStep.engine
	execution.gather = NewGather(GatherConfig{
		Shards:     execution.plan,
		Epoch:      execution.epoch,
		Idempotent: execution.query.Idempotent(),
		Canary:     execution.verdict == swquarantine.Canary,
		MayRetry:   func() bool { return engine.config.Quarantine.MayRetry(execution.query.Fingerprint) },
		Budget:     engine.budget,
		HedgeDelay: engine.hedgeDelay(execution.query.Index),
		OnLate:     func(server string, age time.Duration) { engine.latencies.ObserveLate(time.Now(), server, age) },
	})
	if engine.config.Crashes != nil {
		execution.gather.config.MayRetryAfterCrash = func() bool {
			return engine.config.Crashes.MayRetryAfterCrash(execution.query.Fingerprint)
		}
	}
	execution.scatter = newScatter(engine)
	first := len(execution.plan)
	if execution.verdict == swquarantine.Canary {
		first = min(1, first)
	}
	now := time.Now()
	actions := execution.gather.Start(now, 0, first)
	engine.applyActions(now, execution, actions)
	engine.budget.Earn(len(execution.plan))
	return nil
}

// hedgeDelay returns a function that computes the delay before an attempt is hedged, or zero for no hedge while the target's
// server sheds work. The delay also applies if the budget grants no hedges, since after it an attempt counts as late, which
// identifies stragglers.
func (engine *Engine) hedgeDelay(index string) func(shard int, target Target) time.Duration {
	return func(shard int, target Target) time.Duration {
		if engine.config.Gate.Shedding(target.Server) {
			return 0
		}
		return engine.latencies.HedgeDelay(index, shard)
	}
}

// applyActions sends and cancels the attempts that the gather asked for.
func (engine *Engine) applyActions(now time.Time, execution *execution, actions Actions) {
	if len(actions.Cancel) > 0 {
		execution.scatter.cancel(actions.Cancel)
	}
	if len(actions.Send) == 0 {
		return
	}
	execution.scatter.send(now, execution.batchHeader(now), execution.view, actions.Send)
}

// batchHeader returns a batch without items, from which the batch for each owner is made.
func (execution *execution) batchHeader(now time.Time) Batch {
	query := execution.query
	return Batch{
		QueryID:     query.ID,
		Caller:      query.Caller,
		Kind:        query.Kind,
		Index:       query.Index,
		Snapshot:    execution.snapshot.ID,
		Query:       query.Text,
		Limit:       query.Limit,
		Priority:    execution.decision.Priority,
		Cohort:      query.Cohort(),
		Fingerprint: query.Fingerprint,
		RunKey:      query.RunKey,
		Remaining:   execution.answerDeadline().Sub(now),
		Hold:        !query.Idempotent(),
	}
}

const (
	// answerMarginDivisor is the divisor of the timeout that gives the time reserved for the reply to the caller.
	answerMarginDivisor = 20
	// maxAnswerMargin limits the time reserved for the reply.
	maxAnswerMargin = 5 * time.Millisecond
)

// answerDeadline returns the time at which the gather stops waiting.
func (execution *execution) answerDeadline() time.Time {
	margin := min(maxAnswerMargin, execution.deadline.Sub(execution.started)/answerMarginDivisor)
	return execution.deadline.Add(-margin)
}
