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

// TestFailureLeavesAnswersWholeFromOneSnapshot causes one failure a case and checks that the answer is whole, from one
// snapshot, and equal to that snapshot's own contents.
func TestFailureLeavesAnswersWholeFromOneSnapshot(t *testing.T) {
	cases := map[string]struct {
		cause    func(world *world)
		snapshot string
	}{
		"no failure": {func(*world) {}, "s1"},
		"the owner of another data centre goes silent after the batch": {func(world *world) {
			for shard := range testShards {
				world.servers[name("a", shard)].dead = true
			}
			world.mute[vmAddress("b")] = true
		}, "s1"},
		"one replica is 20 times slow":         {func(world *world) { world.servers["a3"].delay = 400 * time.Millisecond }, "s1"},
		"the local replica of a shard is lost": {func(world *world) { world.servers["a3"].dead = true }, "s1"},
		"two replicas of a shard are lost":     {func(world *world) { world.servers["a3"].dead, world.servers["b3"].dead = true, true }, "s1"},
		"the newest snapshot is held by no replica of a shard": {func(world *world) {
			world.publish("s2", testShards)
			for _, dataCentre := range dataCentres {
				delete(world.servers[name(dataCentre, 3)].held, "s2")
			}
		}, "s1"},
		"the newest snapshot has another shard map": {func(world *world) { world.publish("s2", testShards+2) }, "s2"},
		"some replicas lag behind a repartition": {func(world *world) {
			world.publish("s2", testShards+2)
			for shard := range testShards + 2 {
				delete(world.servers[name("a", shard)].held, "s2")
			}
		}, "s2"},
		"a server answers for the wrong snapshot": {func(world *world) { world.servers["a3"].wrong = true }, "s1"},
		"answers come twice": {func(world *world) {
			world.forge = func(reply *Reply) { reply.Answers = append(reply.Answers, reply.Answers...) }
		}, "s1"},
		"answers of other queries are mixed in": {func(world *world) {
			world.killLocal()
			world.cross = func(reply Reply) Reply {
				reply.QueryID++
				return withCounts(reply, 1_000_000)
			}
		}, "s1"},
		"answers of another snapshot are mixed in": {func(world *world) {
			world.killLocal()
			world.cross = func(reply Reply) Reply {
				reply.Snapshot = "s0"
				return withCounts(reply, 1_000_000)
			}
		}, "s1"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(testShards)
				defer world.group.Stop()
				test.cause(world)
				result := world.run(t.Context(), Query{MinCoverage: 1})
				if result.Code != swcode.OK {
					t.Fatalf("refused: %v", result.Err)
				}
				if diff := cmp.Diff(test.snapshot, result.Snapshot); diff != "" {
					t.Error(diff)
				}
				total := world.total(test.snapshot)
				if diff := cmp.Diff(map[string]int64{"n": total}, result.Counts); diff != "" {
					t.Error(diff)
				}
				want := Coverage{Documents: total, Of: total, Shards: len(world.documents[test.snapshot]), OfShards: len(world.documents[test.snapshot])}
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

// withCounts returns the reply with another count in each answer.
func withCounts(reply Reply, count int64) Reply {
	answers := make([]ItemAnswer, len(reply.Answers))
	for i, answer := range reply.Answers {
		answer.Answer.Counts = map[string]int64{"n": count}
		answers[i] = answer
	}
	reply.Answers = answers
	return reply
}

// TestSnapshotRetiredDuringTheGatherRestartsTheQuery retires the newest snapshot at one shard while the others answer.
func TestSnapshotRetiredDuringTheGatherRestartsTheQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.publish("s2", testShards)
		for _, dataCentre := range dataCentres {
			delete(world.servers[dataCentre+"9"].held, "s2")
		}
		result := world.run(t.Context(), Query{MinCoverage: 1})
		if diff := cmp.Diff(map[string]int64{"n": world.total("s1")}, result.Counts); diff != "" {
			t.Error(diff)
		}
		again := world.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		if diff := cmp.Diff(testShards, again.SubRequests); diff != "" {
			t.Error("the next query tries the absent snapshot again: " + diff)
		}
	})
}

// TestLostShardShowsInCoverageOrRefuses loses every replica of one shard.
func TestLostShardShowsInCoverageOrRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		for _, dataCentre := range dataCentres {
			world.servers[dataCentre+"4"].dead = true
		}
		refused := world.run(t.Context(), Query{MinCoverage: 1})
		if diff := cmp.Diff(swcode.NoReplica, refused.Code); diff != "" {
			t.Error(diff)
		}
		tooLow := world.run(t.Context(), Query{MinCoverage: 0.99, ID: 79})
		if diff := cmp.Diff(swcode.CoverageTooLow, tooLow.Code); diff != "" {
			t.Error(diff)
		}
		partial := world.run(t.Context(), Query{MinCoverage: 0.5, ID: 78})
		total := world.total("s1")
		lost := world.documents["s1"][4]
		want := Coverage{Documents: total - lost, Of: total, Shards: testShards - 1, OfShards: testShards}
		if diff := cmp.Diff(want, partial.Coverage); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[string]int64{"n": total - lost}, partial.Counts); diff != "" {
			t.Error(diff)
		}
	})
}

// TestSilentOwnerIsReportedAndAnsweredElsewhere cuts the local data centre's servers and one remote owner off.
func TestSilentOwnerIsReportedAndAnsweredElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		for shard := range testShards {
			world.servers[name("a", shard)].dead = true
		}
		world.silent[vmAddress("b")] = true
		world.silent[vmAddress("c")] = true
		result := world.run(t.Context(), Query{MinCoverage: 1})
		if result.Code == swcode.OK {
			t.Fatal("answered without any reachable replica")
		}
		if diff := cmp.Diff([]string{"vm-b", "vm-c"}, slices.Sorted(slices.Values(world.suspects))); diff != "" {
			t.Error(diff)
		}
	})
}

