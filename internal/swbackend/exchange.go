package swbackend

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// leavingHeader is set in responses of a server that accepts no new work.
const leavingHeader = "Sw-Leaving"

// The codes by which a server states that it has not run a request. A status alone does not state it: a failed request, or something
// between this VM and the server, may cause it as well.
const (
	codeShed            = "Shed"
	codeLeaving         = "Leaving"
	codeSnapshotNotHeld = "SnapshotNotHeld"
)

// searchRequest is the body of POST /search and POST /run.
type searchRequest struct {
	QueryID  string
	Attempt  string
	Index    string
	Snapshot string
	Shard    int
	Kind     string
	Query    string
	Limit    int
	Timeout  string
	RunKey   string `json:",omitempty"`
	Caller   string
}

// searchResponse is the body of any response to a searchRequest, including errors.
type searchResponse struct {
	QueryID  string
	Attempt  string
	Snapshot string
	Shard    int
	Hits     []Hit
	Counts   map[string]int64
	Code     string
	Message  string
}

// encodeRequest encodes the sub-request as an HTTP request. remaining is the time left until its deadline.
func encodeRequest(subRequest *SubRequest, host string, remaining time.Duration) ([]byte, error) {
	body, err := json.Marshal(searchRequest{
		QueryID:  formatID(subRequest.QueryID),
		Attempt:  formatID(subRequest.Attempt),
		Index:    subRequest.Index,
		Snapshot: subRequest.Snapshot,
		Shard:    subRequest.Shard,
		Kind:     subRequest.Kind,
		Query:    subRequest.Query,
		Limit:    subRequest.Limit,
		Timeout:  remaining.String(),
		RunKey:   subRequest.RunKey,
		Caller:   subRequest.Caller,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode sub-request")
	}
	path := "/search"
	if !subRequest.Idempotent() {
		path = "/run"
	}
	return encodeHTTP(http.MethodPost, path, host, body)
}

// requestHeader is the header of every request. It is shared and must not be modified.
var requestHeader = http.Header{"Content-Type": {"application/json"}, "User-Agent": {""}}

func encodeHTTP(method, path, host string, body []byte) ([]byte, error) {
	request := http.Request{
		Method:        method,
		URL:           &url.URL{Scheme: "http", Host: host, Path: path},
		Header:        requestHeader,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	if len(body) == 0 {
		request.Body = nil
	}
	buffer := bytes.NewBuffer(make([]byte, 0, len(body)+requestHeadSize))
	if err := request.Write(buffer); err != nil {
		return nil, errors.Wrap(err, "write request")
	}
	return buffer.Bytes(), nil
}

// requestHeadSize is the buffer space reserved for a request line and header, in bytes.
const requestHeadSize = 256

// formatID formats the ID as sixteen hexadecimal digits.
func formatID(id uint64) string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], id)
	var text [16]byte
	hex.Encode(text[:], raw[:])
	return string(text[:])
}

// matches reports whether the response echoes the identity of the sub-request with its snapshot and shard.
func (searchResponse *searchResponse) matches(subRequest *SubRequest) bool {
	return searchResponse.answers(subRequest) && searchResponse.Snapshot == subRequest.Snapshot && searchResponse.Shard == subRequest.Shard
}

// answers reports whether the response echoes the query and the attempt of the sub-request.
func (searchResponse *searchResponse) answers(subRequest *SubRequest) bool {
	queryID, err := strconv.ParseUint(searchResponse.QueryID, 16, 64)
	if err != nil || queryID != subRequest.QueryID {
		return false
	}
	attempt, err := strconv.ParseUint(searchResponse.Attempt, 16, 64)
	return err == nil && attempt == subRequest.Attempt
}

// mayAnswer reports whether an error response may be the one to the sub-request. One without any identity may come from a server of an
// older protocol. It is accepted for idempotent work alone, where a wrong "not run" costs no more than a repeat.
func (searchResponse *searchResponse) mayAnswer(subRequest *SubRequest) bool {
	if searchResponse.QueryID == "" && searchResponse.Attempt == "" {
		return subRequest.Idempotent()
	}
	return searchResponse.answers(subRequest)
}

