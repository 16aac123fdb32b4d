package swbackend

import (
	"context"
	"slices"
	"time"
)

// crashWindow is the time within which lost connections to a server count as one event.
const crashWindow = 10 * time.Millisecond

// crashEvidence counts the connections to a server that were lost within one crashWindow.
type crashEvidence struct {
	collecting bool
	startedAt  time.Time
	// judged is closed when the evidence has been judged, and linksLost says whether this VM lost its links to several servers.
	judged    chan struct{}
	linksLost bool
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
		*evidence = crashEvidence{
			collecting: true, startedAt: time.Now(), judged: make(chan struct{}),
			openAtFirstLoss: len(server.connections), inFlight: server.countInFlight(),
		}
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

// recordLoss reports whether the loss of the connection is evidence of a crash, and how many requests were in flight. It waits until the
// evidence has been judged.
func (server *server) recordLoss(connection *connection) (crash bool, inFlight int) {
	server.observe(ConnectionLost)
	if server.lowerLimitIfRefused(connection) {
		return false, 0
	}
	server.mutex.Lock()
	judged := server.crash.judged
	server.mutex.Unlock()
	if judged != nil {
		<-judged
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return !server.crash.linksLost, max(1, server.crash.inFlight)
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

// detectCrash waits for crashWindow and reports a crash if all connections were lost and a request was in flight, unless this VM lost its
// links to several servers.
func (server *server) detectCrash(ctx context.Context) {
	timer := time.NewTimer(crashWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	linksLost := server.pool.linksLostWith(server)
	server.mutex.Lock()
	evidence := &server.crash
	evidence.collecting = false
	evidence.linksLost = linksLost
	close(evidence.judged)
	fingerprints, crashed := evidence.fingerprints, evidence.lostAll() && len(evidence.fingerprints) > 0
	server.mutex.Unlock()
	if !crashed || ctx.Err() != nil {
		return
	}
	server.queue.ResetLimit()
	switch {
	case linksLost:
		server.observe(LinksLost)
	case server.pool.config.OnCrash != nil:
		server.pool.config.OnCrash(server.name, fingerprints)
	}
}

// lostAll reports whether all connections to the server were lost.
func (evidence *crashEvidence) lostAll() bool {
	return evidence.lost > 0 && evidence.lost >= evidence.openAtFirstLoss
}

// linksLostWith reports whether this VM lost its links to several servers, and not the servers crashed: they lost all connections at the same
// moment as the given one, and had no request in common that could have crashed them all.
func (pool *Pool) linksLostWith(lost *server) bool {
	pool.mutex.RLock()
	defer pool.mutex.RUnlock()
	startedAt, common, ok := lost.totalLoss()
	if !ok {
		return false
	}
	servers := 1
	for _, other := range pool.servers {
		if other == lost {
			continue
		}
		otherStartedAt, fingerprints, ok := other.totalLoss()
		if !ok || otherStartedAt.Sub(startedAt).Abs() > crashWindow {
			continue
		}
		servers++
		common = slices.DeleteFunc(common, func(fingerprint uint64) bool { return !slices.Contains(fingerprints, fingerprint) })
	}
	return servers > 1 && len(common) == 0
}

// totalLoss returns when all connections to the server were last lost within a crashWindow, and the fingerprints of the requests in flight. ok
// is false if they were not.
func (server *server) totalLoss() (startedAt time.Time, fingerprints []uint64, ok bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.crash.startedAt, slices.Clone(server.crash.fingerprints), server.crash.lostAll()
}
