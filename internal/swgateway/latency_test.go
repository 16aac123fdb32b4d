package swgateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// TestHedgesComeSoonOnAVMOfMany replays what one small VM of seventy sees of a search over 36 shards: one request of each shard
// a second, five in a hundred at a replica that stands still. A search in ten seconds must be enough to tell what is late.
func TestHedgesComeSoonOnAVMOfMany(t *testing.T) {
	const shards, work, standsStill = 36, 4 * time.Millisecond, 120 * time.Millisecond
	draw := rand.New(rand.NewPCG(1, 2))
	pace := newPace()
	route := gathered(shards, 0.85)
	route.TargetLatency = 100 * time.Millisecond
	for range 10 {
		for i := range shards {
			latency := work + time.Duration(draw.Float64()*float64(work))
			if draw.Float64() < 0.05 {
				latency = standsStill
			}
			pace.observe(route.Name, route.Shards[i], latency)
		}
	}
	const farAnswer = 40 * time.Millisecond
	if got := pace.hedgeAfter(route, work); got < 2*work || got+farAnswer > route.TargetLatency-clientMargin {
		t.Errorf("hedged after %s, want later than an ordinary answer and early enough for one from another region", got)
	}
}

func TestHedgeWaits(t *testing.T) {
	const usual = 10 * time.Millisecond
	pace := newPace()
	for range 1000 {
		pace.observe("gathered", "s0", usual)
		pace.observe("repeatable", "s", usual)
	}
	for name, test := range map[string]struct {
		route    *swroute.Route
		expected time.Duration
		least    time.Duration
		most     time.Duration
	}{
		"usual replica":                   {gathered(1, 1), usual, 18 * time.Millisecond, 22 * time.Millisecond},
		"slow replica":                    {gathered(1, 1), 30 * time.Millisecond, 35 * time.Millisecond, 45 * time.Millisecond},
		"very slow replica":               {gathered(1, 1), time.Second, 59 * time.Millisecond, 59 * time.Millisecond},
		"request for one replica, no aim": {repeatable(), usual, 27 * time.Millisecond, 33 * time.Millisecond},
		"route that has answered nothing": {&swroute.Route{Name: "new", Shards: []string{"s"}}, 0, 24 * time.Millisecond, 24 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			if got := pace.hedgeAfter(test.route, test.expected); got < test.least || got > test.most {
				t.Errorf("hedged after %s, want %s to %s", got, test.least, test.most)
			}
		})
	}
}
