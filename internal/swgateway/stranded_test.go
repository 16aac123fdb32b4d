package swgateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
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
	for _, cut := range []cutKind{cutSilent, cutReset, cutRefuse, cutAccepting} {
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

// cutFor cuts VMs off from all replicas and sends each requests until they have found out.
func (testFleet *testFleet) cutFor(vms []*fleetVM, cut cutKind, route string) {
	testFleet.load(testFleet.vms, route, 10*time.Millisecond, time.Second)
	for _, vm := range vms {
		vm.link.set(cut)
	}
	testFleet.load(vms, route, 20*time.Millisecond, 2*time.Second)
}

// TestDetouredResponseKeepsItsHeaders guards against a response that another VM has stripped of headers that the client must get.
func TestDetouredResponseKeepsItsHeaders(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testFleet := newTestFleet(t, 2)
		defer testFleet.close()
		detourRoutes(testFleet)
		testFleet.cutFor(testFleet.vms[:1], cutSilent, "once")
		header := testFleet.send(testFleet.vms[0], "once", "body").Header()
		if diff := cmp.Diff([]string{"text/x", "today"}, []string{header.Get("Content-Type"), header.Get("Date")}); diff != "" {
			t.Error("headers (-want +got):\n" + diff)
		}
	})
}

// TestRequestsThatMayRunOnceDoSoAcrossCuts cuts and heals the links of VMs in series, with relays that are lost at times, and compares what clients
// were told with what replicas received.
func TestRequestsThatMayRunOnceDoSoAcrossCuts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testFleet := newTestFleet(t, 3)
		defer testFleet.close()
		detourRoutes(testFleet)
		random := rand.New(rand.NewPCG(1, 2))
		statuses := make(map[string]int)
		// sent and served count the requests at VMs with links, and at those without that have a way through another VM.
		var sent, served struct{ direct, detoured float64 }
		var mutex sync.Mutex
		var waitGroup sync.WaitGroup
		for i := range 4000 {
			if i%50 == 0 {
				vm := testFleet.vms[random.IntN(len(testFleet.vms))]
				vm.link.set([]cutKind{cutNone, cutNone, cutSilent, cutReset, cutRefuse, cutAccepting}[random.IntN(6)])
				testFleet.setLost(testFleet.vms[random.IntN(len(testFleet.vms))], random.IntN(3) == 0)
			}
			vm := testFleet.vms[random.IntN(len(testFleet.vms))]
			hasLinks, hasWay := vm.link.cutKind() == cutNone, testFleet.hasWay(vm)
			waitGroup.Go(func() {
				id, recorder := testFleet.sendIdentified(vm, "once", "body")
				mutex.Lock()
				defer mutex.Unlock()
				statuses[id] = recorder.Code
				ok := 0.0
				if recorder.Code == http.StatusOK {
					ok = 1
				}
				switch {
				case hasLinks:
					sent.direct, served.direct = sent.direct+1, served.direct+ok
				case hasWay:
					sent.detoured, served.detoured = sent.detoured+1, served.detoured+ok
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		waitGroup.Wait()
		time.Sleep(10 * time.Second)
		received, servedInAll := testFleet.received(), 0
		for id, status := range statuses {
			switch {
			case received[id] > 1:
				t.Errorf("request %s was received %d times", id, received[id])
			case status == http.StatusServiceUnavailable && received[id] > 0:
				t.Errorf("request %s was refused and has run", id)
			case status == http.StatusOK:
				servedInAll++
			}
		}
		if servedInAll < len(statuses)*2/3 {
			t.Errorf("%d of %d requests were served, want two thirds", servedInAll, len(statuses))
		}
		direct, detoured := served.direct/sent.direct, served.detoured/sent.detoured
		t.Logf("served %.3f of %v at VMs with links, %.3f of %v at those with a way", direct, sent.direct, detoured, sent.detoured)
		if detoured < direct*2/3 {
			t.Errorf("VMs without links served %.3f of the requests, the others %.3f; want two thirds of that", detoured, direct)
		}
	})
}

// TestRequestThatNoVMCanServeIsRefusedAtOnce guards against requests that wait for their deadline while no VM reaches a replica.
func TestRequestThatNoVMCanServeIsRefusedAtOnce(t *testing.T) {
	for _, route := range []string{"gathered", "repeatable", "once"} {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testFleet := newTestFleet(t, 2)
				defer testFleet.close()
				detourRoutes(testFleet)
				testFleet.cutFor(testFleet.vms, cutSilent, route)
				time.Sleep(3 * time.Second)
				before := time.Now()
				response := testFleet.send(testFleet.vms[0], route, "body")
				if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" || time.Since(before) > 100*time.Millisecond {
					t.Errorf("status %d, Retry-After %q after %s; want 503 with a Retry-After within 100ms", response.Code, response.Header().Get("Retry-After"), time.Since(before))
				}
			})
		})
	}
}

