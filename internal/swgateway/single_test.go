package swgateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// failureScripts are the ways in which an attempt fails after its request was sent.
var failureScripts = map[string]func(*receivedRequest){
	"closed": closeAfter(time.Millisecond),
	"truncated": func(receivedRequest *receivedRequest) {
		_, _ = receivedRequest.conn.Write([]byte("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 100\r\n\r\nabc"))
		receivedRequest.conn.Close()
	},
	"garbage": func(receivedRequest *receivedRequest) {
		_, _ = receivedRequest.conn.Write([]byte("\x01\x02\r\n\r\n"))
		receivedRequest.conn.Close()
	},
	"unsigned": respondWith(time.Millisecond, http.StatusOK, "", "abc"),
	"encoded":  respondWith(time.Millisecond, http.StatusOK, "Signature: a\r\nContent-Encoding: gzip\r\n", "abc"),
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for name, script := range failureScripts {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.setRoute(nonIdempotentRoute())
				first, second := testHandler.addReplica("s", "a", script), testHandler.addReplica("s", "b", script)
				got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
				if diff := cmp.Diff(1, first.count()+second.count()); diff != "" {
					t.Error("attempts (-want +got):\n" + diff)
				}
				if diff := cmp.Diff(http.StatusBadGateway, got.Code); diff != "" {
					t.Error("status (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	for name, script := range failureScripts {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.setRoute(idempotentRoute())
				failing := testHandler.addReplica("s", "a", script)
				testHandler.addReplica("s", "b", respondSigned(20*time.Millisecond, "b", "good"))
				for try := 0; try < 50 && failing.count() == 0; try++ {
					got := testHandler.send(t.Context(), http.MethodGet, "/x", "")
					if diff := cmp.Diff("200 good", statusAndBody(got)); diff != "" {
						t.Error("answer (-want +got):\n" + diff)
					}
				}
				if failing.count() == 0 {
					t.Fatal("no request reached the failing replica")
				}
			})
		})
	}
}

func TestRejectedRequestGoesToAnotherReplica(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		// The budget grants one repeat.
		testHandler := newTestHandler(t, 0.002)
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		full := respondWith(time.Millisecond, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
		replicas := []*testReplica{testHandler.addReplica("s", "a", full), testHandler.addReplica("s", "b", full)}
		got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
		if diff := cmp.Diff(http.StatusServiceUnavailable, got.Code); diff != "" {
			t.Error("status when all reject (-want +got):\n" + diff)
		}
		if got.Header().Get("Retry-After") == "" {
			t.Error("the refusal of a request that has not run has no Retry-After")
		}
		for i := range replicas {
			if diff := cmp.Diff(1, replicas[i].count()); diff != "" {
				t.Error("attempts (-want +got):\n" + diff)
			}
			replicas[i].script = respondSigned(time.Millisecond, "x", "done")
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff("200 done", statusAndBody(testHandler.send(t.Context(), http.MethodPost, "/x", "work"))); diff != "" {
			t.Error("answer (-want +got):\n" + diff)
		}
	})
}

func TestReplicaFailureIsForwardedUnchanged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		testHandler.addReplica("s", "a", respondWith(time.Millisecond, http.StatusInternalServerError, "Signature: a\r\n", "broken"))
		got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
		if diff := cmp.Diff("500 broken", statusAndBody(got)); diff != "" {
			t.Error("answer (-want +got):\n" + diff)
		}
		if diff := cmp.Diff("a", got.Header().Get("Signature")); diff != "" {
			t.Error("signature (-want +got):\n" + diff)
		}
	})
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		replica := testHandler.addReplica("s", "a", respondSigned(time.Millisecond, "a", "ok"))
		testHandler.send(t.Context(), http.MethodPut, "/a//b/../c?x=%20;y", "the body")
		received := replica.first()
		got := []string{received.Method, received.RequestURI, received.Host, string(received.body), received.Header.Get("Replica")}
		if diff := cmp.Diff([]string{"PUT", "/a//b/../c?x=%20;y", "h", "the body", "a"}, got); diff != "" {
			t.Error("request (-want +got):\n" + diff)
		}
	})
}

