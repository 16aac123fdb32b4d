package swkey

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// maxAsked is the number of possible successors that are asked for an authority.
	maxAsked = 4
	// locateTries is how often the holder of an authority is looked for before the issuer counts as unreachable. A
	// pause of a second, as a busy machine gives, then costs no request its outcome.
	locateTries = 3
	// locationLife is how long a located authority is used without asking again. It bounds the drift between the clocks.
	locationLife = 10 * time.Second
	// maxHops bounds how often one request follows an authority that moved.
	maxHops = 4
	// driftDivisor bounds the drift between two clocks: one part in so many of the time since they were compared.
	driftDivisor = 1000
	// maxSends bounds how often one request is sent to holders of the authority.
	maxSends = 8
)

// RunMessage asks a peer whether it holds an issuer's authority and, when Request is set, to run under it.
type RunMessage struct {
	Issuer  Issuer
	Request *RunRequest `cbor:",omitempty"`
}

// RunAnswer answers a RunMessage.
type RunAnswer struct {
	// Holds is set when the peer holds the authority and begins runs.
	Holds bool
	// Clock is the authority's clock, where Holds is set.
	Clock time.Duration `cbor:",omitempty"`
	// Name and Incarnation identify the peer that answers.
	Name        string
	Incarnation uint64
	// Successor names the VM that the authority went to, where the peer held it before.
	Successor string `cbor:",omitempty"`
	// Moving is set when the peer is handing the authority over.
	Moving bool `cbor:",omitempty"`
	// Outcome answers Request.
	Outcome *Outcome `cbor:",omitempty"`
}

// location is where an authority was found.
type location struct {
	target netip.AddrPort
	// clock is what the authority's clock had at least reached at the local time at.
	clock time.Duration
	at    time.Time
}

// on returns a time on the authority's clock that is not later than the local time at.
func (location location) on(at time.Time) time.Duration {
	drift := time.Since(location.at) / driftDivisor
	return max(location.clock+at.Sub(location.at)-drift, 1)
}

// search is the outcome of looking for an authority.
type search struct {
	location location
	found    bool
	// answered is set when every VM that was asked answered.
	answered bool
	// replaced is set when the VM of the issuer's name proved to be another incarnation.
	replaced bool
	// moving is set when a peer is handing the authority over.
	moving bool
}

// forward passes a request on to the holder of the issuer's authority. The request itself is sent only to a peer that
// has shown that it holds the authority, with a bound on the authority's own clock for the start of the run. While no
// answer comes it looks for the holder anew, as the authority may have moved.
func (service *Service) forward(ctx context.Context, issuer Issuer, request RunRequest) Outcome {
	found := service.locatePatiently(ctx, issuer)
	if !found.found {
		return absent(found)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	pass := passing{service: service, issuer: issuer, request: request, answers: make(chan passed, maxSends)}
	pass.send(ctx, found.location)
	ticker := time.NewTicker(service.config.Limits.LocateTimeout)
	defer ticker.Stop()
	for {
		select {
		case passed := <-pass.answers:
			outcome, ended := pass.take(ctx, passed)
			if ended {
				return outcome
			}
		case <-ticker.C:
			if !pass.follow(ctx) {
				return unanswered()
			}
		case <-ctx.Done():
			return unanswered()
		}
	}
}

// absent answers a request that was sent to no one.
func absent(found search) Outcome {
	if found.moving {
		return refusalForNow(swcode.HandoverInProgress, swcode.RanUnknown, "the issuer is handing its keys over")
	}
	if found.replaced && found.answered {
		return refusal(swcode.IssuerGone, swcode.RanUnknown, "the incarnation that issued the key is gone; this request was not run")
	}
	return refusalForNow(swcode.IssuerUnreachable, swcode.RanUnknown,
		"the issuer did not answer; this request was not passed on and will not be run")
}

// unanswered answers a request that was passed on and got no answer.
func unanswered() Outcome {
	return refusalForNow(swcode.IssuerUnreachable, swcode.RanUnknown,
		"the issuer did not answer; it begins no run of this request any more")
}

func earlier(a, b time.Duration) time.Duration {
	if a > 0 && a < b {
		return a
	}
	return b
}

// locatePatiently looks for the holder again while VMs that were asked say nothing: one that is busy or was paused for a moment
// is not gone, and nothing was sent yet.
func (service *Service) locatePatiently(ctx context.Context, issuer Issuer) search {
	found := service.locate(ctx, issuer)
	for range locateTries - 1 {
		if found.found || found.answered || ctx.Err() != nil {
			break
		}
		found = service.locate(ctx, issuer)
	}
	return found
}

// locate finds the holder of an authority by memory, or by asking at once the successor on record, the issuer, and the
// VMs that its successor would be chosen from.
func (service *Service) locate(ctx context.Context, issuer Issuer) search {
	known, ok := service.located.Get(issuer)
	if ok && time.Since(known.at) < locationLife {
		return search{location: known, found: true}
	}
	ctx, cancel := context.WithTimeout(ctx, service.config.Limits.LocateTimeout)
	defer cancel()
	names := service.candidates(issuer)
	results := make(chan search, len(names))
	for _, name := range names {
		service.config.Group.Go(func(context.Context) { results <- service.follow(ctx, issuer, name) })
	}
	merged := search{answered: true}
	for range names {
		result := <-results
		if result.found {
			service.located.Put(issuer, result.location)
			return result
		}
		merged.answered = merged.answered && result.answered
		merged.replaced = merged.replaced || result.replaced
		merged.moving = merged.moving || result.moving
	}
	return merged
}

// candidates names the VMs to ask, without this one.
func (service *Service) candidates(issuer Issuer) []string {
	names := []string{issuer.Name}
	if successor, ok := service.successorOf(issuer); ok {
		names = append(names, successor)
	}
	for i, peer := range service.config.Directory.Successors(issuer.Name) {
		if i == maxAsked {
			break
		}
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name string) bool { return name == service.self.Name })
}

