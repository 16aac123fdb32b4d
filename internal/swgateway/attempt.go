package swgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// crash is a replica that broke off a request.
type crash struct {
	replica *swreplica.Replica
	at      time.Time
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	command swquery.Command
	replica *swreplica.Replica
	answer  swreplica.Answer
	mark    Mark
	at      time.Time
	// relayed is set when another VM sent the attempt.
	relayed bool
}

// relay returns the VM through which an attempt goes, or none when it goes straight to its replica. Answers that are passed on as
// they are, with all their headers, come straight.
func (call *call) relay(replica *swreplica.Replica) swrelay.Relay {
	if call.gateway.config.Relays == nil || !call.request.route.Gathered() {
		return swrelay.Relay{}
	}
	return call.gateway.config.Relays.Find(replica)
}

// attempt sends the request to one replica.
func (call *call) attempt(ctx context.Context, command swquery.Command, replica *swreplica.Replica, relay swrelay.Relay) {
	request := call.request
	attempt := &swrelay.Attempt{
		Replica: command.Target.Server, Method: request.method, RequestID: request.id, Head: request.head, Body: request.body,
	}
	result := attemptResult{command: command, replica: replica, relayed: relay.Valid()}
	if result.relayed {
		attempt.Left = time.Until(request.deadline)
		result.answer = call.gateway.config.Relays.Exchange(ctx, replica, relay, attempt)
	} else {
		result.answer = call.exchange(ctx, replica, attempt)
	}
	result.at = time.Now()
	if result.answer.Response != nil {
		result.mark = call.gateway.config.Protocol.ReadMark(result.answer.Response.Status, result.answer.Response.Header)
	}
	call.results <- result
}

// exchange sends an attempt straight to its replica.
func (call *call) exchange(ctx context.Context, replica *swreplica.Replica, attempt *swrelay.Attempt) swreplica.Answer {
	deadline, codec := call.request.deadline, Codec{Protocol: call.gateway.config.Protocol}
	return replica.Exchange(ctx, swrelay.NewRequest(attempt, replica, codec, deadline, swrelay.Linger))
}

// take judges the end of an attempt and goes on accordingly.
func (call *call) take(result attemptResult) {
	shard := &call.shards[result.command.Shard]
	judged := call.judge(result)
	for i := range call.told {
		if call.told[i].id == result.command.Attempt {
			call.told[i].ended, call.told[i].outcome = result.at, judged.Outcome.String()
		}
	}
	if result.answer.Response != nil && !shard.answered {
		shard.response, shard.mark = result.answer.Response, result.mark
	}
	if judged.Outcome == swbackend.Answered && !shard.answered {
		shard.answered = true
		call.answers++
	}
	actions, _, _ := call.gather.HandleAnswer(result.at, result.command.Attempt, result.command.Target.Server, judged)
	call.carryOut(result.at, actions)
}

// judge tells what the end of an attempt means for its shard, and lets the replica's record know.
func (call *call) judge(result attemptResult) swbackend.Answer {
	replica := result.replica
	switch result.answer.Outcome {
	case swreplica.NotSent:
		if result.relayed {
			replica.ObserveFailure(result.at)
		}
		return swbackend.Answer{Outcome: swbackend.Unreachable, Ran: swcode.RanNo, Code: swcode.NoReplica}
	case swreplica.Withdrawn:
		call.gateway.pace.observeWithdrawn(call.request.route.Name, result.at.Sub(result.answer.SentAt))
		return swbackend.Answer{Outcome: swbackend.Cancelled, Ran: swcode.RanUnknown, Code: swcode.DeadlineExceeded}
	case swreplica.Lost:
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Code: swcode.BackendFailed}
	case swreplica.Broken:
		replica.ObserveFailure(result.at)
		call.crashes = append(call.crashes, crash{replica: replica, at: result.at})
		return swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Code: swcode.BackendFailed, Crash: call.request.route.Gathered()}
	}
	response, mark := result.answer.Response, result.mark
	switch {
	case mark.OtherReplica:
		replica.Retire()
		return swbackend.Answer{Outcome: swbackend.Shed, Ran: swcode.RanNo, Code: swcode.NoReplica}
	case mark.NotRun:
		replica.ObserveShed(result.at)
		call.shed = true
		call.crowded = call.crowded || replica.Crowded()
		return swbackend.Answer{Outcome: swbackend.Shed, Ran: swcode.RanNo, Code: swcode.QueueFull}
	case call.acceptable(response, mark):
		call.gateway.observe(call.request, call.shards[result.command.Shard].service, replica, result.at, result.at.Sub(result.answer.SentAt))
		return swbackend.Answer{Outcome: swbackend.Answered, Ran: swcode.RanYes, Code: swcode.OK}
	}
	replica.ObserveFailure(result.at)
	return swbackend.Answer{Outcome: swbackend.Failed, Ran: swcode.RanYes, Code: swcode.BackendFailed}
}

// acceptable reports whether a response is an answer that the client may have. A replica's refusal of a request that goes
// to no other shard is one: another replica would say the same.
func (call *call) acceptable(response *swconn.Response, mark Mark) bool {
	if mark.Signature == "" || !plainBody(response.Header) {
		return false
	}
	if response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices {
		return true
	}
	return !call.request.route.Gathered() && response.Status < http.StatusInternalServerError
}

// plainBody reports whether the body is as the replica made it.
func plainBody(header http.Header) bool {
	encoding := header.Get("Content-Encoding")
	return encoding == "" || encoding == "identity"
}
