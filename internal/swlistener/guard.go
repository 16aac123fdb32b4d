// Package swlistener bounds what the clients of HTTP listeners make a process hold: connections, header fields, bodies and answers that are
// not taken. When a bound is reached, the connections that hold most for least progress are closed, and ordinary requests still pass.
package swlistener

import (
	"cmp"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

const (
	// connectionCost is what an open connection takes without a request, in bytes: two goroutines, the buffers of net/http and its structures.
	connectionCost = 20 << 10
	// headerCopies is how often the bytes of a header are held: as read and parsed, and encoded for replicas.
	headerCopies = 2
	// freeFraction is the fraction of a bound that an eviction frees at least, so that not every client that comes has to look for the next.
	freeFraction = 1.0 / 16
	// youngAge is the time for which a connection or a part of a request is too new to be told from an ordinary one, which takes a few
	// round trips.
	youngAge = 300 * time.Millisecond
	// minRate is the rate below which one slow client counts like another, in bytes per second.
	minRate = 1 << 10
	// idleWeight makes an idle connection, which clients keep for their next request, less likely to be closed than one that stalls
	// within a request and holds as much.
	idleWeight = 0.5
	// logInterval is the least time between two lines about closed connections.
	logInterval = time.Second
)

// ErrFull is the error of reading a body for which there is no memory, or whose connection is closed in favor of others.
var ErrFull = errors.New("the clients hold all memory or connections that this process gives them")

// Reason says why a connection was closed.
type Reason string

// The reasons.
const (
	// ReasonMemory and ReasonConnections: the bound on memory or connections was reached, and this connection held most for least progress.
	ReasonMemory      Reason = "memory"
	ReasonConnections Reason = "connections"
	// ReasonFull means that a bound was reached, and no connection could be closed in favor of this one.
	ReasonFull Reason = "full"
	// ReasonHeader means that the header had too many bytes or fields.
	ReasonHeader Reason = "header"
	// ReasonTimeout means that the header took longer than the configuration allows.
	ReasonTimeout Reason = "timeout"
	// ReasonUnread means that the client did not take its answer.
	ReasonUnread Reason = "unread"
)

// Config holds the parameters of a Guard.
type Config struct {
	// Memory bounds what all clients hold together, in bytes.
	Memory int64
	// CountEvent counts the connections that are closed, by reason. It may be nil.
	CountEvent func(name string, count int64)
	Log        zerolog.Logger
}

// Guard keeps one account of what the clients of all listeners of a process hold. Construct it with NewGuard.
type Guard struct {
	config Config
	memory *swconn.Memory

	mutex sync.Mutex
	conns map[*Conn]struct{}
	// loggedAt is when a closed connection was last logged; unlogged counts those since then by reason.
	loggedAt time.Time
	unlogged map[Reason]int
}

// NewGuard returns a guard without connections.
func NewGuard(config Config) *Guard {
	if config.CountEvent == nil {
		config.CountEvent = func(string, int64) {}
	}
	return &Guard{config: config, memory: swconn.NewMemory(config.Memory), conns: make(map[*Conn]struct{}), unlogged: make(map[Reason]int)}
}

// Used returns the bytes that all clients hold together.
func (guard *Guard) Used() int64 {
	return guard.memory.Used()
}

// Limits bounds the clients of one listener.
type Limits struct {
	// MaxConnections bounds the open connections; zero means that only the memory bounds them.
	MaxConnections int
	// Header returns the largest number of bytes and of lines of a request's header. It may be nil, for no such bound.
	Header func() HeaderLimits
	// Opaque is set for listeners whose bytes are encrypted, so that lines can't be counted.
	Opaque bool
}

// HeaderLimits bounds the header of a request.
type HeaderLimits struct {
	Bytes int
	Lines int
}

// minFieldBytes is the least number of bytes of a header field as it is measured against a limit: a name of a byte, and the separators.
const minFieldBytes = 5

// LimitsFor returns limits that no header meets that is within maxBytes, however it is divided into fields and with some space around its
// values.
func LimitsFor(maxBytes int) HeaderLimits {
	const slack = 4 << 10
	return HeaderLimits{Bytes: 2*maxBytes + slack, Lines: maxBytes/minFieldBytes + 16}
}

// Unlimited returns a guard without a bound on memory.
func Unlimited() *Guard {
	return NewGuard(Config{Memory: math.MaxInt64 / 2, Log: zerolog.Nop()})
}

// Listen returns a listener whose connections count towards the guard's account.
func (guard *Guard) Listen(listener net.Listener, limits Limits) net.Listener {
	return &guardedListener{Listener: listener, guard: guard, limits: limits}
}

type guardedListener struct {
	net.Listener
	guard  *Guard
	limits Limits
	open   atomic.Int64
}

// Accept waits for the next connection for which there is room.
func (listener *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		conn := &Conn{Conn: accepted, listener: listener, since: now, lastProgress: now, window: rateWindow{since: now}}
		if listener.guard.admit(conn, now) {
			return conn, nil
		}
		accepted.Close()
		listener.guard.record(conn, ReasonFull)
	}
}

