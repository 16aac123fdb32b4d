package swbackend

import (
	"context"
	"time"
)

// crashSettle is the time within which the deaths of a server's connections count as one event.
const crashSettle = 10 * time.Millisecond

// crashEvidence gathers the connections of a server that died at about the same time.
type crashEvidence struct {
	gathering bool
	// open is the number of connections when the first one died, and died how many of them did so since.
	open         int
	died         int
	inFlight     int
	fingerprints []uint64
}

// began notes that the connection carries the sub-request.
func (server *server) began(connection *connection, subRequest *SubRequest) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	connection.request = subRequest
}

// finished notes that the connection carries nothing any more.
func (server *server) finished(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	connection.request = nil
}

// ended is called by the reader when a connection has ended, before the waiting request learns of it.
func (server *server) ended(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if connection.closedHere {
		return
	}
	evidence := &server.crash
	if !evidence.gathering {
		*evidence = crashEvidence{gathering: true, open: len(server.connections), inFlight: server.inFlight()}
		server.pool.group.Go(server.settle)
	}
	evidence.died++
	if connection.request != nil && connection.outstanding.Load() {
		evidence.fingerprints = append(evidence.fingerprints, connection.request.Fingerprint)
	}
}

// inFlight counts the requests in flight. The caller holds the mutex.
func (server *server) inFlight() int {
	count := 0
	for connection := range server.connections {
		if connection.request != nil {
			count++
		}
	}
	return count
}

// died returns whether the connection's end is evidence of a crash, and how many requests were in flight then.
func (server *server) died(connection *connection) (crash bool, inFlight int) {
	server.event(ConnectionLost)
	if server.tooMany(connection) {
		return false, 0
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return true, max(1, server.crash.inFlight)
}

// tooMany reports whether the connection that ended was one too many for the server: the server never answered on it and
// keeps others open. It then holds this VM to those for a while.
func (server *server) tooMany(connection *connection) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	working := server.countProven()
	if connection.proven.Load() || working == 0 {
		return false
	}
	server.accepted, server.acceptedUntil = working, time.Now().Add(acceptedFor)
	server.queue.SetSlots(server.usableSlots())
	return true
}

// acceptedFor is how long a VM keeps to the connections that a server left open when it refused one.
const acceptedFor = 10 * time.Second

// countProven returns the number of open connections that the server has answered on. The caller holds the mutex.
func (server *server) countProven() int {
	count := 0
	for connection := range server.connections {
		if connection.proven.Load() {
			count++
		}
	}
	return count
}

// settle waits for the other connections to die and reports a crash when all of them did.
func (server *server) settle(ctx context.Context) {
	timer := time.NewTimer(crashSettle)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	server.mutex.Lock()
	evidence := server.crash
	server.crash.gathering = false
	server.mutex.Unlock()
	if evidence.died < evidence.open || len(evidence.fingerprints) == 0 {
		return
	}
	server.queue.Restart()
	if server.pool.config.OnCrash != nil {
		server.pool.config.OnCrash(server.name, evidence.fingerprints)
	}
}
