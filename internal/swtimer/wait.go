// Package swtimer provides waits that a context can cancel.
package swtimer

import (
	"context"
	"time"
)

// Wait blocks for the duration and returns nil. If the context ends first, it returns the context's error.
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
