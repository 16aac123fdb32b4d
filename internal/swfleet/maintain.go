package swfleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// goneAfter is how long a VM must be silent before it is taken off the register. VMs that restart, freeze or are cut off are
	// back long before; an entry that stays too long only makes the parts of the others smaller.
	goneAfter = 10 * time.Minute
	// keepEvery is how often the register is looked over.
	keepEvery = 5 * time.Second
)

// Keeper writes the register beyond a VM's own start.
type RegistryStore interface {
	Store
	// DeleteObject removes an object.
	DeleteObject(ctx context.Context, kind, name string) error
}

// Heard notes that a VM asked this one for news.
func (fleet *Fleet) RecordPoll(name string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.heard[name] = time.Now()
}

// Keep looks after the register until the context ends: a VM whose object is gone writes it again, and the VM that the others
// of the data centre follow removes those that it has not heard of for long. VMs that fail for good would else stay for ever.
func (fleet *Fleet) Maintain(ctx context.Context, store RegistryStore, leading func() bool, log zerolog.Logger) {
	began := time.Now()
	for swtimer.Wait(ctx, keepEvery) == nil {
		if fleet.isMissing() {
			if err := fleet.register(ctx, store); err != nil {
				log.Warn().Err(err).Msg("not registered at the platform's store again yet")
				continue
			}
			fleet.setMissing(false)
			log.Info().Msg("registered at the platform's store again")
		}
		if !leading() {
			began = time.Now()
			continue
		}
		for _, vm := range fleet.silent(began, time.Now()) {
			if err := store.DeleteObject(ctx, swfollow.KindShared, vm.objectName()); err != nil {
				log.Warn().Err(err).Str("Peer", vm.Name).Msg("a VM that is gone stays on the register for now")
				continue
			}
			log.Warn().Str("Peer", vm.Name).Dur("Silent", goneAfter).Msg("a VM that is gone was taken off the register")
		}
	}
}

// silent returns the VMs of this data centre that have not been heard of for long, counted from when this VM began to lead.
func (fleet *Fleet) silent(began, now time.Time) []VM {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	var silent []VM
	for _, vm := range fleet.vms {
		since := began
		if heard := fleet.heard[vm.Name]; heard.After(since) {
			since = heard
		}
		if vm.DataCentre == fleet.self.DataCentre && vm.Name != fleet.self.Name && now.Sub(since) > goneAfter {
			silent = append(silent, vm)
		}
	}
	return silent
}

func (fleet *Fleet) isMissing() bool {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return fleet.missing
}

func (fleet *Fleet) setMissing(missing bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.missing = missing
}

// register writes this VM's object.
func (fleet *Fleet) register(ctx context.Context, store Store) error {
	value, err := fleet.self.Encode()
	if err != nil {
		return err
	}
	return store.PutObject(ctx, swfollow.KindShared, fleet.self.objectName(), value)
}
