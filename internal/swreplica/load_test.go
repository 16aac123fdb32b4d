package swreplica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// loadedReplica is a replica of the replay: it runs some requests at once, queues the rest, and its machine is at times slow.
type loadedReplica struct {
	id    string
	slots chan struct{}

	mutex            sync.Mutex
	random           *rand.Rand
	running, waiting int
	// slowFrom holds when the episodes of slowness begin, counted from began.
	began    time.Time
	slowFrom []time.Duration
}

const (
	replaySlots       = 2
	replayServiceTime = 10 * time.Millisecond
	replayDuration    = 20 * time.Second
	// replaySlowdown, slowLength and slowFraction describe the slowness of machines: for 600 ms at a time, work takes 2.5 times as long, 15 % of
	// the time.
	replaySlowdown = 2.5
	slowLength     = 600 * time.Millisecond
	slowFraction   = 0.15
)

// slowEpisodes returns when the machine of a replica is slow. It does not depend on the requests, so that all replays have the same slowness.
func slowEpisodes(random *rand.Rand) []time.Duration {
	const gap = float64(slowLength) * (1 - slowFraction) / slowFraction
	var from []time.Duration
	for at := time.Duration(0); at < replayDuration; at += slowLength {
		at += time.Duration(random.ExpFloat64() * gap)
		from = append(from, at)
	}
	return from
}

// slowdown returns the present slowdown.
func (replica *loadedReplica) slowdown(now time.Time) float64 {
	elapsed := now.Sub(replica.began)
	for _, from := range replica.slowFrom {
		if elapsed >= from && elapsed < from+slowLength {
			return replaySlowdown
		}
	}
	return 1
}

// serve runs a request and returns the load at its end.
func (replica *loadedReplica) serve() Load {
	replica.count(0, 1)
	replica.slots <- struct{}{}
	replica.count(1, -1)
	replica.mutex.Lock()
	took := time.Duration((0.5 + 0.5*replica.random.ExpFloat64()) * replica.slowdown(time.Now()) * float64(replayServiceTime))
	replica.mutex.Unlock()
	time.Sleep(took)
	<-replica.slots
	replica.count(-1, 0)
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return Load{Running: replica.running, Waiting: replica.waiting, Slots: replaySlots, Slowdown: replica.slowdown(time.Now())}
}

func (replica *loadedReplica) count(running, waiting int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.running += running
	replica.waiting += waiting
}

// replayLoad sends the requests of several VMs to three replicas, and returns the mean and the 95th percentile of their latencies. alter
// changes what a replica reports; nil reports nothing.
func replayLoad(t *testing.T, seed uint64, alter func(replica int, load Load) Load) (mean, late time.Duration) {
	t.Helper()
	const vms, replicas, perSecond = 3, 3, 330.0
	synctest.Test(t, func(t *testing.T) {
		var entries []Entry
		servers := make(map[string]*loadedReplica)
		for i := range replicas {
			id := fmt.Sprint(i)
			entries = append(entries, Entry{ID: id, Service: "s", DataCentre: "dc", Slots: replaySlots})
			servers[id] = &loadedReplica{id: id, slots: make(chan struct{}, replaySlots), random: rand.New(rand.NewPCG(seed, uint64(i)))}
			servers[id].began, servers[id].slowFrom = time.Now(), slowEpisodes(rand.New(rand.NewPCG(seed, uint64(replicas+i))))
		}
		registries := make([]*Registry, vms)
		for i := range registries {
			registries[i] = NewRegistry(RegistryConfig{Pool: NewPool(PoolConfig{Log: zerolog.Nop()}), DataCentre: "dc"})
			registries[i].Update(entries, nil)
		}
		random := rand.New(rand.NewPCG(seed, 2*replicas))
		group := swgroup.New(context.Background())
		var mutex sync.Mutex
		var latencies []time.Duration
		for end := time.Now().Add(replayDuration); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			registry := registries[random.IntN(vms)]
			now := time.Now()
			var best *Replica
			bestCost := time.Duration(0)
			for _, entry := range entries {
				replica := registry.Find(entry.ID)
				candidate := replica.Candidate(now, replayServiceTime)
				cost := time.Duration((1 + 0.1*random.Float64()) * float64(candidate.Cost()))
				if best == nil || cost < bestCost {
					best, bestCost = replica, cost
				}
			}
			inFlight := best.AddRelayed(now)
			group.Go(func(context.Context) {
				load := servers[best.ID()].serve()
				inFlight.End()
				ended := time.Now()
				best.ObserveLatency(ended, ended.Sub(now))
				if alter != nil {
					index := slices.IndexFunc(entries, func(entry Entry) bool { return entry.ID == best.ID() })
					altered := alter(index, load)
					best.ObserveReport(ended, Report{Succeeded: true, SaysLoad: altered != Load{}, Load: altered})
				}
				mutex.Lock()
				defer mutex.Unlock()
				latencies = append(latencies, ended.Sub(now))
			})
		}
		group.Wait()
		slices.Sort(latencies)
		for _, latency := range latencies {
			mean += latency / time.Duration(len(latencies))
		}
		late = latencies[len(latencies)*95/100]
	})
	return mean, late
}

