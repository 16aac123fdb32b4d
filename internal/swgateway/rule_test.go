package swgateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// fakeRules holds one version of the rules.
type fakeRules struct{ ruleSet *swrule.RuleSet }

func (file fakeRules) Current() (swquery.Matcher, uint64, bool) { return file.ruleSet, 7, true }

// withRules puts a rule file in force, with the limits of a single VM.
func (testHandler *testHandler) withRules(text string) {
	testHandler.t.Helper()
	ruleSet, problems := swrule.Parse([]byte(text))
	if swrule.HasErrors(problems) {
		testHandler.t.Fatalf("rules: %v", problems)
	}
	self := swmember.Member{Name: "vm", DataCentre: "dc"}
	view := swmember.NewView(self, []swmember.Member{self})
	limiter := swadmission.NewLimiter(swadmission.LimiterConfig{View: func() *swmember.View { return view }})
	testHandler.config.Rules, testHandler.config.Limiter = fakeRules{ruleSet}, limiter
	testHandler.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		limiter.Close()
	})
}

// TestRefusedRequestsReachNoReplica checks a rule on each pattern that applies to requests of the gateway.
func TestRefusedRequestsReachNoReplica(t *testing.T) {
	for name, test := range map[string]struct {
		rules string
		want  string
	}{
		"no rule matches":      {"pass Host=other # on-call", "403 NoRuleMatched\n"},
		"refused by host":      {"refuse Host=h # on-call\npass # on-call", "403 RefusedByRule\n"},
		"refused by path":      {"refuse Path=/x* # on-call\npass # on-call", "403 RefusedByRule\n"},
		"refused by route":     {"refuse Kind=repeat* # on-call\npass # on-call", "403 RefusedByRule\n"},
		"refused by caller":    {"refuse Caller=192.0.2.1 # on-call\npass # on-call", "403 RefusedByRule\n"},
		"another path refused": {"refuse Path=/y* # on-call\npass # on-call", "200 good"},
		"another host refused": {"refuse Host=hh # on-call\npass # on-call", "200 good"},
		"rule for an index":    {"refuse Index=books # on-call\npass # on-call", "200 good"},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 0)
				defer testHandler.close()
				testHandler.setRoute(idempotentRoute())
				replica := testHandler.addReplica("s", "a", respondSigned(time.Millisecond, "a", "good"))
				testHandler.withRules(test.rules)
				if diff := cmp.Diff(test.want, statusAndBody(testHandler.send(t.Context(), http.MethodPost, "/x/1?path=/z", "work"))); diff != "" {
					t.Error("answer (-want +got):\n" + diff)
				}
				if received := replica.count() > 0; received != (test.want == "200 good") {
					t.Errorf("the replica received the request: %t", received)
				}
			})
		})
	}
}

func TestRequestsAreRefusedBeforeRulesAreSynced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 0)
		defer testHandler.close()
		testHandler.setRoute(idempotentRoute())
		replica := testHandler.addReplica("s", "a", respondSigned(time.Millisecond, "a", "good"))
		synced := false
		testHandler.config.HasSynced = func() bool { return synced }
		if diff := cmp.Diff("503 NotReady\n", statusAndBody(testHandler.send(t.Context(), http.MethodPost, "/x", "work"))); diff != "" {
			t.Error("answer (-want +got):\n" + diff)
		}
		if replica.count() > 0 {
			t.Error("a replica received the request")
		}
		synced = true
		if diff := cmp.Diff("200 good", statusAndBody(testHandler.send(t.Context(), http.MethodPost, "/x", "work"))); diff != "" {
			t.Error("answer once the rules are synced (-want +got):\n" + diff)
		}
	})
}

// TestRuleLimitsApplyToBurst sends a burst to pass and wait rules with the same limit.
func TestRuleLimitsApplyToBurst(t *testing.T) {
	for name, test := range map[string]struct {
		rules   string
		want    map[int]int
		maximum time.Duration
	}{
		"wait":          {"wait InFlight=2 For=1s # on-call", map[int]int{200: 8}, 500 * time.Millisecond},
		"pass":          {"pass InFlight=2 # on-call", map[int]int{200: 2, 429: 6}, 110 * time.Millisecond},
		"wait too long": {"wait InFlight=2 For=150ms # on-call", map[int]int{200: 4, 429: 4}, 260 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 0)
				defer testHandler.close()
				testHandler.setRoute(nonIdempotentRoute())
				for i := range 4 {
					testHandler.addReplica("s", fmt.Sprint(i), respondSigned(100*time.Millisecond, "a", "good"))
				}
				testHandler.withRules(test.rules)
				var clients sync.WaitGroup
				var mutex sync.Mutex
				statuses := make(map[int]int)
				slowest := time.Duration(0)
				for range 8 {
					clients.Go(func() {
						got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
						mutex.Lock()
						defer mutex.Unlock()
						statuses[got.Code]++
						slowest = max(slowest, got.took)
						if got.Code == http.StatusTooManyRequests && got.Header().Get("Retry-After") == "" {
							t.Error("the refusal has no Retry-After")
						}
					})
				}
				clients.Wait()
				if diff := cmp.Diff(test.want, statuses); diff != "" {
					t.Error("statuses (-want +got):\n" + diff)
				}
				if slowest > test.maximum {
					t.Errorf("the slowest answer took %s, want at most %s", slowest, test.maximum)
				}
			})
		})
	}
}

func TestRuleDeadlineShortensTimeout(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 0)
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		replica := testHandler.addReplica("s", "a", respondSigned(time.Second, "a", "late"))
		testHandler.withRules("pass Deadline=300ms # on-call")
		got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
		if got.Code != http.StatusGatewayTimeout || got.took > 310*time.Millisecond {
			t.Errorf("%d after %s, want 504 after the rule's deadline", got.Code, got.took)
		}
		if left := replica.first().left; left > 300*time.Millisecond {
			t.Errorf("the replica had %s left, want at most the rule's deadline", left)
		}
	})
}
