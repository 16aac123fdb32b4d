package swrule

import "strings"

// Wildcard matches any run of characters in a pattern, including none.
const Wildcard = "*"

// Pattern matches whole names. Wildcard matches any run of characters; every other character matches itself.
type Pattern string

// Literal reports whether the pattern has no wildcard.
func (pattern Pattern) Literal() bool {
	return !strings.Contains(string(pattern), Wildcard)
}

// Match reports whether the pattern matches the whole of name.
func (pattern Pattern) Match(name string) bool {
	matcher := pattern.compile()
	return matcher.match(name)
}

// Covers reports whether the pattern matches every name that other matches.
func (pattern Pattern) Covers(other Pattern) bool {
	// A wildcard in other may stand for a character that is not in pattern, so only a wildcard in pattern can cover it. Matching
	// other's text as a name does this, because its wildcard is a character that only a wildcard in pattern matches.
	return pattern.Match(string(other))
}

// matcher is a pattern that is prepared for matching many names.
type matcher struct {
	// head is the part before the first wildcard.
	head string
	// rest is the part from the first wildcard on, or empty without one.
	rest string
}

func (pattern Pattern) compile() matcher {
	at := strings.Index(string(pattern), Wildcard)
	if at < 0 {
		at = len(pattern)
	}
	return matcher{head: string(pattern[:at]), rest: string(pattern[at:])}
}

func (matcher *matcher) match(name string) bool {
	if matcher.rest == "" {
		return matcher.head == name
	}
	if !strings.HasPrefix(name, matcher.head) {
		return false
	}
	return matcher.rest == Wildcard || matchGlob(matcher.rest, name[len(matcher.head):])
}

// matchGlob backtracks to the last wildcard on a mismatch, so its time is bounded by the product of the lengths.
func matchGlob(pattern, name string) bool {
	next, resume, resumeName := 0, -1, 0
	for at := 0; at < len(name); {
		switch {
		case next < len(pattern) && pattern[next] == Wildcard[0]:
			resume, resumeName = next+1, at
			next++
		case next < len(pattern) && pattern[next] == name[at]:
			next++
			at++
		case resume >= 0:
			resumeName++
			next, at = resume, resumeName
		default:
			return false
		}
	}
	return strings.Trim(pattern[next:], Wildcard) == ""
}
