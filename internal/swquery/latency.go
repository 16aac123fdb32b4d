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
	// latencyHalfLife is the time after which a server's average has decayed halfway to its prior.
	latencyHalfLife = 5 * time.Second
	// medianPercentile is the percentile that is estimated over all shards of an index.
	medianPercentile = 0.5
	// medianFactor is the multiple of the index's median after which any attempt is late.
	medianFactor = 3
	// indexAverageWeight is the weight of a new observation in an index's moving average.
	indexAverageWeight = 0.02
	// initialIndexAverage is an index's average before the first observation.
	initialIndexAverage = 5 * time.Millisecond
	// stragglerThreshold is the number of consecutive late attempts that make a server a straggler.
	stragglerThreshold = 6
	// stragglerPenaltyFactor multiplies the latency of a straggler's last attempt to give its expected latency.
	stragglerPenaltyFactor = 8
	// stragglerProbeInterval is the interval at which a query is sent to a straggler to probe it.
	stragglerProbeInterval = 5 * time.Second
	// failurePenalty is the latency that is recorded for a failed attempt.
	failurePenalty = 250 * time.Millisecond
	// quantileStep is the relative step of a shard's percentile estimate.
	quantileStep = 0.05
	// indexQuantileStep is the relative step of an index's estimate. It is smaller because an index has many more
	// observations.
	indexQuantileStep = 0.01
	// initialQuantile is an estimate's value before the first observation.
	initialQuantile = 50 * time.Millisecond
	// minQuantile is the shortest hedge delay. An estimate may fall to half of it.
	minQuantile = time.Millisecond
)

// serverLatency estimates the latency of one backend server as seen from this VM.
type serverLatency struct {
	mutex      sync.Mutex
	average    time.Duration
	observedAt time.Time
	// consecutiveLate counts the late and failed attempts since the last answer in time.
	consecutiveLate int
	// probeAt is when a straggler is next probed.
	probeAt time.Time
}

// Latencies records the latencies that this VM observes: a moving average per server, which ranks replicas; a high percentile
// per shard, after which an attempt is hedged; and an average and a median per index.
type Latencies struct {
	percentile    float64
	servers       *swtable.Table[string, *serverLatency]
	shards        *swtable.Table[shardKey, *Quantile]
	indexAverages *swtable.Table[string, *MovingAverage]
}

type shardKey struct {
	index string
	shard int
}

// allShards is the shard number under which the median over all shards of an index is stored.
const allShards = -1

// NewLatencies returns latencies without observations. The hedge percentile is between 0 and 100.
func NewLatencies(percentile float64) *Latencies {
	return &Latencies{
		percentile:    percentile / 100,
		servers:       swtable.New[string, *serverLatency](),
		shards:        swtable.New[shardKey, *Quantile](),
		indexAverages: swtable.New[string, *MovingAverage](),
	}
}

// Observe records the latency of an answered attempt.
func (latencies *Latencies) Observe(now time.Time, index string, shard int, server string, age time.Duration) {
	latencies.server(server).observe(now, age, age > latencies.HedgeDelay(index, shard))
	latencies.shard(index, shard).Observe(age)
	latencies.shard(index, allShards).Observe(age)
	latencies.indexAverage(index).Observe(age)
}

// ObserveFailure records a failed attempt, which ranks the server lower for a while.
func (latencies *Latencies) ObserveFailure(now time.Time, server string) {
	latencies.server(server).observeFailure(now)
}

// ObserveLate records the present age of an attempt that is late and still open.
func (latencies *Latencies) ObserveLate(now time.Time, server string, age time.Duration) {
	latencies.server(server).observeLate(now, age)
}

// ObserveCancelled records the age of an attempt that was cancelled before it was answered.
func (latencies *Latencies) ObserveCancelled(index string, shard int, age time.Duration) {
	latencies.shard(index, shard).ObserveAtLeast(age)
	latencies.shard(index, allShards).ObserveAtLeast(age)
}

// IndexAverage returns the average latency over all servers of an index.
func (latencies *Latencies) IndexAverage(index string) time.Duration {
	return latencies.indexAverage(index).Value()
}

func (latencies *Latencies) indexAverage(index string) *MovingAverage {
	return latencies.indexAverages.GetOrPut(index, NewMovingAverage)
}

// Estimate returns the expected latency of the server. Without recent observations it approaches prior.
func (latencies *Latencies) Estimate(now time.Time, server string, prior time.Duration) time.Duration {
	known, ok := latencies.servers.Get(server)
	if !ok {
		return prior
	}
	return known.estimate(now, prior)
}

// HedgeDelay returns the delay after which an attempt for the shard is late: the shard's own percentile, or a multiple of the
// index's median if that is lower, since a shard whose replicas are all slow benefits from an early hedge. A single slow shard
// hardly changes the median.
func (latencies *Latencies) HedgeDelay(index string, shard int) time.Duration {
	own := latencies.shard(index, shard).Value()
	fromMedian := medianFactor * latencies.shard(index, allShards).Value()
	return max(min(own, fromMedian), minQuantile)
}

