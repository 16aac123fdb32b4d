package swquery

import (
	"math"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

const (
	// latencyWeight is the weight of a new observation in a server's moving average.
	latencyWeight = 0.2
	// latencyMemory is the time after which a server's average has gone half the way back to its prior.
	latencyMemory = 5 * time.Second
	// median is the percentile taken over a whole index.
	median = 0.5
	// medianFactor is the multiple of the median after which any attempt is late.
	medianFactor = 3
	// typicalWeight is the weight of a new observation in the moving average over an index.
	typicalWeight = 0.02
	// typicalStart is the average over an index before the first observation.
	typicalStart = 5 * time.Millisecond
	// slowInRow is the number of attempts without an answer in time, one after another, that make a server a straggler.
	slowInRow = 6
	// stragglerFactor is what a straggler counts as, in multiples of the time of its last attempt.
	stragglerFactor = 8
	// stragglerProbe is the time after which a straggler is tried by one query.
	stragglerProbe = 5 * time.Second
	// failurePenalty is what a failed attempt counts as, in place of its latency.
	failurePenalty = 250 * time.Millisecond
	// quantileStep is the step of the percentile estimate, as a part of its value.
	quantileStep = 0.05
	// wholeStep is the same for the estimate over a whole index, which many more observations feed.
	wholeStep = 0.01
	// quantileStart is the estimate before the first observation.
	quantileStart = 50 * time.Millisecond
	// quantileFloor is the lowest estimate.
	quantileFloor = time.Millisecond
)

// serverLatency estimates what an answer of one backend server takes, as seen from this VM.
type serverLatency struct {
	mutex   sync.Mutex
	average time.Duration
	seen    time.Time
	// slow counts attempts without an answer in time since the last answer.
	slow int
	// probeAt is when a straggler is tried again.
	probeAt time.Time
}

// Latencies keeps what this VM observes of answers: an average a server, which orders replicas, and a high percentile a
// shard, after which it is hedged.
type Latencies struct {
	percentile float64
	servers    *swtable.Table[string, *serverLatency]
	shards     *swtable.Table[shardKey, *Quantile]
	typical    *swtable.Table[string, *MovingAverage]
}

type shardKey struct {
	index string
	shard int
}

// wholeIndex is the shard number under which the median over all shards of an index stands.
const wholeIndex = -1

// NewLatencies returns an empty record. The percentile is between 0 and 100.
func NewLatencies(percentile float64) *Latencies {
	return &Latencies{
		percentile: percentile / 100,
		servers:    swtable.New[string, *serverLatency](),
		shards:     swtable.New[shardKey, *Quantile](),
		typical:    swtable.New[string, *MovingAverage](),
	}
}

// Observe takes the age of an answered attempt.
func (latencies *Latencies) Observe(now time.Time, index string, shard int, server string, age time.Duration) {
	latencies.server(server).observe(now, age, age > latencies.HedgeAfter(index, shard))
	latencies.shard(index, shard).Observe(age)
	latencies.shard(index, wholeIndex).Observe(age)
	latencies.typicalOf(index).Observe(age)
}

// ObserveFailure makes a server less attractive for a while.
func (latencies *Latencies) ObserveFailure(now time.Time, server string) {
	latencies.server(server).observeFailure(now)
}

// ObserveLate takes the age of an attempt that is late and goes on.
func (latencies *Latencies) ObserveLate(now time.Time, server string, age time.Duration) {
	latencies.server(server).observeSlow(now, age)
}

// ObserveWithdrawn takes the age of an attempt that was withdrawn without an answer.
func (latencies *Latencies) ObserveWithdrawn(index string, shard int, age time.Duration) {
	latencies.shard(index, shard).ObserveAtLeast(age)
	latencies.shard(index, wholeIndex).ObserveAtLeast(age)
}

// Typical returns the average time of an answer over all servers of an index.
func (latencies *Latencies) Typical(index string) time.Duration {
	return latencies.typicalOf(index).Value()
}

func (latencies *Latencies) typicalOf(index string) *MovingAverage {
	return latencies.typical.GetOrPut(index, NewMovingAverage)
}

// Expect estimates what an answer of the server would take now. prior is the estimate for a server not observed lately.
func (latencies *Latencies) Expect(now time.Time, server string, prior time.Duration) time.Duration {
	known, ok := latencies.servers.Get(server)
	if !ok {
		return prior
	}
	return known.expect(now, prior)
}

// HedgeAfter returns the wait after which an attempt for the shard is unusually late: the shard's own percentile, or a
// multiple of the whole index's median where that is lower, since a shard whose every replica answers late gains from an
// early hedge. One bad shard hardly moves the median.
func (latencies *Latencies) HedgeAfter(index string, shard int) time.Duration {
	own := latencies.shard(index, shard).Value()
	whole := medianFactor * latencies.shard(index, wholeIndex).Value()
	return max(min(own, whole), quantileFloor)
}

func (latencies *Latencies) server(name string) *serverLatency {
	return latencies.servers.GetOrPut(name, func() *serverLatency { return &serverLatency{} })
}

func (latencies *Latencies) shard(index string, shard int) *Quantile {
	return latencies.shards.GetOrPut(shardKey{index: index, shard: shard}, func() *Quantile {
		if shard == wholeIndex {
			return &Quantile{percentile: median, step: wholeStep, estimate: float64(quantileStart)}
		}
		return NewQuantile(latencies.percentile, quantileStart)
	})
}

// observe takes the age of an answer. A late answer does not clear a straggler.
func (serverLatency *serverLatency) observe(now time.Time, age time.Duration, late bool) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if serverLatency.seen.IsZero() || serverLatency.slow >= slowInRow {
		serverLatency.average = age
	} else {
		serverLatency.average += time.Duration(latencyWeight * float64(age-serverLatency.average))
	}
	serverLatency.seen = now
	if !late {
		serverLatency.slow = 0
	}
}

