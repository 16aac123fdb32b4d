package swadmission

import (
	"container/heap"
	"time"
)

// idleCallers is the number of callers without waiting work that a line remembers.
const idleCallers = 64

// savedTurns is the number of turns that a caller without waiting work saves up, so that its bursts seldom wait for a
// caller that floods.
const savedTurns = 4

// line holds the waiting work of one priority: start-time fair queueing between callers, earliest deadline first
// inside a caller.
type line struct {
	callers map[string]*callerLine
	active  []*callerLine
	length  int
	// clock is the latest virtual start time of work that was served.
	clock int64
}

// callerLine holds the waiting work of one caller as a heap by deadline.
type callerLine struct {
	caller  string
	waiters []*waiter
	// start is the virtual time at which the caller's next work is due.
	start int64
}

func (line *line) push(waiter *waiter) {
	caller := line.callers[waiter.work.Caller]
	if caller == nil {
		line.sweep()
		caller = &callerLine{caller: waiter.work.Caller}
		line.callers[waiter.work.Caller] = caller
	}
	if len(caller.waiters) == 0 {
		caller.start = max(caller.start, line.clock-savedTurns)
		line.active = append(line.active, caller)
	}
	heap.Push(caller, waiter)
	line.length++
}

// sweep forgets callers without waiting work whose turn has come up again.
func (line *line) sweep() {
	if len(line.callers) < len(line.active)+idleCallers {
		return
	}
	for name, caller := range line.callers {
		if len(caller.waiters) == 0 {
			delete(line.callers, name)
		}
	}
}

// first returns the work that goes next. The line must not be empty.
func (line *line) first() *waiter {
	best := line.active[0]
	for _, caller := range line.active[1:] {
		if caller.before(best) {
			best = caller
		}
	}
	return best.waiters[0]
}

func (caller *callerLine) before(other *callerLine) bool {
	if caller.start != other.start {
		return caller.start < other.start
	}
	return earlier(caller.waiters[0], other.waiters[0])
}

// served moves the caller's turn behind the other callers'.
func (line *line) served(waiter *waiter) {
	caller := line.callers[waiter.work.Caller]
	line.clock = max(line.clock, caller.start)
	caller.start++
}

func (line *line) remove(waiter *waiter) {
	caller := line.callers[waiter.work.Caller]
	for i, present := range caller.waiters {
		if present == waiter {
			heap.Remove(caller, i)
			break
		}
	}
	line.length--
	if len(caller.waiters) == 0 {
		line.deactivate(caller)
	}
}

func (line *line) deactivate(caller *callerLine) {
	for i, present := range line.active {
		if present == caller {
			last := len(line.active) - 1
			line.active[i] = line.active[last]
			line.active[last] = nil
			line.active = line.active[:last]
			return
		}
	}
}

// ahead returns how many of the line's waiters would go before new work.
func (line *line) ahead(work *Work) int {
	rank := 0
	if own := line.callers[work.Caller]; own != nil {
		for _, waiter := range own.waiters {
			if !waiter.work.Deadline.After(work.Deadline) {
				rank++
			}
		}
	}
	ahead := 0
	for _, caller := range line.active {
		if caller.caller == work.Caller {
			ahead += rank
			continue
		}
		ahead += min(len(caller.waiters), rank+1)
	}
	return ahead
}

// heaviest returns the caller with most waiting work. The line must not be empty.
func (line *line) heaviest() *callerLine {
	best := line.active[0]
	for _, caller := range line.active[1:] {
		if len(caller.waiters) > len(best.waiters) {
			best = caller
		}
	}
	return best
}

// victim returns the waiter that gives its place to work of the same line, or nil when work itself should be shed.
func (line *line) victim(work *Work) *waiter {
	heaviest := line.heaviest()
	own := 0
	if caller := line.callers[work.Caller]; caller != nil {
		own = len(caller.waiters)
	}
	candidate := heaviest.highestCohort()
	if heaviest.caller != work.Caller && len(heaviest.waiters) > own+1 {
		return candidate
	}
	if candidate.work.Cohort > work.Cohort {
		return candidate
	}
	return nil
}

func (caller *callerLine) highestCohort() *waiter {
	best := caller.waiters[0]
	for _, waiter := range caller.waiters[1:] {
		if waiter.work.Cohort > best.work.Cohort {
			best = waiter
		}
	}
	return best
}

func earlier(a, b *waiter) bool {
	if !a.work.Deadline.Equal(b.work.Deadline) {
		return deadlineOrMax(a.work.Deadline).Before(deadlineOrMax(b.work.Deadline))
	}
	return a.sequence < b.sequence
}

// noDeadline sorts work without a deadline after all other.
var noDeadline = time.Unix(1<<40, 0)

func deadlineOrMax(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return noDeadline
	}
	return deadline
}

// Len implements heap.Interface.
func (caller *callerLine) Len() int { return len(caller.waiters) }

// Less implements heap.Interface.
func (caller *callerLine) Less(i, j int) bool { return earlier(caller.waiters[i], caller.waiters[j]) }

// Swap implements heap.Interface.
func (caller *callerLine) Swap(i, j int) {
	caller.waiters[i], caller.waiters[j] = caller.waiters[j], caller.waiters[i]
}

// Push implements heap.Interface.
func (caller *callerLine) Push(item any) { caller.waiters = append(caller.waiters, item.(*waiter)) }

// Pop implements heap.Interface.
func (caller *callerLine) Pop() any {
	last := len(caller.waiters) - 1
	item := caller.waiters[last]
	caller.waiters[last] = nil
	caller.waiters = caller.waiters[:last]
	return item
}
