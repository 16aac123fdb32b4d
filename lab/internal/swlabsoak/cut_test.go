package swlabsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// TestVMsCutOffFromReplicasServeTheirClients guards against processes that fail their clients while they are cut off from all replicas: three of five
// VMs, by each kind of cut. As the users' rule says, they must serve two thirds as often as the others at least.
func TestVMsCutOffFromReplicasServeTheirClients(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	fleet, err := startFleet(Config{Binary: buildBinary(t), Directory: t.TempDir(), Seed: 1, VMs: 5})
	if fleet != nil {
		defer fleet.close()
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := fleet.awaitReady(t.Context(), safetyTimeoutFactor*readyTimeout); err != nil {
		t.Fatal(err)
	}
	for name, kind := range map[string]replicaCut{"silent": replicaCutSilent, "reset": replicaCutReset, "refuse": replicaCutRefuse} {
		injector := &injector{fleet: fleet, random: rand.New(rand.NewPCG(1, 1)), log: t.Logf}
		cut, others := fleet.vms[:3], fleet.vms[3:]
		fleet.serve(t.Context(), fleet.vms, time.Second)
		injector.beginCut(kind, cut)
		fleet.serve(t.Context(), fleet.vms, 4*time.Second)
		atCut, atOthers := fleet.serve(t.Context(), cut, 2*time.Second), fleet.serve(t.Context(), others, 2*time.Second)
		injector.endCut(cut)
		if atCut.failed > 10+atCut.sent/50 && 3*atCut.served*atOthers.sent < 2*atOthers.served*atCut.sent {
			t.Errorf("%s: the VMs that are cut off served %d of %d requests, the others %d of %d", name, atCut.served, atCut.sent, atOthers.served, atOthers.sent)
		}
	}
	fleet.checkRequests(fleet.results, &Report{})
	for _, violation := range fleet.results.violations {
		t.Error(violation)
	}
}

// tally counts requests by their result.
type tally struct {
	sent, served, failed int
}

// serve has two clients of each VM send requests for a while.
func (fleet *fleet) serve(ctx context.Context, vms []*vm, duration time.Duration) tally {
	results := &results{recorder: fleet.results.recorder}
	clients := swgroup.New(ctx)
	for i := range 2 * len(vms) {
		client := newClient(len(fleet.results.requests)+i, vms[i%len(vms)].settings.Gateway.Listen.String(), uint64(i), results)
		clients.Go(client.run)
	}
	_ = swtimer.Wait(ctx, duration)
	clients.Stop()
	counts := tally{}
	for _, request := range results.requests {
		fleet.results.add(request)
		if request.err != nil && ctx.Err() == nil && request.status == 0 {
			continue
		}
		counts.sent++
		if request.status == http.StatusOK || request.refusedByRule && request.status == http.StatusForbidden {
			counts.served++
		} else {
			counts.failed++
		}
	}
	return counts
}
