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

// Line sums up the requests of one priority, caller and kind.
type Line struct {
	swlabload.Line
	// Offered is the number of requests sent.
	Offered int64
	// Wasted is the number of requests that ran on at least one backend server and got no whole answer.
	Wasted int64
}

// Report is the result of one run of a scenario.
type Report struct {
	Scenario   string
	User       string
	Seed       uint64
	Duration   string
	Priorities []Line
	// Coverage is the mean coverage of all answers, as a fraction.
	Coverage float64
	// ExtraLoad is the number of sub-requests that backend servers started beyond the first for each query and shard, as a
	// fraction of the first ones. Hedges and retries cause it.
	ExtraLoad float64
	// SubRequests is the number of sub-requests that backend servers started.
	SubRequests int
	// BackendRefusals counts the error responses of backend servers by code.
	BackendRefusals map[string]int64
	// Snapshots counts the answers by index and snapshot.
	Snapshots map[string]int64
	// PlatformCalls counts the calls to the platform by kind.
	PlatformCalls map[string]int64
	// Failures lists the most frequent messages of requests that failed or got no answer.
	Failures   []Failure `json:",omitempty"`
	Violations Violations
	Examples   []string `json:",omitempty"`
	Timeline   []Bucket `json:",omitempty"`
}

// NewReport checks the evidence of a run and summarizes it.
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
		report.Priorities = append(report.Priorities, Line{
			Line: line, Offered: line.Sent, Wasted: wasted[lineKey{line.Caller, line.Kind}],
		})
		answers := float64(line.Whole + line.Partial)
		answered += answers
		covered += answers * line.Coverage
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

// countWasted counts the requests that ran on at least one backend server and got no whole answer.
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
	type shardRequest struct {
		queryID string
		shard   int
	}
	requested := make(map[shardRequest]bool)
	for _, record := range evidence.Records {
		requested[shardRequest{record.QueryID, record.Shard}] = true
	}
	if len(requested) == 0 {
		return 0
	}
	return float64(len(evidence.Records)-len(requested)) / float64(len(requested))
}

// Print writes the report as text, with a table of the lines.
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
	fmt.Fprintf(out, "answers by snapshot %v, error responses of backend servers %v\n", report.Snapshots, report.BackendRefusals)
	fmt.Fprintf(out, "violations %d: %+v\n", report.Violations.Total(), report.Violations)
	for _, failure := range report.Failures {
		fmt.Fprintf(out, "  %d times: %s\n", failure.Count, failure.Message)
	}
	if len(report.Examples) > 0 {
		fmt.Fprintln(out, "  "+strings.Join(report.Examples, "\n  "))
	}
}

// Bucket sums up the requests of one priority that were due in one second of a run.
type Bucket struct {
	Second   int
	Priority swrule.Priority
	Sent     int
	Whole    int
	P50      swlabload.Milliseconds
	P99      swlabload.Milliseconds
}

// NewTimeline groups the first sends by priority and by the second in which they were due.
func NewTimeline(results []swlabload.Result, begin time.Time, duration time.Duration) []Bucket {
	type bucketKey struct {
		second   int
		priority swrule.Priority
	}
	latencies := make(map[bucketKey][]time.Duration)
	sent := make(map[bucketKey]int)
	for i := range results {
		result := &results[i]
		if !result.FirstSend {
			continue
		}
		key := bucketKey{int(result.DueAt.Sub(begin) / time.Second), result.Stream.Priority}
		sent[key]++
		if result.Whole() {
			latencies[key] = append(latencies[key], result.Latency)
		}
	}
	var buckets []Bucket
	for second := range int(duration/time.Second) + 1 {
		for priority := range swrule.Priority(swrule.Priorities) {
			key := bucketKey{second, priority}
			slices.Sort(latencies[key])
			buckets = append(buckets, Bucket{
				Second: second, Priority: priority, Sent: sent[key], Whole: len(latencies[key]),
				P50: quantile(latencies[key], 0.5), P99: quantile(latencies[key], 0.99),
			})
		}
	}
	return buckets
}

// quantile returns a quantile of sorted latencies, or zero when there are none.
func quantile(sorted []time.Duration, fraction float64) swlabload.Milliseconds {
	if len(sorted) == 0 {
		return 0
	}
	value := sorted[int(fraction*float64(len(sorted)-1))]
	return swlabload.Milliseconds(float64(value) / float64(time.Millisecond))
}
