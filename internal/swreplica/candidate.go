package swreplica

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swobservation"
)

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
	// InFlight is the number of this VM's requests in flight at the replica, and PlainInFlight that of the plain ones among them.
	// Slots is the number of requests that the replica runs at once.
	InFlight      int
	PlainInFlight int
	Slots         int
	// OldestWait is how long the oldest of these requests has been in flight.
	OldestWait time.Duration
	// Unreachable is set when the latest attempts to connect failed or got no answer.
	Unreachable bool
	// RecentlyRejected is set when the replica has rejected work a short time ago, and for longer the more it rejected in a row. RejectsFor
	// is how much longer its last rejection alone shows that it is full.
	RecentlyRejected bool
	RejectsFor       time.Duration
	// FailureRate is the fraction of attempts that the replica rejects or fails, from 0 to 1.
	FailureRate float64
	// InFlightLimit is the number of this VM's requests that the replica recently accepted at once; zero if it has not rejected any.
	InFlightLimit float64
	// RateWait is how long this VM's share of the rate that the replica takes is used up; zero if it is not.
	RateWait time.Duration
	// LoadChange is the load that the replica reported last, as a multiple of that in its latest reports. LoadWeight is how much that counts,
	// from 0 to 1.
	LoadChange float64
	LoadWeight float64
	// WarmingUp is set while the replica is cold, such as for some time after it has started. ColdWait is how long this VM must not send it a
	// request for that; zero if it may.
	WarmingUp bool
	ColdWait  time.Duration
	Distance  Distance
	// Withheld is the fraction of its usual share that the replica must not get yet after an evacuation of its data centre.
	Withheld float64
	// Priced is set if Price, what the bytes of the request and its answer are worth in waiting time, replaces the fixed penalty of the
	// distance.
	Priced bool
	Price  time.Duration
	// Shared is what all VMs together have observed of the replica.
	Shared swobservation.Estimate
}

// Cost estimates the time to an answer of a request sent now, plus penalties for distance and for likely failure. Single replicas
// stall for hundreds of milliseconds while the others are idle. As soon as the oldest request in flight waits longer than usual,
// it distinguishes a replica that stalls from one that is merely busy.
func (candidate *Candidate) Cost() time.Duration {
	expected := candidate.withReportedLoad(candidate.Latency)
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
	expected += candidate.failureCost() + candidate.sharedSlownessCost()
	if candidate.Unreachable {
		expected += unreachablePenalty
	}
	return expected + candidate.distanceCost()
}

// LikelyRejects reports whether other replicas are to be preferred because this one would probably reject a request sent now: it has as
// many of this VM's requests as it accepts, its rate is used up, it is cold, or it has just rejected one while it had none from this VM.
func (candidate *Candidate) LikelyRejects() bool {
	return candidate.exceedsLimit(candidate.InFlight) || candidate.RateWait > 0 || candidate.ColdWait > 0 || candidate.RecentlyRejected && candidate.InFlight == 0
}

// exceedsLimit reports whether one more request beside inFlight ones exceeds the in-flight limit.
func (candidate *Candidate) exceedsLimit(inFlight int) bool {
	return candidate.InFlightLimit > 0 && float64(inFlight+1) > candidate.InFlightLimit
}

// Obstacle is why a plain request is not sent to a replica now.
type Obstacle string

// Obstacles to a plain request.
const (
	ObstacleNone Obstacle = "None"
	// ObstacleInFlight is that the replica has as many of this VM's plain requests in flight as it accepts.
	ObstacleInFlight Obstacle = "InFlight"
	// ObstacleRate is that this VM's share of the rate that the replica takes is used up.
	ObstacleRate Obstacle = "Rate"
	// ObstacleCold is that the replica is cold and that this VM holds nothing of what it takes then.
	ObstacleCold Obstacle = "Cold"
	// ObstacleOthers is that the replica has just rejected a request while it had none from this VM, so that others keep it full.
	ObstacleOthers Obstacle = "Others"
)

// Obstacle returns the first obstacle to a plain request that is sent now, or ObstacleNone. Unlike in LikelyRejects, which only ranks
// replicas, parts of searches in flight do not count: they are sent whatever their number, and would keep plain requests out. A
// replica that has rejected several requests in a row is asked again as soon as after one, since it may do so at random.
func (candidate *Candidate) Obstacle() Obstacle {
	switch {
	case candidate.exceedsLimit(candidate.PlainInFlight):
		return ObstacleInFlight
	case candidate.RateWait > 0:
		return ObstacleRate
	case candidate.ColdWait > 0:
		return ObstacleCold
	case candidate.RejectsFor > 0 && candidate.InFlight == 0:
		return ObstacleOthers
	}
	return ObstacleNone
}

// ObstacleWait estimates how long the obstacle to a plain request lasts; zero if there is none.
func (candidate *Candidate) ObstacleWait() time.Duration {
	switch candidate.Obstacle() {
	case ObstacleInFlight:
		return max(0, candidate.Latency-candidate.OldestWait)
	case ObstacleRate:
		return candidate.RateWait
	case ObstacleCold:
		return candidate.ColdWait
	case ObstacleOthers:
		return candidate.RejectsFor
	}
	return 0
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
