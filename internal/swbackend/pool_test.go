package swbackend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// answerSummary is the part of an answer that tests compare.
type answerSummary struct {
	Outcome Outcome
	Ran     swcode.Ran
	Code    swcode.Code
}

func summaryOf(answer Answer) answerSummary {
	return answerSummary{Outcome: answer.Outcome, Ran: answer.Ran, Code: answer.Code}
}

func TestExecuteClassifiesAnswers(t *testing.T) {
	failed := func(status int, code string) func(searchRequest) *fakeAnswer {
		return func(searchRequest) *fakeAnswer { return &fakeAnswer{status: status, body: searchResponse{Code: code}} }
	}
	mismatched := func(change func(*searchResponse)) func(searchRequest) *fakeAnswer {
		return func(request searchRequest) *fakeAnswer {
			answer := echo(request)
			body := answer.body.(searchResponse)
			change(&body)
			answer.body = body
			return answer
		}
	}
	tests := []struct {
		name   string
		runKey string
		answer func(searchRequest) *fakeAnswer
		want   answerSummary
	}{
		{"echoed answer ran", "", echo, answerSummary{Answered, swcode.RanYes, swcode.OK}},
		{"snapshot not held did not run", "", failed(http.StatusConflict, "SnapshotNotHeld"), answerSummary{SnapshotNotHeld, swcode.RanNo, swcode.SnapshotUnavailable}},
		{"shed did not run", "k", failed(http.StatusServiceUnavailable, "Shed"), answerSummary{Shed, swcode.RanNo, swcode.QueueFull}},
		{"leaving did not run", "k", failed(http.StatusServiceUnavailable, "Leaving"), answerSummary{ServerLeaving, swcode.RanNo, swcode.NoReplica}},
		{"failure with the status of a shed request may have run", "", failed(http.StatusServiceUnavailable, "Internal"), answerSummary{Failed, swcode.RanUnknown, swcode.BackendFailed}},
		{"status of a shed request without a code", "", failed(http.StatusServiceUnavailable, ""), answerSummary{Failed, swcode.RanUnknown, swcode.BackendFailed}},
		{"status of a shed request with another code", "k", failed(http.StatusServiceUnavailable, "SnapshotNotHeld"), answerSummary{Failed, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"failure with the status of a missing snapshot may have run", "", failed(http.StatusConflict, "Internal"), answerSummary{Failed, swcode.RanUnknown, swcode.BackendFailed}},
		{"status of a missing snapshot without a code", "k", failed(http.StatusConflict, ""), answerSummary{Failed, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"status of a missing snapshot with another code", "k", failed(http.StatusConflict, "Shed"), answerSummary{Failed, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"code of a shed request with another status", "k", failed(http.StatusTooManyRequests, "Shed"), answerSummary{Failed, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"late may have run", "", failed(http.StatusGatewayTimeout, "Late"), answerSummary{Late, swcode.RanUnknown, swcode.DeadlineExceeded}},
		{"error may have run", "", failed(http.StatusInternalServerError, "Oops"), answerSummary{Failed, swcode.RanUnknown, swcode.BackendFailed}},
		{"error of non-idempotent work leaves the outcome unknown", "k", failed(http.StatusInternalServerError, "Oops"), answerSummary{Failed, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"other query is rejected", "", mismatched(func(body *searchResponse) { body.QueryID = "0000000000000008" }), answerSummary{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"other attempt is rejected", "", mismatched(func(body *searchResponse) { body.Attempt = "1" }), answerSummary{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"other snapshot is rejected", "", mismatched(func(body *searchResponse) { body.Snapshot = "s0" }), answerSummary{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"other shard is rejected", "", mismatched(func(body *searchResponse) { body.Shard = 4 }), answerSummary{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"lost connection may have run", "k", func(searchRequest) *fakeAnswer { return &fakeAnswer{closeConnection: true} }, answerSummary{Broken, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"no answer by the deadline may have run", "k", func(searchRequest) *fakeAnswer { return nil }, answerSummary{Late, swcode.RanUnknown, swcode.OutcomeUnknown}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeServer(t)
				fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer { return test.answer(request) }
				pool := newFakePool(t, fake, Config{})
				subRequest := newSubRequest(time.Second)
				subRequest.RunKey = test.runKey
				answer := pool.Execute(t.Context(), subRequest)
				if diff := cmp.Diff(test.want, summaryOf(answer)); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestNonIdempotentWorkIsSentOnceUnlessTheServerSaysNotRun guards against sending work under a key again that a server ran and then failed
// with the status of a rejection.
func TestNonIdempotentWorkIsSentOnceUnlessTheServerSaysNotRun(t *testing.T) {
	for _, test := range []struct {
		status int
		code   string
		sends  int
	}{
		{http.StatusServiceUnavailable, "Shed", 2},
		{http.StatusServiceUnavailable, "Internal", 1},
		{http.StatusServiceUnavailable, "", 1},
		{http.StatusConflict, "Internal", 1},
		{http.StatusTooManyRequests, "Shed", 1},
	} {
		t.Run(http.StatusText(test.status)+" "+test.code, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sends := 0
				fake := newFakeServer(t)
				fake.answer = func(int, string, searchRequest) *fakeAnswer {
					sends++
					return &fakeAnswer{status: test.status, body: searchResponse{Code: test.code}}
				}
				subRequest := newSubRequest(time.Second)
				subRequest.RunKey = "k"
				answer := newFakePool(t, fake, Config{}).Execute(t.Context(), subRequest)
				if diff := cmp.Diff([]any{test.sends, test.code == "Shed" && test.sends == 2}, []any{sends, answer.Ran == swcode.RanNo}); diff != "" {
					t.Errorf("sends and whether it is known not to have run (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestExecuteWithoutConnectionDidNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.dialErr = errors.New("connection refused")
		pool := newFakePool(t, fake, Config{})
		answer := pool.Execute(t.Context(), newSubRequest(time.Second))
		want := answerSummary{Unreachable, swcode.RanNo, swcode.NoReplica}
		if diff := cmp.Diff(want, summaryOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}

func TestUnresponsiveConnectionIsReplacedBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer {
			answer := echo(request)
			answer.delay = 4 * time.Millisecond
			return answer
		}
		pool := newFakePool(t, fake, Config{})
		for range 2 * minLatencySamples {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		synctest.Wait()
		fake.stopResponding()
		before := fake.countDialled()
		start := time.Now()
		answer := pool.Execute(t.Context(), newSubRequest(200*time.Millisecond))
		if diff := cmp.Diff(answerSummary{Answered, swcode.RanYes, swcode.OK}, summaryOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		if took := time.Since(start); took > 50*time.Millisecond {
			t.Errorf("the unresponsive connection cost %s of a timeout of 200ms", took)
		}
		if fake.countDialled() == before {
			t.Error("no new connection was opened")
		}
		start = time.Now()
		pool.Execute(t.Context(), newSubRequest(200*time.Millisecond))
		if took := time.Since(start); took > 5*time.Millisecond {
			t.Errorf("another unresponsive connection was used: %s", took)
		}
	})
}

func TestUnresponsiveConnectionDoesNotRepeatNonIdempotentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		pool := newFakePool(t, fake, Config{})
		for range 2 * minLatencySamples {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		fake.stopResponding()
		subRequest := newSubRequest(200 * time.Millisecond)
		subRequest.RunKey = "k"
		answer := pool.Execute(t.Context(), subRequest)
		if diff := cmp.Diff(answerSummary{Late, swcode.RanUnknown, swcode.OutcomeUnknown}, summaryOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		if runs := fake.count("/run"); runs != 1 {
			t.Errorf("sent %d times, want once", runs)
		}
	})
}

func TestDuplicateAnswerClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer {
			answer := echo(request)
			if request.Attempt == "0000000000000009" {
				answer.extraCopies = 1
			}
			return answer
		}
		pool := newFakePool(t, fake, Config{})
		first := newSubRequest(time.Second)
		pool.Execute(t.Context(), first)
		synctest.Wait()
		second := newSubRequest(time.Second)
		second.Attempt = 10
		answer := pool.Execute(t.Context(), second)
		if diff := cmp.Diff(answerSummary{Answered, swcode.RanYes, swcode.OK}, summaryOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}

// TestRefusalOfAnotherSendingIsNoProof guards against taking the late copy of a server's refusal, or a refusal of nobody's request, for the
// answer to work that must not run twice, which is then reported as not run while it runs.
func TestRefusalOfAnotherSendingIsNoProof(t *testing.T) {
	shed := func(request searchRequest, anonymous bool) *fakeAnswer {
		return &fakeAnswer{status: http.StatusServiceUnavailable, body: searchResponse{QueryID: request.QueryID, Attempt: request.Attempt, Code: "Shed"}, anonymous: anonymous}
	}
	for name, test := range map[string]struct {
		// answer returns the answer to the request with the given number, and first is the first request.
		answer   func(number int, request, first searchRequest) *fakeAnswer
		requests int
	}{
		"copy of the first refusal": {func(_ int, _, first searchRequest) *fakeAnswer { return shed(first, false) }, 2},
		"refusal without IDs":       {func(int, searchRequest, searchRequest) *fakeAnswer { return shed(searchRequest{}, true) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := startFakeServer()
				defer fake.close()
				pool := startFakePool(fake, Config{})
				defer pool.Close()
				number, first := 0, searchRequest{}
				fake.setAnswer(func(_ int, _ string, request searchRequest) *fakeAnswer {
					if number++; number == 1 {
						first = request
					}
					return test.answer(number, request, first)
				})
				subRequest := newSubRequest(time.Second)
				subRequest.RunKey = "k"
				answer := pool.Execute(t.Context(), subRequest)
				want := answerSummary{Broken, swcode.RanUnknown, swcode.OutcomeUnknown}
				if diff := cmp.Diff(want, answerSummary{answer.Outcome, answer.Ran, answer.Code}); diff != "" {
					t.Error("answer (-want +got):\n" + diff)
				}
				if diff := cmp.Diff(test.requests, fake.count("/run")); diff != "" {
					t.Error("requests (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestLeavingNoticeStopsNewWork(t *testing.T) {
	notices := map[string]func(request searchRequest) *fakeAnswer{
		"header": func(request searchRequest) *fakeAnswer {
			answer := echo(request)
			answer.header = http.Header{leavingHeader: {"true"}}
			return answer
		},
		"refusal": func(searchRequest) *fakeAnswer {
			return &fakeAnswer{status: http.StatusServiceUnavailable, body: searchResponse{Code: "Leaving"}}
		},
	}
	for name, notice := range notices {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeServer(t)
				fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer { return notice(request) }
				var leaving []string
				pool := newFakePool(t, fake, Config{OnLeaving: func(server string) { leaving = append(leaving, server) }})
				pool.Execute(t.Context(), newSubRequest(time.Second))
				answer := pool.Execute(t.Context(), newSubRequest(time.Second))
				if diff := cmp.Diff(answerSummary{ServerLeaving, swcode.RanNo, swcode.NoReplica}, summaryOf(answer)); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]string{serverName}, leaving); diff != "" {
					t.Errorf("OnLeaving calls (-want +got):\n%s", diff)
				}
				if sent := fake.count("/search"); sent != 1 {
					t.Errorf("sent %d requests, want 1", sent)
				}
			})
		})
	}
}

func TestCrashReportsTheFingerprintsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		var reported []uint64
		pool := newFakePool(t, fake, Config{OnCrash: func(_ string, fingerprints []uint64) { reported = fingerprints }})
		for range 50 {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		fake.setAnswer(func(int, string, searchRequest) *fakeAnswer { return nil })
		group := swgroup.New(context.Background())
		answers := make([]Answer, 2)
		for i := range answers {
			group.Go(func(context.Context) {
				subRequest := newSubRequest(time.Second)
				subRequest.RunKey = "k"
				subRequest.Fingerprint = uint64(i + 1)
				answers[i] = pool.Execute(context.Background(), subRequest)
			})
		}
		synctest.Wait()
		fake.closeConnections()
		group.Wait()
		time.Sleep(2 * crashWindow)
		synctest.Wait()
		slices.Sort(reported)
		if diff := cmp.Diff([]uint64{1, 2}, reported); diff != "" {
			t.Errorf("fingerprints (-want +got):\n%s", diff)
		}
		for i, answer := range answers {
			if !answer.Crash || answer.InFlight != 2 {
				t.Errorf("answer %d: Crash %v InFlight %d, want true 2", i, answer.Crash, answer.InFlight)
			}
		}
	})
}

// TestLostLinksAreNoCrash guards against requests that are quarantined because this VM lost its links to all servers.
func TestLostLinksAreNoCrash(t *testing.T) {
	tests := []struct {
		name string
		// inFlight holds the fingerprint of the request in flight at each server; 0 stands for none.
		inFlight [3]uint64
		// lost is the number of servers whose connections end.
		lost    int
		crashes int64
	}{
		{"all servers, one of them idle", [3]uint64{1, 1, 0}, 3, 0},
		{"all servers, with requests that have nothing in common", [3]uint64{1, 2, 1}, 3, 0},
		{"all servers, with the same request", [3]uint64{1, 1, 1}, 3, 3},
		{"the servers with the request", [3]uint64{1, 1, 0}, 2, 2},
		{"one server", [3]uint64{1, 2, 0}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fakes := map[netip.AddrPort]*fakeServer{}
				var servers []swindex.Server
				for i := range test.inFlight {
					address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
					fakes[address] = newFakeServer(t)
					servers = append(servers, swindex.Server{Name: strconv.Itoa(i), Address: address, Slots: 2, Connections: 25})
				}
				var crashes atomic.Int64
				pool := NewPool(Config{
					Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
						return fakes[address].dial(ctx, address)
					},
					OnCrash: func(string, []uint64) { crashes.Add(1) },
				})
				defer pool.Close()
				pool.SetServers(servers)
				group := swgroup.New(context.Background())
				answers := make([]Answer, len(servers))
				for i, server := range servers {
					subRequest := newSubRequest(time.Second)
					subRequest.Server = server.Name
					pool.Execute(t.Context(), subRequest)
					if test.inFlight[i] == 0 {
						continue
					}
					fakes[server.Address].setAnswer(func(int, string, searchRequest) *fakeAnswer { return nil })
					subRequest.RunKey, subRequest.Fingerprint = "k", test.inFlight[i]
					group.Go(func(context.Context) { answers[i] = pool.Execute(context.Background(), subRequest) })
				}
				synctest.Wait()
				for _, server := range servers[:test.lost] {
					fakes[server.Address].closeConnections()
				}
				group.Wait()
				time.Sleep(2 * crashWindow)
				synctest.Wait()
				if got := crashes.Load(); got != test.crashes {
					t.Errorf("%d crashes, want %d", got, test.crashes)
				}
				for i, answer := range answers[:test.lost] {
					if want := test.crashes > 0; answer.Crash != want {
						t.Errorf("answer %d: Crash %v, want %v", i, answer.Crash, want)
					}
				}
			})
		})
	}
}

func TestCancelledWorkFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = func(int, string, searchRequest) *fakeAnswer { return nil }
		pool := newFakePool(t, fake, Config{})
		group := swgroup.New(context.Background())
		ctx, cancel := context.WithCancel(context.Background())
		answers := make([]Answer, 4)
		for i := range answers {
			group.Go(func(context.Context) { answers[i] = pool.Execute(ctx, newSubRequest(time.Second)) })
		}
		synctest.Wait()
		cancel()
		group.Wait()
		load, _ := pool.Load(serverName)
		if load.Running != 0 || load.Waiting != 0 {
			t.Errorf("load after the cancellation: %+v", load)
		}
		sent := 0
		for _, answer := range answers {
			if answer.Outcome != Cancelled {
				t.Errorf("outcome %v, want Cancelled", answer.Outcome)
			}
			if answer.Ran != swcode.RanNo {
				sent++
			}
		}
		if received := fake.count("/search"); received > sent || sent == len(answers) {
			t.Errorf("the server received %d requests, but only %d answers say that the request may have run", received, sent)
		}
	})
}
