package swgateway

import (
	"context"
	"strings"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// brokenAttempt is an attempt whose replica closed the connection before it answered.
type brokenAttempt struct {
	replica  *swreplica.Replica
	brokenAt time.Time
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	command       swquery.Command
	replica       *swreplica.Replica
	replicaResult swreplica.Result
	info          ResponseInfo
	// meaning is that of the response; meaningUnusable if there is none.
	meaning meaning
	endedAt time.Time
	// relay is the VM that sent the attempt; the zero Relay if this VM did. detoured is set if that was because this VM has lost its links.
	relay    swrelay.Relay
	detoured bool
}

// sendDirectly sends an attempt to its replica without a relay.
func (call *call) sendDirectly(ctx context.Context, replica *swreplica.Replica, attempt *swrelay.Attempt) swreplica.Result {
	request := swrelay.NewRequest(attempt, replica, Codec{Protocol: call.handler.config.Protocol}, call.request.deadline)
	request.CancelGrace = swrelay.CancelGrace
	encode := request.Encode
	// The attempt may have waited for a connection since it was started.
	request.Encode = func(now time.Time) ([]byte, bool) {
		if !call.mayEncodeFor(replica) {
			return nil, false
		}
		return encode(now)
	}
	request.Repeatable = call.request.route.Idempotent
	if !call.request.route.Gathered() {
		request.Sendings = &call.request.sendings
	}
	return replica.Exchange(ctx, request)
}

// handleResult records the result of an attempt and executes the next actions of the gather.
func (call *call) handleResult(result attemptResult) {
	shard := &call.shards[result.command.Shard]
	answer := call.classify(result)
	call.countObservation(&result, answer)
	call.countSpilledBytes(&result, answer)
	for i := range call.attempts {
		if call.attempts[i].id == result.command.Attempt {
			call.attempts[i].endedAt, call.attempts[i].outcome = result.endedAt, answer.Outcome.String()
			if fault := result.replicaResult.Fault; fault != swreplica.FaultUnknown {
				call.attempts[i].outcome += "/" + fault.String()
				call.handler.config.Recorder.CountEvent("attempts_not_sent_fault_"+strings.ToLower(fault.String()), 1)
			}
			if reason := call.notSentReason(&result); reason != "" {
				call.attempts[i].outcome = reason
				call.handler.config.Recorder.CountEvent(withheldEvents[reason], 1)
			}
			if result.meaning == meaningUnprovenRejection {
				call.attempts[i].outcome = unprovenRejectionOutcome
				call.handler.config.Recorder.CountEvent("unproven_rejections", 1)
			}
			call.attempts[i].relay = result.relay.Name
			call.attempts[i].connection = result.replicaResult.Connection
			if response := result.replicaResult.Response; response != nil {
				call.attempts[i].status = response.Status
			}
		}
	}
	response := result.replicaResult.Response
	isFirst := answer.Outcome == swbackend.Answered && !shard.answered
	switch {
	case response == nil || shard.answered:
		response.Release()
	case !call.request.route.Gathered() && result.meaning.forwardable():
		shard.response.Release()
		shard.response = response
	case isFirst:
		shard.info = result.info
		shard.keepRecords(response, call.request.route.TopK)
	default:
		response.Release()
	}
	if isFirst {
		shard.answered = true
		call.answeredShards++
	}
	actions, _, _ := call.gather.HandleAnswer(result.endedAt, result.command.Attempt, result.command.Target.Server, answer)
	call.execute(result.endedAt, actions)
}

// keepRecords keeps the records of a shard's answer that a search may return.
func (shardCall *shardCall) keepRecords(response *swconn.Response, topK int) {
	shardCall.records = response.Body
	switch {
	case len(response.Body) <= maxKeptPart:
	case len(response.Body)/recordSize > topK:
		shardCall.records = greatestRecords(response.Body, topK)
	default:
		shardCall.response = response
		return
	}
	response.Release()
}

// classify translates the result of an attempt into an answer of its shard, and updates the statistics of the replica.
func (call *call) classify(result attemptResult) swbackend.Answer {
	replica := result.replica
	switch result.replicaResult.Outcome {
	case swreplica.NotSent:
		call.displaced = call.displaced || !call.mayPlaceAt(replica) || !result.relay.Valid() && result.replicaResult.RetryAfter > 0
		refused := result.replicaResult.Fault == swreplica.FaultRefused && !result.detoured
		if result.relay.Valid() && (result.replicaResult.Fault == swreplica.FaultReplica || refused) {
			replica.ObserveFailure(result.endedAt)
		}
		return swbackend.Answer{Outcome: swbackend.Unreachable, Ran: swcode.RanNo, Code: swcode.NoReplica}
	case swreplica.Cancelled:
		call.handler.latencies.observeCancelled(call.request.route.Name, result.endedAt.Sub(result.replicaResult.SentAt))
		return swbackend.Answer{Outcome: swbackend.Cancelled, Ran: swcode.RanUnknown, Code: swcode.DeadlineExceeded}
	case swreplica.RelayFailed, swreplica.LinksLost:
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Code: swcode.BackendFailed}
	case swreplica.Overlong:
		replica.ObserveFailure(result.endedAt)
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Code: swcode.BackendFailed}
	case swreplica.Broken:
		if result.relay.Valid() {
			replica.ObserveFailure(result.endedAt)
		} else {
			replica.RecordFailure(result.endedAt, replica.ObserveFailure)
		}
		call.brokenAttempts = append(call.brokenAttempts, brokenAttempt{replica: replica, brokenAt: result.endedAt})
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Code: swcode.BackendFailed, Crash: call.request.route.Gathered()}
	}
	switch result.meaning {
	case meaningWrongReplica:
		replica.Retire()
		return swbackend.Answer{Outcome: swbackend.Shed, Ran: swcode.RanNo, Code: swcode.NoReplica}
	case meaningRejection:
		replica.ObserveRejection(result.endedAt)
		call.rejected = true
		call.overloaded = call.overloaded || replica.HasQueue()
		return swbackend.Answer{Outcome: swbackend.Shed, Ran: swcode.RanNo, Code: swcode.QueueFull}
	case meaningAnswer:
		call.handler.observe(call.request, call.shards[result.command.Shard].service, replica, result.endedAt, result.endedAt.Sub(result.replicaResult.SentAt))
		return swbackend.Answer{Outcome: swbackend.Answered, Ran: swcode.RanYes, Code: swcode.OK}
	case meaningFailure:
		replica.ObserveFailure(result.endedAt)
		return swbackend.Answer{Outcome: swbackend.Failed, Ran: swcode.RanYes, Code: swcode.BackendFailed}
	case meaningUnprovenRejection, meaningUnusable:
	}
	replica.ObserveFailure(result.endedAt)
	return swbackend.Answer{Outcome: swbackend.Failed, Ran: swcode.RanUnknown, Code: swcode.BackendFailed}
}
