package swreplica

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

// Request is one attempt at a replica.
type Request struct {
	Method string
	// Encode returns the bytes to send at the given time. ok is false if the request must not be sent, such as too close to its
	// deadline.
	Encode func(now time.Time) (data []byte, ok bool)
	// Accept reports whether a response belongs to the request.
	Accept swconn.Accept
	// Deadline is when the attempt fails if it has no response.
	Deadline time.Time
	// AdmittedAt is when Admit admitted the request.
	AdmittedAt time.Time
	// Sendings are the earlier sendings of the client's request; nil if it is sent only once.
	Sendings *Sendings
	// CancelGrace is how long a cancelled attempt may still be answered before its connection is closed. An answer within that
	// time keeps the connection usable and does not interrupt the replica's work.
	CancelGrace time.Duration
	// Repeatable requests end as soon as this VM has lost its links to the replica. Others wait on for a response.
	Repeatable bool
}

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// Answered attempts have a response.
	Answered Outcome = 0
	// NotSent attempts sent no byte to the replica.
	NotSent Outcome = 1
	// Broken attempts lost their connection before the whole response arrived, and may have run.
	Broken Outcome = 2
	// Cancelled attempts were sent and then cancelled by the sender; they may have run.
	Cancelled Outcome = 3
	// RelayFailed attempts went through another VM that did not report their result; they may have run.
	RelayFailed Outcome = 4
	// Overlong attempts got more bytes than a response may have; they may have run. The replica has not crashed.
	Overlong Outcome = 5
	// LinksLost attempts were sent and then this VM lost its links to the replica's data centre; they may have run.
	LinksLost Outcome = 6
)

// Result is the outcome of an attempt with its response or error.
type Result struct {
	Outcome  Outcome
	Response *swconn.Response
	Err      error
	// SentAt is when the request was sent; the zero time if it was not. Connection is the number of the connection that carried it; zero if
	// it was not sent by this VM.
	SentAt     time.Time
	Connection uint64
	// Fault is what prevented the sending, if the outcome is NotSent.
	Fault Fault
	// RetryAfter is when an attempt that was not sent may be, for one that the replica's rate limit prevented or that it is cold; else zero.
	RetryAfter time.Duration
}

// readMargin is how long after the end of an attempt its response is no longer read. Attempts are cancelled before that; it bounds
// the reading of those for which the cancellation does not arrive, such as relayed ones.
const readMargin = 500 * time.Millisecond

var errNotSent = errors.New("not sent: the attempt was cancelled, its deadline is too close, or the replica is leaving")

var errCold = errors.New("not sent: the replica is cold and takes no more now")

// Reserve counts a request that Exchange is about to send, so that it counts in concurrent choices of a replica.
func (replica *Replica) Reserve() {
	replica.addReserved(1)
}

// Exchange sends a reserved request to the replica and waits for the response, for the end of ctx, or for the deadline.
func (replica *Replica) Exchange(ctx context.Context, request *Request) Result {
	connection, err := replica.acquireConnection(ctx, request.Sendings)
	replica.addReserved(-1)
	if err != nil {
		result := Result{Outcome: NotSent, Err: err}
		if ctx.Err() == nil {
			result.Fault = replica.faultOf(ctx, err)
		}
		return result
	}
	result := replica.send(ctx, connection, request)
	if result.Outcome != NotSent {
		result.Connection = connection.Number
	}
	return result
}

// send sends a request on a connection and waits for the result.
func (replica *Replica) send(ctx context.Context, connection *swconn.Connection, request *Request) Result {
	now := time.Now()
	data, ok := request.Encode(now)
	if !ok || ctx.Err() != nil {
		replica.releaseConnection(connection)
		return Result{Outcome: NotSent, Err: errNotSent}
	}
	if !replica.mayReachCold(now, request.AdmittedAt) {
		replica.releaseConnection(connection)
		return Result{Outcome: NotSent, Err: errCold, RetryAfter: max(time.Millisecond, replica.coldWait(now))}
	}
	request.Sendings.record(connection)
	inFlightRequest := replica.addInFlight(now)
	results, sent, err := connection.Send(&swconn.Request{
		Method: request.Method, Data: data, WriteBy: request.Deadline, ReadBy: request.Deadline.Add(request.CancelGrace + readMargin), Accept: request.Accept,
	})
	if err != nil {
		inFlightRequest.End()
		connection.Close()
		replica.observeUnanswered()
		if !sent {
			return Result{Outcome: NotSent, Err: err, Fault: replica.faultOf(ctx, err)}
		}
		return Result{Outcome: Broken, Err: err, SentAt: now}
	}
	return replica.awaitResult(ctx, connection, request, results, inFlightRequest)
}

