package swgateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// TestHedgeDelayAdaptsToFewObservationsPerShard observes what one small VM of seventy sees of a search over 36 shards: one search
// per second, of which five percent of the parts meet a stalled replica. Ten searches must suffice for a useful hedge delay.
func TestHedgeDelayAdaptsToFewObservationsPerShard(t *testing.T) {
	const shards, work, stall = 36, 4 * time.Millisecond, 120 * time.Millisecond
	draw := rand.New(rand.NewPCG(1, 2))
	latencyTracker := newLatencyTracker()
	route := gatheredRoute(shards, 0.85)
	route.TargetLatency = 100 * time.Millisecond
	for range 10 {
		for i := range shards {
			latency := work + time.Duration(draw.Float64()*float64(work))
			if draw.Float64() < 0.05 {
				latency = stall
			}
			latencyTracker.observe(route.Name, route.Shards[i], latency)
		}
	}
	const farAnswer = 40 * time.Millisecond
	if got := latencyTracker.hedgeDelay(route, work); got < 2*work || got+farAnswer > route.TargetLatency-targetMargin {
		t.Errorf("hedged after %s, want later than an ordinary answer and early enough for an answer from another region", got)
	}
}

func TestHedgeDelay(t *testing.T) {
	const usual = 10 * time.Millisecond
	latencyTracker := newLatencyTracker()
	for range 1000 {
		latencyTracker.observe("gathered", "s0", usual)
		latencyTracker.observe("repeatable", "s", usual)
	}
	for name, test := range map[string]struct {
		route    *swroute.Route
		expected time.Duration
		minimum  time.Duration
		maximum  time.Duration
	}{
		"usual replica":                 {gatheredRoute(1, 1), usual, 18 * time.Millisecond, 22 * time.Millisecond},
		"slow replica":                  {gatheredRoute(1, 1), 30 * time.Millisecond, 35 * time.Millisecond, 45 * time.Millisecond},
		"very slow replica":             {gatheredRoute(1, 1), time.Second, 59 * time.Millisecond, 59 * time.Millisecond},
		"single service without target": {idempotentRoute(), usual, 27 * time.Millisecond, 33 * time.Millisecond},
		"route without observations":    {&swroute.Route{Name: "new", Shards: []string{"s"}}, 0, 24 * time.Millisecond, 24 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := latencyTracker.hedgeDelay(test.route, test.expected); got < test.minimum || got > test.maximum {
				t.Errorf("hedged after %s, want %s to %s", got, test.minimum, test.maximum)
			}
		})
	}
}
