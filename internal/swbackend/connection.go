package swbackend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// maxBody is the largest answer that is read, in bytes.
	maxBody = 4 << 20
)

// ConnectionEvent names what happened to a connection.
type ConnectionEvent int

// The events.
const (
	// ConnectionOpened means that a connection was opened.
	ConnectionOpened ConnectionEvent = 0
	// DialFailed means that no connection could be opened.
	DialFailed ConnectionEvent = 1
	// ConnectionUnresponsive means that a connection with a request outstanding was given up as silent.
	ConnectionUnresponsive ConnectionEvent = 2
	// ResponseMismatched means that an answer did not echo its request, or that nothing was asked.
	ResponseMismatched ConnectionEvent = 3
	// ConnectionLost means that the other end closed a connection with a request in flight.
	ConnectionLost ConnectionEvent = 4
	// SuspectClosed means that an idle connection was closed because a sibling was silent.
	SuspectClosed ConnectionEvent = 5
	// CancelledByClose means that a connection was closed to withdraw its request.
	CancelledByClose ConnectionEvent = 6
	// CancelledByRequest means that a request was withdrawn and its connection kept.
	CancelledByRequest ConnectionEvent = 7
)

// errOrderly means that the server announced the end of the connection.
var errOrderly = errors.New("the server closed the connection after its answer")

var errUnsolicited = errors.New("the server sent an answer that nothing asked for")

// response is one HTTP response with its whole body.
type response struct {
	status int
	header http.Header
	body   []byte
	close  bool
	err    error
}

// connection is one open connection to a backend server. One goroutine reads it, so that its end and unsolicited
// answers are noticed while it is idle.
type connection struct {
	server *server
	conn   net.Conn
	reader *bufio.Reader

	// answers receives the response to the outstanding request, or the error that ended the connection.
	answers chan response
	// outstanding is set while a request waits for its response.
	outstanding atomic.Bool
	// heard is set once a byte of the outstanding response was read.
	heard atomic.Bool
	// proven is set once a response was read.
	proven atomic.Bool
	readAt atomic.Int64
	usedAt time.Time
	// request and closedHere are guarded by the server's mutex.
	request    *SubRequest
	closedHere bool
	shutOnce   sync.Once
}

func newConnection(server *server, conn net.Conn) *connection {
	connection := &connection{
		server:  server,
		conn:    conn,
		reader:  bufio.NewReaderSize(conn, readBuffer),
		answers: make(chan response, 1),
		usedAt:  time.Now(),
	}
	return connection
}

// read serves the reading side until the connection ends.
func (connection *connection) read(context.Context) {
	err := connection.readResponses()
	if !errors.Is(err, errOrderly) {
		connection.server.ended(connection)
	}
	connection.close()
	if connection.outstanding.CompareAndSwap(true, false) {
		connection.answers <- response{err: err}
	}
}

func (connection *connection) readResponses() error {
	for {
		if _, err := connection.reader.Peek(1); err != nil {
			return err
		}
		if !connection.outstanding.Load() {
			connection.server.event(ResponseMismatched)
			return errUnsolicited
		}
		connection.heard.Store(true)
		response, err := readResponse(connection.reader)
		if err != nil {
			return err
		}
		connection.proven.Store(true)
		connection.readAt.Store(time.Now().UnixNano())
		if !connection.outstanding.CompareAndSwap(true, false) {
			return errUnsolicited
		}
		connection.answers <- response
		if response.close {
			return errOrderly
		}
	}
}

func readResponse(reader *bufio.Reader) (response, error) {
	message, err := http.ReadResponse(reader, nil)
	if err != nil {
		return response{}, errors.Wrap(err, "read response")
	}
	defer message.Body.Close()
	var body bytes.Buffer
	if message.ContentLength > 0 && message.ContentLength <= maxBody {
		body.Grow(int(message.ContentLength))
	}
	read, err := body.ReadFrom(io.LimitReader(message.Body, maxBody+1))
	if err != nil {
		return response{}, errors.Wrap(err, "read body")
	}
	if read > maxBody {
		return response{}, errors.Errorf("body exceeds %d bytes", maxBody)
	}
	return response{status: message.StatusCode, header: message.Header, body: body.Bytes(), close: message.Close}, nil
}

// send writes a request. sent tells whether a byte of it may have left.
func (connection *connection) send(data []byte, deadline time.Time) (sent bool, err error) {
	connection.heard.Store(false)
	connection.outstanding.Store(true)
	connection.usedAt = time.Now()
	if err := connection.conn.SetWriteDeadline(deadline); err != nil {
		connection.outstanding.Store(false)
		return false, errors.Wrap(err, "set write deadline")
	}
	written, err := connection.conn.Write(data)
	return written > 0, err
}

// close ends the connection from this side. It may be called more than once.
func (connection *connection) close() {
	connection.shutOnce.Do(func() {
		connection.server.forget(connection)
		connection.conn.Close()
	})
}

// readSince reports whether a response was read on the connection after t.
func (connection *connection) readSince(t time.Time) bool {
	return connection.readAt.Load() > t.UnixNano()
}
