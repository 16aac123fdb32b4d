package swlistener

import (
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

const (
	// writePiece is the number of bytes of an answer that a client must take within writeTimeout, which is the least rate of reading: 819
	// bytes per second. The buffers of both operating systems come on top.
	writePiece   = 16 << 10
	writeTimeout = 20 * time.Second
	// refusalDelay is how long a connection stays open after the refusal of its header. If it were closed at once, data that the client
	// still sends would reset it before the client has read the refusal.
	refusalDelay = 500 * time.Millisecond
	// rateInterval is the period over which the rate of a client is measured.
	rateInterval = 500 * time.Millisecond
)

// phase is what a connection waits for.
type phase int

const (
	// phaseNew waits for the first byte of the first request, phaseIdle for that of another.
	phaseNew  phase = 0
	phaseIdle phase = 1
	// phaseHeader and phaseBody wait for the rest of a header or body.
	phaseHeader phase = 2
	phaseBody   phase = 3
	// phaseServing waits for this process.
	phaseServing phase = 4
	// phaseEnding follows the answer: the client takes it, and what is left of its body is read.
	phaseEnding phase = 5
)

// Conn is a connection of a client that counts towards a Guard.
type Conn struct {
	net.Conn
	listener *guardedListener

	mutex sync.Mutex
	phase phase
	// since is when the phase began, and lastProgress when the client last sent or took anything.
	since        time.Time
	lastProgress time.Time
	window       rateWindow
	// writing counts the calls of Write that run.
	writing int
	// held is what the connection counts towards the account, and headerHeld the part of it for the header.
	held       int64
	headerHeld int64
	header     headerScanner
	// evicted is set once the connection was closed, in favor of others or otherwise. It may still write if mayRefuse is set.
	evicted   bool
	mayRefuse bool
	// writeDeadline is the deadline of Write that the owner has set; the zero time if there is none.
	writeDeadline time.Time
}

// NetConn returns the network connection.
func (conn *Conn) NetConn() net.Conn {
	return conn.Conn
}

// charge counts bytes towards the account.
func (conn *Conn) charge(size int64) error {
	if !conn.listener.guard.reserve(size, conn) {
		return ErrFull
	}
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.evicted {
		conn.listener.guard.memory.Release(size)
		return ErrFull
	}
	conn.held += size
	return nil
}

// release ends the counting of bytes. Those of an evicted connection no longer count.
func (conn *Conn) release(size int64) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	size = min(size, conn.held)
	conn.held -= size
	conn.listener.guard.memory.Release(size)
}

// enter begins a phase.
func (conn *Conn) enter(phase phase) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.phase, conn.since = phase, time.Now()
	if phase == phaseIdle {
		conn.held -= conn.headerHeld
		conn.listener.guard.memory.Release(conn.headerHeld)
		conn.headerHeld, conn.header = 0, headerScanner{}
	}
}

// progress records that the client has sent or taken bytes.
func (conn *Conn) progress(count int) {
	conn.lastProgress = time.Now()
	conn.window.add(conn.lastProgress, count)
}

// standing returns the standing of the connection among those that may be closed, and whether it may be closed.
func (conn *Conn) standing(now time.Time) (standing, bool) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.evicted || conn.phase == phaseServing && conn.writing == 0 {
		return standing{}, false
	}
	weight, since := 1.0, conn.since
	if conn.phase == phaseIdle {
		weight = idleWeight
	}
	if conn.writing > 0 {
		since = conn.lastProgress
	}
	return standing{
		young: now.Sub(since) < youngAge, since: since,
		secondsHeld: weight * float64(conn.held) / (conn.window.rate(now) + minRate),
		answered:    (conn.phase == phaseEnding || conn.phase == phaseIdle) && conn.writing == 0,
		lot:         rand.Uint32(),
	}, true
}

// stallsWriting reports whether an answer is being written of which the client has taken nothing for a moment.
func (conn *Conn) stallsWriting(now time.Time) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.writing > 0 && now.Sub(conn.lastProgress) >= youngAge
}

// evict closes the connection in favor of others, and returns what it held. While a handler reads the body, the handler gets an error instead,
// so that it can refuse the request.
func (conn *Conn) evict(now time.Time) (freed int64, evicted bool) {
	conn.mutex.Lock()
	if conn.evicted || conn.phase == phaseServing && conn.writing == 0 {
		conn.mutex.Unlock()
		return 0, false
	}
	conn.evicted = true
	freed = conn.held
	conn.held, conn.headerHeld = 0, 0
	conn.mayRefuse = conn.phase == phaseBody
	mayRefuse := conn.mayRefuse
	conn.mutex.Unlock()
	conn.listener.guard.memory.Release(freed)
	conn.listener.guard.remove(conn)
	if !mayRefuse || conn.Conn.SetReadDeadline(now) != nil {
		conn.Conn.Close()
	}
	return freed, true
}

