package swkey

import (
	"context"
	"net/netip"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// startTimeoutMultiple is the time within which the run of a forwarded request must begin, in multiples of LocateTimeout.
// Until it has passed, the request may still run, so no caller gets an answer that denies it.
const startTimeoutMultiple = 2

// forwarding is the state of a request that is forwarded to the holder of a key table.
type forwarding struct {
	service *Service
	issuer  Issuer
	request RunRequest
	// target is the address to which the request was sent last.
	target netip.AddrPort
	// startDeadline is the local time after which no send can begin a run.
	startDeadline time.Time
	sends         int
	// results is buffered for maxSends results, so that no send blocks.
	results chan sendResult
}

// sendResult is the result of one send.
type sendResult struct {
	target netip.AddrPort
	answer RunAnswer
	err    error
}

// send sends the request to a holder. Sending it to several VMs in turn is safe, since only one of them can hold the key
// table.
func (forwarding *forwarding) send(ctx context.Context, location location) {
	request := forwarding.request
	forwarding.startDeadline = time.Now().Add(startTimeoutMultiple * forwarding.service.config.Limits.LocateTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		request.EndBefore = earlierLimit(forwarding.request.StartBefore, location.tableTimeAt(deadline))
		if deadline.Before(forwarding.startDeadline) {
			forwarding.startDeadline = deadline
		}
	}
	request.StartBefore = earlierLimit(request.StartBefore, location.tableTimeAt(forwarding.startDeadline))
	forwarding.sends++
	forwarding.target = location.target
	forwarding.service.config.Group.Go(func(context.Context) {
		answer, err := forwarding.service.sendRunMessage(ctx, location.target, RunMessage{Issuer: forwarding.issuer, Request: &request})
		forwarding.results <- sendResult{target: location.target, answer: answer, err: err}
	})
}

// handleResult returns the outcome if the holder gave one. Otherwise, after a failed call or a move of the key table, it
// locates the holder and sends the request again.
func (forwarding *forwarding) handleResult(ctx context.Context, sendResult sendResult) (outcome Outcome, done bool) {
	if sendResult.err == nil && sendResult.answer.Outcome != nil {
		return *sendResult.answer.Outcome, true
	}
	if sendResult.target != forwarding.target {
		return Outcome{}, false
	}
	forwarding.service.locations.Delete(forwarding.issuer)
	located := forwarding.service.locate(ctx, forwarding.issuer)
	if located.found && forwarding.sends < maxSends {
		forwarding.send(ctx, located.location)
		return Outcome{}, false
	}
	if sendResult.err == nil {
		return temporaryRefusal(swcode.HandoverInProgress, swcode.RanUnknown, "the issuer is handing its key table over"), true
	}
	return Outcome{}, false
}

// relocate repeats the search for the holder while no answer has arrived, and sends the request to a new holder. It
// reports whether to keep waiting: there is a holder, or an earlier send may still begin a run.
func (forwarding *forwarding) relocate(ctx context.Context) bool {
	forwarding.service.locations.Delete(forwarding.issuer)
	located := forwarding.service.locate(ctx, forwarding.issuer)
	if !located.found {
		return time.Now().Before(forwarding.startDeadline)
	}
	if located.location.target != forwarding.target && forwarding.sends < maxSends {
		forwarding.send(ctx, located.location)
	}
	return true
}
