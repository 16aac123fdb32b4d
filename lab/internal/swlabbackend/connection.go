package swlabbackend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// silentHold is how long a server keeps a silent connection after its other end closed it.
const silentHold = 2 * time.Second

// connection is an accepted connection that can go silent: nothing passes any more in either direction, and neither
// end learns of it.
type connection struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

// Read passes data until the connection goes silent.
func (connection *connection) Read(buffer []byte) (int, error) {
	for {
		n, err := connection.Conn.Read(buffer)
		if !connection.silent.Load() {
			return n, err
		}
		if err == nil {
			continue
		}
		select {
		case <-connection.closed:
		case <-time.After(silentHold):
		}
		return 0, err
	}
}

// Write passes data until the connection goes silent, and then pretends to.
func (connection *connection) Write(data []byte) (int, error) {
	if connection.silent.Load() {
		return len(data), nil
	}
	return connection.Conn.Write(data)
}

// Close frees the connection's place.
func (connection *connection) Close() error {
	connection.once.Do(func() {
		close(connection.closed)
		connection.listener.forget(connection)
	})
	return connection.Conn.Close()
}

// listener bounds the open connections and delays new ones.
type listener struct {
	net.Listener
	limit    int
	delay    time.Duration
	group    *swgroup.Group
	accepted chan net.Conn
	rejected atomic.Int64

	mutex sync.Mutex
	open  map[*connection]struct{}
	// silentNew makes new connections silent too.
	silentNew bool
}

func newListener(inner net.Listener, limit int, delay time.Duration) *listener {
	listener := &listener{
		Listener: inner, limit: limit, delay: delay,
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
		connection := listener.admit(accepted)
		if connection == nil {
			listener.rejected.Add(1)
			accepted.Close()
			continue
		}
		listener.group.Go(func(ctx context.Context) { listener.hand(ctx, connection) })
	}
}

// admit returns nil when there is no place left.
func (listener *listener) admit(accepted net.Conn) *connection {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if len(listener.open) >= listener.limit {
		return nil
	}
	connection := &connection{Conn: accepted, listener: listener, closed: make(chan struct{})}
	connection.silent.Store(listener.silentNew)
	listener.open[connection] = struct{}{}
	return connection
}

// hand passes a connection on after the connect delay.
func (listener *listener) hand(ctx context.Context, connection *connection) {
	select {
	case <-time.After(listener.delay):
	case <-ctx.Done():
	}
	select {
	case listener.accepted <- connection:
	case <-ctx.Done():
		_ = connection.Close()
	}
}

// Accept returns the next connection whose delay has passed.
func (listener *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-listener.accepted:
		return connection, nil
	case <-listener.group.Context().Done():
		return nil, net.ErrClosed
	}
}

// Close stops accepting.
func (listener *listener) Close() error {
	err := listener.Listener.Close()
	listener.group.Stop()
	return err
}

func (listener *listener) forget(connection *connection) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	delete(listener.open, connection)
}

func (listener *listener) connections() []*connection {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	list := make([]*connection, 0, len(listener.open))
	for connection := range listener.open {
		list = append(list, connection)
	}
	return list
}

// silence makes every open connection silent, and new ones too when asked.
func (listener *listener) silence(silentNew bool) {
	for _, connection := range listener.connections() {
		connection.silent.Store(true)
	}
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	listener.silentNew = silentNew
}

// reset drops every open connection without a farewell.
func (listener *listener) reset() {
	for _, connection := range listener.connections() {
		if tcp, ok := connection.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = connection.Close()
	}
}
