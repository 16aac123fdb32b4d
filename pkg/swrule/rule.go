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
	// RatePerSecond limits the requests started per second in a data centre; zero means no limit.
	RatePerSecond float64
	// InFlight limits the requests in flight in a data centre; zero means no limit.
	InFlight int
	// For is how long a request may wait for Rate and InFlight.
	For time.Duration
	// Deadline caps the request's timeout; zero leaves it unchanged.
	Deadline time.Duration
	// Release exempts the fingerprint from quarantine.
	Release bool
	// Comment says who asked for the rule.
	Comment string
	// Text is the rule as written in the file, without the spaces around it.
	Text string

	// fields holds Key=value as written, or is empty, for each key in order.
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
	patternMatchers := rule.compile()
	return patternMatchers.match(&request)
}

// Covers reports whether the rule matches every request that other matches.
func (rule *Rule) Covers(other *Rule) bool {
	patternMatchers := rule.compile()
	return patternMatchers.covers(other)
}

// patternMatchers holds the prepared patterns of a rule. They are stored apart from Rule so that matching a request against
// many rules reads little memory.
type patternMatchers struct {
	caller      matcher
	kind        matcher
	index       matcher
	host        matcher
	path        matcher
	fingerprint matcher
}

func (rule *Rule) compile() patternMatchers {
	return patternMatchers{
		caller:      rule.Caller.compile(),
		kind:        rule.Kind.compile(),
		index:       rule.Index.compile(),
		host:        rule.Host.compile(),
		path:        rule.Path.compile(),
		fingerprint: rule.Fingerprint.compile(),
	}
}

func (patternMatchers *patternMatchers) match(request *Request) bool {
	return patternMatchers.caller.match(request.Caller) &&
		patternMatchers.kind.match(request.Kind) &&
		patternMatchers.index.match(request.Index) &&
		patternMatchers.host.match(request.Host) &&
		patternMatchers.path.match(request.Path) &&
		patternMatchers.fingerprint.match(request.Fingerprint)
}

// covers reports whether the patterns match every request that other matches. As in Pattern.Covers, a pattern covers another
// if it matches the other's text.
func (patternMatchers *patternMatchers) covers(other *Rule) bool {
	return patternMatchers.caller.match(string(other.Caller)) &&
		patternMatchers.kind.match(string(other.Kind)) &&
		patternMatchers.index.match(string(other.Index)) &&
		patternMatchers.host.match(string(other.Host)) &&
		patternMatchers.path.match(string(other.Path)) &&
		patternMatchers.fingerprint.match(string(other.Fingerprint))
}

// Canonical returns the rule without its comment, with its keys in a fixed order and one space between them.
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
