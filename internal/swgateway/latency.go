package swgateway

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

const (
	// initialLatency is the assumed median before any observation: the usual time of one shard's part of a search.
	initialLatency = 12 * time.Millisecond
	// gatheredHedgeFactor is the multiple of its route's median latency after which an attempt is late. Latencies that vary by a
	// third of their mean exceed twice the median about once in forty attempts, which the budget can cover.
	gatheredHedgeFactor = 2
	// singleHedgeFactor replaces gatheredHedgeFactor for a request to a single service. No other part waits for its answer, and
	// its hedge repeats all the work of the request.
	singleHedgeFactor = 3
	// replicaHedgeFactor is the multiple of its replica's expected latency after which an attempt is late. It avoids hedging
	// every attempt at a replica that is slow for all requests.
	replicaHedgeFactor = 1.3
	// minHedgeDelay is the minimum wait before a hedge.
	minHedgeDelay = 4 * time.Millisecond
)

// latencyTracker tracks latencies by route and by service. A search over dozens of shards meets a stalled replica at nearly every
// request, while one VM sees few requests of each shard. All shards of a route do the same work, so their pooled observations
// soon show which attempts are late. The median is used because stalled and slow replicas are frequent enough to distort a high
// percentile.
type latencyTracker struct {
	routes   *swtable.Table[string, *swquery.Quantile]
	services *swtable.Table[string, *swquery.MovingAverage]
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{routes: swtable.New[string, *swquery.Quantile](), services: swtable.New[string, *swquery.MovingAverage]()}
}

// routeMedian returns the estimate of the route's median latency.
func (latencyTracker *latencyTracker) routeMedian(route string) *swquery.Quantile {
	return latencyTracker.routes.GetOrPut(route, func() *swquery.Quantile { return swquery.NewQuantile(0.5, initialLatency) })
}

// observe records the latency of an answer.
func (latencyTracker *latencyTracker) observe(route, service string, latency time.Duration) {
	latencyTracker.routeMedian(route).Observe(latency)
	latencyTracker.services.GetOrPut(service, swquery.NewMovingAverage).Observe(latency)
}

// observeCancelled records the age of an attempt that was cancelled before its answer.
func (latencyTracker *latencyTracker) observeCancelled(route string, age time.Duration) {
	latencyTracker.routeMedian(route).ObserveAtLeast(age)
}

// serviceLatency returns the usual latency of a service.
func (latencyTracker *latencyTracker) serviceLatency(service string) time.Duration {
	return latencyTracker.services.GetOrPut(service, swquery.NewMovingAverage).Value()
}

// hedgeDelay returns the age at which an attempt of the route is late: a multiple of the route's median, and longer than the
// replica is expected to take. It is shortened if necessary so that a second attempt can still meet the target latency.
func (latencyTracker *latencyTracker) hedgeDelay(route *swroute.Route, expected time.Duration) time.Duration {
	factor := time.Duration(gatheredHedgeFactor)
	if !route.Gathered() {
		factor = singleHedgeFactor
	}
	delay := max(factor*latencyTracker.routeMedian(route.Name).Value(), time.Duration(replicaHedgeFactor*float64(expected)))
	if route.TargetLatency > 0 {
		delay = min(delay, route.TargetLatency/2-targetMargin)
	}
	return max(minHedgeDelay, delay)
}
