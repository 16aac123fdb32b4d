package swkey

import (
	"context"
	"net/netip"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// startWithin bounds the time within which a request that was passed on must begin, in times of LocateTimeout. Until it
// has passed no one is told that the request will not be run.
const startWithin = 2

// passing is a request on its way to the holder of an authority.
type passing struct {
	service *Service
	issuer  Issuer
	request RunRequest
	// target is where the request was sent last.
	target netip.AddrPort
	// startBy is the local time after which no send begins a run any more.
	startBy time.Time
	sends   int
	// answers has room for every send.
	answers chan passed
}

// passed is what came of one send.
type passed struct {
	target netip.AddrPort
	answer RunAnswer
	err    error
}

// send sends the request to a holder. It may be sent to several in turn, since only one of them can hold the authority.
func (passing *passing) send(ctx context.Context, location location) {
	request := passing.request
	passing.startBy = time.Now().Add(startWithin * passing.service.config.Limits.LocateTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		request.EndBefore = earlier(passing.request.StartBefore, location.on(deadline))
		if deadline.Before(passing.startBy) {
			passing.startBy = deadline
		}
	}
	request.StartBefore = earlier(request.StartBefore, location.on(passing.startBy))
	passing.sends++
	passing.target = location.target
	passing.service.config.Group.Go(func(context.Context) {
		answer, err := passing.service.ask(ctx, location.target, RunMessage{Issuer: passing.issuer, Request: &request})
		passing.answers <- passed{target: location.target, answer: answer, err: err}
	})
}

// take ends the passing with the outcome of a run or refusal, or sends the request again after a broken exchange or to
// where the authority has moved.
func (passing *passing) take(ctx context.Context, passed passed) (outcome Outcome, ended bool) {
	if passed.err == nil && passed.answer.Outcome != nil {
		return *passed.answer.Outcome, true
	}
	if passed.target != passing.target {
		return Outcome{}, false
	}
	passing.service.located.Delete(passing.issuer)
	found := passing.service.locate(ctx, passing.issuer)
	if found.found && passing.sends < maxSends {
		passing.send(ctx, found.location)
		return Outcome{}, false
	}
	if passed.err == nil {
		return refusalForNow(swcode.HandoverInProgress, swcode.RanUnknown, "the issuer is handing its keys over"), true
	}
	return Outcome{}, false
}

// follow looks for the holder anew while no answer comes. It reports whether there is one to wait for, or the request
// might still begin a run.
func (passing *passing) follow(ctx context.Context) bool {
	passing.service.located.Delete(passing.issuer)
	found := passing.service.locate(ctx, passing.issuer)
	if !found.found {
		return time.Now().Before(passing.startBy)
	}
	if found.location.target != passing.target && passing.sends < maxSends {
		passing.send(ctx, found.location)
	}
	return true
}
