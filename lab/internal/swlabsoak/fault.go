package swlabsoak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
)

// disturber injects faults, each from a seed's own draw. Series run beside each other, so that faults overlap.
type disturber struct {
	fleet  *fleet
	random *rand.Rand
	log    func(format string, values ...any)
}

// fault is one kind of trouble; it returns once the trouble is over.
type fault struct {
	name string
	run  func(disturber *disturber, ctx context.Context)
}

// processFaults befall VMs, outsideFaults what is around them.
var (
	processFaults = []fault{
		{"stop and start a VM", (*disturber).restart},
		{"kill a VM", (*disturber).kill},
		{"kill all VMs", (*disturber).killAll},
		{"pause a VM", (*disturber).pause},
		{"signal all VMs to reload", (*disturber).reload},
	}
	outsideFaults = []fault{
		{"store busy", storeFault(swlabusers.Fault{Busy: true})},
		{"store resets", storeFault(swlabusers.Fault{Reset: true})},
		{"store silent", storeFault(swlabusers.Fault{Unresponsive: true})},
		{"store slow", storeFault(swlabusers.Fault{Delay: 300 * time.Millisecond})},
		{"store loses answers", storeFault(swlabusers.Fault{LoseAnswers: true})},
		{"store forgets", (*disturber).compact},
		{"a VM is cut from the store", (*disturber).cutStore},
		{"a VM is cut from its peers", (*disturber).cutPeers},
		{"connections to the store fall silent", (*disturber).silenceStore},
		{"connections to replicas fall silent", (*disturber).silenceReplicas},
		{"connections to replicas are reset", (*disturber).resetReplicas},
		{"the way to replicas is slow", (*disturber).delayReplicas},
		{"a replica crashes", (*disturber).crashReplica},
		{"a replica leaves", (*disturber).leaveReplica},
		{"replicas reject", replicaFault(swlabusers.ReplicaFault{Shed: true})},
		{"replicas lose answers", replicaFault(swlabusers.ReplicaFault{LoseAnswers: true})},
		{"replicas answer twice", replicaFault(swlabusers.ReplicaFault{DuplicateAnswers: true})},
		{"replicas are slow", replicaFault(swlabusers.ReplicaFault{ExtraServiceTime: 100 * time.Millisecond})},
		{"the configuration changes", (*disturber).configure},
	}
)

// series injects one fault after another until the context ends.
func (disturber *disturber) series(ctx context.Context, faults []fault) {
	for ctx.Err() == nil {
		chosen := faults[disturber.random.IntN(len(faults))]
		disturber.log("%s", chosen.name)
		chosen.run(disturber, ctx)
		disturber.wait(ctx, 300*time.Millisecond)
	}
}

// wait lasts up to twice a duration.
func (disturber *disturber) wait(ctx context.Context, mean time.Duration) {
	_ = swtimer.Wait(ctx, time.Duration(disturber.random.Int64N(int64(2*mean))))
}

func (disturber *disturber) anyVM() *vm {
	return disturber.fleet.vms[disturber.random.IntN(len(disturber.fleet.vms))]
}

func (disturber *disturber) start(vm *vm) {
	if err := vm.start(disturber.fleet.binary, disturber.fleet.directory); err != nil {
		disturber.log("%s does not start: %v", vm.name, err)
	}
}

func (disturber *disturber) restart(context.Context) {
	vm := disturber.anyVM()
	vm.signal(syscall.SIGTERM)
	select {
	case <-vm.stopped():
	case <-time.After(2 * grace):
		disturber.log("%s is still there after twice its grace", vm.name)
		vm.signal(syscall.SIGKILL)
	}
	disturber.start(vm)
}

func (disturber *disturber) kill(ctx context.Context) {
	vm := disturber.anyVM()
	vm.signal(syscall.SIGKILL)
	disturber.wait(ctx, 500*time.Millisecond)
	disturber.start(vm)
}

func (disturber *disturber) killAll(ctx context.Context) {
	for _, vm := range disturber.fleet.vms {
		vm.signal(syscall.SIGKILL)
	}
	disturber.wait(ctx, 300*time.Millisecond)
	for _, vm := range disturber.fleet.vms {
		disturber.start(vm)
	}
}

func (disturber *disturber) pause(ctx context.Context) {
	vm := disturber.anyVM()
	vm.signal(syscall.SIGSTOP)
	disturber.wait(ctx, 1500*time.Millisecond)
	vm.signal(syscall.SIGCONT)
}

