package swbackend

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// outageLeast is the pause after the first failed dial.
	outageLeast = 20 * time.Millisecond
	// outageMost is the longest pause between dials to a server that cannot be reached.
	outageMost = time.Second
)

var (
	errOutage  = errors.New("the server could not be reached a moment ago")
	errRetired = errors.New("the server is no longer listed")
	errLimit   = errors.New("all connections that this VM may hold are in use")
)

// outage remembers failed dials, so that work for a server that is down fails at once.
type outage struct {
	until time.Time
	pause time.Duration
}

func (outage *outage) failed(now time.Time) {
	outage.pause = min(outageMost, max(outageLeast, 2*outage.pause))
	outage.until = now.Add(outage.pause)
}

// reachable returns an error while the server is known not to take connections and none is open.
func (server *server) reachable() error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.connections) == 0 && time.Now().Before(server.outage.until) {
		return errOutage
	}
	return nil
}

// take returns an idle connection, opens one, or waits for one while this VM holds as many as it may. With proven it
// prefers to open one to an idle connection that no response was read on.
func (server *server) take(ctx context.Context, proven bool) (*connection, error) {
	for {
		connection, freed, err := server.tryTake(proven)
		switch {
		case err != nil:
			return nil, err
		case connection != nil:
			server.warm()
			return connection, nil
		case freed == nil:
			return server.dial(ctx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), errLimit.Error())
		}
	}
}

// tryTake returns an idle connection, or the signal that tells when one may have come free, or neither when the caller
// is to dial.
func (server *server) tryTake(proven bool) (*connection, <-chan struct{}, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if connection := server.popIdle(proven); connection != nil {
		return connection, nil, nil
	}
	err := server.mayDial()
	if err == nil {
		server.dialing++
		return nil, nil, nil
	}
	if connection := server.popIdle(false); connection != nil {
		return connection, nil, nil
	}
	if !errors.Is(err, errLimit) {
		return nil, nil, err
	}
	if server.freed == nil {
		server.freed = make(chan struct{})
	}
	return nil, server.freed, nil
}

// signalFreed wakes those who wait for a connection. The caller holds the mutex.
func (server *server) signalFreed() {
	if server.freed != nil {
		close(server.freed)
		server.freed = nil
	}
}

// popIdle removes the idle connection that was used last. The caller holds the mutex.
func (server *server) popIdle(proven bool) *connection {
	for i := len(server.idle) - 1; i >= 0; i-- {
		connection := server.idle[i]
		if proven && !connection.proven.Load() {
			continue
		}
		server.idle = append(server.idle[:i], server.idle[i+1:]...)
		return connection
	}
	return nil
}

func (server *server) mayDial() error {
	if time.Now().Before(server.outage.until) {
		return errOutage
	}
	if len(server.connections)+server.dialing >= server.usableConnections() {
		return errLimit
	}
	return nil
}

// dial opens a connection that counts as dialing already.
func (server *server) dial(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := server.pool.config.Dial(ctx, server.address())
	server.mutex.Lock()
	server.dialing--
	if err != nil {
		server.signalFreed()
		if ctx.Err() != context.Canceled {
			server.outage.failed(time.Now())
		}
		server.mutex.Unlock()
		server.event(DialFailed)
		return nil, errors.Wrapf(err, "dial %s", server.name)
	}
	server.outage = outage{}
	if server.retired {
		server.mutex.Unlock()
		conn.Close()
		return nil, errRetired
	}
	connection := newConnection(server, conn)
	server.connections[connection] = struct{}{}
	server.mutex.Unlock()
	server.event(ConnectionOpened)
	server.pool.group.Go(connection.read)
	return connection, nil
}

// give puts a connection back among the idle ones.
func (server *server) give(connection *connection) {
	server.mutex.Lock()
	_, open := server.connections[connection]
	keep := open && !server.retired
	if keep {
		server.idle = append(server.idle, connection)
		server.signalFreed()
	}
	server.mutex.Unlock()
	if open && !keep {
		connection.close()
	}
}

// forget drops a connection that was closed from either side.
func (server *server) forget(closed *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	closed.closedHere = true
	delete(server.connections, closed)
	server.signalFreed()
	server.takeIdle(func(connection *connection) bool { return connection == closed })
}

// warm opens a spare connection in the background when none is left.
func (server *server) warm() {
	server.mutex.Lock()
	wanted := !server.retired && len(server.idle)+server.dialing < spareConnections && server.mayDial() == nil
	if wanted {
		server.dialing++
	}
	server.mutex.Unlock()
	if !wanted {
		return
	}
	server.pool.group.Go(func(ctx context.Context) {
		connection, err := server.dial(ctx)
		if err == nil {
			server.give(connection)
		}
	})
}

// distrust closes idle connections on which nothing was read since a request was sent that got no answer.
func (server *server) distrust(since time.Time) {
	server.mutex.Lock()
	suspects := server.takeIdle(func(connection *connection) bool { return !connection.readSince(since) })
	server.mutex.Unlock()
	for _, connection := range suspects {
		server.event(SuspectClosed)
		connection.close()
	}
}
