package swquery

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// execution is the state of one query that its steps share.
type execution struct {
	query    *Query
	started  time.Time
	deadline time.Time

	// decision is the decision of the rules at version ruleVersion.
	decision    swrule.Decision
	ruleVersion uint64
	// verdict is the quarantine's decision on the query's fingerprint.
	verdict swquarantine.Verdict
	// release returns the tokens held under the rule's limit.
	release func()

	// epoch counts the restarts. It is part of the attempt IDs, so that answers from before a restart match no attempt.
	epoch uint16
	// triedSnapshots lists the IDs of the snapshots that this query found unavailable.
	triedSnapshots []string
	snapshot       *swindex.Snapshot
	view           *swmember.View
	plan           []ShardPlan
	gather         *Gather
	scatter        *scatter

	// The earlier fields total the attempts made on other snapshots before a restart.
	earlierRan      swcode.Ran
	earlierAttempts int
	earlierHedges   int
	earlierRetries  int
	result          Result
}

// restartError makes the query start again at the pin step because no replica of some shard holds the snapshot.
type restartError struct {
	Snapshot string
}

// Error returns a message with the snapshot's ID.
func (err *restartError) Error() string {
	return fmt.Sprintf("no replica of a shard holds snapshot %q", err.Snapshot)
}

// refuse returns a refusal. Its Ran reports whether a backend server may have run the query.
func (execution *execution) refuse(code swcode.Code, message string) *swcode.Error {
	return &swcode.Error{Code: code, Ran: execution.ran(), Message: message, Rule: execution.decision.Line}
}

// ran reports whether a backend server may have run a part of the query, on any snapshot so far.
func (execution *execution) ran() swcode.Ran {
	ran := execution.earlierRan
	if execution.gather != nil {
		ran = maxRan(ran, execution.gather.Ran())
	}
	return ran
}

// reset discards the state of the present snapshot so that the query can start again on another one.
func (execution *execution) reset() {
	execution.earlierRan = execution.ran()
	if execution.gather != nil {
		execution.earlierAttempts += execution.gather.Attempts
		execution.earlierHedges += execution.gather.Hedges
		execution.earlierRetries += execution.gather.Retries
	}
	if execution.scatter != nil {
		execution.scatter.close()
	}
	execution.epoch++
	execution.triedSnapshots = append(execution.triedSnapshots, execution.snapshot.ID)
	execution.snapshot, execution.plan, execution.gather, execution.scatter = nil, nil, nil, nil
}

// finish cancels open attempts and returns the tokens held under the rule's limit.
func (execution *execution) finish() {
	if execution.scatter != nil {
		execution.scatter.close()
	}
	if execution.release != nil {
		execution.release()
	}
}

// outcome returns the result of the query, given the error of its steps.
func (execution *execution) outcome(err error) Result {
	result := execution.result
	result.RuleVersion = execution.ruleVersion
	result.Rule = execution.decision.Line
	result.Priority = execution.decision.Priority
	result.SubRequests, result.Hedges, result.Retries = execution.earlierAttempts, execution.earlierHedges, execution.earlierRetries
	if execution.gather != nil {
		result.SubRequests += execution.gather.Attempts
		result.Hedges += execution.gather.Hedges
		result.Retries += execution.gather.Retries
		result.Coverage = execution.gather.Coverage()
	}
	if execution.snapshot != nil {
		result.Snapshot = execution.snapshot.ID
	}
	if err == nil {
		result.Code, result.Ran = swcode.OK, swcode.RanYes
		return result
	}
	refusal := &swcode.Error{}
	if !errors.As(err, &refusal) {
		refusal = execution.refuse(swcode.Internal, err.Error())
	}
	result.Code, result.Ran, result.Err = refusal.Code, refusal.Ran, refusal
	result.Hits, result.Counts = nil, nil
	return result
}
