package swbackend

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// outcome is the part of an answer that the tables below compare.
type outcome struct {
	Outcome Outcome
	Ran     swcode.Ran
	Code    swcode.Code
}

func outcomeOf(answer Answer) outcome {
	return outcome{Outcome: answer.Outcome, Ran: answer.Ran, Code: answer.Code}
}

func TestExecuteClassifiesAnswers(t *testing.T) {
	failed := func(status int, code string) func(searchRequest) *fakeAnswer {
		return func(searchRequest) *fakeAnswer { return &fakeAnswer{status: status, body: searchResponse{Code: code}} }
	}
	crossed := func(change func(*searchResponse)) func(searchRequest) *fakeAnswer {
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
		want   outcome
	}{
		{"echoed answer ran", "", echo, outcome{Answered, swcode.RanYes, swcode.OK}},
		{"snapshot not held did not run", "", failed(http.StatusConflict, "SnapshotNotHeld"), outcome{SnapshotNotHeld, swcode.RanNo, swcode.SnapshotUnavailable}},
		{"shed did not run", "k", failed(http.StatusServiceUnavailable, "Shed"), outcome{Shed, swcode.RanNo, swcode.QueueFull}},
		{"leaving did not run", "k", failed(http.StatusServiceUnavailable, "Leaving"), outcome{ServerLeaving, swcode.RanNo, swcode.NoReplica}},
		{"late may have run", "", failed(http.StatusGatewayTimeout, "Late"), outcome{Late, swcode.RanUnknown, swcode.DeadlineExceeded}},
		{"error may have run", "", failed(http.StatusInternalServerError, "Oops"), outcome{Failed, swcode.RanUnknown, swcode.BackendFailed}},
		{"error of non-idempotent work leaves the outcome unknown", "k", failed(http.StatusInternalServerError, "Oops"), outcome{Failed, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"other query is dropped", "", crossed(func(body *searchResponse) { body.QueryID = "0000000000000008" }), outcome{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"other attempt is dropped", "", crossed(func(body *searchResponse) { body.Attempt = "1" }), outcome{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"other snapshot is dropped", "", crossed(func(body *searchResponse) { body.Snapshot = "s0" }), outcome{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"other shard is dropped", "", crossed(func(body *searchResponse) { body.Shard = 4 }), outcome{Broken, swcode.RanUnknown, swcode.BackendFailed}},
		{"connection that dies may have run", "k", func(searchRequest) *fakeAnswer { return &fakeAnswer{hangUp: true} }, outcome{Broken, swcode.RanUnknown, swcode.OutcomeUnknown}},
		{"no answer by the deadline may have run", "k", func(searchRequest) *fakeAnswer { return nil }, outcome{Late, swcode.RanUnknown, swcode.OutcomeUnknown}},
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
				if diff := cmp.Diff(test.want, outcomeOf(answer)); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
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
		want := outcome{Unreachable, swcode.RanNo, swcode.NoReplica}
		if diff := cmp.Diff(want, outcomeOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}

func TestSilentConnectionIsReplacedBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer {
			answer := echo(request)
			answer.wait = 4 * time.Millisecond
			return answer
		}
		pool := newFakePool(t, fake, Config{})
		for range 2 * latencySamples {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		synctest.Wait()
		fake.silence()
		before := fake.dialled()
		start := time.Now()
		answer := pool.Execute(t.Context(), newSubRequest(200*time.Millisecond))
		if diff := cmp.Diff(outcome{Answered, swcode.RanYes, swcode.OK}, outcomeOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		if took := time.Since(start); took > 50*time.Millisecond {
			t.Errorf("silence cost %s of a timeout of 200ms", took)
		}
		if fake.dialled() == before {
			t.Error("no fresh connection was made")
		}
		start = time.Now()
		pool.Execute(t.Context(), newSubRequest(200*time.Millisecond))
		if took := time.Since(start); took > 5*time.Millisecond {
			t.Errorf("a silent sibling was used again: %s", took)
		}
	})
}

func TestSilentConnectionNeverRepeatsNonIdempotentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeServer(t)
		pool := newFakePool(t, fake, Config{})
		for range 2 * latencySamples {
			pool.Execute(t.Context(), newSubRequest(time.Second))
		}
		fake.silence()
		subRequest := newSubRequest(200 * time.Millisecond)
		subRequest.RunKey = "k"
		answer := pool.Execute(t.Context(), subRequest)
		if diff := cmp.Diff(outcome{Late, swcode.RanUnknown, swcode.OutcomeUnknown}, outcomeOf(answer)); diff != "" {
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
				answer.repeat = 1
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
		if diff := cmp.Diff(outcome{Answered, swcode.RanYes, swcode.OK}, outcomeOf(answer)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}

func TestLeavingSignStopsNewWork(t *testing.T) {
	signs := map[string]func(request searchRequest) *fakeAnswer{
		"header": func(request searchRequest) *fakeAnswer {
			answer := echo(request)
			answer.header = http.Header{leavingHeader: {"true"}}
			return answer
		},
		"refusal": func(searchRequest) *fakeAnswer {
			return &fakeAnswer{status: http.StatusServiceUnavailable, body: searchResponse{Code: "Leaving"}}
		},
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeServer(t)
				fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer { return sign(request) }
				var announced []string
				pool := newFakePool(t, fake, Config{OnLeaving: func(server string) { announced = append(announced, server) }})
				pool.Execute(t.Context(), newSubRequest(time.Second))
				answer := pool.Execute(t.Context(), newSubRequest(time.Second))
				if diff := cmp.Diff(outcome{ServerLeaving, swcode.RanNo, swcode.NoReplica}, outcomeOf(answer)); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]string{serverName}, announced); diff != "" {
					t.Errorf("announced (-want +got):\n%s", diff)
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
		fake.hangUpAll()
		group.Wait()
		time.Sleep(2 * crashSettle)
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

func TestWithdrawnWorkFreesItsPlace(t *testing.T) {
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
			t.Errorf("load after withdrawal: %+v", load)
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
			t.Errorf("the server received %d requests, %d are said to have left", received, sent)
		}
	})
}
