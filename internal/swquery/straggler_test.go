package swquery

import (
	"context"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

var stragglerTable = flag.Bool("straggler.table", false, "print latencies and extra load with and without a straggler")

const (
	stragglerSeed     = 20261204
	stragglerSlowdown = 20
	stragglerMedian   = 20 * time.Millisecond
	stragglerQueries  = 4000
	// stragglerQueryInterval is the mean interval between queries of one root.
	stragglerQueryInterval = 25 * time.Millisecond
	stragglerSlots         = 2
)

// slottedBackends simulates servers with a fixed number of slots and log-normal service times with a tail. One server may be a
// straggler.
type slottedBackends struct {
	mutex     sync.Mutex
	random    *rand.Rand
	slots     map[string]chan struct{}
	straggler string
	// ran counts the sub-requests that were started in a slot.
	ran int
}

func (*slottedBackends) Report() swadmission.Report { return swadmission.Report{} }

func (backends *slottedBackends) begin(server string) (chan struct{}, time.Duration) {
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	if backends.slots[server] == nil {
		backends.slots[server] = make(chan struct{}, stragglerSlots)
	}
	factor := math.Exp(0.3 * backends.random.NormFloat64())
	if backends.random.Float64() < 0.01 {
		factor *= 4
	}
	if server == backends.straggler {
		factor *= stragglerSlowdown
	}
	return backends.slots[server], time.Duration(factor * float64(stragglerMedian))
}

func (backends *slottedBackends) Execute(ctx context.Context, subRequest swbackend.SubRequest) swbackend.Answer {
	slots, service := backends.begin(subRequest.Server)
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return swbackend.Answer{Outcome: swbackend.Cancelled, Code: swcode.CallerGone}
	}
	defer func() { <-slots }()
	backends.mutex.Lock()
	backends.ran++
	backends.mutex.Unlock()
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return swbackend.Answer{Outcome: swbackend.Answered, Ran: swcode.RanYes}
	case <-ctx.Done():
		return swbackend.Answer{Outcome: swbackend.Cancelled, Ran: swcode.RanUnknown}
	}
}

// stragglerResult holds the measurements of one simulation.
type stragglerResult struct {
	latencies []time.Duration
	hedges    int
	extra     float64
	remote    float64
}

// percentile returns the latency that the given fraction of the queries stayed below.
func (result *stragglerResult) percentile(part float64) time.Duration {
	return result.latencies[min(len(result.latencies)-1, int(part*float64(len(result.latencies))))]
}

// runStraggler simulates queries from the roots of all data centres in virtual time.
func runStraggler(t *testing.T, seed uint64, distance time.Duration, straggler string, hedgePercent, percentile float64) stragglerResult {
	cluster := newCluster(testShards)
	defer cluster.group.Stop()
	cluster.delay = distance
	backends := &slottedBackends{random: rand.New(rand.NewPCG(seed, 1)), slots: make(map[string]chan struct{}), straggler: straggler}
	for _, dataCentre := range dataCentres {
		config := cluster.engines[dataCentre].config
		config.Backends, config.HedgePercent, config.HedgePercentile = backends, hedgePercent, percentile
		cluster.engines[dataCentre] = New(config)
	}
	var result stragglerResult
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	for id := range uint64(stragglerQueries) {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(stragglerQueryInterval) / float64(len(dataCentres))))
		root := dataCentres[random.IntN(len(dataCentres))]
		cluster.group.Go(func(ctx context.Context) {
			query := Query{ID: id + 1, Caller: "desk", Kind: "check", Index: "books", Limit: 10, MinCoverage: 1, Timeout: 2 * time.Second}
			answer := cluster.engines[root].Run(ctx, query)
			mutex.Lock()
			defer mutex.Unlock()
			result.latencies = append(result.latencies, answer.Took)
			result.hedges += answer.Hedges
		})
	}
	time.Sleep(10 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	result.extra = float64(backends.ran)/(stragglerQueries*testShards) - 1
	for _, dataCentre := range dataCentres {
		result.remote += float64(cluster.engines[dataCentre].owner.BatchesReceived())
	}
	result.remote /= stragglerQueries
	slices.Sort(result.latencies)
	return result
}

// TestHedgesWithStragglerStayWithinBudget checks the number of hedges with one straggler. With -straggler.table it also prints
// latencies and extra load with and without a straggler for several hedging parameters.
func TestHedgesWithStragglerStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := runStraggler(t, stragglerSeed, time.Millisecond, "a3", 5, 98)
		allowed := len(dataCentres)*budgetBurst + stragglerQueries*testShards*5/100
		if result.hedges > allowed {
			t.Errorf("%d hedges exceed the budget of %d", result.hedges, allowed)
		}
		if diff := cmp.Diff(stragglerQueries, len(result.latencies)); diff != "" {
			t.Error("queries that ended: " + diff)
		}
	})
	if *stragglerTable {
		printStragglerTable(t)
	}
}

func printStragglerTable(t *testing.T) {
	t.Log("| between data centres | straggler | hedge percent | percentile | p50 | p99 | p99.9 | hedges | extra load | batches to other VMs per query |")
	for _, distance := range []time.Duration{500 * time.Microsecond, 10 * time.Millisecond} {
		for _, straggler := range []string{"", "a3"} {
			for _, hedge := range []struct{ percent, percentile float64 }{{0, 95}, {5, 95}, {5, 98}, {5, 99}} {
				synctest.Test(t, func(t *testing.T) {
					result := runStraggler(t, stragglerSeed, distance, straggler, hedge.percent, hedge.percentile)
					t.Logf("| %s | %s | %v | %v | %.0f ms | %.0f ms | %.0f ms | %.1f%% | %.1f%% | %.2f |", distance, straggler, hedge.percent, hedge.percentile,
						result.percentile(0.5).Seconds()*1000, result.percentile(0.99).Seconds()*1000, result.percentile(0.999).Seconds()*1000,
						100*float64(result.hedges)/(stragglerQueries*testShards), 100*result.extra, result.remote)
				})
			}
		}
	}
}
