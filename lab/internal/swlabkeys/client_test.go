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

// ledger holds what callers were told of each piece of work.
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

// work sends pieces of work through the callers' library until the context ends.
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
			fleetTest.Errorf("untyped error: %v", err)
		}
	}
}

// TestClientRunsAtMostOnceWhileVMsDie runs work through the callers' library while VMs are paused, killed and restarted.
func TestClientRunsAtMostOnceWhileVMsFail(t *testing.T) {
	fleetTest := newTrial(t)
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

// disturb pauses, kills and restarts one VM of each data centre in turn.
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

// settleLedger compares what callers were told with what the backend servers ran.
func (fleetTest *fleetTest) checkOutcomes(callerOutcomes *callerOutcomes) {
	runs := make(map[string]int)
	for _, record := range fleetTest.fleet.Journal.Records() {
		runs[record.Kind]++
		if ended, ok := callerOutcomes.ended[record.Kind]; ok && record.Started.After(ended) {
			fleetTest.Errorf("%s began %v after its caller was told %s", record.Kind, record.Started.Sub(ended), callerOutcomes.ran[record.Kind])
		}
	}
	counts := make(map[swcode.Ran]int)
	for kind, told := range callerOutcomes.ran {
		counts[told]++
		switch {
		case runs[kind] > 1:
			fleetTest.Errorf("%s ran %d times", kind, runs[kind])
		case told == swcode.RanYes && runs[kind] == 0:
			fleetTest.Errorf("%s was answered and did not run", kind)
		case told == swcode.RanNo && runs[kind] != 0:
			fleetTest.Errorf("%s ran and was refused as not run", kind)
		}
	}
	fleetTest.Logf("answered %d, not run %d, unknown %d", counts[swcode.RanYes], counts[swcode.RanNo], counts[swcode.RanUnknown])
	fleetTest.checkEqual("some work was answered", true, counts[swcode.RanYes] > 0)
}
