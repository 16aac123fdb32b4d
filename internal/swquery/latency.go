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
	// failurePenalty is what a failed attempt counts as, in place of its latency.
	failurePenalty = 250 * time.Millisecond
	// quantileStep is the step of the percentile estimate, as a part of its value.
	quantileStep = 0.05
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
}

// Latencies keeps what this VM observes of answers: an average a server, which orders replicas, and a high percentile a
// shard, after which it is hedged.
type Latencies struct {
	percentile float64
	servers    *swtable.Table[string, *serverLatency]
	shards     *swtable.Table[shardKey, *quantile]
}

type shardKey struct {
	index string
	shard int
}

// wholeIndex is the shard number under which the percentile over all shards of an index stands.
const wholeIndex = -1

// NewLatencies returns an empty record. The percentile is between 0 and 100.
func NewLatencies(percentile float64) *Latencies {
	return &Latencies{
		percentile: percentile / 100,
		servers:    swtable.New[string, *serverLatency](),
		shards:     swtable.New[shardKey, *quantile](),
	}
}

// Observe takes the age of an answered attempt.
func (latencies *Latencies) Observe(now time.Time, index string, shard int, server string, age time.Duration) {
	latencies.server(server).observe(now, age)
	latencies.shard(index, shard).observe(age, latencies.percentile)
	latencies.shard(index, wholeIndex).observe(age, latencies.percentile)
}

// ObserveFailure makes a server less attractive for a while.
func (latencies *Latencies) ObserveFailure(now time.Time, server string) {
	latencies.server(server).observe(now, failurePenalty)
}

// ObserveSlow takes the age of an attempt that has no answer yet, when that age is already above the average.
func (latencies *Latencies) ObserveSlow(now time.Time, server string, age time.Duration) {
	latencies.server(server).observeSlow(now, age)
}

// Expect estimates what an answer of the server would take now. prior is the estimate for a server not observed lately.
func (latencies *Latencies) Expect(now time.Time, server string, prior time.Duration) time.Duration {
	known, ok := latencies.servers.Get(server)
	if !ok {
		return prior
	}
	return known.expect(now, prior)
}

// HedgeAfter returns the wait after which an attempt for the shard is unusually late: the shard's own percentile, or
// twice the whole index's where that is lower, since a shard whose every replica answers late gains from an early hedge.
func (latencies *Latencies) HedgeAfter(index string, shard int) time.Duration {
	own := latencies.shard(index, shard).value()
	whole := 2 * latencies.shard(index, wholeIndex).value()
	return max(min(own, whole), quantileFloor)
}

func (latencies *Latencies) server(name string) *serverLatency {
	return latencies.servers.GetOrPut(name, func() *serverLatency { return &serverLatency{} })
}

func (latencies *Latencies) shard(index string, shard int) *quantile {
	return latencies.shards.GetOrPut(shardKey{index: index, shard: shard}, func() *quantile {
		return &quantile{estimate: float64(quantileStart)}
	})
}

func (serverLatency *serverLatency) observe(now time.Time, age time.Duration) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if serverLatency.seen.IsZero() {
		serverLatency.average = age
	} else {
		serverLatency.average += time.Duration(latencyWeight * float64(age-serverLatency.average))
	}
	serverLatency.seen = now
}

func (serverLatency *serverLatency) observeSlow(now time.Time, age time.Duration) {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	if age <= serverLatency.average {
		return
	}
	serverLatency.average += time.Duration(latencyWeight * float64(age-serverLatency.average))
	serverLatency.seen = now
}

func (serverLatency *serverLatency) expect(now time.Time, prior time.Duration) time.Duration {
	serverLatency.mutex.Lock()
	defer serverLatency.mutex.Unlock()
	age := now.Sub(serverLatency.seen)
	kept := math.Exp2(-float64(age) / float64(latencyMemory))
	return prior + time.Duration(kept*float64(serverLatency.average-prior))
}

// quantile estimates a percentile by stochastic approximation, in constant memory.
type quantile struct {
	mutex    sync.Mutex
	estimate float64
}

func (quantile *quantile) observe(age time.Duration, percentile float64) {
	quantile.mutex.Lock()
	defer quantile.mutex.Unlock()
	step := quantileStep * quantile.estimate
	if float64(age) > quantile.estimate {
		quantile.estimate += step * percentile
	} else {
		quantile.estimate -= step * (1 - percentile)
	}
	quantile.estimate = max(quantile.estimate, float64(quantileFloor)/2)
}

func (quantile *quantile) value() time.Duration {
	quantile.mutex.Lock()
	defer quantile.mutex.Unlock()
	return time.Duration(quantile.estimate)
}
