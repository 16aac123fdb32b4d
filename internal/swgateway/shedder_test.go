package swgateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// shardLoad is a shard that takes so many searches a second; a search beyond that waits and ends crowded.
type shardLoad struct {
	perSecond float64
	queued    float64
	at        time.Time
}

// take reports whether a search finds the shard's queue too long.
func (load *shardLoad) take(now time.Time) bool {
	load.queued = max(0, load.queued-load.perSecond*now.Sub(load.at).Seconds())
	load.at = now
	const room = 12
	if load.queued >= room {
		return true
	}
	load.queued++
	return load.queued > room/2
}

// TestBurstBeyondCapacityIsShedByWholeSearches replays a burst of 100 searches a second on shards that take 60, and what comes
// before and after it.
func TestBurstBeyondCapacityIsShedByWholeSearches(t *testing.T) {
	admission := newAdmission()
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	load := &shardLoad{perSecond: 60, at: now}
	type tally struct{ offered, refused, inTime int }
	offer := func(perSecond int, lasting time.Duration) tally {
		var tally tally
		step := time.Second / time.Duration(perSecond)
		for range int(lasting / step) {
			now = now.Add(step)
			tally.offered++
			if !admission.admits(random.Float64(), false) {
				tally.refused++
				continue
			}
			crowded := load.take(now)
			if !crowded {
				tally.inTime++
			}
			admission.note(now, crowded)
		}
		return tally
	}
	if calm := offer(30, 5*time.Second); calm.refused != 0 {
		t.Errorf("%d of %d refused below capacity", calm.refused, calm.offered)
	}
	burst := offer(100, 6*time.Second)
	// Unshed, the queue stays full after a tenth of a second and no search is in time.
	if burst.inTime < burst.offered/4 {
		t.Errorf("%d of %d in time, %d refused", burst.inTime, burst.offered, burst.refused)
	}
	offer(30, 5*time.Second)
	if after := offer(30, 5*time.Second); after.refused != 0 {
		t.Errorf("%d of %d refused five seconds after the burst", after.refused, after.offered)
	}
}

func TestThoseWhoComeBackGoFirst(t *testing.T) {
	admission := newAdmission()
	now := time.Now()
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		admission.note(now, true)
	}
	first, returned := 0, 0
	for i := range 100 {
		draw := float64(i) / 100
		if admission.admits(draw, false) {
			first++
		}
		if admission.admits(draw, true) {
			returned++
		}
	}
	if first >= returned || first < 40 {
		t.Errorf("%d of 100 that come first and %d that return are admitted", first, returned)
	}
}
