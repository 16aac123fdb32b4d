package swgateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Limiter applies the limits of rules; swadmission.Limiter implements it.
type Limiter interface {
	// Acquire waits for the limits as long as the decision allows. release must be called when the request ends. The error is a
	// *swcode.Error.
	Acquire(ctx context.Context, decision swrule.Decision) (release func(), err error)
}

// matchRules applies the rules in force to a request. Without rules, every request passes.
func (handler *Handler) matchRules(request *request, httpRequest *http.Request) *Refusal {
	if handler.config.Rules == nil {
		return nil
	}
	ruleSet, version, ok := handler.config.Rules.Current()
	if !ok {
		return nil
	}
	request.ruleVersion = version
	request.caller = handler.callerOf(request, httpRequest)
	request.decision = ruleSet.Match(swrule.Request{
		Caller:      request.caller,
		Kind:        request.route.Name,
		Host:        swroute.CanonicalHost(request.host),
		Path:        pathOf(request.target),
		Fingerprint: swquery.FormatID(request.fingerprint),
	})
	if code := request.decision.Code(); code != swcode.OK {
		return refuse(swcode.Describe(code).Status, code)
	}
	if limit := request.decision.Deadline; limit > 0 {
		request.deadline = request.arrivedAt.Add(min(limit, request.deadline.Sub(request.arrivedAt)))
	}
	return nil
}

// acquireLimits waits for the limits of the request's rule, at most until the request's deadline.
func (handler *Handler) acquireLimits(ctx context.Context, request *request) (release func(), refusal *Refusal) {
	if handler.config.Limiter == nil || request.decision.Line == 0 {
		return func() {}, nil
	}
	decision := request.decision
	decision.For = min(decision.For, time.Until(request.deadline))
	release, err := handler.config.Limiter.Acquire(ctx, decision)
	if err == nil {
		return release, nil
	}
	var reason *swcode.Error
	if !errors.As(err, &reason) {
		return nil, refuse(http.StatusServiceUnavailable, swcode.Internal)
	}
	return nil, &Refusal{Status: swcode.Describe(reason.Code).Status, Code: reason.Code, RetryAfter: reason.RetryAfter}
}

// callerOf returns the caller's name from a header, or the client's address if no header is configured or the request lacks it. Where the
// configuration has tenants, a header that states a key or a tenant is not used as the client sent it: a key must not get into logs, and the
// tenant's name comes from the key alone.
func (handler *Handler) callerOf(request *request, httpRequest *http.Request) string {
	header := handler.config.CallerHeader
	switch {
	case header == "":
	case request.table.HasTenants() && handler.config.Protocol.IsTenantHeader(http.CanonicalHeaderKey(header)):
		if request.tenant != nil {
			return request.tenant.Name
		}
	default:
		if name := httpRequest.Header.Get(header); name != "" {
			return name
		}
	}
	host, _, err := net.SplitHostPort(httpRequest.RemoteAddr)
	if err != nil {
		return httpRequest.RemoteAddr
	}
	return host
}
