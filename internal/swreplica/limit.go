package swreplica

import "time"

const (
	// reservedPart is the part of what a replica accepts that all VMs together leave free: when VMs lose power, their
	// connections count on at the replica for seconds, and their new ones must fit beside them.
	reservedPart = 0.5
	// nearPart is the part of the rest for the VMs of the replica's own data centre, which send nearly everything.
	nearPart = 0.6
	// unknownLimit is the number of connections to a replica that does not say how many it accepts.
	unknownLimit = 4
	// leastNear is the least number for a VM of the replica's data centre: one that works and one beside it.
	leastNear = 2
	// raiseEvery is how long a VM that is short of connections waits before it takes one more.
	raiseEvery = 300 * time.Millisecond
	// restEvery is how long after a reduction nothing is raised, and the least time between two reductions, since several
	// connections are reset together.
	restEvery = 2 * time.Second
)

// Share tells how many VMs send to a replica.
type VMCounts struct {
	// Near is the number of VMs in the replica's data centre, All that of all VMs.
	SameDataCentre int
	Total          int
}

// baseLimit returns how many connections this VM holds to a replica that accepts most from all VMs.
func baseLimit(most int, distance Distance, vmCounts VMCounts) int {
	if most <= 0 {
		return unknownLimit
	}
	usable := (1 - reservedPart) * float64(most)
	if distance == SameDataCentre {
		return max(leastNear, int(nearPart*usable/float64(max(1, vmCounts.SameDataCentre))+0.5))
	}
	return max(1, int((1-nearPart)*usable/float64(max(1, vmCounts.Total-vmCounts.SameDataCentre))))
}

// connectionLimit learns how far this VM may go from its base: VMs do not know of each other's connections, so each goes up
// one by one while it is short of them, and down by half when the replica resets a new one.
type connectionLimit struct {
	extra   int
	raised  time.Time
	lowered time.Time
}

// current returns the limit at a base.
func (limit *connectionLimit) current(base int) int {
	return max(1, base+limit.extra)
}

// short notes that a request found no connection within the limit.
func (limit *connectionLimit) short(now time.Time, base int) {
	if now.Sub(limit.raised) < raiseEvery || now.Sub(limit.lowered) < restEvery {
		return
	}
	if limit.extra >= base {
		return
	}
	limit.raised = now
	limit.extra++
}

// reset notes that the replica reset a connection that it had never answered on.
func (limit *connectionLimit) reset(now time.Time, base int) {
	if now.Sub(limit.lowered) < restEvery {
		return
	}
	limit.lowered = now
	limit.extra = max(1, limit.current(base)/2) - base
}
