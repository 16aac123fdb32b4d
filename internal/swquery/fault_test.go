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

// TestSnapshotMissingAtSomeReplicasWithOthersLostRestartsTheQuery joins a publication in progress with a lost replica.
func TestSnapshotMissingAtSomeReplicasWithOthersLostRestartsTheQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.publish("s2", testShards)
		world.drop("s2", 3, "a", "b")
		world.servers["c3"].dead = true
		result := world.run(t.Context(), Query{MinCoverage: 1})
		got := []any{result.Code, result.Snapshot, world.events["snapshot_restarts"]}
		if diff := cmp.Diff([]any{swcode.OK, "s1", int64(1)}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestShardWithoutTheSnapshotDoesNotCutAPartialAnswerShort checks that the other shards are waited for when there is no
// other snapshot, and that the whole answer of another one is preferred when there is.
func TestShardWithoutTheSnapshotDoesNotCutAPartialAnswerShort(t *testing.T) {
	for title, test := range map[string]struct {
		another bool
		want    []any
	}{
		"no other snapshot":   {false, []any{swcode.OK, "s2", testShards - 1}},
		"an earlier snapshot": {true, []any{swcode.OK, "s1", testShards}},
	} {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(testShards)
				defer world.group.Stop()
				world.publish("s2", testShards)
				if !test.another {
					world.retire("s1")
				}
				world.drop("s2", 0, dataCentres...)
				for shard := 5; shard < testShards; shard++ {
					world.servers[name("a", shard)].delay = 50 * time.Millisecond
				}
				result := world.run(t.Context(), Query{MinCoverage: 0.1})
				if diff := cmp.Diff(test.want, []any{result.Code, result.Snapshot, result.Coverage.Shards}); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestAbsenceFoundByAnotherQueryIsNotTheLastWord retires a snapshot while the next one was absent a moment ago.
func TestAbsenceFoundByAnotherQueryIsNotTheLastWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.publish("s2", testShards)
		world.drop("s2", 3, dataCentres...)
		world.run(t.Context(), Query{MinCoverage: 1})
		for _, dataCentre := range dataCentres {
			world.servers[name(dataCentre, 3)].held["s2"] = true
			delete(world.servers[name(dataCentre, 7)].held, "s1")
		}
		result := world.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		if diff := cmp.Diff([]any{swcode.OK, "s2"}, []any{result.Code, result.Snapshot}); diff != "" {
			t.Error(diff)
		}
	})
}

// TestReplicaThatLoadsASnapshotKeepsTheWorkOfOthers checks that a server which lacks one snapshot is passed over for that
// snapshot alone.
func TestReplicaThatLoadsASnapshotKeepsTheWorkOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.publish("s2", testShards)
		world.drop("s2", 3, "a")
		first := world.run(t.Context(), Query{MinCoverage: 1})
		second := world.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		expected := world.engines["a"].latencies.Expect(time.Now(), "a3", time.Millisecond)
		if diff := cmp.Diff([]any{1, 0, time.Millisecond}, []any{first.Retries, second.Retries, expected}); diff != "" {
			t.Errorf("retries of two queries, expected time of other work at the server (-want +got):\n%s", diff)
		}
	})
}

// TestRunWithAShardThatDidNotRunTellsHowManyDid checks that work in flight is waited for and not withdrawn.
func TestRunWithAShardThatDidNotRunTellsHowManyDid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.drop("s1", 0, dataCentres...)
		for shard := range testShards {
			world.servers[name("a", shard)].delay = 50 * time.Millisecond
		}
		result := world.run(t.Context(), Query{RunKey: "k"})
		if diff := cmp.Diff([]any{swcode.PartialRun, 0}, []any{result.Code, world.cancelled}); diff != "" {
			t.Error(diff)
		}
	})
}

