package swlabcheck

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Line is the service that one priority and caller had.
type Line struct {
	swlabload.Line
	// Offered is the number of requests sent.
	Offered int64
	// Wasted is the number of requests that ran in part and got no whole answer.
	Wasted int64
}

// Report is the outcome of one run.
type Report struct {
	Scenario   string
	User       string
	Seed       uint64
	Duration   string
	Priorities []Line
	// Coverage is the mean over all answers.
	Coverage float64
	// ExtraLoad is the number of sub-requests that backend servers ran twice or in vain for a shard that they had
	// begun already, as a share of the shards asked for.
	ExtraLoad float64
	// SubRequests is the number of sub-requests that backend servers began.
	SubRequests int
	// BackendRefusals counts the requests that backend servers did not answer, by code.
	BackendRefusals map[string]int64
	// Snapshots counts the answers by index and snapshot.
	Snapshots     map[string]int64
	PlatformCalls map[string]int64
	// Failures lists the most frequent messages of requests that failed or broke.
	Failures   []Failure `json:",omitempty"`
	Violations Violations
	Examples   []string `json:",omitempty"`
	Timeline   []Bucket `json:",omitempty"`
}

// NewReport sums up a run.
func NewReport(evidence *Evidence, lines []swlabload.Line, calls map[string]int64) Report {
	verdict := Check(evidence)
	report := Report{
		Violations: verdict.Violations, Examples: verdict.Examples, PlatformCalls: calls,
		SubRequests: len(evidence.Records), ExtraLoad: computeExtraLoad(evidence),
	}
	report.Snapshots = countBySnapshot(evidence)
	report.Failures = countFailures(evidence)
	wasted := countWasted(evidence)
	var answered, covered float64
	for _, line := range lines {
		report.Priorities = append(report.Priorities, Line{Line: line, Offered: line.Sent, Wasted: wasted[lineKey{line.Caller, line.Kind}]})
		count := float64(line.Whole + line.Partial)
		answered += count
		covered += count * line.Coverage
	}
	slices.SortStableFunc(report.Priorities, func(a, b Line) int { return int(a.Priority) - int(b.Priority) })
	if answered > 0 {
		report.Coverage = covered / answered
	}
	return report
}

func countBySnapshot(evidence *Evidence) map[string]int64 {
	answers := make(map[string]int64)
	for i := range evidence.Results {
		if result := &evidence.Results[i]; result.Err == nil && result.Answer.Code == swcode.OK {
			answers[result.Stream.Index+"/"+result.Answer.Snapshot]++
		}
	}
	return answers
}

type lineKey struct {
	caller string
	kind   string
}

// wastedBy counts the requests that ran in part and got no whole answer.
func countWasted(evidence *Evidence) map[lineKey]int64 {
	ran := make(map[string]bool)
	for _, record := range evidence.Records {
		ran[record.Tag] = true
	}
	wasted := make(map[lineKey]int64)
	for i := range evidence.Results {
		result := &evidence.Results[i]
		if result.FirstSend && ran[result.Tag] && !result.Whole() {
			wasted[lineKey{result.Stream.Caller, result.Stream.Kind}]++
		}
	}
	return wasted
}

func computeExtraLoad(evidence *Evidence) float64 {
	type part struct {
		queryID string
		shard   int
	}
	asked := make(map[part]bool)
	for _, record := range evidence.Records {
		asked[part{record.QueryID, record.Shard}] = true
	}
	if len(asked) == 0 {
		return 0
	}
	return float64(len(evidence.Records)-len(asked)) / float64(len(asked))
}

// Print writes the report as a table.
func (report *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s, %s, seed %d, %s\n\n", report.Scenario, report.User, report.Seed, report.Duration)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "PRIORITY\tCALLER\tKIND\tSENT\tWHOLE\tREFUSED\tFAILED\tBROKEN\tWASTED\tP50\tP99\tP99.9\tCOVERAGE\t")
	for _, line := range report.Priorities {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1fms\t%.1fms\t%.1fms\t%.4f\t\n",
			line.Priority, line.Caller, line.Kind, line.Sent, line.Whole, line.Refused, line.Failed, line.Broken, line.Wasted,
			line.P50, line.P99, line.P999, line.Coverage)
	}
	_ = table.Flush()
	fmt.Fprintln(out)
	for _, line := range report.Priorities {
		fmt.Fprintf(out, "%s %s: %v\n", line.Caller, line.Kind, line.Codes)
	}
	fmt.Fprintf(out, "\ncoverage %.4f, extra load %.2f %%, %d sub-requests, platform calls %v\n",
		report.Coverage, 100*report.ExtraLoad, report.SubRequests, report.PlatformCalls)
	fmt.Fprintf(out, "answers by snapshot %v, refusals of backend servers %v\n", report.Snapshots, report.BackendRefusals)
	fmt.Fprintf(out, "violations %d: %+v\n", report.Violations.Total(), report.Violations)
	for _, failure := range report.Failures {
		fmt.Fprintf(out, "  %d times %s\n", failure.Count, failure.Message)
	}
	if len(report.Examples) > 0 {
		fmt.Fprintln(out, "  "+strings.Join(report.Examples, "\n  "))
	}
}

// Bucket is one second of a run for one priority.
type Bucket struct {
	Second   int
	Priority swrule.Priority
	Sent     int
	Whole    int
	P50      swlabload.Milliseconds
	P99      swlabload.Milliseconds
}

// NewTimeline sums the first sendings up by the second in which they were due.
func NewTimeline(results []swlabload.Result, begin time.Time, duration time.Duration) []Bucket {
	type at struct {
		second   int
		priority swrule.Priority
	}
	latencies := make(map[at][]time.Duration)
	sent := make(map[at]int)
	for i := range results {
		result := &results[i]
		if !result.FirstSend {
			continue
		}
		key := at{int(result.DueAt.Sub(begin) / time.Second), result.Stream.Priority}
		sent[key]++
		if result.Whole() {
			latencies[key] = append(latencies[key], result.Latency)
		}
	}
	var buckets []Bucket
	for second := range int(duration/time.Second) + 1 {
		for priority := range swrule.Priority(swrule.Priorities) {
			key := at{second, priority}
			slices.Sort(latencies[key])
			buckets = append(buckets, Bucket{
				Second: second, Priority: priority, Sent: sent[key], Whole: len(latencies[key]),
				P50: quantile(latencies[key], 0.5), P99: quantile(latencies[key], 0.99),
			})
		}
	}
	return buckets
}

// quantile returns a quantile of sorted latencies.
func quantile(sorted []time.Duration, share float64) swlabload.Milliseconds {
	if len(sorted) == 0 {
		return 0
	}
	value := sorted[int(share*float64(len(sorted)-1))]
	return swlabload.Milliseconds(float64(value) / float64(time.Millisecond))
}
