package swrule

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// The keys in the order of the canonical form.
const (
	keyCaller = iota
	keyKind
	keyIndex
	keyHost
	keyPath
	keyFingerprint
	keyPriority
	keyRate
	keyInFlight
	keyFor
	keyDeadline
	keyRelease
	keyCount
)

// Bounds of the keys' values.
const (
	// MinRate and MaxRate bound Rate, in requests per second.
	MinRate = 0.001
	MaxRate = 1_000_000
	// MaxInFlight bounds InFlight.
	MaxInFlight = 1_000_000
	// MaxFor bounds For.
	MaxFor = time.Minute
	// MaxDeadline bounds Deadline.
	MaxDeadline = time.Hour
	// fingerprintDigits is the number of hexadecimal digits in a fingerprint.
	fingerprintDigits = 16
)

// key describes a key of the rule file.
type key struct {
	name string
	// forAdmittedWork reports whether the key controls how admitted requests run. A refuse rule can't have such a key.
	forAdmittedWork bool
	// parse parses the value and stores it in the rule.
	parse func(rule *Rule, value string) *valueError
}

// valueError describes an invalid value.
type valueError struct {
	fault string
	fix   string
}

var keys = [keyCount]key{
	keyCaller:      {"Caller", false, func(rule *Rule, value string) *valueError { return parsePattern(&rule.Caller, value) }},
	keyKind:        {"Kind", false, func(rule *Rule, value string) *valueError { return parsePattern(&rule.Kind, value) }},
	keyIndex:       {"Index", false, func(rule *Rule, value string) *valueError { return parsePattern(&rule.Index, value) }},
	keyHost:        {"Host", false, func(rule *Rule, value string) *valueError { return parsePattern(&rule.Host, value) }},
	keyPath:        {"Path", false, func(rule *Rule, value string) *valueError { return parsePattern(&rule.Path, value) }},
	keyFingerprint: {"Fingerprint", false, func(rule *Rule, value string) *valueError { return parseFingerprint(&rule.Fingerprint, value) }},
	keyPriority:    {"Priority", true, func(rule *Rule, value string) *valueError { return parsePriority(&rule.Priority, value) }},
	keyRate:        {"Rate", true, func(rule *Rule, value string) *valueError { return parseRate(&rule.RatePerSecond, value) }},
	keyInFlight:    {"InFlight", true, func(rule *Rule, value string) *valueError { return parseInFlight(&rule.InFlight, value) }},
	keyFor:         {"For", true, func(rule *Rule, value string) *valueError { return parseDuration(&rule.For, value, MaxFor) }},
	keyDeadline:    {"Deadline", true, func(rule *Rule, value string) *valueError { return parseDuration(&rule.Deadline, value, MaxDeadline) }},
	keyRelease:     {"Release", true, func(rule *Rule, value string) *valueError { return parseRelease(&rule.Release, value) }},
}

func findKey(name string) (int, bool) {
	i := slices.IndexFunc(keys[:], func(key key) bool { return key.name == name })
	return i, i >= 0
}

func keyNames() []string {
	names := make([]string, keyCount)
	for i := range keys {
		names[i] = keys[i].name
	}
	return names
}

func parsePattern(target *Pattern, value string) *valueError {
	for _, character := range value {
		if !isPatternCharacter(character) {
			return &valueError{
				fault: fmt.Sprintf("character %q is not allowed in a pattern", character),
				fix:   "use letters, digits and - _ . : / @, or * for any run of characters",
			}
		}
	}
	*target = Pattern(value)
	return nil
}

func isPatternCharacter(character rune) bool {
	return unicode.IsLetter(character) || unicode.IsMark(character) || unicode.IsDigit(character) ||
		strings.ContainsRune("-_.:/@*", character)
}

var fingerprintForm = regexp.MustCompile(`^[0-9a-f*]*$`)

func parseFingerprint(target *Pattern, value string) *valueError {
	pattern := Pattern(value)
	wellFormed := fingerprintForm.MatchString(value) && len(strings.ReplaceAll(value, Wildcard, "")) <= fingerprintDigits
	if !wellFormed || pattern.Literal() && len(value) != fingerprintDigits {
		return &valueError{
			fault: fmt.Sprintf("%q is not a fingerprint", value),
			fix:   "copy the sixteen hexadecimal digits, in lower case, from `sycamorewall status`",
		}
	}
	*target = pattern
	return nil
}

func parsePriority(target *Priority, value string) *valueError {
	if err := target.UnmarshalText([]byte(value)); err != nil {
		return &valueError{fault: err.Error(), fix: "write " + suggest(value, priorityNames[:])}
	}
	return nil
}

var rateForm = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?)/s$`)

func parseRate(target *float64, value string) *valueError {
	formatError := &valueError{
		fault: fmt.Sprintf("%q is not a rate", value),
		fix:   "write requests per second, such as 50/s or 0.5/s",
	}
	parts := rateForm.FindStringSubmatch(value)
	if parts == nil {
		return formatError
	}
	rate, err := strconv.ParseFloat(parts[1], 64)
	if err != nil {
		return formatError
	}
	if rate < MinRate || rate > MaxRate {
		return &valueError{
			fault: fmt.Sprintf("rate %s is out of bounds", value),
			fix:   fmt.Sprintf("write a rate from %g/s to %d/s, or use refuse to block all requests", MinRate, MaxRate),
		}
	}
	*target = rate
	return nil
}

func parseInFlight(target *int, value string) *valueError {
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil || number == 0 || number > MaxInFlight {
		return &valueError{
			fault: fmt.Sprintf("%q is not a valid number of requests", value),
			fix:   fmt.Sprintf("write a whole number from 1 to %d, or use refuse to block all requests", MaxInFlight),
		}
	}
	*target = int(number)
	return nil
}

func parseDuration(target *time.Duration, value string, maximum time.Duration) *valueError {
	duration, err := time.ParseDuration(value)
	if err != nil || value[0] == '+' {
		return &valueError{fault: fmt.Sprintf("%q is not a duration", value), fix: "write a number with a unit, such as 250ms or 2s"}
	}
	if duration <= 0 || duration > maximum {
		return &valueError{
			fault: fmt.Sprintf("duration %s is out of bounds", value),
			fix:   fmt.Sprintf("write more than zero and at most %s", maximum),
		}
	}
	*target = duration
	return nil
}

func parseRelease(target *bool, value string) *valueError {
	if value != "yes" {
		return &valueError{fault: fmt.Sprintf("%q is not a value of Release", value), fix: "write Release=yes, or leave the key out"}
	}
	*target = true
	return nil
}
