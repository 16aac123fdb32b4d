package swfollow

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// collector collects the names that a Mirror under test applies.
type collector struct {
	*Mirror[string]
	names map[string]bool
	// removeFirst is set if the collector applies removals before changes.
	removeFirst bool
}

func newCollector(grace time.Duration) *collector {
	collector := &collector{names: make(map[string]bool)}
	collector.Mirror = NewMirror(MirrorConfig[string]{
		Decode: func(object swplatform.Object) (string, bool) { return object.Name, len(object.Value) > 0 },
		Apply: func(changed, removed []string) {
			remove := func() {
				for _, name := range removed {
					delete(collector.names, name)
				}
			}
			if collector.removeFirst {
				remove()
			}
			for _, name := range changed {
				collector.names[name] = true
			}
			if !collector.removeFirst {
				remove()
			}
		},
		RemovalGrace: grace,
	})
	return collector
}

func (collector *collector) list() []string {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	var names []string
	for name := range collector.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func objects(names ...string) []swplatform.Object {
	list := make([]swplatform.Object, len(names))
	for i, name := range names {
		list[i] = swplatform.Object{Name: name, Value: []byte("1")}
	}
	return list
}

func checkNames(t *testing.T, collector *collector, want ...string) {
	t.Helper()
	if diff := cmp.Diff(want, collector.list()); diff != "" {
		t.Error("names (-want +got):\n" + diff)
	}
}

func TestRemovalsApplyImmediatelyWhileTheStoreAnswers(t *testing.T) {
	collector := newCollector(2 * time.Second)
	collector.Receive(Change{Full: true, Objects: objects("a", "b", "c")})
	collector.Receive(Change{Objects: []swplatform.Object{{Name: "b", Deleted: true}}})
	checkNames(t, collector, "a", "c")
	collector.Receive(Change{Full: true, Objects: objects("c")})
	checkNames(t, collector, "c")
}

// TestLastEventOfAnObjectDecides guards against a replica that stays in use although the store has removed its entry, because the
// entry changed and was removed within one response of a watch.
func TestLastEventOfAnObjectDecides(t *testing.T) {
	put, deleted := objects("b")[0], swplatform.Object{Name: "b", Deleted: true}
	for name, test := range map[string]struct {
		events []swplatform.Object
		want   []string
	}{
		"changed, then removed":       {[]swplatform.Object{put, deleted}, []string{"a"}},
		"removed, then back":          {[]swplatform.Object{deleted, put}, []string{"a", "b"}},
		"back and removed once more":  {[]swplatform.Object{deleted, put, deleted}, []string{"a"}},
		"changed, then not decodable": {[]swplatform.Object{put, {Name: "b"}}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			// Subscribers differ in whether they apply removals or changes first.
			for _, removeFirst := range []bool{false, true} {
				collector := newCollector(2 * time.Second)
				collector.removeFirst = removeFirst
				collector.Receive(Change{Full: true, Objects: objects("a", "b")})
				collector.Receive(Change{Objects: test.events})
				checkNames(t, collector, test.want...)
			}
		})
	}
}

func TestUndecodableObjectsAreAbsent(t *testing.T) {
	collector := newCollector(2 * time.Second)
	collector.Receive(Change{Full: true, Objects: append(objects("a"), swplatform.Object{Name: "b"})})
	checkNames(t, collector, "a")
}

func TestRemovalsAfterAnOutageAreDeferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Stop()
		collector := newCollector(2 * time.Second)
		group.Go(collector.Run)
		collector.Receive(Change{Full: true, Objects: objects("a", "b", "c")})
		recoveredAt := time.Now()
		collector.Receive(Change{Full: true, Objects: objects("a"), RecoveredAt: recoveredAt})
		checkNames(t, collector, "a", "b", "c")
		time.Sleep(time.Second)
		collector.Receive(Change{Objects: objects("b"), RecoveredAt: recoveredAt})
		time.Sleep(999 * time.Millisecond)
		checkNames(t, collector, "a", "b", "c")
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		checkNames(t, collector, "a", "b")
		collector.Receive(Change{Objects: []swplatform.Object{{Name: "b", Deleted: true}}, RecoveredAt: recoveredAt})
		checkNames(t, collector, "a")
	})
}

// TestEntryThatLapsedAndCameBackStays guards against services without replicas after an outage of the store: the entries lapsed and came
// back within one change, as a VM receives it that polls another one.
func TestEntryThatLapsedAndCameBackStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Stop()
		collector := newCollector(2 * time.Second)
		group.Go(collector.Run)
		collector.Receive(Change{Full: true, Objects: objects("a", "b")})
		collector.Receive(Change{Objects: append([]swplatform.Object{{Name: "b", Deleted: true}}, objects("b")...), RecoveredAt: time.Now()})
		time.Sleep(3 * time.Second)
		checkNames(t, collector, "a", "b")
	})
}

