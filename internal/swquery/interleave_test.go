package swquery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// TestFailureInMidGatherLeavesAnswersWhole causes a failure while half of the shards have answered and the others work.
func TestFailureInMidGatherLeavesAnswersWhole(t *testing.T) {
	const midway = 20 * time.Millisecond
	cases := map[string]struct {
		cause    func(world *world)
		snapshot string
	}{
		"the owner is killed and its streams break": {func(world *world) { world.kill(vmAddress("b")) }, "s1"},
		"the streams break and the owner lives":     {func(world *world) { world.breakStreams(vmAddress("b")) }, "s1"},
		"every open stream goes silent at once":     {func(world *world) { world.silenceStreams() }, "s1"},
		"all streams break": {func(world *world) {
			world.breakStreams(vmAddress("b"))
			world.breakStreams(vmAddress("c"))
		}, "s1"},
		"a snapshot is published": {func(world *world) { world.publish("s2", testShards) }, "s1"},
		"the index is repartitioned and the old map retired": {func(world *world) {
			world.publish("s2", testShards+2)
			world.retire("s1")
		}, "s1"},
		"the snapshot is retired and dropped by those who work": {func(world *world) {
			world.publish("s2", testShards+2)
			world.retire("s1")
			for shard := range testShards {
				world.drop("s1", shard, dataCentres...)
			}
			world.breakStreams(vmAddress("b"))
			world.breakStreams(vmAddress("c"))
		}, "s2"},
	}
	for title, test := range cases {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(testShards)
				defer world.group.Stop()
				world.killLocal()
				for shard := testShards / 2; shard < testShards; shard++ {
					world.servers[name("b", shard)].delay = 2 * midway
					world.servers[name("c", shard)].delay = 2 * midway
				}
				time.AfterFunc(midway, func() { test.cause(world) })
				result := world.run(t.Context(), Query{MinCoverage: 1})
				if result.Code != swcode.OK {
					t.Fatalf("refused: %v", result.Err)
				}
				if diff := cmp.Diff(test.snapshot, result.Snapshot); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(map[string]int64{"n": world.total(result.Snapshot)}, result.Counts); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestAnswersAfterTheDeadlineReachNoOtherQuery lets a query end before its answers come over the stream that the next one
// uses.
func TestAnswersAfterTheDeadlineReachNoOtherQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(testShards)
		defer world.group.Stop()
		world.killLocal()
		for _, server := range world.servers {
			server.delay = 60 * time.Millisecond
		}
		late := world.run(t.Context(), Query{MinCoverage: 1, Timeout: 50 * time.Millisecond})
		if diff := cmp.Diff([]any{swcode.DeadlineExceeded, swcode.RanUnknown}, []any{late.Code, late.Ran}); diff != "" {
			t.Error(diff)
		}
		next := world.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		if diff := cmp.Diff(map[string]int64{"n": world.total("s1")}, next.Counts); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(int64(0), world.events["crossed_answers"]); diff != "" {
			t.Error("answers of the first query reached the second: " + diff)
		}
	})
}

// change alters the world under its lock.
func (world *world) change(alter func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	alter()
}

// failure is one failure of a storm.
type failure struct {
	at         time.Duration
	kind       int
	dataCentre string
	shard      int
}

// storm is a query with failures around it.
type storm struct {
	shards      int
	timeout     time.Duration
	oneShard    bool
	minCoverage float64
	failures    []failure
	// delays holds the service time of each server of each shard.
	delays [][]time.Duration
}

// failureKinds is the number of kinds of failures.
const failureKinds = 9