// admit adds a connection to the account. It closes others if that takes more connections or memory than there is.
func (guard *Guard) admit(conn *Conn, now time.Time) bool {
	listener := conn.listener
	if most := int64(listener.limits.MaxConnections); most > 0 && listener.open.Load() >= most {
		toClose := max(1, int(float64(most)*freeFraction))
		guard.evict(now, ReasonConnections, func(victim *Conn) bool { return victim.listener == listener }, func(*Conn, int64) bool {
			toClose--
			return toClose > 0
		})
		if listener.open.Load() >= most {
			return false
		}
	}
	if conn.charge(connectionCost) != nil {
		return false
	}
	listener.open.Add(1)
	guard.mutex.Lock()
	guard.conns[conn] = struct{}{}
	guard.mutex.Unlock()
	return true
}

// remove takes a connection out of the account.
func (guard *Guard) remove(conn *Conn) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if _, present := guard.conns[conn]; present {
		delete(guard.conns, conn)
		conn.listener.open.Add(-1)
	}
}

// reserve takes memory, for which it closes connections other than that of the client that needs it.
func (guard *Guard) reserve(size int64, client *Conn) bool {
	if guard.memory.Reserve(size) {
		return true
	}
	toFree := size + int64(float64(guard.config.Memory)*freeFraction)
	guard.evict(time.Now(), ReasonMemory, func(victim *Conn) bool { return victim != client }, func(_ *Conn, freed int64) bool {
		toFree -= freed
		return toFree > 0
	})
	return guard.memory.Reserve(size)
}

// CloseUnread closes connections whose client has not taken anything of its answer for a moment, until they have held a number of bytes.
// Another account uses it for the answers that it counts.
func (guard *Guard) CloseUnread(size int64) {
	now := time.Now()
	guard.evict(now, ReasonUnread, func(victim *Conn) bool { return victim.stallsWriting(now) }, func(_ *Conn, freed int64) bool {
		size -= freed
		return size > 0
	})
}

// candidate is a connection that may be closed in favor of others.
type candidate struct {
	conn *Conn
	standing
}

// evict closes connections in the order of their standing, while more reports that more must be freed.
func (guard *Guard) evict(now time.Time, reason Reason, eligible func(*Conn) bool, more func(conn *Conn, freed int64) bool) {
	guard.mutex.Lock()
	candidates := make([]candidate, 0, len(guard.conns))
	for conn := range guard.conns {
		if !eligible(conn) {
			continue
		}
		if standing, evictable := conn.standing(now); evictable {
			candidates = append(candidates, candidate{conn: conn, standing: standing})
		}
	}
	guard.mutex.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int { return a.compare(b.standing) })
	for _, candidate := range candidates {
		freed, evicted := candidate.conn.evict(now)
		if !evicted {
			continue
		}
		guard.record(candidate.conn, reason)
		if !more(candidate.conn, freed) {
			return
		}
	}
}

// standing is what decides which of several connections is closed first.
type standing struct {
	// young is set for one that is too new to be told from an ordinary one.
	young bool
	// secondsHeld is the time that the client would need for what it holds, at its recent rate.
	secondsHeld float64
	since       time.Time
	// answered is set for one whose request was answered, and lot is drawn among those that are too new.
	answered bool
	lot      uint32
}

// compare orders connections that are closed first before others: those that hold most for least progress. Those that are too new to tell come
// last: first the answered ones, then by lot. If the newest of them went first, an ordinary client would have to be served before the next
// client of a crowd comes.
func (standing standing) compare(other standing) int {
	switch {
	case standing.young != other.young && standing.young:
		return 1
	case standing.young != other.young:
		return -1
	case standing.young && standing.answered != other.answered:
		if standing.answered {
			return -1
		}
		return 1
	case standing.young:
		return cmp.Compare(standing.lot, other.lot)
	}
	return cmp.Or(cmp.Compare(other.secondsHeld, standing.secondsHeld), standing.since.Compare(other.since))
}

// record counts and logs a connection that was closed or refused.
func (guard *Guard) record(conn *Conn, reason Reason) {
	guard.config.CountEvent("clients_closed_"+string(reason), 1)
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.unlogged[reason]++
	now := time.Now()
	if now.Sub(guard.loggedAt) < logInterval {
		return
	}
	guard.loggedAt = now
	line := guard.config.Log.Warn().Str("Reason", string(reason)).Stringer("Client", conn.RemoteAddr()).Stringer("Listener", conn.LocalAddr()).
		Int("Connections", len(guard.conns)).Int64("Held", guard.memory.Used()).Int64("Limit", guard.config.Memory)
	for reason, count := range guard.unlogged {
		line = line.Int("Closed_"+string(reason), count)
	}
	line.Msg("clients were closed, the last of them for this reason")
	clear(guard.unlogged)
}

// RecordTimeout counts and logs a connection that its owner closes because its header takes too long.
func (guard *Guard) RecordTimeout(netConn net.Conn) {
	if conn := unwrap(netConn); conn != nil {
		guard.record(conn, ReasonTimeout)
	}
}

// Connections returns the number of open connections.
func (guard *Guard) Connections() int {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return len(guard.conns)
}

// TrackState records that a connection waits for its next request. It is called from http.Server.ConnState.
func (*Guard) TrackState(netConn net.Conn, state http.ConnState) {
	if conn := unwrap(netConn); conn != nil && state == http.StateIdle {
		conn.enter(phaseIdle)
	}
}

// unwrap returns the guarded connection within a connection, or nil.
func unwrap(netConn net.Conn) *Conn {
	for {
		if conn, ok := netConn.(*Conn); ok {
			return conn
		}
		wrapper, ok := netConn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		netConn = wrapper.NetConn()
	}
}