// TestReturnOpensConnectionsOneByOne guards against a rush of connections when the links of a VM are back: to each replica there is one at a time,
// and requests go through other VMs meanwhile.
func TestReturnOpensConnectionsOneByOne(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testFleet := newTestFleet(t, 2)
		defer testFleet.close()
		detourRoutes(testFleet)
		vm := testFleet.vms[0]
		testFleet.cutFor(testFleet.vms[:1], cutSilent, "gathered")
		tries := vm.link.counts()
		testFleet.load(testFleet.vms[:1], "gathered", 20*time.Millisecond, 10*time.Second)
		// Each of the two data centres is checked every 0.6 s at most, at three replicas.
		if checks := vm.link.counts() - tries; checks > 2*3*17 {
			t.Errorf("%d connections were tried in 10 s without links, want those of the checks only", checks)
		}
		tries = vm.link.counts()
		vm.link.set(cutNone)
		got := testFleet.load(testFleet.vms[:1], "gathered", 20*time.Millisecond, 4*time.Second)
		if diff := cmp.Diff(map[int]int{http.StatusOK: 200}, got); diff != "" {
			t.Error("responses during the return (-want +got):\n" + diff)
		}
		if opened := vm.link.counts() - tries; opened > 40 {
			t.Errorf("%d connections were tried to 16 replicas after the return, want at most 40", opened)
		}
		if reached := vm.registry.Reached(); len(reached) != 2 {
			t.Errorf("the VM reaches %v, want both data centres", reached)
		}
	})
}

// TestDetoursKeepToTheHomes guards against the body of a request on VMs outside its homes: those of this data centre reach the replicas too.
func TestDetoursKeepToTheHomes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testFleet := newTestFleet(t, 3)
		defer testFleet.close()
		detourRoutes(testFleet)
		route := nonIdempotentRoute()
		route.Homes = []string{"b"}
		testFleet.setRoutes(route)
		testFleet.cutFor(testFleet.vms[:1], cutSilent, "once")
		got := testFleet.load(testFleet.vms[:1], "once", 20*time.Millisecond, time.Second)
		if diff := cmp.Diff(map[int]int{http.StatusOK: 50}, got); diff != "" {
			t.Error("responses (-want +got):\n" + diff)
		}
		if testFleet.relayed["a"] > 0 || testFleet.relayed["b"] == 0 {
			t.Errorf("attempts through VMs by data centre are %v, want none through a", testFleet.relayed)
		}
	})
}

// TestReplicaUnknownToItsRelayIsNotDialled guards against connections to other regions, at a VM with its links, for replicas that have just been
// replaced. Another replica of the shard is asked instead.
func TestReplicaUnknownToItsRelayIsNotDialled(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testFleet := newTestFleet(t, 2)
		defer testFleet.close()
		search := gatheredRoute(6, 1)
		testFleet.setRoutes(search)
		for _, shard := range search.Shards {
			testFleet.addReplica(shard, "b")
			gone := testFleet.addReplica(shard, "b").id
			for _, vm := range testFleet.vms[2:] {
				vm.registry.Update(nil, []string{gone})
			}
		}
		sender := testFleet.vms[:1]
		got := testFleet.load(sender, "gathered", 20*time.Millisecond, time.Second)
		if diff := cmp.Diff(map[int]int{http.StatusOK: 50}, got); diff != "" {
			t.Error("responses (-want +got):\n" + diff)
		}
		if tries := sender[0].link.counts(); tries > 0 {
			t.Errorf("%d connections to another region were tried", tries)
		}
	})
}
