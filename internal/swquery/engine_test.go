package swquery

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const testShards = 10

// TestFailureLeavesAnswerCompleteFromOneSnapshot causes one failure per case and checks that the answer is complete, comes
// from a single snapshot and equals that snapshot's contents.
func TestFailureLeavesAnswerCompleteFromOneSnapshot(t *testing.T) {
	cases := map[string]struct {
		cause    func(cluster *cluster)
		snapshot string
	}{
		"no failure": {func(*cluster) {}, "s1"},
		"the owner in another data centre receives the batch but does not reply": {func(cluster *cluster) {
			for shard := range testShards {
				cluster.servers[name("a", shard)].down = true
			}
			cluster.losesReplies[vmAddress("b")] = true
		}, "s1"},
		"one replica is 20 times slower":       {func(cluster *cluster) { cluster.servers["a3"].delay = 400 * time.Millisecond }, "s1"},
		"the local replica of a shard is lost": {func(cluster *cluster) { cluster.servers["a3"].down = true }, "s1"},
		"two replicas of a shard are lost":     {func(cluster *cluster) { cluster.servers["a3"].down, cluster.servers["b3"].down = true, true }, "s1"},
		"the newest snapshot is held by no replica of a shard": {func(cluster *cluster) {
			cluster.publish("s2", testShards)
			for _, dataCentre := range dataCentres {
				delete(cluster.servers[name(dataCentre, 3)].heldSnapshots, "s2")
			}
		}, "s1"},
		"the newest snapshot has more shards": {func(cluster *cluster) { cluster.publish("s2", testShards+2) }, "s2"},
		"some replicas lag behind a repartition": {func(cluster *cluster) {
			cluster.publish("s2", testShards+2)
			for shard := range testShards + 2 {
				delete(cluster.servers[name("a", shard)].heldSnapshots, "s2")
			}
		}, "s2"},
		"a server answers for the wrong snapshot": {func(cluster *cluster) { cluster.servers["a3"].wrongSnapshot = true }, "s1"},
		"answers arrive twice": {func(cluster *cluster) {
			cluster.alterReply = func(reply *Reply) { reply.Answers = append(reply.Answers, reply.Answers...) }
		}, "s1"},
		"answers of other queries are mixed in": {func(cluster *cluster) {
			cluster.stopLocalServers()
			cluster.mismatchedReply = func(reply Reply) Reply {
				reply.QueryID++
				return withCounts(reply, 1_000_000)
			}
		}, "s1"},
		"answers of another snapshot are mixed in": {func(cluster *cluster) {
			cluster.stopLocalServers()
			cluster.mismatchedReply = func(reply Reply) Reply {
				reply.Snapshot = "s0"
				return withCounts(reply, 1_000_000)
			}
		}, "s1"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(testShards)
				defer cluster.group.Stop()
				test.cause(cluster)
				result := cluster.run(t.Context(), Query{MinCoverage: 1})
				if result.Code != swcode.OK {
					t.Fatalf("refused: %v", result.Err)
				}
				if diff := cmp.Diff(test.snapshot, result.Snapshot); diff != "" {
					t.Error(diff)
				}
				total := cluster.total(test.snapshot)
				if diff := cmp.Diff(map[string]int64{"n": total}, result.Counts); diff != "" {
					t.Error(diff)
				}
				want := Coverage{Documents: total, Of: total, Shards: len(cluster.documents[test.snapshot]), OfShards: len(cluster.documents[test.snapshot])}
				if diff := cmp.Diff(want, result.Coverage); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func name(dataCentre string, shard int) string {
	return fmt.Sprintf("%s%d", dataCentre, shard)
}

// withCounts returns the reply with the given count in each answer.
func withCounts(reply Reply, count int64) Reply {
	answers := make([]ItemAnswer, len(reply.Answers))
	for i, answer := range reply.Answers {
		answer.Answer.Counts = map[string]int64{"n": count}
		answers[i] = answer
	}
	reply.Answers = answers
	return reply
}

// TestMissingSnapshotRestartsQueryOnAnother removes the newest snapshot from every replica of one shard. The query must be
// answered from the previous snapshot, and the next query must not try the missing one again.
func TestMissingSnapshotRestartsQueryOnAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.publish("s2", testShards)
		for _, dataCentre := range dataCentres {
			delete(cluster.servers[dataCentre+"9"].heldSnapshots, "s2")
		}
		result := cluster.run(t.Context(), Query{MinCoverage: 1})
		if diff := cmp.Diff(map[string]int64{"n": cluster.total("s1")}, result.Counts); diff != "" {
			t.Error(diff)
		}
		again := cluster.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		if diff := cmp.Diff(testShards, again.SubRequests); diff != "" {
			t.Error("the next query tries the unavailable snapshot again: " + diff)
		}
	})
}

