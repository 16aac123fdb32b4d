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

// ranNo is the state of a request that no backend server ran.
const notRun = swcode.RanNo

// cutCodes are the codes of requests that something ended from outside.
var interruptedCodes = []swcode.Code{
	swcode.BackendFailed, swcode.CallerGone, swcode.Internal,
	swcode.IssuerGone, swcode.OutcomeUnknown, swcode.PartialRun,
}

type scanQuery struct {
	snapshot *swlabbackend.Snapshot
	query    string
	limit    int
}

// scan returns the reference answer.
func (checker *checker) scan(snapshot *swlabbackend.Snapshot, query string, limit int) swlabbackend.Result {
	at := scanQuery{snapshot, swlabbackend.WithoutTag(query), limit}
	result, ok := checker.scans[at]
	if !ok {
		result = snapshot.Scan(at.query, limit)
		checker.scans[at] = result
	}
	return result
}

// answer checks one answer against the snapshot that it names and the records of what ran.
func (checker *checker) checkAnswer(result *swlabload.Result) {
	answer := &result.Answer
	if result.Err != nil || answer.Code != swcode.OK {
		return
	}
	violations := &checker.verdict.Violations
	if answer.RequestID != result.RequestID {
		checker.addViolation(&violations.CrossedAnswers, "CrossedAnswers", "%s got the answer to %s", result.RequestID, answer.RequestID)
		return
	}
	snapshot := checker.snapshot(result.Stream.Index, answer.Snapshot)
	if snapshot == nil {
		checker.addViolation(&violations.MixedSnapshots, "MixedSnapshots", "%s names snapshot %q, which never was", result.Tag, answer.Snapshot)
		return
	}
	for _, hit := range answer.Hits {
		if of, _, _ := strings.Cut(hit.Text, " "); of != answer.Snapshot {
			checker.addViolation(&violations.MixedSnapshots, "MixedSnapshots", "%s on %s has hit %s of %s", result.Tag, answer.Snapshot, hit.ID, of)
			return
		}
	}
	if wrong := checker.findForeignHit(snapshot, result); wrong != "" {
		checker.addViolation(&violations.CrossedAnswers, "CrossedAnswers", "%s for %q has hit %s, which does not match", result.Tag, result.Query, wrong)
		return
	}
	if fault := checker.describeCoverageFault(snapshot, result); fault != "" {
		checker.addViolation(&violations.FalseCoverage, "FalseCoverage", "%s of %s: %s", result.Tag, result.Stream.Caller, fault)
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

// foreign returns the ID of a hit that the query does not have in the snapshot, or nothing.
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

// coverage returns what is wrong with the coverage that an answer states, or nothing.
func (checker *checker) describeCoverageFault(snapshot *swlabbackend.Snapshot, result *swlabload.Result) string {
	stated := result.Answer.Coverage
	switch {
	case stated.Of != snapshot.TotalDocuments():
		return "it states another number of documents than the snapshot has"
	case stated.OfShards != len(snapshot.Shards):
		return "it states another number of shards than the snapshot has"
	case stated.Documents > stated.Of || stated.Shards > stated.OfShards:
		return "it states more than there is"
	}
	if stated.Documents == stated.Of && !checker.equalsScan(snapshot, result) {
		return "it states full coverage and differs from the direct scan"
	}
	if result.Stream.Untagged {
		return ""
	}
	shards, documents := checker.finishedShards(snapshot, result)
	if stated.Shards > shards || stated.Documents > documents {
		return "it states more than the backend servers ran"
	}
	return ""
}

// ran returns the shards that finished for a request, with their documents.
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
	same := func(hit swclient.Hit, other swlabbackend.Hit) bool {
		return hit.ID == other.ID && hit.Score == other.Score && hit.Text == other.Text
	}
	if !slices.EqualFunc(result.Answer.Hits, reference.Hits, same) {
		return false
	}
	return maps.Equal(result.Answer.Counts, reference.Counts)
}

// rules checks the versions of the rule file that answers name.
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

// reverted checks that no search that began after an answer met older rules at the same VM. Runs are left to the check
// of late rules, because another VM, the issuer of the key, matches them, and maybe at an earlier sending.
func (checker *checker) checkRuleOrder(results []*swlabload.Result) {
	begun := slices.Clone(results)
	slices.SortFunc(begun, func(a, b *swlabload.Result) int { return a.SentAt.Compare(b.SentAt) })
	ended := slices.Clone(results)
	slices.SortFunc(ended, func(a, b *swlabload.Result) int { return a.EndedAt().Compare(b.EndedAt()) })
	begun = slices.DeleteFunc(begun, func(result *swlabload.Result) bool { return result.Key != "" })
	ended = slices.DeleteFunc(ended, func(result *swlabload.Result) bool { return result.Key != "" })
	var known uint64
	next := 0
	for _, result := range begun {
		for next < len(ended) && ended[next].EndedAt().Before(result.SentAt) {
			known = max(known, ended[next].Answer.RuleVersion)
			next++
		}
		if result.Answer.RuleVersion < known {
			checker.addViolation(&checker.verdict.Violations.RuleReverted, "RuleReverted",
				"%s of %s met version %d at %s after %d", result.Tag, result.Stream.Caller, result.Answer.RuleVersion, result.Target, known)
		}
	}
}

// cutOff reports whether the VM that decided on a request could not learn of rules. The issuer of its key decides on a
// run, and may be any VM.
func (checker *checker) rulesUnreachable(result *swlabload.Result) bool {
	for _, window := range checker.evidence.RulesUnreachable {
		if window.contains(result.Target, earliestRuleMatch(result)) || (result.Key != "" && window.contains(window.VM, earliestRuleMatch(result))) {
			return true
		}
	}
	return false
}

// decided returns the earliest time at which the rules may have been matched. A repeated run gets the outcome of the
// first sending, which was matched then.
func earliestRuleMatch(result *swlabload.Result) time.Time {
	if result.Key != "" {
		return result.DueAt
	}
	return result.SentAt
}

// late checks that an answer met the rules that were accepted long enough before.
func (checker *checker) checkRuleDelay(result *swlabload.Result) {
	if checker.rulesUnreachable(result) {
		return
	}
	var due RuleChange
	for _, change := range checker.evidence.Rules {
		if !earliestRuleMatch(result).Before(change.At.Add(MaxRuleDelay)) {
			due = change
		}
	}
	if result.Answer.RuleVersion < due.Version {
		checker.addViolation(&checker.verdict.Violations.RuleLate, "RuleLate", "%s met version %d %s after %d was accepted",
			result.Target, result.Answer.RuleVersion, earliestRuleMatch(result).Sub(due.At).Round(time.Millisecond), due.Version)
	}
}
