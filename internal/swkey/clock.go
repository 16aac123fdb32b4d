package swkey

import (
	"sync/atomic"
	"time"
)

// clock counts the time of one authority. It never goes back or stands still. It runs with the monotonic clock, and
// leaps ahead when the wall clock shows that more time has passed, as after the VM was suspended.
type clock struct {
	start time.Time
	base  time.Duration
	// leap is the time by which the wall clock was ever ahead of the monotonic clock.
	leap atomic.Int64
}

func newClock(base time.Duration) *clock {
	return &clock{start: time.Now(), base: base}
}

// now returns the time on this clock.
func (clock *clock) now() time.Duration {
	present := time.Now()
	monotonic := present.Sub(clock.start)
	wall := present.Round(0).Sub(clock.start.Round(0))
	leap := clock.advance(int64(wall - monotonic))
	return clock.base + monotonic + time.Duration(leap)
}

func (clock *clock) advance(leap int64) int64 {
	for {
		present := clock.leap.Load()
		if leap <= present {
			return present
		}
		if clock.leap.CompareAndSwap(present, leap) {
			return leap
		}
	}
}
