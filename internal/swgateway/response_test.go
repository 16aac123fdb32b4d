package swgateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
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

// TestPromisesHoldUnderRandomFaults guards against a status that implies "not run" for a request that ran or runs later, and against second runs,
// while replicas fail in every way, data centres are evacuated and the VM leaves.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) { checkPromises(t, rand.New(rand.NewPCG(seed+1, 0))) })
		})
	}
}

// failAtRandom returns a script that answers, rejects or fails each request, or drops its connection, before or after it has run it.
func failAtRandom(runs *runCounter, draw func(int) int) func(*receivedRequest) {
	unproven := slices.DeleteFunc(rejectionCases(), rejectionCase.notRun)
	return func(receivedRequest *receivedRequest) {
		work := time.Duration(5+draw(40)) * time.Millisecond
		kind := draw(10)
		if kind < 8 {
			runs.add(receivedRequest)
		}
		switch kind {
		case 0, 1, 2:
			respondSigned(work, "x", "done")(receivedRequest)
		case 3, 4:
			rejection := unproven[draw(len(unproven))]
			respondWith(work, rejection.status, rejection.header(), "failed")(receivedRequest)
		case 5:
			respondWith(work, http.StatusInternalServerError, "Signature: x\r\n", "failed")(receivedRequest)
		case 6:
			respondSigned(3*time.Second, "x", "late")(receivedRequest)
		case 7, 8:
			closeAfter(work)(receivedRequest)
		case 9:
			respondWith(time.Millisecond, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")(receivedRequest)
		}
	}
}

func checkPromises(t *testing.T, random *rand.Rand) {
	t.Helper()
	const (
		requests      = 600
		clientTimeout = 2 * time.Second
	)
	var mutex sync.Mutex
	draw := func(bound int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(bound)
	}
	testHandler, runs := newTestHandler(t, 1), &runCounter{}
	defer testHandler.close()
	for i := range 6 {
		testHandler.addReplicaIn([]string{"dc", "dc2"}[i%2], "s", fmt.Sprint("r", i), failAtRandom(runs, draw))
	}
	once, repeatable := nonIdempotentRoute(), idempotentRoute()
	once.Host, once.Prefix, repeatable.Host, repeatable.Prefix = "h", "/once/", "h", "/repeatable/"
	testHandler.setRoutes([]*swroute.Route{once, repeatable})
	var clients sync.WaitGroup
	var violations []string
	promises := 0
	for number := range requests {
		time.Sleep(time.Duration(draw(25)) * time.Millisecond)
		switch {
		case number == requests*9/10:
			testHandler.AnswerBy(time.Now().Add(time.Second))
		case number%30 == 0:
			testHandler.registry.UpdateEvacuations([][]string{nil, {"dc"}, {"dc2"}, {"dc", "dc2"}}[draw(4)], nil)
		}
		path := []string{"/once/x", "/repeatable/x"}[draw(2)]
		clients.Go(func() {
			id, got := testHandler.sendIdentified(t.Context(), http.MethodPost, path, "work", clientTimeout)
			implied := slices.Contains(statusesThatImplyNotRun, got.Code)
			// A request that runs after its answer does so within the time of its client.
			time.Sleep(clientTimeout)
			mutex.Lock()
			defer mutex.Unlock()
			if implied {
				promises++
			}
			if count := runs.count(id); implied && count > 0 || path == "/once/x" && count > 1 {
				violations = append(violations, fmt.Sprintf("%s %s was answered %d and ran %d times", path, id, got.Code, count))
			}
		})
	}
	clients.Wait()
	synctest.Wait()
	if promises == 0 {
		t.Error("no response implied that its request had not run")
	}
	if diff := cmp.Diff("", strings.Join(violations, "\n")); diff != "" {
		t.Error("violations (-want +got):\n" + diff)
	}
}

// TestRelayReplyThatSaysNothingIsNoRejection guards against "not run" from a relay's reply that is empty or of a newer version.
func TestRelayReplyThatSaysNothingIsNoRejection(t *testing.T) {
	const unknownOutcome = swreplica.Outcome(99)
	for name, replicaResult := range map[string]swreplica.Result{
		"empty":              {Response: &swconn.Response{}},
		"an unknown outcome": {Outcome: unknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.addReplica("s0", "a", neverRespond())
				call := testHandler.newCall(&request{route: gatheredRoute(1, 1)}, []string{"s0"})
				result := attemptResult{replica: testHandler.registry.Find("a"), replicaResult: replicaResult, relay: swrelay.Relay{Name: "peer", Address: netip.MustParseAddrPort("10.9.0.1:1")}}
				if response := replicaResult.Response; response != nil {
					result.meaning = interpret(response, testProtocol{}.ReadResponseInfo(response.Status, response.Header), true)
				}
				got := call.classify(result)
				if diff := cmp.Diff([]any{swbackend.Failed, swcode.RanUnknown}, []any{got.Outcome, got.Ran}); diff != "" {
					t.Error("outcome and Ran (-want +got):\n" + diff)
				}
			})
		})
	}
}
