package swlabcheck

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// notRun is the state of a request that, according to its answer, no backend server ran.
const notRun = swcode.RanNo

// interruptedCodes lists the codes of requests that were interrupted by the end of a process or a connection.
var interruptedCodes = []swcode.Code{
	swcode.BackendFailed, swcode.CallerGone, swcode.Internal,
	swcode.IssuerGone, swcode.OutcomeUnknown, swcode.PartialRun,
}

type scanQuery struct {
	snapshot *swlabbackend.Snapshot
	query    string
	limit    int
}

// scan returns the reference result of a query, and caches it.
func (checker *checker) scan(snapshot *swlabbackend.Snapshot, query string, limit int) swlabbackend.Result {
	key := scanQuery{snapshot, swlabbackend.WithoutTag(query), limit}
	result, ok := checker.scans[key]
	if !ok {
		result = snapshot.Scan(key.query, limit)
		checker.scans[key] = result
	}
	return result
}

// checkAnswer compares one answer with the snapshot that it names and with the records of the backend servers.
func (checker *checker) checkAnswer(result *swlabload.Result) {
	answer := &result.Answer
	if result.Err != nil || answer.Code != swcode.OK {
		return
	}
	violations := &checker.verdict.Violations
	if answer.RequestID != result.RequestID {
		checker.addViolation(&violations.CrossedAnswers, "CrossedAnswers",
			"%s got the answer to %s", result.RequestID, answer.RequestID)
		return
	}
	snapshot := checker.snapshot(result.Stream.Index, answer.Snapshot)
	if snapshot == nil {
		checker.addViolation(&violations.MixedSnapshots, "MixedSnapshots",
			"%s names snapshot %q, which was never published", result.Tag, answer.Snapshot)
		return
	}
	for _, hit := range answer.Hits {
		if hitSnapshot, _, _ := strings.Cut(hit.Text, " "); hitSnapshot != answer.Snapshot {
			checker.addViolation(&violations.MixedSnapshots, "MixedSnapshots",
				"%s on snapshot %s has hit %s of snapshot %s", result.Tag, answer.Snapshot, hit.ID, hitSnapshot)
			return
		}
	}
	if hitID := checker.findForeignHit(snapshot, result); hitID != "" {
		checker.addViolation(&violations.CrossedAnswers, "CrossedAnswers",
			"%s for query %q has hit %s, which does not match the query", result.Tag, result.Query, hitID)
		return
	}
	if problem := checker.describeCoverageFault(snapshot, result); problem != "" {
		checker.addViolation(&violations.FalseCoverage, "FalseCoverage",
			"%s of %s: %s", result.Tag, result.Stream.Caller, problem)
	}
}

func (checker *checker) snapshot(index, id string) *swlabbackend.Snapshot {
	for _, snapshot := range checker.evidence.Snapshots(index) {
		if snapshot.ID == id {
			return snapshot
		}
	}
	return nil
}

// findForeignHit returns the ID of a hit that is not among the results of the query over the snapshot, or an empty string.
func (checker *checker) findForeignHit(snapshot *swlabbackend.Snapshot, result *swlabload.Result) string {
	reference := make(map[string]float64)
	for _, hit := range checker.scan(snapshot, result.Query, -1).Hits {
		reference[hit.ID] = hit.Score
	}
	for _, hit := range result.Answer.Hits {
		if score, ok := reference[hit.ID]; !ok || score != hit.Score {
			return hit.ID
		}
	}
	return ""
}

// describeCoverageFault describes what is wrong with the coverage that an answer states. It returns an empty string when the
// coverage is right.
func (checker *checker) describeCoverageFault(snapshot *swlabbackend.Snapshot, result *swlabload.Result) string {
	coverage := result.Answer.Coverage
	switch {
	case coverage.Of != snapshot.TotalDocuments():
		return "the stated total of documents differs from the snapshot's"
	case coverage.OfShards != len(snapshot.Shards):
		return "the stated total of shards differs from the snapshot's"
	case coverage.Documents > coverage.Of || coverage.Shards > coverage.OfShards:
		return "the stated coverage exceeds the stated total"
	}
	if coverage.Documents == coverage.Of && !checker.equalsScan(snapshot, result) {
		return "the stated coverage is full, but the answer differs from the direct scan"
	}
	if result.Stream.Untagged {
		return ""
	}
	shards, documents := checker.finishedShards(snapshot, result)
	if coverage.Shards > shards || coverage.Documents > documents {
		return "the stated coverage exceeds the shards that finished on backend servers"
	}
	return ""
}

