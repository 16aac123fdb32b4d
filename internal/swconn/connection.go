// Package swconn exchanges HTTP/1.1 messages on one connection to a backend server. Unlike net/http it never sends a
// request again by itself, and it tells whether any byte of a request may have left.
package swconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes: a small answer with its header.
	readBuffer = 2 << 10
	// maxBody is the largest answer that is read, in bytes; it bounds what one server can make this process hold.
	maxBody = 8 << 20
)

// Reasons why a connection ended.
var (
	// ErrOrderly means that the server announced the end of the connection in its last response.
	ErrAnnouncedClose = errors.New("the server announced the end of the connection")
	// ErrUnsolicited means that the server sent bytes that answer no request.
	ErrUnsolicited = errors.New("the server sent bytes that nothing asked for")
	// ErrClosed means that this side closed the connection.
	ErrClosed = errors.New("connection closed here")
)

// Response is one HTTP response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the end of one exchange: a response, or the error that ended the connection before one came.
type Result struct {
	Response *Response
	Err      error
}

// Hooks are told of what happens on a connection. They must not block.
type Hooks struct {
	// Ended is called once, when the reading side is over. The error is ErrOrderly for an end that the server announced.
	OnClose func(connection *Connection, err error)
	// Crossed is called for each response that the outstanding request does not accept; it may be nil.
	OnMismatch func(connection *Connection)
}

// Connection is one open connection. One goroutine runs Read, which notices the end of the connection and stray bytes
// while it is idle; at any time one other goroutine uses it to exchange messages.
type Connection struct {
	conn   net.Conn
	reader *bufio.Reader
	hooks  Hooks

	results chan Result
	mutex   sync.Mutex
	// accept is set while a request waits for its response.
	accept func(*Response) bool
	method string

	// proven is set once a response was read.
	proven atomic.Bool
	// unusable is set when no further request may be sent.
	unusable atomic.Bool
	closed   atomic.Bool
	// idleLimit is how long the server keeps the connection without a request, in nanoseconds; zero when unknown.
	idleLimit atomic.Int64
	// UsedAt is when the owner last put the connection aside; only the owner touches it.
	IdleSince time.Time
}

// New wraps an open connection. The owner runs Read in a goroutine of its own.
func New(conn net.Conn, hooks Hooks) *Connection {
	return &Connection{
		conn:      conn,
		reader:    bufio.NewReaderSize(conn, readBuffer),
		hooks:     hooks,
		results:   make(chan Result, 1),
		IdleSince: time.Now(),
	}
}

// Proven reports whether the server has answered on the connection, and so did accept it.
func (connection *Connection) HasResponded() bool {
	return connection.proven.Load()
}

// Usable reports whether a further request may be sent.
func (connection *Connection) Usable() bool {
	return !connection.unusable.Load() && !connection.closed.Load()
}

// IdleLimit returns how long the server keeps the connection without a request, or zero when it did not say.
func (connection *Connection) KeepAliveTimeout() time.Duration {
	return time.Duration(connection.idleLimit.Load())
}

// Read serves the reading side until the connection ends.
func (connection *Connection) ReadLoop(context.Context) {
	err := connection.readResponses()
	connection.unusable.Store(true)
	connection.conn.Close()
	if connection.closed.Load() {
		err = ErrClosed
	}
	if connection.takeWaiting() {
		connection.results <- Result{Err: err}
	}
	connection.hooks.OnClose(connection, err)
}

// takeWaiting ends the wait for a response, and reports whether there was one.
func (connection *Connection) takeWaiting() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	waiting := connection.accept != nil
	connection.accept = nil
	return waiting
}

func (connection *Connection) waiting() (accept func(*Response) bool, method string) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.accept, connection.method
}

func (connection *Connection) readResponses() error {
	for {
		if _, err := connection.reader.Peek(1); err != nil {
			return err
		}
		accept, method := connection.waiting()
		if accept == nil {
			return ErrUnsolicited
		}
		response, last, err := connection.readResponse(method)
		if err != nil {
			return err
		}
		if isInterim(response.Status) {
			continue
		}
		connection.proven.Store(true)
		if !accept(response) {
			if connection.hooks.OnMismatch != nil {
				connection.hooks.OnMismatch(connection)
			}
			if last {
				return ErrAnnouncedClose
			}
			continue
		}
		if last || connection.reader.Buffered() > 0 {
			connection.unusable.Store(true)
		}
		if !connection.takeWaiting() {
			return ErrUnsolicited
		}
		connection.results <- Result{Response: response}
		if last {
			return ErrAnnouncedClose
		}
	}
}

// isInterim reports whether a status announces a later, final response.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// readResponse reads one response whole. last tells that the server keeps the connection no longer.
func (connection *Connection) readResponse(method string) (response *Response, last bool, err error) {
	message, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
	if err != nil {
		return nil, false, errors.Wrap(err, "read response")
	}
	defer message.Body.Close()
	var body bytes.Buffer
	if message.ContentLength > 0 && message.ContentLength <= maxBody {
		body.Grow(int(message.ContentLength) + bytes.MinRead)
	}
	read, err := body.ReadFrom(io.LimitReader(message.Body, maxBody+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read body")
	}
	if read > maxBody {
		return nil, false, errors.Errorf("body exceeds %d bytes", maxBody)
	}
	connection.noteIdleLimit(message.Header.Get("Keep-Alive"))
	return &Response{Status: message.StatusCode, Header: message.Header, Body: body.Bytes()}, message.Close, nil
}

// noteIdleLimit reads the timeout of a Keep-Alive header.
func (connection *Connection) noteIdleLimit(value string) {
	for _, parameter := range strings.Split(value, ",") {
		name, text, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && seconds > 0 {
			connection.idleLimit.Store(int64(seconds) * int64(time.Second))
		}
	}
}

// Send writes a request and returns the channel on which its Result arrives. accept tells whether a response answers the
// request; any other is dropped. sent tells whether a byte may have left. After an error the connection is closed, and no
// Result is to be waited for.
func (connection *Connection) Send(method string, data []byte, deadline time.Time, accept func(*Response) bool) (results <-chan Result, sent bool, err error) {
	if !connection.Usable() {
		return nil, false, ErrClosed
	}
	connection.mutex.Lock()
	connection.accept, connection.method = accept, method
	connection.mutex.Unlock()
	if err := connection.conn.SetWriteDeadline(deadline); err != nil {
		connection.Close()
		return nil, false, errors.Wrap(err, "set write deadline")
	}
	written, err := connection.conn.Write(data)
	if err == nil {
		return connection.results, true, nil
	}
	if connection.answeredEarly() {
		// The server answered before it had read the whole request. Its answer counts, the connection does not go on.
		connection.unusable.Store(true)
		return connection.results, true, nil
	}
	connection.Close()
	return nil, written > 0, errors.Wrap(err, "write request")
}

// answeredEarly reports whether the outstanding request has its response already.
func (connection *Connection) answeredEarly() bool {
	accept, _ := connection.waiting()
	return accept == nil && len(connection.results) > 0 && connection.proven.Load()
}

// Close ends the connection. It may be called more than once.
func (connection *Connection) Close() {
	if connection.closed.CompareAndSwap(false, true) {
		connection.conn.Close()
	}
}
