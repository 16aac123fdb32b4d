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
	// Encode returns the bytes of the request as of the moment at which they are sent. ok is false when it is too late to
	// send anything.
	Encode func(now time.Time) (data []byte, ok bool)
	// Accept tells whether a response answers the request.
	Accept func(response *swconn.Response) bool
	// Deadline ends the attempt.
	Deadline time.Time
	// Linger is how long an attempt that was withdrawn may still be answered before its connection closes, so that the
	// connection is kept and the replica's work is not cut.
	CancelGrace time.Duration
}

// Outcome is what became of an attempt.
type Outcome int

// The outcomes.
const (
	// Answered attempts have a response.
	Answered Outcome = 0
	// NotSent attempts left no byte on any connection.
	NotSent Outcome = 1
	// Broken attempts lost their connection before a whole response came, and may have run.
	Broken Outcome = 2
	// Withdrawn attempts were sent and given up by the sender; they may have run.
	Cancelled Outcome = 3
	// Lost attempts went through another VM that did not tell what became of them; they may have run.
	RelayFailed Outcome = 4
)

// Answer is the end of an attempt.
type Result struct {
	Outcome  Outcome
	Response *swconn.Response
	Err      error
	// SentAt is when the request left; the zero time when it did not.
	SentAt time.Time
}

var errTooLate = errors.New("too late to send")

// Reserve counts a request that Exchange is about to send, so that others which choose a replica meanwhile see it.
func (replica *Replica) Reserve() {
	replica.addWaiting(1)
}

// Exchange sends a request that was reserved to the replica and waits for the response, the end of ctx, or the deadline.
func (replica *Replica) Exchange(ctx context.Context, request *Request) Result {
	connection, err := replica.take(ctx)
	replica.addWaiting(-1)
	if err != nil {
		return Result{Outcome: NotSent, Err: err}
	}
	now := time.Now()
	data, ok := request.Encode(now)
	if !ok || ctx.Err() != nil {
		replica.give(connection)
		return Result{Outcome: NotSent, Err: errTooLate}
	}
	inFlightRequest := replica.AddInFlight(now)
	results, sent, err := connection.Send(request.Method, data, request.Deadline, request.Accept)
	if err != nil {
		inFlightRequest.End()
		connection.Close()
		if !sent {
			return Result{Outcome: NotSent, Err: err}
		}
		return Result{Outcome: Broken, Err: err, SentAt: now}
	}
	return replica.await(ctx, connection, request, results, inFlightRequest)
}

// await waits for the result of a request that was sent.
func (replica *Replica) await(ctx context.Context, connection *swconn.Connection, request *Request, results <-chan swconn.Result, inFlightRequest *InFlightRequest) Result {
	select {
	case result := <-results:
		return replica.conclude(connection, result, inFlightRequest)
	case <-ctx.Done():
	}
	if request.CancelGrace <= 0 {
		inFlightRequest.End()
		connection.Close()
		if now := time.Now(); now.Sub(inFlightRequest.sentAt) > silentLeast {
			replica.noteSilent(now, inFlightRequest.sentAt)
		}
		return Result{Outcome: Cancelled, Err: ctx.Err(), SentAt: inFlightRequest.sentAt}
	}
	replica.pool.config.Group.Go(func(poolCtx context.Context) {
		timer := time.NewTimer(request.CancelGrace)
		defer timer.Stop()
		select {
		case result := <-results:
			if result := replica.conclude(connection, result, inFlightRequest); result.Response != nil {
				now := time.Now()
				replica.ObserveLateResponse(now, result.Response.Status, now.Sub(inFlightRequest.sentAt))
			}
			return
		case <-timer.C:
		case <-poolCtx.Done():
		}
		inFlightRequest.End()
		connection.Close()
		replica.noteSilent(time.Now(), inFlightRequest.sentAt)
	})
	return Result{Outcome: Cancelled, Err: ctx.Err(), SentAt: inFlightRequest.sentAt}
}

// conclude takes the result of a request.
func (replica *Replica) conclude(connection *swconn.Connection, result swconn.Result, inFlightRequest *InFlightRequest) Result {
	inFlightRequest.End()
	if result.Err != nil {
		connection.Close()
		return Result{Outcome: Broken, Err: result.Err, SentAt: inFlightRequest.sentAt}
	}
	replica.give(connection)
	return Result{Outcome: Answered, Response: result.Response, SentAt: inFlightRequest.sentAt}
}

// Unreserve ends a reservation that no Exchange takes up.
func (replica *Replica) Unreserve() {
	replica.addWaiting(-1)
}

func (replica *Replica) addWaiting(count int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.waiting += count
}

// Flight is one request of this VM that the replica works on.
type InFlightRequest struct {
	replica *Replica
	sentAt  time.Time
}

// Begin counts a request as in flight from now on.
func (replica *Replica) AddInFlight(now time.Time) *InFlightRequest {
	inFlightRequest := &InFlightRequest{replica: replica, sentAt: now}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.inFlight[inFlightRequest] = struct{}{}
	return inFlightRequest
}

// End counts the request as in flight no longer.
func (inFlightRequest *InFlightRequest) End() {
	inFlightRequest.replica.mutex.Lock()
	defer inFlightRequest.replica.mutex.Unlock()
	delete(inFlightRequest.replica.inFlight, inFlightRequest)
}

// silentLeast is the least age of a withdrawn request that tells of a silent replica: longer than replicas commonly stand still.
const silentLeast = 250 * time.Millisecond

// noteSilent takes a request that was never answered. A replica that has answered nothing since is left alone until a trial
// reaches it.
func (replica *Replica) noteSilent(now, sentAt time.Time) {
	replica.ObserveFailure(now)
	if !replica.AnsweredSince(sentAt) {
		replica.noteDown()
	}
}
