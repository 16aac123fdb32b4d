package swbackend

import (
	"context"
	"time"
)

// crashWindow is the time within which lost connections to a server count as one event.
const crashWindow = 10 * time.Millisecond

// crashEvidence counts the connections to a server that were lost within one crashWindow.
type crashEvidence struct {
	collecting bool
	// openAtFirstLoss and inFlight are the numbers of open connections and of requests in flight just before the first
	// loss. lost is the number of connections lost since, and fingerprints are those of their requests.
	openAtFirstLoss int
	lost            int
	inFlight        int
	fingerprints    []uint64
}

// setRequest records the sub-request in flight on the connection.
func (server *server) setRequest(connection *connection, subRequest *SubRequest) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	connection.request = subRequest
}

// clearRequest records that no sub-request is in flight on the connection.
func (server *server) clearRequest(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	connection.request = nil
}

// connectionEnded collects crash evidence. The reader calls it when a connection has ended, before it passes the error to
// the waiting request.
func (server *server) connectionEnded(connection *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if connection.closedLocally {
		return
	}
	evidence := &server.crash
	if !evidence.collecting {
		*evidence = crashEvidence{collecting: true, openAtFirstLoss: len(server.connections), inFlight: server.countInFlight()}
		server.pool.group.Go(server.detectCrash)
	}
	evidence.lost++
	if connection.request != nil && connection.outstanding.Load() {
		evidence.fingerprints = append(evidence.fingerprints, connection.request.Fingerprint)
	}
}

// countInFlight returns the number of requests in flight. The caller must hold the mutex.
func (server *server) countInFlight() int {
	count := 0
	for connection := range server.connections {
		if connection.request != nil {
			count++
		}
	}
	return count
}

// recordLoss reports whether the loss of the connection is evidence of a crash, and how many requests were in flight.
func (server *server) recordLoss(connection *connection) (crash bool, inFlight int) {
	server.observe(ConnectionLost)
	if server.lowerLimitIfRefused(connection) {
		return false, 0
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return true, max(1, server.crash.inFlight)
}

// lowerLimitIfRefused reports whether the server refused the ended connection for exceeding its connection limit: it never
// answered on this connection but keeps others open. If so, it limits this VM to the number of the others for
// loweredLimitDuration.
func (server *server) lowerLimitIfRefused(connection *connection) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	answered := server.countAnswered()
	if connection.hasAnswered.Load() || answered == 0 {
		return false
	}
	server.loweredLimit, server.loweredLimitUntil = answered, time.Now().Add(loweredLimitDuration)
	server.queue.SetSlots(server.usableSlots())
	return true
}

// loweredLimitDuration is how long the connection limit stays lowered after the server refused a connection.
const loweredLimitDuration = 10 * time.Second

// countAnswered returns the number of open connections on which the server has answered. The caller must hold the mutex.
func (server *server) countAnswered() int {
	count := 0
	for connection := range server.connections {
		if connection.hasAnswered.Load() {
			count++
		}
	}
	return count
}

// detectCrash waits for crashWindow and reports a crash if all connections were lost and a request was in flight.
func (server *server) detectCrash(ctx context.Context) {
	timer := time.NewTimer(crashWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	server.mutex.Lock()
	evidence := server.crash
	server.crash.collecting = false
	server.mutex.Unlock()
	if evidence.lost < evidence.openAtFirstLoss || len(evidence.fingerprints) == 0 {
		return
	}
	server.queue.ResetLimit()
	if server.pool.config.OnCrash != nil {
		server.pool.config.OnCrash(server.name, evidence.fingerprints)
	}
}
