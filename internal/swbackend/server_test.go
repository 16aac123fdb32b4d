package swbackend

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// answerAfter returns an answer function that takes the given time for each request.
func answerAfter(wait time.Duration) func(int, string, searchRequest) *fakeAnswer {
	return func(_ int, _ string, request searchRequest) *fakeAnswer {
		answer := echo(request)
		answer.delay = wait
		return answer
	}
}

// execute sends count concurrent requests and returns their answers.
func execute(pool *Pool, count int, timeout time.Duration) []Answer {
	group := swgroup.New(context.Background())
	answers := make([]Answer, count)
	for i := range answers {
		group.Go(func(ctx context.Context) {
			subRequest := newSubRequest(timeout)
			subRequest.QueryID = uint64(i)
			answers[i] = pool.Execute(ctx, subRequest)
		})
	}
	group.Wait()
	return answers
}

func TestAnswersInTimeWhenAllConnectionsStopResponding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = answerAfter(4 * time.Millisecond)
		fake.dialDelay = 5 * time.Millisecond
		pool := newFakePool(t, fake, Config{})
		execute(pool, 60, time.Second)
		group := swgroup.New(context.Background())
		group.Go(func(context.Context) {
			time.Sleep(5 * time.Millisecond)
			fake.stopResponding()
		})
		for i, answer := range execute(pool, 20, 200*time.Millisecond) {
			if diff := cmp.Diff(answerSummary{Answered, swcode.RanYes, swcode.OK}, summaryOf(answer)); diff != "" {
				t.Errorf("answer %d (-want +got):\n%s", i, diff)
			}
		}
		group.Wait()
	})
}

func TestSlowerServerGetsFewDuplicateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = answerAfter(4 * time.Millisecond)
		pool := newFakePool(t, fake, Config{})
		execute(pool, 40, time.Second)
		fake.setAnswer(answerAfter(80 * time.Millisecond))
		const requests = 50
		before := fake.count("/search")
		for range requests {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		if sent := fake.count("/search") - before; sent > requests*115/100 {
			t.Errorf("%d requests were sent %d times", requests, sent)
		}
	})
}

func TestConnectionsBeyondServerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = answerAfter(10 * time.Millisecond)
		pool := newFakePool(t, fake, Config{})
		pool.SetServers([]swindex.Server{{Name: serverName, Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 8, Connections: 25}})
		for range 400 {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		fake.setRefuseFrom(fake.countDialled())
		keys := []string{"", "k"}
		group := swgroup.New(context.Background())
		for i := range 16 {
			group.Go(func(ctx context.Context) {
				subRequest := newSubRequest(time.Second)
				subRequest.RunKey = keys[i%2]
				subRequest.QueryID = uint64(i)
				answer := pool.Execute(ctx, subRequest)
				if !subRequest.Idempotent() && answer.Outcome != Answered && answer.Ran != swcode.RanNo {
					t.Errorf("request %d: %+v", i, answer)
				}
				if answer.Crash {
					t.Errorf("request %d: a refused connection was taken for a crash", i)
				}
			})
		}
		group.Wait()
		dialled := fake.countDialled()
		for i, answer := range execute(pool, 16, time.Second) {
			if answer.Outcome != Answered {
				t.Errorf("request %d after the refused connections: %+v", i, answer)
			}
		}
		if again := fake.countDialled() - dialled; again > 0 {
			t.Errorf("%d more connections were dialled", again)
		}
	})
}

func TestLateAnswerDoesNotReachNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = answerAfter(50 * time.Millisecond)
		pool := newFakePool(t, fake, Config{})
		first := pool.Execute(t.Context(), newSubRequest(20*time.Millisecond))
		if diff := cmp.Diff(answerSummary{Late, swcode.RanUnknown, swcode.DeadlineExceeded}, summaryOf(first)); diff != "" {
			t.Errorf("late answer (-want +got):\n%s", diff)
		}
		second := newSubRequest(time.Second)
		second.QueryID = 8
		answer := pool.Execute(t.Context(), second)
		if diff := cmp.Diff(answerSummary{Answered, swcode.RanYes, swcode.OK}, summaryOf(answer)); diff != "" {
			t.Errorf("next answer (-want +got):\n%s", diff)
		}
	})
}

func TestIdleServersAreChecked(t *testing.T) {
	t.Run("leaving is detected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeServer(t)
			pool := newFakePool(t, fake, Config{})
			pool.Execute(t.Context(), newSubRequest(time.Second))
			fake.setHealth("Leaving")
			time.Sleep(3 * healthCheckInterval)
			synctest.Wait()
			if !pool.Leaving(serverName) {
				t.Error("the state Leaving at the health endpoint was not detected")
			}
		})
	})
	t.Run("unresponsive connections are detected", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeServer(t)
			pool := newFakePool(t, fake, Config{})
			execute(pool, 20, time.Second)
			fake.stopResponding()
			time.Sleep(3 * healthCheckInterval)
			synctest.Wait()
			start := time.Now()
			pool.Execute(t.Context(), newSubRequest(time.Second))
			if took := time.Since(start); took > 5*time.Millisecond {
				t.Errorf("a request used an unresponsive connection: %s", took)
			}
		})
	})
	t.Run("a ready state changes nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			fake := newFakeServer(t)
			pool := newFakePool(t, fake, Config{})
			pool.Execute(t.Context(), newSubRequest(time.Second))
			pool.SetLeaving(serverName)
			time.Sleep(2 * healthCheckInterval)
			if !pool.Leaving(serverName) {
				t.Error("an outdated health state revoked a leaving notice")
			}
		})
	})
}

