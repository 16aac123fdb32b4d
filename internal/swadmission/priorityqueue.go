package swadmission

import (
	"container/heap"
	"time"
)

// maxIdleCallers is the number of callers without waiting work from which a priorityQueue removes them.
const maxIdleCallers = 64

// maxSavedTurns is the number of turns that a caller without waiting work can accumulate, so that its short bursts rarely
// wait behind a caller with excessive load.
const maxSavedTurns = 4

// priorityQueue holds the waiting work of one priority. Callers share it by start-time fair queueing. The work of one
// caller runs by earliest deadline first.
type priorityQueue struct {
	callers map[string]*callerQueue
	active  []*callerQueue
	length  int
	// virtualTime is the latest virtual start time of work that was given a slot.
	virtualTime int64
}

// callerQueue holds the waiting work of one caller as a heap by deadline.
type callerQueue struct {
	caller  string
	waiters []*waiter
	// virtualStart is the virtual start time of the caller's next work.
	virtualStart int64
}

func (priorityQueue *priorityQueue) push(waiter *waiter) {
	caller := priorityQueue.callers[waiter.work.Caller]
	if caller == nil {
		priorityQueue.removeIdleCallers()
		caller = &callerQueue{caller: waiter.work.Caller}
		priorityQueue.callers[waiter.work.Caller] = caller
	}
	if len(caller.waiters) == 0 {
		caller.virtualStart = max(caller.virtualStart, priorityQueue.virtualTime-maxSavedTurns)
		priorityQueue.active = append(priorityQueue.active, caller)
	}
	heap.Push(caller, waiter)
	priorityQueue.length++
}

// removeIdleCallers removes callers without waiting work when there are at least maxIdleCallers of them.
func (priorityQueue *priorityQueue) removeIdleCallers() {
	if len(priorityQueue.callers) < len(priorityQueue.active)+maxIdleCallers {
		return
	}
	for name, caller := range priorityQueue.callers {
		if len(caller.waiters) == 0 {
			delete(priorityQueue.callers, name)
		}
	}
}

// first returns the work that runs next. The queue must not be empty.
func (priorityQueue *priorityQueue) first() *waiter {
	best := priorityQueue.active[0]
	for _, caller := range priorityQueue.active[1:] {
		if caller.before(best) {
			best = caller
		}
	}
	return best.waiters[0]
}

// before reports whether the caller's next work runs before that of the other caller. Neither may be without work.
func (callerQueue *callerQueue) before(other *callerQueue) bool {
	if callerQueue.virtualStart != other.virtualStart {
		return callerQueue.virtualStart < other.virtualStart
	}
	return dueBefore(callerQueue.waiters[0], other.waiters[0])
}

// advance charges the caller one turn for the waiter that was given a slot, and advances the virtual time.
func (priorityQueue *priorityQueue) advance(waiter *waiter) {
	caller := priorityQueue.callers[waiter.work.Caller]
	priorityQueue.virtualTime = max(priorityQueue.virtualTime, caller.virtualStart)
	caller.virtualStart++
}

func (priorityQueue *priorityQueue) remove(waiter *waiter) {
	caller := priorityQueue.callers[waiter.work.Caller]
	for i, present := range caller.waiters {
		if present == waiter {
			heap.Remove(caller, i)
			break
		}
	}
	priorityQueue.length--
	if len(caller.waiters) == 0 {
		priorityQueue.removeActive(caller)
	}
}

func (priorityQueue *priorityQueue) removeActive(caller *callerQueue) {
	for i, present := range priorityQueue.active {
		if present == caller {
			last := len(priorityQueue.active) - 1
			priorityQueue.active[i] = priorityQueue.active[last]
			priorityQueue.active[last] = nil
			priorityQueue.active = priorityQueue.active[:last]
			return
		}
	}
}

// countAhead estimates the number of waiters in the queue that would run before new work.
func (priorityQueue *priorityQueue) countAhead(work *Work) int {
	rank := 0
	if own := priorityQueue.callers[work.Caller]; own != nil {
		for _, waiter := range own.waiters {
			if !waiter.work.Deadline.After(work.Deadline) {
				rank++
			}
		}
	}
	ahead := 0
	for _, caller := range priorityQueue.active {
		if caller.caller == work.Caller {
			ahead += rank
			continue
		}
		ahead += min(len(caller.waiters), rank+1)
	}
	return ahead
}

// longestCaller returns the caller with the most waiting work. The queue must not be empty.
func (priorityQueue *priorityQueue) longestCaller() *callerQueue {
	best := priorityQueue.active[0]
	for _, caller := range priorityQueue.active[1:] {
		if len(caller.waiters) > len(best.waiters) {
			best = caller
		}
	}
	return best
}

// victim returns the waiter to evict for new work of the same priority, or nil when the new work should be shed itself.
func (priorityQueue *priorityQueue) victim(work *Work) *waiter {
	longest := priorityQueue.longestCaller()
	own := 0
	if caller := priorityQueue.callers[work.Caller]; caller != nil {
		own = len(caller.waiters)
	}
	candidate := longest.highestCohort()
	if longest.caller != work.Caller && len(longest.waiters) > own+1 {
		return candidate
	}
	if candidate.work.Cohort > work.Cohort {
		return candidate
	}
	return nil
}

func (callerQueue *callerQueue) highestCohort() *waiter {
	best := callerQueue.waiters[0]
	for _, waiter := range callerQueue.waiters[1:] {
		if waiter.work.Cohort > best.work.Cohort {
			best = waiter
		}
	}
	return best
}

func dueBefore(a, b *waiter) bool {
	if !a.work.Deadline.Equal(b.work.Deadline) {
		return deadlineOrMax(a.work.Deadline).Before(deadlineOrMax(b.work.Deadline))
	}
	return a.sequence < b.sequence
}

// maxDeadline sorts work without a deadline after all other work.
var maxDeadline = time.Unix(1<<40, 0)

func deadlineOrMax(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return maxDeadline
	}
	return deadline
}

// Len implements heap.Interface.
func (callerQueue *callerQueue) Len() int { return len(callerQueue.waiters) }

// Less implements heap.Interface.
func (callerQueue *callerQueue) Less(i, j int) bool {
	return dueBefore(callerQueue.waiters[i], callerQueue.waiters[j])
}

// Swap implements heap.Interface.
func (callerQueue *callerQueue) Swap(i, j int) {
	callerQueue.waiters[i], callerQueue.waiters[j] = callerQueue.waiters[j], callerQueue.waiters[i]
}

// Push implements heap.Interface.
func (callerQueue *callerQueue) Push(item any) {
	callerQueue.waiters = append(callerQueue.waiters, item.(*waiter))
}

// Pop implements heap.Interface.
func (callerQueue *callerQueue) Pop() any {
	last := len(callerQueue.waiters) - 1
	item := callerQueue.waiters[last]
	callerQueue.waiters[last] = nil
	callerQueue.waiters = callerQueue.waiters[:last]
	return item
}
