package swquery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// TestFaultDuringGatherLeavesAnswerComplete causes a fault while half of the shards have answered and the others are still
// running.
func TestFaultDuringGatherLeavesAnswerComplete(t *testing.T) {
	const midway = 20 * time.Millisecond
	cases := map[string]struct {
		cause    func(cluster *cluster)
		snapshot string
	}{
		"the owner's process ends and its streams break": {func(cluster *cluster) { cluster.kill(vmAddress("b")) }, "s1"},
		"the streams break and the owner keeps running":  {func(cluster *cluster) { cluster.breakStreams(vmAddress("b")) }, "s1"},
		"every open stream stalls at once":               {func(cluster *cluster) { cluster.stallStreams() }, "s1"},
		"all streams break": {func(cluster *cluster) {
			cluster.breakStreams(vmAddress("b"))
			cluster.breakStreams(vmAddress("c"))
		}, "s1"},
		"a snapshot is published": {func(cluster *cluster) { cluster.publish("s2", testShards) }, "s1"},
		"the index is repartitioned and the old snapshot retired": {func(cluster *cluster) {
			cluster.publish("s2", testShards+2)
			cluster.retire("s1")
		}, "s1"},
		"the snapshot is retired and removed while servers run the query": {func(cluster *cluster) {
			cluster.publish("s2", testShards+2)
			cluster.retire("s1")
			for shard := range testShards {
				cluster.drop("s1", shard, dataCentres...)
			}
			cluster.breakStreams(vmAddress("b"))
			cluster.breakStreams(vmAddress("c"))
		}, "s2"},
	}
	for title, test := range cases {
		t.Run(title, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(testShards)
				defer cluster.group.Stop()
				cluster.stopLocalServers()
				for shard := testShards / 2; shard < testShards; shard++ {
					cluster.servers[name("b", shard)].delay = 2 * midway
					cluster.servers[name("c", shard)].delay = 2 * midway
				}
				time.AfterFunc(midway, func() { test.cause(cluster) })
				result := cluster.run(t.Context(), Query{MinCoverage: 1})
				if result.Code != swcode.OK {
					t.Fatalf("refused: %v", result.Err)
				}
				if diff := cmp.Diff(test.snapshot, result.Snapshot); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(map[string]int64{"n": cluster.total(result.Snapshot)}, result.Counts); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestAnswersAfterDeadlineReachNoOtherQuery ends a query before its answers arrive over the stream that the next query uses.
func TestAnswersAfterDeadlineReachNoOtherQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.stopLocalServers()
		for _, server := range cluster.servers {
			server.delay = 60 * time.Millisecond
		}
		late := cluster.run(t.Context(), Query{MinCoverage: 1, Timeout: 50 * time.Millisecond})
		if diff := cmp.Diff([]any{swcode.DeadlineExceeded, swcode.RanUnknown}, []any{late.Code, late.Ran}); diff != "" {
			t.Error(diff)
		}
		next := cluster.run(t.Context(), Query{MinCoverage: 1, ID: 78})
		if diff := cmp.Diff(map[string]int64{"n": cluster.total("s1")}, next.Counts); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(int64(0), cluster.events["crossed_answers"]); diff != "" {
			t.Error("answers of the first query reached the second: " + diff)
		}
	})
}

// withLock calls alter while holding the cluster's mutex.
func (cluster *cluster) withLock(alter func()) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	alter()
}

// fault is one fault of a plan.
type fault struct {
	at         time.Duration
	kind       int
	dataCentre string
	shard      int
}

// faultPlan describes a query and the faults that occur while it runs.
type faultPlan struct {
	shards      int
	timeout     time.Duration
	oneShard    bool
	minCoverage float64
	faults      []fault
	// delays holds the service time of each server, by shard and data centre.
	delays [][]time.Duration
}

// faultKinds is the number of kinds of faults.
const faultKinds = 9

func drawMilliseconds(t *rapid.T, least, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
}

func drawFaultPlan(t *rapid.T) *faultPlan {
	faultPlan := &faultPlan{
		shards:      rapid.IntRange(1, 4).Draw(t, "shards"),
		timeout:     drawMilliseconds(t, 5, 400, "timeout"),
		oneShard:    rapid.Bool().Draw(t, "one shard"),
		minCoverage: float64(rapid.IntRange(0, 2).Draw(t, "coverage")) / 2,
	}
	for range rapid.IntRange(0, 12).Draw(t, "failures") {
		faultPlan.faults = append(faultPlan.faults, fault{
			at:         drawMilliseconds(t, 0, 300, "at"),
			kind:       rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			dataCentre: rapid.SampledFrom(dataCentres).Draw(t, "data centre"),
			shard:      rapid.IntRange(0, faultPlan.shards-1).Draw(t, "shard"),
		})
	}
	for range faultPlan.shards {
		var delays []time.Duration
		for range dataCentres {
			delays = append(delays, drawMilliseconds(t, 1, 150, "delay"))
		}
		faultPlan.delays = append(faultPlan.delays, delays)
	}
	return faultPlan
}

