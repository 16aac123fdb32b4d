package swquery

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// admitStep enforces the limits and the deadline of the matching rule.
type admitStep struct {
	limiter Limiter
}

func (*admitStep) String() string { return "admit by the rule's limits" }

// Run waits for the rule's limit or refuses the query. The rule's deadline shortens the query's own.
func (admitStep *admitStep) Run(ctx context.Context, execution *execution) error {
	decision := execution.decision
	if decision.Deadline > 0 {
		capped := execution.started.Add(decision.Deadline)
		if capped.Before(execution.deadline) {
			execution.deadline = capped
		}
	}
	release, err := admitStep.limiter.Acquire(ctx, decision)
	if err != nil {
		return err
	}
	execution.release = release
	if !time.Now().Before(execution.deadline) {
		return execution.refuse(swcode.DeadlineExceeded, "the deadline passed while waiting for the rule's limit")
	}
	return nil
}
