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
	// Caller, Kind, Index, Host, Path and Fingerprint must all match; a key that the rule does not give is Wildcard.
	Caller      Pattern
	Kind        Pattern
	Index       Pattern
	Host        Pattern
	Path        Pattern
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
		Line: line, Caller: Wildcard, Kind: Wildcard, Index: Wildcard, Host: Wildcard, Path: Wildcard, Fingerprint: Wildcard,
		Priority: Standard,
	}
}

// Matches reports whether the rule's patterns all match the request.
func (rule *Rule) Matches(request Request) bool {
	matchers := rule.compile()
	return matchers.match(&request)
}

// Covers reports whether the rule matches every request that other matches.
func (rule *Rule) Covers(other *Rule) bool {
	matchers := rule.compile()
	return matchers.cover(other)
}

// matchers holds the patterns of a rule, apart from the rest of it, so that a walk over many rules touches little memory.
type matchers struct {
	caller      matcher
	kind        matcher
	index       matcher
	host        matcher
	path        matcher
	fingerprint matcher
}

func (rule *Rule) compile() matchers {
	return matchers{
		caller:      rule.Caller.compile(),
		kind:        rule.Kind.compile(),
		index:       rule.Index.compile(),
		host:        rule.Host.compile(),
		path:        rule.Path.compile(),
		fingerprint: rule.Fingerprint.compile(),
	}
}

func (matchers *matchers) match(request *Request) bool {
	return matchers.caller.match(request.Caller) &&
		matchers.kind.match(request.Kind) &&
		matchers.index.match(request.Index) &&
		matchers.host.match(request.Host) &&
		matchers.path.match(request.Path) &&
		matchers.fingerprint.match(request.Fingerprint)
}

// cover relies on what Pattern.Covers tells: a pattern covers another if it matches the other's text.
func (matchers *matchers) cover(other *Rule) bool {
	return matchers.caller.match(string(other.Caller)) &&
		matchers.kind.match(string(other.Kind)) &&
		matchers.index.match(string(other.Index)) &&
		matchers.host.match(string(other.Host)) &&
		matchers.path.match(string(other.Path)) &&
		matchers.fingerprint.match(string(other.Fingerprint))
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
		ByFingerprint: rule.Fingerprint != Wildcard,
	}
}
