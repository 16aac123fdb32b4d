package swfleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swrelay"
)

// Relays returns the VMs through which this VM reaches the servers of a data centre, in order of preference: VMs of that data
// centre, or of its region when it has none. Different VMs prefer different relays, in proportion to the relays' capacity.
func (fleet *Fleet) Relays(dataCentre, region string) []swrelay.Relay {
	fleet.mutex.RLock()
	relays, known := fleet.relays[dataCentre]
	fleet.mutex.RUnlock()
	if known {
		return relays
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	relays = fleet.rankRelays(func(vm *VM) bool { return vm.DataCentre == dataCentre })
	if len(relays) == 0 {
		relays = fleet.rankRelays(func(vm *VM) bool { return vm.Region == region })
	}
	fleet.relays[dataCentre] = relays
	return relays
}

// Others returns all other VMs, in no order.
func (fleet *Fleet) Others() []swrelay.Relay {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	others := make([]swrelay.Relay, 0, len(fleet.vms))
	for _, vm := range fleet.vms {
		if vm.Name != fleet.self.Name {
			others = append(others, vm.asRelay())
		}
	}
	return others
}

func (vm *VM) asRelay() swrelay.Relay {
	return swrelay.Relay{Name: vm.Name, Address: vm.Peer, DataCentre: vm.DataCentre, Region: vm.Region}
}

// rankRelays orders the VMs that match a filter by weighted rendezvous hash. The caller holds the mutex.
func (fleet *Fleet) rankRelays(matches func(vm *VM) bool) []swrelay.Relay {
	type candidate struct {
		relay swrelay.Relay
		score float64
	}
	var candidates []candidate
	for _, vm := range fleet.vms {
		if vm.Name == fleet.self.Name || !matches(&vm) {
			continue
		}
		// With a uniform hash u in (0, 1), -log(u)/weight is the minimum with a probability proportional to the weight.
		draw := (float64(xxhash.Sum64String(fleet.self.Name+"/"+vm.Name)>>11) + 0.5) / (1 << 53)
		candidates = append(candidates, candidate{
			relay: vm.asRelay(),
			score: -math.Log(draw) / max(vm.Capacity, 1),
		})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	relays := make([]swrelay.Relay, min(len(candidates), swrelay.MaxRelays))
	for i := range relays {
		relays[i] = candidates[i].relay
	}
	return relays
}
