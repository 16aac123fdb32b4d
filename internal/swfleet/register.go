package swfleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

const (
	// initialRegisterBackoff and maxRegisterBackoff bound the exponential backoff between attempts to register.
	initialRegisterBackoff = 100 * time.Millisecond
	maxRegisterBackoff     = time.Second
)

// Store reads and writes objects of this project's kinds in the platform's store.
type Store interface {
	// ListStale lists the objects of a kind from data that may be some seconds old. This is cheaper than a current listing.
	ListStale(ctx context.Context, kind string) ([]swplatform.Object, swplatform.Position, error)
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, kind, name string, value []byte) error
}

// Join lists the other VMs, and registers this one unless the registry has an identical entry, as after a restart. It retries
// until the context is cancelled.
func (fleet *Fleet) Join(ctx context.Context, store Store, log zerolog.Logger) error {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: initialRegisterBackoff, MaxDelay: maxRegisterBackoff})
	for {
		err := fleet.join(ctx, store)
		if err == nil {
			log.Info().Stringer("Peer", fleet.self.Peer).Int("VMs", fleet.Len()).Msg("registered in the platform's store")
			return nil
		}
		log.Warn().Err(err).Msg("registration in the platform's store failed")
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
	registered, named := false, false
	for _, object := range objects {
		vm, ok := Decode(object)
		if !ok {
			continue
		}
		registered = registered || vm == fleet.self
		named = named || vm.Name == fleet.self.Name
		vms = append(vms, vm)
	}
	fleet.Apply(vms, nil)
	if !fleet.joined.Load() {
		fleet.isNew.Store(!named)
		fleet.joined.Store(true)
	}
	if registered {
		return nil
	}
	return fleet.register(ctx, store)
}
