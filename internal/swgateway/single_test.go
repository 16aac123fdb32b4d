package swgateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// endings are the ways in which an attempt fails after its request left.
var endings = map[string]func(*arrival){
	"closed": closes(time.Millisecond),
	"cut": func(arrival *arrival) {
		_, _ = arrival.conn.Write([]byte("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 100\r\n\r\nabc"))
		arrival.conn.Close()
	},
	"garbage": func(arrival *arrival) {
		_, _ = arrival.conn.Write([]byte("\x01\x02\r\n\r\n"))
		arrival.conn.Close()
	},
	"unsigned": answers(time.Millisecond, http.StatusOK, "", "abc"),
	"encoded":  answers(time.Millisecond, http.StatusOK, "Signature: a\r\nContent-Encoding: gzip\r\n", "abc"),
}

func TestWorkThatMayRunOnceIsSentOnce(t *testing.T) {
	for name, script := range endings {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, 1)
				defer bench.close()
				bench.route(once())
				first, second := bench.add("s", "a", script), bench.add("s", "b", script)
				got := bench.ask(t.Context(), http.MethodPost, "/x", "work")
				if diff := cmp.Diff(1, first.count()+second.count()); diff != "" {
					t.Error("sendings (-want +got):\n" + diff)
				}
				if diff := cmp.Diff(http.StatusBadGateway, got.Code); diff != "" {
					t.Error("status (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestRepeatableWorkIsTriedAgain(t *testing.T) {
	for name, script := range endings {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, 1)
				defer bench.close()
				bench.route(repeatable())
				failing := bench.add("s", "a", script)
				bench.add("s", "b", signed(20*time.Millisecond, "b", "good"))
				for try := 0; try < 50 && failing.count() == 0; try++ {
					got := bench.ask(t.Context(), http.MethodGet, "/x", "")
					if diff := cmp.Diff("200 good", statusAndBody(got)); diff != "" {
						t.Error("answer (-want +got):\n" + diff)
					}
				}
				if failing.count() == 0 {
					t.Fatal("no request reached the replica that fails")
				}
			})
		})
	}
}

func TestWorkThatAReplicaRejectedGoesToAnother(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		// The budget grants one repeat.
		bench := newBench(t, 0.002)
		defer bench.close()
		bench.route(once())
		full := answers(time.Millisecond, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
		replicas := []*testReplica{bench.add("s", "a", full), bench.add("s", "b", full)}
		got := bench.ask(t.Context(), http.MethodPost, "/x", "work")
		if diff := cmp.Diff(http.StatusServiceUnavailable, got.Code); diff != "" {
			t.Error("status when all reject (-want +got):\n" + diff)
		}
		if got.Header().Get("Retry-After") == "" {
			t.Error("a refusal of work that has not run names no time to come back")
		}
		for i := range replicas {
			if diff := cmp.Diff(1, replicas[i].count()); diff != "" {
				t.Error("sendings (-want +got):\n" + diff)
			}
			replicas[i].script = signed(time.Millisecond, "x", "done")
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff("200 done", statusAndBody(bench.ask(t.Context(), http.MethodPost, "/x", "work"))); diff != "" {
			t.Error("answer (-want +got):\n" + diff)
		}
	})
}

func TestReplicasFailureIsPassedOnUnchanged(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		bench.route(once())
		bench.add("s", "a", answers(time.Millisecond, http.StatusInternalServerError, "Signature: a\r\n", "broken"))
		got := bench.ask(t.Context(), http.MethodPost, "/x", "work")
		if diff := cmp.Diff("500 broken", statusAndBody(got)); diff != "" {
			t.Error("answer (-want +got):\n" + diff)
		}
		if diff := cmp.Diff("a", got.Header().Get("Signature")); diff != "" {
			t.Error("signature (-want +got):\n" + diff)
		}
	})
}

func TestRequestIsPassedOnAsItCame(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		bench.route(once())
		replica := bench.add("s", "a", signed(time.Millisecond, "a", "ok"))
		bench.ask(t.Context(), http.MethodPut, "/a//b/../c?x=%20;y", "the body")
		arrived := replica.first()
		got := []string{arrived.Method, arrived.RequestURI, arrived.Host, string(arrived.body), arrived.Header.Get("Replica")}
		if diff := cmp.Diff([]string{"PUT", "/a//b/../c?x=%20;y", "h", "the body", "a"}, got); diff != "" {
			t.Error("request (-want +got):\n" + diff)
		}
	})
}

func TestDeadlineIsTheShorterOfClientAndRoute(t *testing.T) {
	for name, test := range map[string]struct{ timeout, most time.Duration }{
		"client": {5 * time.Second, 2 * time.Second},
		"route":  {300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, 0)
				defer bench.close()
				route := once()
				route.Timeout = test.timeout
				bench.route(route)
				replica := bench.add("s", "a", silent())
				got := bench.ask(t.Context(), http.MethodPost, "/x", "")
				if diff := cmp.Diff(http.StatusGatewayTimeout, got.Code); diff != "" {
					t.Error("status (-want +got):\n" + diff)
				}
				left := replica.first().left
				if left > test.most || left < test.most-50*time.Millisecond || got.took > test.most {
					t.Errorf("left %s and answered after %s, want at most %s", left, got.took, test.most)
				}
			})
		})
	}
}

