package swquery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// TestSnapshotNotHeldAndLostReplicaRestartQuery combines a publication in progress, where two replicas of a shard do not hold
// the new snapshot yet, with the loss of the third replica.
func TestSnapshotNotHeldAndLostReplicaRestartQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.publish("s2", testShards)
		cluster.drop("s2", 3, "a", "b")
		cluster.servers["c3"].down = true
		result := cluster.run(t.Context(), Query{MinCoverage: 1})
		got := []any{result.Code, result.Snapshot, cluster.events["snapshot_restarts"]}
		if diff := cmp.Diff([]any{swcode.OK, "s1", int64(1)}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestShardWithoutSnapshotDoesNotEndPartialAnswerEarly checks that the other shards are awaited if there is no other snapshot,
// and that a complete answer from another snapshot is preferred if there is one.
func TestShardWithoutSnapshotDoesNotEndPartialAnswerEarly(t *testing.T) {
	for title, test := range map[string]struct {
		another bool
		want    []any
	}{
		"no other snapshot":   {false, []any{swcode.OK, "s2", testShards - 1}},
		"an earlier snapshot": {true, []any{swcode.OK, "s1", testShards}},
	} {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(testShards)
				defer cluster.group.Stop()
				cluster.publish("s2", testShards)
				if !test.another {
					cluster.retire("s1")
				}
				cluster.drop("s2", 0, dataCentres...)
				for shard := 5; shard < testShards; shard++ {
					cluster.servers[name("a", shard)].delay = 50 * time.Millisecond
				}
				result := cluster.run(t.Context(), Query{MinCoverage: 0.1})
				if diff := cmp.Diff(test.want, []any{result.Code, result.Snapshot, result.Coverage.Shards}); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestSnapshotThatAnotherQueryFoundUnavailableIsTriedAgain loads a snapshot that was just found unavailable and removes the
// previous one. The query must fall back to the newer snapshot although it is still marked unavailable.
func TestSnapshotThatAnotherQueryFoundUnavailableIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.publish("s2", testShards)
		cluster.drop("s2", 3, dataCentres...)
		cluster.run(t.Context(), Query{MinCoverage: 1})
		for _, dataCentre := range dataCentres {
			cluster.servers[name(dataCentre, 3)].heldSnapshots["s2"] = true
			delete(cluster.servers[name(dataCentre, 7)].heldSnapshots, "s1")
		}
		result := cluster.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		if diff := cmp.Diff([]any{swcode.OK, "s2"}, []any{result.Code, result.Snapshot}); diff != "" {
			t.Error(diff)
		}
	})
}

// TestServerWithoutSnapshotStaysPreferredForOthers checks that a server that does not hold one snapshot is avoided for that
// snapshot only.
func TestServerWithoutSnapshotStaysPreferredForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.publish("s2", testShards)
		cluster.drop("s2", 3, "a")
		first := cluster.run(t.Context(), Query{MinCoverage: 1})
		second := cluster.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		expected := cluster.engines["a"].latencies.Estimate(time.Now(), "a3", time.Millisecond)
		if diff := cmp.Diff([]any{1, 0, time.Millisecond}, []any{first.Retries, second.Retries, expected}); diff != "" {
			t.Errorf("retries of two queries, expected latency of the server for other work (-want +got):\n%s", diff)
		}
	})
}

// TestNonIdempotentWorkThatRanOnSomeShardsIsReportedAsPartial checks that non-idempotent work in flight is awaited and not
// cancelled after one shard has failed.
func TestNonIdempotentWorkThatRanOnSomeShardsIsReportedAsPartial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.drop("s1", 0, dataCentres...)
		for shard := range testShards {
			cluster.servers[name("a", shard)].delay = 50 * time.Millisecond
		}
		result := cluster.run(t.Context(), Query{RunKey: "k"})
		if diff := cmp.Diff([]any{swcode.PartialRun, 0}, []any{result.Code, cluster.cancelled}); diff != "" {
			t.Error(diff)
		}
	})
}

