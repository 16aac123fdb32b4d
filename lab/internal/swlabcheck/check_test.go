package swlabcheck_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcheck"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	shards    = 4
	documents = 200
	query     = "levy count:state tag:1"
	limit     = 5
)

var (
	begin     = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	snapshots = []*swlabbackend.Snapshot{
		swlabbackend.NewSnapshot(1, "desk", "s1", shards, documents),
		swlabbackend.NewSnapshot(1, "desk", "s2", shards+1, documents),
	}
)

// newEvidence returns evidence of one request with a whole answer, under rules that were accepted an hour before.
func newEvidence() *swlabcheck.Evidence {
	stream := &swlabload.Stream{Caller: "treasurer-desk", Index: "desk", Limit: limit}
	result := swlabload.Result{
		Stream: stream, Tag: "1", RequestID: "1", Query: query, Target: "vm1",
		DueAt: begin, SentAt: begin, Latency: time.Second, FirstSend: true, LastSend: true,
		Answer: newAnswer(snapshots[0], query),
	}
	evidence := &swlabcheck.Evidence{
		Results:   []swlabload.Result{result},
		Snapshots: func(string) []*swlabbackend.Snapshot { return snapshots },
		Rules:     []swlabcheck.RuleChange{{Version: 7, At: begin.Add(-time.Hour)}},
	}
	for shard := range shards {
		evidence.Records = append(evidence.Records, swlabbackend.Record{
			Server: "desk-a", QueryID: "q", Index: "desk", Snapshot: "s1", Shard: shard, Tag: "1",
			Started: begin.Add(time.Millisecond), Outcome: swlabbackend.Finished,
		})
	}
	return evidence
}

func newAnswer(snapshot *swlabbackend.Snapshot, query string) swclient.SearchReply {
	scan := snapshot.Scan(query, limit)
	reply := swclient.SearchReply{
		Code: swcode.OK, Ran: swcode.RanYes, RequestID: "1", Snapshot: snapshot.ID, RuleVersion: 7, Counts: scan.Counts,
		Coverage: swclient.Coverage{
			Documents: snapshot.TotalDocuments(), Of: snapshot.TotalDocuments(), Shards: len(snapshot.Shards), OfShards: len(snapshot.Shards),
		},
	}
	for _, hit := range scan.Hits {
		reply.Hits = append(reply.Hits, swclient.Hit{ID: hit.ID, Score: hit.Score, Text: hit.Text})
	}
	return reply
}

// addResult adds another result from the same VM, due at an offset from the first and with a rule version of its own.
func addResult(evidence *swlabcheck.Evidence, offset time.Duration, version uint64) {
	result := evidence.Results[0]
	result.DueAt = begin.Add(offset)
	result.SentAt = result.DueAt
	result.Answer.RuleVersion = version
	evidence.Results = append(evidence.Results, result)
}

