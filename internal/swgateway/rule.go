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

// Limits applies the limits of rules; swadmission.Limiter implements it.
type Limiter interface {
	// Acquire waits as long as the decision allows. release must be called when the request ends. The error is a *swcode.Error.
	Acquire(ctx context.Context, decision swrule.Decision) (release func(), err error)
}

// matchRules finds the rule that decides a request, under the version of the rules in force. Without rules everything passes.
func (gateway *Gateway) matchRules(request *request, message *http.Request) *Refusal {
	if gateway.config.Rules == nil {
		return nil
	}
	ruleSet, version, ok := gateway.config.Rules.Current()
	if !ok {
		return nil
	}
	request.rules = version
	request.caller = callerOf(message, gateway.config.CallerHeader)
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
		request.deadline = request.arrived.Add(min(limit, request.deadline.Sub(request.arrived)))
	}
	return nil
}

// acquire waits for the limits of the request's rule, no longer than the request may.
func (gateway *Gateway) acquire(ctx context.Context, request *request) (release func(), refusal *Refusal) {
	if gateway.config.Limiter == nil || request.decision.Line == 0 {
		return func() {}, nil
	}
	decision := request.decision
	decision.For = min(decision.For, time.Until(request.deadline))
	release, err := gateway.config.Limiter.Acquire(ctx, decision)
	if err == nil {
		return release, nil
	}
	var reason *swcode.Error
	if !errors.As(err, &reason) {
		return nil, refuse(http.StatusServiceUnavailable, swcode.Internal)
	}
	return nil, &Refusal{Status: swcode.Describe(reason.Code).Status, Code: reason.Code, RetryAfter: reason.RetryAfter}
}

// callerOf returns the name that a client gives in a header, or the client's address when no header is named or given.
func callerOf(message *http.Request, header string) string {
	if header != "" {
		if name := message.Header.Get(header); name != "" {
			return name
		}
	}
	host, _, err := net.SplitHostPort(message.RemoteAddr)
	if err != nil {
		return message.RemoteAddr
	}
	return host
}