// follow asks a VM for the authority and goes on to where it says that the authority went.
func (service *Service) follow(ctx context.Context, issuer Issuer, name string) search {
	var result search
	for range maxHops {
		target, ok := service.config.Directory.Peer(name)
		if !ok || name == service.self.Name {
			return result
		}
		answer, err := service.ask(ctx, target, RunMessage{Issuer: issuer})
		if err != nil {
			return result
		}
		if answer.Holds {
			result.found = true
			result.location = location{target: target, clock: answer.Clock, at: time.Now()}
			return result
		}
		result.moving = result.moving || answer.Moving
		if answer.Successor == "" {
			result.answered = true
			result.replaced = answer.Name == issuer.Name && answer.Incarnation != issuer.Incarnation
			return result
		}
		name = answer.Successor
	}
	return result
}

func (service *Service) ask(ctx context.Context, target netip.AddrPort, message RunMessage) (RunAnswer, error) {
	var answer RunAnswer
	err := service.config.Transport.Call(ctx, target, swpeer.MethodRun, message, &answer)
	return answer, err
}

// runMoved answers a request under an authority that is going, or has gone, to a successor.
func (service *Service) runMoved(ctx context.Context, authority *authority, request RunRequest) Outcome {
	select {
	case <-authority.settled:
	case <-ctx.Done():
		return refusalForNow(swcode.HandoverInProgress, swcode.RanUnknown, "the issuer is handing its keys over")
	}
	if phase, _ := authority.current(); phase != relinquished {
		return refusalForNow(swcode.Leaving, swcode.RanNo, "this VM is leaving and no successor took its keys")
	}
	return service.forward(ctx, authority.issuer, request)
}

// ServeRun answers a peer's RunMessage.
func (service *Service) ServeRun(ctx context.Context, _ string, message RunMessage) (RunAnswer, error) {
	answer := RunAnswer{Name: service.self.Name, Incarnation: service.self.Incarnation}
	authority, held := service.authorities.Get(message.Issuer)
	if !held {
		return answer, nil
	}
	phase, successor := authority.current()
	answer.Successor = successor
	answer.Moving = phase == stopping
	answer.Holds = phase == active
	answer.Clock = authority.clock.now()
	if message.Request == nil {
		return answer, nil
	}
	outcome, moving := service.serveRequest(ctx, authority, *message.Request)
	if !moving {
		answer.Outcome = &outcome
	}
	return answer, nil
}

func (service *Service) serveRequest(ctx context.Context, authority *authority, request RunRequest) (outcome Outcome, moving bool) {
	token, err := ParseToken(request.Key)
	if err != nil {
		return outcomeOfError(err), false
	}
	if token.Issuer != authority.issuer {
		return OutcomeFromError(invalidKey("it was passed on to another issuer")), false
	}
	service.executorMutex.RLock()
	executor := service.executor
	service.executorMutex.RUnlock()
	if executor == nil {
		return refusalForNow(swcode.NotReady, swcode.RanNo, "the issuer is not ready"), false
	}
	if request.EndBefore > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.EndBefore-authority.clock.now())
		defer cancel()
	}
	return service.runHere(ctx, authority, token, request, func(ctx context.Context) Outcome {
		return executor(ctx, request)
	})
}

// successorKey names the record of an issuer's successor.
func successorKey(issuer Issuer) string {
	return issuer.Name + "/" + strconv.FormatUint(issuer.Incarnation, 16)
}

func (service *Service) successorOf(issuer Issuer) (string, bool) {
	if service.config.Records == nil {
		return "", false
	}
	record, ok := service.config.Records.Get(swmember.TopicSuccessor, successorKey(issuer))
	if !ok {
		return "", false
	}
	return string(record.Value), true
}
