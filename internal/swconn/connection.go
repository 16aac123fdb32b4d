// Package swconn sends HTTP/1.1 requests on one connection to a backend server and reads the responses. Unlike net/http, it never
// resends a request, and it reports whether any byte of a request may have been sent, so that callers know whether a retry is
// safe.
package swconn

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxMismatches bounds the responses that do not answer the outstanding request. A server that sends more is faulty.
const maxMismatches = 8

// Errors that Hooks.OnClose and Result report for the end of a connection.
var (
	// ErrAnnouncedClose means that the server announced in its last response that it closes the connection.
	ErrAnnouncedClose = errors.New("the server announced that it closes the connection")
	// ErrUnsolicited means that the server sent data while no request was outstanding.
	ErrUnsolicited = errors.New("the server sent data that no request asked for")
	// ErrClosed means that this side closed the connection, or that the time to read a response has passed.
	ErrClosed = errors.New("connection closed by this side")
)

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Closes reports whether the server closes the connection after the response.
	Closes bool
	// held is what the response counts towards Limits.Memory; nil if nothing.
	held *heldBytes
}

// Result is the result of a request: a response, or the error that ended the connection before the response was complete.
type Result struct {
	Response *Response
	Err      error
}

// Hooks are called with events of a connection. They must not block.
type Hooks struct {
	// OnClose is called once, when ReadLoop returns. err is ErrAnnouncedClose if the server announced the close.
	OnClose func(connection *Connection, err error)
	// OnHeader is called with the status and the header of each response, before its body is read. matched is false for a response that
	// does not answer the outstanding request, such as a late copy of an earlier one. It may be nil.
	OnHeader func(connection *Connection, status int, header http.Header, matched bool)
	// OnMismatch is called for each response that does not answer the outstanding request. It may be nil.
	OnMismatch func(connection *Connection)
}

// Connection is an open connection. One goroutine runs ReadLoop, which also detects a close or unsolicited data while the
// connection is idle. At most one other goroutine at a time may send requests.
type Connection struct {
	conn   net.Conn
	reader *Reader
	hooks  Hooks

	results chan Result
	mutex   sync.Mutex
	// accept reports whether a response answers the outstanding request. It is nil while no request is outstanding.
	accept Accept
	method string
	// matched is set if the response that is being read answers the outstanding request. Only ReadLoop uses it.
	matched bool

	// hasResponded is set after the first response.
	hasResponded atomic.Bool
	// unusable is set once no further request may be sent.
	unusable atomic.Bool
	closed   atomic.Bool
	// keepAliveTimeout is the timeout of the server's Keep-Alive header, in nanoseconds, or zero if it sent none.
	keepAliveTimeout atomic.Int64
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time
	// IdleSince is the time at which the owner last returned the connection to its idle connections. Only the owner uses it.
	IdleSince time.Time
	// Number tells the connections of an owner apart in its log; zero if the owner does not number them.
	Number uint64
}

// New returns a Connection over an open network connection. The owner must run ReadLoop in a separate goroutine.
func New(conn net.Conn, limits Limits, hooks Hooks) *Connection {
	now := time.Now()
	connection := &Connection{
		conn:      conn,
		reader:    NewReader(conn, limits),
		hooks:     hooks,
		results:   make(chan Result, 1),
		OpenedAt:  now,
		IdleSince: now,
	}
	connection.reader.onHeader = connection.matchHeader
	return connection
}

// HasResponded reports whether the server has responded on the connection. Before that, the server may not have accepted it: the
// operating system completes the handshake.
func (connection *Connection) HasResponded() bool {
	return connection.hasResponded.Load()
}

// Usable reports whether another request may be sent.
func (connection *Connection) Usable() bool {
	return !connection.unusable.Load() && !connection.closed.Load()
}

// KeepAliveTimeout returns how long the server keeps the connection open while it is idle, or zero if the server did not say.
func (connection *Connection) KeepAliveTimeout() time.Duration {
	return time.Duration(connection.keepAliveTimeout.Load())
}

// ReadLoop reads responses until the connection ends.
func (connection *Connection) ReadLoop(context.Context) {
	err := connection.readResponses()
	connection.unusable.Store(true)
	connection.conn.Close()
	if connection.closed.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrClosed
	}
	if connection.clearPending() {
		connection.results <- Result{Err: err}
	}
	connection.hooks.OnClose(connection, err)
}

