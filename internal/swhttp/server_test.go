package swhttp_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swhttp"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// fakeQueryRunner returns the index, caller and limit of each query. It panics on the text "panic".
type fakeQueryRunner struct{}

func (fakeQueryRunner) Run(_ context.Context, query swquery.Query) swquery.Result {
	if query.Text == "panic" {
		panic("a defect")
	}
	return swquery.Result{Code: swcode.OK, Ran: swcode.RanYes, Snapshot: query.Index, Counts: map[string]int64{query.Caller: int64(query.Limit)}}
}

// fakeKeyService issues empty keys and returns the key of each run as its snapshot.
type fakeKeyService struct{}

func (fakeKeyService) Issue(_ context.Context, count int) (swclient.KeysReply, error) {
	return swclient.KeysReply{Code: swcode.OK, Keys: make([]string, count)}, nil
}

func (fakeKeyService) Run(_ context.Context, request swclient.RunRequest) swclient.SearchReply {
	return swclient.SearchReply{Code: swcode.OK, Ran: swcode.RanYes, Snapshot: request.Key}
}

func newServer(t testing.TB, change func(config *swhttp.Config)) string {
	t.Helper()
	config := swhttp.Config{
		Listen:           netip.MustParseAddrPort("127.0.0.1:0"),
		Queries:          fakeQueryRunner{},
		Keys:             fakeKeyService{},
		CheckReady:       func() error { return nil },
		Status:           func() any { return struct{ Name string }{"vm-1"} },
		Metrics:          http.NotFoundHandler(),
		Log:              zerolog.Nop(),
		TrustCallerField: true,
		MaxBody:          4096,
		MaxRequests:      16,
		DefaultTimeout:   time.Second,
	}
	if change != nil {
		change(&config)
	}
	server, err := swhttp.Listen(config)
	if err != nil {
		t.Fatal(err)
	}
	group := swgroup.New(context.Background())
	server.Serve(group)
	t.Cleanup(func() {
		server.Abort()
		group.Stop()
	})
	return "http://" + server.Address().String()
}

func post(t testing.TB, url, body string) (int, swclient.SearchReply) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var reply swclient.SearchReply
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&reply); err != nil {
		t.Fatalf("the response %q is not a reply: %v", data, err)
	}
	return response.StatusCode, reply
}

const goodSearch = `{"Caller":"desk","Kind":"check","Index":"books","Query":"fees","Timeout":"1s"}`

func TestSearchReplyEchoesCallerAndDefaultLimit(t *testing.T) {
	status, reply := post(t, newServer(t, nil)+swclient.PathSearch, goodSearch)
	if diff := cmp.Diff(http.StatusOK, status); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]int64{"desk": 10}, reply.Counts); diff != "" {
		t.Error(diff)
	}
	if reply.RequestID == "" {
		t.Error("the reply has no request ID")
	}
}

func TestInvalidBodyIsRefusedWithCodeFieldAndFix(t *testing.T) {
	cases := map[string]struct {
		body  string
		code  swcode.Code
		field string
	}{
		"empty body":           {"", swcode.BadRequest, ""},
		"not JSON":             {"fees", swcode.BadRequest, ""},
		"truncated":            {`{"Caller":"desk"`, swcode.BadRequest, ""},
		"unknown field":        {`{"Colour":"green"}`, swcode.BadField, "Colour"},
		"wrong type":           {`{"Limit":"ten"}`, swcode.BadField, "Limit"},
		"invalid duration":     {`{"Timeout":"soon"}`, swcode.BadField, "Timeout"},
		"two objects":          {goodSearch + goodSearch, swcode.BadRequest, ""},
		"too large":            {`{"Query":"` + strings.Repeat("a", 5000) + `"}`, swcode.BodyTooLarge, ""},
		"deep nesting":         {`{"Query":` + strings.Repeat("[", 2000), swcode.BadRequest, ""},
		"request ID too large": {`{"RequestID":"` + strings.Repeat("a", 200) + `"}`, swcode.BadField, "RequestID"},
	}
	url := newServer(t, nil) + swclient.PathSearch
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			status, reply := post(t, url, test.body)
			if status < 400 || status > 499 {
				t.Errorf("status %d is not a 4xx", status)
			}
			if diff := cmp.Diff(test.code, reply.Code); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.field, reply.Field); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(swcode.RanNo, reply.Ran); diff != "" {
				t.Error(diff)
			}
			if reply.Fix == "" {
				t.Error("the refusal names no fix")
			}
		})
	}
}

