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
	// reservedFraction is the inverse of the part of a server's connections that this VM leaves to others, so that a
	// second owner is not locked out while views of the live VMs differ.
	reservedFraction = 4
	// spareConnections is the number of connections kept open beyond the slots.
	spareConnections = 1
	// leavingFor is how long a leaving sign holds without being seen again.
	leavingFor = 60 * time.Second
)

// server is what the pool keeps of one backend server.
type server struct {
	pool  *Pool
	name  string
	queue *swadmission.Queue

	mutex       sync.Mutex
	description swindex.Server
	share       share
	// connections holds every open connection, and idle those of them without a request, the last used at the end.
	connections map[*connection]struct{}
	idle        []*connection
	dialing     int
	// freed is closed when a connection may have come free; nil when nobody waits for one.
	freed       chan struct{}
	retired     bool
	listLeaving bool
	leavingSeen time.Time
	announced   bool
	// accepted bounds the connections until acceptedUntil, after the server refused one.
	accepted      int
	acceptedUntil time.Time
	latencies     map[string]*latency
	outage        outage
	crash         crashEvidence
}

func newServer(pool *Pool, description swindex.Server) *server {
	server := &server{
		pool:        pool,
		name:        description.Name,
		description: description,
		share:       pool.share,
		connections: make(map[*connection]struct{}),
		latencies:   make(map[string]*latency),
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

// describe takes in what the server list says. A list that lags does not undo a sign that this VM saw itself.
// The caller passes the sign of leaving on, once it holds no lock.
func (server *server) describe(description swindex.Server, share share) {
	server.mutex.Lock()
	server.description = description
	if server.listLeaving && !description.Leaving {
		server.leavingSeen = time.Time{}
		server.announced = false
	}
	server.listLeaving = description.Leaving
	server.mutex.Unlock()
	server.setShare(share)
}

func (server *server) setShare(share share) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.share = share
	server.queue.SetSlots(server.usableSlots())
}

// refreshSlots tells the queue how many slots this VM may use at present.
func (server *server) refreshSlots() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.queue.SetSlots(server.usableSlots())
}

// usableSlots returns this VM's part of the slots, no more than its connections.
func (server *server) usableSlots() int {
	slots := max(1, server.description.Slots*server.share.numerator/server.share.denominator)
	return min(slots, server.usableConnections())
}

// usableConnections returns how many connections this VM may hold.
func (server *server) usableConnections() int {
	limit := server.description.Connections
	usable := (limit - limit/reservedFraction) * server.share.numerator / server.share.denominator
	if time.Now().Before(server.acceptedUntil) {
		usable = min(usable, server.accepted)
	}
	return max(1, usable)
}

func (server *server) isLeaving() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.leavingLocked()
}

func (server *server) leavingLocked() bool {
	if server.listLeaving || server.retired {
		return true
	}
	return !server.leavingSeen.IsZero() && time.Since(server.leavingSeen) < leavingFor
}

// setLeaving stops new work, refuses what waits, and announces the sign when it is new.
func (server *server) setLeaving() {
	server.mutex.Lock()
	first := !server.announced || !server.leavingLocked()
	server.leavingSeen = time.Now()
	server.announced = true
	server.mutex.Unlock()
	if !first {
		return
	}
	server.queue.Close()
	server.queue.Open()
	if server.pool.config.OnLeaving != nil {
		server.pool.config.OnLeaving(server.name)
	}
}

// retire stops new work for good.
func (server *server) retire() {
	server.mutex.Lock()
	server.retired = true
	idle := server.takeIdle(func(*connection) bool { return true })
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

// takeIdle removes the idle connections that match. The caller holds the mutex and closes them after.
func (server *server) takeIdle(match func(*connection) bool) []*connection {
	var taken []*connection
	kept := server.idle[:0]
	for _, connection := range server.idle {
		if match(connection) {
			taken = append(taken, connection)
		} else {
			kept = append(kept, connection)
		}
	}
	clear(server.idle[len(kept):])
	server.idle = kept
	return taken
}

func closeAll(connections []*connection) {
	for _, connection := range connections {
		connection.close()
	}
}

func (server *server) event(event ConnectionEvent) {
	if server.pool.config.Observer != nil {
		server.pool.config.Observer.ConnectionEvent(server.name, event)
	}
}

func (server *server) leavingAnswer() Answer {
	return Answer{Outcome: ServerLeaving, Code: swcode.NoReplica, Message: server.name + " is leaving"}
}

func (server *server) unreachableAnswer(err error) Answer {
	return Answer{Outcome: Unreachable, Code: swcode.NoReplica, Message: server.name + ": " + err.Error()}
}

// refusalAnswer returns the answer to work that the queue refused.
func (server *server) refusalAnswer(err error) Answer {
	var refusal *swcode.Error
	if !errors.As(err, &refusal) {
		return Answer{Outcome: Failed, Code: swcode.Internal, Message: err.Error()}
	}
	answer := Answer{Code: refusal.Code, Message: refusal.Message}
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
