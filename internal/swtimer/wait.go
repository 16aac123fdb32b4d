// Package swtimer waits for time to pass, or for a context to end.
package swtimer

import (
	"context"
	"time"
)

// Wait returns nil after the duration, or the context's error once that has ended, whichever comes first.
func Wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
