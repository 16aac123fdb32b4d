package swadmission

import "time"

// shedBackoff is the factor by which a refusal of the server lowers the limit.
const shedBackoff = 0.7

// shedPause is the time during which further refusals of the server count as the same event.
const shedPause = 50 * time.Millisecond

// slotLimit learns how many requests the server really runs at once: additive increase after answers, multiplicative
// decrease when the server sheds, never above what it declares.
type slotLimit struct {
	declared int
	learned  float64
	shedAt   time.Time
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
	if grown || limit.learned > float64(limit.declared) {
		limit.learned = float64(limit.declared)
	}
}

// restart begins the ramp at one slot.
func (limit *slotLimit) restart() {
	limit.learned = 1
}

func (limit *slotLimit) whole() int {
	return max(1, int(limit.learned))
}

func (limit *slotLimit) succeeded() {
	limit.learned = min(float64(limit.declared), limit.learned+1/limit.learned/rampAnswers)
}

// rampAnswers is the number of answers, for each slot in use, after which the limit grows by one.
const rampAnswers = 4

func (limit *slotLimit) shed(now time.Time) {
	if now.Sub(limit.shedAt) < shedPause {
		return
	}
	limit.shedAt = now
	limit.learned = max(1, limit.learned*shedBackoff)
}
