package swclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// call is one request that the fake tier received.
type call struct {
	Host string
	Path string
	Key  string
}

// fakeTier answers calls from a script with one step per call of a path. The last step repeats.
type fakeTier struct {
	search []step
	runs   []step
	issued int
	clock  time.Duration
	calls  []call
	last   RunRequest
	// keysReplies are the bodies of the first replies to calls for keys; later calls are answered.
	keysReplies []string
}

// step answers a call. If err is set, the answer is lost.
type step struct {
	reply SearchReply
	err   error
	// unanswered leaves the call without an answer until the client cancels it.
	unanswered bool
	// body, unless it is empty, replaces the encoded reply.
	body string
}

func (tier *fakeTier) RoundTrip(request *http.Request) (*http.Response, error) {
	var body RunRequest
	var keys KeysRequest
	data, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	if request.URL.Path == PathKeys {
		err = json.Unmarshal(data, &keys)
		tier.calls = append(tier.calls, call{Host: request.URL.Host, Path: PathKeys})
		if len(tier.keysReplies) > 0 {
			reply := tier.keysReplies[0]
			tier.keysReplies = tier.keysReplies[1:]
			return respondWith(http.StatusBadGateway, []byte(reply)), err
		}
		return respond(tier.issue(keys.Count)), err
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	tier.last = body
	tier.calls = append(tier.calls, call{Host: request.URL.Host, Path: request.URL.Path, Key: body.Key})
	script := &tier.search
	if request.URL.Path == PathRuns {
		script = &tier.runs
	}
	next := (*script)[0]
	if len(*script) > 1 {
		*script = (*script)[1:]
	}
	if next.unanswered {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if next.body != "" {
		return respondWith(http.StatusBadGateway, []byte(next.body)), nil
	}
	return respond(next.reply), next.err
}

func (tier *fakeTier) issue(count int) KeysReply {
	reply := KeysReply{Code: swcode.OK, Expires: Duration(time.Minute), Clock: Duration(tier.clock)}
	for range count {
		tier.issued++
		reply.Keys = append(reply.Keys, "key-"+string(rune('0'+tier.issued)))
	}
	return reply
}

func respond(body any) *http.Response {
	data, err := json.Marshal(body)
	if err != nil {
		return nil
	}
	return respondWith(http.StatusOK, data)
}

func respondWith(status int, data []byte) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(data))}
}

func newTestClient(t *testing.T, tier *fakeTier) *Client {
	client, err := New(Config{
		Endpoints: []string{"http://vm1", "http://vm2"},
		HTTP:      &http.Client{Transport: tier},
		Caller:    "treasurer-desk",
		KeysAhead: 1,
	})
	check(t, "error", nil, err)
	return client
}

func answered() step { return step{reply: SearchReply{Code: swcode.OK, Ran: swcode.RanYes}} }

func refused(code swcode.Code, ran swcode.Ran) step {
	return step{reply: SearchReply{Code: code, Ran: ran}}
}

func answerLost() step { return step{err: errors.New("connection reset")} }

