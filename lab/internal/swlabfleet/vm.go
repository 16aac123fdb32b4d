package swlabfleet

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
)

// States of the platform's VM list.
const (
	stateLive    = "Live"
	stateLeaving = "Leaving"
)

// StartVM starts the program of a VM, anew after a stop or kill.
func (fleet *Fleet) StartVM(ctx context.Context, vm *VM) error {
	process, err := fleet.config.Launch(ctx, vm.settings)
	if err != nil {
		return errors.Wrapf(err, "start %s", vm.Name)
	}
	vm.mutex.Lock()
	vm.process = process
	vm.mutex.Unlock()
	fleet.setIsolated(vm, false)
	return nil
}

// StopVM ends a VM gracefully; the platform's list shows it as leaving, after its lag.
func (fleet *Fleet) StopVM(ctx context.Context, vm *VM) error {
	fleet.setState(vm.Name, stateLeaving)
	defer fleet.setState(vm.Name, stateLive)
	process := vm.takeProcess()
	if process == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return errors.Wrapf(process.Stop(ctx), "stop %s", vm.Name)
}

// KillVM ends a VM at once, with all of its traffic.
func (fleet *Fleet) KillVM(vm *VM) {
	fleet.setIsolated(vm, true)
	vm.caller.CloseConnections()
	vm.platform.CloseConnections()
	vm.kill()
}

// PauseVM stops a VM from running while its connections stay open, or lets it run on.
func (fleet *Fleet) SetVMPaused(vm *VM, paused bool) error {
	vm.mutex.Lock()
	process := vm.process
	vm.mutex.Unlock()
	if process == nil {
		return nil
	}
	if err := process.SetPaused(paused); !errors.Is(err, errCannotPause) {
		return err
	}
	fleet.changeLinks(vm, func(link *swlabproxy.Link) { link.Hold = paused })
	return nil
}

// isolate cuts a VM off from everything but backend servers, or heals the cut.
func (fleet *Fleet) setIsolated(vm *VM, cut bool) {
	fleet.changeLinks(vm, func(link *swlabproxy.Link) { link.Cut = cut })
}

func (fleet *Fleet) changeLinks(vm *VM, change func(link *swlabproxy.Link)) {
	fleet.Network.ChangeBoth(vm.Name, groupPlatform, change)
	fleet.Network.ChangeBoth(groupCallers, vm.Name, change)
	for _, other := range fleet.VMs {
		if other != vm {
			fleet.Network.ChangeBoth(vm.Name, other.Name, change)
		}
	}
}

// take removes the VM's process and returns it.
func (vm *VM) takeProcess() Process {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	process := vm.process
	vm.process = nil
	return process
}

func (vm *VM) kill() {
	if process := vm.takeProcess(); process != nil {
		process.Kill()
	}
}

// setState changes a VM's state in the platform's list.
func (fleet *Fleet) setState(name, state string) {
	fleet.mutex.Lock()
	fleet.states[name] = state
	fleet.mutex.Unlock()
	fleet.publishVMs()
}

func (fleet *Fleet) publishVMs() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var list []swlabplatform.VM
	for _, vm := range fleet.VMs {
		list = append(list, swlabplatform.VM{
			Name: vm.Name, Role: "Entry", DataCentre: vm.DataCentre.Name, Region: vm.DataCentre.Region,
			Peer: vm.peer.Address().String(), Caller: vm.settings.Caller.Listen.String(), State: fleet.stateOf(vm.Name),
		})
	}
	regions := make(map[string]string)
	for _, dataCentre := range fleet.config.User.DataCentres {
		regions[dataCentre.Name] = dataCentre.Region
	}
	for _, server := range fleet.servers {
		list = append(list, swlabplatform.VM{
			Name: server.Name(), Role: "Backend", DataCentre: server.DataCentre(), Region: regions[server.DataCentre()],
			State: fleet.stateOf(server.Name()),
		})
	}
	fleet.Platform.SetVMs(list)
}

// stateOf returns a VM's state; the mutex must be held.
func (fleet *Fleet) stateOf(name string) string {
	if state, ok := fleet.states[name]; ok {
		return state
	}
	return stateLive
}
