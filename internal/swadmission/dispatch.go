package swadmission

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// cannotMeet reports whether the work would finish after its deadline, judged by the service times observed. With
// nothing running it lets the work through, so that a server that was slow is tried again.
func (queue *Queue) cannotMeet(now time.Time, work *Work) bool {
	if work.Deadline.IsZero() || queue.running == 0 {
		return false
	}
	service := queue.service.mean(work.Priority)
	return now.Add(queue.expectedWait(work) + service).After(work.Deadline)
}

// expectedWait estimates the queue wait of new work: by the work that goes before it, and no longer than its
// priority's minimum share of the slots allows.
func (queue *Queue) expectedWait(work *Work) time.Duration {
	slots := time.Duration(queue.slots.whole())
	own := time.Duration(queue.lines[work.Priority].ahead(work)) * queue.service.mean(work.Priority)
	wait := own
	for priority := range work.Priority {
		wait += time.Duration(queue.lines[priority].length) * queue.service.mean(priority)
	}
	byShare := time.Duration(float64(own) / queue.shares.share[work.Priority])
	return min(wait, byShare) / slots
}

// displace makes a place for work in a full queue. The victim comes from the least urgent priority that holds more
// than its reserved places; inside the work's own priority from the caller that holds most, highest cohort first.
func (queue *Queue) displace(work *Work) bool {
	for priority := swrule.Priority(swrule.Priorities - 1); priority >= 0; priority-- {
		line := &queue.lines[priority]
		if line.length == 0 {
			continue
		}
		if priority == work.Priority {
			if victim := line.victim(work); victim != nil {
				queue.evict(victim)
				return true
			}
			if line.length >= queue.reserved[priority] {
				return false
			}
			continue
		}
		if line.length > queue.reserved[priority] {
			queue.evict(line.heaviest().highestCohort())
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

// dispatch hands free slots to waiting work. Work that can no longer finish in time is refused in passing.
func (queue *Queue) dispatch(now time.Time) {
	for queue.waiting > 0 && queue.running < queue.slots.whole() {
		priority := queue.shares.next(&queue.lines, &queue.service)
		next := queue.lines[priority].first()
		if queue.tooLate(now, next) {
			queue.remove(next)
			queue.shedders[priority].lost++
			next.ready <- errCannotMeet
			continue
		}
		queue.lines[priority].served(next)
		queue.start(priority, now.Sub(next.entered))
		queue.remove(next)
		next.ready <- nil
	}
}

func (queue *Queue) tooLate(now time.Time, waiter *waiter) bool {
	deadline := waiter.work.Deadline
	if deadline.IsZero() {
		return false
	}
	if queue.running == 0 {
		return !now.Before(deadline)
	}
	return now.Add(queue.service.mean(waiter.work.Priority)).After(deadline)
}
