package swreplica

import "time"

// Distance is the network distance between this VM and a replica.
type Distance int

// Distances, from near to far.
const (
	// SameDataCentre replicas are less than a millisecond away.
	SameDataCentre Distance = 0
	// SameRegion replicas are in another data centre of the region.
	SameRegion Distance = 1
	// OtherRegion replicas are a long round trip away, over links whose traffic is billed.
	OtherRegion Distance = 2
)

// String returns Near, Region or Far.
func (distance Distance) String() string {
	return [...]string{"Near", "Region", "Far"}[distance]
}

const (
	// otherRegionPenalty is added to the expected latency of a replica in another region. Traffic between regions is billed, so
	// such a replica is worth using only when the near ones are much slower than usual.
	otherRegionPenalty = 20 * time.Millisecond
	// sameRegionPenalty is the same for a replica in another data centre of the region.
	sameRegionPenalty = 2 * time.Millisecond
	// unreachablePenalty ranks replicas that do not answer behind all others.
	unreachablePenalty = 10 * time.Second
	// recentRejectionPenalty ranks replicas that have just rejected work behind those of other regions.
	recentRejectionPenalty = 150 * time.Millisecond
	// failurePenalty is the cost of an attempt that is certain to be rejected: the shard's part of the answer is lost unless the
	// budget grants another attempt.
	failurePenalty = 400 * time.Millisecond
	// warmUpFactor multiplies the expected latency of a replica that is warming up.
	warmUpFactor = 1.6
)

// Candidate describes a replica at the moment at which a request chooses one.
type Candidate struct {
	// Latency is the expected latency of the replica, including its queue. ServiceLatency is the usual latency of its whole
	// service.
	Latency        time.Duration
	ServiceLatency time.Duration
	// InFlight is the number of this VM's requests in flight at the replica. Slots is the number of requests that the replica
	// runs at once.
	InFlight int
	Slots    int
	// OldestWait is how long the oldest of these requests has been in flight.
	OldestWait time.Duration
	// Unreachable is set when the latest attempts to connect failed or got no answer.
	Unreachable bool
	// RecentlyRejected is set when the replica has just rejected work.
	RecentlyRejected bool
	// FailureRate is the fraction of attempts that the replica rejects or fails, from 0 to 1.
	FailureRate float64
	// AtLimit is set when the replica has as many of this VM's requests in flight as it recently accepted at once.
	AtLimit bool
	// RateLimited is set while this VM's share of the rate that the replica takes is used up.
	RateLimited bool
	// WarmingUp is set for some time after the replica has started.
	WarmingUp bool
	Distance  Distance
}

// Cost estimates the time to an answer of a request sent now, plus penalties for distance and for likely failure. Single replicas
// stall for hundreds of milliseconds while the others are idle. As soon as the oldest request in flight waits longer than usual,
// it distinguishes a replica that stalls from one that is merely busy.
func (candidate *Candidate) Cost() time.Duration {
	expected := candidate.Latency
	if candidate.WarmingUp {
		expected = time.Duration(warmUpFactor * float64(expected))
	}
	expected += expected * time.Duration(candidate.InFlight) / time.Duration(max(1, candidate.Slots))
	if excess := candidate.OldestWait - 2*candidate.Latency; excess > 0 {
		// A stall that has already lasted for some time is expected to last as long again.
		expected += candidate.OldestWait + excess
	}
	if candidate.LikelyRejects() {
		expected += recentRejectionPenalty
	}
	expected += time.Duration(candidate.FailureRate * candidate.unexplainedFraction() * float64(failurePenalty))
	if candidate.Unreachable {
		expected += unreachablePenalty
	}
	switch candidate.Distance {
	case SameRegion:
		expected += sameRegionPenalty
	case OtherRegion:
		expected += otherRegionPenalty
	}
	return expected
}

// LikelyRejects reports whether a request sent now would probably be rejected.
func (candidate *Candidate) LikelyRejects() bool {
	return candidate.Obstacle() != ObstacleNone
}

// Obstacle is why a request sent now would probably be rejected.
type Obstacle string

// Obstacles to a request.
const (
	ObstacleNone Obstacle = "None"
	// ObstacleInFlight is that the replica has as many of this VM's requests in flight as it accepts.
	ObstacleInFlight Obstacle = "InFlight"
	// ObstacleRate is that this VM's share of the rate that the replica takes is used up.
	ObstacleRate Obstacle = "Rate"
	// ObstacleOthers is that the replica has just rejected a request while it had none from this VM, so that others keep it full.
	ObstacleOthers Obstacle = "Others"
)

// Obstacle returns the first obstacle to a request that is sent now, or ObstacleNone.
func (candidate *Candidate) Obstacle() Obstacle {
	switch {
	case candidate.AtLimit:
		return ObstacleInFlight
	case candidate.RateLimited:
		return ObstacleRate
	case candidate.RecentlyRejected && candidate.InFlight == 0:
		return ObstacleOthers
	}
	return ObstacleNone
}

// unexplainedFraction returns the fraction of the replica's rejections that its load does not explain. A replica with a full
// queue answers slowly, which its latency already accounts for. Avoiding it further would only move its load to the next replica.
// A replica that rejects although it answers fast will keep rejecting.
func (candidate *Candidate) unexplainedFraction() float64 {
	if candidate.Latency <= candidate.ServiceLatency || candidate.ServiceLatency <= 0 {
		return 1
	}
	slower := float64(candidate.ServiceLatency) / float64(candidate.Latency)
	return slower * slower
}
