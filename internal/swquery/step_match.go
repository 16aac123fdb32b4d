package swquery

import (
	"context"
	"fmt"

	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// matchStep finds the rule that applies to the query. The whole query uses one version of the rules.
type matchStep struct {
	rules      Rules
	quarantine Quarantine
}

func (*matchStep) String() string { return "match the rules" }

// Run refuses a query if a rule refuses it, no rule matches or its fingerprint is quarantined.
func (matchStep *matchStep) Run(_ context.Context, execution *execution) error {
	ruleSet, version, ok := matchStep.rules.Current()
	if !ok {
		return execution.refuse(swcode.NotReady, "no rules are in force on this VM yet")
	}
	query := execution.query
	execution.ruleVersion = version
	execution.decision = ruleSet.Match(swrule.Request{
		Caller:      query.Caller,
		Kind:        query.Kind,
		Index:       query.Index,
		Fingerprint: FormatID(query.Fingerprint),
	})
	switch code := execution.decision.Code(); code {
	case swcode.OK:
	case swcode.NoRuleMatched:
		return execution.refuse(code, "no rule matches this caller, kind and index")
	default:
		return execution.refuse(code, fmt.Sprintf("rule at line %d: %s", execution.decision.Line, execution.decision.Text))
	}
	return matchStep.checkQuarantine(execution)
}

// checkQuarantine refuses a quarantined fingerprint, unless the rule releases it, and records the verdict.
func (matchStep *matchStep) checkQuarantine(execution *execution) error {
	fingerprint := execution.query.Fingerprint
	execution.verdict = matchStep.quarantine.Check(fingerprint, execution.decision.Release)
	if execution.verdict == swquarantine.Refused {
		return execution.refuse(swcode.Quarantined, "requests with fingerprint "+FormatID(fingerprint)+" crashed backend servers")
	}
	return nil
}

// FormatID formats an ID or fingerprint as 16 hexadecimal digits.
func FormatID(id uint64) string {
	return fmt.Sprintf("%016x", id)
}
