// Package swlabcheck compares the answers that callers received with the records of the simulated backend servers, and
// reports every violation of a guarantee.
package swlabcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
)

const (
	// LeavingGrace is how long a backend server may still receive work after it started to leave.
	LeavingGrace = 2 * time.Second
	// MaxRuleDelay bounds the time between the acceptance of a rule file and its being in force on every VM.
	MaxRuleDelay = 4 * time.Second
	// stopMargin extends planned stops in both directions, because a stop may interrupt requests sent before it.
	stopMargin = time.Second
	// maxExamples bounds the examples kept for each guarantee.
	maxExamples = 5
)

// RuleChange is one accepted version of the rule file.
type RuleChange struct {
	Version uint64
	At      time.Time
}

// Window is a period of time in the life of a VM.
type Window struct {
	VM    string
	From  time.Time
	Until time.Time
}

func (window *Window) contains(vm string, at time.Time) bool {
	return window.VM == vm && !at.Before(window.From) && !at.After(window.Until)
}

// Evidence holds what was observed during one run of a scenario.
type Evidence struct {
	Results  []swlabload.Result
	Records  []swlabbackend.Record
	Arrivals []swlabbackend.Arrival
	// Snapshots returns all snapshots of an index that were published during the run.
	Snapshots func(index string) []*swlabbackend.Snapshot
	// Rules lists the accepted versions of the rule file, oldest first.
	Rules []RuleChange
	// PlannedStops lists the graceful stops of VMs.
	PlannedStops []Window
	// RulesUnreachable lists the periods in which a VM cannot receive new rules, including the time to catch up.
	RulesUnreachable []Window
}

// Violations counts the violations of each guarantee.
type Violations struct {
	// MixedSnapshots counts answers with hits of another snapshot than the one they name.
	MixedSnapshots int
	// FalseCoverage counts answers whose stated coverage is wrong.
	FalseCoverage int
	// CrossedAnswers counts answers that belong to another request or query.
	CrossedAnswers int
	// RanDespiteRefusal counts requests that ran although their answer states that they did not.
	RanDespiteRefusal int
	// RanTwice counts non-idempotent work that ran more than once on a shard.
	RanTwice int
	// WorkAfterLeaving counts requests to backend servers that started to leave more than LeavingGrace before.
	WorkAfterLeaving int
	// CutByPlannedStop counts requests that a planned stop interrupted.
	CutByPlannedStop int
	// RuleReverted counts searches that a VM matched against older rules than an earlier one.
	RuleReverted int
	// RuleLate counts requests that were matched against rules replaced more than MaxRuleDelay before.
	RuleLate int
}

// Total returns the number of all violations.
func (violations Violations) Total() int {
	return violations.MixedSnapshots + violations.FalseCoverage + violations.CrossedAnswers +
		violations.RanDespiteRefusal + violations.RanTwice + violations.WorkAfterLeaving +
		violations.CutByPlannedStop + violations.RuleReverted + violations.RuleLate
}

// Verdict is the result of all checks.
type Verdict struct {
	Violations Violations
	// Examples describes up to maxExamples violations of each guarantee.
	Examples []string
}

// checker runs the checks on one Evidence and collects the verdict.
type checker struct {
	evidence      *Evidence
	byTag         map[string][]swlabbackend.Record
	scans         map[scanQuery]swlabbackend.Result
	verdict       Verdict
	exampleCounts map[string]int
}

// Check runs every check on the evidence.
func Check(evidence *Evidence) Verdict {
	checker := &checker{
		evidence:      evidence,
		byTag:         make(map[string][]swlabbackend.Record),
		scans:         make(map[scanQuery]swlabbackend.Result),
		exampleCounts: make(map[string]int),
	}
	for _, record := range evidence.Records {
		if record.Tag != "" {
			checker.byTag[record.Tag] = append(checker.byTag[record.Tag], record)
		}
	}
	for i := range evidence.Results {
		checker.checkAnswer(&evidence.Results[i])
		checker.checkRefusal(&evidence.Results[i])
		checker.checkPlannedStops(&evidence.Results[i])
	}
	checker.checkRuns()
	checker.checkArrivals()
	checker.checkRules()
	return checker.verdict
}

