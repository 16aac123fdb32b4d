package swfollow

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// MirrorConfig configures a Mirror.
type MirrorConfig[Item any] struct {
	// Decode decodes an object. An object for which ok is false is treated as deleted.
	Decode func(object swplatform.Object) (item Item, ok bool)
	// Apply is called with the items that are new or changed and the names of the objects that were removed.
	Apply func(changed []Item, removed []string)
	// RemovalGrace is how long after an outage of the store a missing object is kept, because its writer could not renew it
	// during the outage.
	RemovalGrace time.Duration
}

// Mirror holds the decoded objects of one kind. Construct it with NewMirror; it is safe for concurrent use.
type Mirror[Item any] struct {
	config MirrorConfig[Item]
	// wake receives a signal when a removal is deferred.
	wake chan struct{}

	mutex sync.Mutex
	names map[string]struct{}
	// pendingRemovals holds the time, by name, at which an object that the store no longer has will be removed.
	pendingRemovals map[string]time.Time
}

// NewMirror returns an empty mirror.
func NewMirror[Item any](config MirrorConfig[Item]) *Mirror[Item] {
	return &Mirror[Item]{
		config:          config,
		wake:            make(chan struct{}, 1),
		names:           make(map[string]struct{}),
		pendingRemovals: make(map[string]time.Time),
	}
}

// Receive applies a change of the store.
func (mirror *Mirror[Item]) Receive(change Change) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := time.Now()
	var changed []Item
	seen := make(map[string]bool, len(change.Objects))
	var removed []string
	for _, object := range change.Objects {
		item, ok := mirror.config.Decode(object)
		if object.Deleted || !ok {
			removed = append(removed, object.Name)
			continue
		}
		seen[object.Name] = true
		mirror.names[object.Name] = struct{}{}
		delete(mirror.pendingRemovals, object.Name)
		changed = append(changed, item)
	}
	if change.Full {
		for name := range mirror.names {
			if !seen[name] {
				removed = append(removed, name)
			}
		}
	}
	mirror.config.Apply(changed, mirror.removeOrDefer(removed, change.RecoveredAt, now))
}

// removeOrDefer removes names, or defers that within RemovalGrace after a recovery of the store. It returns the removed ones.
func (mirror *Mirror[Item]) removeOrDefer(names []string, recoveredAt, now time.Time) []string {
	var removed []string
	due := recoveredAt.Add(mirror.config.RemovalGrace)
	for _, name := range names {
		if _, ok := mirror.names[name]; !ok {
			continue
		}
		if recoveredAt.IsZero() || !now.Before(due) {
			mirror.drop(name)
			removed = append(removed, name)
			continue
		}
		if _, ok := mirror.pendingRemovals[name]; !ok {
			mirror.pendingRemovals[name] = due
		}
		select {
		case mirror.wake <- struct{}{}:
		default:
		}
	}
	return removed
}

func (mirror *Mirror[Item]) drop(name string) {
	delete(mirror.names, name)
	delete(mirror.pendingRemovals, name)
}

// Run applies deferred removals until the context is cancelled.
func (mirror *Mirror[Item]) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-mirror.wake:
		case <-timer.C:
		}
		timer.Reset(mirror.removeDue(time.Now()))
	}
}

// removeDue applies the removals that are due and returns the time until the next one is due.
func (mirror *Mirror[Item]) removeDue(now time.Time) time.Duration {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	next := time.Hour
	var removed []string
	for name, due := range mirror.pendingRemovals {
		if now.Before(due) {
			next = min(next, due.Sub(now))
			continue
		}
		mirror.drop(name)
		removed = append(removed, name)
	}
	if len(removed) > 0 {
		mirror.config.Apply(nil, removed)
	}
	return next
}
