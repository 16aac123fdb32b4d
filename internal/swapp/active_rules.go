package swapp

import (
	"encoding/json"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// activeRules holds the rules in force and their version.
type activeRules struct {
	current atomic.Pointer[ruleVersion]
	// synced is set once this VM has received the stored rules, or learned that there are none. Until then a VM that has just
	// started must not serve: it would let requests pass that the rules refuse.
	synced atomic.Bool
}

type ruleVersion struct {
	ruleSet *swrule.RuleSet
	version uint64
}

func newActiveRules() *activeRules {
	return &activeRules{}
}

// Current returns the rules in force and their version. ok is false if there are none.
func (activeRules *activeRules) Current() (ruleSet swquery.Matcher, version uint64, ok bool) {
	current := activeRules.current.Load()
	if current == nil {
		return nil, 0, false
	}
	return current.ruleSet, current.version, true
}

// set decodes rules and puts them in force.
func (activeRules *activeRules) set(version uint64, value []byte) error {
	ruleSet, err := parseRules(value)
	if err != nil {
		return err
	}
	activeRules.current.Store(&ruleVersion{ruleSet: ruleSet, version: version})
	return nil
}

// parseRules decodes and parses the value of a Rules object. Warnings are ignored.
func parseRules(value []byte) (*swrule.RuleSet, error) {
	var object struct{ Text string }
	if err := json.Unmarshal(value, &object); err != nil {
		return nil, errors.Wrap(err, "decode rules")
	}
	ruleSet, problems := swrule.Parse([]byte(object.Text))
	for _, problem := range problems {
		if problem.Severity == swrule.Error {
			return nil, errors.Errorf("line %d, column %d: %s", problem.Line, problem.Column, problem.Fault)
		}
	}
	return ruleSet, nil
}