func TestOutdatedListDoesNotRevokeLeavingNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		pool := newFakePool(t, fake, Config{})
		list := func(leaving bool) []swindex.Server {
			return []swindex.Server{{Name: serverName, Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2, Connections: 25, Leaving: leaving}}
		}
		pool.SetLeaving(serverName)
		pool.SetServers(list(false))
		got := []bool{pool.Leaving(serverName)}
		pool.SetServers(list(true))
		got = append(got, pool.Leaving(serverName))
		pool.SetServers(list(false))
		got = append(got, pool.Leaving(serverName))
		if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
			t.Errorf("leaving after the notice, the list's notice and its removal from the list (-want +got):\n%s", diff)
		}
	})
}

func TestUnlistedServerFinishesWorkInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = answerAfter(8 * time.Millisecond)
		pool := newFakePool(t, fake, Config{})
		group := swgroup.New(context.Background())
		group.Go(func(context.Context) {
			time.Sleep(2 * time.Millisecond)
			pool.SetServers(nil)
		})
		answer := pool.Execute(t.Context(), newSubRequest(time.Second))
		if diff := cmp.Diff(answerSummary{Answered, swcode.RanYes, swcode.OK}, summaryOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		group.Wait()
		answer = pool.Execute(t.Context(), newSubRequest(time.Second))
		if diff := cmp.Diff(answerSummary{UnknownServer, swcode.RanNo, swcode.NoReplica}, summaryOf(answer)); diff != "" {
			t.Errorf("answer afterwards (-want +got):\n%s", diff)
		}
		synctest.Wait()
		if open := fake.countOpen(); open > 0 {
			t.Errorf("%d connections are still open", open)
		}
	})
}

func TestShareLimitsSlotsAndConnections(t *testing.T) {
	tests := []struct {
		name                   string
		numerator, denominator int
		want                   [2]int
	}{
		{"the owner has all but the reserved ones", 1, 1, [2]int{8, 30}},
		{"a third", 1, 3, [2]int{2, 10}},
		{"at least one", 1, 1000, [2]int{1, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := NewPool(Config{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return nil, net.ErrClosed }})
				defer pool.Close()
				pool.SetServers([]swindex.Server{{Name: serverName, Slots: 8, Connections: 40}})
				pool.SetShare(test.numerator, test.denominator)
				server := pool.server(serverName)
				if diff := cmp.Diff(test.want, [2]int{server.usableSlots(), server.usableConnections()}); diff != "" {
					t.Errorf("slots and connections (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestLimitIsLearnedFromSheddingServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		running := make(chan struct{}, 1)
		fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer {
			select {
			case running <- struct{}{}:
				time.AfterFunc(4*time.Millisecond, func() { <-running })
				return answerAfter(5*time.Millisecond)(0, "", request)
			default:
				return &fakeAnswer{status: http.StatusServiceUnavailable, body: searchResponse{Code: "Shed"}}
			}
		}
		pool := newFakePool(t, fake, Config{})
		for i, answer := range execute(pool, 30, time.Second) {
			if answer.Outcome != Answered {
				t.Errorf("answer %d while the limit is learned: %+v", i, answer)
			}
		}
		before := fake.count("/search")
		for i, answer := range execute(pool, 60, time.Second) {
			if answer.Outcome != Answered {
				t.Errorf("answer %d: %+v", i, answer)
			}
		}
		if sent := fake.count("/search") - before; sent > 63 {
			t.Errorf("60 requests were sent %d times to a server that runs one at a time", sent)
		}
		load, _ := pool.Load(serverName)
		if diff := cmp.Diff(swadmission.Load{Limit: 1, ServiceTime: load.ServiceTime}, load); diff != "" {
			t.Errorf("load (-want +got):\n%s", diff)
		}
	})
}

func TestSlowRequestsAreNotSentTwice(t *testing.T) {
	tests := map[string]func(i int) string{
		"of their own kind":              func(i int) string { return []string{"balance-check", "audit-export"}[i%20/19] },
		"of the same kind as quick ones": func(int) string { return "balance-check" },
		"each of a new kind":             func(i int) string { return formatID(uint64(i)) },
	}
	for name, kind := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeServer(t)
				fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer {
					wait := 4 * time.Millisecond
					if request.Query == "slow" {
						wait = 60 * time.Millisecond
					}
					return answerAfter(wait)(0, "", request)
				}
				pool := newFakePool(t, fake, Config{})
				const requests = 600
				for i := range requests {
					subRequest := newSubRequest(200 * time.Millisecond)
					subRequest.QueryID, subRequest.Kind = uint64(i), kind(i)
					if i%20 == 19 {
						subRequest.Query = "slow"
					}
					pool.Execute(t.Context(), subRequest)
				}
				if sent := fake.count("/search"); sent > requests*101/100 {
					t.Errorf("%d requests were sent %d times", requests, sent)
				}
			})
		})
	}
}
