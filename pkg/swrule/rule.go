package swrule

import (
	"strings"
	"time"
)

// Rule is one rule of a file.
type Rule struct {
	// Line is the rule's line in the file, from 1.
	Line   int
	Action Action
	// Caller, Kind, Index and Fingerprint must all match; a key that the rule does not give is Wildcard.
	Caller      Pattern
	Kind        Pattern
	Index       Pattern
	Fingerprint Pattern
	Priority    Priority
	// RatePerSecond bounds requests started in a data centre each second; zero is unbounded.
	RatePerSecond float64
	// InFlight bounds requests running in a data centre; zero is unbounded.
	InFlight int
	// For is how long a request may wait for a limit.
	For time.Duration
	// Deadline caps the request's timeout; zero leaves it.
	Deadline time.Duration
	// Release exempts the fingerprint from quarantine.
	Release bool
	// Comment tells who asked for the rule.
	Comment string
	// Text is the rule as it stands in the file, without the spaces around it.
	Text string

	// fields holds Key=value as written, by the order of the keys.
	fields [keyCount]string
}

// newRule returns a rule that matches everything.
func newRule(line int) Rule {
	return Rule{
		Line: line, Caller: Wildcard, Kind: Wildcard, Index: Wildcard, Fingerprint: Wildcard, Priority: Standard,
	}
}

// Matches reports whether the rule's patterns all match the request.
func (rule *Rule) Matches(request Request) bool {
	return rule.Caller.Match(request.Caller) &&
		rule.Kind.Match(request.Kind) &&
		rule.Index.Match(request.Index) &&
		rule.Fingerprint.Match(request.Fingerprint)
}

// Covers reports whether the rule matches every request that other matches.
func (rule *Rule) Covers(other *Rule) bool {
	return rule.Caller.Covers(other.Caller) &&
		rule.Kind.Covers(other.Kind) &&
		rule.Index.Covers(other.Index) &&
		rule.Fingerprint.Covers(other.Fingerprint)
}

// Canonical returns the rule without its comment, its keys in a fixed order and one space between them.
func (rule *Rule) Canonical() string {
	words := []string{rule.Action.String()}
	for _, field := range rule.fields {
		if field != "" {
			words = append(words, field)
		}
	}
	return strings.Join(words, " ")
}

func (rule *Rule) decision() Decision {
	return Decision{
		Action:        rule.Action,
		Priority:      rule.Priority,
		Line:          rule.Line,
		Text:          rule.Text,
		ID:            rule.Canonical(),
		RatePerSecond: rule.RatePerSecond,
		InFlight:      rule.InFlight,
		For:           rule.For,
		Deadline:      rule.Deadline,
		Release:       rule.Release,
	}
}
