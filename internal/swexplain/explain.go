// Package swexplain finds what became of a request in the logs of VMs.
package swexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// maxLine is the longest line of a log that is read, in bytes.
	maxLine = 1 << 20
	// aroundBefore and aroundAfter bound the lines about beliefs that may bear on a request: what a VM learned shortly before it
	// decided, and what showed right after.
	aroundBefore = 10 * time.Second
	aroundAfter  = 2 * time.Second
)

// Line is one line of a log.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	Request string
	Route   string
	Config  uint64
	Status  int
	Code    string
	Ran     string
	Answers int
	Shards  int
	Denied  int
	// Took and Within are in milliseconds, as the log has them.
	Took       float64
	Within     float64
	RetryAfter float64
	Missing    []string
	Without    []string
	Attempts   []string
	// Rules is the version of the rules that decided, Rule the line of the rule.
	Rules   uint64
	Rule    int
	Caller  string
	Replica string
	Peer    string
	Kind    string
	Gone    []string
}

// Story is what the logs tell of one request.
type Explanation struct {
	// Lines are those about the request itself, in order of time.
	RequestLines []Line
	// Around are lines of the same VMs about what they believed at that time.
	RelatedLines []Line
	// Cause says in words why the request ended as it did.
	Cause string
}

// ErrNotFound means that no line names the request. Answers that were whole and in time are logged by sample only.
var ErrNotFound = errors.New("no line names the request: it was answered in time, came to another VM, or its line was left out to bound the log")

// Explain reads logs and tells the story of a request. Lines that are not JSON are passed over.
func Explain(requestID string, logs ...io.Reader) (Explanation, error) {
	var explanation Explanation
	var beliefs []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, ok := parse(scanner.Text())
			switch {
			case !ok:
			case line.Request == requestID:
				explanation.RequestLines = append(explanation.RequestLines, line)
			case line.Request == "":
				beliefs = append(beliefs, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return Explanation{}, errors.Wrap(err, "read log")
		}
	}
	if len(explanation.RequestLines) == 0 {
		return Explanation{}, errors.Wrap(ErrNotFound, requestID)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(explanation.RequestLines, byTime)
	slices.SortStableFunc(beliefs, byTime)
	for i := range beliefs {
		if explanation.near(&beliefs[i]) {
			explanation.RelatedLines = append(explanation.RelatedLines, beliefs[i])
		}
	}
	explanation.Cause = cause(&explanation.RequestLines[len(explanation.RequestLines)-1])
	return explanation, nil
}

// parse reads a line. Anything before the object, such as a collector's own time, is passed over.
func parse(text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal([]byte(text[at:]), &line); err != nil {
		return Line{}, false
	}
	return line, line.Message != ""
}

// near reports whether a line is of a VM that had the request, at about that time, and bears on it.
func (explanation *Explanation) near(belief *Line) bool {
	for i := range explanation.RequestLines {
		line := &explanation.RequestLines[i]
		since := belief.Time.Sub(line.Time)
		if belief.VM != line.VM || since < -aroundBefore || since > aroundAfter {
			continue
		}
		if belief.Replica == "" || line.names(belief.Replica) {
			return true
		}
	}
	return false
}

// names reports whether a line tells of an attempt at a replica.
func (line *Line) names(replica string) bool {
	return slices.ContainsFunc(line.Attempts, func(attempt string) bool { return strings.Contains(attempt, " "+replica+" ") })
}

// causes says what each result code of a refusal means for the one who asks why.
var causes = map[string]string{
	swcode.NotReady.String():          "the VM had no configuration yet",
	swcode.NotFound.String():          "no route of the configuration that was in force on the VM matches the host and path",
	swcode.BadRequest.String():        "the request was malformed, or it did not come whole in time",
	swcode.BodyTooLarge.String():      "its body exceeds the configuration's limit",
	swcode.Quarantined.String():       "requests with the same path and body took replicas down, and are held back",
	swcode.NoReplica.String():         "too few services had a replica that could be reached; Without names those without one",
	swcode.RefusedByRule.String():     "a refuse rule of the operator matched; Rule is its line in the version that Rules names",
	swcode.NoRuleMatched.String():     "no rule of the version that Rules names matched, so it was refused",
	swcode.QuarantinedByRule.String(): "a rule refuses what the request asks for by its fingerprint",
	swcode.RuleRateExceeded.String():  "the limit of the rule whose line is Rule was used up",
	swcode.RuleWaitExceeded.String():  "it waited for the limit of the rule whose line is Rule for as long as the rule allows",
	swcode.ShedByPriority.String():    "shards of its route were over capacity, and whole searches were refused to leave room for the rest",
	swcode.QueueFull.String():         "the replicas were full, and the ones ahead would have taken too long",
	swcode.DeadlineExceeded.String():  "the deadline of the client or the route passed before enough answers came",
}

// cause says in words why a request ended as its line tells.
func cause(line *Line) string {
	switch line.Message {
	case "answered":
		return "it was answered whole and in time"
	case "answered in part":
		return fmt.Sprintf("the answer left at its target without %s: %s", strings.Join(line.Missing, ", "), attemptsCause(line))
	case "answered late":
		return "the answer came after the route's target: " + attemptsCause(line)
	case "the client left":
		return "the client closed its connection before an answer came"
	}
	if known, ok := causes[line.Code]; ok {
		if line.Message == "not answered" {
			return known + "; " + attemptsCause(line)
		}
		return known
	}
	return attemptsCause(line)
}

// attemptsCause sums the attempts that brought no answer.
func attemptsCause(line *Line) string {
	counts := make(map[string]int)
	for _, attempt := range line.Attempts {
		words := strings.Fields(attempt)
		if outcome := words[len(words)-1]; outcome != "Answered" {
			counts[meaning(outcome)]++
		}
	}
	var parts []string
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[what], what))
	}
	if line.Denied > 0 {
		parts = append(parts, fmt.Sprintf("%d repeats that the shared budget did not grant", line.Denied))
	}
	if len(parts) == 0 {
		return "replicas took longer than usual"
	}
	return strings.Join(parts, ", ")
}

// meaning says what an attempt's outcome is.
func meaning(outcome string) string {
	switch outcome {
	case "Shed":
		return "attempts rejected by a replica"
	case "Unreachable":
		return "attempts without a connection"
	case "Broken":
		return "attempts whose connection broke off"
	case "Failed":
		return "attempts that a replica failed"
	case "None", "Cancelled":
		return "attempts still without an answer"
	}
	return "attempts that ended as " + outcome
}
