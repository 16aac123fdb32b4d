package swfleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swrelay"
)

// TestRelaysAreChosenInProportionToCapacity counts how many VMs of one data centre prefer each VM of another as relay.
func TestRelaysAreChosenInProportionToCapacity(t *testing.T) {
	const small, large, senders = 20.0, 200.0, 400
	var vms []VM
	for i := range 12 {
		capacity := small
		if i < 2 {
			capacity = large
		}
		vms = append(vms, newVM(i, "far", capacity))
	}
	chosen := make(map[string]int)
	for i := range senders {
		fleet := New(newVM(100+i, "here", small))
		fleet.Apply(vms, nil)
		relays := fleet.Relays("far", "r")
		if diff := cmp.Diff(swrelay.MaxRelays, len(relays)); diff != "" {
			t.Fatal("relays (-want +got):\n" + diff)
		}
		chosen[relays[0].Name]++
	}
	// The two large VMs have 400 of the 600 units of capacity.
	if share := float64(chosen["vm-0"]+chosen["vm-1"]) / senders; share < 0.58 || share > 0.75 {
		t.Errorf("%.2f of the senders prefer the large VMs, want about 0.67", share)
	}
}

func TestRelaysComeFromTheRegionIfTheDataCentreHasNoVMs(t *testing.T) {
	fleet := New(newVM(0, "here", 1))
	other := newVM(1, "beside", 1)
	other.Region = "q"
	fleet.Apply([]VM{other, newVM(2, "elsewhere", 1)}, nil)
	relays := fleet.Relays("empty", "q")
	if len(relays) != 1 || relays[0].Name != "vm-1" {
		t.Errorf("relays = %v, want the only VM of the region", relays)
	}
	fleet.Apply(nil, []string{"vm.vm-1"})
	if relays := fleet.Relays("empty", "q"); len(relays) != 0 {
		t.Errorf("relays = %v after the VM was removed, want none", relays)
	}
}