func TestReplicaIsToldWhenTheClientLeaves(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0)
		defer bench.close()
		bench.route(repeatable())
		replica := bench.add("s", "a", silent())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		left := time.Now().Add(100 * time.Millisecond)
		bench.ask(ctx, http.MethodGet, "/x", "")
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		ends := replica.ends()
		if len(ends) != 1 {
			t.Fatalf("the replica saw %d connections end, want 1", len(ends))
		}
		if late := ends[0].Sub(left); late > 500*time.Millisecond {
			t.Errorf("the replica was told %s after the client left", late)
		}
	})
}

func TestAddressOfAnotherReplicaIsNotUsedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		bench.route(once())
		moved := bench.add("s", "a", answers(0, http.StatusMisdirectedRequest, "", ""))
		for range 4 {
			bench.ask(t.Context(), http.MethodPost, "/x", "")
		}
		if diff := cmp.Diff(1, moved.count()); diff != "" {
			t.Error("sendings (-want +got):\n" + diff)
		}
	})
}

func TestLeavingReplicasGetNothingNew(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		bench.route(once())
		leaving := bench.add("s", "a", signed(0, "a", "ok"))
		entry := bench.registry.ServiceReplicas("s")[0].Entry()
		entry.Leaving = true
		bench.registry.Update([]swreplicaEntry{entry}, nil)
		got := bench.ask(t.Context(), http.MethodPost, "/x", "")
		if diff := cmp.Diff(http.StatusServiceUnavailable, got.Code); diff != "" {
			t.Error("status (-want +got):\n" + diff)
		}
		if got.took != 0 {
			t.Errorf("refused after %s, want at once", got.took)
		}
		if diff := cmp.Diff(0, leaving.count()); diff != "" {
			t.Error("sendings (-want +got):\n" + diff)
		}
	})
}

func TestRequestsOutsideTheLimitsAreRefused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		if got := bench.ask(t.Context(), http.MethodGet, "/x", ""); got.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d before a configuration, want 503", got.Code)
		}
		bench.route(once())
		replica := bench.add("s", "a", signed(0, "a", "ok"))
		if got := bench.ask(t.Context(), http.MethodPost, "/x", string(make([]byte, 1001))); got.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d for a body over the limit, want 413", got.Code)
		}
		if got := bench.ask(t.Context(), http.MethodGet, "/"+strings.Repeat("x", 2000), ""); got.Code != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d for a header over the limit, want 431", got.Code)
		}
		if diff := cmp.Diff(0, replica.count()); diff != "" {
			t.Error("sendings (-want +got):\n" + diff)
		}
	})
}

// TestRequestsAtAVMThatHasJustStartedWaitForIt replays the return of all VMs after a loss of power: clients are there first.
func TestRequestsAtAVMThatHasJustStartedWaitForIt(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration
		want  string
		most  time.Duration
	}{
		"it hears soon": {150 * time.Millisecond, "200 good", 160 * time.Millisecond},
		"it hears late": {time.Minute, "503 NotReady\n", startWait},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, 0)
				defer bench.close()
				bench.add("s", "a", signed(time.Millisecond, "a", "good"))
				bench.group.Go(func(context.Context) {
					time.Sleep(test.after)
					bench.route(once())
				})
				got := bench.ask(t.Context(), http.MethodPost, "/x", "work")
				if diff := cmp.Diff(test.want, statusAndBody(got)); diff != "" {
					t.Error("answer (-want +got):\n" + diff)
				}
				if got.took > test.most {
					t.Errorf("took %s, want at most %s", got.took, test.most)
				}
				if got.Code != http.StatusOK && got.Header().Get("Retry-After") == "" {
					t.Error("a refusal names no time to come back")
				}
				time.Sleep(test.after)
			})
		})
	}
}

func TestRequestThatCrashesReplicasIsHeldBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		bench.route(repeatable())
		var replicas []*testReplica
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			replica := bench.add("s", id, nil)
			replica.script = func(arrival *arrival) {
				if arrival.RequestURI == "/deadly" {
					replica.crash()
					return
				}
				signed(0, id, "ok")(arrival)
			}
			replicas = append(replicas, replica)
		}
		var statuses []int
		for range 6 {
			statuses = append(statuses, bench.ask(t.Context(), http.MethodGet, "/deadly", "").Code)
			time.Sleep(2 * time.Second)
		}
		deadly := 0
		for _, replica := range replicas {
			deadly += replica.count()
		}
		if deadly > 3 {
			t.Errorf("the request reached %d replicas, want 3 at most; statuses %v", deadly, statuses)
		}
		if diff := cmp.Diff("200 ok", statusAndBody(bench.ask(t.Context(), http.MethodGet, "/other", ""))); diff != "" {
			t.Error("another request (-want +got):\n" + diff)
		}
	})
}

func TestRequestsInFlightAtAReplicaThatIsCutAreNotHeldBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 1)
		defer bench.close()
		bench.route(repeatable())
		bench.add("s", "a", closes(time.Millisecond))
		bench.add("s", "b", closes(time.Millisecond))
		for range 5 {
			got := bench.ask(t.Context(), http.MethodGet, "/x", "")
			if diff := cmp.Diff(http.StatusBadGateway, got.Code); diff != "" {
				t.Error("status (-want +got):\n" + diff)
			}
			time.Sleep(time.Second)
		}
	})
}