func TestRun(t *testing.T) {
	sent := func(host, key string) call { return call{Host: host, Path: PathRuns, Key: key} }
	keys := func(host string) call { return call{Host: host, Path: PathKeys} }
	tests := []struct {
		name  string
		key   string
		runs  []step
		calls []call
		code  swcode.Code
		ran   swcode.Ran
	}{
		{"an answer", "", []step{answered()}, []call{keys("vm1"), sent("vm2", "key-1")}, swcode.OK, swcode.RanYes},
		{"a lost answer is requested under the same key from the next endpoint", "", []step{answerLost(), answered()},
			[]call{keys("vm1"), sent("vm2", "key-1"), sent("vm1", "key-1")}, swcode.OK, swcode.RanYes},
		{"a VM that does not answer", "", []step{{unanswered: true}, answered()},
			[]call{keys("vm1"), sent("vm2", "key-1"), sent("vm1", "key-1")}, swcode.OK, swcode.RanYes},
		{"an unreachable issuer is sent the work again", "", []step{refused(swcode.IssuerUnreachable, swcode.RanUnknown), answered()},
			[]call{keys("vm1"), sent("vm2", "key-1"), sent("vm1", "key-1")}, swcode.OK, swcode.RanYes},
		{"an issuer gone at the first send leads to a new key", "", []step{refused(swcode.IssuerGone, swcode.RanUnknown), answered()},
			[]call{keys("vm1"), sent("vm2", "key-1"), keys("vm1"), sent("vm2", "key-2")}, swcode.OK, swcode.RanYes},
		{"an issuer gone after a lost answer ends it", "", []step{answerLost(), refused(swcode.IssuerGone, swcode.RanUnknown)},
			[]call{keys("vm1"), sent("vm2", "key-1"), sent("vm1", "key-1")}, swcode.IssuerGone, swcode.RanUnknown},
		{"an unknown outcome ends it", "", []step{refused(swcode.OutcomeUnknown, swcode.RanUnknown)},
			[]call{keys("vm1"), sent("vm2", "key-1")}, swcode.OutcomeUnknown, swcode.RanUnknown},
		{"a refusal with Ran No ends it", "", []step{refused(swcode.RefusedByRule, swcode.RanNo)},
			[]call{keys("vm1"), sent("vm2", "key-1")}, swcode.RefusedByRule, swcode.RanNo},
		{"a refusal after a lost answer does not prove that nothing ran", "", []step{answerLost(), refused(swcode.RefusedByRule, swcode.RanNo)},
			[]call{keys("vm1"), sent("vm2", "key-1"), sent("vm1", "key-1")}, swcode.RefusedByRule, swcode.RanUnknown},
		{"a key that expired unused is replaced", "", []step{refused(swcode.KeyExpired, swcode.RanNo), answered()},
			[]call{keys("vm1"), sent("vm2", "key-1"), keys("vm1"), sent("vm2", "key-2")}, swcode.OK, swcode.RanYes},
		{"an expired key whose outcome is no longer stored is not replaced", "", []step{refused(swcode.KeyExpired, swcode.RanUnknown)},
			[]call{keys("vm1"), sent("vm2", "key-1")}, swcode.KeyExpired, swcode.RanUnknown},
		{"the caller's own key is never replaced", "own", []step{refused(swcode.IssuerGone, swcode.RanUnknown)},
			[]call{sent("vm1", "own")}, swcode.IssuerGone, swcode.RanUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := &fakeTier{runs: test.runs}
				reply, err := newTestClient(t, tier).Run(t.Context(), RunRequest{Key: test.key})
				code, ran := reply.Code, reply.Ran
				var failed *swcode.Error
				if errors.As(err, &failed) {
					code, ran = failed.Code, failed.Ran
				}
				check(t, "calls", test.calls, tier.calls)
				check(t, "code", test.code, code)
				check(t, "ran", test.ran, ran)
			})
		})
	}
}

// TestReplyOfAnotherServerSaysNothing guards against taking the JSON of a balancer, which may follow a run, for a refusal of work that did not run.
func TestReplyOfAnotherServerSaysNothing(t *testing.T) {
	type outcome struct {
		Code  swcode.Code
		Ran   swcode.Ran
		Calls int
	}
	outcomeOf := func(tier *fakeTier, reply SearchReply, err error) outcome {
		var failed *swcode.Error
		if errors.As(err, &failed) {
			return outcome{failed.Code, failed.Ran, len(tier.calls)}
		}
		return outcome{reply.Code, reply.Ran, len(tier.calls)}
	}
	for _, body := range []string{
		`{}`, `null`, `{"message":"upstream request timeout"}`, `{"code":503,"message":"no healthy upstream"}`, `{"Code":401}`, `{"Ran":"No"}`,
		`{"Code":401,"Ran":null}`, `{"Code":0,"Ran":"No"}`, `{"Code":603}`, `{"Code":403,"Ran":""}`,
	} {
		t.Run(body, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := func(steps ...step) outcome {
					tier := &fakeTier{runs: steps}
					reply, err := newTestClient(t, tier).Run(t.Context(), RunRequest{})
					if keys := tier.issued; keys != 1 {
						t.Errorf("work was sent under %d keys", keys)
					}
					return outcomeOf(tier, reply, err)
				}
				check(t, "run that is sent again", outcome{swcode.OK, swcode.RanYes, 3}, run(step{body: body}, answered()))
				check(t, "run that is then refused", outcome{swcode.RefusedByRule, swcode.RanUnknown, 3}, run(step{body: body}, refused(swcode.RefusedByRule, swcode.RanNo)))
				lost := run(step{body: body})
				check(t, "run without another reply", []any{swcode.OutcomeUnknown, swcode.RanUnknown}, []any{lost.Code, lost.Ran})
				tier := &fakeTier{search: []step{{body: body}, answered()}}
				reply, err := newTestClient(t, tier).Search(t.Context(), SearchRequest{})
				check(t, "search", outcome{swcode.OK, swcode.RanYes, 2}, outcomeOf(tier, reply, err))
				tier = &fakeTier{keysReplies: []string{body}, runs: []step{answered()}}
				reply, err = newTestClient(t, tier).Run(t.Context(), RunRequest{})
				check(t, "keys", outcome{swcode.OK, swcode.RanYes, 3}, outcomeOf(tier, reply, err))
			})
		})
	}
}

