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

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
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

// TestVMsKeepTheirSharesWhenTheStoreLosesTheRegistry guards against VMs that take the budgets and limits of all for themselves, because
// the store came back from a copy from before they registered.
func TestVMsKeepTheirSharesWhenTheStoreLosesTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 50
		group := swgroup.New(t.Context())
		defer group.Stop()
		registry := &sharedRegistry{}
		var mirrors []*swfollow.Mirror[VM]
		for i := range vms {
			fleet := New(newVM(i, "dc", 1))
			registry.fleets = append(registry.fleets, fleet)
			mirror := swfollow.NewMirror(swfollow.MirrorConfig[VM]{Decode: Decode, Apply: fleet.Apply, RemovalGrace: RemovalGrace})
			mirrors = append(mirrors, mirror)
			group.Go(mirror.Run)
			group.Go(func(ctx context.Context) {
				fleet.Maintain(ctx, registry, func() bool { return i == 0 }, zerolog.Nop())
			})
		}
		deliver := func(change swfollow.Change) {
			for i, mirror := range mirrors {
				registry.fleets[i].ObserveListing(change)
				mirror.Receive(change)
			}
		}
		var objects []swplatform.Object
		for i := range vms {
			vm := newVM(i, "dc", 1)
			value, err := vm.Encode()
			if err != nil {
				t.Fatal(err)
			}
			objects = append(objects, swplatform.Object{Name: vm.objectName(), Value: value})
		}
		deliver(swfollow.Change{Full: true, Objects: objects})
		time.Sleep(maintainInterval / 2)
		deliver(swfollow.Change{Full: true, Objects: objects[:3], RecoveredAt: time.Now()})
		smallest := vms
		for range 150 {
			time.Sleep(10 * time.Millisecond)
			for _, fleet := range registry.fleets {
				smallest = min(smallest, fleet.Len())
			}
		}
		if diff := cmp.Diff(vms, smallest); diff != "" {
			t.Error("smallest number of VMs that a VM counted (-want +got):\n" + diff)
		}
		if diff := cmp.Diff(vms-3, len(registry.sorted())); diff != "" {
			t.Error("VMs that registered again (-want +got):\n" + diff)
		}
	})
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
