package swreplica

import "time"

const (
	// firstLimit is the number of connections to a replica before anything is learned: one for each of the usual slots, and
	// one beside them for hedges.
	firstLimit = 3
	// raiseEvery is how long a limit must have been enough for all before it rises by one.
	raiseEvery = 2 * time.Second
	// lowerEvery is the least time between two reductions, since several connections are reset together.
	lowerEvery = 500 * time.Millisecond
)

// connectionLimit learns how many connections to one replica this VM may hold. All VMs share what the replica accepts and
// do not know of each other's, so each raises its limit slowly while it is short of connections, and halves it when the
// replica resets a new one.
type connectionLimit struct {
	value   int
	raised  time.Time
	lowered time.Time
}

// current returns the limit; most is what the replica accepts from all callers, or zero.
func (limit *connectionLimit) current(most int) int {
	if limit.value == 0 {
		limit.value = firstLimit
	}
	if most > 0 {
		return min(limit.value, most)
	}
	return limit.value
}

// short notes that a request found no connection within the limit.
func (limit *connectionLimit) short(now time.Time, most int) {
	if now.Sub(limit.raised) < raiseEvery || now.Sub(limit.lowered) < raiseEvery {
		return
	}
	limit.raised = now
	limit.value = limit.current(0) + 1
	if most > 0 {
		limit.value = min(limit.value, max(1, most/2))
	}
}

// reset notes that the replica reset a connection that it had never answered on.
func (limit *connectionLimit) reset(now time.Time) {
	if now.Sub(limit.lowered) < lowerEvery {
		return
	}
	limit.lowered = now
	limit.value = max(1, limit.current(0)/2)
}
