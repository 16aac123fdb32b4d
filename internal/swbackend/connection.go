package swbackend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

// maxBodySize bounds the body of a response, in bytes.
const maxBodySize = 4 << 20

// maxBodyMemory bounds the large bodies that one pool reads at the same time, in bytes.
const maxBodyMemory = 64 << 20

// ConnectionEvent is an event in the life of a connection.
type ConnectionEvent int

// The connection events.
const (
	// ConnectionOpened means that a connection was opened.
	ConnectionOpened ConnectionEvent = 0
	// DialFailed means that a connection could not be opened.
	DialFailed ConnectionEvent = 1
	// ConnectionUnresponsive means that a connection was closed because nothing was read for too long after a request.
	ConnectionUnresponsive ConnectionEvent = 2
	// ResponseMismatched means that a response did not echo its request, or arrived without a request.
	ResponseMismatched ConnectionEvent = 3
	// ConnectionLost means that a connection ended with a request in flight.
	ConnectionLost ConnectionEvent = 4
	// SuspectClosed means that an idle connection was closed because another one to the server was unresponsive.
	SuspectClosed ConnectionEvent = 5
	// CancelledByClose means that a connection was closed to cancel its request.
	CancelledByClose ConnectionEvent = 6
	// CancelledByRequest means that a request was cancelled by a cancel request and its connection kept.
	CancelledByRequest ConnectionEvent = 7
	// LimitExceeded means that a response was larger than allowed, and its connection was closed.
	LimitExceeded ConnectionEvent = 8
	// LinksLost means that a server lost all connections together with others, because this VM's links to them were lost.
	LinksLost ConnectionEvent = 9
)

// errAnnouncedClose means that the server closed the connection after a response that announced it.
var errAnnouncedClose = errors.New("the server closed the connection after its response")

var errUnsolicited = errors.New("the server sent a response that no request asked for")

// connection is an open connection to a backend server. A goroutine reads it all the time, so that its end and unsolicited
// responses are detected even while it is idle.
type connection struct {
	server *server
	conn   net.Conn
	reader *swconn.Reader

	// answers receives the response to the outstanding request, or the error that ended the connection.
	answers chan swconn.Result
	// outstanding reports whether a request waits for its response.
	outstanding atomic.Bool
	// responseStarted reports whether a byte of the outstanding response was read.
	responseStarted atomic.Bool
	// hasAnswered reports whether any response was read on the connection.
	hasAnswered atomic.Bool
	lastReadAt  atomic.Int64
	lastUsedAt  time.Time
	// request is the sub-request in flight, and closedLocally reports whether this side closed the connection. Both are
	// guarded by the server's mutex.
	request       *SubRequest
	closedLocally bool
	closeOnce     sync.Once
}

func newConnection(server *server, conn net.Conn) *connection {
	connection := &connection{
		server:     server,
		conn:       conn,
		reader:     swconn.NewReader(conn, server.pool.limits),
		answers:    make(chan swconn.Result, 1),
		lastUsedAt: time.Now(),
	}
	return connection
}

// readUntilClosed reads responses until the connection ends, and passes the final error to a waiting request.
func (connection *connection) readUntilClosed(context.Context) {
	err := connection.readResponses()
	switch {
	case swconn.ExceedsLimit(err):
		connection.server.observe(LimitExceeded)
	case !errors.Is(err, errAnnouncedClose):
		connection.server.connectionEnded(connection)
	}
	connection.close()
	if connection.outstanding.CompareAndSwap(true, false) {
		connection.answers <- swconn.Result{Err: err}
	}
}

// readResponses passes each response to the outstanding request. It returns an error when the connection ends or the server
// sends a response without a request.
func (connection *connection) readResponses() error {
	for {
		if err := connection.reader.WaitForData(); err != nil {
			return err
		}
		if !connection.outstanding.Load() {
			connection.server.observe(ResponseMismatched)
			return errUnsolicited
		}
		connection.responseStarted.Store(true)
		response, err := connection.reader.ReadResponse(http.MethodPost)
		if err != nil {
			return err
		}
		connection.hasAnswered.Store(true)
		connection.lastReadAt.Store(time.Now().UnixNano())
		if !connection.outstanding.CompareAndSwap(true, false) {
			return errUnsolicited
		}
		connection.answers <- swconn.Result{Response: response}
		if response.Closes {
			return errAnnouncedClose
		}
	}
}

// send writes a request. sent reports whether a byte of it may have left.
func (connection *connection) send(data []byte, deadline time.Time) (sent bool, err error) {
	connection.responseStarted.Store(false)
	connection.outstanding.Store(true)
	connection.lastUsedAt = time.Now()
	if err := connection.conn.SetWriteDeadline(deadline); err != nil {
		connection.outstanding.Store(false)
		return false, errors.Wrap(err, "set write deadline")
	}
	written, err := connection.conn.Write(data)
	return written > 0, err
}

// close closes the connection and removes it from its server. It may be called more than once.
func (connection *connection) close() {
	connection.closeOnce.Do(func() {
		connection.server.removeConnection(connection)
		connection.conn.Close()
	})
}

// answeredSince reports whether a response was read on the connection after t.
func (connection *connection) answeredSince(t time.Time) bool {
	return connection.lastReadAt.Load() > t.UnixNano()
}
