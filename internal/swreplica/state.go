package swreplica

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreach"
)

// State says whether a VM sends requests to a replica, and why not.
type State string

// The states of a replica from the point of view of one VM. A replica in several of them counts for the first one.
const (
	// StateLeaving is that of a replica that leaves, by its entry or by what it said, whose address another replica has taken, or whose
	// entry was removed and is listed again in a former state.
	StateLeaving State = "leaving"
	// StateUnreachable is that of a replica that accepts no connection.
	StateUnreachable State = "unreachable"
	// StateUnreached is that of a replica in a data centre that this VM has lost its links to.
	StateUnreached State = "unreached"
	// StateEvacuated is that of a replica whose data centre the operator has evacuated.
	StateEvacuated State = "evacuated"
	// StateHeldOff is that of a replica that asked this VM to send nothing for a while.
	StateHeldOff State = "held_off"
	// StateRateLimited is that of a replica that limits the rate which it takes from all VMs.
	StateRateLimited State = "rate_limited"
	StateReady       State = "ready"
)

// States lists all states.
var States = []State{StateLeaving, StateEvacuated, StateUnreached, StateUnreachable, StateHeldOff, StateRateLimited, StateReady}

// state returns the replica's state.
func (replica *Replica) state(now time.Time) State {
	if !replica.InUse() {
		return StateLeaving
	}
	if replica.Evacuated() {
		return StateEvacuated
	}
	replica.mutex.Lock()
	down := replica.down
	replica.mutex.Unlock()
	switch {
	case replica.Reach() == swreach.Lost:
		return StateUnreached
	case down:
		return StateUnreachable
	case replica.reports.heldFor(now) > 0:
		return StateHeldOff
	case replica.reports.rateLimiter.isSet():
		return StateRateLimited
	}
	return StateReady
}

// CountByState returns the number of replicas in each state.
func (registry *Registry) CountByState(now time.Time) map[State]int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	counts := make(map[State]int, len(States))
	for _, replica := range registry.byID {
		counts[replica.state(now)]++
	}
	return counts
}