func TestCallerWithoutACertificateIsRefusedIfItsFieldIsNotTrusted(t *testing.T) {
	url := newServer(t, func(config *swhttp.Config) { config.TrustCallerField = false })
	status, reply := post(t, url+swclient.PathSearch, goodSearch)
	if diff := cmp.Diff([]any{http.StatusForbidden, swcode.CallerNotProven}, []any{status, reply.Code}); diff != "" {
		t.Error(diff)
	}
}

func TestPanicInAHandlerIsAnsweredAsInternalError(t *testing.T) {
	_, reply := post(t, newServer(t, nil)+swclient.PathSearch, strings.Replace(goodSearch, "fees", "panic", 1))
	if diff := cmp.Diff([]any{swcode.Internal, swcode.RanUnknown}, []any{reply.Code, reply.Ran}); diff != "" {
		t.Error(diff)
	}
}

func TestRunWithoutAKeyIsRefused(t *testing.T) {
	_, reply := post(t, newServer(t, nil)+swclient.PathRuns, goodSearch)
	if diff := cmp.Diff([]any{swcode.BadField, "Key"}, []any{reply.Code, reply.Field}); diff != "" {
		t.Error(diff)
	}
}

func TestKeyCountOutsideItsBoundsIsRefused(t *testing.T) {
	url := newServer(t, nil) + swclient.PathKeys
	for body, want := range map[string]swcode.Code{
		`{"Count":3}`:    swcode.OK,
		`{"Count":0}`:    swcode.BadField,
		`{"Count":-1}`:   swcode.BadField,
		`{"Count":1001}`: swcode.BadField,
	} {
		_, reply := post(t, url, strings.TrimSpace(body))
		if diff := cmp.Diff(want, reply.Code); diff != "" {
			t.Errorf("%s: %s", body, diff)
		}
	}
}

func TestUnknownPathAndMethodAreRefusedWithACode(t *testing.T) {
	url := newServer(t, nil)
	for path, want := range map[string]swcode.Code{"/v1/other": swcode.NotFound, "/v1/status": swcode.MethodNotAllowed} {
		_, reply := post(t, url+path, "{}")
		if diff := cmp.Diff(want, reply.Code); diff != "" {
			t.Errorf("%s: %s", path, diff)
		}
	}
}

func TestReadinessReplyHoldsTheReason(t *testing.T) {
	url := newServer(t, func(config *swhttp.Config) {
		config.CheckReady = func() error { return errors.New("no rules are in force") }
	})
	response, err := http.DefaultClient.Do(mustRequest(t, url+"/readyz"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var health struct{ State, Reason string }
	if err := json.NewDecoder(response.Body).Decode(&health); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{503, "NotReady", "no rules are in force"}, []any{response.StatusCode, health.State, health.Reason}); diff != "" {
		t.Error(diff)
	}
}

func mustRequest(t *testing.T, url string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// FuzzSearchBody checks that every body gets a reply whose HTTP status matches its code.
func FuzzSearchBody(f *testing.F) {
	for _, seed := range []string{goodSearch, "", "{", `{"Limit":1e99}`, `{"MinCoverage":null}`, `{"Timeout":"-1s"}`, "\x00", `{"caller":1}`} {
		f.Add(seed)
	}
	url := newServer(f, nil) + swclient.PathSearch
	f.Fuzz(func(t *testing.T, body string) {
		status, reply := post(t, url, body)
		if diff := cmp.Diff(swcode.Describe(reply.Code).Status, status); diff != "" {
			t.Error(diff)
		}
	})
}