// execute sends a sub-request that holds a slot and returns its answer.
func (server *server) execute(ctx context.Context, subRequest *SubRequest) Answer {
	connection, answer := server.connectionFor(ctx, subRequest)
	if connection == nil {
		return answer
	}
	responseTimeout := time.Duration(0)
	if subRequest.Idempotent() {
		responseTimeout = server.responseTimeout(subRequest)
	}
	answer, unresponsive := server.exchange(ctx, connection, subRequest, responseTimeout)
	refused := answer.Outcome == Broken && !answer.Crash && !connection.hasAnswered.Load()
	if !subRequest.Idempotent() || !unresponsive && !refused {
		return answer
	}
	return server.resend(ctx, subRequest, answer, refused)
}

// resend sends an idempotent sub-request once more after its connection was unresponsive or refused. If it was refused,
// resend prefers a connection on which the server has answered.
func (server *server) resend(ctx context.Context, subRequest *SubRequest, first Answer, refused bool) Answer {
	connection, err := server.acquireConnection(ctx, refused)
	if err != nil {
		first.Message += ": " + err.Error()
		return first
	}
	answer, _ := server.exchange(ctx, connection, subRequest, 0)
	if answer.Ran == swcode.RanNo {
		// The first request may have run.
		answer.Ran = swcode.RanUnknown
	}
	return answer
}

// connectionFor returns a connection for the sub-request, or the answer to return if there is none. Non-idempotent work is
// sent only on a connection on which the server has answered, because a connection that the server refuses would leave the
// outcome unknown.
func (server *server) connectionFor(ctx context.Context, subRequest *SubRequest) (*connection, Answer) {
	connection, err := server.acquireConnection(ctx, !subRequest.Idempotent())
	if err == nil && !subRequest.Idempotent() && !connection.hasAnswered.Load() {
		err = server.verifyConnection(ctx, connection)
	}
	if err == nil {
		return connection, Answer{}
	}
	if ctx.Err() != nil {
		return nil, server.refusalAnswer(contextError(ctx))
	}
	return nil, server.unreachableAnswer(err)
}

// contextError returns the refusal of a request whose context ended before it was sent.
func contextError(ctx context.Context) *swcode.Error {
	code := swcode.CallerGone
	if ctx.Err() == context.DeadlineExceeded {
		code = swcode.CannotMeet
	}
	return &swcode.Error{Code: code, Ran: swcode.RanNo, Message: "the request ended before it was sent"}
}

// exchange sends the sub-request on the connection and waits for the answer. A responseTimeout other than zero bounds the
// wait for the first byte; unresponsive reports whether it expired.
func (server *server) exchange(ctx context.Context, connection *connection, subRequest *SubRequest, responseTimeout time.Duration) (answer Answer, unresponsive bool) {
	start := time.Now()
	data, err := encodeRequest(subRequest, server.name, time.Until(subRequest.Deadline))
	if err != nil {
		server.putIdle(connection)
		return Answer{Outcome: Failed, Ran: swcode.RanNo, Code: swcode.Internal, Message: err.Error()}, false
	}
	server.setRequest(connection, subRequest)
	sent, err := connection.send(data, subRequest.Deadline)
	if err != nil {
		connection.close()
		server.lowerLimitIfRefused(connection)
		return server.brokenAnswer(connection, subRequest, sent, err), false
	}
	received, result := connection.await(ctx, responseTimeout)
	service := time.Since(start)
	switch result {
	case responseReceived:
		answer = server.classify(connection, subRequest, received, service)
	case contextEnded:
		answer = server.cancelInFlight(ctx, connection, subRequest)
	case responseOverdue:
		server.observe(ConnectionUnresponsive)
		connection.close()
		server.clearRequest(connection)
		server.observeLatency(subRequest.Kind, service)
		server.closeSuspects(start)
		answer, unresponsive = server.brokenAnswer(connection, subRequest, true, errors.New("the connection is unresponsive")), true
	}
	answer.Service = service
	return answer, unresponsive
}

// awaitResult is the reason why the wait for a response ended.
type awaitResult int

const (
	responseReceived awaitResult = 0
	contextEnded     awaitResult = 1
	responseOverdue  awaitResult = 2
)

// await waits for the response, for the end of ctx, or until responseTimeout passes with nothing read. A responseTimeout
// of zero means none.
func (connection *connection) await(ctx context.Context, responseTimeout time.Duration) (swconn.Result, awaitResult) {
	var expired <-chan time.Time
	if responseTimeout > 0 {
		timer := time.NewTimer(responseTimeout)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case received := <-connection.answers:
			return received, responseReceived
		case <-ctx.Done():
			return swconn.Result{}, contextEnded
		case <-expired:
			if !connection.responseStarted.Load() {
				return swconn.Result{}, responseOverdue
			}
			expired = nil
		}
	}
}