func TestEachFaultIsReportedByItsCheckAlone(t *testing.T) {
	type violations = swlabcheck.Violations
	tests := []struct {
		name   string
		inject func(evidence *swlabcheck.Evidence)
		want   violations
	}{
		{"no fault", func(*swlabcheck.Evidence) {}, violations{}},
		{"hit of another snapshot", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer.Hits[1].Text = strings.Replace(evidence.Results[0].Answer.Hits[1].Text, "s1", "s2", 1)
		}, violations{MixedSnapshots: 1}},
		{"snapshot that was never published", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer.Snapshot = "s9"
		}, violations{MixedSnapshots: 1}},
		{"answer to another request", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer.RequestID = "2"
		}, violations{CrossedAnswers: 1}},
		{"hits of another query", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer = newAnswer(snapshots[0], "hall")
		}, violations{CrossedAnswers: 1}},
		{"full coverage with a missing hit", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer.Hits = evidence.Results[0].Answer.Hits[1:]
		}, violations{FalseCoverage: 1}},
		{"full coverage with doubled counts", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer.Counts["state=open"]++
		}, violations{FalseCoverage: 1}},
		{"coverage of a shard that did not run", func(evidence *swlabcheck.Evidence) {
			evidence.Records = evidence.Records[1:]
		}, violations{FalseCoverage: 1}},
		{"coverage of a shard that was cancelled", func(evidence *swlabcheck.Evidence) {
			evidence.Records[0].Outcome = swlabbackend.Cancelled
		}, violations{FalseCoverage: 1}},
		{"coverage of another total", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer.Coverage.Of--
			evidence.Results[0].Answer.Coverage.Documents--
		}, violations{FalseCoverage: 1}},
		{"coverage of another shard map", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer.Coverage.OfShards++
		}, violations{FalseCoverage: 1}},
		{"refusal of a request that ran", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer = swclient.SearchReply{Code: swcode.ShedByPriority, Ran: swcode.RanNo}
		}, violations{RanDespiteRefusal: 1}},
		{"refusal of a request that ran later", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer = swclient.SearchReply{Code: swcode.ShedByPriority, Ran: swcode.RanNo}
			for i := range evidence.Records {
				evidence.Records[i].Started = begin.Add(time.Hour)
			}
		}, violations{RanDespiteRefusal: 1}},
		{"run twice under one key", func(evidence *swlabcheck.Evidence) {
			evidence.Records = append(evidence.Records, swlabbackend.Record{RunKey: "k"}, swlabbackend.Record{RunKey: "k"})
		}, violations{RanTwice: 1}},
		{"run twice under two keys", func(evidence *swlabcheck.Evidence) {
			evidence.Records = append(evidence.Records, swlabbackend.Record{RunKey: "k", Tag: "9"}, swlabbackend.Record{RunKey: "l", Tag: "9"})
		}, violations{RanTwice: 1}},
		{"run at two shards", func(evidence *swlabcheck.Evidence) {
			evidence.Records = append(evidence.Records, swlabbackend.Record{RunKey: "k"}, swlabbackend.Record{RunKey: "k", Shard: 1})
		}, violations{}},
		{"work for a leaving server", func(evidence *swlabcheck.Evidence) {
			evidence.Arrivals = []swlabbackend.Arrival{{SinceLeaving: swlabcheck.LeavingGrace}, {SinceLeaving: swlabcheck.LeavingGrace + 1}}
		}, violations{WorkAfterLeaving: 1}},
		{"connection broken during a planned stop", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Err = errors.New("connection reset")
			evidence.PlannedStops = []swlabcheck.Window{{VM: "vm2", From: begin, Until: begin.Add(time.Second)}}
		}, violations{CutByPlannedStop: 1}},
		{"run with unknown outcome during a planned stop", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Answer = swclient.SearchReply{Code: swcode.OutcomeUnknown, Ran: swcode.RanUnknown}
			evidence.PlannedStops = []swlabcheck.Window{{VM: "vm2", From: begin, Until: begin.Add(time.Second)}}
		}, violations{CutByPlannedStop: 1}},
		{"connection broken long after a planned stop", func(evidence *swlabcheck.Evidence) {
			evidence.Results[0].Err = errors.New("connection reset")
			evidence.PlannedStops = []swlabcheck.Window{{VM: "vm2", From: begin.Add(-time.Hour), Until: begin.Add(-time.Minute)}}
		}, violations{}},
		{"older rules after newer", func(evidence *swlabcheck.Evidence) {
			addResult(evidence, time.Minute, 9)
			addResult(evidence, 2*time.Minute, 8)
		}, violations{RuleReverted: 1}},
		{"older and newer rules for requests in flight at the same time", func(evidence *swlabcheck.Evidence) {
			addResult(evidence, time.Minute, 9)
			addResult(evidence, time.Minute, 8)
		}, violations{}},
		{"rules late", func(evidence *swlabcheck.Evidence) {
			evidence.Rules = append(evidence.Rules, swlabcheck.RuleChange{Version: 8, At: begin})
			addResult(evidence, swlabcheck.MaxRuleDelay, 7)
		}, violations{RuleLate: 1}},
		{"older rules for a run, which its issuer matched at the first send", func(evidence *swlabcheck.Evidence) {
			addResult(evidence, time.Minute, 9)
			addResult(evidence, 2*time.Minute, 8)
			evidence.Results[2].Key = "k"
		}, violations{}},
		{"rules late for the first send of a run", func(evidence *swlabcheck.Evidence) {
			evidence.Rules = append(evidence.Rules, swlabcheck.RuleChange{Version: 8, At: begin})
			addResult(evidence, swlabcheck.MaxRuleDelay, 7)
			evidence.Results[1].Key = "k"
		}, violations{RuleLate: 1}},
		{"rules late for a run while a VM that may be its issuer cannot receive rules", func(evidence *swlabcheck.Evidence) {
			evidence.Rules = append(evidence.Rules, swlabcheck.RuleChange{Version: 8, At: begin})
			evidence.RulesUnreachable = []swlabcheck.Window{{VM: "vm2", From: begin, Until: begin.Add(time.Hour)}}
			addResult(evidence, swlabcheck.MaxRuleDelay, 7)
			evidence.Results[1].Key = "k"
		}, violations{}},
		{"older rules of a VM while another VM cannot receive rules", func(evidence *swlabcheck.Evidence) {
			evidence.RulesUnreachable = []swlabcheck.Window{{VM: "vm2", From: begin, Until: begin.Add(time.Hour)}}
			addResult(evidence, time.Minute, 9)
			addResult(evidence, 2*time.Minute, 8)
		}, violations{RuleReverted: 1}},
		{"rules late on a VM that cannot receive rules", func(evidence *swlabcheck.Evidence) {
			evidence.Rules = append(evidence.Rules, swlabcheck.RuleChange{Version: 8, At: begin})
			evidence.RulesUnreachable = []swlabcheck.Window{{VM: "vm1", From: begin, Until: begin.Add(time.Hour)}}
			addResult(evidence, swlabcheck.MaxRuleDelay, 7)
		}, violations{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			evidence := newEvidence()
			test.inject(evidence)
			verdict := swlabcheck.Check(evidence)
			if diff := cmp.Diff(test.want, verdict.Violations); diff != "" {
				t.Errorf("%s%v", diff, verdict.Examples)
			}
		})
	}
}

func TestExtraLoadCountsShardsAskedTwice(t *testing.T) {
	repeated := newEvidence()
	repeated.Records = append(repeated.Records, repeated.Records[0])
	report := swlabcheck.NewReport(repeated, nil, nil)
	if report.ExtraLoad != 0.25 {
		t.Errorf("extra load %v, want 0.25", report.ExtraLoad)
	}
}

func TestWastedCountsWorkWithoutWholeAnswer(t *testing.T) {
	wasted := newEvidence()
	wasted.Results[0].Answer = swclient.SearchReply{Code: swcode.DeadlineExceeded, Ran: swcode.RanUnknown}
	report := swlabcheck.NewReport(wasted, []swlabload.Line{{Caller: "treasurer-desk"}}, nil)
	if got := report.Priorities[0].Wasted; got != 1 {
		t.Errorf("%d wasted, want 1", got)
	}
}
