package swreplica

import "time"

// sharedSlowFactor is how much of the service's usual latency an attempt costs beyond it if all VMs together find the replica slow: such an
// answer takes at least twice as long, and about half as long again is typical.
const sharedSlowFactor = 1.5

// failureCost returns the cost of a rejection or a lost answer, by this VM's own attempts or by those of all VMs, whichever show more. This
// VM's own rate needs many attempts to rise, that of all VMs a fraction of a second.
func (candidate *Candidate) failureCost() time.Duration {
	unexplained := candidate.unexplainedFraction()
	shared := min(1, candidate.Shared.Loss+candidate.Shared.Rejection*unexplained)
	return time.Duration(max(candidate.FailureRate*unexplained, shared) * float64(failurePenalty))
}

// sharedSlownessCost returns the cost of slow answers that all VMs together see.
func (candidate *Candidate) sharedSlownessCost() time.Duration {
	return time.Duration(candidate.Shared.Slowness * sharedSlowFactor * float64(candidate.ServiceLatency))
}
