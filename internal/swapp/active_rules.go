package swapp

import (
	"encoding/json"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// ruleBook holds the version of the rules in force.
type ruleBook struct {
	current atomic.Pointer[ruleVersion]
	// known is set once this VM has heard which rules are in force, if any. Until then a VM that has just started could let pass
	// what they refuse.
	known atomic.Bool
}

type ruleVersion struct {
	ruleSet *swrule.RuleSet
	version uint64
}

func newRuleBook() *ruleBook {
	return &ruleBook{}
}

// Current returns the rules in force, and false while there are none.
func (ruleBook *ruleBook) Current() (ruleSet swquery.Matcher, version uint64, ok bool) {
	current := ruleBook.current.Load()
	if current == nil {
		return nil, 0, false
	}
	return current.ruleSet, current.version, true
}

// put sets the rules in force.
func (ruleBook *ruleBook) put(version uint64, value []byte) error {
	ruleSet, err := parseRules(value)
	if err != nil {
		return err
	}
	ruleBook.current.Store(&ruleVersion{ruleSet: ruleSet, version: version})
	return nil
}

// parseRules decodes the value of the Rules object.
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
