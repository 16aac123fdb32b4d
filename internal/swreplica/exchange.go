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
	Linger time.Duration
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
	Withdrawn Outcome = 3
)

// Answer is the end of an attempt.
type Answer struct {
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
func (replica *Replica) Exchange(ctx context.Context, request *Request) Answer {
	connection, err := replica.take(ctx)
	replica.addWaiting(-1)
	if err != nil {
		return Answer{Outcome: NotSent, Err: err}
	}
	now := time.Now()
	data, ok := request.Encode(now)
	if !ok || ctx.Err() != nil {
		replica.give(connection)
		return Answer{Outcome: NotSent, Err: errTooLate}
	}
	replica.began(connection, now)
	results, sent, err := connection.Send(request.Method, data, request.Deadline, request.Accept)
	if err != nil {
		replica.finished(connection)
		connection.Close()
		if !sent {
			return Answer{Outcome: NotSent, Err: err}
		}
		return Answer{Outcome: Broken, Err: err, SentAt: now}
	}
	return replica.await(ctx, connection, request, results, now)
}

// await waits for the result of a request that was sent.
func (replica *Replica) await(ctx context.Context, connection *swconn.Connection, request *Request, results <-chan swconn.Result, sentAt time.Time) Answer {
	select {
	case result := <-results:
		return replica.conclude(connection, result, sentAt)
	case <-ctx.Done():
	}
	if request.Linger <= 0 {
		replica.finished(connection)
		connection.Close()
		return Answer{Outcome: Withdrawn, Err: ctx.Err(), SentAt: sentAt}
	}
	replica.pool.config.Group.Go(func(poolCtx context.Context) {
		timer := time.NewTimer(request.Linger)
		defer timer.Stop()
		select {
		case result := <-results:
			replica.conclude(connection, result, sentAt)
			return
		case <-timer.C:
		case <-poolCtx.Done():
		}
		replica.finished(connection)
		connection.Close()
		replica.noteSilent(time.Now(), sentAt)
	})
	return Answer{Outcome: Withdrawn, Err: ctx.Err(), SentAt: sentAt}
}

// conclude takes the result of a request.
func (replica *Replica) conclude(connection *swconn.Connection, result swconn.Result, sentAt time.Time) Answer {
	replica.finished(connection)
	if result.Err != nil {
		connection.Close()
		return Answer{Outcome: Broken, Err: result.Err, SentAt: sentAt}
	}
	replica.give(connection)
	return Answer{Outcome: Answered, Response: result.Response, SentAt: sentAt}
}

func (replica *Replica) addWaiting(count int) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.waiting += count
}

func (replica *Replica) began(connection *swconn.Connection, now time.Time) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.inFlight[connection] = now
}

func (replica *Replica) finished(connection *swconn.Connection) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	delete(replica.inFlight, connection)
}

// noteSilent takes a request that was never answered. A replica that has answered nothing since is left alone until a trial
// reaches it.
func (replica *Replica) noteSilent(now, sentAt time.Time) {
	replica.ObserveFailure(now)
	if !replica.AnsweredSince(sentAt) {
		replica.noteDown()
	}
}
