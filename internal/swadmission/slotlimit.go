package swadmission

import "time"

const (
	// rampAnswers is the number of answers, for each slot in use, after which the ramp grows by one slot.
	rampAnswers = 4
	// shedPause is the time during which further refusals of the server count as the same event.
	shedPause = 50 * time.Millisecond
	// probeLeast is the time after a refusal of the server before one more slot is tried.
	probeLeast = time.Second
	// probeMost is the longest time between two trials of one more slot.
	probeMost = 30 * time.Second
)

// slotLimit learns how many requests the server really runs at once, never above what it declares: a ramp from one slot
// as answers come, a step below what the server refused, and then one more slot at a time, the less often the more
// trials failed.
type slotLimit struct {
	declared int
	learned  float64
	// ramping is set until the server refuses for the first time.
	ramping    bool
	shedAt     time.Time
	raisedAt   time.Time
	probeAfter time.Duration
}

func newSlotLimit(declared int) slotLimit {
	limit := slotLimit{}
	limit.declare(declared)
	limit.restart()
	return limit
}

func (limit *slotLimit) declare(declared int) {
	grown := limit.declared == 0 || limit.learned >= float64(limit.declared)
	limit.declared = max(1, declared)
	if (grown && !limit.ramping) || limit.learned > float64(limit.declared) {
		limit.learned = float64(limit.declared)
	}
}

// restart begins the ramp at one slot.
func (limit *slotLimit) restart() {
	limit.learned, limit.ramping, limit.probeAfter = 1, true, probeLeast
}

func (limit *slotLimit) whole() int {
	return max(1, int(limit.learned))
}

func (limit *slotLimit) succeeded(now time.Time) {
	if limit.learned >= float64(limit.declared) {
		return
	}
	if limit.ramping {
		limit.learned = min(float64(limit.declared), limit.learned+1/limit.learned/rampAnswers)
		return
	}
	if now.Sub(limit.shedAt) >= limit.probeAfter && now.Sub(limit.raisedAt) >= limit.probeAfter {
		limit.learned = min(float64(limit.declared), limit.learned+1)
		limit.raisedAt = now
	}
}

// shed takes in a refusal of the server while running requests were out, the refused one among them.
func (limit *slotLimit) shed(now time.Time, running int) {
	if now.Sub(limit.shedAt) < shedPause {
		return
	}
	if now.Sub(limit.raisedAt) < limit.probeAfter {
		limit.probeAfter = min(probeMost, 2*limit.probeAfter)
	} else {
		limit.probeAfter = probeLeast
	}
	limit.shedAt, limit.ramping = now, false
	limit.learned = float64(max(1, min(running, limit.whole())-1))
}
