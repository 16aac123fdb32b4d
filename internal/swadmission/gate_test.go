package swadmission

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// sheddingReport reports that a server admits half of the Deferrable work, and a tenth of one caller's Standard work.
func sheddingReport(server string) Report {
	return Report{Servers: []ServerReport{{
		Server:   server,
		Admitted: [swrule.Priorities]uint16{AllCohorts, AllCohorts, AllCohorts / 2},
		Callers:  []CallerReport{{Priority: swrule.Standard, Caller: "flood", Admitted: AllCohorts / 10}},
	}}}
}

func TestGateAdmitsQueriesThatOneReplicaOfEachShardAccepts(t *testing.T) {
	tests := []struct {
		name   string
		query  Query
		shards [][]string
		want   bool
	}{
		{"low cohort", Query{Priority: swrule.Deferrable, Cohort: 100}, [][]string{{"a"}}, true},
		{"high cohort", Query{Priority: swrule.Deferrable, Cohort: 60000}, [][]string{{"a"}}, false},
		{"high cohort with another replica", Query{Priority: swrule.Deferrable, Cohort: 60000}, [][]string{{"a", "b"}}, true},
		{"one shard without another replica", Query{Priority: swrule.Deferrable, Cohort: 60000}, [][]string{{"a", "b"}, {"a"}}, false},
		{"other priority", Query{Priority: swrule.Urgent, Cohort: 60000}, [][]string{{"a"}}, true},
		{"the caller with excessive load", Query{Priority: swrule.Standard, Caller: "flood", Cohort: 30000}, [][]string{{"a"}}, false},
		{"another caller of the same priority", Query{Priority: swrule.Standard, Caller: "peer", Cohort: 60000}, [][]string{{"a"}}, true},
		{"server that no owner reported", Query{Priority: swrule.Deferrable, Cohort: 60000}, [][]string{{"b"}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gate := NewGate()
			gate.Observe("vm-1", sheddingReport("a"))
			retryAfter, admitted := gate.Admit(test.query, test.shards)
			if admitted != test.want {
				t.Errorf("admitted %v, want %v", admitted, test.want)
			}
			if !admitted && retryAfter <= 0 {
				t.Errorf("refused with RetryAfter %s", retryAfter)
			}
		})
	}
}

func TestGateExpiresReports(t *testing.T) {
	query := Query{Priority: swrule.Deferrable, Cohort: 60000}
	tests := []struct {
		name  string
		event func(gate *Gate)
		want  bool
	}{
		{"not while the owner repeats them", func(gate *Gate) { gate.Observe("vm-1", sheddingReport("a")) }, false},
		{"when the owner no longer sheds", func(gate *Gate) { gate.Observe("vm-1", Report{}) }, true},
		{"not when another owner has none", func(gate *Gate) { gate.Observe("vm-2", Report{}) }, false},
		{"when the owner has sent no report for a while", func(*Gate) { time.Sleep(staleReportAge + reportFadeTime) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := NewGate()
				gate.Observe("vm-1", sheddingReport("a"))
				test.event(gate)
				if got := gate.Accepts("a", query); got != test.want {
					t.Errorf("accepts %v, want %v", got, test.want)
				}
			})
		})
	}
}

func TestGateRemovesStaleOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate()
		for _, owner := range names("gone-", 100) {
			gate.Observe(owner, sheddingReport(owner+"-server"))
		}
		time.Sleep(2 * (staleReportAge + reportFadeTime))
		gate.Observe("vm-1", sheddingReport("a"))
		if diff := cmp.Diff([]int{1, 1}, []int{gate.owners.Len(), gate.servers.Len()}); diff != "" {
			t.Errorf("owners and servers kept (-want +got):\n%s", diff)
		}
	})
}

func TestRetryAfterIsRandomized(t *testing.T) {
	gate := NewGate()
	gate.Observe("vm-1", sheddingReport("a"))
	shortest, longest := time.Hour, time.Duration(0)
	for range 1000 {
		retryAfter, _ := gate.Admit(Query{Priority: swrule.Deferrable, Cohort: 60000}, [][]string{{"a"}})
		shortest, longest = min(shortest, retryAfter), max(longest, retryAfter)
	}
	if longest < 2*shortest {
		t.Errorf("RetryAfter of 1000 refusals lies between %s and %s", shortest, longest)
	}
}
