package swbackend

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// cancelCost is the cost that cancelling some requests causes for the others.
type cancelCost struct {
	dials, cancels int
	p99            time.Duration
	total          time.Duration
}

// measureCancelCost sends requests of 5 ms over two slots to a server whose connections take 5 ms to open. Every fifth
// request is cancelled after 2 ms.
func measureCancelCost(t *testing.T, policy CancelPolicy) (cost cancelCost) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.dialDelay = 5 * time.Millisecond
		fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer {
			answer := echo(request)
			answer.delay = 5 * time.Millisecond
			return answer
		}
		pool := newFakePool(t, fake, Config{CancelPolicy: policy})
		for range 100 {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		before, start := fake.countDialled(), time.Now()
		var mutex sync.Mutex
		var latencies []time.Duration
		group := swgroup.New(context.Background())
		for worker := range 2 {
			group.Go(func(context.Context) {
				for i := range 500 {
					ctx, cancel := context.WithCancel(context.Background())
					if i%5 == 0 {
						time.AfterFunc(2*time.Millisecond, cancel)
					}
					subRequest := newSubRequest(time.Second)
					subRequest.QueryID = uint64(1000*worker + i)
					began := time.Now()
					answer := pool.Execute(ctx, subRequest)
					cancel()
					mutex.Lock()
					if answer.Outcome == Answered {
						latencies = append(latencies, time.Since(began))
					}
					mutex.Unlock()
				}
			})
		}
		group.Wait()
		cost.total = time.Since(start)
		slices.Sort(latencies)
		cost.p99 = latencies[len(latencies)*99/100]
		cost.dials = fake.countDialled() - before
		cost.cancels = fake.count("/cancel")
	})
	return cost
}

func TestCancelByRequestOpensFewerConnections(t *testing.T) {
	byClose := measureCancelCost(t, CancelByClose)
	byRequest := measureCancelCost(t, CancelByRequest)
	t.Logf("by close: %+v; by request: %+v", byClose, byRequest)
	if byRequest.dials*4 > byClose.dials {
		t.Errorf("%d connections opened by request, %d by close", byRequest.dials, byClose.dials)
	}
	if byRequest.p99 > byClose.p99 {
		t.Errorf("p99 %s by request, %s by close", byRequest.p99, byClose.p99)
	}
}

func TestConnectionOfCancelledRequestIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		pool := newFakePool(t, fake, Config{})
		for range 20 {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		pool.server(serverName).openSpare()
		synctest.Wait()
		fake.setAnswer(func(_ int, _ string, request searchRequest) *fakeAnswer {
			answer := echo(request)
			answer.delay = 8 * time.Millisecond
			return answer
		})
		before := fake.countDialled()
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(4*time.Millisecond, cancel)
		answer := pool.Execute(ctx, newSubRequest(time.Second))
		if diff := cmp.Diff(answerSummary{Cancelled, swcode.RanUnknown, swcode.CallerGone}, summaryOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		synctest.Wait()
		later := newSubRequest(time.Second)
		later.QueryID = 8
		answer = pool.Execute(t.Context(), later)
		if diff := cmp.Diff(answerSummary{Answered, swcode.RanYes, swcode.OK}, summaryOf(answer)); diff != "" {
			t.Errorf("answer after a cancelled request (-want +got):\n%s", diff)
		}
		if opened := fake.countDialled() - before; opened > 0 {
			t.Errorf("%d connections were opened", opened)
		}
	})
}
