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
	// ObjectKind is the kind of the store's object that holds the system's authority.
	ObjectKind = "sycamorewall-keys"
	// ObjectName is that object's name.
	ObjectName = "authority"
	// createSpread is the time over which VMs that find no authority spread their creating one, since all start together when
	// the system does.
	createSpread = 600 * time.Millisecond
	// readFirst and readMost bound the pause between tries to read the store.
	readFirst = 100 * time.Millisecond
	readMost  = time.Second
)

// Store reads and creates objects of the project's own kinds.
type Store interface {
	// GetObject reads an object; with stale set it may be seconds old, which is cheaper.
	GetObject(ctx context.Context, kind, name string, stale bool) ([]byte, error)
	// CreateObject fails with swplatform.ErrConflict when the object exists.
	CreateObject(ctx context.Context, kind, name string, value []byte) error
}

// LoadOrCreate returns the authority of all VMs, which the first of them creates. It tries until the context ends.
func LoadOrCreate(ctx context.Context, store Store) (*Authority, error) {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: readFirst, MaxDelay: readMost})
	stale := true
	for {
		value, err := store.GetObject(ctx, ObjectKind, ObjectName, stale)
		if err == nil {
			return Decode(value)
		}
		if errors.Is(err, swplatform.ErrNotFound) {
			if err := swtimer.Wait(ctx, time.Duration(rand.Float64()*float64(createSpread))); err != nil {
				return nil, err
			}
			if value, err := store.GetObject(ctx, ObjectKind, ObjectName, stale); err == nil {
				return Decode(value)
			}
			authority, err := create(ctx, store)
			if err == nil {
				return authority, nil
			}
			// Another VM was first, or the answer was lost: what the store holds now counts.
			stale = false
		}
		if err := backoff.Wait(ctx); err != nil {
			return nil, err
		}
	}
}

func create(ctx context.Context, store Store) (*Authority, error) {
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