func (disturber *disturber) reload(context.Context) {
	for _, vm := range disturber.fleet.vms {
		vm.signal(syscall.SIGHUP)
	}
}

func storeFault(fault swlabusers.Fault) func(*disturber, context.Context) {
	return func(disturber *disturber, ctx context.Context) {
		disturber.fleet.store.SetFault(fault)
		disturber.wait(ctx, 2*time.Second)
		disturber.fleet.store.SetFault(swlabusers.Fault{})
	}
}

func (disturber *disturber) compact(context.Context) {
	disturber.fleet.store.Compact()
}

// cut holds a link cut for a while, in both directions or one.
func (disturber *disturber) cut(ctx context.Context, from, to string) {
	network := disturber.fleet.network
	set := func(cut bool) func(*swlabproxy.Link) { return func(link *swlabproxy.Link) { link.Cut = cut } }
	if disturber.random.IntN(2) == 0 {
		network.Change(from, to, set(true))
	} else {
		network.ChangeBoth(from, to, set(true))
	}
	disturber.wait(ctx, 2*time.Second)
	network.ChangeBoth(from, to, set(false))
}

func (disturber *disturber) cutStore(ctx context.Context) {
	disturber.cut(ctx, disturber.anyVM().group, "store")
}

func (disturber *disturber) cutPeers(ctx context.Context) {
	disturber.cut(ctx, "peers", disturber.anyVM().group)
}

func (disturber *disturber) silenceStore(context.Context) {
	disturber.anyVM().store.StallConnections()
}

// anyMember returns a replica that lives, or nil.
func (disturber *disturber) anyMember() *member {
	fleet := disturber.fleet
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var living []*member
	for _, member := range fleet.members {
		if !member.replica.HasStopped() && !member.leaving {
			living = append(living, member)
		}
	}
	if len(living) == 0 {
		return nil
	}
	return living[disturber.random.IntN(len(living))]
}

func (disturber *disturber) silenceReplicas(context.Context) {
	for range replicasOf {
		if member := disturber.anyMember(); member != nil {
			member.proxy.StallConnections()
		}
	}
}

func (disturber *disturber) resetReplicas(context.Context) {
	for range replicasOf {
		if member := disturber.anyMember(); member != nil {
			member.proxy.CloseConnections()
		}
	}
}

func (disturber *disturber) delayReplicas(ctx context.Context) {
	to := "replicas-" + dataCentres[disturber.random.IntN(len(dataCentres))]
	set := func(delay time.Duration) {
		disturber.fleet.network.ChangeBoth("vms", to, func(link *swlabproxy.Link) { link.Delay = delay })
	}
	set(40 * time.Millisecond)
	disturber.wait(ctx, 2*time.Second)
	set(0)
}

func (disturber *disturber) crashReplica(ctx context.Context) {
	member := disturber.anyMember()
	if member == nil {
		return
	}
	member.replica.Close()
	disturber.wait(ctx, time.Second)
	disturber.replace(member)
}

func (disturber *disturber) leaveReplica(ctx context.Context) {
	member := disturber.anyMember()
	if member == nil {
		return
	}
	disturber.replace(member)
	disturber.fleet.mutex.Lock()
	member.leaving = true
	disturber.fleet.mutex.Unlock()
	_ = swtimer.Wait(ctx, applyWithin)
	member.replica.Close()
}

func (disturber *disturber) replace(member *member) {
	if err := disturber.fleet.addReplica(member.replica.Config().Service, member.dataCentre); err != nil {
		disturber.log("no replica in place of %s: %v", member.replica.Config().ID, err)
	}
}

func replicaFault(fault swlabusers.ReplicaFault) func(*disturber, context.Context) {
	return func(disturber *disturber, ctx context.Context) {
		var faulty []*member
		for range replicasOf {
			if member := disturber.anyMember(); member != nil {
				member.replica.SetFault(fault)
				faulty = append(faulty, member)
			}
		}
		disturber.wait(ctx, 2*time.Second)
		for _, member := range faulty {
			member.replica.SetFault(swlabusers.ReplicaFault{})
		}
	}
}

func (disturber *disturber) configure(context.Context) {
	disturber.fleet.mutex.Lock()
	disturber.fleet.swapped = !disturber.fleet.swapped
	disturber.fleet.mutex.Unlock()
	if err := disturber.fleet.configure(); err != nil {
		disturber.log("no configuration: %v", err)
	}
}
