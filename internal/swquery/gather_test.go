package swquery

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

type grantAll struct{}

func (grantAll) Take(int) bool { return true }

type grantNone struct{}

func (grantNone) Take(int) bool { return false }

func testPlan(shards, replicas int) []ShardPlan {
	plan := make([]ShardPlan, shards)
	for i := range plan {
		plan[i] = ShardPlan{Number: 100 + i, Documents: int64(10 + i)}
		for j := range replicas {
			plan[i].Targets = append(plan[i].Targets, Target{Server: fmt.Sprintf("s%d-%d", i, j), Owner: fmt.Sprintf("vm%d", j)})
		}
	}
	return plan
}

func answered(count int64) swbackend.Answer {
	return swbackend.Answer{Outcome: swbackend.Answered, Ran: swcode.RanYes, Counts: map[string]int64{"n": count}}
}

// TestGatherCountsEachShardOnceUnderAnyInterleaving applies answers, failures, lost owners, hedges and duplicates to a gather
// in random order and checks it against the answers that were delivered.
func TestGatherCountsEachShardOnceUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 6).Draw(t, "shards")
		replicas := rapid.IntRange(1, 4).Draw(t, "replicas")
		gather := NewGather(GatherConfig{
			Shards:     testPlan(shards, replicas),
			Epoch:      3,
			Idempotent: true,
			Budget:     grantAll{},
			HedgeDelay: func(int, Target) time.Duration { return time.Millisecond },
		})
		now := time.Unix(0, 0)
		var sent []Command
		record := func(actions Actions) { sent = append(sent, actions.Send...) }
		record(gather.Start(now, 0, shards))
		accepted := make(map[int]bool)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				command := rapid.SampledFrom(sent).Draw(t, "attempt")
				actions, _, known := gather.HandleAnswer(now, command.Attempt, command.Target.Server, answered(1))
				if known {
					accepted[command.Shard] = true
				}
				record(actions)
			case 2:
				command := rapid.SampledFrom(sent).Draw(t, "attempt")
				actions, _, _ := gather.HandleAnswer(now, command.Attempt, command.Target.Server, swbackend.Answer{Outcome: swbackend.Failed, Ran: swcode.RanUnknown})
				record(actions)
			case 3:
				owner := fmt.Sprintf("vm%d", rapid.IntRange(0, replicas-1).Draw(t, "owner"))
				record(gather.HandleLoss(now, swcode.RanUnknown, func(_ uint64, target Target) bool { return target.Owner == owner }))
			case 4:
				record(gather.Tick(now))
			case 5:
				owner := fmt.Sprintf("vm%d", rapid.IntRange(0, replicas-1).Draw(t, "silent"))
				record(gather.SendElsewhere(now, func(_ uint64, target Target) bool { return target.Owner == owner }))
			}
			checkInvariants(t, gather, shards, accepted)
		}
	})
}

func checkInvariants(t *rapid.T, gather *Gather, shards int, accepted map[int]bool) {
	var want Coverage
	want.OfShards = shards
	var counted int64
	for i := range gather.shards {
		shard := &gather.shards[i]
		want.Of += shard.plan.Documents
		if shard.state == shardAnswered {
			want.Shards++
			want.Documents += shard.plan.Documents
			counted++
			if !accepted[shard.plan.Number] {
				t.Fatalf("shard %d is counted without an answer", shard.plan.Number)
			}
		}
	}
	if diff := cmp.Diff(want, gather.Coverage()); diff != "" {
		t.Fatal(diff)
	}
	if diff := cmp.Diff(counted, mergeCounts(gather.shards)["n"]); diff != "" {
		t.Fatal(diff)
	}
	running := 0
	for i := range gather.shards {
		if gather.shards[i].state == shardRunning {
			running++
			if gather.shards[i].openAttempts == 0 {
				t.Fatalf("shard %d is pending without an open attempt", gather.shards[i].plan.Number)
			}
		}
	}
	if diff := cmp.Diff(running == 0, gather.Done()); diff != "" {
		t.Fatal(diff)
	}
}