// TestLostShardLowersCoverageOrRefusesQuery takes down every replica of one shard.
func TestLostShardLowersCoverageOrRefusesQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		for _, dataCentre := range dataCentres {
			cluster.servers[dataCentre+"4"].down = true
		}
		refused := cluster.run(t.Context(), Query{MinCoverage: 1})
		if diff := cmp.Diff(swcode.NoReplica, refused.Code); diff != "" {
			t.Error(diff)
		}
		tooLow := cluster.run(t.Context(), Query{MinCoverage: 0.99, ID: 79})
		if diff := cmp.Diff(swcode.CoverageTooLow, tooLow.Code); diff != "" {
			t.Error(diff)
		}
		partial := cluster.run(t.Context(), Query{MinCoverage: 0.5, ID: 78})
		total := cluster.total("s1")
		lost := cluster.documents["s1"][4]
		want := Coverage{Documents: total - lost, Of: total, Shards: testShards - 1, OfShards: testShards}
		if diff := cmp.Diff(want, partial.Coverage); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[string]int64{"n": total - lost}, partial.Counts); diff != "" {
			t.Error(diff)
		}
	})
}

// TestUnresponsiveOwnersAreReportedAsSuspects takes down the local servers and makes the owners of both other data centres
// unresponsive.
func TestUnresponsiveOwnersAreReportedAsSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		for shard := range testShards {
			cluster.servers[name("a", shard)].down = true
		}
		cluster.unresponsive[vmAddress("b")] = true
		cluster.unresponsive[vmAddress("c")] = true
		result := cluster.run(t.Context(), Query{MinCoverage: 1})
		if result.Code == swcode.OK {
			t.Fatal("answered without any reachable replica")
		}
		if diff := cmp.Diff([]string{"vm-b", "vm-c"}, slices.Sorted(slices.Values(cluster.suspects))); diff != "" {
			t.Error(diff)
		}
	})
}

// TestNonIdempotentWorkIsNotResentWhenOwnerBecomesUnresponsive loses the owners' replies once they have started the work. The
// outcome must be reported as unknown, and no shard's work may be sent to another owner.
func TestNonIdempotentWorkIsNotResentWhenOwnerBecomesUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		for shard := range testShards {
			cluster.servers[name("a", shard)].down = true
		}
		cluster.losesRepliesOnceRunning = true
		result := cluster.run(t.Context(), Query{RunKey: "k", Timeout: time.Second})
		if diff := cmp.Diff(swcode.RanUnknown, result.Ran); diff != "" {
			t.Error(diff)
		}
		for shard := range testShards {
			if ran := cluster.runs[name("b", shard)] + cluster.runs[name("c", shard)]; ran > 1 {
				t.Errorf("shard %d was run by %d servers", shard, ran)
			}
		}
		if len(cluster.runs) == 0 {
			t.Error("no server started the work, so the failure was not simulated")
		}
	})
}

// TestNonIdempotentWorkIsSentElsewhereWhenOwnerNeverReplied checks an owner that never responds, for example because the
// stream leads to a process that no longer exists. Its batch never starts, so the work can safely be sent elsewhere.
func TestNonIdempotentWorkIsSentElsewhereWhenOwnerNeverReplied(t *testing.T) {
	cases := map[string]func(cluster *cluster, owner netip.AddrPort){
		"the owner receives and sends nothing": func(cluster *cluster, owner netip.AddrPort) { cluster.unresponsive[owner] = true },
		"the owner's replies are lost":         func(cluster *cluster, owner netip.AddrPort) { cluster.losesReplies[owner] = true },
	}
	for name, cause := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(1)
				defer cluster.group.Stop()
				cluster.servers["a0"].down = true
				cause(cluster, vmAddress("b"))
				result := cluster.run(t.Context(), Query{RunKey: "k", Timeout: time.Second})
				if diff := cmp.Diff([]any{swcode.OK, swcode.RanYes}, []any{result.Code, result.Ran}); diff != "" {
					t.Error(diff)
				}
				synctest.Wait()
				if diff := cmp.Diff(map[string]int{"c0": 1}, cluster.runs); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestNonIdempotentWorkThatNoOwnerStartedIsRefusedAsNotRun loses the replies of every owner that could run the work.
func TestNonIdempotentWorkThatNoOwnerStartedIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(1)
		defer cluster.group.Stop()
		cluster.servers["a0"].down = true
		cluster.losesReplies[vmAddress("b")], cluster.losesReplies[vmAddress("c")] = true, true
		result := cluster.run(t.Context(), Query{RunKey: "k", Timeout: time.Second})
		if diff := cmp.Diff(swcode.RanNo, result.Ran); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(map[string]int{}, cluster.runs); diff != "" {
			t.Error("a batch that was never started has run: " + diff)
		}
	})
}

