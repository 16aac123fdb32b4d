package swbackend

import "time"

const (
	// latencyGain is the weight of a new observation in the mean.
	latencyGain = 0.125
	// deviationGain is the weight of a new observation in the mean deviation.
	deviationGain = 0.25
	// patienceDeviations is the number of mean deviations above the mean after which silence is suspect.
	patienceDeviations = 8
	// leastPatience is the shortest silence that is suspect.
	leastPatience = 10 * time.Millisecond
	// latencySamples is the number of observations after which a server's own latency is used.
	latencySamples = 8
	// unknownPatience is the inverse of the part of the remaining time after which silence is suspect when the
	// latency is unknown.
	unknownPatience = 3
)

// latency follows the time between sending a request and its answer.
type latency struct {
	samples   int
	mean      time.Duration
	deviation time.Duration
}

func (latency *latency) add(sample time.Duration) {
	latency.samples++
	if latency.samples == 1 {
		latency.mean, latency.deviation = sample, sample/2
		return
	}
	difference := sample - latency.mean
	latency.mean += time.Duration(latencyGain * float64(difference))
	latency.deviation += time.Duration(deviationGain * float64(max(difference, -difference)-latency.deviation))
}

// patience returns the silence that is unusual for the server.
func (latency *latency) patience() time.Duration {
	return max(leastPatience, latency.mean+patienceDeviations*latency.deviation)
}

func (server *server) latencyOf(sample time.Duration) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.latency.add(sample)
}

// patience returns how long a request may be outstanding with nothing read before its connection is suspect.
func (server *server) patience(deadline time.Time) time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.latency.samples >= latencySamples {
		return server.latency.patience()
	}
	if deadline.IsZero() {
		return dialTimeout
	}
	return max(leastPatience, time.Until(deadline)/unknownPatience)
}
