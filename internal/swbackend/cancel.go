package swbackend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// CancelPolicy is the way in which a request in flight is withdrawn.
type CancelPolicy int

// The policies.
const (
	// CancelByRequest asks the server over a spare connection and keeps the request's connection. Without a spare the
	// request's connection is closed.
	CancelByRequest CancelPolicy = 0
	// CancelByClose closes the request's connection.
	CancelByClose CancelPolicy = 1
)

// cancelTimeout bounds the wait for the answer to a withdrawn request, after which its connection is closed.
const cancelTimeout = 100 * time.Millisecond

// cancelRequest is the body of POST /cancel.
type cancelRequest struct {
	QueryID string
	Attempt string
}

// withdraw gives up a request in flight whose context ended.
func (server *server) withdraw(ctx context.Context, connection *connection, subRequest *SubRequest) Answer {
	late := ctx.Err() == context.DeadlineExceeded
	if late || !server.cancelOverSpare(connection, subRequest) {
		server.event(CancelledByClose)
		connection.close()
		server.finished(connection)
		server.warm()
	}
	answer := Answer{Outcome: Cancelled, Ran: swcode.RanUnknown, Code: swcode.CallerGone, Message: "withdrawn from " + server.name}
	if late {
		answer.Outcome = Late
		answer.Code = swcode.DeadlineExceeded
		answer.Message = server.name + " did not answer by the deadline"
	}
	if !subRequest.Idempotent() {
		answer.Code = swcode.OutcomeUnknown
	}
	return answer
}

// cancelOverSpare withdraws the request in the background when a spare connection is at hand and there is room for
// another, since the request's connection serves again only once the server has answered the withdrawn request.
func (server *server) cancelOverSpare(busy *connection, subRequest *SubRequest) bool {
	if server.pool.config.CancelPolicy != CancelByRequest {
		return false
	}
	server.mutex.Lock()
	var spare *connection
	if server.mayDial() == nil {
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
			busy.close()
		}
		server.drain(ctx, busy)
	})
	return true
}

// sendCancel makes the exchange that withdraws a request.
func (server *server) sendCancel(ctx context.Context, spare *connection, body *cancelRequest) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode cancel")
	}
	message, err := encodeHTTP(http.MethodPost, "/cancel", server.name, data)
	if err != nil {
		return err
	}
	if _, err := spare.call(ctx, message); err != nil {
		return err
	}
	server.event(CancelledByRequest)
	server.give(spare)
	return nil
}

// drain waits for the answer to the withdrawn request and then keeps the connection, or closes it.
func (server *server) drain(ctx context.Context, connection *connection) {
	response, verdict := connection.await(ctx, 0)
	server.finished(connection)
	if verdict != arrived || response.err != nil || response.close {
		connection.close()
		server.warm()
		return
	}
	if response.header.Get(leavingHeader) == "true" {
		server.setLeaving()
	}
	server.give(connection)
}

// call makes one exchange. It closes the connection on failure.
func (connection *connection) call(ctx context.Context, message []byte) (response, error) {
	deadline, _ := ctx.Deadline()
	if _, err := connection.send(message, deadline); err != nil {
		connection.close()
		return response{}, errors.Wrap(err, "send")
	}
	answer, verdict := connection.await(ctx, 0)
	if verdict != arrived || answer.err != nil || answer.close {
		connection.close()
		return response{}, errors.New("connection does not answer")
	}
	return answer, nil
}
