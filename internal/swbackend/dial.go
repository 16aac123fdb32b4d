package swbackend

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds one attempt to open a connection.
	dialTimeout = 500 * time.Millisecond
	// minRedialDelay is the delay after the first failed dial.
	minRedialDelay = 20 * time.Millisecond
	// maxRedialDelay bounds the delay between dials to an unreachable server.
	maxRedialDelay = time.Second
)

var (
	errRecentDialFailure = errors.New("a recent attempt to connect to the server failed")
	errRetired           = errors.New("the server is no longer listed")
	errConnectionLimit   = errors.New("all connections that this VM may open are in use")
)

// dialBackoff is the exponential backoff after failed dials. While it lasts, work for a server without open connections
// fails at once.
type dialBackoff struct {
	until time.Time
	delay time.Duration
}

func (dialBackoff *dialBackoff) recordFailure(now time.Time) {
	dialBackoff.delay = min(maxRedialDelay, max(minRedialDelay, 2*dialBackoff.delay))
	dialBackoff.until = now.Add(dialBackoff.delay)
}

// checkReachable returns an error during a dial backoff if no connection is open.
func (server *server) checkReachable() error {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.connections) == 0 && time.Now().Before(server.dialBackoff.until) {
		return errRecentDialFailure
	}
	return nil
}

// acquireConnection returns an idle connection, opens one, or waits for one if the connection limit is reached. With
// answeredOnly it prefers opening a connection to using an idle one on which the server has never answered.
func (server *server) acquireConnection(ctx context.Context, answeredOnly bool) (*connection, error) {
	for {
		connection, freed, err := server.tryAcquireConnection(answeredOnly)
		switch {
		case err != nil:
			return nil, err
		case connection != nil:
			server.openSpare()
			return connection, nil
		case freed == nil:
			return server.dial(ctx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), errConnectionLimit.Error())
		}
	}
}

// tryAcquireConnection returns an idle connection, or a channel that is closed when one may be free, or neither if the
// caller must dial.
func (server *server) tryAcquireConnection(answeredOnly bool) (*connection, <-chan struct{}, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if connection := server.popIdle(answeredOnly); connection != nil {
		return connection, nil, nil
	}
	err := server.checkDialAllowed()
	if err == nil {
		server.dialing++
		return nil, nil, nil
	}
	if connection := server.popIdle(false); connection != nil {
		return connection, nil, nil
	}
	if !errors.Is(err, errConnectionLimit) {
		return nil, nil, err
	}
	if server.freed == nil {
		server.freed = make(chan struct{})
	}
	return nil, server.freed, nil
}

// signalFreed wakes all goroutines that wait for a connection. The caller must hold the mutex.
func (server *server) signalFreed() {
	if server.freed != nil {
		close(server.freed)
		server.freed = nil
	}
}

// popIdle removes and returns the most recently used idle connection. The caller must hold the mutex.
func (server *server) popIdle(answeredOnly bool) *connection {
	for i := len(server.idle) - 1; i >= 0; i-- {
		connection := server.idle[i]
		if answeredOnly && !connection.hasAnswered.Load() {
			continue
		}
		server.idle = append(server.idle[:i], server.idle[i+1:]...)
		return connection
	}
	return nil
}

// checkDialAllowed returns an error during a dial backoff or if the connection limit is reached. The caller must hold the mutex.
func (server *server) checkDialAllowed() error {
	if time.Now().Before(server.dialBackoff.until) {
		return errRecentDialFailure
	}
	if len(server.connections)+server.dialing >= server.usableConnections() {
		return errConnectionLimit
	}
	return nil
}

// dial opens a connection. The caller has already counted it in server.dialing.
func (server *server) dial(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := server.pool.config.Dial(ctx, server.address())
	server.mutex.Lock()
	server.dialing--
	if err != nil {
		server.signalFreed()
		if ctx.Err() != context.Canceled {
			server.dialBackoff.recordFailure(time.Now())
		}
		server.mutex.Unlock()
		server.observe(DialFailed)
		return nil, errors.Wrapf(err, "dial %s", server.name)
	}
	server.dialBackoff = dialBackoff{}
	if server.retired {
		server.mutex.Unlock()
		conn.Close()
		return nil, errRetired
	}
	connection := newConnection(server, conn)
	server.connections[connection] = struct{}{}
	server.mutex.Unlock()
	server.observe(ConnectionOpened)
	server.pool.group.Go(connection.readUntilClosed)
	return connection, nil
}

// putIdle returns a connection to the idle ones, or closes it if the server is retired.
func (server *server) putIdle(connection *connection) {
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

// removeConnection removes a closed connection from the server's state.
func (server *server) removeConnection(closed *connection) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	closed.closedLocally = true
	delete(server.connections, closed)
	server.signalFreed()
	server.removeIdle(func(connection *connection) bool { return connection == closed })
}

// openSpare opens a connection in the background if fewer than spareConnections are idle or being opened.
func (server *server) openSpare() {
	server.mutex.Lock()
	wanted := !server.retired && len(server.idle)+server.dialing < spareConnections && server.checkDialAllowed() == nil
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
			server.putIdle(connection)
		}
	})
}

// closeSuspects closes the idle connections on which nothing was read since the given time, at which a request that got no
// answer was sent on another connection.
func (server *server) closeSuspects(since time.Time) {
	server.mutex.Lock()
	suspects := server.removeIdle(func(connection *connection) bool { return !connection.answeredSince(since) })
	server.mutex.Unlock()
	for _, connection := range suspects {
		server.observe(SuspectClosed)
		connection.close()
	}
}
