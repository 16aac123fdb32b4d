package swadmission

import "time"

const (
	// answersPerRampStep is the number of answers per slot after which the limit grows by one slot during the ramp-up.
	answersPerRampStep = 4
	// shedEventWindow is the time after a refusal by the server in which further refusals count as the same event.
	shedEventWindow = 50 * time.Millisecond
	// minProbeInterval is the initial time after a refusal by the server before one more slot is tried.
	minProbeInterval = time.Second
	// maxProbeInterval is the maximum time between two trials of one more slot.
	maxProbeInterval = 30 * time.Second
)

// slotLimit is an adaptive concurrency limit for a server, at most the number of slots that the server declares. It ramps
// up from one slot as answers arrive. When the server refuses a request, the limit drops to one less than the number in
// flight. After that it grows by one slot at a time, with exponential backoff when such a trial fails.
type slotLimit struct {
	declared int
	learned  float64
	// ramping is true until the server first refuses a request.
	ramping       bool
	shedAt        time.Time
	raisedAt      time.Time
	probeInterval time.Duration
}

func newSlotLimit(declared int) slotLimit {
	limit := slotLimit{}
	limit.setDeclared(declared)
	limit.reset()
	return limit
}

// setDeclared sets the number of slots that the server declares. A limit that had reached the former number follows it, except
// during the ramp-up.
func (limit *slotLimit) setDeclared(declared int) {
	grown := limit.declared == 0 || limit.learned >= float64(limit.declared)
	limit.declared = max(1, declared)
	if (grown && !limit.ramping) || limit.learned > float64(limit.declared) {
		limit.learned = float64(limit.declared)
	}
}

// reset restarts the ramp-up at one slot.
func (limit *slotLimit) reset() {
	limit.learned, limit.ramping, limit.probeInterval = 1, true, minProbeInterval
}

func (limit *slotLimit) current() int {
	return max(1, int(limit.learned))
}

// recordSuccess raises the limit: steadily during the ramp-up, and after it by one slot once per probe interval.
func (limit *slotLimit) recordSuccess(now time.Time) {
	if limit.learned >= float64(limit.declared) {
		return
	}
	if limit.ramping {
		limit.learned = min(float64(limit.declared), limit.learned+1/limit.learned/answersPerRampStep)
		return
	}
	if now.Sub(limit.shedAt) >= limit.probeInterval && now.Sub(limit.raisedAt) >= limit.probeInterval {
		limit.learned = min(float64(limit.declared), limit.learned+1)
		limit.raisedAt = now
	}
}

// recordShed records a refusal by the server. running is the number of requests in flight, including the refused one.
func (limit *slotLimit) recordShed(now time.Time, running int) {
	if now.Sub(limit.shedAt) < shedEventWindow {
		return
	}
	if now.Sub(limit.raisedAt) < limit.probeInterval {
		limit.probeInterval = min(maxProbeInterval, 2*limit.probeInterval)
	} else {
		limit.probeInterval = minProbeInterval
	}
	limit.shedAt, limit.ramping = now, false
	limit.learned = float64(max(1, min(running, limit.current())-1))
}
