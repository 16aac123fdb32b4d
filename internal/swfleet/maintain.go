package swfleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// removeAfter is the time without a poll after which a VM is removed from the registry. VMs that restart, freeze or are
	// partitioned return much sooner; an entry that stays too long only makes the other VMs' shares smaller.
	removeAfter = 10 * time.Minute
	// maintainInterval is the time between two checks of the registry.
	maintainInterval = 5 * time.Second
	// registerSpread is the time over which the VMs whose objects the store has lost write them again.
	registerSpread = time.Second
	// RemovalGrace is how long VMs that the store has lost stay in the fleet. Without them, each VM would take the shares of all for
	// itself: of retry budgets, rate limits and connections.
	RemovalGrace = 2 * maintainInterval
)

// RegistryStore is the store that Maintain needs.
type RegistryStore interface {
	Store
	// DeleteObject removes an object.
	DeleteObject(ctx context.Context, kind, name string) error
}

// RecordPoll records that a VM polled this one.
func (fleet *Fleet) RecordPoll(name string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.lastPolled[name] = time.Now()
}

// Maintain maintains the registry until the context is cancelled. Each VM writes its own object again if it was removed. The
// leader removes VMs that have not polled it for removeAfter; otherwise, failed VMs would stay registered forever.
func (fleet *Fleet) Maintain(ctx context.Context, store RegistryStore, isLeader func() bool, log zerolog.Logger) {
	leaderSince := time.Now()
	for interval := maintainInterval; fleet.waitForCheck(ctx, interval) == nil; {
		interval = maintainInterval
		if fleet.isUnregistered() {
			if err := fleet.register(ctx, store); err != nil {
				log.Warn().Err(err).Msg("re-registration in the platform's store failed")
				interval = maxRegisterBackoff
				continue
			}
			fleet.setUnregistered(false)
			log.Info().Msg("re-registered in the platform's store")
		}
		if !isLeader() {
			leaderSince = time.Now()
			continue
		}
		for _, vm := range fleet.unresponsive(leaderSince, time.Now()) {
			if err := store.DeleteObject(ctx, swfollow.KindShared, vm.objectName()); err != nil {
				log.Warn().Err(err).Str("Peer", vm.Name).Msg("unresponsive VM not removed from the registry")
				continue
			}
			log.Warn().Str("Peer", vm.Name).Dur("Silent", removeAfter).Msg("unresponsive VM removed from the registry")
		}
	}
}

// waitForCheck waits for an interval, or until this VM learns that it is not registered.
func (fleet *Fleet) waitForCheck(ctx context.Context, interval time.Duration) error {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-fleet.becameUnregistered:
		return swtimer.Wait(ctx, time.Duration(rand.Int64N(int64(registerSpread))))
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unresponsive returns this data centre's VMs without a poll for removeAfter, counted from when this VM became the leader.
func (fleet *Fleet) unresponsive(leaderSince, now time.Time) []VM {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	var unresponsive []VM
	for _, vm := range fleet.vms {
		since := leaderSince
		if lastPoll := fleet.lastPolled[vm.Name]; lastPoll.After(since) {
			since = lastPoll
		}
		if vm.DataCentre == fleet.self.DataCentre && vm.Name != fleet.self.Name && now.Sub(since) > removeAfter {
			unresponsive = append(unresponsive, vm)
		}
	}
	return unresponsive
}

func (fleet *Fleet) isUnregistered() bool {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return fleet.unregistered
}

func (fleet *Fleet) setUnregistered(unregistered bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.unregistered = unregistered
}

// register writes this VM's object.
func (fleet *Fleet) register(ctx context.Context, store Store) error {
	value, err := fleet.self.Encode()
	if err != nil {
		return err
	}
	return store.PutObject(ctx, swfollow.KindShared, fleet.self.objectName(), value)
}
