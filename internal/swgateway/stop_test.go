package swgateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// TestRequestsAtALeavingVMAreAnsweredBeforeItStops guards against requests that a stopping process cuts without an answer, among them some
// that must not be repeated, because they came late in its grace period or take longer than the rest of it.
func TestRequestsAtALeavingVMAreAnsweredBeforeItStops(t *testing.T) {
	const grace = 2 * time.Second
	for name, test := range map[string]struct {
		route *swroute.Route
		// sentAfter is when the request is sent, from when the VM begins to leave; takes is how long its replica takes.
		sentAfter, takes time.Duration
		want             int
		attempts         int
	}{
		"before, quick":                 {nonIdempotentRoute(), -time.Second, 500 * time.Millisecond, http.StatusOK, 1},
		"before, done in time":          {nonIdempotentRoute(), -500 * time.Millisecond, 2 * time.Second, http.StatusOK, 1},
		"before, longer than the grace": {nonIdempotentRoute(), -500 * time.Millisecond, 8 * time.Second, http.StatusGatewayTimeout, 1},
		"after, may not run twice":      {nonIdempotentRoute(), time.Second, 100 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"after, idempotent":             {idempotentRoute(), time.Second, 100 * time.Millisecond, http.StatusOK, 1},
		"after, idempotent, too long":   {idempotentRoute(), time.Second, 8 * time.Second, http.StatusGatewayTimeout, 1},
		"too late for its usual time":   {withTargetLatency(idempotentRoute(), time.Second), 1500 * time.Millisecond, time.Second, http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 0)
				defer testHandler.close()
				testHandler.setRoute(test.route)
				replica := testHandler.addReplica("s", "a", respondSigned(test.takes, "a", "good"))
				leavesAt := time.Now().Add(max(0, -test.sentAfter))
				time.AfterFunc(time.Until(leavesAt), func() { testHandler.AnswerBy(leavesAt.Add(grace)) })
				time.Sleep(max(0, test.sentAfter))
				synctest.Wait()
				got := testHandler.sendWithTimeout(t.Context(), http.MethodPost, "/x", "work", 3*time.Second)
				if diff := cmp.Diff([2]int{test.want, test.attempts}, [2]int{got.Code, replica.count()}); diff != "" {
					t.Error("status and attempts (-want +got):\n" + diff)
				}
				if over := time.Since(leavesAt.Add(grace)); over > 0 {
					t.Errorf("answered %s after the time by which the VM must have answered", over)
				}
			})
		})
	}
}

func withTargetLatency(route *swroute.Route, targetLatency time.Duration) *swroute.Route {
	route.TargetLatency = targetLatency
	return route
}