// inject causes one fault.
func (cluster *cluster) inject(fault fault) {
	server := cluster.servers[name(fault.dataCentre, fault.shard)]
	vm := vmAddress(fault.dataCentre)
	switch fault.kind {
	case 0:
		cluster.withLock(func() { server.down = true })
	case 1:
		cluster.withLock(func() { server.wrongSnapshot = true })
	case 2:
		cluster.withLock(func() { server.crashes = true })
	case 3:
		cluster.drop("s1", fault.shard, fault.dataCentre)
	case 4:
		cluster.drop("s2", fault.shard, fault.dataCentre)
	case 5:
		cluster.withLock(func() { cluster.losesReplies[vm] = true })
	case 6:
		cluster.withLock(func() { cluster.unresponsive[vm] = true })
	case 7:
		cluster.kill(vm)
	case 8:
		cluster.breakStreams(vm)
	}
}

// run runs the query under the planned faults and waits for late effects after its result. runs counts for each shard how
// often its replicas ran work.
func (faultPlan *faultPlan) run(t *testing.T, query Query) (cluster *cluster, result Result, runs []int) {
	cluster = newCluster(faultPlan.shards)
	defer cluster.group.Stop()
	cluster.publish("s2", faultPlan.shards)
	for shard, delays := range faultPlan.delays {
		for i, delay := range delays {
			cluster.servers[name(dataCentres[i], shard)].delay = delay
		}
	}
	for _, fault := range faultPlan.faults {
		time.AfterFunc(fault.at, func() { cluster.inject(fault) })
	}
	query.Timeout = faultPlan.timeout
	result = cluster.run(t.Context(), query)
	time.Sleep(2 * time.Second)
	cluster.withLock(func() {
		for shard := range faultPlan.shards {
			count := 0
			for _, dataCentre := range dataCentres {
				count += cluster.runs[name(dataCentre, shard)]
			}
			runs = append(runs, count)
		}
	})
	return cluster, result, runs
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// TestNonIdempotentWorkRunsAtMostOnceUnderRandomFaults runs non-idempotent work on all shards and on one. No shard's work may
// run twice, and work that is reported as not run must not run, then or later.
func TestNonIdempotentWorkRunsAtMostOnceUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		faultPlan := drawFaultPlan(rapidT)
		synctest.Test(t, func(t *testing.T) {
			query := Query{RunKey: "k"}
			if faultPlan.oneShard {
				query.Route = "entry 7"
			}
			_, result, runs := faultPlan.run(t, query)
			for shard, count := range runs {
				if count > 1 {
					rapidT.Errorf("shard %d ran %d times; %s %v", shard, count, result.Code, result.Err)
				}
			}
			if result.Ran == swcode.RanNo && sum(runs) > 0 {
				rapidT.Errorf("%s reports that nothing ran, but %d shards did: %v", result.Code, sum(runs), result.Err)
			}
			if result.Code == swcode.OK && sum(runs) != result.Coverage.OfShards {
				rapidT.Errorf("%d of %d shards ran", sum(runs), result.Coverage.OfShards)
			}
		})
	})
}

// TestAnswersAreConsistentUnderRandomFaults runs idempotent work. An answer must count each shard of one snapshot once, its
// coverage must match what was counted, and work that is reported as not run must not have run.
func TestAnswersAreConsistentUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		faultPlan := drawFaultPlan(rapidT)
		synctest.Test(t, func(t *testing.T) {
			cluster, result, runs := faultPlan.run(t, Query{MinCoverage: faultPlan.minCoverage})
			if result.Ran == swcode.RanNo && sum(runs) > 0 {
				rapidT.Errorf("%s reports that nothing ran, but %d shards did: %v", result.Code, sum(runs), result.Err)
			}
			if result.Code != swcode.OK {
				return
			}
			if diff := cmp.Diff(map[string]int64{"n": result.Coverage.Documents}, result.Counts); diff != "" {
				rapidT.Error(diff)
			}
			if diff := cmp.Diff(cluster.total(result.Snapshot), result.Coverage.Of); diff != "" {
				rapidT.Error(diff)
			}
			if result.Coverage.Fraction() < faultPlan.minCoverage {
				rapidT.Errorf("coverage %v is below %v", result.Coverage.Fraction(), faultPlan.minCoverage)
			}
		})
	})
}