// awaitResult waits for the result of a request that was sent.
func (replica *Replica) awaitResult(ctx context.Context, connection *swconn.Connection, request *Request,
	results <-chan swconn.Result, inFlightRequest *InFlightRequest,
) Result {
	linksLost := replica.place.links.Load().answering.Done()
	if !request.Repeatable {
		linksLost = nil
	}
	select {
	case result := <-results:
		return replica.finish(connection, result, inFlightRequest)
	case <-linksLost:
		inFlightRequest.End()
		connection.Close()
		return Result{Outcome: LinksLost, Err: errLinksLost, SentAt: inFlightRequest.sentAt}
	case <-ctx.Done():
	}
	if request.CancelGrace <= 0 {
		inFlightRequest.End()
		connection.Close()
		if now := time.Now(); now.Sub(inFlightRequest.sentAt) > minUnresponsiveAge {
			replica.recordUnresponsive(now, inFlightRequest.sentAt)
		}
		return Result{Outcome: Cancelled, Err: ctx.Err(), SentAt: inFlightRequest.sentAt}
	}
	replica.pool.config.Group.Go(func(poolCtx context.Context) {
		timer := time.NewTimer(request.CancelGrace)
		defer timer.Stop()
		select {
		case result := <-results:
			if result := replica.finish(connection, result, inFlightRequest); result.Response != nil {
				now := time.Now()
				replica.ObserveLateResponse(now, result.Response.Status, now.Sub(inFlightRequest.sentAt))
				result.Response.Release()
			}
			return
		case <-timer.C:
		case <-poolCtx.Done():
		}
		inFlightRequest.End()
		connection.Close()
		replica.recordUnresponsive(time.Now(), inFlightRequest.sentAt)
	})
	return Result{Outcome: Cancelled, Err: ctx.Err(), SentAt: inFlightRequest.sentAt}
}

// finish releases or closes the connection and returns the result of the request.
func (replica *Replica) finish(connection *swconn.Connection, result swconn.Result, inFlightRequest *InFlightRequest) Result {
	inFlightRequest.End()
	if result.Err != nil {
		connection.Close()
		outcome := Broken
		if swconn.ExceedsLimit(result.Err) {
			outcome = Overlong
		} else {
			replica.observeUnanswered()
			if !replica.place.mayConnect() {
				outcome = LinksLost
			}
		}
		return Result{Outcome: outcome, Err: result.Err, SentAt: inFlightRequest.sentAt}
	}
	replica.releaseConnection(connection)
	return Result{Outcome: Answered, Response: result.Response, SentAt: inFlightRequest.sentAt}
}

// Unreserve cancels a reservation for which Exchange is not called.
func (replica *Replica) Unreserve() {
	replica.addReserved(-1)
}

// BeginPlain counts a plain request, which needs an answer of this replica's service alone, unlike a part of a search. It counts until
// end is called.
func (replica *Replica) BeginPlain() (end func()) {
	replica.addPlain(1)
	return func() { replica.addPlain(-1) }
}

func (replica *Replica) addPlain(count int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.plainInFlight += count
}

func (replica *Replica) addReserved(count int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.reserved += count
}

// InFlightRequest is one request of this VM that the replica has not answered yet.
type InFlightRequest struct {
	replica *Replica
	sentAt  time.Time
	// relayed is set if another VM sends the request to the replica.
	relayed bool
}

// addInFlight counts a request that this VM sends as in flight until its End.
func (replica *Replica) addInFlight(now time.Time) *InFlightRequest {
	inFlightRequest := &InFlightRequest{replica: replica, sentAt: now}
	inFlightRequest.begin()
	replica.place.beginSending()
	return inFlightRequest
}

// AddRelayed counts a request that another VM sends as in flight until its End.
func (replica *Replica) AddRelayed(now time.Time) *InFlightRequest {
	inFlightRequest := &InFlightRequest{replica: replica, sentAt: now, relayed: true}
	inFlightRequest.begin()
	return inFlightRequest
}

func (inFlightRequest *InFlightRequest) begin() {
	inFlightRequest.replica.mutex.Lock()
	defer inFlightRequest.replica.mutex.Unlock()
	inFlightRequest.replica.inFlight[inFlightRequest] = struct{}{}
}

// End removes the request from those in flight.
func (inFlightRequest *InFlightRequest) End() {
	inFlightRequest.replica.mutex.Lock()
	_, open := inFlightRequest.replica.inFlight[inFlightRequest]
	delete(inFlightRequest.replica.inFlight, inFlightRequest)
	inFlightRequest.replica.mutex.Unlock()
	if open && !inFlightRequest.relayed {
		inFlightRequest.replica.place.endSending()
	}
}

// minUnresponsiveAge is the minimum age of a cancelled request that counts as evidence of an unresponsive replica. It is longer
// than replicas commonly stall.
const minUnresponsiveAge = 250 * time.Millisecond

// recordUnresponsive records a request that was never answered. A replica that has answered nothing since the request was sent
// receives no more requests until a probe succeeds.
func (replica *Replica) recordUnresponsive(now, sentAt time.Time) {
	replica.RecordFailure(now, func(now time.Time) {
		replica.ObserveFailure(now)
		if !replica.AnsweredSince(sentAt) {
			replica.markDown()
		}
	})
}
