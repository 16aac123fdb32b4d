package swlabcheck_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcheck"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

func TestCompareShowsOnlyWhatDiffers(t *testing.T) {
	line := swlabcheck.Line{Line: swlabload.Line{Caller: "desk", Kind: "search", Whole: 9, P99: 80}}
	before := &swlabcheck.Report{Priorities: []swlabcheck.Line{line}, Coverage: 1}
	line.P99 = 100
	after := &swlabcheck.Report{Priorities: []swlabcheck.Line{line}, Coverage: 1}
	var out bytes.Buffer
	if err := swlabcheck.Compare(&out, before, after); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(out.String()), "\n")[1:]
	got := make([][]string, len(rows))
	for i, row := range rows {
		got[i] = strings.Fields(row)
	}
	if diff := cmp.Diff([][]string{{"Urgent", "desk", "search", "P99", "80", "100", "+20"}}, got); diff != "" {
		t.Error(diff)
	}
}

func TestPlotIsWellFormed(t *testing.T) {
	report := &swlabcheck.Report{Scenario: "calm", Timeline: []swlabcheck.Bucket{{Second: 0, Whole: 3, P99: 20}, {Second: 1, Whole: 4, P99: 30}}}
	var out bytes.Buffer
	if err := swlabcheck.Plot(&out, report); err != nil {
		t.Fatal(err)
	}
	lines := 0
	decoder := xml.NewDecoder(&out)
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if element, ok := token.(xml.StartElement); ok && element.Name.Local == "polyline" {
			lines++
		}
	}
	if want := 2 * swrule.Priorities; lines != want {
		t.Errorf("%d lines, want %d", lines, want)
	}
}

func TestTimelineCountsBySecondOfDueTime(t *testing.T) {
	evidence := newEvidence()
	addResult(evidence, 1500*time.Millisecond, 7)
	addResult(evidence, 1600*time.Millisecond, 7)
	evidence.Results[2].FirstSend = false
	timeline := swlabcheck.NewTimeline(evidence.Results, begin, 2*time.Second)
	var whole []int
	for _, bucket := range timeline {
		if bucket.Priority == swrule.Urgent {
			whole = append(whole, bucket.Whole)
		}
	}
	if diff := cmp.Diff([]int{1, 1, 0}, whole); diff != "" {
		t.Error(diff)
	}
}

func TestFailuresAreGroupedByMessage(t *testing.T) {
	evidence := newEvidence()
	for _, server := range []string{"desk-1-2", "desk-3-4"} {
		result := evidence.Results[0]
		result.Answer = swclient.SearchReply{Code: swcode.BackendFailed, Ran: swcode.RanUnknown}
		result.Answer.Message = server + " broke"
		evidence.Results = append(evidence.Results, result)
	}
	report := swlabcheck.NewReport(evidence, nil, nil)
	want := []swlabcheck.Failure{{Message: "BackendFailed, Ran Unknown: desk-#-# broke", Count: 2}}
	if diff := cmp.Diff(want, report.Failures); diff != "" {
		t.Error(diff)
	}
}
