package swlabfleet

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
)

// States of VMs in the platform's VM list.
const (
	stateLive    = "Live"
	stateLeaving = "Leaving"
)

// StartVM starts the program of a VM, or restarts it after StopVM or KillVM.
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

// StopVM stops a VM gracefully. Meanwhile the platform's VM list shows it as leaving, with the delay of the list.
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

// KillVM kills the program of a VM and cuts its connections to callers, peers and the platform.
func (fleet *Fleet) KillVM(vm *VM) {
	fleet.setIsolated(vm, true)
	vm.caller.CloseConnections()
	vm.platform.CloseConnections()
	vm.kill()
}

// SetVMPaused suspends a VM while its connections stay open, or resumes it.
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

// setIsolated cuts a VM off from callers, peers and the platform, or reconnects it. It can still reach backend servers.
func (fleet *Fleet) setIsolated(vm *VM, isolated bool) {
	fleet.changeLinks(vm, func(link *swlabproxy.Link) { link.Cut = isolated })
}

// changeLinks applies a change to the links between a VM and callers, peers and the platform.
func (fleet *Fleet) changeLinks(vm *VM, change func(link *swlabproxy.Link)) {
	fleet.Network.ChangeBoth(vm.Name, groupPlatform, change)
	fleet.Network.ChangeBoth(groupCallers, vm.Name, change)
	for _, other := range fleet.VMs {
		if other != vm {
			fleet.Network.ChangeBoth(vm.Name, other.Name, change)
		}
	}
}

// takeProcess returns the VM's process and clears the field, so that the process is stopped only once. It returns nil when
// the VM does not run.
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

// setState changes the state of a VM or backend server in the platform's VM list.
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

// stateOf returns the state of a VM or backend server. The mutex must be held.
func (fleet *Fleet) stateOf(name string) string {
	if state, ok := fleet.states[name]; ok {
		return state
	}
	return stateLive
}
