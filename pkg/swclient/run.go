package swclient

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Run runs non-idempotent work at most once. It takes a key unless the request has one, and resends the work under the same
// key until its outcome is known or the context's deadline passes.
//
// The error is a *swcode.Error whose Ran covers all sends together. With Ran No, nothing ran and nothing will, so the work may
// be passed to Run again. With Ran Unknown, check first whether the work took effect. The reply of a server other than a VM, such as a
// balancer, counts as a lost answer, whatever its status.
//
// Under a key that Run took, no run starts after Run has returned, unless the context was cancelled before its deadline.
// To ensure this, a call with an unknown outcome may not return until the deadline.
func (client *Client) Run(ctx context.Context, request RunRequest) (SearchReply, error) {
	ctx, cancel := client.withDeadline(ctx)
	defer cancel()
	request.Caller = client.callerOrDefault(request.Caller)
	run := run{client: client, request: request, ownKey: request.Key != ""}
	return run.do(ctx)
}

// run is the state of one call of Run.
type run struct {
	client  *Client
	request RunRequest
	// ownKey reports whether the caller gave the key.
	ownKey bool
	// sendCount counts the sends under the current key.
	sendCount int
	// mayHaveRun reports whether a send under the current key may have run.
	mayHaveRun bool
}

// do sends the work until the outcome is known, a resend can't help, or the deadline passes.
func (run *run) do(ctx context.Context) (SearchReply, error) {
	for attempt := 0; ; attempt++ {
		if err := run.ensureKey(ctx); err != nil {
			return SearchReply{}, errorWithoutKey(err)
		}
		reply, err := run.send(ctx)
		if err == nil {
			return reply, nil
		}
		if !run.shouldResend(err) || !waitToResend(ctx, attempt, err) {
			run.waitUntilNoneCanStart(ctx, err)
			return reply, run.finalError(err)
		}
	}
}

// waitUntilNoneCanStart waits for the deadline, after which no earlier send can start a run. It returns at once when no send
// may have run, and for OutcomeUnknown and PartialRun, which mean that the run has ended.
func (run *run) waitUntilNoneCanStart(ctx context.Context, err error) {
	var refused *swcode.Error
	if errors.As(err, &refused) && (refused.Code == swcode.OutcomeUnknown || refused.Code == swcode.PartialRun) {
		return
	}
	if run.mayHaveRun {
		<-ctx.Done()
	}
}

// ensureKey takes a key if the request has none.
func (run *run) ensureKey(ctx context.Context) error {
	if run.request.Key != "" {
		return nil
	}
	key, err := run.client.takeKey(ctx)
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	run.request.Key = key.text
	run.request.StartBefore = key.startBefore(deadline)
	run.sendCount = 0
	run.mayHaveRun = false
	return nil
}

// send sends the work once. The VM has until the deadline to run it, but send waits for the answer only for ResendAfter.
// After that, another VM can return the outcome or wait for it.
func (run *run) send(ctx context.Context) (SearchReply, error) {
	run.request.Timeout = remaining(ctx)
	run.sendCount++
	ctx, cancel := context.WithTimeout(ctx, run.client.config.ResendAfter)
	defer cancel()
	var reply SearchReply
	if err := run.client.post(ctx, PathRuns, &run.request, &reply); err != nil {
		run.mayHaveRun = true
		return reply, err
	}
	return reply, reply.Err()
}

// shouldResend reports whether to send again, and discards the key if the next send needs a new one.
func (run *run) shouldResend(err error) bool {
	var refused *swcode.Error
	if !errors.As(err, &refused) {
		return true
	}
	if run.provesNotRun(refused) {
		return run.discardKey(refused)
	}
	if refused.Ran != swcode.RanNo {
		run.mayHaveRun = true
	}
	return swcode.Describe(refused.Code).Retry
}

// provesNotRun reports whether the refusal proves that nothing ran or will run under the current key, and that the key is no
// longer usable. For an expired key, the issuer's table proves this for all sends. Leaving and IssuerGone prove it only for
// the send that they answer.
func (run *run) provesNotRun(refused *swcode.Error) bool {
	if run.ownKey {
		return false
	}
	switch refused.Code {
	case swcode.KeyExpired:
		return refused.Ran == swcode.RanNo
	case swcode.Leaving:
		return refused.Ran == swcode.RanNo && !run.mayHaveRun
	case swcode.IssuerGone:
		return run.sendCount == 1
	default:
		return false
	}
}

// discardKey makes the next send take a new key, and returns true. It also clears the cache, unless the VM is only leaving.
func (run *run) discardKey(refused *swcode.Error) bool {
	if refused.Code != swcode.Leaving {
		run.client.keys.clear()
	}
	run.request.Key = ""
	return true
}

// finalError returns the error of all sends together: Ran is No only if every send was answered as not run.
func (run *run) finalError(err error) error {
	var refused *swcode.Error
	if !errors.As(err, &refused) {
		return &swcode.Error{
			Code:    swcode.OutcomeUnknown,
			Ran:     swcode.RanUnknown,
			Message: err.Error(),
			Fix:     swcode.Describe(swcode.OutcomeUnknown).Advice,
		}
	}
	combined := *refused
	if run.mayHaveRun && combined.Ran == swcode.RanNo {
		combined.Ran = swcode.RanUnknown
	}
	if run.request.Key == "" {
		combined.Ran = swcode.RanNo
	}
	return &combined
}

// errorWithoutKey returns the error of a call for which no key could be fetched, so that no work was sent.
func errorWithoutKey(err error) error {
	var refused *swcode.Error
	if errors.As(err, &refused) {
		notRun := *refused
		notRun.Ran = swcode.RanNo
		return &notRun
	}
	return &swcode.Error{Code: swcode.DeadlineExceeded, Ran: swcode.RanNo, Message: err.Error()}
}
