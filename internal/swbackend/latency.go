package swbackend

import "time"

const (
	// latencyGain is the weight of a new observation in the mean.
	latencyGain = 0.125
	// deviationGain is the weight of a new observation in the mean deviation.
	deviationGain = 0.25
	// highestDecay is what is left of the highest latency after another observation.
	highestDecay = 0.99
	// patienceDeviations is the number of mean deviations above the mean after which silence is suspect.
	patienceDeviations = 8
	// patienceHighest is the multiple of the highest recent latency up to which silence is not suspect.
	patienceHighest = 1.5
	// leastPatience is the shortest silence that is suspect.
	leastPatience = 10 * time.Millisecond
	// latencySamples is the number of observations after which a server's own latency is used.
	latencySamples = 8
	// unknownPatience is the inverse of the part of the remaining time after which silence is suspect when the
	// latency is unknown.
	unknownPatience = 3
	// latestPatience is the inverse of the part of the remaining time up to which a high latency in the past delays
	// suspicion.
	latestPatience = 2
	// trackedKinds is the number of kinds of work whose latency is known apart; others are taken together.
	trackedKinds = 32
)

// latency follows the time between sending a request and its answer.
type latency struct {
	samples   int
	mean      time.Duration
	deviation time.Duration
	highest   time.Duration
}

func (latency *latency) add(sample time.Duration) {
	latency.samples++
	latency.highest = max(sample, time.Duration(highestDecay*float64(latency.highest)))
	if latency.samples == 1 {
		latency.mean, latency.deviation = sample, sample/2
		return
	}
	difference := sample - latency.mean
	latency.mean += time.Duration(latencyGain * float64(difference))
	latency.deviation += time.Duration(deviationGain * float64(max(difference, -difference)-latency.deviation))
}

// patience returns the silence that is unusual for the server when remaining is left until the deadline.
func (latency *latency) patience(remaining time.Duration) time.Duration {
	if latency.samples < latencySamples {
		return max(leastPatience, remaining/unknownPatience)
	}
	usual := latency.mean + patienceDeviations*latency.deviation
	past := time.Duration(patienceHighest * float64(latency.highest))
	return max(leastPatience, usual, min(past, remaining/latestPatience))
}

// latencyOfKind returns what is known of a kind of work. The caller holds the mutex.
func (server *server) latencyOfKind(kind string) *latency {
	known := server.latencies[kind]
	if known != nil {
		return known
	}
	if len(server.latencies) >= trackedKinds && kind != "" {
		return server.latencyOfKind("")
	}
	known = &latency{}
	server.latencies[kind] = known
	return known
}

func (server *server) observeLatency(kind string, sample time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.latencyOfKind(kind).add(sample)
}

// patience returns how long a request may be outstanding with nothing read before its connection is suspect.
func (server *server) patience(subRequest *SubRequest) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.latencyOfKind(subRequest.Kind).patience(time.Until(subRequest.Deadline))
}
