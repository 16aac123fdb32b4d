package swlabkeys_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	workers    = 24
	runTimeout = 2 * time.Second
)

// callerOutcomes records, for each kind of work, whether its answer states that it ran, and when the answer arrived. Every
// request has a kind of its own.
type callerOutcomes struct {
	mutex sync.Mutex
	ran   map[string]swcode.Ran
	ended map[string]time.Time
}

func (callerOutcomes *callerOutcomes) record(kind string, ran swcode.Ran) {
	callerOutcomes.mutex.Lock()
	defer callerOutcomes.mutex.Unlock()
	callerOutcomes.ran[kind] = ran
	callerOutcomes.ended[kind] = time.Now()
}

// sendWork sends non-idempotent work through the client library until the context ends.
func (fleetTest *fleetTest) sendWork(ctx context.Context, worker int, callerOutcomes *callerOutcomes) {
	client, err := swclient.New(swclient.Config{Endpoints: fleetTest.callers, Caller: "treasurer-desk", Timeout: runTimeout})
	if err != nil {
		fleetTest.Error(err)
		return
	}
	for number := 0; ctx.Err() == nil; number++ {
		request := newRunRequest("", 0)
		request.Kind = fmt.Sprintf("client-%d-%d", worker, number)
		_, err := client.Run(fleetTest.Context(), request)
		var failed *swcode.Error
		switch {
		case err == nil:
			callerOutcomes.record(request.Kind, swcode.RanYes)
		case errors.As(err, &failed):
			callerOutcomes.record(request.Kind, failed.Ran)
		default:
			fleetTest.Errorf("error is not a *swcode.Error: %v", err)
		}
	}
}

// TestClientRunsAtMostOnceWhileVMsFail checks that work sent through the client library runs at most once, and agrees with
// its answer, while VMs are paused, killed and restarted.
func TestClientRunsAtMostOnceWhileVMsFail(t *testing.T) {
	fleetTest := startFleetTest(t)
	callerOutcomes := &callerOutcomes{ran: make(map[string]swcode.Ran), ended: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(t.Context())
	group := swgroup.New(t.Context())
	for worker := range workers {
		group.Go(func(context.Context) { fleetTest.sendWork(ctx, worker, callerOutcomes) })
	}
	fleetTest.disturbVMs()
	cancel()
	group.Wait()
	fleetTest.checkOutcomes(callerOutcomes)
}

// disturbVMs pauses a VM of the first data centre, kills one of the second and stops one of the third, then resumes or
// restarts them. It repeats this with every VM of each data centre.
func (fleetTest *fleetTest) disturbVMs() {
	for round := range 3 {
		paused, killed, stopped := fleetTest.fleet.VM(0, round), fleetTest.fleet.VM(1, round), fleetTest.fleet.VM(2, round)
		steps := []func() error{
			func() error { return fleetTest.fleet.SetVMPaused(paused, true) },
			func() error { fleetTest.fleet.KillVM(killed); return nil },
			func() error { return fleetTest.fleet.StopVM(fleetTest.Context(), stopped) },
			func() error { return fleetTest.fleet.SetVMPaused(paused, false) },
			func() error { return fleetTest.fleet.StartVM(fleetTest.Context(), killed) },
			func() error { return fleetTest.fleet.StartVM(fleetTest.Context(), stopped) },
		}
		for _, step := range steps {
			if err := step(); err != nil {
				fleetTest.Error(err)
			}
		}
		fleetTest.awaitReady()
	}
}

// checkOutcomes compares the answers of the callers with the records of the backend servers.
func (fleetTest *fleetTest) checkOutcomes(callerOutcomes *callerOutcomes) {
	runs := make(map[string]int)
	for _, record := range fleetTest.fleet.Journal.Records() {
		runs[record.Kind]++
		if ended, ok := callerOutcomes.ended[record.Kind]; ok && record.Started.After(ended) {
			fleetTest.Errorf("%s started %v after its caller received Ran %s",
				record.Kind, record.Started.Sub(ended), callerOutcomes.ran[record.Kind])
		}
	}
	counts := make(map[swcode.Ran]int)
	for kind, ran := range callerOutcomes.ran {
		counts[ran]++
		switch {
		case runs[kind] > 1:
			fleetTest.Errorf("%s ran %d times", kind, runs[kind])
		case ran == swcode.RanYes && runs[kind] == 0:
			fleetTest.Errorf("%s was answered with Ran Yes but did not run", kind)
		case ran == swcode.RanNo && runs[kind] != 0:
			fleetTest.Errorf("%s was answered with Ran No but ran", kind)
		}
	}
	fleetTest.Logf("Ran Yes %d, Ran No %d, Ran Unknown %d", counts[swcode.RanYes], counts[swcode.RanNo], counts[swcode.RanUnknown])
	fleetTest.checkEqual("some work was answered", true, counts[swcode.RanYes] > 0)
}
