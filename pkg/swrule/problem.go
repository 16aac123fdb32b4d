package swrule

import "fmt"

// Severity says whether a problem prevents a file from being applied.
type Severity int

// The severities.
const (
	// Error prevents the file from being applied.
	Error Severity = 0
	// Warning marks a likely mistake.
	Warning Severity = 1
)

var severityNames = [...]string{"error", "warning"}

// String returns error or warning.
func (severity Severity) String() string {
	if severity < 0 || int(severity) >= len(severityNames) {
		return fmt.Sprintf("Severity(%d)", int(severity))
	}
	return severityNames[severity]
}

// MarshalText encodes the name.
func (severity Severity) MarshalText() ([]byte, error) {
	return []byte(severity.String()), nil
}

// Problem is an error or a warning about a line of a rule file.
type Problem struct {
	// Line is the line in the file, from 1.
	Line int
	// Column counts the characters in the line from 1. It is one past the end if something is missing there.
	Column   int
	Severity Severity
	// Fault says what is wrong.
	Fault string
	// Fix says what to change.
	Fix string
}

// String formats the problem as line:column: severity: fault (fix).
func (problem Problem) String() string {
	return fmt.Sprintf("%d:%d: %s: %s (%s)", problem.Line, problem.Column, problem.Severity, problem.Fault, problem.Fix)
}

// HasErrors reports whether any of the problems is an error.
func HasErrors(problems []Problem) bool {
	for _, problem := range problems {
		if problem.Severity == Error {
			return true
		}
	}
	return false
}
