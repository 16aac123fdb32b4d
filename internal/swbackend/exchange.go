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

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// leavingHeader marks answers of a server that takes no new work.
const leavingHeader = "Sw-Leaving"

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

// searchResponse is the body of any answer to searchRequest.
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

// encodeRequest returns the HTTP request that carries the sub-request.
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

// requestHeader is the header of every request. It is never changed.
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

// requestHeadSize is the space kept for a request's first line and header, in bytes.
const requestHeadSize = 256

// formatID returns the ID as sixteen hexadecimal digits.
func formatID(id uint64) string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], id)
	var text [16]byte
	hex.Encode(text[:], raw[:])
	return string(text[:])
}

// echoes reports whether the response belongs to the sub-request.
func (body *searchResponse) echoes(subRequest *SubRequest) bool {
	queryID, err := strconv.ParseUint(body.QueryID, 16, 64)
	if err != nil || queryID != subRequest.QueryID {
		return false
	}
	attempt, err := strconv.ParseUint(body.Attempt, 16, 64)
	if err != nil || attempt != subRequest.Attempt {
		return false
	}
	return body.Snapshot == subRequest.Snapshot && body.Shard == subRequest.Shard
}

// run sends the sub-request, which holds a slot, and returns what came of it.
func (server *server) run(ctx context.Context, subRequest *SubRequest) Answer {
	connection, answer := server.ready(ctx, subRequest)
	if connection == nil {
		return answer
	}
	patience := time.Duration(0)
	if subRequest.Idempotent() {
		patience = server.patience(subRequest)
	}
	answer, silent := server.exchange(ctx, connection, subRequest, patience)
	refused := answer.Outcome == Broken && !answer.Crash && !connection.proven.Load()
	if !subRequest.Idempotent() || !silent && !refused {
		return answer
	}
	return server.again(ctx, subRequest, answer, refused)
}

// again sends an idempotent sub-request once more after its connection was silent or refused. On a server that refuses
// connections only one that works will do.
func (server *server) again(ctx context.Context, subRequest *SubRequest, first Answer, refused bool) Answer {
	connection, err := server.take(ctx, refused)
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

// ready returns a connection to send the sub-request on, or the answer to give when there is none. Work that must not
// run twice goes only on a connection that the server has answered on, so that a connection that the server refuses
// never leaves its outcome in doubt.
func (server *server) ready(ctx context.Context, subRequest *SubRequest) (*connection, Answer) {
	connection, err := server.take(ctx, !subRequest.Idempotent())
	if err == nil && !subRequest.Idempotent() && !connection.proven.Load() {
		err = server.prove(ctx, connection)
	}
	if err == nil {
		return connection, Answer{}
	}
	if ctx.Err() != nil {
		return nil, server.refusalAnswer(contextError(ctx))
	}
	return nil, server.unreachableAnswer(err)
}

func contextError(ctx context.Context) *swcode.Error {
	code := swcode.CallerGone
	if ctx.Err() == context.DeadlineExceeded {
		code = swcode.CannotMeet
	}
	return &swcode.Error{Code: code, Message: "before anything was sent"}
}

// exchange sends the sub-request on the connection and waits for the answer. A patience other than zero bounds the wait
// for the first byte; silent tells that it passed.
func (server *server) exchange(ctx context.Context, connection *connection, subRequest *SubRequest, patience time.Duration) (answer Answer, silent bool) {
	start := time.Now()
	data, err := encodeRequest(subRequest, server.name, time.Until(subRequest.Deadline))
	if err != nil {
		server.give(connection)
		return Answer{Outcome: Failed, Code: swcode.Internal, Message: err.Error()}, false
	}
	server.began(connection, subRequest)
	sent, err := connection.send(data, subRequest.Deadline)
	if err != nil {
		connection.close()
		server.tooMany(connection)
		return server.broken(connection, subRequest, sent, err), false
	}
	response, verdict := connection.await(ctx, patience)
	service := time.Since(start)
	switch verdict {
	case arrived:
		answer = server.classify(connection, subRequest, &response, service)
	case withdrawn:
		answer = server.withdraw(ctx, connection, subRequest)
	case quiet:
		server.event(ConnectionUnresponsive)
		connection.close()
		server.finished(connection)
		server.observeLatency(subRequest.Kind, service)
		server.distrust(start)
		answer, silent = server.broken(connection, subRequest, true, errors.New("connection is silent")), true
	}
	answer.Service = service
	return answer, silent
}

// verdict tells why the wait for a response ended.
type verdict int

const (
	arrived   verdict = 0
	withdrawn verdict = 1
	quiet     verdict = 2
)

// await waits for the response, the end of ctx, or for patience to pass with nothing read.
func (connection *connection) await(ctx context.Context, patience time.Duration) (response, verdict) {
	var expired <-chan time.Time
	if patience > 0 {
		timer := time.NewTimer(patience)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case response := <-connection.answers:
			return response, arrived
		case <-ctx.Done():
			return response{}, withdrawn
		case <-expired:
			if !connection.heard.Load() {
				return response{}, quiet
			}
			expired = nil
		}
	}
}

