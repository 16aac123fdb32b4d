package swgateway

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

const (
	// maxDetours bounds the paths that are tried for one attempt after the first one. Nothing was sent to the replica by those before.
	maxDetours = 3
	// detourTimeout bounds the wait for a path: for the check of this VM's links and for the first answers of other VMs.
	detourTimeout = 600 * time.Millisecond
)

// relayFor returns the VM that relays an attempt, or the zero Relay if the attempt goes directly to its replica. Parts of searches for other
// regions go through relays. All attempts do while this VM has lost its links to the replica.
func (call *call) relayFor(replica *swreplica.Replica) swrelay.Relay {
	relays := call.handler.config.Relays
	switch {
	case relays == nil:
		return swrelay.Relay{}
	case !replica.Direct():
		return relays.Detour(replica, call.handler.homesOf(call.request).Regions())
	case !call.request.route.Gathered():
		return swrelay.Relay{}
	}
	return relays.RelayFor(replica)
}

// available reports whether a replica may be asked, directly or, if this VM has lost its links to it, through another VM.
func (handler *Handler) available(request *request, replica *swreplica.Replica) bool {
	if replica.Available() {
		return true
	}
	return handler.config.Relays != nil && !replica.Direct() && replica.AcceptsWork() &&
		handler.config.Relays.MayDetour(replica, handler.homesOf(request).Regions())
}

// candidate returns the state of a replica on which its choice for a request depends. Through another VM, this VM's own links and shares of what
// the replica takes don't count, and the way may be longer.
func (handler *Handler) candidate(request *request, now time.Time, replica *swreplica.Replica, serviceLatency time.Duration) swreplica.Candidate {
	candidate := replica.Candidate(now, serviceLatency)
	if handler.config.Relays == nil || replica.Direct() {
		return candidate
	}
	candidate.Unreachable = false
	candidate.RateWait, candidate.ColdWait = replica.RelaysReadyIn(now), 0
	relay := handler.config.Relays.Detour(replica, handler.homesOf(request).Regions())
	if relay.Valid() && relay.Region != replica.Region() {
		candidate.Distance = swreplica.OtherRegion
	}
	return candidate
}

// sendAttempt sends the request to one replica, directly or through a relay, and delivers the result to the call. If the links of this VM or of
// the relay prevent that, it tries other paths to the same replica.
func (call *call) sendAttempt(ctx context.Context, result attemptResult, relay swrelay.Relay) {
	for detours := 0; ; detours++ {
		call.sendBy(ctx, &result, relay)
		if detours >= maxDetours || !call.mayTakeDetour(ctx, &result) {
			break
		}
		next, ok := call.nextPath(ctx, result.replica, relay)
		if !ok {
			break
		}
		relay = next
		result.replica.Reserve()
		call.handler.config.Recorder.CountEvent("attempts_detoured", 1)
	}
	result.endedAt = time.Now()
	if response := result.replicaResult.Response; response != nil {
		result.info = call.handler.config.Protocol.ReadResponseInfo(response.Status, response.Header)
		result.meaning = interpret(response, result.info, call.request.route.Gathered())
	}
	call.results <- result
}

// sendBy sends an attempt once, directly or through a relay.
func (call *call) sendBy(ctx context.Context, result *attemptResult, relay swrelay.Relay) {
	request, replica := call.request, result.replica
	attempt := &swrelay.Attempt{
		Replica: replica.ID(), Method: request.method, RequestID: request.id, Head: request.head, Body: request.body,
		Homes: call.handler.homesOf(request).Regions(), Whole: !request.route.Gathered(), Once: !request.route.Idempotent,
	}
	result.relay = relay
	if !relay.Valid() {
		result.replicaResult = call.sendDirectly(ctx, replica, attempt)
		return
	}
	attempt.AnyDistance = !replica.Direct()
	attempt.Left = time.Until(request.deadline)
	result.detoured = attempt.AnyDistance
	result.replicaResult = call.handler.config.Relays.Exchange(ctx, replica, relay, attempt)
}

// mayTakeDetour reports whether an attempt may be sent on another path: nothing was sent, and not for the state of the replica.
func (call *call) mayTakeDetour(ctx context.Context, result *attemptResult) bool {
	if call.handler.config.Relays == nil || result.replicaResult.Outcome != swreplica.NotSent || ctx.Err() != nil {
		return false
	}
	switch result.replicaResult.Fault {
	case swreplica.FaultUnknown, swreplica.FaultReplica:
		return false
	case swreplica.FaultRefused:
		// A usual relay near the replica that does not know it has heard of a change first.
		if !result.detoured {
			return false
		}
	case swreplica.FaultLinks, swreplica.FaultRelay:
	}
	return call.mayEncodeFor(result.replica) && result.replica.AcceptsWork()
}

// nextPath returns the path to a replica after one that failed. It waits until this VM's links have been checked and, if they are lost, until
// another VM has said that it reaches the replica. ok is false if there is no path.
func (call *call) nextPath(ctx context.Context, replica *swreplica.Replica, failed swrelay.Relay) (next swrelay.Relay, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, min(detourTimeout, time.Until(call.request.deadline)))
	defer cancel()
	replica.AwaitReach(ctx)
	if !replica.Direct() {
		next = call.handler.config.Relays.AwaitDetour(ctx, replica, call.handler.homesOf(call.request).Regions())
		return next, next.Valid()
	}
	if !failed.Valid() {
		// The check found the links in order, so that the replica is at fault.
		return swrelay.Relay{}, false
	}
	if next = call.relayFor(replica); next.Valid() && next != failed {
		return next, true
	}
	return swrelay.Relay{}, replica.Available() && replica.Admit(time.Now())
}

// linksLost reports whether this VM's links explain that it doesn't reach a replica: it has lost those to the whole data centre, which another VM reaches.
func (handler *Handler) linksLost(ctx context.Context, replica *swreplica.Replica) bool {
	if handler.config.Relays == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	replica.AwaitReach(ctx)
	return !replica.Direct() && handler.config.Relays.AwaitDetour(ctx, replica, nil).Valid()
}
