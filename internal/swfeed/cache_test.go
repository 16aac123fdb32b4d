package swfeed

import (
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
	want := map[uint64]outcome{0: {true, 2}, 9: {true, 2}, 10: {true, 2}, last - 3: {false, 3}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("changes (-want +got):\n" + diff)
	}
	if _, ok := cache.apply(swfollow.Change{Full: true, Position: swplatform.Position{Revision: 5}}); ok {
		t.Error("a listing that is older than the cache was applied")
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
