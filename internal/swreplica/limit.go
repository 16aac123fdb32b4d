package swreplica

import "time"

const (
	// reservedFraction is the fraction of a replica's connection limit that all VMs together leave unused. When VMs lose power,
	// the replica counts their connections for some seconds more, and the new ones must fit within the limit too.
	reservedFraction = 0.5
	// sameDataCentreFraction is the fraction of the rest that the VMs in the replica's own data centre share, since they send
	// nearly all requests.
	sameDataCentreFraction = 0.6
	// defaultConnectionLimit is the number of connections to a replica whose limit is unknown.
	defaultConnectionLimit = 4
	// minSameDataCentreLimit is the minimum for a VM in the replica's data centre: one connection in use and one spare.
	minSameDataCentreLimit = 2
	// raiseInterval is the minimum time between two increases of the limit.
	raiseInterval = 300 * time.Millisecond
	// lowerCooldown is the time after a reduction within which the limit is neither raised nor lowered again. Replicas reset
	// several connections at once, which must count as one reduction.
	lowerCooldown = 2 * time.Second
)

// VMCounts holds how many VMs send requests to a replica.
type VMCounts struct {
	// SameDataCentre is the number of VMs in the replica's data centre, Total the number of all VMs.
	SameDataCentre int
	Total          int
}

// baseLimit returns how many connections this VM may hold to a replica that accepts maxConnections from all VMs.
func baseLimit(maxConnections int, distance Distance, vmCounts VMCounts) int {
	if maxConnections <= 0 {
		return defaultConnectionLimit
	}
	usable := (1 - reservedFraction) * float64(maxConnections)
	if distance == SameDataCentre {
		return max(minSameDataCentreLimit, int(sameDataCentreFraction*usable/float64(max(1, vmCounts.SameDataCentre))+0.5))
	}
	return max(1, int((1-sameDataCentreFraction)*usable/float64(max(1, vmCounts.Total-vmCounts.SameDataCentre))))
}

// connectionLimit adapts the limit of this VM from its base. VMs do not know about each other's connections, so each adds one at
// a time while it has too few, and halves the limit when the replica resets a new connection.
type connectionLimit struct {
	extra     int
	raisedAt  time.Time
	loweredAt time.Time
}

// current returns the adapted limit for a base.
func (connectionLimit *connectionLimit) current(base int) int {
	return max(1, base+connectionLimit.extra)
}

// onExhausted is called when a request found all connections within the limit in use.
func (connectionLimit *connectionLimit) onExhausted(now time.Time, base int) {
	if now.Sub(connectionLimit.raisedAt) < raiseInterval || now.Sub(connectionLimit.loweredAt) < lowerCooldown {
		return
	}
	if connectionLimit.extra >= base {
		return
	}
	connectionLimit.raisedAt = now
	connectionLimit.extra++
}

// onReset is called when the replica reset a connection on which it had never answered.
func (connectionLimit *connectionLimit) onReset(now time.Time, base int) {
	if now.Sub(connectionLimit.loweredAt) < lowerCooldown {
		return
	}
	connectionLimit.loweredAt = now
	connectionLimit.extra = max(1, connectionLimit.current(base)/2) - base
}
