package swgateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// ReadReport reads the headers that the scripted replicas set.
func (testProtocol) ReadReport(status int, header http.Header) (swreplica.Report, bool) {
	if status == http.StatusMisdirectedRequest {
		return swreplica.Report{}, false
	}
	limit, _ := strconv.ParseFloat(header.Get("Limit"), 64)
	retryAfter, _ := time.ParseDuration(header.Get("Retry-In"))
	return swreplica.Report{
		RequestID: header.Get("Id"), Succeeded: status == http.StatusOK, Leaving: header.Get("Leaving") != "", RateLimit: limit,
		RetryAfter: retryAfter,
	}, true
}

// TestReplicaThatSaysItLeavesGetsNoMoreRequests guards against requests to a replica that said in a response that it leaves, while
// the platform's list still shows it as ready.
func TestReplicaThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	const word = "Leaving: 1\r\nSignature: a\r\n"
	for name, script := range map[string]func(*receivedRequest){
		"answer":    respondWith(time.Millisecond, http.StatusOK, word, "a"),
		"rejection": respondWith(time.Millisecond, http.StatusServiceUnavailable, "Leaving: 1\r\nNot-Run: 1\r\n", ""),
		"failure":   respondWith(time.Millisecond, http.StatusInternalServerError, word, ""),
		"answer after the client's deadline": func(received *receivedRequest) {
			respondWith(1100*time.Millisecond, http.StatusOK, word, "a")(received)
		},
		"body that breaks off": func(received *receivedRequest) {
			fmt.Fprintf(received.conn, "HTTP/1.1 200 X\r\nId: %s\r\n%sContent-Length: 9\r\n\r\na", received.Header.Get("Id"), word)
			received.conn.Close()
		},
		"answer to another request": func(received *receivedRequest) {
			fmt.Fprintf(received.conn, "HTTP/1.1 200 X\r\nId: other\r\n%sContent-Length: 1\r\n\r\na", word)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.setRoute(idempotentRoute())
				leaving := testHandler.addReplica("s", "a", script)
				testHandler.sendWithTimeout(t.Context(), http.MethodGet, "/", "", time.Second)
				time.Sleep(time.Second)
				before := leaving.count()
				if got := testHandler.send(t.Context(), http.MethodGet, "/", ""); got.Code != http.StatusServiceUnavailable || got.took > 0 {
					t.Errorf("status %d after %s while no other replica is there, want 503 at once", got.Code, got.took)
				}
				testHandler.addReplica("s", "b", respondSigned(time.Millisecond, "b", "b"))
				for range 50 {
					if got := testHandler.send(t.Context(), http.MethodGet, "/", ""); got.Code != http.StatusOK {
						t.Fatalf("status %d from the other replica", got.Code)
					}
				}
				if diff := cmp.Diff(before, leaving.count()); diff != "" {
					t.Error("requests at the leaving replica (-want +got):\n" + diff)
				}
			})
		})
	}
}

// TestRequestsWaitingForALeavingReplicaGoElsewhere has 50 requests wait for the only connection to a replica when it says that it
// leaves.
func TestRequestsWaitingForALeavingReplicaGoElsewhere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.maxConnections = 1
		testHandler.setRoute(idempotentRoute())
		leaving := testHandler.addReplica("s", "a", respondWith(50*time.Millisecond, http.StatusOK, "Leaving: 1\r\nSignature: a\r\n", "a"))
		statuses := make(chan string, 50)
		for range 50 {
			testHandler.group.Go(func(context.Context) {
				statuses <- statusAndBody(testHandler.send(t.Context(), http.MethodGet, "/", ""))
			})
		}
		time.Sleep(10 * time.Millisecond)
		open := leaving.count()
		testHandler.addReplica("s", "b", respondSigned(time.Millisecond, "b", "b"))
		counts := make(map[string]int)
		for range 50 {
			counts[<-statuses]++
		}
		if diff := cmp.Diff(open, leaving.count()); diff != "" {
			t.Error("requests at the leaving replica (-want +got):\n" + diff)
		}
		if counts["200 a"]+counts["200 b"]+counts["503 QueueFull\n"]+counts["503 NoReplica\n"] != 50 {
			t.Errorf("answers %v, want only answers and refusals that nothing has run", counts)
		}
	})
}

// TestReplicaGetsNoMoreThanItsRateLimit guards against a replica that gets far more requests than the limit that it named. The other
// replica of the service takes the rest, so that no client notices.
func TestReplicaGetsNoMoreThanItsRateLimit(t *testing.T) {
	for name, route := range map[string]*swroute.Route{"single service": idempotentRoute(), "gathered": gatheredRoute(1, 1)} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				// The VM's share of the limit is 4 requests per second.
				testHandler.vms = 9
				testHandler.setRoute(route)
				service := "s"
				if route.Gathered() {
					service = "s0"
				}
				limited := testHandler.addReplica(service, "a", respondWith(time.Millisecond, http.StatusOK, "Limit: 36\r\nSignature: a\r\n", "a"))
				testHandler.addReplicaIn("other", service, "b", respondSigned(5*time.Millisecond, "b", "b"))
				testHandler.send(t.Context(), http.MethodGet, "/", "")
				time.Sleep(500 * time.Millisecond)
				before := limited.count()
				const load, lasts = 60, 4 * time.Second
				for range int(lasts.Seconds() * load) {
					testHandler.group.Go(func(context.Context) {
						if got := testHandler.send(t.Context(), http.MethodGet, "/", ""); got.Code != http.StatusOK {
							t.Errorf("status %d, want an answer of the other replica", got.Code)
						}
					})
					time.Sleep(time.Second / load)
				}
				if got, allowed := limited.count()-before, 4*4*3/2+5; got > allowed || got == 0 {
					t.Errorf("the limited replica got %d requests in 4s, want at most %d and some", got, allowed)
				}
			})
		})
	}
}

