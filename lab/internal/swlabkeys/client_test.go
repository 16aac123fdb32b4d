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
type ledger struct {
	mutex sync.Mutex
	told  map[string]swcode.Ran
	ended map[string]time.Time
}

func (ledger *ledger) note(kind string, ran swcode.Ran) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.told[kind] = ran
	ledger.ended[kind] = time.Now()
}

// work sends pieces of work through the callers' library until the context ends.
func (trial *trial) work(ctx context.Context, worker int, ledger *ledger) {
	client, err := swclient.New(swclient.Config{Endpoints: trial.callers, Caller: "treasurer-desk", Timeout: runTimeout})
	if err != nil {
		trial.Error(err)
		return
	}
	for number := 0; ctx.Err() == nil; number++ {
		request := matchUnder("", 0)
		request.Kind = fmt.Sprintf("client-%d-%d", worker, number)
		_, err := client.Run(trial.Context(), request)
		var failed *swcode.Error
		switch {
		case err == nil:
			ledger.note(request.Kind, swcode.RanYes)
		case errors.As(err, &failed):
			ledger.note(request.Kind, failed.Ran)
		default:
			trial.Errorf("untyped error: %v", err)
		}
	}
}

// TestClientRunsAtMostOnceWhileVMsDie runs work through the callers' library while VMs are paused, killed and restarted.
func TestClientRunsAtMostOnceWhileVMsDie(t *testing.T) {
	trial := newTrial(t)
	ledger := &ledger{told: make(map[string]swcode.Ran), ended: make(map[string]time.Time)}
	ctx, cancel := context.WithCancel(t.Context())
	group := swgroup.New(t.Context())
	for worker := range workers {
		group.Go(func(context.Context) { trial.work(ctx, worker, ledger) })
	}
	trial.disturb()
	cancel()
	group.Wait()
	trial.settleLedger(ledger)
}

// disturb pauses, kills and restarts one VM of each data centre in turn.
func (trial *trial) disturb() {
	for round := range 3 {
		paused, killed, stopped := trial.fleet.VM(0, round), trial.fleet.VM(1, round), trial.fleet.VM(2, round)
		steps := []func() error{
			func() error { return trial.fleet.SetVMPaused(paused, true) },
			func() error { trial.fleet.KillVM(killed); return nil },
			func() error { return trial.fleet.StopVM(trial.Context(), stopped) },
			func() error { return trial.fleet.SetVMPaused(paused, false) },
			func() error { return trial.fleet.StartVM(trial.Context(), killed) },
			func() error { return trial.fleet.StartVM(trial.Context(), stopped) },
		}
		for _, step := range steps {
			if err := step(); err != nil {
				trial.Error(err)
			}
		}
		trial.awaitReady()
	}
}

// settleLedger compares what callers were told with what the backend servers ran.
func (trial *trial) settleLedger(ledger *ledger) {
	runs := make(map[string]int)
	for _, record := range trial.fleet.Journal.Records() {
		runs[record.Kind]++
		if ended, ok := ledger.ended[record.Kind]; ok && record.Started.After(ended) {
			trial.Errorf("%s began %v after its caller was told %s", record.Kind, record.Started.Sub(ended), ledger.told[record.Kind])
		}
	}
	counts := make(map[swcode.Ran]int)
	for kind, told := range ledger.told {
		counts[told]++
		switch {
		case runs[kind] > 1:
			trial.Errorf("%s ran %d times", kind, runs[kind])
		case told == swcode.RanYes && runs[kind] == 0:
			trial.Errorf("%s was answered and did not run", kind)
		case told == swcode.RanNo && runs[kind] != 0:
			trial.Errorf("%s ran and was refused as not run", kind)
		}
	}
	trial.Logf("answered %d, not run %d, unknown %d", counts[swcode.RanYes], counts[swcode.RanNo], counts[swcode.RanUnknown])
	trial.check("some work was answered", true, counts[swcode.RanYes] > 0)
}
