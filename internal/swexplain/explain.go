// Package swexplain finds the log lines of a request in the logs of VMs and explains the outcome of the request.
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
	// maxLineLength bounds a log line, in bytes.
	maxLineLength = 1 << 20
	// relatedBefore and relatedAfter bound the time between a line of a request and its related lines: changes that the VM
	// received shortly before the line, and effects that were logged right after it.
	relatedBefore = 10 * time.Second
	relatedAfter  = 2 * time.Second
)

// Line is a log line. Each field has the name of its key in the log.
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
	// DeniedWithoutUse counts those of Denied for which the VM held no use of the shared limit.
	DeniedWithoutUse int
	// Took and Within are in milliseconds, as in the log.
	Took       float64
	Within     float64
	RetryAfter float64
	Missing    []string
	Without    []string
	// Homes are the regions that may serve the request if not all may, and Capacity says of each replica of the service in need why it got none.
	Homes    []string
	Capacity []string
	// DataCentre is the one that an evacuation is about.
	DataCentre string
	Attempts   []string
	// Rules is the version of the rules that were applied, and Rule the line of the rule that matched.
	Rules  uint64
	Rule   int
	Caller string
	// Tenant is the tenant whose request it is. Ahead is the number of other tenants' requests that went before it, and Admitted the fraction of
	// the tenant's searches that were admitted; both are zero unless it was refused for lack of capacity.
	Tenant   string
	Ahead    int
	Admitted float64
	Replica  string
	Service  string
	Peer     string
	Kind     string
	Gone     []string
	// Position is the position in the history of the platform's store that the line is about; the zero position if there is none.
	Position Position
}

// Position is a position in the history of the platform's store, as in the log.
type Position struct {
	Era      uint64
	Revision uint64
}

// String returns a text for the position, which is empty for the zero position.
func (position Position) String() string {
	if position == (Position{}) {
		return ""
	}
	return fmt.Sprintf("era %d revision %d", position.Era, position.Revision)
}

// Explanation holds the log lines of one request and the cause of its outcome.
type Explanation struct {
	// RequestLines holds the lines of the request, sorted by time.
	RequestLines []Line
	// RelatedLines holds lines without a request that the same VMs logged at about the same time, such as changes of the
	// configuration, the replicas and the peers. They are sorted by time.
	RelatedLines []Line
	// Cause is a text that says why the request ended as it did.
	Cause string
}

// ErrNotFound means that no line has the ID of the request. Of the requests that were answered completely and in time, only a
// sample is logged.
var ErrNotFound = errors.New("no log line has the request ID: the request was answered in time, was received by another VM, or its line was omitted to limit the log")

