package swfleet

import "github.com/sycamorewall/sycamorewall/internal/swmember"

// View returns the registered VMs as members. The result is cached until the registry changes.
func (fleet *Fleet) View() *swmember.View {
	fleet.mutex.RLock()
	view := fleet.view
	fleet.mutex.RUnlock()
	if view != nil {
		return view
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	members := make([]swmember.Member, 0, len(fleet.vms))
	for _, vm := range fleet.vms {
		members = append(members, vm.member())
	}
	fleet.view = swmember.NewView(fleet.self.member(), members)
	return fleet.view
}

// SharedView returns the registered VMs once this VM has read the registry, and nil until then: alone in its fleet, it would take what belongs
// to all VMs.
func (fleet *Fleet) SharedView() *swmember.View {
	if !fleet.joined.Load() {
		return nil
	}
	return fleet.View()
}

// IsNew reports whether this VM was not in the registry when this process started, so that no former process was in use lately.
func (fleet *Fleet) IsNew() bool {
	return fleet.isNew.Load()
}

func (vm *VM) member() swmember.Member {
	return swmember.Member{Name: vm.Name, Region: vm.Region, DataCentre: vm.DataCentre, Peer: vm.Peer}
}