// TestRequestsBeyondTheRateOfAllReplicas sends requests to a service whose only replica takes one request in two seconds from this VM.
func TestRequestsBeyondTheRateOfAllReplicas(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(gatheredRoute(1, 1))
		limited := testHandler.addReplica("s0", "a", respondWith(time.Millisecond, http.StatusOK, "Limit: 0.5\r\nSignature: a\r\n", "a"))
		testHandler.send(t.Context(), http.MethodGet, "/", "")
		refusals := 0
		for range 20 {
			got := testHandler.send(t.Context(), http.MethodGet, "/", "")
			time.Sleep(100 * time.Millisecond)
			if got.Code == http.StatusOK {
				continue
			}
			refusals++
			after, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
			if got.Code != http.StatusServiceUnavailable || got.took > 0 || err != nil || after < 0.1 || after > 3 {
				t.Errorf("status %d after %s, Retry-After %q; want 503 at once, to be retried within the time that the limit leaves",
					got.Code, got.took, got.Header().Get("Retry-After"))
			}
		}
		if refusals < 18 || limited.count() > 3 {
			t.Errorf("%d of 20 refused, %d requests at the replica", refusals, limited.count())
		}
	})
}

// TestReplicaGetsNothingUntilItsRetryAfter guards against requests to a replica that rejected one and said for how long it wants no
// more from this VM. Up to 50 requests wait for its connections at that time.
func TestReplicaGetsNothingUntilItsRetryAfter(t *testing.T) {
	for name, route := range map[string]*swroute.Route{"single service": idempotentRoute(), "gathered": gatheredRoute(1, 1)} {
		for _, waiting := range []int{1, 50} {
			t.Run(fmt.Sprintf("%s, %d at once", name, waiting), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					testHandler := newTestHandler(t, 1)
					defer testHandler.close()
					testHandler.maxConnections = 1
					testHandler.setRoute(route)
					service := "s"
					if route.Gathered() {
						service = "s0"
					}
					held := testHandler.addReplica(service, "a", respondWith(10*time.Millisecond, http.StatusServiceUnavailable, "Not-Run: 1\r\nRetry-In: 3s\r\n", ""))
					for range waiting {
						testHandler.group.Go(func(context.Context) { testHandler.send(t.Context(), http.MethodGet, "/", "") })
					}
					time.Sleep(500 * time.Millisecond)
					before := held.count()
					for range 24 {
						got := testHandler.send(t.Context(), http.MethodGet, "/", "")
						after, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
						if got.Code != http.StatusServiceUnavailable || got.took > 0 || err != nil || after <= 0 || after > 1.5*1.2*3 {
							t.Fatalf("status %d after %s, Retry-After %q; want 503 at once and the time that the replica named",
								got.Code, got.took, got.Header().Get("Retry-After"))
						}
						time.Sleep(100 * time.Millisecond)
					}
					if diff := cmp.Diff(before, held.count()); diff != "" {
						t.Error("requests within the time that the replica named (-want +got):\n" + diff)
					}
					time.Sleep(2 * time.Second)
					testHandler.send(t.Context(), http.MethodGet, "/", "")
					if held.count() == before {
						t.Error("the replica got nothing after the time that it named")
					}
				})
			})
		}
	}
}

// reportScripts are the scripts of replicas that want few requests or none, by what they say.
var reportScripts = map[string]func(*receivedRequest){
	"leaving":     respondWith(time.Millisecond, http.StatusOK, "Leaving: 1\r\nSignature: a\r\n", "a"),
	"retry after": respondWith(time.Millisecond, http.StatusServiceUnavailable, "Not-Run: 1\r\nRetry-In: 1m\r\n", ""),
	"rate limit":  respondWith(time.Millisecond, http.StatusOK, "Limit: 0.1\r\nSignature: a\r\n", "a"),
}

// TestRestartedReplicaStartsClean restarts a replica that wanted few requests or none.
func TestRestartedReplicaStartsClean(t *testing.T) {
	for name, script := range reportScripts {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.setRoute(idempotentRoute())
				replica := testHandler.addReplica("s", "a", script)
				testHandler.send(t.Context(), http.MethodGet, "/", "")
				entry := testHandler.registry.Find("a").Entry()
				entry.StartedAt = time.Now()
				testHandler.registry.Update([]swreplica.Entry{entry}, nil)
				replica.mutex.Lock()
				replica.script = respondSigned(time.Millisecond, "a", "new")
				replica.mutex.Unlock()
				if got := testHandler.send(t.Context(), http.MethodGet, "/", ""); statusAndBody(got) != "200 new" {
					t.Errorf("answer %q of the restarted replica", statusAndBody(got))
				}
			})
		})
	}
}

// TestReplicaWhoseEntryComesBackKeepsItsWord guards against requests to a replica that wants few or none, once its entry was removed and
// came back: entries lapse in an outage of the platform.
func TestReplicaWhoseEntryComesBackKeepsItsWord(t *testing.T) {
	for name, script := range reportScripts {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.setRoute(idempotentRoute())
				replica := testHandler.addReplica("s", "a", script)
				testHandler.send(t.Context(), http.MethodGet, "/", "")
				entry := testHandler.registry.Find("a").Entry()
				for range 5 {
					testHandler.registry.Update(nil, []string{"a"})
					time.Sleep(time.Second)
					testHandler.registry.Update([]swreplica.Entry{entry}, nil)
					testHandler.sendWithTimeout(t.Context(), http.MethodGet, "/", "", 100*time.Millisecond)
				}
				if got := replica.count(); got > 2 {
					t.Errorf("the replica got %d requests, want at most 2", got)
				}
			})
		})
	}
}