func drawMilliseconds(t *rapid.T, least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

func drawStorm(t *rapid.T) *storm {
	storm := &storm{
		shards:      rapid.IntRange(1, 4).Draw(t, "shards"),
		timeout:     drawMilliseconds(t, 5, 400, "timeout"),
		oneShard:    rapid.Bool().Draw(t, "one shard"),
		minCoverage: float64(rapid.IntRange(0, 2).Draw(t, "coverage")) / 2,
	}
	for range rapid.IntRange(0, 12).Draw(t, "failures") {
		storm.failures = append(storm.failures, failure{
			at:         drawMilliseconds(t, 0, 300, "at"),
			kind:       rapid.IntRange(0, failureKinds-1).Draw(t, "kind"),
			dataCentre: rapid.SampledFrom(dataCentres).Draw(t, "data centre"),
			shard:      rapid.IntRange(0, storm.shards-1).Draw(t, "shard"),
		})
	}
	for range storm.shards {
		var delays []time.Duration
		for range dataCentres {
			delays = append(delays, drawMilliseconds(t, 1, 150, "delay"))
		}
		storm.delays = append(storm.delays, delays)
	}
	return storm
}

// strike makes one failure happen.
func (world *world) strike(failure failure) {
	server := world.servers[name(failure.dataCentre, failure.shard)]
	vm := vmAddress(failure.dataCentre)
	switch failure.kind {
	case 0:
		world.change(func() { server.dead = true })
	case 1:
		world.change(func() { server.wrong = true })
	case 2:
		world.change(func() { server.crashes = true })
	case 3:
		world.drop("s1", failure.shard, failure.dataCentre)
	case 4:
		world.drop("s2", failure.shard, failure.dataCentre)
	case 5:
		world.change(func() { world.mute[vm] = true })
	case 6:
		world.change(func() { world.silent[vm] = true })
	case 7:
		world.kill(vm)
	case 8:
		world.breakStreams(vm)
	}
}

// play runs the query in the storm and looks at the world long after its answer. runs holds how often each shard's
// replicas ran work.
func (storm *storm) play(t *testing.T, query Query) (world *world, result Result, runs []int) {
	world = newWorld(storm.shards)
	defer world.group.Stop()
	world.publish("s2", storm.shards)
	for shard, delays := range storm.delays {
		for i, delay := range delays {
			world.servers[name(dataCentres[i], shard)].delay = delay
		}
	}
	for _, failure := range storm.failures {
		time.AfterFunc(failure.at, func() { world.strike(failure) })
	}
	query.Timeout = storm.timeout
	result = world.run(t.Context(), query)
	time.Sleep(2 * time.Second)
	world.change(func() {
		for shard := range storm.shards {
			count := 0
			for _, dataCentre := range dataCentres {
				count += world.runs[name(dataCentre, shard)]
			}
			runs = append(runs, count)
		}
	})
	return world, result, runs
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// TestRunsUnderAnyInterleavingOfFailures runs non-idempotent work on all shards and on one: no shard's work runs twice, and
// what is said to have not run did not and does not later.
func TestRunsUnderAnyInterleavingOfFailures(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		storm := drawStorm(rapidT)
		synctest.Test(t, func(t *testing.T) {
			query := Query{RunKey: "k"}
			if storm.oneShard {
				query.Route = "entry 7"
			}
			_, result, runs := storm.play(t, query)
			for shard, count := range runs {
				if count > 1 {
					rapidT.Errorf("shard %d ran %d times; %s %v", shard, count, result.Code, result.Err)
				}
			}
			if result.Ran == swcode.RanNo && sum(runs) > 0 {
				rapidT.Errorf("%s says that nothing ran, and %d shards did: %v", result.Code, sum(runs), result.Err)
			}
			if result.Code == swcode.OK && sum(runs) != result.Coverage.OfShards {
				rapidT.Errorf("%d of %d shards ran", sum(runs), result.Coverage.OfShards)
			}
		})
	})
}

// TestQueriesUnderAnyInterleavingOfFailures runs idempotent work: an answer counts each shard of one snapshot once, its
// coverage is what was counted, and what is said to have not run did not.
func TestQueriesUnderAnyInterleavingOfFailures(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		storm := drawStorm(rapidT)
		synctest.Test(t, func(t *testing.T) {
			world, result, runs := storm.play(t, Query{MinCoverage: storm.minCoverage})
			if result.Ran == swcode.RanNo && sum(runs) > 0 {
				rapidT.Errorf("%s says that nothing ran, and %d shards did: %v", result.Code, sum(runs), result.Err)
			}
			if result.Code != swcode.OK {
				return
			}
			if diff := cmp.Diff(map[string]int64{"n": result.Coverage.Documents}, result.Counts); diff != "" {
				rapidT.Error(diff)
			}
			if diff := cmp.Diff(world.total(result.Snapshot), result.Coverage.Of); diff != "" {
				rapidT.Error(diff)
			}
			if result.Coverage.Fraction() < storm.minCoverage {
				rapidT.Errorf("coverage %v is below %v", result.Coverage.Fraction(), storm.minCoverage)
			}
		})
	})
}
