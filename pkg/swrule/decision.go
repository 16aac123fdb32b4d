// Package swrule parses, checks, formats and matches rule files. A rule is one line, and the first rule that matches a request
// decides.
package swrule

import (
	"fmt"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Action is what a rule does with a request that it matches.
type Action int

// The actions.
const (
	Pass   Action = 0
	Wait   Action = 1
	Refuse Action = 2
)

var actionNames = [...]string{"pass", "wait", "refuse"}

// String returns the word that a rule file uses for the action.
func (action Action) String() string {
	if action < 0 || int(action) >= len(actionNames) {
		return fmt.Sprintf("Action(%d)", int(action))
	}
	return actionNames[action]
}

// Request holds the properties of a request that rules match.
type Request struct {
	Caller string
	Kind   string
	Index  string
	// Host and Path are those of an HTTP request to the gateway; they are empty for a search.
	Host string
	Path string
	// Fingerprint identifies the request's canonical body by sixteen hexadecimal digits.
	Fingerprint string
}

// Decision is the result of matching a request against one version of the rules.
type Decision struct {
	Action   Action
	Priority Priority
	// Line is the rule's line in the file, or zero if no rule matched, which makes Action Refuse.
	Line int
	// Text is the rule as written in the file.
	Text string
	// ID identifies the rule's limits across versions. It is the result of Rule.Canonical.
	ID string
	// RatePerSecond limits the requests started per second in a data centre; zero means no limit.
	RatePerSecond float64
	// InFlight limits the requests in flight in a data centre; zero means no limit.
	InFlight int
	// For is how long a request may wait for Rate and InFlight; it is zero for pass rules.
	For time.Duration
	// Deadline caps the request's timeout; zero leaves it unchanged.
	Deadline time.Duration
	// Release exempts a fingerprint from quarantine.
	Release bool
	// ByFingerprint reports whether the rule matches only certain fingerprints.
	ByFingerprint bool
}

// Code returns the result code that the caller gets for the decision: OK unless it is a refusal.
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
