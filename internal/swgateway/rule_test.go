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

// ruleFile holds one version of the rules.
type ruleFile struct{ ruleSet *swrule.RuleSet }

func (file ruleFile) Current() (swquery.Matcher, uint64, bool) { return file.ruleSet, 7, true }

// withRules puts a rule file in force, with the limits of one VM.
func (bench *testBench) withRules(text string) {
	bench.t.Helper()
	ruleSet, problems := swrule.Parse([]byte(text))
	if swrule.HasErrors(problems) {
		bench.t.Fatalf("rules: %v", problems)
	}
	self := swmember.Member{Name: "vm", DataCentre: "dc"}
	view := swmember.NewView(self, []swmember.Member{self})
	limiter := swadmission.NewLimiter(swadmission.LimiterConfig{View: func() *swmember.View { return view }})
	bench.config.Rules, bench.config.Limiter = ruleFile{ruleSet}, limiter
	bench.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		limiter.Close()
	})
}

// TestNothingThatARuleRefusesMeetsAReplica asks with rules on every pattern of a gateway request.
func TestNothingThatARuleRefusesMeetsAReplica(t *testing.T) {
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
		"an index is searched": {"refuse Index=books # on-call\npass # on-call", "200 good"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, 0)
				defer bench.close()
				bench.route(repeatable())
				replica := bench.add("s", "a", signed(time.Millisecond, "a", "good"))
				bench.withRules(test.rules)
				if diff := cmp.Diff(test.want, statusAndBody(bench.ask(t.Context(), http.MethodPost, "/x/1?path=/z", "work"))); diff != "" {
					t.Error("answer (-want +got):\n" + diff)
				}
				if met := replica.count() > 0; met != (test.want == "200 good") {
					t.Errorf("the replica met the request: %t", met)
				}
			})
		})
	}
}

func TestNothingPassesBeforeTheRulesAreKnown(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0)
		defer bench.close()
		bench.route(repeatable())
		replica := bench.add("s", "a", signed(time.Millisecond, "a", "good"))
		known := false
		bench.config.HasSynced = func() bool { return known }
		if diff := cmp.Diff("503 NotReady\n", statusAndBody(bench.ask(t.Context(), http.MethodPost, "/x", "work"))); diff != "" {
			t.Error("answer (-want +got):\n" + diff)
		}
		if replica.count() > 0 {
			t.Error("a replica met the request")
		}
		known = true
		if diff := cmp.Diff("200 good", statusAndBody(bench.ask(t.Context(), http.MethodPost, "/x", "work"))); diff != "" {
			t.Error("answer once they are known (-want +got):\n" + diff)
		}
	})
}

// TestWorkWaitsForTheLimitOfItsRule sends a burst to a pass and to a wait rule of the same limit.
func TestWorkWaitsForTheLimitOfItsRule(t *testing.T) {
	for name, test := range map[string]struct {
		rules string
		want  map[int]int
		most  time.Duration
	}{
		"wait":          {"wait InFlight=2 For=1s # on-call", map[int]int{200: 8}, 500 * time.Millisecond},
		"pass":          {"pass InFlight=2 # on-call", map[int]int{200: 2, 429: 6}, 110 * time.Millisecond},
		"wait too long": {"wait InFlight=2 For=150ms # on-call", map[int]int{200: 4, 429: 4}, 260 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				bench := newBench(t, 0)
				defer bench.close()
				bench.route(once())
				for i := range 4 {
					bench.add("s", fmt.Sprint(i), signed(100*time.Millisecond, "a", "good"))
				}
				bench.withRules(test.rules)
				var clients sync.WaitGroup
				var mutex sync.Mutex
				statuses := make(map[int]int)
				slowest := time.Duration(0)
				for range 8 {
					clients.Go(func() {
						got := bench.ask(t.Context(), http.MethodPost, "/x", "work")
						mutex.Lock()
						defer mutex.Unlock()
						statuses[got.Code]++
						slowest = max(slowest, got.took)
						if got.Code == http.StatusTooManyRequests && got.Header().Get("Retry-After") == "" {
							t.Error("a refusal names no time to come back")
						}
					})
				}
				clients.Wait()
				if diff := cmp.Diff(test.want, statuses); diff != "" {
					t.Error("statuses (-want +got):\n" + diff)
				}
				if slowest > test.most {
					t.Errorf("the slowest answer took %s, want at most %s", slowest, test.most)
				}
			})
		})
	}
}

func TestRuleCapsTheDeadline(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0)
		defer bench.close()
		bench.route(once())
		replica := bench.add("s", "a", signed(time.Second, "a", "late"))
		bench.withRules("pass Deadline=300ms # on-call")
		got := bench.ask(t.Context(), http.MethodPost, "/x", "work")
		if got.Code != http.StatusGatewayTimeout || got.took > 310*time.Millisecond {
			t.Errorf("%d after %s, want 504 after the rule's deadline", got.Code, got.took)
		}
		if left := replica.first().left; left > 300*time.Millisecond {
			t.Errorf("the replica was given %s, want the rule's deadline", left)
		}
	})
}
