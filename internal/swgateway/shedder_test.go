package swgateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fakeShard processes a fixed number of searches per second. A search beyond that is queued and ends overloaded.
type fakeShard struct {
	perSecond float64
	queued    float64
	at        time.Time
}

// isOverloaded adds a search to the queue and reports whether the queue is too long.
func (fakeShard *fakeShard) isOverloaded(now time.Time) bool {
	fakeShard.queued = max(0, fakeShard.queued-fakeShard.perSecond*now.Sub(fakeShard.at).Seconds())
	fakeShard.at = now
	const maxQueue = 12
	if fakeShard.queued >= maxQueue {
		return true
	}
	fakeShard.queued++
	return fakeShard.queued > maxQueue/2
}

// TestLoadShedderRefusesWholeSearchesInOverload offers 100 searches per second to shards that process 60, with normal load before
// and after.
func TestLoadShedderRefusesWholeSearchesInOverload(t *testing.T) {
	loadShedder := newLoadShedder()
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	fakeShard := &fakeShard{perSecond: 60, at: now}
	type tally struct{ offered, refused, inTime int }
	offer := func(perSecond int, lasting time.Duration) tally {
		var tally tally
		step := time.Second / time.Duration(perSecond)
		for range int(lasting / step) {
			now = now.Add(step)
			tally.offered++
			if !loadShedder.admits(random.Float64(), false) {
				tally.refused++
				continue
			}
			overloaded := fakeShard.isOverloaded(now)
			if !overloaded {
				tally.inTime++
			}
			loadShedder.record(now, overloaded)
		}
		return tally
	}
	if calm := offer(30, 5*time.Second); calm.refused != 0 {
		t.Errorf("%d of %d refused below capacity", calm.refused, calm.offered)
	}
	burst := offer(100, 6*time.Second)
	// Without shedding, the queue is full after a tenth of a second and no further search is in time.
	if burst.inTime < burst.offered/4 {
		t.Errorf("%d of %d in time, %d refused", burst.inTime, burst.offered, burst.refused)
	}
	offer(30, 5*time.Second)
	if after := offer(30, 5*time.Second); after.refused != 0 {
		t.Errorf("%d of %d refused five seconds after the burst", after.refused, after.offered)
	}
}

func TestLoadShedderPrefersRetries(t *testing.T) {
	loadShedder := newLoadShedder()
	now := time.Now()
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		loadShedder.record(now, true)
	}
	first, retries := 0, 0
	for i := range 100 {
		draw := float64(i) / 100
		if loadShedder.admits(draw, false) {
			first++
		}
		if loadShedder.admits(draw, true) {
			retries++
		}
	}
	if first >= retries || first < 40 {
		t.Errorf("%d of 100 first requests and %d retries are admitted", first, retries)
	}
}
