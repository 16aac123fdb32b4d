package swlabsoak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
)

// injector injects a series of random faults, drawn from its own seed. Several injectors run at the same time, so that faults
// overlap.
type injector struct {
	fleet  *fleet
	random *rand.Rand
	log    func(format string, values ...any)
	// endings end the disturbances of the current fault.
	endings []func()
}

// fault is a kind of fault. Its run method injects the fault and returns once the fault has ended.
type fault struct {
	name string
	run  func(injector *injector, ctx context.Context)
}

// processFaults affect the processes of VMs, environmentFaults the store, the replicas and the network.
var (
	processFaults = []fault{
		{"stop and start a VM", (*injector).restartVM},
		{"kill a VM", (*injector).killVM},
		{"kill all VMs", (*injector).killAllVMs},
		{"pause a VM", (*injector).pauseVM},
		{"signal all VMs to reload", (*injector).reloadVMs},
	}
	environmentFaults = []fault{
		{"store is busy", storeFault(swlabusers.Fault{Busy: true})},
		{"store resets connections", storeFault(swlabusers.Fault{Reset: true})},
		{"store does not respond", storeFault(swlabusers.Fault{Unresponsive: true})},
		{"store is slow", storeFault(swlabusers.Fault{Delay: 300 * time.Millisecond})},
		{"store loses responses", storeFault(swlabusers.Fault{LoseAnswers: true})},
		{"store drops its history", (*injector).compactStore},
		{"store comes back from an older copy", (*injector).rollBackStore},
		{"a VM is cut off from the store", (*injector).cutStoreLink},
		{"a VM is cut off from its peers", (*injector).cutPeerLink},
		{"connections to the store stall", (*injector).stallStoreConnections},
		{"connections to replicas stall", (*injector).stallReplicaConnections},
		{"connections to replicas are closed", (*injector).closeReplicaConnections},
		{"the network to replicas is slow", (*injector).delayReplicaLink},
		{"VMs are cut off from all replicas, silently", cutReplicaLinks(replicaCutSilent)},
		{"VMs are cut off from all replicas by resets", cutReplicaLinks(replicaCutReset)},
		{"VMs can open no connection to replicas", cutReplicaLinks(replicaCutRefuse)},
		{"a replica crashes", (*injector).crashReplica},
		{"a replica leaves", (*injector).drainReplica},
		{"replicas reject requests, or fail them as if they did", replicaFault(swlabusers.ReplicaFault{Shed: true, FailAsRejection: true})},
		{"replicas lose responses", replicaFault(swlabusers.ReplicaFault{LoseAnswers: true})},
		{"replicas respond twice", replicaFault(swlabusers.ReplicaFault{DuplicateAnswers: true})},
		{"replicas respond twice, late", replicaFault(swlabusers.ReplicaFault{LateCopies: true})},
		{"replicas reject requests, twice and late, or cut short", replicaFault(swlabusers.ReplicaFault{Shed: true, LateCopies: true, CutCopies: true})},
		{"replicas respond without end", (*injector).sendEndlessResponses},
		{"replicas want nothing for a while", replicaFault(swlabusers.ReplicaFault{RetryAfter: 1500 * time.Millisecond})},
		{"replicas limit their rate", (*injector).limitReplicas},
		{"replicas are slow", replicaFault(swlabusers.ReplicaFault{ExtraServiceTime: 100 * time.Millisecond})},
		{"the configuration changes", (*injector).changeConfiguration},
	}
)

// injectUntilDone injects one fault after another until the context is done.
func (injector *injector) injectUntilDone(ctx context.Context, faults []fault) {
	for ctx.Err() == nil {
		chosen := faults[injector.random.IntN(len(faults))]
		injector.log("%s", chosen.name)
		chosen.run(injector, ctx)
		injector.endDisturbances()
		injector.waitRandom(ctx, 300*time.Millisecond)
	}
}

// waitRandom waits for a random time of up to twice the mean.
func (injector *injector) waitRandom(ctx context.Context, mean time.Duration) {
	_ = swtimer.Wait(ctx, time.Duration(injector.random.Int64N(int64(2*mean))))
}

func (injector *injector) randomVM() *vm {
	vm := injector.fleet.vms[injector.random.IntN(len(injector.fleet.vms))]
	injector.disturb(swlabrule.Disturbance{VM: vm.name})
	return vm
}

