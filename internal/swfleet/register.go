package swfleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

const (
	// registerFirst and registerMost bound the pause between tries to register.
	registerFirst = 100 * time.Millisecond
	registerMost  = time.Second
)

// Store reads and writes objects of the project's own kinds.
type Store interface {
	// ListStale lists the objects of a kind as of some seconds ago, which is cheaper than as of now.
	ListStale(ctx context.Context, kind string) ([]swplatform.Object, uint64, error)
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, kind, name string, value []byte) error
}

// Join learns the other VMs and registers this one unless it is registered already, as after a restart. It tries until the
// context ends.
func (fleet *Fleet) Join(ctx context.Context, store Store, log zerolog.Logger) error {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{First: registerFirst, Max: registerMost})
	for {
		err := fleet.join(ctx, store)
		if err == nil {
			log.Info().Stringer("Peer", fleet.self.Peer).Int("VMs", fleet.Len()).Msg("registered at the platform's store")
			return nil
		}
		log.Warn().Err(err).Msg("not registered at the platform's store yet")
		if err := backoff.Wait(ctx); err != nil {
			return err
		}
	}
}

func (fleet *Fleet) join(ctx context.Context, store Store) error {
	objects, _, err := store.ListStale(ctx, swfollow.KindShared)
	if err != nil {
		return err
	}
	var vms []VM
	registered := false
	for _, object := range objects {
		vm, ok := Decode(object)
		if !ok {
			continue
		}
		registered = registered || vm == fleet.self
		vms = append(vms, vm)
	}
	fleet.Apply(vms, nil)
	if registered {
		return nil
	}
	return fleet.register(ctx, store)
}
