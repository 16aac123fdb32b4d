package swapp

import (
	"encoding/json"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// rulesObject is the name of the object that holds the rules of the gateway.
const rulesObject = swfollow.PrefixRules + swedit.NameMain

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
	// object is the object of the users' platform's store that holds the rules.
	object swplatform.Object
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

// set decodes rules and puts them in force. object is the stored object that holds them, on the users' platform.
func (activeRules *activeRules) set(version uint64, value []byte, object swplatform.Object) error {
	ruleSet, err := parseRules(value)
	if err != nil {
		return err
	}
	activeRules.current.Store(&ruleVersion{ruleSet: ruleSet, version: version, object: object})
	return nil
}

// inForce returns the stored object that holds the rules in force. ok is false if there are none.
func (activeRules *activeRules) inForce() (object swplatform.Object, ok bool) {
	current := activeRules.current.Load()
	if current == nil {
		return swplatform.Object{}, false
	}
	return current.object, true
}

// keepsRules reports whether rules stay although others, or none, came from the store in their place: the store has come back from a copy
// from before the held ones were written. Rules that were written after its return replace them, whatever their version.
func keepsRules(held, arrived *swplatform.Object) bool {
	if held.Name != rulesObject || held.Position.Era >= arrived.Position.Era {
		return false
	}
	heldValue, err := swedit.DecodeVersionedValue(held.Value)
	if err != nil {
		return false
	}
	if arrived.Deleted {
		return true
	}
	arrivedValue, err := swedit.DecodeVersionedValue(arrived.Value)
	return err != nil || arrivedValue.Before(&heldValue)
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
