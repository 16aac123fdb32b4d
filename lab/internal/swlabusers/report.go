package swlabusers

import (
	"fmt"
	"net"
	"time"
)

const (
	// reactionTime is how long a VM may take to act on what a replica says about itself in a response.
	reactionTime = 500 * time.Millisecond
	// limitWindow is the period over which requests are counted, once a limit has been named for limitNotice. In each period, a replica
	// may get limitFactor times what its limit allows, and limitExtra requests.
	limitWindow = 4 * time.Second
	limitNotice = 5 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// maxWhileHeld is the number of requests that may reach a replica although it said that it wants none.
	maxWhileHeld = 2
)

// caller is what a replica has said on one connection, which belongs to one process of a VM.
type caller struct {
	conn net.Conn
	// latest is the latest response on the connection, and late the copy of one that is due where the next response is expected.
	latest, late []byte
	toldLeaving  bool
	// limitedSince is when the current limit was first named on the connection; the zero time if none is named.
	limitedSince time.Time
	// heldFrom and heldUntil bound the time in which the caller must send nothing. sentWhileHeld counts what it sent.
	heldFrom, heldUntil time.Time
	sentWhileHeld       int
}

// header returns the header lines that say what the fault and the replica's state ask for, and remembers that the caller was told.
// retryAfter is set for a response that rejects a request.
func (replica *Replica) header(caller *caller, fault *ReplicaFault, retryAfter bool) string {
	now := time.Now()
	lines := ""
	if replica.leaving.Load() {
		lines += "Server-Leaving: 1\r\n"
		caller.toldLeaving = true
	}
	if fault.RateLimit > 0 {
		lines += fmt.Sprintf("Server-Limit: %g\r\n", fault.RateLimit)
		if caller.limitedSince.IsZero() {
			caller.limitedSince = now
		}
	} else {
		caller.limitedSince = time.Time{}
	}
	if retryAfter {
		lines += fmt.Sprintf("Retry-After: %g\r\n", fault.RetryAfter.Seconds())
		caller.heldFrom, caller.heldUntil = now.Add(reactionTime), now.Add(fault.RetryAfter)
		caller.sentWhileHeld = 0
	}
	return lines
}

// checkArrival records a violation if the caller was told not to send the request.
func (replica *Replica) checkArrival(caller *caller, fault *ReplicaFault, id string) {
	now := time.Now()
	if caller.toldLeaving {
		replica.violation("DRAIN: %s got %s on a connection on which it had said that it leaves", id)
	}
	if now.After(caller.heldFrom) && now.Before(caller.heldUntil) {
		if caller.sentWhileHeld++; caller.sentWhileHeld > maxWhileHeld {
			replica.violation("BUDGET: %s got %s although it had said that it wants nothing yet", id)
		}
	}
	if fault.RateLimit > 0 && !caller.limitedSince.IsZero() && now.Sub(caller.limitedSince) > reactionTime {
		replica.countLimited(now, fault.RateLimit, id)
	}
}

// countLimited counts a request of a caller that knows the replica's limit, and records a violation if there were too many.
func (replica *Replica) countLimited(now time.Time, limit float64, id string) {
	replica.mutex.Lock()
	if now.Sub(replica.limitedSince) < limitNotice+limitWindow {
		replica.mutex.Unlock()
		return
	}
	for len(replica.limitedArrivals) > 0 && now.Sub(replica.limitedArrivals[0]) > limitWindow {
		replica.limitedArrivals = replica.limitedArrivals[1:]
	}
	replica.limitedArrivals = append(replica.limitedArrivals, now)
	count := len(replica.limitedArrivals)
	replica.mutex.Unlock()
	if float64(count) > limitFactor*limit*limitWindow.Seconds()+limitExtra {
		replica.violation("LIMIT: %s got too many requests for its limit, the last one is %s", id)
	}
}

// violation adds a violation to the journal. format takes the replica's ID and the request's.
func (replica *Replica) violation(format, requestID string) {
	replica.config.Journal.addViolation(fmt.Sprintf(format, replica.config.ID, requestID))
}

// Leave makes the replica say in all its responses that it leaves.
func (replica *Replica) Leave() {
	replica.leaving.Store(true)
}