func (serverLatency *serverLatency) observeFailure(now time.Time) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	serverLatency.raise(now, failurePenalty)
}

// observeSlow takes the age of an attempt that might have taken longer still. One such age means little, as every server
// has a tail; several in a row mark a straggler.
func (serverLatency *serverLatency) observeSlow(now time.Time, age time.Duration) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if age <= serverLatency.average {
		return
	}
	serverLatency.raise(now, age)
}

func (serverLatency *serverLatency) raise(now time.Time, age time.Duration) {
	serverLatency.slow++
	if serverLatency.slow >= slowInRow {
		serverLatency.average = max(serverLatency.average, stragglerFactor*age)
		serverLatency.probeAt = now.Add(stragglerProbe)
	} else {
		serverLatency.average += time.Duration(latencyWeight * float64(age-serverLatency.average))
	}
	serverLatency.seen = now
}

// expectStraggler keeps a straggler out of use, but for one query every while that finds out whether it still is one. The
// caller holds the mutex.
func (serverLatency *serverLatency) expectStraggler(now time.Time, prior time.Duration) time.Duration {
	if now.Before(serverLatency.probeAt) {
		return max(prior, serverLatency.average)
	}
	serverLatency.probeAt = now.Add(stragglerProbe)
	return prior
}

// Average is a moving average of latencies. Construct it with NewAverage; it is safe for concurrent use.
type MovingAverage struct {
	mutex sync.Mutex
	value time.Duration
}

// NewAverage returns an average that starts low, so that a hedge comes too early rather than too late.
func NewMovingAverage() *MovingAverage {
	return &MovingAverage{value: typicalStart}
}

// Observe takes the latency of an answer.
func (movingAverage *MovingAverage) Observe(age time.Duration) {
	movingAverage.mutex.Lock()
	defer movingAverage.mutex.Unlock()
	movingAverage.value += time.Duration(typicalWeight * float64(age-movingAverage.value))
}

// Value returns the average.
func (movingAverage *MovingAverage) Value() time.Duration {
	movingAverage.mutex.Lock()
	defer movingAverage.mutex.Unlock()
	return movingAverage.value
}

func (serverLatency *serverLatency) expect(now time.Time, prior time.Duration) time.Duration {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if serverLatency.slow >= slowInRow {
		return serverLatency.expectStraggler(now, prior)
	}
	age := now.Sub(serverLatency.seen)
	kept := math.Exp2(-float64(age) / float64(latencyMemory))
	return prior + time.Duration(kept*float64(serverLatency.average-prior))
}

// Quantile estimates a percentile by stochastic approximation, in constant memory. Construct it with NewQuantile; it is safe
// for concurrent use.
type Quantile struct {
	// percentile is between 0 and 1, step the greatest change of the estimate by one observation, as a part of it.
	percentile float64
	step       float64

	mutex    sync.Mutex
	estimate float64
}

// NewQuantile returns an estimate of a percentile, between 0 and 1, that starts at a latency.
func NewQuantile(percentile float64, start time.Duration) *Quantile {
	return &Quantile{percentile: percentile, step: quantileStep, estimate: float64(start)}
}

// Observe takes the age of an answer.
func (quantile *Quantile) Observe(age time.Duration) {
	quantile.mutex.Lock()
	defer quantile.mutex.Unlock()
	step := quantile.step * quantile.estimate
	if float64(age) > quantile.estimate {
		quantile.estimate += step * quantile.percentile
	} else {
		quantile.estimate -= step * (1 - quantile.percentile)
	}
	quantile.estimate = max(quantile.estimate, float64(quantileFloor)/2)
}

// ObserveAbove takes an age that would have grown further; below the estimate it tells nothing.
func (quantile *Quantile) ObserveAtLeast(age time.Duration) {
	if age > quantile.Value() {
		quantile.Observe(age)
	}
}

// Value returns the estimate.
func (quantile *Quantile) Value() time.Duration {
	quantile.mutex.Lock()
	defer quantile.mutex.Unlock()
	return time.Duration(quantile.estimate)
}
