package swfleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// newVM returns a VM of a data centre.
func newVM(number int, dataCentre string, capacity float64) VM {
	return VM{
		Name: fmt.Sprint("vm-", number), DataCentre: dataCentre, Region: "r", Capacity: capacity,
		Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(number+1)),
	}
}

func TestAllVMsAgreeOnTheOrderOfUpstreams(t *testing.T) {
	var vms []VM
	for i := range 12 {
		vms = append(vms, newVM(i, "one", float64(20+180*(i%3/2))))
	}
	vms = append(vms, newVM(99, "two", 1000))
	lengths := make(map[int]bool)
	for _, self := range vms[:12] {
		fleet := New(self)
		fleet.Apply(vms, nil)
		upstreams := fleet.Upstreams()
		lengths[len(upstreams)] = true
		if self.Capacity < 100 && len(upstreams) < 4 {
			t.Errorf("%s is small and has only %d upstreams, want at least the four large VMs", self.Name, len(upstreams))
		}
		for _, peer := range upstreams {
			if peer.Name == "vm-99" || peer.Name == self.Name {
				t.Errorf("%s has %s as an upstream", self.Name, peer.Name)
			}
		}
	}
	if diff := cmp.Diff(12, len(lengths)); diff != "" {
		t.Error("number of different ranks (-want +got):\n" + diff)
	}
}

// memoryRegistry is a store in memory that holds the objects of VMs and fails the first listings.
type memoryRegistry struct {
	objects []swplatform.Object
	writes  []string
	fails   int
}

func (registry *memoryRegistry) ListStale(context.Context, string) ([]swplatform.Object, swplatform.Position, error) {
	if registry.fails > 0 {
		registry.fails--
		return nil, swplatform.Position{}, &swplatform.Error{Reason: swplatform.ErrUnavailable}
	}
	return registry.objects, swplatform.Position{Revision: 1}, nil
}

func (registry *memoryRegistry) PutObject(_ context.Context, _, name string, value []byte) error {
	registry.objects = append(registry.objects, swplatform.Object{Name: name, Value: slices.Clone(value)})
	registry.writes = append(registry.writes, name)
	return nil
}

func TestVMRegistersOnceAndAgainWhenItChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := &memoryRegistry{fails: 2, objects: []swplatform.Object{{Name: "stranger", Value: []byte("7")}}}
		moved := newVM(1, "one", 1)
		moved.Peer = netip.MustParseAddrPort("10.0.0.9:1")
		for _, self := range []VM{newVM(1, "one", 1), newVM(1, "one", 1), newVM(2, "one", 1), moved} {
			fleet := New(self)
			if err := fleet.Join(t.Context(), registry, zerolog.Nop()); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff([]string{"vm.vm-1", "vm.vm-2", "vm.vm-1"}, registry.writes); diff != "" {
			t.Error("writes (-want +got):\n" + diff)
		}
	})
}