func (injector *injector) startVM(vm *vm) {
	if err := vm.start(injector.fleet.binary, injector.fleet.directory); err != nil {
		injector.log("%s did not start: %v", vm.name, err)
	}
}

func (injector *injector) restartVM(context.Context) {
	vm := injector.randomVM()
	vm.signal(syscall.SIGTERM)
	select {
	case <-vm.done():
	case <-time.After(2 * stopGrace):
		injector.log("%s still runs after twice its grace period; killing it", vm.name)
		vm.signal(syscall.SIGKILL)
	}
	injector.startVM(vm)
}

func (injector *injector) killVM(ctx context.Context) {
	vm := injector.randomVM()
	vm.signal(syscall.SIGKILL)
	injector.waitRandom(ctx, 500*time.Millisecond)
	injector.startVM(vm)
}

func (injector *injector) killAllVMs(ctx context.Context) {
	injector.disturb(swlabrule.Disturbance{})
	for _, vm := range injector.fleet.vms {
		vm.signal(syscall.SIGKILL)
	}
	injector.waitRandom(ctx, 300*time.Millisecond)
	for _, vm := range injector.fleet.vms {
		injector.startVM(vm)
	}
}

func (injector *injector) pauseVM(ctx context.Context) {
	vm := injector.randomVM()
	vm.signal(syscall.SIGSTOP)
	injector.waitRandom(ctx, 1500*time.Millisecond)
	vm.signal(syscall.SIGCONT)
}

func (injector *injector) reloadVMs(context.Context) {
	for _, vm := range injector.fleet.vms {
		vm.signal(syscall.SIGHUP)
	}
}

func storeFault(fault swlabusers.Fault) func(*injector, context.Context) {
	return func(injector *injector, ctx context.Context) {
		injector.disturb(swlabrule.Disturbance{})
		injector.fleet.store.SetFault(fault)
		injector.waitRandom(ctx, 2*time.Second)
		injector.fleet.store.SetFault(swlabusers.Fault{})
	}
}

func (injector *injector) compactStore(context.Context) {
	injector.disturb(swlabrule.Disturbance{})
	injector.fleet.store.Compact()
}

// maxRollBack bounds how much the store loses.
const maxRollBack = 1500 * time.Millisecond

// rollBackStore makes the store go away, lose its latest writes and return. The operator then writes the configuration again, and the
// replicas their entries.
func (injector *injector) rollBackStore(ctx context.Context) {
	injector.disturb(swlabrule.Disturbance{})
	store := injector.fleet.store
	store.SetFault(swlabusers.Fault{Reset: true})
	injector.waitRandom(ctx, 300*time.Millisecond)
	store.RollBack(time.Now().Add(-time.Duration(injector.random.Int64N(int64(maxRollBack)))))
	store.SetFault(swlabusers.Fault{})
	injector.waitRandom(ctx, 100*time.Millisecond)
	if err := injector.fleet.writeConfigurationAgain(); err != nil {
		injector.log("configuration not written: %v", err)
	}
}

// cutLink cuts a link for a while, in one direction or in both.
func (injector *injector) cutLink(ctx context.Context, from, to string) {
	network := injector.fleet.network
	set := func(cut bool) func(*swlabproxy.Link) { return func(link *swlabproxy.Link) { link.Cut = cut } }
	if injector.random.IntN(2) == 0 {
		network.Change(from, to, set(true))
	} else {
		network.ChangeBoth(from, to, set(true))
	}
	injector.waitRandom(ctx, 2*time.Second)
	network.ChangeBoth(from, to, set(false))
}

func (injector *injector) cutStoreLink(ctx context.Context) {
	injector.cutLink(ctx, injector.randomVM().networkGroup, "store")
}

func (injector *injector) cutPeerLink(ctx context.Context) {
	injector.cutLink(ctx, "peers", injector.randomVM().networkGroup)
}

func (injector *injector) stallStoreConnections(context.Context) {
	injector.randomVM().storeProxy.StallConnections()
}

// randomReplica returns a replica that runs and is not draining, or nil when there is none.
func (injector *injector) randomReplica() *proxiedReplica {
	fleet := injector.fleet
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var running []*proxiedReplica
	for _, proxiedReplica := range fleet.replicas {
		if !proxiedReplica.replica.HasStopped() && !proxiedReplica.leaving {
			running = append(running, proxiedReplica)
		}
	}
	if len(running) == 0 {
		return nil
	}
	// The order of a map would not repeat with the seed.
	slices.SortFunc(running, func(a, b *proxiedReplica) int { return cmp.Compare(a.replica.Config().ID, b.replica.Config().ID) })
	return running[injector.random.IntN(len(running))]
}

