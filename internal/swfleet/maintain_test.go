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

// sharedRegister is a register in memory that several fleets see, each change at once.
type sharedRegister struct {
	mutex  sync.Mutex
	fleets []*Fleet
	names  []string
}

func (register *sharedRegister) ListStale(context.Context, string) ([]swplatform.Object, uint64, error) {
	return nil, 0, nil
}

func (register *sharedRegister) PutObject(_ context.Context, kind, name string, value []byte) error {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	vm, _ := Decode(swplatform.Object{Kind: kind, Name: name, Value: value})
	register.names = append(register.names, name)
	for _, fleet := range register.fleets {
		fleet.Apply([]VM{vm}, nil)
	}
	return nil
}

func (register *sharedRegister) DeleteObject(_ context.Context, _, name string) error {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	register.names = slices.DeleteFunc(register.names, func(known string) bool { return known == name })
	for _, fleet := range register.fleets {
		fleet.Apply(nil, []string{name})
	}
	return nil
}

func (register *sharedRegister) sorted() []string {
	register.mutex.Lock()
	defer register.mutex.Unlock()
	return slices.Sorted(slices.Values(register.names))
}

// TestVMsThatAreGoneLeaveTheRegister runs three VMs of a data centre of which the first is followed. One fails for good, one is
// only away for a while, and a VM of another data centre is none of their business.
func TestVMsThatAreGoneLeaveTheRegister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(t.Context())
		defer group.Stop()
		register := &sharedRegister{}
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
		wait(goneAfter / 2)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-2", "vm.vm-3"}, register.sorted()); diff != "" {
			t.Error("register (-want +got):\n" + diff)
		}
		wait(goneAfter)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-3"}, register.sorted()); diff != "" {
			t.Error("register once one is gone (-want +got):\n" + diff)
		}
		if diff := cmp.Diff([]int{3, 3}, []int{leader.Len(), follower.Len()}); diff != "" {
			t.Error("VMs that share the budget (-want +got):\n" + diff)
		}
		away = true
		wait(goneAfter + 2*keepEvery)
		away = false
		wait(2 * keepEvery)
		if diff := cmp.Diff([]string{"vm.vm-0", "vm.vm-1", "vm.vm-3"}, register.sorted()); diff != "" {
			t.Error("register once the one that was cut off is back (-want +got):\n" + diff)
		}
	})
}
