// Package swshare decides which work goes first, and how much of it is admitted, when there is too little capacity for all. The work of a
// more urgent priority goes first. Within a priority, the holders of the work, such as tenants, get equal shares: a holder that asks for more
// than its share gets what the others leave.
package swshare

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// halfLife is the time after which work counts half. A holder is behind others for a few seconds after a burst, which is the length of the
	// bursts that the shares are meant for; a VM gets about one request a second of a large holder.
	halfLife = 4 * time.Second
	// floor is the least fraction at which the work of any holder is served, as a multiple of the fraction of all work. The operator's rule is
	// a quarter; the rest is for chance.
	floor = 0.3
	// maxAccounts bounds the accounts of a Ledger: more holders than have work at one VM within a few half-lives.
	maxAccounts = 1024
)

// Class is a set of work that is treated alike: that of one holder with the same priority. Zero is the most urgent priority.
type Class[Key comparable] struct {
	Priority int
	Holder   Key
}

// Claim is what the order of a piece of work depends on.
type Claim[Key comparable] struct {
	Class Class[Key]
	// Guaranteed work goes before all other work; see Ledger.Guarantees.
	Guaranteed bool
	// Deadline orders the work of classes that have received the same; the zero time is the last.
	Deadline time.Time
	// Sequence orders what is equal otherwise.
	Sequence uint64
}

// Ledger holds how much work the classes have offered and received in the last seconds. It is safe for concurrent use.
type Ledger[Key comparable] struct {
	mutex    sync.Mutex
	accounts map[Class[Key]]*account
	total    account
}

// account holds decaying sums of work, in seconds, as of countedAt.
type account struct {
	offered, received float64
	countedAt         time.Time
}

// advance lets the sums decay.
func (account *account) advance(now time.Time) {
	if elapsed := now.Sub(account.countedAt); elapsed > 0 {
		kept := math.Exp2(-float64(elapsed) / float64(halfLife))
		account.offered *= kept
		account.received *= kept
		account.countedAt = now
	}
}

// NewLedger returns a ledger without accounts.
func NewLedger[Key comparable]() *Ledger[Key] {
	return &Ledger[Key]{accounts: make(map[Class[Key]]*account)}
}

// Offer counts work that has arrived, whether it is served or not.
func (ledger *Ledger[Key]) Offer(now time.Time, class Class[Key], work time.Duration) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, account := range []*account{ledger.open(now, class), &ledger.total} {
		account.advance(now)
		account.offered += work.Seconds()
	}
}

// Serve counts offered work that begins to be served.
func (ledger *Ledger[Key]) Serve(now time.Time, class Class[Key], work time.Duration) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, account := range []*account{ledger.open(now, class), &ledger.total} {
		account.advance(now)
		account.received += work.Seconds()
	}
}

// open returns the account of a class. It closes the one with the least work if there are too many. The caller holds the mutex.
func (ledger *Ledger[Key]) open(now time.Time, class Class[Key]) *account {
	if held, ok := ledger.accounts[class]; ok {
		return held
	}
	if len(ledger.accounts) >= maxAccounts {
		var smallest Class[Key]
		least := math.Inf(1)
		for other, account := range ledger.accounts {
			account.advance(now)
			if account.offered < least {
				smallest, least = other, account.offered
			}
		}
		delete(ledger.accounts, smallest)
	}
	opened := &account{countedAt: now}
	ledger.accounts[class] = opened
	return opened
}

// Before reports whether the work of one claim goes before that of the other: guaranteed work first, then by priority, then the class that
// has received the least, then the earlier deadline.
func (ledger *Ledger[Key]) Before(now time.Time, a, b Claim[Key]) bool {
	if a.Guaranteed != b.Guaranteed {
		return a.Guaranteed
	}
	if !a.Guaranteed {
		if a.Class.Priority != b.Class.Priority {
			return a.Class.Priority < b.Class.Priority
		}
		if a.Class != b.Class {
			if order := cmp.Compare(ledger.received(now, a.Class), ledger.received(now, b.Class)); order != 0 {
				return order < 0
			}
		}
	}
	if !a.Deadline.Equal(b.Deadline) {
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return a.Sequence < b.Sequence
}

// received returns the work in seconds that a class has received.
func (ledger *Ledger[Key]) received(now time.Time, class Class[Key]) float64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	account, ok := ledger.accounts[class]
	if !ok {
		return 0
	}
	account.advance(now)
	return account.received
}

// Guarantees reports whether a piece of work is among those that are served whatever its class: a fraction of all work, chosen at random, so
// that no class is left without any, however little of it arrives here. draw is a uniform random number from 0 to 1.
func (ledger *Ledger[Key]) Guarantees(now time.Time, draw float64) bool {
	return draw < floor*ledger.servedFraction(now)
}

// WithinShare reports whether a class offers no more than the share that it would get of what is served now.
func (ledger *Ledger[Key]) WithinShare(now time.Time, class Class[Key]) bool {
	return ledger.AdmittedFraction(now, class, ledger.servedFraction(now)) >= 1
}

// servedFraction returns the fraction of all work that is served.
func (ledger *Ledger[Key]) servedFraction(now time.Time) float64 {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.total.advance(now)
	if ledger.total.offered <= 0 {
		return 1
	}
	return min(1, ledger.total.received/ledger.total.offered)
}

// AdmittedFraction returns which fraction of a class's work to admit if that fraction of all work can be served. The work of more urgent
// priorities is admitted first. Within the priority that cannot be admitted as a whole, every class is admitted up to the same amount.
func (ledger *Ledger[Key]) AdmittedFraction(now time.Time, class Class[Key], servable float64) float64 {
	if servable >= 1 {
		return 1
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.total.advance(now)
	capacity := servable * ledger.total.offered
	var peers []float64
	own := 0.0
	for other, account := range ledger.accounts {
		account.advance(now)
		switch {
		case other.Priority < class.Priority:
			capacity -= account.offered
		case other.Priority == class.Priority:
			peers = append(peers, account.offered)
		}
		if other == class {
			own = account.offered
		}
	}
	if own <= 0 {
		return 1
	}
	return min(1, max(floor*servable, equalShare(peers, capacity)/own))
}

// equalShare returns the greatest amount up to which every demand can be met with the capacity.
func equalShare(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		share := capacity / float64(len(demands)-i)
		if demand > share {
			return max(0, share)
		}
		capacity -= demand
	}
	return math.Inf(1)
}