// brokenAnswer returns the answer to a request whose connection failed.
func (server *server) brokenAnswer(connection *connection, subRequest *SubRequest, sent bool, err error) Answer {
	server.clearRequest(connection)
	if !sent {
		return server.unreachableAnswer(err)
	}
	answer := Answer{Outcome: Broken, Ran: swcode.RanUnknown, Code: swcode.BackendFailed, Message: server.name + ": " + err.Error()}
	if !subRequest.Idempotent() {
		answer.Code = swcode.OutcomeUnknown
	}
	return answer
}

// classify turns a response, or the error that ended the connection, into an answer. It then reuses or closes the
// connection.
func (server *server) classify(connection *connection, subRequest *SubRequest, received swconn.Result, service time.Duration) Answer {
	response := received.Response
	if response == nil {
		answer := server.brokenAnswer(connection, subRequest, true, received.Err)
		// A server that sends too much is no evidence of a request that crashes servers.
		if !swconn.ExceedsLimit(received.Err) {
			answer.Crash, answer.InFlight = server.recordLoss(connection)
		}
		return answer
	}
	server.clearRequest(connection)
	if response.Header.Get(leavingHeader) == "true" {
		server.setLeaving()
	}
	answer, reusable := server.decodeResponse(subRequest, response)
	response.Release()
	if !reusable {
		connection.close()
		return answer
	}
	if answer.Outcome == Answered {
		server.observeLatency(subRequest.Kind, service)
	}
	if response.Closes {
		connection.close()
	} else {
		server.putIdle(connection)
	}
	return answer
}

// decodeResponse turns a response into an answer. reusable reports whether the connection may carry another request.
func (server *server) decodeResponse(subRequest *SubRequest, response *swconn.Response) (answer Answer, reusable bool) {
	var body searchResponse
	if err := json.Unmarshal(response.Body, &body); err != nil {
		return server.failureAnswer(subRequest, Failed, "decode answer: "+err.Error()), false
	}
	if response.Status == http.StatusOK && !body.matches(subRequest) || response.Status != http.StatusOK && !body.mayAnswer(subRequest) {
		server.observe(ResponseMismatched)
		return server.failureAnswer(subRequest, Broken, "response to another request"), false
	}
	switch {
	case response.Status == http.StatusOK:
		for i := range body.Hits {
			body.Hits[i].Shard = subRequest.Shard
		}
		return Answer{Outcome: Answered, Ran: swcode.RanYes, Code: swcode.OK, Hits: body.Hits, Counts: body.Counts}, true
	case response.Status == http.StatusConflict && body.Code == codeSnapshotNotHeld:
		return Answer{Outcome: SnapshotNotHeld, Ran: swcode.RanNo, Code: swcode.SnapshotUnavailable, Message: server.name + " does not hold the snapshot"}, true
	case response.Status == http.StatusServiceUnavailable && body.Code == codeLeaving:
		server.setLeaving()
		return server.leavingAnswer(), true
	case response.Status == http.StatusServiceUnavailable && body.Code == codeShed:
		server.holdOff(swconn.RetryAfter(response.Header))
		return Answer{Outcome: Shed, Ran: swcode.RanNo, Code: swcode.QueueFull, Message: server.name + " sheds load"}, true
	case response.Status == http.StatusGatewayTimeout:
		answer = server.failureAnswer(subRequest, Late, "did not finish by the deadline")
		if subRequest.Idempotent() {
			answer.Code = swcode.DeadlineExceeded
		}
		return answer, true
	default:
		return server.failureAnswer(subRequest, Failed, fmt.Sprintf("status %d %s %s", response.Status, body.Code, body.Message)), true
	}
}

// failureAnswer returns the answer to a request that may have run and failed.
func (server *server) failureAnswer(subRequest *SubRequest, outcome Outcome, message string) Answer {
	answer := Answer{Outcome: outcome, Ran: swcode.RanUnknown, Code: swcode.BackendFailed, Message: server.name + ": " + message}
	if !subRequest.Idempotent() {
		answer.Code = swcode.OutcomeUnknown
	}
	return answer
}
