package swgateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// rejectionCase is a response of a replica whose status implies that the request has not run.
type rejectionCase struct {
	status         int
	signed, stated bool
}

func (rejectionCase rejectionCase) String() string {
	return fmt.Sprintf("%d signed %t stated %t", rejectionCase.status, rejectionCase.signed, rejectionCase.stated)
}

// header returns the header lines of the response.
func (rejectionCase rejectionCase) header() string {
	header := ""
	if rejectionCase.signed {
		header += "Signature: a\r\n"
	}
	if rejectionCase.stated {
		header += "Not-Run: 1\r\n"
	}
	return header
}

// notRun reports whether the response proves that the request has not run. A 421 that nobody signed comes from another replica.
func (rejectionCase rejectionCase) notRun() bool {
	return rejectionCase.stated || rejectionCase.status == http.StatusMisdirectedRequest && !rejectionCase.signed
}

func rejectionCases() []rejectionCase {
	var cases []rejectionCase
	for _, status := range statusesThatImplyNotRun {
		for _, signed := range []bool{false, true} {
			for _, stated := range []bool{false, true} {
				cases = append(cases, rejectionCase{status, signed, stated})
			}
		}
	}
	return cases
}

// TestStatusImpliesNotRunOnlyIfReplicaStatesIt guards against forwarding a replica's failure with a status by which clients conclude that
// their request has not run, when it has (review case 7).
func TestStatusImpliesNotRunOnlyIfReplicaStatesIt(t *testing.T) {
	type result struct {
		Status, Attempts int
		Signed           bool
	}
	for name, test := range map[string]struct {
		route  func() *swroute.Route
		failed result
	}{
		"may run once":     {nonIdempotentRoute, result{http.StatusBadGateway, 1, false}},
		"may be repeated":  {idempotentRoute, result{http.StatusBadGateway, 2, false}},
		"part of a search": {func() *swroute.Route { return gatheredRoute(1, 1) }, result{http.StatusBadGateway, 2, false}},
	} {
		for _, rejectionCase := range rejectionCases() {
			t.Run(fmt.Sprintf("%s, %s", name, rejectionCase), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					// The budget grants one repeat.
					testHandler := newTestHandler(t, 0.002)
					defer testHandler.close()
					route := test.route()
					testHandler.setRoute(route)
					service := slices.Concat(route.Shards, []string{"s"})[0]
					respond := respondWith(time.Millisecond, rejectionCase.status, rejectionCase.header(), "full")
					first, second := testHandler.addReplica(service, "a", respond), testHandler.addReplica(service, "b", respond)
					want := test.failed
					if rejectionCase.notRun() {
						want = result{Status: http.StatusServiceUnavailable, Attempts: 2}
					}
					got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
					if diff := cmp.Diff(want, result{got.Code, first.count() + second.count(), got.Header().Get("Signature") != ""}); diff != "" {
						t.Errorf("result (-want +got):\n%s%s", diff, got.Body)
					}
				})
			})
		}
	}
}

// TestForwardableFailureIsKept guards against losing a replica's failure that clients may get to a later one that they may not.
func TestForwardableFailureIsKept(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(idempotentRoute())
		testHandler.addReplica("s", "a", respondWith(time.Millisecond, http.StatusInternalServerError, "Signature: a\r\n", "broken"))
		testHandler.addReplica("s", "b", respondWith(time.Millisecond, http.StatusServiceUnavailable, "Signature: b\r\n", "full"))
		for range 20 {
			if diff := cmp.Diff("500 broken", statusAndBody(testHandler.send(t.Context(), http.MethodGet, "/x", ""))); diff != "" {
				t.Fatal("answer (-want +got):\n" + diff)
			}
		}
	})
}

// TestUnprovenRejectionCountsAsFailure guards against preferring a replica for failures that it reports as rejections, which are fast.
func TestUnprovenRejectionCountsAsFailure(t *testing.T) {
	for _, status := range statusesThatImplyNotRun {
		t.Run(http.StatusText(status), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.setRoute(nonIdempotentRoute())
				failing := testHandler.addReplica("s", "a", respondWith(time.Millisecond, status, "Signature: a\r\n", "full"))
				sound := testHandler.addReplica("s", "b", respondSigned(20*time.Millisecond, "b", "good"))
				for range 100 {
					testHandler.send(t.Context(), http.MethodPost, "/x", "work")
				}
				if failing.count() > sound.count()/2 {
					t.Errorf("%d requests went to the failing replica, %d to the sound one", failing.count(), sound.count())
				}
			})
		})
	}
}
