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

func (register *sharedRegistry) ListStale(context.Context, string) ([]swplatform.Object, uint64, error) {
	return nil, 0, nil
}

func (register *sharedRegistry) PutObject(_ context.Context, kind, name string, value []byte) error {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	vm, _ := Decode(swplatform.Object{Kind: kind, Name: name, Value: value})
	register.names = append(register.names, name)
	for _, fleet := range register.fleets {
		fleet.Apply([]VM{vm}, nil)
	}
	return nil
}

func (register *sharedRegistry) DeleteObject(_ context.Context, _, name string) error {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	register.names = slices.DeleteFunc(register.names, func(known string) bool { return known == name })
	for _, fleet := range register.fleets {
		fleet.Apply(nil, []string{name})
	}
	return nil
}

func (register *sharedRegistry) sorted() []string {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	return slices.Sorted(slices.Values(register.names))
}

// Of three VMs in a data centre, the first is the leader. One never polls it and must be removed, one is partitioned for a
// while and must register again. A VM of another data centre must stay.
func TestUnresponsiveVMsAreRemovedFromTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(t.Context())
		defer group.Stop()
		register := &sharedRegistry{}
		leader, follower := New(newVM(0, "dc", 1)), New(newVM(1, "dc", 1))
		register.fleets = []*Fleet{leader, follower}
		for _, vm := range []VM{newVM(0, "dc", 1), newVM(1, "dc", 1), newVM(2, "dc", 1), newVM(3, "other", 1)} {
			value, err := vm.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if err := register.PutObject(t.Context(), "", vm.objectName(), value); err != nil {
				t.Fatal(err)
			}
		}
		away := false
		group.Go(func(ctx context.Context) { leader.Maintain(ctx, register, func() bool { return true }, zerolog.Nop()) })
		group.Go(func(ctx context.Context) {
			follower.Maintain(ctx, register, func() bool { return false }, zerolog.Nop())
		})
		wait := func(span time.Duration) {
			for range span / time.Second {
				if !away {
					leader.RecordPoll("vm-1")
				}
				time.Sleep(time.Second)
			}
		}
		wait(removeAfter / 2)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-2", "vm.vm-3"}, register.sorted()); diff != "" {
			t.Error("registry (-want +got):\n" + diff)
		}
		wait(removeAfter)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-3"}, register.sorted()); diff != "" {
			t.Error("registry after one VM failed (-want +got):\n" + diff)
		}
		if diff := cmp.Diff([]int{3, 3}, []int{leader.Len(), follower.Len()}); diff != "" {
			t.Error("number of VMs in each fleet (-want +got):\n" + diff)
		}
		away = true
		wait(removeAfter + 2*maintainInterval)
		away = false
		wait(2 * maintainInterval)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-3"}, register.sorted()); diff != "" {
			t.Error("registry after the partitioned VM has returned (-want +got):\n" + diff)
		}
	})
}
