package swlabcheck

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// maxFailures is the number of messages kept.
const maxFailures = 12

// Failure is a message that requests ended with, with numbers left out.
type Failure struct {
	Message string
	Count   int
}

// digits matches the parts of messages that differ from one request to the next.
var digits = regexp.MustCompile(`[0-9]+([.:][0-9]+)*`)

// failuresOf counts the messages of requests that failed or broke, most frequent first.
func countFailures(evidence *Evidence) []Failure {
	counts := make(map[string]int)
	for i := range evidence.Results {
		result := &evidence.Results[i]
		switch {
		case result.Err != nil:
			counts["no answer: "+digits.ReplaceAllString(result.Err.Error(), "#")]++
		case result.Answer.Code != swcode.OK && result.Answer.Ran != notRun:
			counts[fmt.Sprintf("%s, Ran %s: %s", result.Answer.Code, result.Answer.Ran, digits.ReplaceAllString(result.Answer.Message, "#"))]++
		}
	}
	var failures []Failure
	for message, count := range counts {
		failures = append(failures, Failure{Message: message, Count: count})
	}
	slices.SortFunc(failures, func(a, b Failure) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Message, b.Message))
	})
	return failures[:min(len(failures), maxFailures)]
}