func (latencies *Latencies) server(name string) *serverLatency {
	return latencies.servers.GetOrPut(name, func() *serverLatency { return &serverLatency{} })
}

func (latencies *Latencies) shard(index string, shard int) *Quantile {
	return latencies.shards.GetOrPut(shardKey{index: index, shard: shard}, func() *Quantile {
		if shard == allShards {
			return &Quantile{percentile: medianPercentile, step: indexQuantileStep, estimate: float64(initialQuantile)}
		}
		return NewQuantile(latencies.percentile, initialQuantile)
	})
}

// observe records the latency of an answer. A late answer does not reset consecutiveLate.
func (serverLatency *serverLatency) observe(now time.Time, age time.Duration, late bool) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if serverLatency.observedAt.IsZero() || serverLatency.consecutiveLate >= stragglerThreshold {
		serverLatency.average = age
	} else {
		serverLatency.average += time.Duration(latencyWeight * float64(age-serverLatency.average))
	}
	serverLatency.observedAt = now
	if !late {
		serverLatency.consecutiveLate = 0
	}
}

func (serverLatency *serverLatency) observeFailure(now time.Time) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	serverLatency.penalize(now, failurePenalty)
}

// observeLate records the age of an open attempt. A single late attempt proves little, since every server has a latency tail;
// several in a row identify a straggler.
func (serverLatency *serverLatency) observeLate(now time.Time, age time.Duration) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if age <= serverLatency.average {
		return
	}
	serverLatency.penalize(now, age)
}

// penalize counts a late or failed attempt and raises the average, sharply once the server is a straggler. The caller holds the
// mutex.
func (serverLatency *serverLatency) penalize(now time.Time, age time.Duration) {
	serverLatency.consecutiveLate++
	if serverLatency.consecutiveLate >= stragglerThreshold {
		serverLatency.average = max(serverLatency.average, stragglerPenaltyFactor*age)
		serverLatency.probeAt = now.Add(stragglerProbeInterval)
	} else {
		serverLatency.average += time.Duration(latencyWeight * float64(age-serverLatency.average))
	}
	serverLatency.observedAt = now
}

// estimateStraggler returns a high estimate for a straggler, so that it is not used, except once per stragglerProbeInterval,
// when one query probes whether it is still slow. The caller holds the mutex.
func (serverLatency *serverLatency) estimateStraggler(now time.Time, prior time.Duration) time.Duration {
	if now.Before(serverLatency.probeAt) {
		return max(prior, serverLatency.average)
	}
	serverLatency.probeAt = now.Add(stragglerProbeInterval)
	return prior
}

// MovingAverage is an exponentially weighted moving average of latencies. Construct it with NewMovingAverage; it is safe for
// concurrent use.
type MovingAverage struct {
	mutex sync.Mutex
	value time.Duration
}

// NewMovingAverage returns an average with a low initial value, since it is better to hedge too early at first than too late.
func NewMovingAverage() *MovingAverage {
	return &MovingAverage{value: initialIndexAverage}
}

// Observe records a latency.
func (movingAverage *MovingAverage) Observe(age time.Duration) {
	movingAverage.mutex.Lock()
	defer movingAverage.mutex.Unlock()
	movingAverage.value += time.Duration(indexAverageWeight * float64(age-movingAverage.value))
}

// Value returns the average.
func (movingAverage *MovingAverage) Value() time.Duration {
	movingAverage.mutex.Lock()
	defer movingAverage.mutex.Unlock()
	return movingAverage.value
}

// estimate returns the average, decayed towards prior by the time since the last observation.
func (serverLatency *serverLatency) estimate(now time.Time, prior time.Duration) time.Duration {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if serverLatency.consecutiveLate >= stragglerThreshold {
		return serverLatency.estimateStraggler(now, prior)
	}
	age := now.Sub(serverLatency.observedAt)
	weight := math.Exp2(-float64(age) / float64(latencyHalfLife))
	return prior + time.Duration(weight*float64(serverLatency.average-prior))
}

// Quantile estimates a percentile by stochastic approximation, in constant memory. Construct it with NewQuantile; it is safe
// for concurrent use.
type Quantile struct {
	// percentile is between 0 and 1. step is the maximum relative change of the estimate by one observation.
	percentile float64
	step       float64

	mutex    sync.Mutex
	estimate float64
}

// NewQuantile returns an estimate of a percentile, between 0 and 1, with an initial value.
func NewQuantile(percentile float64, start time.Duration) *Quantile {
	return &Quantile{percentile: percentile, step: quantileStep, estimate: float64(start)}
}

// Observe records a latency.
func (quantile *Quantile) Observe(age time.Duration) {
	quantile.mutex.Lock()
	defer quantile.mutex.Unlock()
	step := quantile.step * quantile.estimate
	if float64(age) > quantile.estimate {
		quantile.estimate += step * quantile.percentile
	} else {
		quantile.estimate -= step * (1 - quantile.percentile)
	}
	quantile.estimate = max(quantile.estimate, float64(minQuantile)/2)
}

// ObserveAtLeast records a lower bound of a latency. A bound below the estimate carries no information.
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
