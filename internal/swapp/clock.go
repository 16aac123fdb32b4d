package swapp

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// clockCheckInterval is the time between two checks of the clocks.
	clockCheckInterval = time.Second
	// minLoggedStall is the smallest delay of a check that is logged. A busy processor delays checks by less.
	minLoggedStall = time.Second
	// minLoggedJump is the smallest jump of the wall clock that is logged. Corrections by NTP are much smaller.
	minLoggedJump = time.Second
)

// monitorClocks logs periods in which this process did not run and jumps of the wall clock. They explain timeouts and missed
// deadlines that have no other cause in the log. Nothing else depends on the result.
func monitorClocks(ctx context.Context, log zerolog.Logger) {
	last := time.Now()
	for swtimer.Wait(ctx, clockCheckInterval) == nil {
		now := time.Now()
		// Round(0) strips the monotonic reading, so that the second difference is that of the wall clock.
		logClockGaps(log, now.Sub(last), now.Round(0).Sub(last.Round(0)))
		last = now
	}
}

// logClockGaps logs a stall or a jump, given how far each clock advanced between two checks.
func logClockGaps(log zerolog.Logger, monotonic, wall time.Duration) {
	if stall := monotonic - clockCheckInterval; stall > minLoggedStall {
		log.Warn().Dur("For", stall).Msg("this process stalled")
	}
	if jump := wall - monotonic; jump.Abs() > minLoggedJump {
		log.Warn().Dur("By", jump).Msg("the wall clock jumped, or the VM was suspended")
	}
}
