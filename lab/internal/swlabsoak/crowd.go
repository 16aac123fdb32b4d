package swlabsoak

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcrowd"
)

const (
	// crowdSize is the number of clients of a crowd at one VM. With bodies of crowdBody bytes they send about as much as a VM has memory for.
	crowdSize = 400
	// crowdBody is the size of the bodies that crowds announce, in bytes: the largest that the configuration allows.
	crowdBody = 64 << 10
	// crowdPeriod is the mean time for which a crowd stays.
	crowdPeriod = 2 * time.Second
	// crowdFields is the number of fields of a header of many fields: less than the largest header that the configuration allows.
	crowdFields = 2400
)

// crowdFaults are crowds of clients that do not behave. They are a series of their own, so that the other series of a seed do not depend on them.
var crowdFaults = []fault{
	{"clients stop within bodies", crowdFault(swlabcrowd.ShortBody(0), http.MethodPost)},
	{"clients stop within bodies in chunks", crowdFault(swlabcrowd.ShortChunks(100), http.MethodPost)},
	{"clients send bodies slowly", crowdFault(swlabcrowd.SlowBody, http.MethodPost)},
	{"clients stop within headers of many fields", crowdFault(swlabcrowd.Fields(crowdFields, false), http.MethodGet)},
	{"clients stop within headers", crowdFault(swlabcrowd.HalfHead, http.MethodGet)},
	{"clients do not read their answers", crowdFault(swlabcrowd.Pipeline(100), http.MethodGet)},
	{"clients stop within bodies during a rolling restart", (*injector).restartUnderCrowd},
}

// startCrowd starts a crowd at a VM.
func startCrowd(vm *vm, behavior swlabcrowd.Behavior, method string) *swlabcrowd.Crowd {
	return swlabcrowd.Start(swlabcrowd.Config{
		Address: vm.settings.Gateway.Listen.String(), Clients: crowdSize, Behavior: behavior,
		Request: swlabcrowd.Request{Method: method, Path: "/post/crowd", Host: "soak", BodySize: crowdBody},
	})
}

func crowdFault(behavior swlabcrowd.Behavior, method string) func(*injector, context.Context) {
	return func(injector *injector, ctx context.Context) {
		crowd := startCrowd(injector.randomVM(), behavior, method)
		defer crowd.Stop()
		injector.waitRandom(ctx, crowdPeriod)
	}
}

// restartUnderCrowd stops and starts one VM after another, each with a crowd that moves on to the next one.
func (injector *injector) restartUnderCrowd(ctx context.Context) {
	for _, vm := range injector.fleet.vms {
		if ctx.Err() != nil {
			return
		}
		injector.restartOneUnderCrowd(ctx, vm)
	}
}

func (injector *injector) restartOneUnderCrowd(ctx context.Context, vm *vm) {
	crowd := startCrowd(vm, swlabcrowd.ShortBody(0), http.MethodPost)
	defer crowd.Stop()
	_ = swtimer.Wait(ctx, crowdPeriod/2)
	vm.signal(syscall.SIGTERM)
	select {
	case <-vm.done():
	case <-time.After(2 * stopGrace):
		injector.log("%s still runs after twice its grace period; killing it", vm.name)
		vm.signal(syscall.SIGKILL)
	}
	injector.startVM(vm)
	_ = swtimer.Wait(ctx, crowdPeriod/2)
}
