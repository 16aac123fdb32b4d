package swreplica

import "time"

const (
	// sameRegionPath and otherRegionPath are usual round trips to other data centres of the region and to other regions. A replica to which
	// this VM has sent nothing for a while is not taken to be nearer.
	sameRegionPath  = 4 * time.Millisecond
	otherRegionPath = 32 * time.Millisecond
	// suspectCost is the cost of likely failures from which a replica is not what its place offers: that of the distance to another region.
	suspectCost = otherRegionPenalty
)

// distanceCost returns the cost of a replica's distance beyond the latency that was observed of it.
func (candidate *Candidate) distanceCost() time.Duration {
	fixed, path := time.Duration(0), time.Duration(0)
	switch candidate.Distance {
	case SameRegion:
		fixed, path = sameRegionPenalty, sameRegionPath
	case OtherRegion:
		fixed, path = otherRegionPenalty, otherRegionPath
	}
	if !candidate.Priced {
		return fixed
	}
	return candidate.Price + max(0, candidate.ServiceLatency+path-candidate.Latency)
}

// Suspect reports whether the replica cannot be reached or is likely to reject or lose a request, whatever its queue.
func (candidate *Candidate) Suspect() bool {
	return candidate.Unreachable || candidate.LikelyRejects() || candidate.failureCost() >= suspectCost
}
