package swauthority

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// ObjectKind is the kind of the object in the platform's store that holds the certificate authority.
	ObjectKind = "sycamorewall-keys"
	// ObjectName is the name of that object.
	ObjectName = "authority"
	// maxCreateDelay bounds the random delay before a VM creates a missing authority. The delay spreads the creates, since
	// all VMs start together when the system starts.
	maxCreateDelay = 600 * time.Millisecond
	// initialReadRetryDelay and maxReadRetryDelay bound the backoff between attempts to read the store.
	initialReadRetryDelay = 100 * time.Millisecond
	maxReadRetryDelay     = time.Second
)

// Store reads and creates objects of the kinds that this project defines.
type Store interface {
	// GetObject reads an object. With stale set the value may be seconds old, which is cheaper to read.
	GetObject(ctx context.Context, kind, name string, stale bool) ([]byte, error)
	// CreateObject creates an object. It returns swplatform.ErrConflict if the object exists.
	CreateObject(ctx context.Context, kind, name string, value []byte) error
}

// LoadOrCreate returns the authority that all VMs share. The first VM creates it. It retries until the context ends.
func LoadOrCreate(ctx context.Context, store Store) (*Authority, error) {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: initialReadRetryDelay, MaxDelay: maxReadRetryDelay})
	stale := true
	for {
		value, err := store.GetObject(ctx, ObjectKind, ObjectName, stale)
		if err == nil {
			return Decode(value)
		}
		if errors.Is(err, swplatform.ErrNotFound) {
			if err := swtimer.Wait(ctx, time.Duration(rand.Float64()*float64(maxCreateDelay))); err != nil {
				return nil, err
			}
			if value, err := store.GetObject(ctx, ObjectKind, ObjectName, stale); err == nil {
				return Decode(value)
			}
			authority, err := createAuthority(ctx, store)
			if err == nil {
				return authority, nil
			}
			// Another VM created it first, or the answer was lost: use what the store holds now.
			stale = false
		}
		if err := backoff.Wait(ctx); err != nil {
			return nil, err
		}
	}
}

// Restore writes an authority again if the store has lost it because it came back from an older copy. It returns the authority that the
// store holds: a VM that started meanwhile may have created another one. It retries until the context ends.
func Restore(ctx context.Context, store Store, held *Authority) (*Authority, error) {
	value, err := held.Encode()
	if err != nil {
		return nil, err
	}
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: initialReadRetryDelay, MaxDelay: maxReadRetryDelay})
	for {
		stored, err := store.GetObject(ctx, ObjectKind, ObjectName, false)
		if err == nil {
			return Decode(stored)
		}
		if errors.Is(err, swplatform.ErrNotFound) && store.CreateObject(ctx, ObjectKind, ObjectName, value) == nil {
			return held, nil
		}
		if err := backoff.Wait(ctx); err != nil {
			return nil, err
		}
	}
}

func createAuthority(ctx context.Context, store Store) (*Authority, error) {
	authority, err := New()
	if err != nil {
		return nil, err
	}
	value, err := authority.Encode()
	if err != nil {
		return nil, err
	}
	return authority, store.CreateObject(ctx, ObjectKind, ObjectName, value)
}
