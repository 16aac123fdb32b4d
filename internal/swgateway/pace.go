package swgateway

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

const (
	// usualStart is the usual latency before anything was observed: the work of a common part.
	usualStart = 12 * time.Millisecond
	// lateFactor is how many times the usual latency of its route an attempt takes when it is late. Work that varies by a third
	// of its mean exceeds twice its median once in forty times, which the budget of repeats bears.
	lateFactor = 2
	// aloneFactor takes the place of lateFactor for a request that goes to one replica: nothing else waits for its answer, and its
	// work is all that the client asked for, so that a hedge adds a whole request to the load.
	aloneFactor = 3
	// slowFactor is how many times its replica's average an attempt takes when it is late: a replica that is slow to all is not
	// hedged for being itself.
	slowFactor = 1.3
	// hedgeFloor is the least wait before a hedge.
	hedgeFloor = 4 * time.Millisecond
)

// pace knows how long answers take: by route, whose shards all do the same work, and by service. It answers the load in which
// a search meets a replica that stands still at nearly every attempt, because it has dozens of shards, while this VM sees few
// requests of each shard: observations of all shards together tell soon what is late. The median is taken, because replicas
// that stand still or are slow are many enough to move a high percentile.
type pace struct {
	routes   *swtable.Table[string, *swquery.Quantile]
	services *swtable.Table[string, *swquery.MovingAverage]
}

func newPace() *pace {
	return &pace{routes: swtable.New[string, *swquery.Quantile](), services: swtable.New[string, *swquery.MovingAverage]()}
}

func (pace *pace) ofRoute(route string) *swquery.Quantile {
	return pace.routes.GetOrPut(route, func() *swquery.Quantile { return swquery.NewQuantile(0.5, usualStart) })
}

// observe takes the latency of an answer.
func (pace *pace) observe(route, service string, latency time.Duration) {
	pace.ofRoute(route).Observe(latency)
	pace.services.GetOrPut(service, swquery.NewMovingAverage).Observe(latency)
}

// observeWithdrawn takes the age of an attempt that was withdrawn without an answer.
func (pace *pace) observeWithdrawn(route string, age time.Duration) {
	pace.ofRoute(route).ObserveAtLeast(age)
}

// typical returns the usual latency of a service.
func (pace *pace) typical(service string) time.Duration {
	return pace.services.GetOrPut(service, swquery.NewMovingAverage).Value()
}

// hedgeAfter returns when an attempt of the route is late: when it takes a multiple of what is usual for the route, and longer
// than its replica is expected to take, and in any case while a second attempt can still be in time for the target.
func (pace *pace) hedgeAfter(route *swroute.Route, expected time.Duration) time.Duration {
	factor := time.Duration(lateFactor)
	if !route.Gathered() {
		factor = aloneFactor
	}
	wait := max(factor*pace.ofRoute(route.Name).Value(), time.Duration(slowFactor*float64(expected)))
	if route.Target > 0 {
		wait = min(wait, route.Target/2-clientMargin)
	}
	return max(hedgeFloor, wait)
}