// finishedShards returns the number of shards that finished for a request, and the number of their documents.
func (checker *checker) finishedShards(snapshot *swlabbackend.Snapshot, result *swlabload.Result) (shards int, documents int64) {
	finished := make(map[int]bool)
	for _, record := range checker.byTag[result.Tag] {
		if record.Outcome == swlabbackend.Finished && record.Snapshot == snapshot.ID && !finished[record.Shard] {
			finished[record.Shard] = true
			documents += snapshot.DocumentCount(record.Shard)
		}
	}
	return len(finished), documents
}

func (checker *checker) equalsScan(snapshot *swlabbackend.Snapshot, result *swlabload.Result) bool {
	reference := checker.scan(snapshot, result.Query, result.Stream.Limit)
	equal := func(hit swclient.Hit, other swlabbackend.Hit) bool {
		return hit.ID == other.ID && hit.Score == other.Score && hit.Text == other.Text
	}
	if !slices.EqualFunc(result.Answer.Hits, reference.Hits, equal) {
		return false
	}
	return maps.Equal(result.Answer.Counts, reference.Counts)
}

// checkRules checks the versions of the rule file that the answers name.
func (checker *checker) checkRules() {
	byVM := make(map[string][]*swlabload.Result)
	for i := range checker.evidence.Results {
		result := &checker.evidence.Results[i]
		if result.Err == nil && result.Answer.RuleVersion > 0 {
			byVM[result.Target] = append(byVM[result.Target], result)
		}
	}
	for _, results := range byVM {
		checker.checkRuleOrder(results)
		for _, result := range results {
			checker.checkRuleDelay(result)
		}
	}
}

// checkRuleOrder checks that no search sent after an answer arrived was matched against older rules by the same VM. Runs
// are left to checkRuleDelay: the issuer of the key matches them, which may be another VM, and a resent run was matched
// when it was first sent.
func (checker *checker) checkRuleOrder(results []*swlabload.Result) {
	byStart := slices.Clone(results)
	slices.SortFunc(byStart, func(a, b *swlabload.Result) int { return a.SentAt.Compare(b.SentAt) })
	byEnd := slices.Clone(results)
	slices.SortFunc(byEnd, func(a, b *swlabload.Result) int { return a.EndedAt().Compare(b.EndedAt()) })
	byStart = slices.DeleteFunc(byStart, func(result *swlabload.Result) bool { return result.Key != "" })
	byEnd = slices.DeleteFunc(byEnd, func(result *swlabload.Result) bool { return result.Key != "" })
	var newest uint64
	next := 0
	for _, result := range byStart {
		for next < len(byEnd) && byEnd[next].EndedAt().Before(result.SentAt) {
			newest = max(newest, byEnd[next].Answer.RuleVersion)
			next++
		}
		if result.Answer.RuleVersion < newest {
			checker.addViolation(&checker.verdict.Violations.RuleReverted, "RuleReverted",
				"%s of %s was matched against version %d at %s after version %d",
				result.Tag, result.Stream.Caller, result.Answer.RuleVersion, result.Target, newest)
		}
	}
}

// rulesUnreachable reports whether the VM that matched a request could not receive new rules. A run is matched by the issuer
// of its key, which may be any VM.
func (checker *checker) rulesUnreachable(result *swlabload.Result) bool {
	for _, window := range checker.evidence.RulesUnreachable {
		if window.contains(result.Target, earliestRuleMatch(result)) ||
			(result.Key != "" && window.contains(window.VM, earliestRuleMatch(result))) {
			return true
		}
	}
	return false
}

// earliestRuleMatch returns the earliest time at which the request may have been matched against the rules. A resent run
// returns the outcome of the first send, which was matched at that time.
func earliestRuleMatch(result *swlabload.Result) time.Time {
	if result.Key != "" {
		return result.DueAt
	}
	return result.SentAt
}

// checkRuleDelay checks that a request was matched against all rules accepted at least MaxRuleDelay before it.
func (checker *checker) checkRuleDelay(result *swlabload.Result) {
	if checker.rulesUnreachable(result) {
		return
	}
	var required RuleChange
	for _, change := range checker.evidence.Rules {
		if !earliestRuleMatch(result).Before(change.At.Add(MaxRuleDelay)) {
			required = change
		}
	}
	if result.Answer.RuleVersion < required.Version {
		checker.addViolation(&checker.verdict.Violations.RuleLate, "RuleLate",
			"%s matched version %d %s after version %d was accepted",
			result.Target, result.Answer.RuleVersion, earliestRuleMatch(result).Sub(required.At).Round(time.Millisecond), required.Version)
	}
}
