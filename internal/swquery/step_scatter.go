package swquery

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
)

// scatterStep sends the first attempts: to every shard, or to one when the query may crash the servers that run it.
type scatterStep struct {
	engine *Engine
}

func (*scatterStep) String() string { return "scatter to the owners" }

// Run sends the first attempts.
func (scatterStep *scatterStep) Run(_ context.Context, execution *execution) error {
	engine := scatterStep.engine
	execution.gather = NewGather(GatherConfig{
		Shards:     execution.plan,
		Epoch:      execution.epoch,
		Idempotent: execution.query.Idempotent(),
		Canary:     execution.verdict == swquarantine.Canary,
		MayRetry:   func() bool { return engine.config.Quarantine.MayRetry(execution.query.Fingerprint) },
		Budget:     engine.budget,
		HedgeAfter: engine.hedgeAfter(execution.query.Index),
		OnLate:     func(server string, age time.Duration) { engine.latencies.ObserveLate(time.Now(), server, age) },
	})
	if engine.config.Crashes != nil {
		execution.gather.config.MayRetryCrashed = func() bool {
			return engine.config.Crashes.MayRetryCrashed(execution.query.Fingerprint)
		}
	}
	execution.scatter = newScatter(engine)
	first := len(execution.plan)
	if execution.verdict == swquarantine.Canary {
		first = min(1, first)
	}
	now := time.Now()
	actions := execution.gather.Start(now, 0, first)
	engine.carryOut(now, execution, actions)
	engine.budget.Earn(len(execution.plan))
	return nil
}

// hedgeAfter returns the wait before a hedge of a shard of the index. While the target's queue sheds there is none. A budget
// that grants no hedges leaves the wait as it is, since late attempts also tell of stragglers.
func (engine *Engine) hedgeAfter(index string) func(shard int, target Target) time.Duration {
	return func(shard int, target Target) time.Duration {
		if engine.config.Gate.Shedding(target.Server) {
			return 0
		}
		return engine.latencies.HedgeAfter(index, shard)
	}
}

// carryOut sends and withdraws what the gather ordered.
func (engine *Engine) carryOut(now time.Time, execution *execution, actions Actions) {
	if len(actions.Cancel) > 0 {
		execution.scatter.withdraw(actions.Cancel)
	}
	if len(actions.Send) == 0 {
		return
	}
	execution.scatter.send(now, execution.header(now), execution.view, actions.Send)
}

// header returns the batch that goes to every owner, without items.
func (execution *execution) header(now time.Time) Batch {
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
		Remaining:   execution.answerBy().Sub(now),
		Hold:        !query.Idempotent(),
	}
}

const (
	// answerMargin is the part of the timeout kept for the way back to the caller.
	answerMargin = 20
	// maxAnswerMargin caps the time kept for the way back.
	maxAnswerMargin = 5 * time.Millisecond
)

// answerBy returns the time at which the gather stops waiting.
func (execution *execution) answerBy() time.Time {
	margin := min(maxAnswerMargin, execution.deadline.Sub(execution.started)/answerMargin)
	return execution.deadline.Add(-margin)
}
