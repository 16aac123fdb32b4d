package swgateway

import (
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swshare"
)

// maxWaiting bounds the requests that wait for one service: more than a VM serves of a service within the time that clients wait. It also bounds
// what one comparison with all of them costs.
const maxWaiting = 1024

// turns lets one of the requests that wait for a service check for capacity at a time, in the order of their claims.
type turns struct {
	ledger *swshare.Ledger[string]

	mutex sync.Mutex
	// holder has the turn, if any; waiting are the others.
	holder   *ticket
	waiting  []*ticket
	sequence uint64
}

// ticket is a waiting request.
type ticket struct {
	claim swshare.Claim[string]
	// turn receives true when the request gets its turn, and false when it must leave because too many requests wait that go before it.
	turn chan bool
}

// join adds a request to those that wait. If there are too many, the one that goes last leaves.
func (turns *turns) join(now time.Time, claim swshare.Claim[string]) *ticket {
	turns.mutex.Lock()
	defer turns.mutex.Unlock()
	turns.sequence++
	claim.Sequence = turns.sequence
	ticket := &ticket{claim: claim, turn: make(chan bool, 1)}
	turns.waiting = append(turns.waiting, ticket)
	if len(turns.waiting) > maxWaiting {
		turns.dropLast(now)
	}
	if turns.holder == nil {
		turns.next(now)
	}
	return ticket
}

// dropLast removes the waiting request that goes last. The caller holds the mutex.
func (turns *turns) dropLast(now time.Time) {
	last := 0
	for i, ticket := range turns.waiting {
		if turns.ledger.Before(now, turns.waiting[last].claim, ticket.claim) {
			last = i
		}
	}
	turns.waiting[last].turn <- false
	turns.waiting = slices.Delete(turns.waiting, last, last+1)
}

// next gives the turn to the request that goes first. The caller holds the mutex.
func (turns *turns) next(now time.Time) {
	turns.holder = nil
	first := -1
	for i, ticket := range turns.waiting {
		if first < 0 || turns.ledger.Before(now, ticket.claim, turns.waiting[first].claim) {
			first = i
		}
	}
	if first >= 0 {
		turns.holder = turns.waiting[first]
		turns.waiting = slices.Delete(turns.waiting, first, first+1)
		turns.holder.turn <- true
	}
}

// pass ends the turn of a request that no longer waits.
func (turns *turns) pass(now time.Time) {
	turns.mutex.Lock()
	defer turns.mutex.Unlock()
	turns.next(now)
}

// yield gives the turn to a request that goes before that of the holder, and reports whether there is one. The holder then waits again.
func (turns *turns) yield(now time.Time, holder *ticket) bool {
	turns.mutex.Lock()
	defer turns.mutex.Unlock()
	if !slices.ContainsFunc(turns.waiting, func(ticket *ticket) bool { return turns.ledger.Before(now, ticket.claim, holder.claim) }) {
		return false
	}
	turns.waiting = append(turns.waiting, holder)
	turns.next(now)
	return true
}

// leave removes a request that gives up, and passes on its turn if it has just got it.
func (turns *turns) leave(now time.Time, leaving *ticket) {
	turns.mutex.Lock()
	defer turns.mutex.Unlock()
	if turns.holder == leaving {
		turns.next(now)
		return
	}
	turns.waiting = slices.DeleteFunc(turns.waiting, func(ticket *ticket) bool { return ticket == leaving })
}

// compare counts the requests that a new one with the claim would go before, and those of other tenants that it would go after.
func (turns *turns) compare(now time.Time, claim swshare.Claim[string]) (behind, othersAhead int) {
	turns.mutex.Lock()
	defer turns.mutex.Unlock()
	claim.Sequence = turns.sequence + 1
	count := func(other *ticket) {
		switch {
		case turns.ledger.Before(now, claim, other.claim):
			behind++
		case other.claim.Class.Holder != claim.Class.Holder:
			othersAhead++
		}
	}
	if turns.holder != nil {
		count(turns.holder)
	}
	for _, ticket := range turns.waiting {
		count(ticket)
	}
	return behind, othersAhead
}