// TestAnswerNamingAnotherServerOrShardIsDropped sends a mismatched answer before each correct one. The correct answer must
// still count.
func TestAnswerNamingAnotherServerOrShardIsDropped(t *testing.T) {
	for name, alter := range map[string]func(answer *ItemAnswer){
		"server": func(answer *ItemAnswer) { answer.Server = "z0" },
		"shard":  func(answer *ItemAnswer) { answer.Shard++ },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(testShards)
				defer cluster.group.Stop()
				cluster.stopLocalServers()
				cluster.engines["a"].budget = NewAttemptBudget(0)
				cluster.alterReply = func(reply *Reply) {
					for _, answer := range reply.Answers {
						mismatched := answer
						mismatched.Answer.Counts = map[string]int64{"n": 1_000_000}
						alter(&mismatched)
						reply.Answers = append([]ItemAnswer{mismatched}, reply.Answers...)
					}
				}
				result := cluster.run(t.Context(), Query{MinCoverage: 1})
				if diff := cmp.Diff(map[string]int64{"n": cluster.total("s1")}, result.Counts); diff != "" {
					t.Errorf("%s (%v)", diff, result.Err)
				}
				if diff := cmp.Diff(int64(testShards), cluster.events["crossed_answers"]); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestCanaryMovesToNextShardWhenNoServerReceivedIt makes every replica of the first shard unreachable, or leaves the shard
// without replicas.
func TestCanaryMovesToNextShardWhenNoServerReceivedIt(t *testing.T) {
	for title, cause := range map[string]func(cluster *cluster){
		"lost": func(cluster *cluster) {
			for _, dataCentre := range dataCentres {
				cluster.servers[name(dataCentre, 0)].down = true
			}
		},
		"not listed": func(cluster *cluster) { cluster.registry.Catalogue("books").Snapshots[0].Shards[0].Replicas = nil },
	} {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(testShards)
				defer cluster.group.Stop()
				cluster.verdict = swquarantine.Canary
				cause(cluster)
				started := time.Now()
				result := cluster.run(t.Context(), Query{MinCoverage: 0.5})
				if diff := cmp.Diff([]any{swcode.OK, testShards - 1}, []any{result.Code, result.Coverage.Shards}); diff != "" {
					t.Errorf("%s (%v)", diff, result.Err)
				}
				if took := time.Since(started); took > time.Second {
					t.Errorf("took %s", took)
				}
			})
		})
	}
}

// TestStalledVMDoesNotSuspectItsOwners fires the gather's timer late, as after a pause of this VM's process. Owners must not
// be suspected for the time in which this VM could not receive their replies.
func TestStalledVMDoesNotSuspectItsOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(2)
		defer cluster.group.Stop()
		engine := cluster.engines["a"]
		now := time.Now()
		execution := &execution{query: &Query{}, snapshot: &cluster.registry.Catalogue("books").Snapshots[0], view: cluster.view["a"]}
		execution.gather = NewGather(GatherConfig{Shards: testPlan(2, 1), Idempotent: true, Budget: grantAll{}})
		execution.scatter = newScatter(engine)
		defer execution.scatter.close()
		sent := execution.gather.Start(now, 0, 2).Send
		for _, command := range sent {
			call := &call{owner: swmember.Member{Name: "vm-b"}, attempts: map[uint64]struct{}{command.Attempt: {}}, lastMessageAt: now}
			execution.scatter.calls = append(execution.scatter.calls, call)
		}
		gatherLoop := &gatherLoop{engine: engine, execution: execution, wakeDue: now.Add(100 * time.Millisecond)}
		gatherLoop.handleTimer(now.Add(5 * time.Second))
		if len(cluster.suspects) > 0 {
			t.Errorf("suspects after this VM's own pause: %v", cluster.suspects)
		}
		gatherLoop.wakeDue = now.Add(5100 * time.Millisecond)
		gatherLoop.handleTimer(gatherLoop.wakeDue)
		if diff := cmp.Diff([]string{"vm-b"}, cluster.suspects); diff != "" {
			t.Error("suspects after the owner stayed unresponsive: " + diff)
		}
	})
}

// TestAnswersQueuedAtDeadlineCount leaves an answer and a failure in the queue as the deadline passes. The answer must count,
// and the failure must not be retried.
func TestAnswersQueuedAtDeadlineCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(2)
		defer cluster.group.Stop()
		engine := cluster.engines["a"]
		now := time.Now()
		query := &Query{ID: 9, MinCoverage: 1}
		execution := &execution{query: query, snapshot: &cluster.registry.Catalogue("books").Snapshots[0], view: cluster.view["a"]}
		execution.gather = NewGather(GatherConfig{Shards: testPlan(2, 2), Idempotent: true, Budget: grantAll{}})
		execution.scatter = newScatter(engine)
		sent := append([]Command(nil), execution.gather.Start(now, 0, 2).Send...)
		call := &call{owner: swmember.Member{Name: "vm-b"}, attempts: make(map[uint64]struct{}), lastMessageAt: now}
		execution.scatter.calls = append(execution.scatter.calls, call)
		outcomes := []swbackend.Answer{answered(1), {Outcome: swbackend.Failed, Ran: swcode.RanUnknown}}
		for i, command := range sent {
			call.attempts[command.Attempt] = struct{}{}
			execution.scatter.events.put(scatterEvent{call: call, reply: Reply{QueryID: 9, Snapshot: "s1", Answers: []ItemAnswer{{
				Attempt: command.Attempt, Shard: command.Shard, Server: command.Target.Server, Answer: outcomes[i],
			}}}})
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		<-execution.scatter.events.wake
		(&gatherLoop{engine: engine, execution: execution}).run(ctx)
		got := []int{execution.gather.Coverage().Shards, execution.gather.Attempts}
		if diff := cmp.Diff([]int{1, 2}, got); diff != "" {
			t.Errorf("shards that count, attempts (-want +got):\n%s", diff)
		}
	})
}