func TestRunReturnsUnknownOutcomeOnlyWhenNothingCanStart(t *testing.T) {
	tests := []struct {
		name          string
		runs          []step
		untilDeadline bool
	}{
		{"the issuer is gone after a lost answer", []step{answerLost(), refused(swcode.IssuerGone, swcode.RanUnknown)}, true},
		{"the run has ended", []step{answerLost(), refused(swcode.OutcomeUnknown, swcode.RanUnknown)}, false},
		{"nothing ran", []step{refused(swcode.RefusedByRule, swcode.RanNo)}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				_, err := newTestClient(t, &fakeTier{runs: test.runs}).Run(t.Context(), RunRequest{})
				check(t, "failed", true, err != nil)
				check(t, "returned at the deadline", test.untilDeadline, time.Since(began) == defaultTimeout)
			})
		})
	}
}

func TestRunWithoutAnyAnswerIsUnknownAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := &fakeTier{runs: []step{{unanswered: true}}}
		began := time.Now()
		_, err := newTestClient(t, tier).Run(t.Context(), RunRequest{})
		var failed *swcode.Error
		check(t, "typed", true, errors.As(err, &failed))
		check(t, "ran", swcode.RanUnknown, failed.Ran)
		check(t, "within the timeout", true, time.Since(began) <= defaultTimeout)
	})
}

func TestStartBeforeIsDeadlineOnIssuerClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := &fakeTier{runs: []step{answered()}, clock: time.Hour}
		client := newTestClient(t, tier)
		check(t, "error", nil, client.fetchKeys(t.Context()))
		time.Sleep(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := client.Run(ctx, RunRequest{})
		check(t, "error", nil, err)
		drift, margin := 10*time.Millisecond, 50*time.Millisecond
		check(t, "start before", Duration(time.Hour+11*time.Second-drift-margin), tier.last.StartBefore)
	})
}

func TestKeysAboutToExpireAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tier := &fakeTier{runs: []step{answered()}}
		client := newTestClient(t, tier)
		check(t, "error", nil, client.fetchKeys(t.Context()))
		time.Sleep(time.Minute - expiryMargin)
		_, err := client.Run(t.Context(), RunRequest{})
		check(t, "error", nil, err)
		check(t, "key", "key-2", tier.last.Key)
	})
}

func TestSearchResendsOnlyRetryableFailures(t *testing.T) {
	tests := []struct {
		name   string
		search []step
		calls  int
		code   swcode.Code
	}{
		{"lost", []step{answerLost(), answered()}, 2, swcode.OK},
		{"shed", []step{refused(swcode.ShedByPriority, swcode.RanNo), answered()}, 2, swcode.OK},
		{"refused", []step{refused(swcode.RefusedByRule, swcode.RanNo)}, 1, swcode.RefusedByRule},
		{"quarantined", []step{refused(swcode.Quarantined, swcode.RanNo)}, 1, swcode.Quarantined},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tier := &fakeTier{search: test.search}
				reply, _ := newTestClient(t, tier).Search(t.Context(), SearchRequest{Kind: "balance-check"})
				check(t, "calls", test.calls, len(tier.calls))
				check(t, "code", test.code, reply.Code)
			})
		})
	}
}

func TestRetryAfterIsMinimumWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := refused(swcode.ShedByPriority, swcode.RanNo)
		first.reply.RetryAfter = Duration(time.Second)
		tier := &fakeTier{search: []step{first, answered()}}
		began := time.Now()
		_, err := newTestClient(t, tier).Search(t.Context(), SearchRequest{})
		check(t, "error", nil, err)
		waited := time.Since(began)
		check(t, "waited 1 to 1.5 s", true, waited >= time.Second && waited <= 1500*time.Millisecond)
	})
}

// TestStatusThatIsNoneSaysNothing guards against taking a reply with a status that no VM sends for one of a VM.
func TestStatusThatIsNoneSaysNothing(t *testing.T) {
	body := `{"Code":401,"Ran":"No"}`
	for _, status := range []int{0, 1, 99} {
		transport := roundTripper(func(*http.Request) (*http.Response, error) {
			return &http.Response{StatusCode: status, Status: "000 X", Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
		})
		client := &Client{config: Config{Endpoints: []string{"http://vm"}, HTTP: &http.Client{Transport: transport}}}
		var reply SearchReply
		if err := client.post(t.Context(), "/v1/search", SearchRequest{}, &reply); err == nil {
			t.Errorf("status %d: the reply %+v was taken for one of a VM", status, reply)
		}
	}
}

// roundTripper answers requests by a function.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (roundTripper roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	return roundTripper(request)
}
