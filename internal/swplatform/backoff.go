package swplatform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// BackoffConfig configures a Backoff.
type BackoffConfig struct {
	// InitialDelay is the upper bound of the first delay. The bound doubles with each further delay. The default is 100 ms.
	InitialDelay time.Duration
	// MaxDelay is the upper bound of all delays. The default is 10 s.
	MaxDelay time.Duration
	// Random returns a number in [0, 1). The default is rand.Float64 of math/rand/v2.
	Random func() float64
}

// Defaults of BackoffConfig.
const (
	defaultInitialDelay = 100 * time.Millisecond
	defaultMaxDelay     = 10 * time.Second
)

// Backoff computes retry delays with exponential backoff and full jitter: each delay is uniformly distributed between zero
// and a bound that doubles up to MaxDelay. It is not safe for concurrent use.
type Backoff struct {
	config BackoffConfig
	// bound is the upper bound of the next delay.
	bound time.Duration
}

// NewBackoff returns a Backoff that starts at InitialDelay.
func NewBackoff(config BackoffConfig) *Backoff {
	if config.InitialDelay <= 0 {
		config.InitialDelay = defaultInitialDelay
	}
	if config.MaxDelay <= 0 {
		config.MaxDelay = defaultMaxDelay
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

// Reset starts again at InitialDelay. Call it after a success.
func (backoff *Backoff) Reset() {
	backoff.bound = min(backoff.config.InitialDelay, backoff.config.MaxDelay)
}

// Wait sleeps for the next delay. It returns the context's error if the context ends first.
func (backoff *Backoff) Wait(ctx context.Context) error {
	return swtimer.Wait(ctx, backoff.Next())
}
