package swgateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// detourRoutes are a search over six shards, and a single service for requests that may run several times and for those that may run once.
func detourRoutes(testFleet *testFleet) {
	search, repeatable, once := gatheredRoute(6, 1), idempotentRoute(), nonIdempotentRoute()
	testFleet.setRoutes(search, repeatable, once)
	for _, dataCentre := range []string{"a", "b"} {
		for _, service := range append(search.Shards, "s", "s") {
			testFleet.addReplica(service, dataCentre)
		}
	}
}

// TestVMsWithoutLinksServeThroughOthers guards against VMs that fail their callers once their links to all replicas are cut, while clients and
// other VMs reach them: all VMs of a data centre, and one of the other data centre.
func TestVMsWithoutLinksServeThroughOthers(t *testing.T) {
	for _, cut := range []cutKind{cutSilent, cutReset, cutRefuse} {
		for _, route := range []string{"gathered", "repeatable", "once"} {
			t.Run(string(cut)+" "+route, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					testFleet := newTestFleet(t, 3)
					defer testFleet.close()
					detourRoutes(testFleet)
					testFleet.load(testFleet.vms, route, 20*time.Millisecond, 2*time.Second)
					cutVMs := testFleet.vms[:4]
					for _, vm := range cutVMs {
						vm.link.set(cut)
					}
					testFleet.load(testFleet.vms, route, 20*time.Millisecond, 2*time.Second)
					// A second cut must not find connections that the first one left open.
					time.Sleep(15 * time.Second)
					testFleet.load(testFleet.vms, route, 20*time.Millisecond, time.Second)
					got := testFleet.load(cutVMs, route, 20*time.Millisecond, 2*time.Second)
					if diff := cmp.Diff(map[int]int{http.StatusOK: 100}, got); diff != "" {
						t.Error("responses of the VMs without links (-want +got):\n" + diff)
					}
				})
			})
		}
	}
}