// Read reads what the client sends. It ends a connection whose header exceeds its limits.
func (conn *Conn) Read(buffer []byte) (int, error) {
	read, err := conn.Conn.Read(buffer)
	conn.mutex.Lock()
	if conn.evicted {
		conn.mutex.Unlock()
		return 0, ErrFull
	}
	var cost int64
	exceeded := false
	if read > 0 {
		conn.progress(read)
		if conn.phase == phaseNew || conn.phase == phaseIdle {
			conn.phase, conn.since = phaseHeader, conn.lastProgress
		}
		if conn.phase == phaseHeader {
			cost, exceeded = conn.scanHeader(buffer[:read])
		}
	}
	conn.mutex.Unlock()
	if exceeded {
		conn.refuse("431 Request Header Fields Too Large", "BadRequest", ReasonHeader)
		return 0, io.EOF
	}
	if cost > 0 {
		if conn.charge(cost) != nil {
			conn.refuse("503 Service Unavailable", "TooManyClients", ReasonFull)
			return 0, io.EOF
		}
		conn.mutex.Lock()
		if !conn.evicted {
			conn.headerHeld += cost
		}
		conn.mutex.Unlock()
	}
	return read, err
}

// scanHeader returns what a part of a header takes in memory, and whether the header exceeds its limits.
func (conn *Conn) scanHeader(data []byte) (cost int64, exceeded bool) {
	limits := conn.listener.limits
	bytes, lines := conn.header.scan(data, limits.Opaque)
	if limits.Header != nil {
		most := limits.Header()
		exceeded = conn.header.bytes > most.Bytes || conn.header.lines > most.Lines
	}
	return int64(headerCopies*bytes + swconn.FieldOverhead*lines), exceeded
}

// refuse refuses a request of which no more than a part of the header was read. Nothing else writes to the connection at that time.
func (conn *Conn) refuse(status, code string, reason Reason) {
	conn.listener.guard.record(conn, reason)
	if conn.listener.limits.Opaque || conn.Conn.SetWriteDeadline(time.Now().Add(refusalDelay)) != nil {
		return
	}
	if _, err := io.WriteString(conn.Conn, "HTTP/1.1 "+status+refusalHeader+code+"\n"); err != nil {
		return
	}
	if halfCloser, ok := conn.Conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		time.Sleep(refusalDelay)
	}
}

// refusalHeader is the header of a refusal, whose body ends with the connection. Retry-After is the time after which crowds that were
// refused together have been closed or have ended their requests.
const refusalHeader = "\r\nConnection: close\r\nRetry-After: 1\r\nContent-Type: text/plain\r\n\r\n"

// Write writes an answer, of which the client must take each piece in time.
func (conn *Conn) Write(data []byte) (int, error) {
	// An answer counts as long as the client has not taken it, even if it exceeds the account: it exists already.
	size := int64(len(data))
	conn.mutex.Lock()
	if conn.evicted && !conn.mayRefuse {
		conn.mutex.Unlock()
		return 0, net.ErrClosed
	}
	if !conn.evicted {
		conn.held += size
		conn.listener.guard.memory.Force(size)
	}
	conn.writing++
	conn.lastProgress = time.Now()
	conn.mutex.Unlock()
	written, err := conn.writePieces(data)
	conn.mutex.Lock()
	conn.writing--
	conn.mutex.Unlock()
	conn.release(size)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		conn.listener.guard.record(conn, ReasonUnread)
	}
	return written, err
}

func (conn *Conn) writePieces(data []byte) (written int, err error) {
	for written < len(data) {
		deadline := time.Now().Add(writeTimeout)
		conn.mutex.Lock()
		if !conn.writeDeadline.IsZero() && conn.writeDeadline.Before(deadline) {
			deadline = conn.writeDeadline
		}
		conn.mutex.Unlock()
		if err := conn.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		count, err := conn.Conn.Write(data[written:min(len(data), written+writePiece)])
		written += count
		conn.mutex.Lock()
		conn.progress(count)
		conn.mutex.Unlock()
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// SetReadDeadline sets the deadline of Read, unless the connection is being closed in favor of others.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.evicted {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline sets the deadline of later calls of Write, which may end earlier if the client takes nothing.
func (conn *Conn) SetWriteDeadline(deadline time.Time) error {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.writeDeadline = deadline
	return nil
}

// SetDeadline sets the deadlines of Read and Write.
func (conn *Conn) SetDeadline(deadline time.Time) error {
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return conn.SetReadDeadline(deadline)
}

// CloseWrite closes the sending side if the network connection supports it.
func (conn *Conn) CloseWrite() error {
	if halfCloser, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// Close closes the connection and takes it out of the account.
func (conn *Conn) Close() error {
	conn.mutex.Lock()
	conn.evicted, conn.mayRefuse = true, false
	freed := conn.held
	conn.held, conn.headerHeld = 0, 0
	conn.mutex.Unlock()
	conn.listener.guard.memory.Release(freed)
	conn.listener.guard.remove(conn)
	return conn.Conn.Close()
}

func (conn *Conn) isEvicted() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.evicted
}
