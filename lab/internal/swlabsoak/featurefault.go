package swlabsoak

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
)

// featureFaults returns the faults of the features in use, besides environmentFaults.
func (recorder *recorder) featureFaults() []fault {
	var faults []fault
	if recorder.has(swlabrule.Evacuations) {
		faults = append(faults, fault{"a data centre is evacuated", (*injector).evacuateDataCentre})
	}
	if recorder.has(swlabrule.Cold) {
		faults = append(faults, fault{"a replica becomes cold", (*injector).coolReplica})
	}
	if recorder.has(swlabrule.Cold) || recorder.has(swlabrule.Tenants) {
		faults = append(faults, fault{"half of the VMs are cut off from all peers", (*injector).cutHalfOfPeers})
	}
	if recorder.has(swlabrule.Tenants) {
		faults = append(faults, fault{"a key is withdrawn", (*injector).changeConfiguration})
	}
	return faults
}

func (injector *injector) evacuateDataCentre(ctx context.Context) {
	if err := injector.fleet.evacuate(ctx, dataCentres[injector.random.IntN(len(dataCentres))]); err != nil {
		injector.log("evacuation not written: %v", err)
	}
}

// coolReplica makes a replica cold while it is in use, for longer than VMs may take to learn of it.
func (injector *injector) coolReplica(ctx context.Context) {
	if proxiedReplica := injector.randomReplica(); proxiedReplica != nil {
		proxiedReplica.replica.BecomeCold(warmUpNotice + warmUp)
		injector.waitRandom(ctx, time.Second)
	}
}

// cutHalfOfPeers cuts every second VM off from all other VMs for longer than a quota's window. They still reach the store and the replicas,
// so each has to keep to its share of all limits.
func (injector *injector) cutHalfOfPeers(ctx context.Context) {
	set := func(cut bool) {
		for i := 0; i < len(injector.fleet.vms); i += 2 {
			injector.fleet.network.ChangeBoth("peers", injector.fleet.vms[i].networkGroup, func(link *swlabproxy.Link) { link.Cut = cut })
		}
	}
	for i := 0; i < len(injector.fleet.vms); i += 2 {
		injector.disturb(swlabrule.Disturbance{VM: injector.fleet.vms[i].name, PeersOnly: true})
	}
	set(true)
	_ = swtimer.Wait(ctx, quotaWindow+time.Second)
	set(false)
}

// disturb records that the fault may keep a VM, or all if none is named, from learning of a change until the fault ends.
func (injector *injector) disturb(disturbance swlabrule.Disturbance) {
	injector.endings = append(injector.endings, injector.fleet.results.recorder.disturb(disturbance))
}

// endDisturbances records that the fault has ended.
func (injector *injector) endDisturbances() {
	for _, end := range injector.endings {
		end()
	}
	injector.endings = nil
}
