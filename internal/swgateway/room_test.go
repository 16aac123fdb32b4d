package swgateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// limited returns a script of a replica with slots that works 50 ms on a request and rejects what it has no slot for.
func limited(slots int) func(*arrival) {
	free := make(chan struct{}, slots)
	for range slots {
		free <- struct{}{}
	}
	return func(arrival *arrival) {
		select {
		case <-free:
			time.Sleep(50 * time.Millisecond)
			free <- struct{}{}
			signed(0, "x", "done")(arrival)
		default:
			answers(0, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")(arrival)
		}
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
			bench.add("s", fmt.Sprint(i), limited(2))
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

func TestWorkThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0.2)
		defer bench.close()
		bench.route(once())
		bench.add("s", "a", limited(1))
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
