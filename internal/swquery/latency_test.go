package swquery

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestServerBecomesStragglerAfterConsecutiveLateAttempts checks how late attempts and answers change the expected latency.
func TestServerBecomesStragglerAfterConsecutiveLateAttempts(t *testing.T) {
	const normal, late = 20 * time.Millisecond, 100 * time.Millisecond
	cases := map[string]struct {
		observe   func(latencies *Latencies, now time.Time)
		straggler bool
	}{
		"one late": {func(latencies *Latencies, now time.Time) {
			latencies.ObserveLate(now, "s", late)
		}, false},
		"late in a row": {func(latencies *Latencies, now time.Time) {
			for range stragglerThreshold {
				latencies.ObserveLate(now, "s", late)
			}
		}, true},
		"late with answers between": {func(latencies *Latencies, now time.Time) {
			for range stragglerThreshold {
				latencies.ObserveLate(now, "s", late)
				latencies.Observe(now, "books", 0, "s", normal)
			}
		}, false},
		"late in a row, then a late answer": {func(latencies *Latencies, now time.Time) {
			for range stragglerThreshold {
				latencies.ObserveLate(now, "s", late)
			}
			latencies.Observe(now, "books", 0, "s", 20*normal)
			latencies.ObserveLate(now, "s", late)
		}, true},
		"late in a row, then an answer in time": {func(latencies *Latencies, now time.Time) {
			for range stragglerThreshold {
				latencies.ObserveLate(now, "s", late)
			}
			latencies.Observe(now, "books", 0, "s", normal)
		}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			latencies := NewLatencies(98)
			now := time.Unix(0, 0)
			for range 200 {
				latencies.Observe(now, "books", 0, "s", normal)
			}
			test.observe(latencies, now)
			expected := latencies.Estimate(now, "s", normal)
			if diff := cmp.Diff(test.straggler, expected > 5*normal); diff != "" {
				t.Errorf("expected %s: %s", expected, diff)
			}
		})
	}
}

// TestDeniedHedgeIsRequestedAgain denies the first hedge because the budget is empty, and grants the second.
func TestDeniedHedgeIsRequestedAgain(t *testing.T) {
	budget := &AttemptBudget{earnRate: 1}
	gather := NewGather(GatherConfig{
		Shards: testPlan(1, 2), Idempotent: true, Budget: budget,
		HedgeDelay: func(int, Target) time.Duration { return time.Millisecond },
	})
	now := time.Unix(0, 0)
	gather.Start(now, 0, 1)
	denied := len(gather.Tick(now.Add(time.Millisecond)).Send)
	budget.Earn(1)
	granted := len(gather.Tick(now.Add(2 * time.Millisecond)).Send)
	if diff := cmp.Diff([]int{0, 1}, []int{denied, granted}); diff != "" {
		t.Error(diff)
	}
}

// TestStragglerIsProbedOncePerInterval requests the estimate of a straggler ten times per probe interval and counts the
// probes.
func TestStragglerIsProbedOncePerInterval(t *testing.T) {
	const prior, late = 20 * time.Millisecond, 100 * time.Millisecond
	latencies := NewLatencies(98)
	now := time.Unix(0, 0)
	for range stragglerThreshold {
		latencies.ObserveLate(now, "s", late)
	}
	tried := 0
	for range 50 {
		now = now.Add(stragglerProbeInterval / 10)
		if latencies.Estimate(now, "s", prior) == prior {
			tried++
		}
	}
	if diff := cmp.Diff(5, tried); diff != "" {
		t.Errorf("probes in five intervals: %s", diff)
	}
	latencies.Observe(now, "books", 0, "s", prior)
	if diff := cmp.Diff(prior, latencies.Estimate(now, "s", prior)); diff != "" {
		t.Error("after an answer in time: " + diff)
	}
}