func TestDeadlineIsMinimumOfClientAndRoute(t *testing.T) {
	for name, test := range map[string]struct{ timeout, maximum time.Duration }{
		"client": {5 * time.Second, 2 * time.Second},
		"route":  {300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 0)
				defer testHandler.close()
				route := nonIdempotentRoute()
				route.Timeout = test.timeout
				testHandler.setRoute(route)
				replica := testHandler.addReplica("s", "a", neverRespond())
				got := testHandler.send(t.Context(), http.MethodPost, "/x", "")
				if diff := cmp.Diff(http.StatusGatewayTimeout, got.Code); diff != "" {
					t.Error("status (-want +got):\n" + diff)
				}
				left := replica.first().left
				if left > test.maximum || left < test.maximum-50*time.Millisecond || got.took > test.maximum {
					t.Errorf("left %s and answered after %s, want at most %s", left, got.took, test.maximum)
				}
			})
		})
	}
}

func TestReplicaConnectionClosesWhenClientLeaves(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 0)
		defer testHandler.close()
		testHandler.setRoute(idempotentRoute())
		replica := testHandler.addReplica("s", "a", neverRespond())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		left := time.Now().Add(100 * time.Millisecond)
		testHandler.send(ctx, http.MethodGet, "/x", "")
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		ends := replica.endTimes()
		if len(ends) != 1 {
			t.Fatalf("the replica saw %d connections end, want 1", len(ends))
		}
		if late := ends[0].Sub(left); late > 500*time.Millisecond {
			t.Errorf("the replica's connection ended %s after the client left", late)
		}
	})
}

// TestClientThatLeavesGetsNoSuccess guards against an empty success, which no replica gave, for a client that ends only its sending side and
// reads on.
func TestClientThatLeavesGetsNoSuccess(t *testing.T) {
	for name, script := range map[string]func(*receivedRequest){
		"its request runs":  respondSigned(time.Second, "a", "late"),
		"its request waits": respondWith(0, http.StatusServiceUnavailable, "Not-Run: 1\r\n", ""),
	} {
		for _, route := range []*swroute.Route{nonIdempotentRoute(), idempotentRoute(), gatheredRoute(1, 1)} {
			t.Run(name+", "+route.Name, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					testHandler := newTestHandler(t, 1)
					defer testHandler.close()
					testHandler.setRoute(route)
					testHandler.addReplica("s", "a", script)
					testHandler.addReplica("s0", "b", script)
					ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
					defer cancel()
					if got := testHandler.send(ctx, http.MethodPost, "/x", "work"); !got.aborted && got.Code != http.StatusServiceUnavailable {
						t.Errorf("got status %d and %q, want a closed connection or a refusal", got.Code, got.Body)
					}
				})
			})
		}
	}
}

func TestAddressOfWrongReplicaIsNotReused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		moved := testHandler.addReplica("s", "a", respondWith(0, http.StatusMisdirectedRequest, "", ""))
		for range 4 {
			testHandler.send(t.Context(), http.MethodPost, "/x", "")
		}
		if diff := cmp.Diff(1, moved.count()); diff != "" {
			t.Error("attempts (-want +got):\n" + diff)
		}
	})
}

func TestLeavingReplicasReceiveNoRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		leaving := testHandler.addReplica("s", "a", respondSigned(0, "a", "ok"))
		entry := testHandler.registry.ServiceReplicas("s")[0].Entry()
		entry.Leaving = true
		testHandler.registry.Update([]replicaEntry{entry}, nil)
		got := testHandler.send(t.Context(), http.MethodPost, "/x", "")
		if diff := cmp.Diff(http.StatusServiceUnavailable, got.Code); diff != "" {
			t.Error("status (-want +got):\n" + diff)
		}
		if got.took != 0 {
			t.Errorf("refused after %s, want at once", got.took)
		}
		if diff := cmp.Diff(0, leaving.count()); diff != "" {
			t.Error("attempts (-want +got):\n" + diff)
		}
	})
}

func TestRequestsOverSizeLimitsAreRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		if got := testHandler.send(t.Context(), http.MethodGet, "/x", ""); got.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d before a configuration, want 503", got.Code)
		}
		testHandler.setRoute(nonIdempotentRoute())
		replica := testHandler.addReplica("s", "a", respondSigned(0, "a", "ok"))
		if got := testHandler.send(t.Context(), http.MethodPost, "/x", string(make([]byte, 1001))); got.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d for a body over the limit, want 413", got.Code)
		}
		if got := testHandler.send(t.Context(), http.MethodGet, "/"+strings.Repeat("x", 2000), ""); got.Code != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d for a header over the limit, want 431", got.Code)
		}
		if diff := cmp.Diff(0, replica.count()); diff != "" {
			t.Error("attempts (-want +got):\n" + diff)
		}
	})
}

// TestRequestsWaitForStartup sends requests before the VM has its configuration, as clients do when all VMs return from a loss of
// power.
func TestRequestsWaitForStartup(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		want    string
		maximum time.Duration
	}{
		"configuration arrives soon": {150 * time.Millisecond, "200 good", 160 * time.Millisecond},
		"configuration arrives late": {time.Minute, "503 NotReady\n", startupTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 0)
				defer testHandler.close()
				testHandler.addReplica("s", "a", respondSigned(time.Millisecond, "a", "good"))
				testHandler.group.Go(func(context.Context) {
					time.Sleep(test.after)
					testHandler.setRoute(nonIdempotentRoute())
				})
				got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
				if diff := cmp.Diff(test.want, statusAndBody(got)); diff != "" {
					t.Error("answer (-want +got):\n" + diff)
				}
				if got.took > test.maximum {
					t.Errorf("took %s, want at most %s", got.took, test.maximum)
				}
				if got.Code != http.StatusOK && got.Header().Get("Retry-After") == "" {
					t.Error("the refusal has no Retry-After")
				}
				time.Sleep(test.after)
			})
		})
	}
}

func TestRequestThatCrashesReplicasIsQuarantined(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(idempotentRoute())
		var replicas []*testReplica
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			replica := testHandler.addReplica("s", id, nil)
			replica.script = func(receivedRequest *receivedRequest) {
				if receivedRequest.RequestURI == "/deadly" {
					replica.crash()
					return
				}
				respondSigned(0, id, "ok")(receivedRequest)
			}
			replicas = append(replicas, replica)
		}
		var statuses []int
		for range 6 {
			statuses = append(statuses, testHandler.send(t.Context(), http.MethodGet, "/deadly", "").Code)
			time.Sleep(2 * time.Second)
		}
		reached := 0
		for _, replica := range replicas {
			reached += replica.count()
		}
		if reached > 3 {
			t.Errorf("the request reached %d replicas, want at most 3; statuses %v", reached, statuses)
		}
		if diff := cmp.Diff("200 ok", statusAndBody(testHandler.send(t.Context(), http.MethodGet, "/other", ""))); diff != "" {
			t.Error("another request (-want +got):\n" + diff)
		}
	})
}

func TestLostConnectionsDoNotQuarantineRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(idempotentRoute())
		testHandler.addReplica("s", "a", closeAfter(time.Millisecond))
		testHandler.addReplica("s", "b", closeAfter(time.Millisecond))
		for range 5 {
			got := testHandler.send(t.Context(), http.MethodGet, "/x", "")
			if diff := cmp.Diff(http.StatusBadGateway, got.Code); diff != "" {
				t.Error("status (-want +got):\n" + diff)
			}
			time.Sleep(time.Second)
		}
	})
}
