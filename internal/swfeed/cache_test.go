package swfeed

import (
	"runtime"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

func TestCacheSendsAllObjectsToLaggingPeers(t *testing.T) {
	cache := newCache(nil)
	object := func(name string, revision uint64) swplatform.Object {
		return swplatform.Object{Name: name, Position: swplatform.Position{Revision: revision}, Value: []byte("1")}
	}
	cache.apply(swfollow.Change{Full: true, Position: swplatform.Position{Revision: 10}, Objects: []swplatform.Object{object("a", 5)}})
	for revision := uint64(11); revision < 11+2*maxLoggedChanges; revision++ {
		cache.apply(swfollow.Change{Position: swplatform.Position{Revision: revision}, Objects: []swplatform.Object{object("b", revision)}})
	}
	type outcome struct {
		Whole   bool
		Objects int
	}
	last := uint64(10 + 2*maxLoggedChanges)
	got := make(map[uint64]outcome)
	for _, revision := range []uint64{0, 9, 10, last - 3, last} {
		if change, ok := cache.changesSince(swplatform.Position{Revision: revision}); ok {
			got[revision] = outcome{change.Full, len(change.Objects)}
		}
	}
	want := map[uint64]outcome{0: {true, 2}, 9: {true, 2}, 10: {true, 2}, last - 3: {false, 1}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("changes (-want +got):\n" + diff)
	}
	if _, ok := cache.apply(swfollow.Change{Full: true, Position: swplatform.Position{Revision: 5}}); ok {
		t.Error("a listing that is older than the cache was applied")
	}
}

// TestCacheHoldsOneVersionOfEachObject guards against a VM whose memory grows with each version of a large object (review case 8), and against a
// peer that gets another state than the newest one.
func TestCacheHoldsOneVersionOfEachObject(t *testing.T) {
	const (
		versions    = 2000
		size        = 1 << 20
		heldAtMost  = 4 * size
		otherObject = "other"
	)
	position := func(revision uint64) swplatform.Position { return swplatform.Position{Revision: revision} }
	cache := newCache(nil)
	cache.apply(swfollow.Change{Full: true, Position: position(1), Objects: []swplatform.Object{{Name: otherObject}, {Name: "gone", Value: make([]byte, size)}}})
	cache.apply(swfollow.Change{Position: position(2), Objects: []swplatform.Object{{Name: "gone", Value: make([]byte, size), Deleted: true}}})
	last := uint64(2)
	for range versions {
		last++
		value := make([]byte, size)
		value[0] = byte(last)
		cache.apply(swfollow.Change{Position: position(last), Objects: []swplatform.Object{{Name: "config", Position: position(last), Value: value}}})
	}
	held := 0
	for _, object := range cache.objects {
		held += len(object.Value)
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	if held > heldAtMost || memory.HeapAlloc > 2*heldAtMost {
		t.Errorf("%d bytes of values are held, and %d on the heap, after %d versions of %d bytes", held, memory.HeapAlloc, versions, size)
	}
	for name, test := range map[string]struct {
		lacks uint64
		want  []string
	}{
		"away for all":    {1, []string{"config", otherObject}},
		"away for a part": {last - 500, []string{"config"}},
		"one behind":      {last - 1, []string{"config"}},
	} {
		change, _ := cache.changesSince(position(test.lacks))
		var got []string
		for _, object := range change.Objects {
			got = append(got, object.Name)
			if object.Name == "config" && object.Value[0] != byte(last) {
				t.Errorf("%s: not the newest version", name)
			}
		}
		slices.Sort(got)
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: objects (-want +got):\n%s", name, diff)
		}
	}
}

// TestVMThatStartsWhileTheStoreIsBehindReceivesWhatItsPeersHold guards against a VM that serves an older configuration than its peers,
// because it starts between the store's return from an older copy and the operator's second writing.
func TestVMThatStartsWhileTheStoreIsBehindReceivesWhatItsPeersHold(t *testing.T) {
	object := func(name string, version byte) swplatform.Object {
		return swplatform.Object{Name: name, Value: []byte{version}}
	}
	full := func(position swplatform.Position, objects ...swplatform.Object) swfollow.Change {
		return swfollow.Change{Full: true, Position: position, Objects: objects}
	}
	cache := newCache(func(held, arrived *swplatform.Object) bool {
		return held.Name == "config" && (arrived.Deleted || arrived.Value[0] < held.Value[0])
	})
	for _, step := range []struct {
		change swfollow.Change
		want   map[string]byte
	}{
		{full(swplatform.Position{Era: 1, Revision: 9}, object("config", 5), object("a", 1)), map[string]byte{"config": 5, "a": 1}},
		{full(swplatform.Position{Era: 2, Revision: 4}, object("config", 3), object("b", 1)), map[string]byte{"config": 5, "b": 1}},
		{full(swplatform.Position{Era: 3, Revision: 2}), map[string]byte{"config": 5}},
		{full(swplatform.Position{Era: 3, Revision: 3}, object("config", 5)), map[string]byte{"config": 5}},
		{swfollow.Change{Position: swplatform.Position{Era: 3, Revision: 4}, Objects: []swplatform.Object{object("config", 6)}}, map[string]byte{"config": 6}},
	} {
		if _, ok := cache.apply(step.change); !ok {
			t.Errorf("the change at %v was not applied", step.change.Position)
		}
		change, _ := cache.changesSince(swplatform.Position{})
		got := make(map[string]byte)
		for _, object := range change.Objects {
			got[object.Name] = object.Value[0]
		}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("objects for a VM that starts, at %v (-want +got):\n%s", step.change.Position, diff)
		}
	}
}
