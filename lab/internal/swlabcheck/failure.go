package swlabcheck

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// maxFailures bounds the messages in a report.
const maxFailures = 12

// Failure counts the requests that ended with the same message. Numbers in the message are replaced by "#".
type Failure struct {
	Message string
	Count   int
}

// digits matches numbers, addresses and durations, which differ between messages of the same kind.
var digits = regexp.MustCompile(`[0-9]+([.:][0-9]+)*`)

// countFailures returns the most frequent messages of requests that failed or got no answer, most frequent first.
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