func (injector *injector) stallReplicaConnections(context.Context) {
	for range replicasPerService {
		if proxiedReplica := injector.randomReplica(); proxiedReplica != nil {
			proxiedReplica.proxy.StallConnections()
		}
	}
}

func (injector *injector) closeReplicaConnections(context.Context) {
	for range replicasPerService {
		if proxiedReplica := injector.randomReplica(); proxiedReplica != nil {
			proxiedReplica.proxy.CloseConnections()
		}
	}
}

func (injector *injector) delayReplicaLink(ctx context.Context) {
	to := "replicas-" + dataCentres[injector.random.IntN(len(dataCentres))]
	set := func(delay time.Duration) {
		for _, vm := range injector.fleet.vms {
			injector.fleet.network.ChangeBoth(vm.networkGroup, to, func(link *swlabproxy.Link) { link.Delay = delay })
		}
	}
	set(40 * time.Millisecond)
	injector.waitRandom(ctx, 2*time.Second)
	set(0)
}

func (injector *injector) crashReplica(ctx context.Context) {
	proxiedReplica := injector.randomReplica()
	if proxiedReplica == nil {
		return
	}
	proxiedReplica.replica.Close()
	injector.waitRandom(ctx, time.Second)
	injector.startReplacement(proxiedReplica)
}

func (injector *injector) drainReplica(ctx context.Context) {
	proxiedReplica := injector.randomReplica()
	if proxiedReplica == nil {
		return
	}
	injector.startReplacement(proxiedReplica)
	injector.fleet.mutex.Lock()
	proxiedReplica.leaving = true
	proxiedReplica.replica.Leave()
	injector.fleet.mutex.Unlock()
	_ = swtimer.Wait(ctx, applyTimeout)
	proxiedReplica.replica.Close()
}

func (injector *injector) startReplacement(proxiedReplica *proxiedReplica) {
	if err := injector.fleet.addReplica(proxiedReplica.replica.Config().Service, proxiedReplica.dataCentre); err != nil {
		injector.log("no replacement for replica %s: %v", proxiedReplica.replica.Config().ID, err)
	}
}

func (injector *injector) sendEndlessResponses(ctx context.Context) {
	endless := swlabusers.Endless(1 + injector.random.IntN(swlabusers.EndlessKinds-1))
	replicaFault(swlabusers.ReplicaFault{Endless: endless})(injector, ctx)
}

// limitReplicas has replicas name a rate limit for longer than the checks of the limit take to begin, if the run lasts as long.
func (injector *injector) limitReplicas(ctx context.Context) {
	proxiedReplica := injector.randomReplica()
	if proxiedReplica == nil {
		return
	}
	proxiedReplica.replica.SetFault(swlabusers.ReplicaFault{RateLimit: float64(2 + injector.random.IntN(10))})
	_ = swtimer.Wait(ctx, limitDuration)
	proxiedReplica.replica.SetFault(swlabusers.ReplicaFault{})
}

// limitDuration is how long a replica names a rate limit.
const limitDuration = 12 * time.Second

func replicaFault(fault swlabusers.ReplicaFault) func(*injector, context.Context) {
	return func(injector *injector, ctx context.Context) {
		var faulty []*proxiedReplica
		for range replicasPerService {
			if proxiedReplica := injector.randomReplica(); proxiedReplica != nil {
				proxiedReplica.replica.SetFault(fault)
				faulty = append(faulty, proxiedReplica)
			}
		}
		injector.waitRandom(ctx, 2*time.Second)
		for _, proxiedReplica := range faulty {
			proxiedReplica.replica.SetFault(swlabusers.ReplicaFault{})
		}
	}
}

func (injector *injector) changeConfiguration(context.Context) {
	injector.fleet.mutex.Lock()
	injector.fleet.usesNextLedger = !injector.fleet.usesNextLedger
	injector.fleet.mutex.Unlock()
	if err := injector.fleet.writeNextConfiguration(); err != nil {
		injector.log("configuration not written: %v", err)
	}
}
