package swlabbackend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// unresponsiveHold is how long an unresponsive connection stays open after the client closed it.
const unresponsiveHold = 2 * time.Second

// connection is an accepted connection that can become unresponsive: from then on it discards all data in both
// directions, and neither end sees an error.
type connection struct {
	net.Conn
	listener     *listener
	unresponsive atomic.Bool
	closeOnce    sync.Once
	closed       chan struct{}
}

// Read reads from the connection. Once the connection is unresponsive, Read discards what arrives and blocks until the
// connection is closed or, after the client has closed it, until unresponsiveHold has passed.
func (connection *connection) Read(buffer []byte) (int, error) {
	for {
		n, err := connection.Conn.Read(buffer)
		if !connection.unresponsive.Load() {
			return n, err
		}
		if err == nil {
			continue
		}
		select {
		case <-connection.closed:
		case <-time.After(unresponsiveHold):
		}
		return 0, err
	}
}

// Write writes to the connection. Once the connection is unresponsive, Write discards the data and reports success.
func (connection *connection) Write(data []byte) (int, error) {
	if connection.unresponsive.Load() {
		return len(data), nil
	}
	return connection.Conn.Write(data)
}

// Close closes the connection and stops counting it towards the listener's limit.
func (connection *connection) Close() error {
	connection.closeOnce.Do(func() {
		close(connection.closed)
		connection.listener.unregister(connection)
	})
	return connection.Conn.Close()
}

// listener limits the number of open connections and delays new ones.
type listener struct {
	net.Listener
	maxOpen      int
	connectDelay time.Duration
	group        *swgroup.Group
	accepted     chan net.Conn
	rejected     atomic.Int64

	mutex sync.Mutex
	open  map[*connection]struct{}
	// newUnresponsive makes new connections unresponsive from the start.
	newUnresponsive bool
}

func newListener(tcpListener net.Listener, maxOpen int, connectDelay time.Duration) *listener {
	listener := &listener{
		Listener: tcpListener, maxOpen: maxOpen, connectDelay: connectDelay,
		group:    swgroup.New(context.Background()),
		accepted: make(chan net.Conn),
		open:     make(map[*connection]struct{}),
	}
	listener.group.Go(listener.acceptAll)
	return listener
}

func (listener *listener) acceptAll(context.Context) {
	defer listener.group.Cancel()
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return
		}
		connection := listener.register(accepted)
		if connection == nil {
			listener.rejected.Add(1)
			accepted.Close()
			continue
		}
		listener.group.Go(func(ctx context.Context) { listener.deliver(ctx, connection) })
	}
}

// register adds an accepted connection to the open ones. It returns nil when the limit is reached.
func (listener *listener) register(accepted net.Conn) *connection {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if len(listener.open) >= listener.maxOpen {
		return nil
	}
	connection := &connection{Conn: accepted, listener: listener, closed: make(chan struct{})}
	connection.unresponsive.Store(listener.newUnresponsive)
	listener.open[connection] = struct{}{}
	return connection
}

// deliver hands a connection to Accept after the connect delay.
func (listener *listener) deliver(ctx context.Context, connection *connection) {
	select {
	case <-time.After(listener.connectDelay):
	case <-ctx.Done():
	}
	select {
	case listener.accepted <- connection:
	case <-ctx.Done():
		_ = connection.Close()
	}
}

// Accept returns the next connection whose connect delay has passed.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.accepted:
		return connection, nil
	case <-listener.group.Context().Done():
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections. Open connections stay open.
func (listener *listener) Close() error {
	err := listener.Listener.Close()
	listener.group.Stop()
	return err
}

func (listener *listener) unregister(connection *connection) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	delete(listener.open, connection)
}

func (listener *listener) openConnections() []*connection {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	open := make([]*connection, 0, len(listener.open))
	for connection := range listener.open {
		open = append(open, connection)
	}
	return open
}

// makeUnresponsive makes every open connection unresponsive. newUnresponsive says whether new ones become so too.
func (listener *listener) makeUnresponsive(newUnresponsive bool) {
	for _, connection := range listener.openConnections() {
		connection.unresponsive.Store(true)
	}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.newUnresponsive = newUnresponsive
}

// resetConnections closes every open connection with a TCP reset, so that clients see no orderly close.
func (listener *listener) resetConnections() {
	for _, connection := range listener.openConnections() {
		if tcp, ok := connection.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}
