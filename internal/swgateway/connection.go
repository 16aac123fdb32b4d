package swgateway

import (
	"io"
	"net"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// wait is what a client's connection waits for while it carries no request.
type wait int

const (
	// waitFirst is for the first byte after the opening, waitNext for that after an answer.
	waitFirst wait = 0
	waitNext  wait = 1
	// waitHeader is for the rest of a header.
	waitHeader wait = 2
	// waitClose is for the client to read that its header took too long.
	waitClose wait = 3
)

// waiting is a wait with its beginning.
type waiting struct {
	wait  wait
	since time.Time
}

// waitTable holds what the connections of clients wait for. net/http reports a request only once its header is whole, and closes
// a connection without a word when that takes too long. A connection is taken out of the table either for its request or for
// having waited too long, never for both.
type waitTable struct {
	conns *swtable.Table[net.Conn, waiting]
}

func newWaitTable() *waitTable {
	return &waitTable{conns: swtable.New[net.Conn, waiting]()}
}

func (table *waitTable) begin(conn net.Conn, wait wait) {
	table.conns.Put(conn, waiting{wait: wait, since: time.Now()})
}

// noteBytes notes that a client has sent something.
func (table *waitTable) noteBytes(conn net.Conn) {
	table.conns.Update(conn, func(known waiting, present bool) (waiting, bool) {
		if known.wait == waitFirst || known.wait == waitNext {
			known = waiting{wait: waitHeader, since: time.Now()}
		}
		return known, present
	})
}

// take takes a connection out for its request. It reports false when the client was told that it took too long.
func (table *waitTable) take(conn net.Conn) bool {
	taken := true
	table.conns.Update(conn, func(known waiting, present bool) (waiting, bool) {
		if present && known.wait == waitClose {
			taken = false
			return known, true
		}
		return waiting{}, false
	})
	return taken
}

// refusalLinger is how long a connection whose header took too long stays open after its refusal, so that what the client still
// sends does not keep it from reading that: a few round trips.
const refusalLinger = time.Second

// limitOf returns how long a wait may last; zero is no limit.
func limitOf(wait wait, limits swroute.Limits) time.Duration {
	switch wait {
	case waitNext:
		return limits.IdleTimeout
	case waitClose:
		return refusalLinger
	case waitFirst, waitHeader:
	}
	return limits.HeaderTimeout
}

// enforce ends the connections that have waited for too long.
func (table *waitTable) enforce(limits swroute.Limits) {
	now := time.Now()
	over := func(known waiting) bool {
		limit := limitOf(known.wait, limits)
		return limit > 0 && now.Sub(known.since) > limit
	}
	var late []net.Conn
	table.conns.Range(func(conn net.Conn, known waiting) bool {
		if over(known) {
			late = append(late, conn)
		}
		return true
	})
	for _, conn := range late {
		var refuse, end bool
		table.conns.Update(conn, func(known waiting, present bool) (waiting, bool) {
			if !present || !over(known) {
				return known, present
			}
			refuse, end = known.wait == waitHeader, known.wait != waitHeader
			return waiting{wait: waitClose, since: now}, refuse
		})
		if refuse {
			refuseSlow(conn)
		}
		if end {
			conn.Close()
		}
	}
}

// slowHeader tells a client that its header took too long.
const slowHeader = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: text/plain\r\nContent-Length: 11\r\n\r\nBadRequest\n"

// refuseSlow refuses a request whose header has not come whole in time. Nothing else writes on the connection then.
func refuseSlow(conn net.Conn) {
	if err := conn.SetWriteDeadline(time.Now().Add(refusalLinger)); err != nil {
		conn.Close()
		return
	}
	if _, err := io.WriteString(conn, slowHeader); err != nil {
		conn.Close()
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		if err := half.CloseWrite(); err != nil {
			conn.Close()
		}
	}
}

// clientListener makes the connections that it accepts known to a table.
type clientListener struct {
	net.Listener
	table *waitTable
}

// Accept waits for the next connection.
func (listener *clientListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, table: listener.table}, nil
}

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	table *waitTable
}

// Read reads what the client sent.
func (conn *clientConn) Read(buffer []byte) (int, error) {
	read, err := conn.Conn.Read(buffer)
	if read > 0 {
		conn.table.noteBytes(conn)
	}
	return read, err
}

// CloseWrite closes the sending side, where the connection has one of its own.
func (conn *clientConn) CloseWrite() error {
	if half, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
