package swquery

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

func TestGatherRetriesAfterCrashOnlyWhenAllowed(t *testing.T) {
	tests := []struct {
		name    string
		crash   bool
		allowed bool
		retries int
	}{
		{"a crash of a request that was never answered", true, false, 0},
		{"a crash of a request that was answered elsewhere", true, true, 1},
		{"a broken connection to a server that did not crash", false, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gather := NewGather(GatherConfig{
				Shards:             testPlan(1, 2),
				Idempotent:         true,
				MayRetryAfterCrash: func() bool { return test.allowed },
				Budget:             grantAll{},
			})
			now := time.Unix(0, 0)
			sent := append([]Command(nil), gather.Start(now, 0, 1).Send...)
			answer := swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Crash: test.crash}
			gather.HandleAnswer(now, sent[0].Attempt, sent[0].Target.Server, answer)
			if diff := cmp.Diff(test.retries, gather.Retries); diff != "" {
				t.Errorf("retries (-want +got):\n%s", diff)
			}
		})
	}
}

func TestGatherDefersRetryAfterCrashUntilAnotherShardAnswers(t *testing.T) {
	crash := swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Crash: true}
	tests := []struct {
		name    string
		answers []swbackend.Answer
		retries int
		failed  int
		done    bool
	}{
		{"the other shards have no answer yet", []swbackend.Answer{crash}, 0, 0, false},
		{"another shard answers later", []swbackend.Answer{crash, answered(1)}, 1, 0, false},
		{"another shard answered before", []swbackend.Answer{answered(1), crash}, 1, 0, false},
		{"two retries are deferred until the third shard answers", []swbackend.Answer{crash, crash, answered(1)}, 2, 0, false},
		{"every server crashes", []swbackend.Answer{crash, crash, crash}, 0, 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gather := NewGather(GatherConfig{
				Shards:             testPlan(3, 2),
				Idempotent:         true,
				MayRetryAfterCrash: func() bool { return false },
				Budget:             grantAll{},
			})
			now := time.Unix(0, 0)
			sent := append([]Command(nil), gather.Start(now, 0, 3).Send...)
			for i, answer := range test.answers {
				gather.HandleAnswer(now, sent[i].Attempt, sent[i].Target.Server, answer)
			}
			got := []any{gather.Retries, gather.failedShards, gather.Done()}
			if diff := cmp.Diff([]any{test.retries, test.failed, test.done}, got); diff != "" {
				t.Errorf("retries, failed shards, done (-want +got):\n%s", diff)
			}
		})
	}
}

func TestGatherDoesNotDeferCanaryRetry(t *testing.T) {
	gather := NewGather(GatherConfig{
		Shards:             testPlan(3, 2),
		Idempotent:         true,
		MayRetryAfterCrash: func() bool { return false },
		Budget:             grantAll{},
	})
	now := time.Unix(0, 0)
	sent := append([]Command(nil), gather.Start(now, 0, 1).Send...)
	gather.HandleAnswer(now, sent[0].Attempt, sent[0].Target.Server, swbackend.Answer{Outcome: swbackend.Broken, Crash: true})
	if diff := cmp.Diff(shardFailed, gather.shards[0].state); diff != "" {
		t.Errorf("state of the canary's shard (-want +got):\n%s", diff)
	}
}

func TestGatherSendsNoHedgeBeforeCanaryAnswers(t *testing.T) {
	for _, canary := range []bool{false, true} {
		gather := NewGather(GatherConfig{
			Shards:     testPlan(2, 2),
			Idempotent: true,
			Canary:     canary,
			Budget:     grantAll{},
			HedgeDelay: func(int, Target) time.Duration { return time.Millisecond },
		})
		now := time.Unix(0, 0)
		sent := append([]Command(nil), gather.Start(now, 0, 1).Send...)
		gather.Tick(now.Add(time.Second))
		before := gather.Hedges
		gather.HandleAnswer(now, sent[0].Attempt, sent[0].Target.Server, answered(1))
		gather.Start(now, 1, 2)
		gather.Tick(now.Add(time.Second))
		want := []int{1, 2}
		if canary {
			want = []int{0, 1}
		}
		if diff := cmp.Diff(want, []int{before, gather.Hedges}); diff != "" {
			t.Errorf("canary %t: hedges before and after the first answer (-want +got):\n%s", canary, diff)
		}
	}
}

// TestGatherFinishesDespiteCrashes gives random outcomes, crashes included, to all attempts in random order. The gather must
// be done once no attempt is open.
func TestGatherFinishesDespiteCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 5).Draw(t, "shards")
		gather := NewGather(GatherConfig{
			Shards:             testPlan(shards, rapid.IntRange(1, 3).Draw(t, "replicas")),
			Idempotent:         true,
			MayRetryAfterCrash: func() bool { return false },
			Budget:             grantAll{},
		})
		now := time.Unix(0, 0)
		open := append([]Command(nil), gather.Start(now, 0, shards).Send...)
		outcomes := []swbackend.Answer{
			answered(1),
			{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Crash: true},
			{Outcome: swbackend.Failed, Ran: swcode.RanUnknown},
			{Outcome: swbackend.Unreachable},
		}
		for len(open) > 0 {
			next := rapid.IntRange(0, len(open)-1).Draw(t, "attempt")
			command := open[next]
			open = append(open[:next], open[next+1:]...)
			actions, _, _ := gather.HandleAnswer(now, command.Attempt, command.Target.Server, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
			open = append(open, actions.Send...)
		}
		if !gather.Done() {
			t.Fatalf("no attempt is open but %d shards are pending, %d of them with a deferred retry", gather.pendingShards, gather.deferredShards)
		}
	})
}
