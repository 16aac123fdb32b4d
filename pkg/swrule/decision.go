// Package swrule reads, checks, prints and matches rule files: one line a rule, the first match decides.
package swrule

import (
	"fmt"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Action is what a rule does with the work that it matches.
type Action int

// The actions.
const (
	Pass   Action = 0
	Wait   Action = 1
	Refuse Action = 2
)

var actionNames = [...]string{"pass", "wait", "refuse"}

// String returns the word that stands in a rule file.
func (action Action) String() string {
	if action < 0 || int(action) >= len(actionNames) {
		return fmt.Sprintf("Action(%d)", int(action))
	}
	return actionNames[action]
}

// Request is what rules match against.
type Request struct {
	Caller string
	Kind   string
	Index  string
	// Host and Path are those of an HTTP request to the gateway; a search has none.
	Host string
	Path string
	// Fingerprint identifies the request's canonical body, as sixteen hexadecimal digits.
	Fingerprint string
}

// Decision is the outcome of matching one request against one version of the rules.
type Decision struct {
	Action   Action
	Priority Priority
	// Line is the rule's line in the file, or zero when no rule matched (then Action is Refuse).
	Line int
	// Text is the rule as it stands in the file.
	Text string
	// ID identifies the rule's limits between versions: its text without comment.
	ID string
	// RatePerSecond bounds requests started in a data centre each second; zero is unbounded.
	RatePerSecond float64
	// InFlight bounds requests running in a data centre; zero is unbounded.
	InFlight int
	// For is how long a request may wait for a limit; zero for pass rules.
	For time.Duration
	// Deadline caps the request's timeout; zero leaves it.
	Deadline time.Duration
	// Release exempts a fingerprint from quarantine.
	Release bool
	// ByFingerprint tells that the rule names fingerprints.
	ByFingerprint bool
}

// Code returns the result code with which a caller sees the decision: OK unless it is a refusal.
func (decision *Decision) Code() swcode.Code {
	switch {
	case decision.Line == 0:
		return swcode.NoRuleMatched
	case decision.Action != Refuse:
		return swcode.OK
	case decision.ByFingerprint:
		return swcode.QuarantinedByRule
	}
	return swcode.RefusedByRule
}