// broken returns the answer to a request whose connection failed.
func (server *server) broken(connection *connection, subRequest *SubRequest, sent bool, err error) Answer {
	server.finished(connection)
	if !sent {
		return server.unreachableAnswer(err)
	}
	answer := Answer{Outcome: Broken, Ran: swcode.RanUnknown, Code: swcode.BackendFailed, Message: server.name + ": " + err.Error()}
	if !subRequest.Idempotent() {
		answer.Code = swcode.OutcomeUnknown
	}
	return answer
}

// classify turns a response, or the end of the connection, into an answer.
func (server *server) classify(connection *connection, subRequest *SubRequest, response *response, service time.Duration) Answer {
	if response.err != nil {
		answer := server.broken(connection, subRequest, true, response.err)
		answer.Crash, answer.InFlight = server.died(connection)
		return answer
	}
	server.finished(connection)
	if response.header.Get(leavingHeader) == "true" {
		server.setLeaving()
	}
	answer, reusable := server.decode(subRequest, response)
	if !reusable {
		connection.close()
		return answer
	}
	if answer.Outcome == Answered {
		server.observeLatency(subRequest.Kind, service)
	}
	if response.close {
		connection.close()
	} else {
		server.give(connection)
	}
	return answer
}

// decode reads the body of a response. reusable is false when the connection cannot be trusted any more.
func (server *server) decode(subRequest *SubRequest, response *response) (answer Answer, reusable bool) {
	var body searchResponse
	if err := json.Unmarshal(response.body, &body); err != nil {
		return server.failure(subRequest, Failed, "decode answer: "+err.Error()), false
	}
	switch response.status {
	case http.StatusOK:
		if !body.echoes(subRequest) {
			server.event(ResponseMismatched)
			return server.failure(subRequest, Broken, "answer to another request"), false
		}
		for i := range body.Hits {
			body.Hits[i].Shard = subRequest.Shard
		}
		return Answer{Outcome: Answered, Ran: swcode.RanYes, Code: swcode.OK, Hits: body.Hits, Counts: body.Counts}, true
	case http.StatusConflict:
		return Answer{Outcome: SnapshotNotHeld, Code: swcode.SnapshotUnavailable, Message: server.name + " does not hold the snapshot"}, true
	case http.StatusServiceUnavailable:
		if body.Code == "Leaving" {
			server.setLeaving()
			return server.leavingAnswer(), true
		}
		return Answer{Outcome: Shed, Code: swcode.QueueFull, Message: server.name + " sheds"}, true
	case http.StatusGatewayTimeout:
		answer = server.failure(subRequest, Late, "gave up at the deadline")
		if subRequest.Idempotent() {
			answer.Code = swcode.DeadlineExceeded
		}
		return answer, true
	default:
		return server.failure(subRequest, Failed, fmt.Sprintf("status %d %s %s", response.status, body.Code, body.Message)), true
	}
}

// failure returns an answer to a request that may have run.
func (server *server) failure(subRequest *SubRequest, outcome Outcome, message string) Answer {
	answer := Answer{Outcome: outcome, Ran: swcode.RanUnknown, Code: swcode.BackendFailed, Message: server.name + ": " + message}
	if !subRequest.Idempotent() {
		answer.Code = swcode.OutcomeUnknown
	}
	return answer
}
