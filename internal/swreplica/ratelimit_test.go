package swreplica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The users' bound on a replica's rate limit: in any limitWindow, it gets at most limitFactor times what the limit allows, and
// limitExtra requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitersOfVMs returns the limiters of a number of VMs in a replica's data centre and in others, which have just heard of its limit.
func limitersOfVMs(now time.Time, limit float64, vms VMCounts, near, far int) []rateLimiter {
	limiters := make([]rateLimiter, near+far)
	for i := range limiters {
		distance := SameDataCentre
		if i >= near {
			distance = OtherRegion
		}
		limiters[i].set(now, limit, rateShare(limit, distance, vms))
	}
	return limiters
}

// TestAllVMsTogetherKeepARateLimit guards against a replica that gets far more requests than the limit that it named. It replays a
// replica that names a limit far below what the VMs want to send it, at fleets of several sizes. In the largest ones, a VM's share is
// less than one request per second.
func TestAllVMsTogetherKeepARateLimit(t *testing.T) {
	for name, test := range map[string]struct {
		limit float64
		vms   VMCounts
		// senders is the number of VMs in the replica's data centre and of others that send to it directly.
		near, far int
		// demand is the number of requests per second that all senders want to send.
		demand float64
	}{
		"nine VMs":                       {36, VMCounts{3, 9}, 3, 0, 80},
		"nine VMs, all send directly":    {36, VMCounts{3, 9}, 3, 6, 80},
		"nine VMs, one of them idle":     {36, VMCounts{3, 9}, 2, 0, 400},
		"seventy-one VMs":                {18, VMCounts{12, 71}, 12, 0, 37},
		"295 VMs":                        {16, VMCounts{50, 295}, 50, 0, 32},
		"295 VMs, all send directly":     {4, VMCounts{50, 295}, 50, 245, 8},
		"295 VMs, a limit below one":     {0.5, VMCounts{50, 295}, 50, 245, 2},
		"all VMs in one data centre":     {10, VMCounts{20, 20}, 20, 0, 100},
		"no VM near, only far ones send": {10, VMCounts{0, 20}, 0, 20, 100},
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				start := time.Now()
				limiters := limitersOfVMs(start, test.limit, test.vms, test.near, test.far)
				var admitted []time.Time
				for now := start; now.Sub(start) < 30*time.Second; {
					now = now.Add(time.Duration(random.ExpFloat64() / test.demand * float64(time.Second)))
					if limiters[random.IntN(len(limiters))].take(now) {
						admitted = append(admitted, now)
					}
				}
				allowed := int(limitFactor*test.limit*limitWindow.Seconds()) + limitExtra
				if most := mostWithin(admitted, limitWindow); most > allowed {
					t.Errorf("%d requests within %s, want at most %d", most, limitWindow, allowed)
				}
			})
		}
	}
}

// TestVMsThatWereIdleKeepARateLimit guards against a replica that gets far more requests than its limit because all VMs send the requests
// that they have saved up: the VMs send it little until its siblings fail, and then want to send it everything.
func TestVMsThatWereIdleKeepARateLimit(t *testing.T) {
	const idleFor, burstFor = time.Minute, 8 * time.Second
	for name, test := range map[string]struct {
		limit     float64
		vms       VMCounts
		near, far int
	}{
		"nine VMs":                   {10, VMCounts{3, 9}, 3, 0},
		"84 VMs":                     {4, VMCounts{14, 84}, 14, 0},
		"84 VMs, all send directly":  {4, VMCounts{14, 84}, 14, 70},
		"295 VMs":                    {10, VMCounts{50, 295}, 50, 0},
		"295 VMs, a low limit":       {3, VMCounts{50, 295}, 50, 0},
		"295 VMs, all send directly": {10, VMCounts{50, 295}, 50, 245},
		"1,426 VMs":                  {10, VMCounts{68, 1426}, 68, 0},
		"1,426 VMs, all send directly, high limit": {100, VMCounts{68, 1426}, 68, 1358},
		"300 VMs in one data centre":               {50, VMCounts{300, 300}, 300, 0},
	} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				start := time.Now()
				limiters := limitersOfVMs(start, test.limit, test.vms, test.near, test.far)
				var admitted []time.Time
				send := func(now, until time.Time, demand float64) {
					for {
						now = now.Add(time.Duration(random.ExpFloat64() / demand * float64(time.Second)))
						if !now.Before(until) {
							return
						}
						if limiters[random.IntN(len(limiters))].take(now) {
							admitted = append(admitted, now)
						}
					}
				}
				send(start, start.Add(idleFor), test.limit/10)
				send(start.Add(idleFor), start.Add(idleFor+burstFor), 100*test.limit)
				allowed := int(limitFactor*test.limit*limitWindow.Seconds()) + limitExtra
				if most := mostWithin(admitted, limitWindow); most > allowed {
					t.Errorf("%d requests within %s, want at most %d", most, limitWindow, allowed)
				}
			})
		}
	}
}

// mostWithin returns the largest number of times within any window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestRateSharesAddUpToTheLimit(t *testing.T) {
	for _, vms := range []VMCounts{{1, 1}, {3, 9}, {12, 71}, {50, 295}, {0, 9}} {
		total := float64(vms.SameDataCentre)*rateShare(10, SameDataCentre, vms) + float64(vms.Total-vms.SameDataCentre)*rateShare(10, OtherRegion, vms)
		if vms.SameDataCentre == 0 {
			total = float64(vms.Total) * rateShare(10, OtherRegion, vms)
		}
		if diff := cmp.Diff(10, int(total+0.5)); diff != "" {
			t.Errorf("%+v: shares of a limit of 10 (-want +got):\n%s", vms, diff)
		}
	}
}

func TestRateLimitIsSetAndLifted(t *testing.T) {
	now := time.Now()
	var limiter rateLimiter
	if !limiter.take(now) || limiter.wait(now) != 0 {
		t.Error("a replica without a limit admits no request")
	}
	limiter.set(now, 2, 2)
	limiter.take(now)
	now = now.Add(limiter.wait(now))
	if !limiter.take(now) || limiter.take(now) {
		t.Error("want one request once the wait is over, and no second one")
	}
	if diff := cmp.Diff(500*time.Millisecond, limiter.wait(now).Round(time.Millisecond)); diff != "" {
		t.Error("wait for the next (-want +got):\n" + diff)
	}
	if diff := cmp.Diff(2.0, limiter.set(now, 0, 0)); diff != "" {
		t.Error("former limit (-want +got):\n" + diff)
	}
	if !limiter.take(now) {
		t.Error("a replica that lifted its limit admits no request")
	}
}
