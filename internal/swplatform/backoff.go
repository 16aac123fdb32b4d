package swplatform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// BackoffConfig sets a Backoff.
type BackoffConfig struct {
	// First is the upper bound of the first delay; it doubles with each one that follows. The default is 100 ms.
	InitialDelay time.Duration
	// Max is the upper bound of all delays. The default is 10 s.
	MaxDelay time.Duration
	// Random returns numbers in [0, 1). The default is math/rand/v2's.
	Random func() float64
}

// Defaults of BackoffConfig.
const (
	defaultBackoffFirst = 100 * time.Millisecond
	defaultBackoffMax   = 10 * time.Second
)

// Backoff spaces out retries exponentially with full jitter: each delay is drawn evenly between zero and a bound that
// doubles up to Max. It is not safe for concurrent use.
type Backoff struct {
	config BackoffConfig
	bound  time.Duration
}

// NewBackoff returns a backoff at its first delay.
func NewBackoff(config BackoffConfig) *Backoff {
	if config.InitialDelay <= 0 {
		config.InitialDelay = defaultBackoffFirst
	}
	if config.MaxDelay <= 0 {
		config.MaxDelay = defaultBackoffMax
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	backoff := &Backoff{config: config}
	backoff.Reset()
	return backoff
}

// Next returns the next delay.
func (backoff *Backoff) Next() time.Duration {
	delay := time.Duration(backoff.config.Random() * float64(backoff.bound))
	backoff.bound = min(2*backoff.bound, backoff.config.MaxDelay)
	return delay
}

// Reset goes back to the first delay. Call it after a success.
func (backoff *Backoff) Reset() {
	backoff.bound = min(backoff.config.InitialDelay, backoff.config.MaxDelay)
}

// Wait sleeps for the next delay. It returns the context's error when that ends first.
func (backoff *Backoff) Wait(ctx context.Context) error {
	return swtimer.Wait(ctx, backoff.Next())
}