// TestNonIdempotentShardIsRetriedOnlyIfItDidNotRun counts the retries after each kind of failure.
func TestNonIdempotentShardIsRetriedOnlyIfItDidNotRun(t *testing.T) {
	cases := map[string]struct {
		answer swbackend.Answer
		want   int
	}{
		"refused by the server":        {swbackend.Answer{Outcome: swbackend.Shed, Ran: swcode.RanNo}, 1},
		"not connected":                {swbackend.Answer{Outcome: swbackend.Unreachable, Ran: swcode.RanNo}, 1},
		"connection broken":            {swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown}, 0},
		"failed after it ran":          {swbackend.Answer{Outcome: swbackend.Failed, Ran: swcode.RanYes}, 0},
		"not answered by the deadline": {swbackend.Answer{Outcome: swbackend.Late, Ran: swcode.RanUnknown}, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			gather := NewGather(GatherConfig{Shards: testPlan(1, 3), Budget: grantAll{}})
			now := time.Unix(0, 0)
			first := gather.Start(now, 0, 1).Send[0]
			actions, _, _ := gather.HandleAnswer(now, first.Attempt, first.Target.Server, test.answer)
			if diff := cmp.Diff(test.want, len(actions.Send)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNonIdempotentShardIsNeverHedged checks that no attempt is sent because of elapsed time alone.
func TestNonIdempotentShardIsNeverHedged(t *testing.T) {
	gather := NewGather(GatherConfig{
		Shards:     testPlan(2, 3),
		Budget:     grantAll{},
		HedgeDelay: func(int, Target) time.Duration { return time.Millisecond },
	})
	now := time.Unix(0, 0)
	gather.Start(now, 0, 2)
	if diff := cmp.Diff(0, len(gather.Tick(now.Add(time.Hour)).Send)); diff != "" {
		t.Error(diff)
	}
}

// TestLateAnswerOfLostOwnerCounts checks that an answer is used although its owner was taken for lost, as after a pause of the
// owner's process.
func TestLateAnswerOfLostOwnerCounts(t *testing.T) {
	gather := NewGather(GatherConfig{Shards: testPlan(1, 2), Idempotent: true, Budget: grantAll{}})
	now := time.Unix(0, 0)
	first := gather.Start(now, 0, 1).Send[0]
	gather.HandleLoss(now, swcode.RanUnknown, func(uint64, Target) bool { return true })
	actions, _, known := gather.HandleAnswer(now, first.Attempt, first.Target.Server, answered(7))
	if !known || !gather.Done() {
		t.Fatal("the late answer was dropped")
	}
	if diff := cmp.Diff(1, len(actions.Cancel)); diff != "" {
		t.Error("the retry was not cancelled: " + diff)
	}
	if diff := cmp.Diff(map[string]int64{"n": 7}, mergeCounts(gather.shards)); diff != "" {
		t.Error(diff)
	}
}

// TestUnresponsiveOwnerIsAwaitedWithoutBudget checks that the answer of a slow owner still counts if the budget grants no further
// attempt, and that at most one more attempt is sent if it does.
func TestUnresponsiveOwnerIsAwaitedWithoutBudget(t *testing.T) {
	cases := map[string]struct {
		budget Budget
		want   int
	}{"no budget": {grantNone{}, 0}, "budget": {grantAll{}, 1}}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			gather := NewGather(GatherConfig{Shards: testPlan(1, 3), Idempotent: true, Budget: test.budget})
			now := time.Unix(0, 0)
			first := gather.Start(now, 0, 1).Send[0]
			ofFirstOwner := func(_ uint64, target Target) bool { return target.Owner == first.Target.Owner }
			if diff := cmp.Diff(test.want, len(gather.SendElsewhere(now, ofFirstOwner).Send)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(0, len(gather.SendElsewhere(now, ofFirstOwner).Send)); diff != "" {
				t.Error("a second attempt was sent: " + diff)
			}
			if gather.Done() {
				t.Fatal("the shard failed")
			}
			gather.HandleAnswer(now, first.Attempt, first.Target.Server, answered(7))
			if diff := cmp.Diff(map[string]int64{"n": 7}, mergeCounts(gather.shards)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestRetryNeedsBudgetUnlessNoCapacityWasUsed checks which failures are retried although the budget is empty.
func TestRetryNeedsBudgetUnlessNoCapacityWasUsed(t *testing.T) {
	cases := map[string]struct {
		outcome swbackend.Outcome
		want    int
	}{
		"broken":            {swbackend.Broken, 0},
		"shed":              {swbackend.Shed, 0},
		"snapshot not held": {swbackend.SnapshotNotHeld, 1},
		"leaving":           {swbackend.ServerLeaving, 1},
		"unreachable":       {swbackend.Unreachable, 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			gather := NewGather(GatherConfig{Shards: testPlan(1, 2), Idempotent: true, Budget: grantNone{}})
			now := time.Unix(0, 0)
			first := gather.Start(now, 0, 1).Send[0]
			actions, _, _ := gather.HandleAnswer(now, first.Attempt, first.Target.Server, swbackend.Answer{Outcome: test.outcome})
			if diff := cmp.Diff(test.want, len(actions.Send)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHedgeThatReachedNoServerIsReplaced reproduces a shard whose first replica stalls while the second accepts no more
// connections. Without a replacement, the shard waits until another hedge is due.
func TestHedgeThatReachedNoServerIsReplaced(t *testing.T) {
	for name, test := range map[string]struct {
		outcome swbackend.Outcome
		want    []string
	}{
		"it reached no server":                     {swbackend.Unreachable, []string{"s0-2"}},
		"its server shed it":                       {swbackend.Shed, nil},
		"its server failed it and may have run it": {swbackend.Failed, nil},
	} {
		t.Run(name, func(t *testing.T) {
			gather := NewGather(GatherConfig{
				Shards: testPlan(1, 3), Idempotent: true, Budget: grantAll{},
				HedgeDelay: func(int, Target) time.Duration { return 10 * time.Millisecond },
			})
			now := time.Unix(0, 0)
			gather.Start(now, 0, 1)
			now = now.Add(10 * time.Millisecond)
			hedge := gather.Tick(now).Send[0]
			actions, _, _ := gather.HandleAnswer(now, hedge.Attempt, hedge.Target.Server, swbackend.Answer{Outcome: test.outcome, Ran: swcode.RanNo})
			var got []string
			for _, command := range actions.Send {
				got = append(got, command.Target.Server)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("sent in place of the hedge (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnswerOfAnotherEpochServerOrShardIsDropped checks that answers that do not match an attempt of this gather are ignored.
func TestAnswerOfAnotherEpochServerOrShardIsDropped(t *testing.T) {
	gather := NewGather(GatherConfig{Shards: testPlan(1, 2), Epoch: 2, Idempotent: true, Budget: grantAll{}})
	now := time.Unix(0, 0)
	first := gather.Start(now, 0, 1).Send[0]
	earlier := NewGather(GatherConfig{Shards: testPlan(1, 2), Epoch: 1, Idempotent: true, Budget: grantAll{}}).Start(now, 0, 1).Send[0]
	for name, mismatched := range map[string]Command{
		"earlier epoch": earlier,
		"other server":  {Attempt: first.Attempt, Target: Target{Server: "s0-1"}},
		"other shard":   {Attempt: first.Attempt + 1<<attemptBits, Target: first.Target},
	} {
		if _, _, known := gather.HandleAnswer(now, mismatched.Attempt, mismatched.Target.Server, answered(1)); known {
			t.Errorf("%s: the answer was accepted", name)
		}
	}
	if diff := cmp.Diff(Coverage{Of: 10, OfShards: 1}, gather.Coverage()); diff != "" {
		t.Error(diff)
	}
}

// TestGatherReportsSnapshotHeldByNoReplica checks that NotHeld is set only once every replica has reported that it does not
// hold the snapshot.
func TestGatherReportsSnapshotHeldByNoReplica(t *testing.T) {
	gather := NewGather(GatherConfig{Shards: testPlan(1, 2), Idempotent: true, Budget: grantNone{}})
	now := time.Unix(0, 0)
	notHeld := swbackend.Answer{Outcome: swbackend.SnapshotNotHeld, Ran: swcode.RanNo}
	first := gather.Start(now, 0, 1).Send[0]
	actions, _, _ := gather.HandleAnswer(now, first.Attempt, first.Target.Server, notHeld)
	if gather.NotHeld {
		t.Error("one replica of two does not hold the snapshot")
	}
	second := actions.Send[0]
	gather.HandleAnswer(now, second.Attempt, second.Target.Server, notHeld)
	if !gather.NotHeld {
		t.Error("no replica holds the snapshot")
	}
}

// BenchmarkGather450Shards measures the gather for one query over 450 shards.
func BenchmarkGather450Shards(b *testing.B) {
	plan := testPlan(450, 3)
	b.ReportAllocs()
	for b.Loop() {
		gather := NewGather(GatherConfig{Shards: plan, Idempotent: true, Budget: grantAll{}})
		now := time.Unix(0, 0)
		sent := append([]Command(nil), gather.Start(now, 0, 450).Send...)
		for _, command := range sent {
			gather.HandleAnswer(now, command.Attempt, command.Target.Server, swbackend.Answer{Outcome: swbackend.Answered})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/450, "ns/sub-request")
}
