package swapp

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// pulseEvery is the time between two looks at the clocks.
	pulseEvery = time.Second
	// stillLeast is the least delay of a look that is told: a busy processor delays it by less.
	stillLeast = time.Second
	// jumpLeast is the least difference between the clocks that is told: well beyond what setting a clock by the network does.
	jumpLeast = time.Second
)

// pulse tells of times in which this process did not run, and of jumps of the time of day. What the VM did or failed to do around
// them has no other cause in the log. Nothing but the log depends on it.
func pulse(ctx context.Context, log zerolog.Logger) {
	last := time.Now()
	for swtimer.Wait(ctx, pulseEvery) == nil {
		now := time.Now()
		// Round drops the steady clock, so that the second difference is that of the time of day.
		notePulse(log, now.Sub(last), now.Round(0).Sub(last.Round(0)))
		last = now
	}
}

// notePulse takes how far both clocks went between two looks.
func notePulse(log zerolog.Logger, steady, day time.Duration) {
	if still := steady - pulseEvery; still > stillLeast {
		log.Warn().Dur("For", still).Msg("this process stood still")
	}
	if jump := day - steady; jump.Abs() > jumpLeast {
		log.Warn().Dur("By", jump).Msg("the time of day jumped, or the VM was suspended")
	}
}
