package swreplica

import "time"

// Distance is how far a replica is from this VM.
type Distance int

// The distances.
const (
	// SameDataCentre replicas are a fraction of a millisecond away.
	SameDataCentre Distance = 0
	// SameRegion replicas are in another data centre of the region.
	SameRegion Distance = 1
	// OtherRegion replicas cost a long round trip and traffic that is paid for.
	OtherRegion Distance = 2
)

// String returns Near, Region or Far.
func (distance Distance) String() string {
	return [...]string{"Near", "Region", "Far"}[distance]
}

const (
	// regionPenalty is what an exchange with another region counts beyond its measured latency: its traffic is dear, so that a
	// replica there is worth it only when the near ones are far slower than usual.
	regionPenalty = 20 * time.Millisecond
	// dataCentrePenalty is the same for another data centre of the region.
	dataCentrePenalty = 2 * time.Millisecond
	// unreachablePenalty puts replicas that do not answer behind all others.
	unreachablePenalty = 10 * time.Second
	// shedPenalty puts replicas that rejected work a moment ago behind those of other regions.
	shedPenalty = 150 * time.Millisecond
	// rejectPenalty is what a certain rejection counts: the part is lost unless the budget grants another attempt.
	rejectPenalty = 400 * time.Millisecond
	// coldFactor is how much slower a replica that warms up counts.
	coldFactor = 1.6
)

// Prospect is what is known of a replica when a request looks for one.
type Candidate struct {
	// Typical is how long an answer of the replica takes, queueing there included, Usual the same over its whole service.
	Latency        time.Duration
	ServiceLatency time.Duration
	// Busy is the number of this VM's requests that the replica works on, Slots what it works on at once.
	InFlight int
	Slots    int
	// Silence is how long the oldest of these requests has waited for its answer.
	OldestWait time.Duration
	// Unreachable replicas refused or did not answer the last attempts.
	Unreachable bool
	// Shedding replicas rejected work a moment ago.
	RecentlyRejected bool
	// Rejects is the share of attempts that the replica rejects or fails, from 0 to 1.
	FailureRate float64
	// Full replicas work on as many of this VM's requests as they last took beside each other.
	AtLimit bool
	// Cold replicas warm up.
	WarmingUp bool
	Distance  Distance
}

// Expect estimates when a request sent now would be answered, with what the way costs. It answers the load in which single
// replicas stand still for some hundred milliseconds while the others are idle: the oldest request in flight tells a
// replica that stands still from one that is merely busy, as soon as it waits longer than is usual.
func (candidate *Candidate) Cost() time.Duration {
	expected := candidate.Latency
	if candidate.WarmingUp {
		expected = time.Duration(coldFactor * float64(expected))
	}
	expected += expected * time.Duration(candidate.InFlight) / time.Duration(max(1, candidate.Slots))
	if late := candidate.OldestWait - 2*candidate.Latency; late > 0 {
		// What has been silent for long will on average be silent for as long again.
		expected += candidate.OldestWait + late
	}
	if candidate.LikelyRejects() {
		expected += shedPenalty
	}
	expected += time.Duration(candidate.FailureRate * candidate.unexplained() * float64(rejectPenalty))
	if candidate.Unreachable {
		expected += unreachablePenalty
	}
	switch candidate.Distance {
	case SameRegion:
		expected += dataCentrePenalty
	case OtherRegion:
		expected += regionPenalty
	}
	return expected
}

// Rejecting reports whether a request sent now would likely be rejected: the replica has as many of this VM's as it takes, or
// rejected one a moment ago while it had none, because others fill it.
func (candidate *Candidate) LikelyRejects() bool {
	return candidate.AtLimit || candidate.RecentlyRejected && candidate.InFlight == 0
}

// unexplained returns the part of the replica's rejections that its load does not explain. A replica with a full queue
// answers slowly, which its latency tells already, and to shun it besides would send its load to the next one; one that
// rejects although it answers fast will go on to do so.
func (candidate *Candidate) unexplained() float64 {
	if candidate.Latency <= candidate.ServiceLatency || candidate.ServiceLatency <= 0 {
		return 1
	}
	slower := float64(candidate.ServiceLatency) / float64(candidate.Latency)
	return slower * slower
}
