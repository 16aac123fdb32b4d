// Package swlabcheck holds the answers that callers got against what the stand-ins recorded, promise by promise.
package swlabcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
)

const (
	// LeavingGrace is how long after it began to leave a server may still be sent work.
	LeavingGrace = 2 * time.Second
	// RuleGrace is how long an accepted rule file may take to be in force everywhere.
	MaxRuleDelay = 4 * time.Second
	// stopMargin widens planned stops, because a request that began before may be cut.
	stopMargin = time.Second
	// maxExamples is the number of examples kept for each promise.
	maxExamples = 5
)

// RuleChange is one accepted version of the rule file.
type RuleChange struct {
	Version uint64
	At      time.Time
}

// Window is a time during which something holds for a VM.
type Window struct {
	VM    string
	From  time.Time
	Until time.Time
}

func (window *Window) contains(vm string, at time.Time) bool {
	return window.VM == vm && !at.Before(window.From) && !at.After(window.Until)
}

// Evidence is what was seen during one run.
type Evidence struct {
	Results  []swlabload.Result
	Records  []swlabbackend.Record
	Arrivals []swlabbackend.Arrival
	// Snapshots returns all snapshots of an index that were ever published.
	Snapshots func(index string) []*swlabbackend.Snapshot
	// Rules are the accepted versions, oldest first.
	Rules []RuleChange
	// Stops are the planned stops.
	PlannedStops []Window
	// CutOff are the times during which a VM cannot learn of new rules, with the time to catch up after.
	RulesUnreachable []Window
}

// Violations counts the breaches of each promise.
type Violations struct {
	MixedSnapshots    int
	FalseCoverage     int
	CrossedAnswers    int
	RanDespiteRefusal int
	RanTwice          int
	WorkAfterLeaving  int
	CutByPlannedStop  int
	RuleReverted      int
	RuleLate          int
}

// Total returns the number of all breaches.
func (violations Violations) Total() int {
	return violations.MixedSnapshots + violations.FalseCoverage + violations.CrossedAnswers +
		violations.RanDespiteRefusal + violations.RanTwice + violations.WorkAfterLeaving +
		violations.CutByPlannedStop + violations.RuleReverted + violations.RuleLate
}

// Verdict is the outcome of all checks.
type Verdict struct {
	Violations Violations
	// Examples describes some of the breaches.
	Examples []string
}

// checker gathers the verdict over one piece of evidence.
type checker struct {
	evidence      *Evidence
	byTag         map[string][]swlabbackend.Record
	scans         map[scanQuery]swlabbackend.Result
	verdict       Verdict
	exampleCounts map[string]int
}

// Check runs every check.
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

// breach counts a breach and keeps the first examples of each promise.
func (checker *checker) addViolation(count *int, promise, format string, arguments ...any) {
	*count++
	if checker.exampleCounts[promise] < maxExamples {
		checker.exampleCounts[promise]++
		checker.verdict.Examples = append(checker.verdict.Examples, promise+": "+fmt.Sprintf(format, arguments...))
	}
}

// arrivals checks that leaving servers get no new work after the grace.
func (checker *checker) checkArrivals() {
	for _, arrival := range checker.evidence.Arrivals {
		if arrival.SinceLeaving > LeavingGrace {
			checker.addViolation(&checker.verdict.Violations.WorkAfterLeaving, "WorkAfterLeaving",
				"%s got work %s after it began to leave", arrival.Server, arrival.SinceLeaving.Round(time.Millisecond))
		}
	}
}

// runs checks that no shard ran the same work twice.
func (checker *checker) checkRuns() {
	type runKey struct {
		key   string
		index string
		shard int
	}
	seen := make(map[runKey][]swlabbackend.Record)
	for _, record := range checker.evidence.Records {
		if record.RunKey == "" {
			continue
		}
		// Work that its caller sends twice is told by its tag, even if the tier gave the two sendings different keys.
		work := record.RunKey
		if record.Tag != "" {
			work = record.Tag
		}
		at := runKey{work, record.Index, record.Shard}
		seen[at] = append(seen[at], record)
	}
	for at, records := range seen {
		if len(records) > 1 {
			checker.addViolation(&checker.verdict.Violations.RanTwice, "RanTwice",
				"%s ran %d times at shard %d of %s: %s", at.key, len(records), at.shard, at.index, serverNames(records))
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

// refusal checks that what is said not to have run did not run.
func (checker *checker) checkRefusal(result *swlabload.Result) {
	if result.Err != nil || result.Answer.Ran != notRun {
		return
	}
	for _, record := range checker.byTag[result.Tag] {
		if result.LastSend || record.Started.Before(result.EndedAt()) {
			checker.addViolation(&checker.verdict.Violations.RanDespiteRefusal, "RanDespiteRefusal",
				"%s of %s through %s said %s, not run, but ran at %s as %s", result.Tag, result.Stream.Caller, result.Target,
				result.Answer.Code, record.Server, outcomeNames[record.Outcome])
			return
		}
	}
}

var outcomeNames = map[swlabbackend.Outcome]string{
	swlabbackend.Finished: "finished", swlabbackend.Late: "late",
	swlabbackend.Cancelled: "cancelled", swlabbackend.Crashed: "crashed",
}

// stop checks that planned stops cut no request.
func (checker *checker) checkPlannedStops(result *swlabload.Result) {
	if result.Err == nil && !slices.Contains(interruptedCodes, result.Answer.Code) {
		return
	}
	for _, window := range checker.evidence.PlannedStops {
		begun, ended := result.DueAt, result.EndedAt()
		if ended.After(window.From.Add(-stopMargin)) && begun.Before(window.Until.Add(stopMargin)) {
			checker.addViolation(&checker.verdict.Violations.CutByPlannedStop, "CutByPlannedStop",
				"%s of %s through %s, while %s stopped: %s %s %v", result.Tag, result.Stream.Caller, result.Target, window.VM,
				result.Answer.Code, result.Answer.Message, result.Err)
			return
		}
	}
}
