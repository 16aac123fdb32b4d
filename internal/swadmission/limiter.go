package swadmission

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// tokenTimeout is the timeout of a call to a rule's allocator.
	tokenTimeout = 100 * time.Millisecond
	// passRuleWait is how long a request that matches a pass rule may wait for tokens to be fetched.
	passRuleWait = 50 * time.Millisecond
	// maxRuleWaiters is the maximum number of requests that wait for one rule's limits at one VM.
	maxRuleWaiters = 1024
	// allocatorRetryInterval is how long a VM uses its fair share before it calls an unreachable allocator again.
	allocatorRetryInterval = time.Second
	// renewInterval is the time between two renewals of in-flight tokens.
	renewInterval = tokenLeaseTime / 4
	// minRuleRetryDelay is the minimum of the mean RetryAfter of a refusal by a rule's limit.
	minRuleRetryDelay = 100 * time.Millisecond
)

// Peers calls other VMs; swpeer.Node implements it.
type Peers interface {
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	// View returns the current membership view.
	View  func() *swmember.View
	Peers Peers
}

// Limiter enforces the limits of rules across this VM's data centre. The VM that is first in a rule's rendezvous order
// allocates the rule's tokens, in small batches with a lease. While it is unreachable, each VM uses its fair share.
//
// The limits are approximate. In any period T, the requests started under a rate R exceed R*T by at most one burst
// (R*100ms, at least one request) plus one batch per VM (R*50ms, at least one request) plus one request per change of
// allocator. Requests in flight may exceed InFlight only after a change of allocator or a switch to fair shares, by at
// most the number that ran at that moment (at most InFlight), and only until those have ended or two seconds have passed,
// whichever is later.
type Limiter struct {
	config    LimiterConfig
	group     *swgroup.Group
	allocator *allocator
	limits    *swtable.Table[string, *ruleLimit]
}

// NewLimiter returns a limiter. Close stops its goroutines.
func NewLimiter(config LimiterConfig) *Limiter {
	return &Limiter{
		config:    config,
		group:     swgroup.New(context.Background()),
		allocator: newAllocator(),
		limits:    swtable.New[string, *ruleLimit](),
	}
}

// Close stops the limiter's goroutines. Waiting requests are refused.
func (limiter *Limiter) Close() {
	limiter.group.Stop()
}

// AllocateTokens answers a borrower's request. It is the handler of swpeer.MethodTokens.
func (limiter *Limiter) AllocateTokens(_ context.Context, _ string, request TokenRequest) (TokenReply, error) {
	return limiter.allocator.grant(&request), nil
}

// Acquire waits for the tokens of the decision's rule as long as the rule allows. Call release when the request ends. The
// error is a *swcode.Error with RuleRateExceeded, RuleWaitExceeded or CallerGone; the request has then not run.
func (limiter *Limiter) Acquire(ctx context.Context, decision swrule.Decision) (release func(), err error) {
	if decision.RatePerSecond <= 0 && decision.InFlight <= 0 {
		return func() {}, nil
	}
	wait := passRuleWait
	if decision.Action == swrule.Wait {
		wait = decision.For
	}
	for {
		limit := limiter.limits.GetOrPut(decision.ID, func() *ruleLimit { return newRuleLimit(limiter, &decision) })
		result := limit.acquire(time.Now(), wait)
		switch {
		case result.removed:
			continue
		case result.retryAfter > 0:
			return nil, newLimitError(&decision, result.retryAfter)
		case result.waiter == nil:
			return limit.release, nil
		default:
			return limit.await(ctx, result.waiter, wait, &decision)
		}
	}
}

// await waits until the waiter has its tokens, for at most wait. If the tokens arrive just as the wait ends, they are used unless
// the request was cancelled.
func (limit *ruleLimit) await(ctx context.Context, waiter *ruleWaiter, wait time.Duration, decision *swrule.Decision) (func(), error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-waiter.ready:
		return limit.release, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-limit.limiter.group.Context().Done():
	}
	retryAfter, granted := limit.cancel(waiter)
	if ctx.Err() == context.Canceled {
		if granted {
			limit.release()
		}
		return nil, &swcode.Error{Code: swcode.CallerGone, Ran: swcode.RanNo, Rule: decision.Line, Message: "cancelled while waiting for the rule's limit"}
	}
	if granted {
		return limit.release, nil
	}
	return nil, newLimitError(decision, retryAfter)
}

// newLimitError returns the refusal by a rule's limit. RetryAfter is randomized, so that callers do not retry at the same time.
func newLimitError(decision *swrule.Decision, retryAfter time.Duration) *swcode.Error {
	refusal := &swcode.Error{
		Code:       swcode.RuleRateExceeded,
		Ran:        swcode.RanNo,
		Rule:       decision.Line,
		Message:    "the limit of rule \"" + decision.Text + "\" is used up",
		RetryAfter: time.Duration(float64(max(minRuleRetryDelay, retryAfter)) * (0.5 + rand.Float64())),
	}
	if decision.Action == swrule.Wait {
		refusal.Code = swcode.RuleWaitExceeded
	}
	return refusal
}

// fetchTokens sends the request to the rule's allocator, which may be this VM.
func (limiter *Limiter) fetchTokens(ctx context.Context, request *TokenRequest) (TokenReply, error) {
	view := limiter.config.View()
	members := view.Owners(view.Self.DataCentre, request.Rule)
	request.Borrower = view.Self.Name
	request.Members = len(members)
	if len(members) == 0 || members[0].Name == view.Self.Name {
		return limiter.allocator.grant(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	var reply TokenReply
	err := limiter.config.Peers.Call(ctx, members[0].Peer, swpeer.MethodTokens, request, &reply)
	return reply, err
}

// fairInFlight returns this VM's share of total in-flight tokens, divided equally among the live VMs of the data centre.
func (limiter *Limiter) fairInFlight(total int) int {
	view := limiter.config.View()
	members := view.Members(view.Self.DataCentre)
	if len(members) == 0 {
		return total
	}
	share := total / len(members)
	for rank, member := range members {
		if member.Name == view.Self.Name && rank < total%len(members) {
			share++
		}
	}
	return share
}

// fairFraction returns the fraction of a rate that is this VM's fair share: one over the number of live VMs.
func (limiter *Limiter) fairFraction() float64 {
	view := limiter.config.View()
	return 1 / float64(max(1, len(view.Members(view.Self.DataCentre))))
}
