package swgateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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
			if !loadShedder.admits(now, random.Float64(), false) {
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
		if loadShedder.admits(now, draw, false) {
			first++
		}
		if loadShedder.admits(now, draw, true) {
			retries++
		}
	}
	if first >= retries || first < 40 {
		t.Errorf("%d of 100 first requests and %d retries are admitted", first, retries)
	}
}

// TestSearchesAreAdmittedAfterOverloadOnQuietRoute guards against refusing searches long after an overload has ended, on a route of
// which this VM gets a few searches a second.
func TestSearchesAreAdmittedAfterOverloadOnQuietRoute(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 0.2)
		defer testHandler.close()
		testHandler.maxConnections = 100
		route := gatheredRoute(2, 1)
		route.Priority = 1
		testHandler.setRoute(route)
		// The only replica of s0 takes 50 requests a second.
		testHandler.addReplica("s0", "a", limitedCapacity(1, 12, 20*time.Millisecond))
		testHandler.addReplica("s1", "b", respondSigned(work, "x", "done"))
		send := func(perSecond int, lasting time.Duration) map[int]int {
			var counts statusCounts
			var clients sync.WaitGroup
			for range perSecond * int(lasting/time.Second) {
				clients.Go(func() { counts.add(testHandler.send(t.Context(), http.MethodGet, "/search", "").Code) })
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			clients.Wait()
			return counts.statuses
		}
		send(200, 3*time.Second)
		time.Sleep(time.Minute)
		if diff := cmp.Diff(map[int]int{http.StatusOK: 300}, send(5, time.Minute)); diff != "" {
			t.Error("statuses a minute after the overload (-want +got):\n" + diff)
		}
	})
}