// TestChangeBeforeADeferredRemovalApplies checks that a replica whose removal is deferred has its latest entry, such as one that says
// that it is leaving.
func TestChangeBeforeADeferredRemovalApplies(t *testing.T) {
	collector := newCollector(2 * time.Second)
	recoveredAt := time.Now()
	collector.Receive(Change{Objects: []swplatform.Object{objects("b")[0], {Name: "b", Deleted: true}}, RecoveredAt: recoveredAt})
	checkNames(t, collector, "b")
}

// TestRemovalRightAfterAShortOutageApplies guards against requests to a replica that has left: its entry was removed while one VM had
// lost the store, for too short a time for the entries of live replicas to lapse. The VMs that poll this one reach the store.
func TestRemovalRightAfterAShortOutageApplies(t *testing.T) {
	for name, test := range map[string]struct {
		outage time.Duration
		want   []string
	}{
		"short outage": {time.Second, []string{"a"}},
		"long outage":  {3 * time.Second, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(context.Background())
				defer group.Stop()
				collector := newCollector(2 * time.Second)
				store := &outageStore{}
				follower := NewFollower(FollowerConfig{Source: store, Kind: "k", LapseAfter: 2200 * time.Millisecond, Receive: collector.Receive, Log: zerolog.Nop()})
				group.Go(follower.Run)
				time.Sleep(time.Second)
				store.setDown(true)
				time.Sleep(test.outage)
				store.setDown(false)
				time.Sleep(1500 * time.Millisecond)
				checkNames(t, collector, test.want...)
			})
		})
	}
}

// outageStore lists the objects a and b, and a alone once it has been down. Its watches last 100 ms.
type outageStore struct {
	mutex         sync.Mutex
	down, wasDown bool
	revision      uint64
}

func (store *outageStore) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down, store.wasDown = down, true
}

func (store *outageStore) ListObjects(context.Context, string) ([]swplatform.Object, swplatform.Position, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	switch {
	case store.down:
		return nil, swplatform.Position{}, &swplatform.Error{Reason: swplatform.ErrUnavailable}
	case store.wasDown:
		return objects("a"), swplatform.Position{Revision: store.revision}, nil
	}
	return objects("a", "b"), swplatform.Position{Revision: store.revision}, nil
}

func (store *outageStore) WatchObjects(ctx context.Context, _ string, after swplatform.Position, _ time.Duration) ([]swplatform.Object, swplatform.Position, error) {
	if err := swtimer.Wait(ctx, 100*time.Millisecond); err != nil {
		return nil, swplatform.Position{}, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return nil, swplatform.Position{}, &swplatform.Error{Reason: swplatform.ErrUnavailable}
	}
	return nil, after, nil
}

// scriptedStore fails the first watches with the given errors, and then returns changes.
type scriptedStore struct {
	lists   int
	watches []error
	changes chan []swplatform.Object
}

func (store *scriptedStore) ListObjects(context.Context, string) ([]swplatform.Object, swplatform.Position, error) {
	store.lists++
	return objects("a"), swplatform.Position{Revision: uint64(store.lists)}, nil
}

func (store *scriptedStore) WatchObjects(ctx context.Context, _ string, after swplatform.Position, _ time.Duration) ([]swplatform.Object, swplatform.Position, error) {
	if len(store.watches) > 0 {
		err := store.watches[0]
		store.watches = store.watches[1:]
		return nil, swplatform.Position{}, err
	}
	select {
	case changed := <-store.changes:
		return changed, swplatform.Position{Era: after.Era, Revision: after.Revision + 1}, nil
	case <-ctx.Done():
		return nil, swplatform.Position{}, ctx.Err()
	}
}

func TestFollowerListsAgainAfterAFailedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		store := &scriptedStore{
			watches: []error{
				&swplatform.Error{Reason: swplatform.ErrRevisionTooOld},
				&swplatform.Error{Reason: swplatform.ErrUnavailable},
			},
			changes: make(chan []swplatform.Object),
		}
		var changes []Change
		follower := NewFollower(FollowerConfig{Source: store, Kind: "k", Log: zerolog.Nop(), Receive: func(change Change) {
			changes = append(changes, change)
		}})
		group.Go(follower.Run)
		time.Sleep(5 * time.Second)
		store.changes <- objects("b")
		synctest.Wait()
		group.Stop()
		var got []bool
		for _, change := range changes {
			got = append(got, change.RecoveredAt.IsZero())
		}
		if diff := cmp.Diff([]bool{true, true, false, false}, got); diff != "" {
			t.Error("changes without a preceding outage (-want +got):\n" + diff)
		}
	})
}
