package swkey

import (
	"sync/atomic"
	"time"
)

// clock is the clock of one key table. It never runs backwards or stops. It advances with the monotonic clock, and jumps forward
// when the wall clock shows that more time has passed, for example after the VM was suspended.
type clock struct {
	start       time.Time
	initialTime time.Duration
	// wallLead is the largest lead of the wall clock over the monotonic clock so far, in nanoseconds.
	wallLead atomic.Int64
}

func newClock(initialTime time.Duration) *clock {
	return &clock{start: time.Now(), initialTime: initialTime}
}

// now returns the current time on this clock.
func (clock *clock) now() time.Duration {
	current := time.Now()
	monotonic := current.Sub(clock.start)
	wall := current.Round(0).Sub(clock.start.Round(0))
	lead := clock.raiseWallLead(int64(wall - monotonic))
	return clock.initialTime + monotonic + time.Duration(lead)
}

// raiseWallLead raises wallLead to at least lead and returns it.
func (clock *clock) raiseWallLead(lead int64) int64 {
	for {
		current := clock.wallLead.Load()
		if lead <= current {
			return current
		}
		if clock.wallLead.CompareAndSwap(current, lead) {
			return lead
		}
	}
}
