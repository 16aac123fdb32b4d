package swgateway

import (
	"io"
	"net"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// connPhase is what a client connection waits for while it has no request.
type connPhase int

const (
	// phaseNew waits for the first byte on a new connection, phaseIdle for the first byte after an answer.
	phaseNew  connPhase = 0
	phaseIdle connPhase = 1
	// phaseHeader waits for the rest of a header.
	phaseHeader connPhase = 2
	// phaseRefused waits for the client to read the refusal of a header that took too long.
	phaseRefused connPhase = 3
)

// connStatus is a phase and its start.
type connStatus struct {
	phase connPhase
	since time.Time
}

// connTable holds the phase of each client connection. net/http reports a request only when its header is complete, and closes
// the connection without a response if that takes too long. A connection leaves the table either for its request or because of a
// timeout, never for both.
type connTable struct {
	conns *swtable.Table[net.Conn, connStatus]
	// onSlowHeader is called for each connection whose header took too long. It may be nil.
	onSlowHeader func(conn net.Conn)
}

func newConnTable() *connTable {
	return &connTable{conns: swtable.New[net.Conn, connStatus]()}
}

func (connTable *connTable) setPhase(conn net.Conn, connPhase connPhase) {
	connTable.conns.Put(conn, connStatus{phase: connPhase, since: time.Now()})
}

// recordRead records that a client has sent data.
func (connTable *connTable) recordRead(conn net.Conn) {
	connTable.conns.Update(conn, func(status connStatus, present bool) (connStatus, bool) {
		if status.phase == phaseNew || status.phase == phaseIdle {
			status = connStatus{phase: phaseHeader, since: time.Now()}
		}
		return status, present
	})
}

// claim removes a connection for its request. It returns false if the request was already refused because its header took too long.
func (connTable *connTable) claim(conn net.Conn) bool {
	claimed := true
	connTable.conns.Update(conn, func(status connStatus, present bool) (connStatus, bool) {
		if present && status.phase == phaseRefused {
			claimed = false
			return status, true
		}
		return connStatus{}, false
	})
	return claimed
}

// refusalCloseDelay is how long a connection stays open after the refusal of its header: a few round trips. If it were closed at
// once, data that the client still sends would reset the connection before the client has read the refusal.
const refusalCloseDelay = time.Second

// phaseTimeout returns how long a phase may last; zero means no limit.
func phaseTimeout(connPhase connPhase, limits swroute.Limits) time.Duration {
	switch connPhase {
	case phaseIdle:
		return limits.IdleTimeout
	case phaseRefused:
		return refusalCloseDelay
	case phaseNew, phaseHeader:
	}
	return limits.HeaderTimeout
}

// enforce refuses or closes the connections whose phase has exceeded its timeout.
func (connTable *connTable) enforce(limits swroute.Limits) {
	now := time.Now()
	expired := func(status connStatus) bool {
		timeout := phaseTimeout(status.phase, limits)
		return timeout > 0 && now.Sub(status.since) > timeout
	}
	var expiredConns []net.Conn
	connTable.conns.Range(func(conn net.Conn, status connStatus) bool {
		if expired(status) {
			expiredConns = append(expiredConns, conn)
		}
		return true
	})
	for _, conn := range expiredConns {
		var refuse, closeNow bool
		connTable.conns.Update(conn, func(status connStatus, present bool) (connStatus, bool) {
			if !present || !expired(status) {
				return status, present
			}
			refuse, closeNow = status.phase == phaseHeader, status.phase != phaseHeader
			return connStatus{phase: phaseRefused, since: now}, refuse
		})
		if refuse {
			refuseSlowHeader(conn)
			if connTable.onSlowHeader != nil {
				connTable.onSlowHeader(conn)
			}
		}
		if closeNow {
			conn.Close()
		}
	}
}

// headerTimeoutResponse is sent to a client whose header took too long.
const headerTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nBadRequest\n"

// refuseSlowHeader refuses a request whose header is incomplete. Nothing else writes to the connection at that time.
func refuseSlowHeader(conn net.Conn) {
	if err := conn.SetWriteDeadline(time.Now().Add(refusalCloseDelay)); err != nil {
		conn.Close()
		return
	}
	if _, err := io.WriteString(conn, headerTimeoutResponse); err != nil {
		conn.Close()
		return
	}
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok {
		if err := halfCloser.CloseWrite(); err != nil {
			conn.Close()
		}
	}
}

// clientListener wraps accepted connections so that their reads update the table.
type clientListener struct {
	net.Listener
	connTable *connTable
}

// Accept waits for the next connection.
func (listener *clientListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, connTable: listener.connTable}, nil
}

// clientConn is a client connection that records its reads in the table.
type clientConn struct {
	net.Conn
	connTable *connTable
}

// Read reads from the connection.
func (conn *clientConn) Read(buffer []byte) (int, error) {
	read, err := conn.Conn.Read(buffer)
	if read > 0 {
		conn.connTable.recordRead(conn)
	}
	return read, err
}

// NetConn returns the accepted connection.
func (conn *clientConn) NetConn() net.Conn {
	return conn.Conn
}

// CloseWrite closes the sending side if the underlying connection supports it.
func (conn *clientConn) CloseWrite() error {
	if halfCloser, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}
