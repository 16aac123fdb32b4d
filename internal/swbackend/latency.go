package swbackend

import "time"

const (
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.125
	// deviationGain is the weight of a new sample in the moving average of the deviation.
	deviationGain = 0.25
	// recentMaxDecay is the factor by which each sample reduces the recent maximum.
	recentMaxDecay = 0.99
	// timeoutDeviations is the response timeout's distance from the mean, in mean deviations.
	timeoutDeviations = 8
	// timeoutRecentMaxFactor multiplies the recent maximum. The response timeout is at least the product, up to the
	// bound that recentMaxDivisor sets.
	timeoutRecentMaxFactor = 1.5
	// minResponseTimeout bounds the response timeout from below.
	minResponseTimeout = 10 * time.Millisecond
	// minLatencySamples is the number of samples from which on the response timeout follows the server's latency.
	minLatencySamples = 8
	// unknownLatencyDivisor divides the remaining time to give the response timeout while there are too few samples.
	unknownLatencyDivisor = 3
	// recentMaxDivisor divides the remaining time to give the longest response timeout that a high recent maximum can
	// cause.
	recentMaxDivisor = 2
	// maxTrackedKinds bounds the kinds of work whose latency is tracked separately. All others share one tracker.
	maxTrackedKinds = 32
)

// latencyTracker tracks the time between sending a request and reading its answer: moving averages of the latency and of
// its deviation, and a decaying maximum.
type latencyTracker struct {
	samples   int
	mean      time.Duration
	deviation time.Duration
	recentMax time.Duration
}

func (latencyTracker *latencyTracker) observe(sample time.Duration) {
	latencyTracker.samples++
	latencyTracker.recentMax = max(sample, time.Duration(recentMaxDecay*float64(latencyTracker.recentMax)))
	if latencyTracker.samples == 1 {
		latencyTracker.mean, latencyTracker.deviation = sample, sample/2
		return
	}
	difference := sample - latencyTracker.mean
	latencyTracker.mean += time.Duration(latencyGain * float64(difference))
	latencyTracker.deviation += time.Duration(deviationGain * float64(max(difference, -difference)-latencyTracker.deviation))
}

// responseTimeout returns how long nothing may be read after a request before its connection counts as unresponsive, where
// remaining is the time left until the deadline.
func (latencyTracker *latencyTracker) responseTimeout(remaining time.Duration) time.Duration {
	if latencyTracker.samples < minLatencySamples {
		return max(minResponseTimeout, remaining/unknownLatencyDivisor)
	}
	expected := latencyTracker.mean + timeoutDeviations*latencyTracker.deviation
	recent := time.Duration(timeoutRecentMaxFactor * float64(latencyTracker.recentMax))
	return max(minResponseTimeout, expected, min(recent, remaining/recentMaxDivisor))
}

// latencyOfKind returns the tracker for a kind of work. The caller must hold the mutex.
func (server *server) latencyOfKind(kind string) *latencyTracker {
	tracker := server.latencies[kind]
	if tracker != nil {
		return tracker
	}
	if len(server.latencies) >= maxTrackedKinds && kind != "" {
		return server.latencyOfKind("")
	}
	tracker = &latencyTracker{}
	server.latencies[kind] = tracker
	return tracker
}

func (server *server) observeLatency(kind string, sample time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.latencyOfKind(kind).observe(sample)
}

// responseTimeout returns how long nothing may be read after the sub-request before its connection counts as unresponsive.
func (server *server) responseTimeout(subRequest *SubRequest) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.latencyOfKind(subRequest.Kind).responseTimeout(time.Until(subRequest.Deadline))
}
