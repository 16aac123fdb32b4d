package swplatform

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestBackoffDelaysDoubleUpToTheMaximum(t *testing.T) {
	backoff := NewBackoff(BackoffConfig{InitialDelay: time.Second, MaxDelay: 5 * time.Second, Random: func() float64 { return 0.5 }})
	got := []time.Duration{backoff.Next(), backoff.Next(), backoff.Next(), backoff.Next(), backoff.Next()}
	backoff.Reset()
	got = append(got, backoff.Next())
	want := []time.Duration{
		500 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, 2500 * time.Millisecond,
		500 * time.Millisecond,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("delays (-want +got):\n" + diff)
	}
}

func TestBackoffWaitEndsWithTheDelayOrTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backoff := NewBackoff(BackoffConfig{InitialDelay: time.Hour, MaxDelay: time.Hour, Random: func() float64 { return 0.25 }})
		start := time.Now()
		if err := backoff.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(15*time.Minute, time.Since(start)); diff != "" {
			t.Error("wait (-want +got):\n" + diff)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := backoff.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error is %v, want %v", err, context.DeadlineExceeded)
		}
	})
}

func TestBackoffDelaysStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "Seed"), 1))
		maxDelay := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "Max"))
		backoff := NewBackoff(BackoffConfig{InitialDelay: time.Millisecond, MaxDelay: maxDelay, Random: random.Float64})
		bound := min(time.Millisecond, maxDelay)
		for range 40 {
			if delay := backoff.Next(); delay < 0 || delay >= bound {
				t.Fatalf("delay %s is outside [0, %s)", delay, bound)
			}
			bound = min(2*bound, maxDelay)
		}
	})
}
