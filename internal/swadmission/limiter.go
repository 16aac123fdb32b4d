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
	// tokenTimeout bounds a call to a rule's allocator.
	tokenTimeout = 100 * time.Millisecond
	// passWait is how long a request of a pass rule may wait for tokens to be fetched.
	passWait = 50 * time.Millisecond
	// ruleWaiters is the number of requests that may wait for one rule's limits at one VM.
	ruleWaiters = 1024
	// fairShareFor is how long a VM keeps to its fair share before it tries the allocator again.
	fairShareFor = time.Second
	// renewEvery is the time between two renewals of in-flight tokens.
	renewEvery = tokenLease / 4
	// ruleRetryLeast is the shortest mean RetryAfter of a refusal by a rule's limit.
	ruleRetryLeast = 100 * time.Millisecond
)

// Peers calls other VMs; swpeer.Node implements it.
type Peers interface {
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// LimiterConfig holds what a Limiter is built from.
type LimiterConfig struct {
	// View returns the present view of the members.
	View  func() *swmember.View
	Peers Peers
}

// Limiter applies the limits of rules in this VM's data centre. The VM that wins the rendezvous hash for a rule
// allocates its tokens in small batches that expire; while it cannot be reached a VM keeps to its fair share.
//
// In any time T the requests started under a rate R exceed R*T by no more than the burst, R*100ms, and one batch a VM,
// R*50ms, each at least one, and by one token for each change of allocator. Requests in flight exceed InFlight only
// after a change of allocator or the begin of fair shares, by no more than the requests that ran at that moment, at
// most InFlight, and until those end or two seconds have passed, whichever is later.
type Limiter struct {
	config    LimiterConfig
	group     *swgroup.Group
	allocator *allocator
	limits    *swtable.Table[string, *ruleLimit]
}

// NewLimiter returns a limiter. Close it to end its goroutines.
func NewLimiter(config LimiterConfig) *Limiter {
	return &Limiter{
		config:    config,
		group:     swgroup.New(context.Background()),
		allocator: newAllocator(),
		limits:    swtable.New[string, *ruleLimit](),
	}
}

// Close ends the limiter's goroutines. Requests that wait are refused.
func (limiter *Limiter) Close() {
	limiter.group.Stop()
}

// Serve answers a borrower. It is the handler of swpeer.MethodTokens.
func (limiter *Limiter) AllocateTokens(_ context.Context, _ string, request TokenRequest) (TokenReply, error) {
	return limiter.allocator.serve(&request), nil
}

// Acquire waits as long as the decision allows for its rule's limits. release must be called when the request ends. The
// error is a *swcode.Error with RuleRateExceeded, RuleWaitExceeded or CallerGone; the request did not run.
func (limiter *Limiter) Acquire(ctx context.Context, decision swrule.Decision) (release func(), err error) {
	if decision.RatePerSecond <= 0 && decision.InFlight <= 0 {
		return func() {}, nil
	}
	wait := passWait
	if decision.Action == swrule.Wait {
		wait = decision.For
	}
	for {
		limit := limiter.limits.GetOrPut(decision.ID, func() *ruleLimit { return newRuleLimit(limiter, &decision) })
		entry := limit.enter(time.Now(), wait)
		switch {
		case entry.ended:
			continue
		case entry.refusedFor > 0:
			return nil, limitRefusal(&decision, entry.refusedFor)
		case entry.waiter == nil:
			return limit.release, nil
		default:
			return limit.await(ctx, entry.waiter, wait, &decision)
		}
	}
}

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
	retryAfter, granted := limit.withdraw(waiter)
	if ctx.Err() == context.Canceled {
		if granted {
			limit.release()
		}
		return nil, &swcode.Error{Code: swcode.CallerGone, Rule: decision.Line, Message: "withdrawn while waiting for the rule's limit"}
	}
	if granted {
		return limit.release, nil
	}
	return nil, limitRefusal(decision, retryAfter)
}

func limitRefusal(decision *swrule.Decision, retryAfter time.Duration) *swcode.Error {
	refusal := &swcode.Error{
		Code:       swcode.RuleRateExceeded,
		Rule:       decision.Line,
		Message:    "the limit of rule \"" + decision.Text + "\" is used up",
		RetryAfter: time.Duration(float64(max(ruleRetryLeast, retryAfter)) * (0.5 + rand.Float64())),
	}
	if decision.Action == swrule.Wait {
		refusal.Code = swcode.RuleWaitExceeded
	}
	return refusal
}

// fetch asks the rule's allocator, which may be this VM.
func (limiter *Limiter) fetch(ctx context.Context, request *TokenRequest) (TokenReply, error) {
	view := limiter.config.View()
	members := view.Owners(view.Self.DataCentre, request.Rule)
	request.Borrower = view.Self.Name
	request.Members = len(members)
	if len(members) == 0 || members[0].Name == view.Self.Name {
		return limiter.allocator.serve(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	var reply TokenReply
	err := limiter.config.Peers.Call(ctx, members[0].Peer, swpeer.MethodTokens, request, &reply)
	return reply, err
}

// fairShare returns this VM's part of total when every live VM of the data centre takes the same.
func (limiter *Limiter) fairShare(total int) int {
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

// fairPart returns the inverse of the number of live VMs of the data centre.
func (limiter *Limiter) fairPart() float64 {
	view := limiter.config.View()
	return 1 / float64(max(1, len(view.Members(view.Self.DataCentre))))
}
