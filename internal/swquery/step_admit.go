package swquery

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// admitStep enforces the limits of the rule that matched.
type admitStep struct {
	limiter Limiter
}

func (*admitStep) String() string { return "admit by the rule's limits" }

// Run waits for the rule's limit or refuses. The rule's deadline caps the query's.
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
