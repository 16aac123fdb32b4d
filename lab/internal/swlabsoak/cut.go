package swlabsoak

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
)

// replicaCut is how VMs are cut off from all replicas. Clients, the store and other VMs still reach them. New connections are reset, as a proxy
// can't make the opening of a connection on the loopback interface hang.
type replicaCut int

const (
	// replicaCutSilent makes open connections drop all data.
	replicaCutSilent replicaCut = iota
	// replicaCutReset closes open connections.
	replicaCutReset
	// replicaCutRefuse leaves open connections as they are.
	replicaCutRefuse
)

// meanReplicaCut is the mean duration of a cut. It is long enough for idle connections to end.
const meanReplicaCut = 4 * time.Second

// cutReplicaLinks returns a fault that cuts some VMs, or all VMs of a data centre, off from all replicas.
func cutReplicaLinks(kind replicaCut) func(*injector, context.Context) {
	return func(injector *injector, ctx context.Context) {
		cut := injector.vmsToCut()
		injector.beginCut(kind, cut)
		injector.waitRandom(ctx, meanReplicaCut)
		injector.endCut(cut)
	}
}

func (injector *injector) beginCut(kind replicaCut, cut []*vm) {
	for _, vm := range cut {
		injector.disturb(swlabrule.Disturbance{VM: vm.name})
		injector.setReplicaLinks(vm, func(link *swlabproxy.Link) { link.Cut, link.Refuse = kind == replicaCutSilent, true })
	}
	if kind == replicaCutReset {
		injector.closeConnectionsOf(cut)
	}
}

func (injector *injector) endCut(cut []*vm) {
	for _, vm := range cut {
		injector.setReplicaLinks(vm, func(link *swlabproxy.Link) { link.Cut, link.Refuse = false, false })
	}
}

// vmsToCut returns the VMs of one data centre, or each VM with a probability of a half; at least one.
func (injector *injector) vmsToCut() []*vm {
	var chosen []*vm
	dataCentre := dataCentres[injector.random.IntN(len(dataCentres))]
	whole := injector.random.IntN(2) == 0
	for _, vm := range injector.fleet.vms {
		if whole && vm.settings.DataCentre == dataCentre || !whole && injector.random.IntN(2) == 0 {
			chosen = append(chosen, vm)
		}
	}
	if len(chosen) == 0 {
		chosen = append(chosen, injector.fleet.vms[0])
	}
	return chosen
}

func (injector *injector) setReplicaLinks(vm *vm, change func(*swlabproxy.Link)) {
	for _, dataCentre := range dataCentres {
		injector.fleet.network.ChangeBoth(vm.networkGroup, "replicas-"+dataCentre, change)
	}
}

func (injector *injector) closeConnectionsOf(vms []*vm) {
	injector.fleet.mutex.Lock()
	defer injector.fleet.mutex.Unlock()
	for _, proxiedReplica := range injector.fleet.replicas {
		for _, vm := range vms {
			proxiedReplica.proxy.CloseConnectionsFrom(vm.networkGroup)
		}
	}
}