// addViolation counts a violation. It keeps the first maxExamples of each guarantee as examples.
func (checker *checker) addViolation(count *int, guarantee, format string, arguments ...any) {
	*count++
	if checker.exampleCounts[guarantee] < maxExamples {
		checker.exampleCounts[guarantee]++
		checker.verdict.Examples = append(checker.verdict.Examples, guarantee+": "+fmt.Sprintf(format, arguments...))
	}
}

// checkArrivals checks that backend servers receive no new work later than LeavingGrace after they started to leave.
func (checker *checker) checkArrivals() {
	for _, arrival := range checker.evidence.Arrivals {
		if arrival.SinceLeaving > LeavingGrace {
			checker.addViolation(&checker.verdict.Violations.WorkAfterLeaving, "WorkAfterLeaving",
				"%s received work %s after it started to leave", arrival.Server, arrival.SinceLeaving.Round(time.Millisecond))
		}
	}
}

// checkRuns checks that no shard ran the same non-idempotent work twice.
func (checker *checker) checkRuns() {
	type runKey struct {
		workID string
		index  string
		shard  int
	}
	seen := make(map[runKey][]swlabbackend.Record)
	for _, record := range checker.evidence.Records {
		if record.RunKey == "" {
			continue
		}
		// The tag identifies work that its caller sends twice, even if the two sends reached the server under different keys.
		workID := record.RunKey
		if record.Tag != "" {
			workID = record.Tag
		}
		key := runKey{workID, record.Index, record.Shard}
		seen[key] = append(seen[key], record)
	}
	for work, records := range seen {
		if len(records) > 1 {
			checker.addViolation(&checker.verdict.Violations.RanTwice, "RanTwice",
				"%s ran %d times at shard %d of %s: %s", work.workID, len(records), work.shard, work.index, serverNames(records))
		}
	}
}

func serverNames(records []swlabbackend.Record) []string {
	var servers []string
	for _, record := range records {
		servers = append(servers, record.Server)
	}
	return servers
}

// checkRefusal checks that no backend server ran a request whose answer states that it did not run.
func (checker *checker) checkRefusal(result *swlabload.Result) {
	if result.Err != nil || result.Answer.Ran != notRun {
		return
	}
	for _, record := range checker.byTag[result.Tag] {
		if result.LastSend || record.Started.Before(result.EndedAt()) {
			checker.addViolation(&checker.verdict.Violations.RanDespiteRefusal, "RanDespiteRefusal",
				"%s of %s through %s was answered %s, Ran No, but ran on %s and ended as %s", result.Tag, result.Stream.Caller, result.Target,
				result.Answer.Code, record.Server, outcomeNames[record.Outcome])
			return
		}
	}
}

var outcomeNames = map[swlabbackend.Outcome]string{
	swlabbackend.Finished: "finished", swlabbackend.Late: "late",
	swlabbackend.Cancelled: "cancelled", swlabbackend.Crashed: "crashed",
}

// checkPlannedStops checks that planned stops interrupt no request.
func (checker *checker) checkPlannedStops(result *swlabload.Result) {
	if result.Err == nil && !slices.Contains(interruptedCodes, result.Answer.Code) {
		return
	}
	for _, window := range checker.evidence.PlannedStops {
		start, end := result.DueAt, result.EndedAt()
		if end.After(window.From.Add(-stopMargin)) && start.Before(window.Until.Add(stopMargin)) {
			checker.addViolation(&checker.verdict.Violations.CutByPlannedStop, "CutByPlannedStop",
				"%s of %s through %s, during the planned stop of %s: %s %s %v", result.Tag, result.Stream.Caller, result.Target, window.VM,
				result.Answer.Code, result.Answer.Message, result.Err)
			return
		}
	}
}