// replaySeeds is the number of replays over which figures are averaged. A single one varies by a fifth.
const replaySeeds = 8

// averageReplay returns the averages of replayLoad over several seeds.
func averageReplay(t *testing.T, alter func(replica int, load Load) Load) (mean, late time.Duration) {
	t.Helper()
	for seed := range uint64(replaySeeds) {
		oneMean, oneLate := replayLoad(t, seed, alter)
		mean += oneMean / replaySeeds
		late += oneLate / replaySeeds
	}
	return mean, late
}

// TestReportedLoadAvoidsSlowAndLoadedReplicas guards against placement that ignores what replicas say about their load, and against false or
// missing reports that make it worse than none.
func TestReportedLoadAvoidsSlowAndLoadedReplicas(t *testing.T) {
	mean, late := averageReplay(t, nil)
	t.Logf("no reports: mean %v, 95th percentile %v", mean, late)
	for _, test := range []struct {
		name  string
		alter func(replica int, load Load) Load
		// mostMean and mostLate bound the figures as multiples of those without reports.
		mostMean, mostLate float64
	}{
		{"true", func(_ int, load Load) Load { return load }, 0.95, 0.95},
		{"one claims to be idle", func(replica int, load Load) Load {
			if replica == 0 {
				return Load{Slots: 1 << 20, Slowdown: 0.01}
			}
			return load
		}, 1.15, 1.15},
		{"one claims to be overloaded", func(replica int, load Load) Load {
			if replica == 0 {
				return Load{Running: 1 << 20, Waiting: 1 << 20, Slots: 1, Slowdown: 100}
			}
			return load
		}, 1.15, 1.15},
		{"all claim nonsense", func(replica int, _ Load) Load { return Load{Running: 1 << 20 * replica, Slots: 1, Slowdown: 0.01} }, 1.15, 1.15},
		{"one claims anything", func(replica int, load Load) Load {
			if replica == 0 {
				return Load{Running: rand.IntN(20), Waiting: rand.IntN(20), Slots: 2, Slowdown: 10 * rand.Float64()}
			}
			return load
		}, 1.15, 1.15},
		{"two report nothing", func(replica int, load Load) Load {
			if replica > 0 {
				return Load{}
			}
			return load
		}, 1.05, 1.05},
	} {
		gotMean, gotLate := averageReplay(t, test.alter)
		t.Logf("%s: mean %v, 95th percentile %v", test.name, gotMean, gotLate)
		if float64(gotMean) > test.mostMean*float64(mean) || float64(gotLate) > test.mostLate*float64(late) {
			t.Errorf("%s: mean %v and 95th percentile %v, want at most %.2f and %.2f of those without reports", test.name, gotMean, gotLate, test.mostMean, test.mostLate)
		}
	}
}
