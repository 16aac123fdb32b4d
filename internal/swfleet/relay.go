package swfleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swrelay"
)

// Relays returns the VMs through which this VM reaches the servers of a data centre, the preferred one first: VMs of that data
// centre, or of its region when it has none. Each VM prefers others, in proportion to their capacity.
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

// rankRelays orders the VMs that a filter takes by weighted rendezvous hash. The caller holds the mutex.
func (fleet *Fleet) rankRelays(takes func(vm *VM) bool) []swrelay.Relay {
	type place struct {
		relay swrelay.Relay
		score float64
	}
	var places []place
	for _, vm := range fleet.vms {
		if vm.Name == fleet.self.Name || !takes(&vm) {
			continue
		}
		// The logarithm of an even draw, divided by the weight, is least for each VM as often as its weight says.
		draw := (float64(xxhash.Sum64String(fleet.self.Name+"/"+vm.Name)>>11) + 0.5) / (1 << 53)
		places = append(places, place{
			relay: swrelay.Relay{Name: vm.Name, Address: vm.Peer},
			score: -math.Log(draw) / max(vm.Capacity, 1),
		})
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.score, b.score) })
	relays := make([]swrelay.Relay, min(len(places), swrelay.MaxRelays))
	for i := range relays {
		relays[i] = places[i].relay
	}
	return relays
}
