package swfleet

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
)

// sharedRegistry is a registry in memory that applies each change to several fleets immediately.
type sharedRegistry struct {
	mutex  sync.Mutex
	fleets []*Fleet
	names  []string
}

func (registry *sharedRegistry) ListStale(context.Context, string) ([]swplatform.Object, swplatform.Position, error) {
	return nil, swplatform.Position{}, nil
}

func (registry *sharedRegistry) PutObject(_ context.Context, kind, name string, value []byte) error {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	vm, _ := Decode(swplatform.Object{Kind: kind, Name: name, Value: value})
	registry.names = append(registry.names, name)
	for _, fleet := range registry.fleets {
		fleet.Apply([]VM{vm}, nil)
	}
	return nil
}

func (registry *sharedRegistry) DeleteObject(_ context.Context, _, name string) error {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.names = slices.DeleteFunc(registry.names, func(known string) bool { return known == name })
	for _, fleet := range registry.fleets {
		fleet.Apply(nil, []string{name})
	}
	return nil
}

func (registry *sharedRegistry) sorted() []string {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return slices.Sorted(slices.Values(registry.names))
}

// Of three VMs in a data centre, the first is the leader. One never polls it and must be removed, one is partitioned for a
// while and must register again. A VM of another data centre must stay.
func TestUnresponsiveVMsAreRemovedFromTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(t.Context())
		defer group.Stop()
		registry := &sharedRegistry{}
		leader, follower := New(newVM(0, "dc", 1)), New(newVM(1, "dc", 1))
		registry.fleets = []*Fleet{leader, follower}
		for _, vm := range []VM{newVM(0, "dc", 1), newVM(1, "dc", 1), newVM(2, "dc", 1), newVM(3, "other", 1)} {
			value, err := vm.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if err := registry.PutObject(t.Context(), "", vm.objectName(), value); err != nil {
				t.Fatal(err)
			}
		}
		partitioned := false
		group.Go(func(ctx context.Context) { leader.Maintain(ctx, registry, func() bool { return true }, zerolog.Nop()) })
		group.Go(func(ctx context.Context) {
			follower.Maintain(ctx, registry, func() bool { return false }, zerolog.Nop())
		})
		wait := func(span time.Duration) {
			for range span / time.Second {
				if !partitioned {
					leader.RecordPoll("vm-1")
				}
				time.Sleep(time.Second)
			}
		}
		wait(removeAfter / 2)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-2", "vm.vm-3"}, registry.sorted()); diff != "" {
			t.Error("registry (-want +got):\n" + diff)
		}
		wait(removeAfter)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-3"}, registry.sorted()); diff != "" {
			t.Error("registry after one VM failed (-want +got):\n" + diff)
		}
		if diff := cmp.Diff([]int{3, 3}, []int{leader.Len(), follower.Len()}); diff != "" {
			t.Error("number of VMs in each fleet (-want +got):\n" + diff)
		}
		partitioned = true
		wait(removeAfter + 2*maintainInterval)
		partitioned = false
		wait(2 * maintainInterval)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-3"}, registry.sorted()); diff != "" {
			t.Error("registry after the partitioned VM has returned (-want +got):\n" + diff)
		}
	})
}
