package swreplica

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// TestRandomRejectionLeavesNoMarkForLoad guards against requests that wait for, or avoid, a replica that has free slots and rejects some
// requests at random, and against a full replica that is taken for such a one.
func TestRandomRejectionLeavesNoMarkForLoad(t *testing.T) {
	const latency = 20 * time.Millisecond
	for _, test := range []struct {
		name string
		tell bool
		// last is the latency of the last five answers, rejections is how many follow, after a pause.
		last       time.Duration
		pause      time.Duration
		rejections int
		inFlight   time.Duration
		wantMark   bool
	}{
		{"at random", true, latency, 0, 1, 0, false},
		{"not told apart", false, latency, 0, 1, 0, true},
		{"queue", true, 3 * latency, 0, 1, 0, true},
		{"two in a row", true, latency, 0, 2, 0, true},
		{"answer of long ago", true, latency, 5 * time.Second, 1, 0, true},
		{"a request waits", true, latency, 0, 1, 4 * latency, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			group := swgroup.New(context.Background())
			defer group.Stop()
			pool := NewPool(PoolConfig{Group: group, TellsRandomRejections: test.tell, Log: zerolog.Nop()})
			now := time.Now()
			replica := pool.newReplica(Entry{ID: "a", Service: "s", Slots: 2}, newPlace(NewRegistry(RegistryConfig{Pool: pool}), "dc"), SameDataCentre, now)
			for range 20 {
				replica.ObserveLatency(now, latency)
			}
			for range 5 {
				replica.ObserveLatency(now, test.last)
			}
			now = now.Add(test.pause)
			if test.inFlight > 0 {
				replica.BeginPlain()
				replica.addInFlight(now.Add(-test.inFlight))
			}
			for range test.rejections {
				replica.ObserveRejection(now)
			}
			candidate := replica.Candidate(now, latency)
			if diff := cmp.Diff(test.wantMark, candidate.InFlightLimit > 0 && candidate.RejectsFor > 0); diff != "" {
				t.Errorf("marked for load (-want +got):\n%s", diff)
			}
		})
	}
}
