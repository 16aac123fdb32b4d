package swlabload_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

func startVM(t *testing.T, name string, serve http.HandlerFunc) swlabload.Target {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return swlabload.Target{Name: name, Address: strings.TrimPrefix(server.URL, "http://")}
}

func startBalancer(t *testing.T, targets ...swlabload.Target) *swlabload.Balancer {
	t.Helper()
	balancer := swlabload.NewBalancer(targets)
	t.Cleanup(balancer.Close)
	return balancer
}

func TestResultsAreClassified(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		want   swlabload.Line
	}{
		{"whole", `{"Code":100,"Ran":"Yes","Coverage":{"Documents":9,"Of":9}}`, swlabload.Line{Whole: 1, Coverage: 1}},
		{"partial", `{"Code":100,"Ran":"Yes","Coverage":{"Documents":3,"Of":4}}`, swlabload.Line{Partial: 1, Coverage: 0.75}},
		{"refused", `{"Code":400,"Ran":"No"}`, swlabload.Line{Refused: 1}},
		{"failed", `{"Code":500,"Ran":"Unknown"}`, swlabload.Line{Failed: 1}},
		{"broken", `no JSON`, swlabload.Line{Broken: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := startVM(t, "a", func(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte(test.answer)) })
			var once sync.Once
			ctx, stop := withCancel(t)
			lines := swlabload.Run(ctx, swlabload.Config{
				Balancer: startBalancer(t, target), Duration: time.Hour, Seed: 1,
				Streams:  []*swlabload.Stream{{RatePerSecond: 100, Queries: []string{"levy"}, Timeout: time.Hour}},
				OnResult: func(swlabload.Result) { once.Do(stop) },
			})
			got := lines[0]
			whole, sent := got.Whole, got.Sent
			if sent == 0 || (test.want.Whole > 0) != (whole > 0) {
				t.Errorf("%d sent, %d whole", sent, whole)
			}
			classes := []bool{got.Whole > 0, got.Partial > 0, got.Refused > 0, got.Failed > 0}
			want := []bool{test.want.Whole > 0, test.want.Partial > 0, test.want.Refused > 0, test.want.Failed > 0}
			if diff := cmp.Diff(want, classes); diff != "" || got.Coverage != test.want.Coverage {
				t.Errorf("coverage %v, classes %s", got.Coverage, diff)
			}
		})
	}
}

func TestPickSkipsVMsThatAreNotReady(t *testing.T) {
	ready := startVM(t, "ready", func(http.ResponseWriter, *http.Request) {})
	notReady := startVM(t, "not", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	})
	balancer := startBalancer(t, notReady, ready)
	if err := balancer.AwaitReady(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		if got := balancer.Pick().Name; got != "ready" {
			t.Errorf("picked %s", got)
		}
	}
}

func TestWholeNeedsFullCoverage(t *testing.T) {
	result := swlabload.Result{Answer: swclient.SearchReply{Code: swcode.OK, Coverage: swclient.Coverage{Documents: 1, Of: 2}}}
	if result.Whole() {
		t.Error("an answer with half of the documents counts as whole")
	}
}

func withCancel(t *testing.T) (context.Context, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	return ctx, cancel
}
