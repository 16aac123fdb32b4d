package swfollow

import (
	"context"
	"maps"
	"slices"
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
	// An object may change and be deleted within one change of the store. Its last event decides.
	items := make(map[string]Item, len(change.Objects))
	absent := make(map[string]bool)
	for _, object := range change.Objects {
		item, ok := mirror.config.Decode(object)
		absent[object.Name] = object.Deleted || !ok
		if !absent[object.Name] {
			items[object.Name] = item
			mirror.names[object.Name] = struct{}{}
		}
	}
	if change.Full {
		for name := range mirror.names {
			if _, listed := absent[name]; !listed {
				absent[name] = true
			}
		}
	}
	var missing []string
	for name, isAbsent := range absent {
		if isAbsent {
			missing = append(missing, name)
		} else {
			delete(mirror.pendingRemovals, name)
		}
	}
	removed := mirror.removeOrDefer(missing, change.RecoveredAt, now)
	for _, name := range removed {
		delete(items, name)
	}
	mirror.config.Apply(slices.Collect(maps.Values(items)), removed)
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
