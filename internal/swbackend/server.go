package swbackend

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// reservedDivisor divides a server's connection limit to give the number that this VM leaves to others, so that a
	// second owner can connect while the VMs disagree on which of them are alive.
	reservedDivisor = 4
	// spareConnections is the number of idle connections kept open in advance.
	spareConnections = 1
	// leavingNoticeDuration is how long a leaving notice is valid unless it is seen again.
	leavingNoticeDuration = 60 * time.Second
)

// server is the state of one backend server in the pool.
type server struct {
	pool  *Pool
	name  string
	queue *swadmission.Queue

	mutex       sync.Mutex
	description swindex.Server
	share       share
	// connections holds all open connections. idle holds those available for a request, the most recently used last.
	connections map[*connection]struct{}
	idle        []*connection
	dialing     int
	// freed is closed when a connection may be free. It is nil if no goroutine waits for one.
	freed            chan struct{}
	retired          bool
	listedAsLeaving  bool
	leavingNoticedAt time.Time
	leavingAnnounced bool
	// loweredLimit bounds the connections until loweredLimitUntil, after the server refused one.
	loweredLimit      int
	loweredLimitUntil time.Time
	// heldUntil is until when the server wants nothing from this VM.
	heldUntil   time.Time
	latencies   map[string]*latencyTracker
	dialBackoff dialBackoff
	crash       crashEvidence
}

func newServer(pool *Pool, description swindex.Server) *server {
	server := &server{
		pool:        pool,
		name:        description.Name,
		description: description,
		share:       pool.share,
		connections: make(map[*connection]struct{}),
		latencies:   make(map[string]*latencyTracker),
	}
	queueConfig := swadmission.QueueConfig{Slots: server.usableSlots(), Settings: pool.config.Admission}
	if pool.config.Observer != nil {
		queueConfig.Observer = pool.config.Observer
	}
	server.queue = swadmission.NewQueue(queueConfig)
	return server
}

func (server *server) address() netip.AddrPort {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.description.Address
}

// update applies the server's entry in the server list. An outdated list does not revoke a leaving notice that this VM has
// seen itself. If the entry says that the server is leaving, the caller must call setLeaving after releasing its lock.
func (server *server) update(description swindex.Server, share share) {
	server.mutex.Lock()
	server.description = description
	if server.listedAsLeaving && !description.Leaving {
		server.leavingNoticedAt = time.Time{}
		server.leavingAnnounced = false
	}
	server.listedAsLeaving = description.Leaving
	server.mutex.Unlock()
	server.setShare(share)
}

func (server *server) setShare(share share) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.share = share
	server.queue.SetSlots(server.usableSlots())
}

// refreshSlots updates the number of slots of the queue, which rises when a lowered connection limit expires.
func (server *server) refreshSlots() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.queue.SetSlots(server.usableSlots())
}

// usableSlots returns this VM's share of the slots, at most its number of usable connections.
func (server *server) usableSlots() int {
	slots := max(1, server.description.Slots*server.share.numerator/server.share.denominator)
	return min(slots, server.usableConnections())
}

// usableConnections returns how many connections this VM may have open.
func (server *server) usableConnections() int {
	limit := server.description.Connections
	usable := (limit - limit/reservedDivisor) * server.share.numerator / server.share.denominator
	if time.Now().Before(server.loweredLimitUntil) {
		usable = min(usable, server.loweredLimit)
	}
	return max(1, usable)
}

func (server *server) isLeaving() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.leavingLocked()
}

// leavingLocked reports whether the server accepts no new work. The caller must hold the mutex.
func (server *server) leavingLocked() bool {
	if server.listedAsLeaving || server.retired {
		return true
	}
	return !server.leavingNoticedAt.IsZero() && time.Since(server.leavingNoticedAt) < leavingNoticeDuration
}

// setLeaving stops new work. If the leaving notice is new, it also refuses the waiting work and calls OnLeaving.
func (server *server) setLeaving() {
	server.mutex.Lock()
	isNew := !server.leavingAnnounced || !server.leavingLocked()
	server.leavingNoticedAt = time.Now()
	server.leavingAnnounced = true
	server.mutex.Unlock()
	if !isNew {
		return
	}
	// Close refuses the waiting work. The queue is reopened at once because isLeaving refuses new work until the notice expires.
	server.queue.Close()
	server.queue.Reopen()
	if server.pool.config.OnLeaving != nil {
		server.pool.config.OnLeaving(server.name)
	}
}

// retire stops new work permanently and closes idle connections. Work in flight continues.
func (server *server) retire() {
	server.mutex.Lock()
	server.retired = true
	idle := server.removeIdle(func(*connection) bool { return true })
	server.mutex.Unlock()
	server.queue.Close()
	closeAll(idle)
}

func (server *server) closeAll() {
	server.mutex.Lock()
	open := make([]*connection, 0, len(server.connections))
	for connection := range server.connections {
		open = append(open, connection)
	}
	server.mutex.Unlock()
	closeAll(open)
}

// removeIdle removes and returns the idle connections that match. The caller must hold the mutex, and close them after
// releasing it.
func (server *server) removeIdle(match func(*connection) bool) []*connection {
	var removed []*connection
	kept := server.idle[:0]
	for _, connection := range server.idle {
		if match(connection) {
			removed = append(removed, connection)
		} else {
			kept = append(kept, connection)
		}
	}
	clear(server.idle[len(kept):])
	server.idle = kept
	return removed
}

func closeAll(connections []*connection) {
	for _, connection := range connections {
		connection.close()
	}
}

func (server *server) observe(event ConnectionEvent) {
	if server.pool.config.Observer != nil {
		server.pool.config.Observer.ConnectionEvent(server.name, event)
	}
}

func (server *server) leavingAnswer() Answer {
	return Answer{Outcome: ServerLeaving, Ran: swcode.RanNo, Code: swcode.NoReplica, Message: server.name + " is leaving"}
}

func (server *server) unreachableAnswer(err error) Answer {
	return Answer{Outcome: Unreachable, Ran: swcode.RanNo, Code: swcode.NoReplica, Message: server.name + ": " + err.Error()}
}

// refusalAnswer returns the answer to work that was refused before it was sent.
func (server *server) refusalAnswer(err error) Answer {
	var refusal *swcode.Error
	if !errors.As(err, &refusal) {
		return Answer{Outcome: Failed, Ran: swcode.RanNo, Code: swcode.Internal, Message: err.Error()}
	}
	answer := Answer{Ran: swcode.RanNo, Code: refusal.Code, Message: refusal.Message}
	switch refusal.Code {
	case swcode.CannotMeet:
		answer.Outcome = Late
	case swcode.CallerGone:
		answer.Outcome = Cancelled
	case swcode.Leaving:
		return server.leavingAnswer()
	default:
		answer.Outcome = Shed
	}
	return answer
}