// Explain reads logs and explains the outcome of a request. Lines that are not JSON are skipped.
func Explain(requestID string, logs ...io.Reader) (Explanation, error) {
	var explanation Explanation
	var candidates []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineLength)
		for scanner.Scan() {
			line, ok := parseLine(scanner.Text())
			switch {
			case !ok:
			case line.Request == requestID:
				explanation.RequestLines = append(explanation.RequestLines, line)
			case line.Request == "":
				candidates = append(candidates, line)
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
	slices.SortStableFunc(candidates, byTime)
	for i := range candidates {
		if explanation.isRelated(&candidates[i]) {
			explanation.RelatedLines = append(explanation.RelatedLines, candidates[i])
		}
	}
	explanation.Cause = describeCause(&explanation.RequestLines[len(explanation.RequestLines)-1])
	return explanation, nil
}

// parseLine decodes a line. Text before the JSON object, such as a log collector's timestamp, is skipped.
func parseLine(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal([]byte(text[start:]), &line); err != nil {
		return Line{}, false
	}
	return line, line.Message != ""
}

// isRelated reports whether a VM that received the request logged the line at about the same time. A line about a replica is
// related only if the request had an attempt at that replica, or was refused for lack of its service.
func (explanation *Explanation) isRelated(candidate *Line) bool {
	for i := range explanation.RequestLines {
		line := &explanation.RequestLines[i]
		since := candidate.Time.Sub(line.Time)
		// An evacuation may have begun long before.
		explainsEvacuation := candidate.DataCentre != "" && line.Code == swcode.Evacuated.String()
		if candidate.VM != line.VM || since < -relatedBefore && !explainsEvacuation || since > relatedAfter {
			continue
		}
		if candidate.Replica == "" || line.hasAttemptAt(candidate.Replica) || slices.Contains(line.Without, candidate.Service) {
			return true
		}
	}
	return false
}

// hasAttemptAt reports whether a line lists an attempt at a replica.
func (line *Line) hasAttemptAt(replica string) bool {
	return slices.ContainsFunc(line.Attempts, func(attempt string) bool { return strings.Contains(attempt, " "+replica+" ") })
}

// codeCauses holds the cause of a refusal by its result code.
var codeCauses = map[string]string{
	swcode.NotReady.String():          "the VM had no configuration yet",
	swcode.TooManyClients.String():    "the clients of the VM held all memory or connections that it gives them, and this one had sent its body more slowly than others",
	swcode.NotFound.String():          "no route of the configuration that was in force on the VM matches the host and path",
	swcode.BadRequest.String():        "the request was malformed or not received completely in time",
	swcode.BodyTooLarge.String():      "the request's body exceeds the configuration's limit",
	swcode.Quarantined.String():       "requests with the same path and body crashed replicas and are in quarantine",
	swcode.NoReplica.String():         "too few services had a reachable replica; Without lists the services without one",
	swcode.UnknownKey.String():        "the request carried no key of a tenant: none, an unknown or withdrawn one, or one that several tenants hold",
	swcode.OverQuota.String():         "the tenant was over its quota, or this VM held no use of it",
	swcode.RefusedByRule.String():     "a refuse rule matched; Rules is the version of the rules, and Rule the line of the rule",
	swcode.NoRuleMatched.String():     "no rule matched, so the request was refused; Rules is the version of the rules",
	swcode.QuarantinedByRule.String(): "a rule refuses requests with this fingerprint",
	swcode.RuleRateExceeded.String():  "the limit of the rule was used up; Rule is its line",
	swcode.RuleWaitExceeded.String():  "the request waited for the limit of the rule for as long as the rule allows; Rule is its line",
	swcode.ShedByPriority.String():    "shards of the route were overloaded, and whole searches were refused to keep capacity for others",
	swcode.NotHome.String():           "no replica of a service stands in the regions that may serve the request (Homes); Without lists the services without one",
	swcode.Evacuated.String():         "every data centre that could serve the request is evacuated; Without lists the services without a replica elsewhere",
	swcode.QueueFull.String():         "the replicas were at capacity, and the requests queued ahead would have taken too long",
	swcode.DeadlineExceeded.String():  "the deadline of the client or the route passed before enough answers arrived",
}

// describeCause returns the cause of a request's outcome from its last line.
func describeCause(line *Line) string {
	switch line.Message {
	case "answered":
		return "the request was answered completely and in time"
	case "answered in part":
		return fmt.Sprintf("the answer was sent at the route's target latency without %s: %s", strings.Join(line.Missing, ", "), describeAttempts(line))
	case "answered late":
		return "the answer was sent after the route's target latency: " + describeAttempts(line)
	case "the client left":
		return "the client closed its connection before the request was answered"
	}
	if codeCause, ok := codeCauses[line.Code]; ok {
		codeCause += describeShare(line)
		if line.Message == "not answered" {
			return codeCause + "; " + describeAttempts(line)
		}
		return codeCause
	}
	return describeAttempts(line)
}

// describeShare says why other tenants' requests went before a refused one; it is empty if none did.
func describeShare(line *Line) string {
	switch {
	case line.Admitted > 0:
		return fmt.Sprintf("; tenant %s offered more than its share, and %.0f in 100 of its searches were admitted", line.Tenant, 100*line.Admitted)
	case line.Ahead > 0:
		return fmt.Sprintf("; tenant %s was behind other tenants, of which %d requests went before this one", line.Tenant, line.Ahead)
	}
	return ""
}

// describeAttempts summarizes the attempts that were not answered.
func describeAttempts(line *Line) string {
	counts := make(map[string]int)
	suspected := 0
	for _, attempt := range line.Attempts {
		words := strings.Fields(attempt)
		if len(words) == 0 {
			continue
		}
		if outcome := words[len(words)-1]; outcome != "Answered" {
			counts[describeOutcome(outcome)]++
			if strings.Contains(attempt, "/shared:") {
				suspected++
			}
		}
	}
	var parts []string
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[text], text))
	}
	if line.Denied > 0 {
		text := fmt.Sprintf("%d hedges or retries denied by the shared budget", line.Denied)
		if line.DeniedWithoutUse > 0 {
			text += fmt.Sprintf(" (%d because this VM held nothing of it)", line.DeniedWithoutUse)
		}
		parts = append(parts, text)
	}
	if suspected > 0 {
		parts = append(parts, fmt.Sprintf("%d of these attempts at replicas at which this VM or others had just seen losses, rejections or slow answers", suspected))
	}
	if len(parts) == 0 {
		return "replicas took longer than usual"
	}
	return strings.Join(parts, ", ")
}

// describeOutcome describes the outcome of attempts.
func describeOutcome(outcome string) string {
	switch outcome {
	case "Shed":
		return "attempts rejected by a replica"
	case "Unreachable":
		return "attempts without a connection"
	case "Broken":
		return "attempts with a broken connection"
	case "Failed":
		return "attempts that failed at a replica"
	case "UnprovenRejection":
		return "attempts that failed at a replica with the status of a rejection, without its statement that the request has not run"
	case "NotHome":
		return "attempts not sent, as a new configuration took the replica's region from those that may serve the request"
	case "Evacuated":
		return "attempts not sent, as the replica's data centre is evacuated"
	case "Cold":
		return "attempts not sent, as the replica is cold and had got what it takes then"
	case "None", "Cancelled":
		return "attempts still without an answer"
	}
	return "attempts that ended as " + outcome
}
