package swadmission

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// cannotMeetDeadline reports whether the work is expected to finish after its deadline, given the observed service times.
// It returns false while nothing runs, so that a server that was slow is tried again.
func (queue *Queue) cannotMeetDeadline(now time.Time, work *Work) bool {
	if work.Deadline.IsZero() || queue.running == 0 {
		return false
	}
	service := queue.serviceTimes.mean(work.Priority)
	return now.Add(queue.expectedWait(work) + service).After(work.Deadline)
}

// expectedWait estimates the queue wait of new work from the work ahead of it. The minimum share of its priority bounds
// the estimate.
func (queue *Queue) expectedWait(work *Work) time.Duration {
	slots := time.Duration(queue.slotLimit.current())
	own := time.Duration(queue.queues[work.Priority].countAhead(work)) * queue.serviceTimes.mean(work.Priority)
	wait := own
	for priority := range work.Priority {
		wait += time.Duration(queue.queues[priority].length) * queue.serviceTimes.mean(priority)
	}
	byShare := time.Duration(float64(own) / queue.shareCredits.shares[work.Priority])
	return min(wait, byShare) / slots
}

// evictFor evicts a waiter for new work in a full queue and reports whether it did. The victim is from the least urgent
// priority with more waiters than reserved, and there from the caller with the most waiters, the highest cohort first.
func (queue *Queue) evictFor(work *Work) bool {
	for priority := swrule.Priority(swrule.Priorities - 1); priority >= 0; priority-- {
		priorityQueue := &queue.queues[priority]
		if priorityQueue.length == 0 {
			continue
		}
		if priority == work.Priority {
			if victim := priorityQueue.victim(work); victim != nil {
				queue.evict(victim)
				return true
			}
			if priorityQueue.length >= queue.reserved[priority] {
				return false
			}
			continue
		}
		if priorityQueue.length > queue.reserved[priority] {
			queue.evict(priorityQueue.longestCaller().highestCohort())
			return true
		}
	}
	return false
}

func (queue *Queue) evict(victim *waiter) {
	queue.remove(victim)
	queue.shedders[victim.work.Priority].lost++
	victim.ready <- errQueueFull
}

// dispatch gives free slots to waiting work. It refuses work that can no longer meet its deadline.
func (queue *Queue) dispatch(now time.Time) {
	for queue.waiting > 0 && queue.running < queue.slotLimit.current() {
		priority := queue.shareCredits.next(&queue.queues, &queue.serviceTimes)
		next := queue.queues[priority].first()
		if queue.missesDeadline(now, next) {
			queue.remove(next)
			queue.shedders[priority].lost++
			next.ready <- errCannotMeet
			continue
		}
		queue.queues[priority].advance(next)
		queue.start(priority, now.Sub(next.enqueuedAt))
		queue.remove(next)
		next.ready <- nil
	}
}

// missesDeadline reports whether a waiter that is given a slot now is expected to finish after its deadline. While nothing runs,
// only the deadline itself counts, so that a server that was slow is tried again.
func (queue *Queue) missesDeadline(now time.Time, waiter *waiter) bool {
	deadline := waiter.work.Deadline
	if deadline.IsZero() {
		return false
	}
	if queue.running == 0 {
		return !now.Before(deadline)
	}
	return now.Add(queue.serviceTimes.mean(waiter.work.Priority)).After(deadline)
}