// TestAnswerThatNamesAnotherServerOrShardDoesNotTakeTheAttemptsPlace puts crossed answers before the true ones.
func TestAnswerThatNamesAnotherServerOrShardDoesNotTakeTheAttemptsPlace(t *testing.T) {
	for name, cross := range map[string]func(answer *ItemAnswer){
		"server": func(answer *ItemAnswer) { answer.Server = "z0" },
		"shard":  func(answer *ItemAnswer) { answer.Shard++ },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(testShards)
				defer world.group.Stop()
				world.killLocal()
				world.engines["a"].budget = NewAttemptBudget(0)
				world.forge = func(reply *Reply) {
					for _, answer := range reply.Answers {
						crossed := answer
						crossed.Answer.Counts = map[string]int64{"n": 1_000_000}
						cross(&crossed)
						reply.Answers = append([]ItemAnswer{crossed}, reply.Answers...)
					}
				}
				result := world.run(t.Context(), Query{MinCoverage: 1})
				if diff := cmp.Diff(map[string]int64{"n": world.total("s1")}, result.Counts); diff != "" {
					t.Errorf("%s (%v)", diff, result.Err)
				}
				if diff := cmp.Diff(int64(testShards), world.events["crossed_answers"]); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestCanaryGoesToAnotherShardWhenNoServerSawIt loses every replica of the first shard, or lists none.
func TestCanaryGoesToAnotherShardWhenNoServerSawIt(t *testing.T) {
	for title, cause := range map[string]func(world *world){
		"lost": func(world *world) {
			for _, dataCentre := range dataCentres {
				world.servers[name(dataCentre, 0)].dead = true
			}
		},
		"not listed": func(world *world) { world.registry.Catalogue("books").Snapshots[0].Shards[0].Replicas = nil },
	} {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(testShards)
				defer world.group.Stop()
				world.verdict = swquarantine.Canary
				cause(world)
				started := time.Now()
				result := world.run(t.Context(), Query{MinCoverage: 0.5})
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

// TestVMThatStoodStillDoesNotGiveUpItsOwners wakes the gather late, with and without answers in the queue.
func TestVMThatStoodStillDoesNotGiveUpItsOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(2)
		defer world.group.Stop()
		engine := world.engines["a"]
		now := time.Now()
		execution := &execution{query: &Query{}, snapshot: &world.registry.Catalogue("books").Snapshots[0], view: world.view["a"]}
		execution.gather = NewGather(GatherConfig{Shards: testPlan(2, 1), Idempotent: true, Budget: grantAll{}})
		execution.scatter = newScatter(engine)
		defer execution.scatter.close()
		sent := execution.gather.Start(now, 0, 2).Send
		for _, command := range sent {
			link := &link{owner: swmember.Member{Name: "vm-b"}, attempts: map[uint64]struct{}{command.Attempt: {}}, heard: now}
			execution.scatter.links = append(execution.scatter.links, link)
		}
		wait := &gatherWait{engine: engine, execution: execution, due: now.Add(100 * time.Millisecond)}
		wait.wake(now.Add(5 * time.Second))
		if len(world.suspects) > 0 {
			t.Errorf("suspects after this VM's own pause: %v", world.suspects)
		}
		wait.due = now.Add(5100 * time.Millisecond)
		wait.wake(wait.due)
		if diff := cmp.Diff([]string{"vm-b"}, world.suspects); diff != "" {
			t.Error("an owner that stays silent: " + diff)
		}
	})
}

// TestAnswersThatArriveAtTheDeadlineCount leaves answers in the queue as the deadline passes.
func TestAnswersThatArriveAtTheDeadlineCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(2)
		defer world.group.Stop()
		engine := world.engines["a"]
		now := time.Now()
		query := &Query{ID: 9, MinCoverage: 1}
		execution := &execution{query: query, snapshot: &world.registry.Catalogue("books").Snapshots[0], view: world.view["a"]}
		execution.gather = NewGather(GatherConfig{Shards: testPlan(2, 2), Idempotent: true, Budget: grantAll{}})
		execution.scatter = newScatter(engine)
		sent := append([]Command(nil), execution.gather.Start(now, 0, 2).Send...)
		link := &link{owner: swmember.Member{Name: "vm-b"}, attempts: make(map[uint64]struct{}), heard: now}
		execution.scatter.links = append(execution.scatter.links, link)
		outcomes := []swbackend.Answer{answered(1), {Outcome: swbackend.Failed, Ran: swcode.RanUnknown}}
		for i, command := range sent {
			link.attempts[command.Attempt] = struct{}{}
			execution.scatter.events.put(scatterEvent{link: link, reply: Reply{QueryID: 9, Snapshot: "s1", Answers: []ItemAnswer{{
				Attempt: command.Attempt, Shard: command.Shard, Server: command.Target.Server, Answer: outcomes[i],
			}}}})
		}
		over, end := context.WithCancel(t.Context())
		end()
		<-execution.scatter.events.wake
		(&gatherWait{engine: engine, execution: execution}).run(over)
		got := []int{execution.gather.Coverage().Shards, execution.gather.Attempts}
		if diff := cmp.Diff([]int{1, 2}, got); diff != "" {
			t.Errorf("shards that count, attempts (-want +got):\n%s", diff)
		}
	})
}