// TestNonIdempotentWorkIsSentOnceWhenItsOwnerGoesSilent cuts the owners off once they have begun, and checks that an
// unknown outcome is told and nothing is sent again.
func TestNonIdempotentWorkIsSentOnceWhenItsOwnerGoesSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		for shard := range testShards {
			world.servers[name("a", shard)].dead = true
		}
		world.muteOnceRunning = true
		result := world.run(t.Context(), Query{RunKey: "k", Timeout: time.Second})
		if diff := cmp.Diff(swcode.RanUnknown, result.Ran); diff != "" {
			t.Error(diff)
		}
		for shard := range testShards {
			if ran := world.runs[name("b", shard)] + world.runs[name("c", shard)]; ran > 1 {
				t.Errorf("shard %d was run by %d servers", shard, ran)
			}
		}
		if len(world.runs) == 0 {
			t.Error("no server began, so the case was not caused")
		}
	})
}

// TestNonIdempotentWorkGoesElsewhereWhenItsOwnerNeverSpoke checks that an owner that is silent from the start, as one
// whose stream leads to a process that is gone, costs time only: its batch never begins.
func TestNonIdempotentWorkGoesElsewhereWhenItsOwnerNeverSpoke(t *testing.T) {
	cases := map[string]func(world *world, owner netip.AddrPort){
		"the owner hears nothing": func(world *world, owner netip.AddrPort) { world.silent[owner] = true },
		"nobody hears the owner":  func(world *world, owner netip.AddrPort) { world.mute[owner] = true },
	}
	for name, cause := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(1)
				defer world.group.Stop()
				world.servers["a0"].dead = true
				cause(world, vmAddress("b"))
				result := world.run(t.Context(), Query{RunKey: "k", Timeout: time.Second})
				if diff := cmp.Diff([]any{swcode.OK, swcode.RanYes}, []any{result.Code, result.Ran}); diff != "" {
					t.Error(diff)
				}
				synctest.Wait()
				if diff := cmp.Diff(map[string]int{"c0": 1}, world.runs); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestNonIdempotentWorkThatNoOwnerBeganIsRefusedAsNotRun silences every owner that could run it.
func TestNonIdempotentWorkThatNoOwnerBeganIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(1)
		defer world.group.Stop()
		world.servers["a0"].dead = true
		world.mute[vmAddress("b")], world.mute[vmAddress("c")] = true, true
		result := world.run(t.Context(), Query{RunKey: "k", Timeout: time.Second})
		if diff := cmp.Diff(swcode.RanNo, result.Ran); diff != "" {
			t.Error(diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(map[string]int{}, world.runs); diff != "" {
			t.Error("a batch that was never let begin has run: " + diff)
		}
	})
}

// TestNonIdempotentWorkRunsElsewhereWhenItDidNotRun checks that a refusal by the server itself allows another replica.
func TestNonIdempotentWorkRunsElsewhereWhenItDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.servers["a2"].dead = true
		result := world.run(t.Context(), Query{RunKey: "k"})
		if diff := cmp.Diff(swcode.OK, result.Code); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(map[string]int64{"n": world.total("s1")}, result.Counts); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCanaryThatCrashesReachesOneServerOnly checks that a suspect query does not reach the other shards.
func TestCanaryThatCrashesReachesOneServerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.verdict, world.mayRetry = swquarantine.Canary, false
		for _, server := range world.servers {
			server.crashes = true
		}
		result := world.run(t.Context(), Query{MinCoverage: 1})
		total := 0
		for _, runs := range world.runs {
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

// TestCanaryThatAnswersLetsTheOthersFollow checks that an innocent suspect is answered whole.
func TestCanaryThatAnswersLetsTheOthersFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.verdict = swquarantine.Canary
		result := world.run(t.Context(), Query{MinCoverage: 1})
		if diff := cmp.Diff(map[string]int64{"n": world.total("s1")}, result.Counts); diff != "" {
			t.Error(diff)
		}
	})
}

// TestCallerThatHangsUpCancelsTheWork checks that every server in flight learns of it.
func TestCallerThatHangsUpCancelsTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		for _, server := range world.servers {
			server.delay = time.Second
		}
		gone, hangUp := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, hangUp)
		result := world.run(gone, Query{MinCoverage: 1})
		synctest.Wait()
		if diff := cmp.Diff(swcode.CallerGone, result.Code); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(testShards, world.cancelled); diff != "" {
			t.Error(diff)
		}
	})
}

// TestHedgeKeepsToItsBudget runs many queries beside a straggler and counts the extra attempts.
func TestHedgeKeepsToItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		engine := world.engines["a"]
		engine.budget = NewAttemptBudget(5)
		for _, server := range world.servers {
			server.delay = 30 * time.Millisecond
		}
		const queries = 1000
		extra := 0
		for i := range queries {
			result := world.run(t.Context(), Query{MinCoverage: 1, ID: uint64(i + 1)})
			extra += result.SubRequests - testShards
		}
		if allowed := budgetReserve + queries*testShards*5/100; extra > allowed {
			t.Errorf("%d extra attempts exceed the budget of %d", extra, allowed)
		}
	})
}

// TestOwnerLeavesTheFirstPlaceWhenSuspect checks that plans turn to the substitute.
func TestOwnerLeavesTheFirstPlaceWhenSuspect(t *testing.T) {
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
