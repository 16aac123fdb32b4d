package swfollow

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// MirrorConfig holds what a Mirror is built from.
type MirrorConfig[Item any] struct {
	// Decode reads an object. One that is not usable is treated as absent.
	Decode func(object swplatform.Object) (item Item, ok bool)
	// Apply takes the items that are new or changed and the names that are gone.
	Apply func(changed []Item, gone []string)
	// Grace is how long after an outage of the store a missing object is kept, since its writer may not have been able to
	// renew it.
	RemovalGrace time.Duration
}

// Mirror holds the decoded objects of one kind. Construct it with NewMirror; it is safe for concurrent use.
type Mirror[Item any] struct {
	config MirrorConfig[Item]
	// woken has an element when a removal was put off.
	woken chan struct{}

	mutex   sync.Mutex
	present map[string]struct{}
	// missing holds when an object that the store no longer has is taken for gone.
	missing map[string]time.Time
}

// NewMirror returns an empty mirror.
func NewMirror[Item any](config MirrorConfig[Item]) *Mirror[Item] {
	return &Mirror[Item]{
		config:  config,
		woken:   make(chan struct{}, 1),
		present: make(map[string]struct{}),
		missing: make(map[string]time.Time),
	}
}

// Receive takes a change of the store.
func (mirror *Mirror[Item]) Receive(change Change) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	now := time.Now()
	var changed []Item
	seen := make(map[string]bool, len(change.Objects))
	var gone []string
	for _, object := range change.Objects {
		item, ok := mirror.config.Decode(object)
		if object.Deleted || !ok {
			gone = append(gone, object.Name)
			continue
		}
		seen[object.Name] = true
		mirror.present[object.Name] = struct{}{}
		delete(mirror.missing, object.Name)
		changed = append(changed, item)
	}
	if change.Full {
		for name := range mirror.present {
			if !seen[name] {
				gone = append(gone, name)
			}
		}
	}
	mirror.config.Apply(changed, mirror.remove(gone, change.RecoveredAt, now))
}

// remove takes names out of the mirror, or puts that off while the store has just come back. It returns those that are out.
func (mirror *Mirror[Item]) remove(names []string, regained, now time.Time) []string {
	var removed []string
	due := regained.Add(mirror.config.RemovalGrace)
	for _, name := range names {
		if _, ok := mirror.present[name]; !ok {
			continue
		}
		if regained.IsZero() || !now.Before(due) {
			mirror.drop(name)
			removed = append(removed, name)
			continue
		}
		if _, ok := mirror.missing[name]; !ok {
			mirror.missing[name] = due
		}
		select {
		case mirror.woken <- struct{}{}:
		default:
		}
	}
	return removed
}

func (mirror *Mirror[Item]) drop(name string) {
	delete(mirror.present, name)
	delete(mirror.missing, name)
}

// Run applies the removals that were put off, until the context ends.
func (mirror *Mirror[Item]) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-mirror.woken:
		case <-timer.C:
		}
		timer.Reset(mirror.sweep(time.Now()))
	}
}

// sweep applies what is due and returns the time until the next is.
func (mirror *Mirror[Item]) sweep(now time.Time) time.Duration {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	next := time.Hour
	var gone []string
	for name, due := range mirror.missing {
		if now.Before(due) {
			next = min(next, due.Sub(now))
			continue
		}
		mirror.drop(name)
		gone = append(gone, name)
	}
	if len(gone) > 0 {
		mirror.config.Apply(nil, gone)
	}
	return next
}
