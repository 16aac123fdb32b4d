// Package swobservation combines what the VMs have observed of replicas. One VM sends few requests to each replica and needs seconds to tell
// a replica that loses answers from one bad moment; all VMs together need a fraction of a second.
//
// VMs exchange counts of attempts and their outcomes, not conclusions, and only for replicas at which something unusual was seen. The
// package does no I/O and receives the time as an argument; swexchange sends and receives the reports.
package swobservation

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is how an attempt at a replica ended.
type Outcome int

// The outcomes of attempts.
const (
	// Answered is an answer in the usual time.
	Answered Outcome = iota
	// AnsweredSlowly is an answer that took much longer than is usual at the service.
	AnsweredSlowly
	// Lost is an attempt that was sent and got no answer, or one that says that the replica failed.
	Lost
	// Rejected is a response that says that the request has not run.
	Rejected
)

// Key identifies a replica in reports: the lower 48 bits of the hash of its ID. Among 10,000 replicas two share a key with a probability
// of 2 in 10 million; they would then share an estimate, which is only a preference.
type Key uint64

// keyBits is the number of bits of a Key.
const keyBits = 48

// KeyOf returns the key of the replica with an ID.
func KeyOf(replica string) Key {
	return Key(xxhash.Sum64String(replica) & (1<<keyBits - 1))
}

// Counts counts attempts and those among them that ended unusually. Counts decay with time, so that they need not be integers.
type Counts struct {
	Attempts float64
	Lost     float64
	Rejected float64
	Slow     float64
}

// unusual returns the number of attempts that did not end as usual.
func (counts Counts) unusual() float64 {
	return counts.Lost + counts.Rejected + counts.Slow
}

func (counts Counts) plus(other Counts) Counts {
	return Counts{
		Attempts: counts.Attempts + other.Attempts, Lost: counts.Lost + other.Lost,
		Rejected: counts.Rejected + other.Rejected, Slow: counts.Slow + other.Slow,
	}
}

func (counts Counts) times(factor float64) Counts {
	return Counts{
		Attempts: factor * counts.Attempts, Lost: factor * counts.Lost, Rejected: factor * counts.Rejected, Slow: factor * counts.Slow,
	}
}

// atMost scales the counts down to a number of attempts.
func (counts Counts) atMost(attempts float64) Counts {
	if counts.Attempts <= attempts {
		return counts
	}
	return counts.times(attempts / counts.Attempts)
}

// withUnusualAtMost leaves out unusual attempts beyond a number.
func (counts Counts) withUnusualAtMost(most float64) Counts {
	excess := counts.unusual() - most
	if excess <= 0 {
		return counts
	}
	kept := most / counts.unusual()
	return Counts{Attempts: counts.Attempts - excess, Lost: kept * counts.Lost, Rejected: kept * counts.Rejected, Slow: kept * counts.Slow}
}

// isPlausible reports whether the counts can describe attempts. Others are dropped when a report is received.
func (counts Counts) isPlausible() bool {
	for _, count := range []float64{counts.Attempts, counts.Lost, counts.Rejected, counts.Slow} {
		if math.IsNaN(count) || count < 0 {
			return false
		}
	}
	return counts.Attempts > 0 && counts.unusual() <= counts.Attempts+countUnit
}

// add counts one attempt.
func (counts *Counts) add(outcome Outcome) {
	counts.Attempts++
	switch outcome {
	case AnsweredSlowly:
		counts.Slow++
	case Lost:
		counts.Lost++
	case Rejected:
		counts.Rejected++
	}
}

// halfLife is the time in which a count loses half of its weight. Loss is known after a quarter of a second and half of an episode of
// seconds must not be spent on returning to replicas that still lose answers.
const halfLife = time.Second

// decay returns the weight of a count of some age.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// agedCounts are counts as of a time.
type agedCounts struct {
	Counts
	at time.Time
}

// as returns the counts decayed to a later time.
func (agedCounts *agedCounts) as(now time.Time) Counts {
	return agedCounts.times(decay(now.Sub(agedCounts.at)))
}
