package swbackend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// CancelPolicy selects how a request in flight is cancelled.
type CancelPolicy int

// The cancellation policies.
const (
	// CancelByRequest sends a cancel request over a spare connection and keeps the cancelled request's connection. If no
	// spare is idle, it closes the cancelled request's connection.
	CancelByRequest CancelPolicy = 0
	// CancelByClose closes the connection of the cancelled request.
	CancelByClose CancelPolicy = 1
)

// cancelTimeout bounds the wait for the answer to a cancelled request, after which its connection is closed.
const cancelTimeout = 100 * time.Millisecond

// cancelRequest is the body of POST /cancel.
type cancelRequest struct {
	QueryID string
	Attempt string
}

// cancelInFlight cancels a request in flight whose context has ended, and returns its answer. A request that missed its
// deadline is not cancelled at the server; its connection is closed.
func (server *server) cancelInFlight(ctx context.Context, connection *connection, subRequest *SubRequest) Answer {
	deadlineExceeded := ctx.Err() == context.DeadlineExceeded
	if deadlineExceeded || !server.cancelOverSpareConnection(connection, subRequest) {
		server.observe(CancelledByClose)
		connection.close()
		server.clearRequest(connection)
		server.openSpare()
	}
	answer := Answer{Outcome: Cancelled, Ran: swcode.RanUnknown, Code: swcode.CallerGone, Message: "cancelled at " + server.name}
	if deadlineExceeded {
		answer.Outcome = Late
		answer.Code = swcode.DeadlineExceeded
		answer.Message = server.name + " did not answer by the deadline"
	}
	if !subRequest.Idempotent() {
		answer.Code = swcode.OutcomeUnknown
	}
	return answer
}

// cancelOverSpareConnection cancels the request in the background and returns true if a spare connection is idle and
// another may be opened. The latter is required because the request's connection cannot be reused until the server has
// answered the cancelled request.
func (server *server) cancelOverSpareConnection(cancelled *connection, subRequest *SubRequest) bool {
	if server.pool.config.CancelPolicy != CancelByRequest {
		return false
	}
	server.mutex.Lock()
	var spare *connection
	if server.checkDialAllowed() == nil {
		spare = server.popIdle(false)
	}
	server.mutex.Unlock()
	if spare == nil {
		return false
	}
	body := cancelRequest{QueryID: formatID(subRequest.QueryID), Attempt: formatID(subRequest.Attempt)}
	server.pool.group.Go(func(ctx context.Context) {
		ctx, stop := context.WithTimeout(ctx, cancelTimeout)
		defer stop()
		if err := server.sendCancel(ctx, spare, &body); err != nil {
			cancelled.close()
		}
		server.awaitCancelled(ctx, cancelled)
	})
	return true
}

// sendCancel sends a cancel request over the spare connection and waits for its answer.
func (server *server) sendCancel(ctx context.Context, spare *connection, body *cancelRequest) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode cancel request")
	}
	message, err := encodeHTTP(http.MethodPost, "/cancel", server.name, data)
	if err != nil {
		return err
	}
	if _, err := spare.roundTrip(ctx, message); err != nil {
		return err
	}
	server.observe(CancelledByRequest)
	server.putIdle(spare)
	return nil
}

// awaitCancelled waits for the answer to the cancelled request and returns the connection to the idle ones. It closes the
// connection if no usable answer arrives.
func (server *server) awaitCancelled(ctx context.Context, connection *connection) {
	received, result := connection.await(ctx, 0)
	server.clearRequest(connection)
	if result != responseReceived || received.Err != nil || received.Response.Closes {
		connection.close()
		server.openSpare()
		return
	}
	if received.Response.Header.Get(leavingHeader) == "true" {
		server.setLeaving()
	}
	received.Response.Release()
	server.putIdle(connection)
}

// roundTrip sends a request and returns its response. It closes the connection on failure.
func (connection *connection) roundTrip(ctx context.Context, message []byte) (*swconn.Response, error) {
	deadline, _ := ctx.Deadline()
	if _, err := connection.send(message, deadline); err != nil {
		connection.close()
		return nil, errors.Wrap(err, "send")
	}
	received, result := connection.await(ctx, 0)
	if result != responseReceived || received.Err != nil || received.Response.Closes {
		connection.close()
		return nil, errors.New("no usable response on the connection")
	}
	return received.Response, nil
}
