package swreplica

import "time"

const (
	// calmFactor is the largest ratio of a replica's average latency, and of the age of its oldest request in flight, to the latency of an
	// answer without a queue at which the replica is taken to have none. Latencies that vary by a third of their mean seldom average more.
	calmFactor = 1.5
	// calmDuration is how long an answer shows that the replica had no queue. Bursts fill a queue within tenths of a second.
	calmDuration = time.Second
)

// rejectsAtRandom reports whether a rejection that has just arrived says nothing about the replica's load: the attempt before was answered
// a short time ago, as fast as without a queue, and this VM has less than its even share of the slots in use. Two rejections in a row are taken to be
// caused by load, since a replica with few slots and no queue answers fast until it is full. The caller holds the mutex.
func (replica *Replica) rejectsAtRandom(now time.Time, evenShare float64) bool {
	if !replica.pool.config.TellsRandomRejections || replica.consecutiveRejections > 0 || replica.observedAt.IsZero() {
		return false
	}
	calm := time.Duration(calmFactor * float64(replica.latencyFloor))
	if now.Sub(replica.observedAt) > calmDuration || replica.averageLatency > calm || float64(len(replica.inFlight)) >= max(1, evenShare) {
		return false
	}
	for inFlightRequest := range replica.inFlight {
		if now.Sub(inFlightRequest.sentAt) > calm {
			return false
		}
	}
	return true
}
