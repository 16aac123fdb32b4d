package swclient

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Run runs non-idempotent work at most once. It takes a key unless the request has one, and sends the work again under
// the same key until its outcome is known or the context's deadline passes. The error is a *swcode.Error whose Ran holds
// for all the sends together: with Ran No nothing ran and nothing will, so the work may be given to Run anew; with Ran
// Unknown the books must be checked first. Under a key that Run took, no run begins once Run has returned, unless the
// context was cancelled before its deadline; so with Ran Unknown it may return only at the deadline.
func (client *Client) Run(ctx context.Context, request RunRequest) (SearchReply, error) {
	ctx, cancel := client.bound(ctx)
	defer cancel()
	request.Caller = client.callerOf(request.Caller)
	run := run{client: client, request: request, ownKey: request.Key != ""}
	return run.finish(ctx)
}

// run is one piece of work on its way to an outcome.
type run struct {
	client  *Client
	request RunRequest
	// ownKey is set when the caller gave the key.
	ownKey bool
	// sends counts the sends under the present key.
	sends int
	// uncertain is set when a send under the present key may have run.
	uncertain bool
}

func (run *run) finish(ctx context.Context) (SearchReply, error) {
	for attempt := 0; ; attempt++ {
		if err := run.prepare(ctx); err != nil {
			return SearchReply{}, notRun(err)
		}
		reply, err := run.send(ctx)
		if err == nil {
			return reply, nil
		}
		if !run.again(err) || !wait(ctx, attempt, err) {
			run.settle(ctx, err)
			return reply, run.outcome(err)
		}
	}
}

// settle waits until no send can begin a run any more, when the outcome is unknown for a reason other than a run that
// has ended.
func (run *run) settle(ctx context.Context, err error) {
	var refused *swcode.Error
	if errors.As(err, &refused) && (refused.Code == swcode.OutcomeUnknown || refused.Code == swcode.PartialRun) {
		return
	}
	if run.uncertain {
		<-ctx.Done()
	}
}

// prepare takes a key when the run has none.
func (run *run) prepare(ctx context.Context) error {
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
	run.sends = 0
	run.uncertain = false
	return nil
}

// send sends the work once. It gives the VM up to the deadline for the run, but waits for the answer only as long as
// ResendAfter, after which another VM can tell the outcome or wait for it.
func (run *run) send(ctx context.Context) (SearchReply, error) {
	run.request.Timeout = remaining(ctx)
	run.sends++
	ctx, cancel := context.WithTimeout(ctx, run.client.config.ResendAfter)
	defer cancel()
	var reply SearchReply
	if err := run.client.post(ctx, PathRuns, &run.request, &reply); err != nil {
		run.uncertain = true
		return reply, err
	}
	return reply, reply.Err()
}

// again decides whether to send again, and whether under a new key.
func (run *run) again(err error) bool {
	var refused *swcode.Error
	if !errors.As(err, &refused) {
		return true
	}
	if run.neverRan(refused) {
		return run.renew(refused)
	}
	if refused.Ran != swcode.RanNo {
		run.uncertain = true
	}
	return swcode.Describe(refused.Code).Retry
}

// neverRan reports whether the refusal proves that nothing ran, or will run, under the present key, and the key is of no
// more use. The issuer's table proves it for an expired key. Leaving and IssuerGone prove it of their own send alone.
func (run *run) neverRan(refused *swcode.Error) bool {
	if run.ownKey {
		return false
	}
	switch refused.Code {
	case swcode.KeyExpired:
		return refused.Ran == swcode.RanNo
	case swcode.Leaving:
		return refused.Ran == swcode.RanNo && !run.uncertain
	case swcode.IssuerGone:
		return run.sends == 1
	default:
		return false
	}
}

// renew makes the next send take a new key.
func (run *run) renew(refused *swcode.Error) bool {
	if refused.Code != swcode.Leaving {
		run.client.keys.drop()
	}
	run.request.Key = ""
	return true
}

// outcome returns the error of the whole run: Ran is No only when every send was answered as not run.
func (run *run) outcome(err error) error {
	var refused *swcode.Error
	if !errors.As(err, &refused) {
		return &swcode.Error{
			Code:    swcode.OutcomeUnknown,
			Ran:     swcode.RanUnknown,
			Message: err.Error(),
			Fix:     swcode.Describe(swcode.OutcomeUnknown).Advice,
		}
	}
	whole := *refused
	if run.uncertain && whole.Ran == swcode.RanNo {
		whole.Ran = swcode.RanUnknown
	}
	if run.request.Key == "" {
		whole.Ran = swcode.RanNo
	}
	return &whole
}

// notRun returns the error of a run for which no key could be had.
func notRun(err error) error {
	var refused *swcode.Error
	if errors.As(err, &refused) {
		return refused
	}
	return &swcode.Error{Code: swcode.DeadlineExceeded, Ran: swcode.RanNo, Message: err.Error()}
}
