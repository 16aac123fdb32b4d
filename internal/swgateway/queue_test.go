package swgateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// limited returns a script of a replica with slots that works 50 ms on a request, queues some, and rejects the others.
func limited(slots, queue int) func(*arrival) {
	places := make(chan struct{}, slots+queue)
	free := make(chan struct{}, slots)
	return func(arrival *arrival) {
		select {
		case places <- struct{}{}:
		default:
			answers(0, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")(arrival)
			return
		}
		free <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		<-free
		<-places
		signed(0, "x", "done")(arrival)
	}
}

// TestBurstOfPatientWorkWaitsForRoom replays a burst of twice what the replicas take, for two seconds, of clients that wait
// five.
func TestBurstOfPatientWorkWaitsForRoom(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0.2)
		defer bench.close()
		bench.route(once())
		for i := range 2 {
			bench.add("s", fmt.Sprint(i), limited(2, 0))
		}
		// Four slots of 50 ms take 80 a second.
		const burst, spacing = 320, 6250 * time.Microsecond
		var clients sync.WaitGroup
		var mutex sync.Mutex
		statuses := make(map[int]int)
		for range burst {
			clients.Go(func() {
				got := bench.askFor(t.Context(), http.MethodPost, "/x", "work", 5*time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				statuses[got.Code]++
			})
			time.Sleep(spacing)
		}
		clients.Wait()
		if statuses[http.StatusOK] < burst*9/10 {
			t.Errorf("statuses %v, want nearly all served: what waits fits into the deadline", statuses)
		}
	})
}

// TestBurstOverManyVMsIsNotSpentOnRejections replays a burst of 1.3 times what the replicas take, for six seconds, spread over VMs
// that do not know of each other's requests: a VM learns that a replica is full by a rejection, which costs a client its
// request or the service a repeat, and must not go on finding out.
func TestBurstOverManyVMsIsNotSpentOnRejections(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const vms, replicas, slots, queue = 6, 4, 4, 8
		benches := make([]*testBench, vms)
		for i := range benches {
			benches[i] = newBench(t, 0.2)
			defer benches[i].close()
			benches[i].route(once())
			benches[i].vms = vms
			if i > 0 {
				benches[i].replicas = benches[0].replicas
			}
		}
		for i := range replicas {
			replica := benches[0].add("s", fmt.Sprint(i), limited(slots, queue))
			for _, bench := range benches[1:] {
				bench.registry.Update([]swreplicaEntry{benches[0].registry.Find(replica.id).Entry()}, nil)
			}
		}
		// Sixteen slots of 50 ms take 320 a second.
		const burst, spacing = 2500, 2400 * time.Microsecond
		var clients sync.WaitGroup
		var mutex sync.Mutex
		statuses := make(map[int]int)
		for i := range burst {
			clients.Go(func() {
				got := benches[i%vms].askFor(t.Context(), http.MethodPost, "/x", "work", 6*time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				statuses[got.Code]++
			})
			time.Sleep(spacing)
		}
		clients.Wait()
		arrived := 0
		for _, replica := range benches[0].replicas {
			arrived += replica.count()
		}
		if rejected := arrived - statuses[http.StatusOK]; rejected > burst/10 {
			t.Errorf("%d of %d arrivals were rejected, statuses %v; want at most one in ten", rejected, arrived, statuses)
		}
		if statuses[http.StatusOK] < burst*9/10 {
			t.Errorf("statuses %v, want nearly all served: what waits fits into the deadline", statuses)
		}
	})
}

func TestWorkThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0.2)
		defer bench.close()
		bench.route(once())
		bench.add("s", "a", limited(1, 0))
		var clients sync.WaitGroup
		var mutex sync.Mutex
		slowest := time.Duration(0)
		refused := 0
		for range 400 {
			clients.Go(func() {
				got := bench.askFor(t.Context(), http.MethodPost, "/x", "work", time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				if got.Code == http.StatusServiceUnavailable {
					refused++
					if got.Header().Get("Retry-After") == "" {
						t.Error("a refusal names no time to come back")
					}
				}
				slowest = max(slowest, got.took)
			})
			time.Sleep(2 * time.Millisecond)
		}
		clients.Wait()
		if refused < 300 {
			t.Errorf("%d of 400 refused, where 20 a second can be served", refused)
		}
		if diff := cmp.Diff(true, slowest <= time.Second); diff != "" {
			t.Errorf("the slowest answer took %s", slowest)
		}
	})
}