// TestNonIdempotentWorkIsRetriedWhenItDidNotRun checks that another replica is tried if the first server cannot be reached.
func TestNonIdempotentWorkIsRetriedWhenItDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.servers["a2"].down = true
		result := cluster.run(t.Context(), Query{RunKey: "k"})
		if diff := cmp.Diff(swcode.OK, result.Code); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[string]int64{"n": cluster.total("s1")}, result.Counts); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCrashingCanaryReachesOnlyOneServer checks that a suspected query that crashes its canary's server is not sent to other
// shards.
func TestCrashingCanaryReachesOnlyOneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.verdict, cluster.mayRetry = swquarantine.Canary, false
		for _, server := range cluster.servers {
			server.crashes = true
		}
		result := cluster.run(t.Context(), Query{MinCoverage: 1})
		total := 0
		for _, runs := range cluster.runs {
			total += runs
		}
		if diff := cmp.Diff(1, total); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(swcode.BackendFailed, result.Code); diff != "" {
			t.Error(diff)
		}
	})
}

// TestAnsweredCanaryStartsRemainingShards checks that a suspected query that crashes no server is answered completely.
func TestAnsweredCanaryStartsRemainingShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.verdict = swquarantine.Canary
		result := cluster.run(t.Context(), Query{MinCoverage: 1})
		if diff := cmp.Diff(map[string]int64{"n": cluster.total("s1")}, result.Counts); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCallerDisconnectCancelsSubRequests checks that every sub-request in flight is cancelled.
func TestCallerDisconnectCancelsSubRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		for _, server := range cluster.servers {
			server.delay = time.Second
		}
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, disconnect)
		result := cluster.run(ctx, Query{MinCoverage: 1})
		synctest.Wait()
		if diff := cmp.Diff(swcode.CallerGone, result.Code); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(testShards, cluster.cancelled); diff != "" {
			t.Error(diff)
		}
	})
}

// TestExtraAttemptsStayWithinBudget runs many queries against slow servers and counts the extra attempts.
func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		engine := cluster.engines["a"]
		engine.budget = NewAttemptBudget(5)
		for _, server := range cluster.servers {
			server.delay = 30 * time.Millisecond
		}
		const queries = 1000
		extra := 0
		for i := range queries {
			result := cluster.run(t.Context(), Query{MinCoverage: 1, ID: uint64(i + 1)})
			extra += result.SubRequests - testShards
		}
		if allowed := budgetBurst + queries*testShards*5/100; extra > allowed {
			t.Errorf("%d extra attempts exceed the budget of %d", extra, allowed)
		}
	})
}

// TestSuspectOwnerIsRankedLast checks that the other VMs are preferred to an owner that is suspect.
func TestSuspectOwnerIsRankedLast(t *testing.T) {
	members := []swmember.Member{
		{Name: "vm-1", DataCentre: "a", Region: "a"},
		{Name: "vm-2", DataCentre: "a", Region: "a"},
		{Name: "vm-3", DataCentre: "a", Region: "a"},
	}
	first := swmember.NewView(members[0], members).Owners("a", "server")
	for i := range members {
		if members[i].Name == first[0].Name {
			members[i].State = swmember.Suspect
		}
	}
	after := swmember.NewView(members[0], members).Owners("a", "server")
	if diff := cmp.Diff([]string{first[1].Name, first[2].Name, first[0].Name}, []string{after[0].Name, after[1].Name, after[2].Name}); diff != "" {
		t.Error(diff)
	}
}
