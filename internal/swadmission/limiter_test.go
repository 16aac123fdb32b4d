package swadmission

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const testCentre = "auckland"

// limiterNetwork is a data centre of limiters that call each other in memory.
type limiterNetwork struct {
	mutex       sync.Mutex
	members     []swmember.Member
	limiters    map[netip.AddrPort]*Limiter
	unreachable map[netip.AddrPort]bool
	calls       int
}

func newLimiterNetwork(t *testing.T, size int) *limiterNetwork {
	network := &limiterNetwork{limiters: make(map[netip.AddrPort]*Limiter), unreachable: make(map[netip.AddrPort]bool)}
	for i := range size {
		peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))
		network.members = append(network.members, swmember.Member{Name: fmt.Sprintf("vm-%d", i), DataCentre: testCentre, Peer: peer})
	}
	for _, self := range network.members {
		limiter := NewLimiter(LimiterConfig{View: func() *swmember.View { return network.view(self) }, Peers: network})
		network.limiters[self.Peer] = limiter
		t.Cleanup(limiter.Close)
	}
	return network
}

func (network *limiterNetwork) view(self swmember.Member) *swmember.View {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return swmember.NewView(self, network.members)
}

// soleView returns the view of a VM that knows no other VM.
func (network *limiterNetwork) soleView() *swmember.View {
	return swmember.NewView(swmember.Member{Name: "vm-0", DataCentre: testCentre}, nil)
}

func (network *limiterNetwork) limiter(i int) *Limiter {
	return network.limiters[network.members[i].Peer]
}

// allocator returns the index of the VM that allocates the rule's tokens.
func (network *limiterNetwork) allocator(rule string) int {
	owner := swmember.Rank(network.members, rule)[0]
	for i, member := range network.members {
		if member.Name == owner.Name {
			return i
		}
	}
	return -1
}

func (network *limiterNetwork) setUnreachable(i int, unreachable bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.unreachable[network.members[i].Peer] = unreachable
}

func (network *limiterNetwork) Call(ctx context.Context, target netip.AddrPort, _ swpeer.Method, request, reply any) error {
	network.mutex.Lock()
	network.calls++
	unreachable := network.unreachable[target]
	limiter := network.limiters[target]
	network.mutex.Unlock()
	if unreachable {
		<-ctx.Done()
		return errors.Wrap(ctx.Err(), "call")
	}
	time.Sleep(500 * time.Microsecond)
	granted, err := limiter.AllocateTokens(ctx, "", *request.(*TokenRequest))
	time.Sleep(500 * time.Microsecond)
	*reply.(*TokenReply) = granted
	return err
}

// drive sends requests under a rule to every VM for a time. It returns how many started and the maximum in flight.
func (network *limiterNetwork) drive(decision swrule.Decision, interval, holdTime, duration time.Duration) (started, maxRunning int) {
	group := swgroup.New(context.Background())
	var mutex sync.Mutex
	running := 0
	change := func(by int) {
		mutex.Lock()
		defer mutex.Unlock()
		running += by
		started += max(0, by)
		maxRunning = max(maxRunning, running)
	}
	end := time.Now().Add(duration)
	for i := range network.members {
		group.Go(func(context.Context) {
			for time.Now().Before(end) {
				time.Sleep(interval)
				group.Go(func(ctx context.Context) {
					release, err := network.limiter(i).Acquire(ctx, decision)
					if err != nil {
						return
					}
					change(1)
					time.Sleep(holdTime)
					change(-1)
					release()
				})
			}
		})
	}
	group.Wait()
	return started, maxRunning
}

func TestRateLimitHoldsAcrossDataCentre(t *testing.T) {
	for _, action := range []swrule.Action{swrule.Pass, swrule.Wait} {
		t.Run(action.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newLimiterNetwork(t, 5)
				decision := swrule.Decision{Action: action, ID: "r", RatePerSecond: 200, For: 100 * time.Millisecond}
				started, _ := network.drive(decision, 2*time.Millisecond, 0, 5*time.Second)
				const inTime, waiting, burst, batches = 1000, 20, 20, 5 * 10
				if started > inTime+waiting+burst+batches || started < inTime*9/10 {
					t.Errorf("started %d in 5s at 200 a second", started)
				}
			})
		})
	}
}

func TestInFlightLimitHoldsAcrossDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newLimiterNetwork(t, 5)
		decision := swrule.Decision{Action: swrule.Wait, ID: "r", InFlight: 12, For: 200 * time.Millisecond}
		started, maxRunning := network.drive(decision, 5*time.Millisecond, 20*time.Millisecond, 5*time.Second)
		if maxRunning > 12 {
			t.Errorf("%d in flight, limit 12", maxRunning)
		}
		const capacity = 12 * 50 * 5
		if started < capacity*7/10 {
			t.Errorf("started %d of a possible %d", started, capacity)
		}
	})
}

func TestFairShareIsUsedWhileAllocatorIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newLimiterNetwork(t, 5)
		network.setUnreachable(network.allocator("r"), true)
		decision := swrule.Decision{Action: swrule.Wait, ID: "r", InFlight: 12, For: 200 * time.Millisecond}
		started, maxRunning := network.drive(decision, 5*time.Millisecond, 20*time.Millisecond, 5*time.Second)
		if maxRunning > 24 {
			t.Errorf("%d in flight, bound 24", maxRunning)
		}
		if started < 12*50*5/2 {
			t.Errorf("started %d while the allocator is unreachable", started)
		}
	})
}

func TestInFlightStaysBoundedWhenAllocatorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newLimiterNetwork(t, 5)
		decision := swrule.Decision{Action: swrule.Wait, ID: "r", InFlight: 12, For: 200 * time.Millisecond}
		group := swgroup.New(context.Background())
		group.Go(func(context.Context) {
			time.Sleep(2 * time.Second)
			lost := network.allocator("r")
			network.setUnreachable(lost, true)
			time.Sleep(300 * time.Millisecond)
			network.mutex.Lock()
			network.members[lost].State = swmember.Dead
			network.mutex.Unlock()
		})
		_, maxRunning := network.drive(decision, 5*time.Millisecond, 20*time.Millisecond, 6*time.Second)
		group.Wait()
		if maxRunning > 24 {
			t.Errorf("%d in flight, bound 24", maxRunning)
		}
	})
}

func TestTokensOfLostBorrowerExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := newAllocator()
		ask := func(borrower string, holding, want int) int {
			request := TokenRequest{Rule: "r", Borrower: borrower, InFlight: 2, Holding: holding, WantInFlight: want, Members: 1}
			return allocator.grant(&request).InFlight
		}
		ask("lost", 0, 2)
		ask("lost", 1, 1)
		if got := ask("other", 0, 1); got != 0 {
			t.Fatalf("granted %d while all tokens are lent", got)
		}
		time.Sleep(tokenLeaseTime + time.Millisecond)
		if got := ask("other", 0, 1); got != 1 {
			t.Errorf("granted %d after the lease expired, want 1", got)
		}
	})
}

func TestLimitRefusals(t *testing.T) {
	tests := []struct {
		name     string
		decision swrule.Decision
		// held is the number of earlier requests that hold tokens.
		held int
		want swcode.Code
		took time.Duration
	}{
		{"pass rule refuses after a short wait", swrule.Decision{Action: swrule.Pass, ID: "r", InFlight: 1}, 1, swcode.RuleRateExceeded, passRuleWait},
		{"wait rule refuses after its whole wait", swrule.Decision{Action: swrule.Wait, ID: "r", InFlight: 1, For: 2 * time.Second}, 1, swcode.RuleWaitExceeded, 2 * time.Second},
		{"wait rule refuses at once if the wait is too short", swrule.Decision{Action: swrule.Wait, ID: "r", RatePerSecond: 0.1, For: 2 * time.Second}, 1, swcode.RuleWaitExceeded, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := newLimiterNetwork(t, 1).limiter(0)
				for range test.held {
					if _, err := limiter.Acquire(t.Context(), test.decision); err != nil {
						t.Fatal(err)
					}
				}
				if _, err := limiter.Acquire(shortContext(t), test.decision); err == nil {
					t.Fatal("acquired more than the limit")
				}
				start := time.Now()
				_, err := limiter.Acquire(t.Context(), test.decision)
				var refusal *swcode.Error
				if !errors.As(err, &refusal) {
					t.Fatalf("error %v is not a *swcode.Error", err)
				}
				if diff := cmp.Diff(test.want, refusal.Code); diff != "" {
					t.Errorf("code (-want +got):\n%s", diff)
				}
				if took := time.Since(start); took > test.took {
					t.Errorf("refused after %s, want at most %s", took, test.took)
				}
				if refusal.RetryAfter <= 0 || refusal.Ran != swcode.RanNo {
					t.Errorf("RetryAfter %s, Ran %s", refusal.RetryAfter, refusal.Ran)
				}
			})
		})
	}
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func TestUnusedLimitsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newLimiterNetwork(t, 1).limiter(0)
		for i := range 100 {
			release, err := limiter.Acquire(t.Context(), swrule.Decision{ID: fmt.Sprint(i), RatePerSecond: 10, InFlight: 2})
			if err != nil {
				t.Fatal(err)
			}
			release()
		}
		time.Sleep(3 * ruleLimitIdleTimeout)
		synctest.Wait()
		if kept := limiter.limits.Len(); kept != 0 {
			t.Errorf("%d unused limits were not removed", kept)
		}
	})
}

func TestRefusalsDoNotCallAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newLimiterNetwork(t, 2)
		far := 1 - network.allocator("r")
		decision := swrule.Decision{Action: swrule.Pass, ID: "r", RatePerSecond: 1}
		for range 10000 {
			_, _ = network.limiter(far).Acquire(t.Context(), decision)
			time.Sleep(100 * time.Microsecond)
		}
		if network.calls > 100 {
			t.Errorf("%d calls for 10000 requests in a second", network.calls)
		}
	})
}