// clearPending marks the outstanding request as finished, and reports whether there was one.
func (connection *Connection) clearPending() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	pending := connection.accept != nil
	connection.accept = nil
	return pending
}

// pendingRequest returns the accept function and the method of the outstanding request. accept is nil if there is none.
func (connection *Connection) pendingRequest() (accept Accept, method string) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.accept, connection.method
}

// matchHeader determines whether the response that begins answers the outstanding request.
func (connection *Connection) matchHeader(status int, header http.Header) {
	accept, _ := connection.pendingRequest()
	connection.matched = accept != nil && accept(status, header)
	if connection.hooks.OnHeader != nil {
		connection.hooks.OnHeader(connection, status, header, connection.matched)
	}
}

func (connection *Connection) readResponses() error {
	mismatches := 0
	for {
		if err := connection.reader.WaitForData(); err != nil {
			return err
		}
		accept, method := connection.pendingRequest()
		if accept == nil {
			return ErrUnsolicited
		}
		response, err := connection.reader.ReadResponse(method)
		if err != nil {
			return err
		}
		connection.recordKeepAliveTimeout(response.Header.Get("Keep-Alive"))
		connection.hasResponded.Store(true)
		if !connection.matched {
			response.Release()
			if connection.hooks.OnMismatch != nil {
				connection.hooks.OnMismatch(connection)
			}
			if mismatches++; mismatches > maxMismatches {
				return &LimitError{Exceeded: "the number of responses to other requests instead", Limit: maxMismatches}
			}
			if response.Closes {
				return ErrAnnouncedClose
			}
			continue
		}
		mismatches = 0
		if response.Closes || connection.reader.Buffered() > 0 {
			connection.unusable.Store(true)
		}
		if err := connection.conn.SetReadDeadline(time.Time{}); err != nil {
			connection.unusable.Store(true)
		}
		if !connection.clearPending() {
			return ErrUnsolicited
		}
		connection.results <- Result{Response: response}
		if response.Closes {
			return ErrAnnouncedClose
		}
	}
}

// recordKeepAliveTimeout records the timeout parameter of a Keep-Alive header, if there is one.
func (connection *Connection) recordKeepAliveTimeout(value string) {
	for _, parameter := range strings.Split(value, ",") {
		name, text, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && seconds > 0 {
			connection.keepAliveTimeout.Store(int64(seconds) * int64(time.Second))
		}
	}
}

// Accept reports whether the response with a status and a header answers a request.
type Accept func(status int, header http.Header) bool

// Request is a request in its encoded form.
type Request struct {
	Method string
	Data   []byte
	// WriteBy is the time by which the request must be written, and ReadBy the time by which the response must be read. The
	// connection ends when one of them passes.
	WriteBy, ReadBy time.Time
	// Accept reports whether a response answers the request; other responses are dropped.
	Accept Accept
}

// Send writes a request and returns the channel that receives its Result. sent reports whether any byte may have been sent.
// After an error the connection can't be used, and the caller must not wait for a Result.
func (connection *Connection) Send(request *Request) (results <-chan Result, sent bool, err error) {
	if !connection.Usable() {
		return nil, false, ErrClosed
	}
	connection.mutex.Lock()
	connection.accept, connection.method = request.Accept, request.Method
	connection.mutex.Unlock()
	err = connection.conn.SetWriteDeadline(request.WriteBy)
	if err == nil {
		err = connection.conn.SetReadDeadline(request.ReadBy)
	}
	if err != nil {
		connection.Close()
		return nil, false, errors.Wrap(err, "set deadlines")
	}
	written, err := connection.conn.Write(request.Data)
	if err == nil {
		return connection.results, true, nil
	}
	if connection.hasEarlyResponse() {
		// The server responded before it had read the whole request. The response is valid, but the connection can't be reused.
		connection.unusable.Store(true)
		return connection.results, true, nil
	}
	connection.Close()
	return nil, written > 0, errors.Wrap(err, "write request")
}

// hasEarlyResponse reports whether the response arrived before the request was written completely.
func (connection *Connection) hasEarlyResponse() bool {
	accept, _ := connection.pendingRequest()
	return accept == nil && len(connection.results) > 0 && connection.hasResponded.Load()
}

// Close closes the connection. It may be called more than once.
func (connection *Connection) Close() {
	if connection.closed.CompareAndSwap(false, true) {
		connection.conn.Close()
	}
}
