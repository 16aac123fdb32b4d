package swlabproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// chunkSize is the maximum size of a read, in bytes.
	chunkSize = 32 << 10
	// maxQueuedChunks is the number of chunks that one direction of a connection may queue. Reading blocks when the queue is full.
	maxQueuedChunks = 256
)

// TCPConfig holds the parameters of a TCP proxy.
type TCPConfig struct {
	// Listen is the address to listen on. When empty, a free loopback port is used.
	Listen string
	// Target is the address to which connections are forwarded.
	Target string
	// From is the group of the clients, To the group of the target.
	From    string
	To      string
	Network *Network
	// GroupOf returns the group of a client by its address and that to which it connected. If nil, it is From.
	GroupOf func(source, listener netip.AddrPort) string
}

// TCP is a TCP proxy in front of one target. Construct it with StartTCP.
type TCP struct {
	config   TCPConfig
	listener net.Listener
	group    *swgroup.Group

	mutex   sync.Mutex
	tunnels map[*tunnel]struct{}
}

// tunnel is one connection through the proxy.
type tunnel struct {
	// from is the group of the client.
	from       string
	clientConn net.Conn
	targetConn net.Conn
	// stalled is set once the tunnel drops all data for good.
	stalled   atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// chunk is data that is queued until it is due.
type chunk struct {
	data  []byte
	dueAt time.Time
}

// StartTCP starts a proxy, which serves until Close.
func StartTCP(config TCPConfig) (*TCP, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for TCP proxy")
	}
	proxy := &TCP{
		config: config, listener: listener, group: swgroup.New(context.Background()),
		tunnels: make(map[*tunnel]struct{}),
	}
	proxy.group.Go(proxy.accept)
	return proxy, nil
}

// Address returns the address on which the proxy listens.
func (proxy *TCP) Address() netip.AddrPort {
	return proxy.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops listening and closes every connection.
func (proxy *TCP) Close() {
	proxy.listener.Close()
	proxy.CloseConnections()
	proxy.group.Cancel()
	proxy.CloseConnections()
	proxy.group.Wait()
}

// StallConnections makes all open connections drop their data for good, without closing them. New connections work.
func (proxy *TCP) StallConnections() {
	for _, tunnel := range proxy.openTunnels() {
		tunnel.stalled.Store(true)
	}
}

// CloseConnections closes all open connections at both ends.
func (proxy *TCP) CloseConnections() {
	for _, tunnel := range proxy.openTunnels() {
		tunnel.close()
	}
}

// CloseConnectionsFrom closes the open connections of one group of clients.
func (proxy *TCP) CloseConnectionsFrom(group string) {
	for _, tunnel := range proxy.openTunnels() {
		if tunnel.from == group {
			tunnel.close()
		}
	}
}

func (proxy *TCP) openTunnels() []*tunnel {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	tunnels := make([]*tunnel, 0, len(proxy.tunnels))
	for tunnel := range proxy.tunnels {
		tunnels = append(tunnels, tunnel)
	}
	return tunnels
}

func (proxy *TCP) accept(context.Context) {
	for {
		clientConn, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.group.Go(func(ctx context.Context) { proxy.serve(ctx, clientConn) })
	}
}

// serve forwards one connection until either end closes it. A stalled connection lasts until both ends have closed it.
func (proxy *TCP) serve(ctx context.Context, clientConn net.Conn) {
	from := proxy.config.From
	if proxy.config.GroupOf != nil {
		from = proxy.config.GroupOf(clientConn.RemoteAddr().(*net.TCPAddr).AddrPort(), proxy.Address())
	}
	if link, _ := proxy.config.Network.link(from, proxy.config.To); link.Cut || link.Refuse {
		clientConn.Close()
		return
	}
	var dialer net.Dialer
	targetConn, err := dialer.DialContext(ctx, "tcp", proxy.config.Target)
	if err != nil {
		clientConn.Close()
		return
	}
	current := &tunnel{from: from, clientConn: clientConn, targetConn: targetConn, closed: make(chan struct{})}
	proxy.mutex.Lock()
	proxy.tunnels[current] = struct{}{}
	proxy.mutex.Unlock()
	if ctx.Err() != nil {
		current.close()
	}
	group := swgroup.New(ctx)
	proxy.copyDirection(group, current, clientConn, targetConn, from, proxy.config.To)
	proxy.copyDirection(group, current, targetConn, clientConn, proxy.config.To, from)
	group.Wait()
	current.close()
	proxy.mutex.Lock()
	delete(proxy.tunnels, current)
	proxy.mutex.Unlock()
}

func (tunnel *tunnel) close() {
	tunnel.closeOnce.Do(func() {
		close(tunnel.closed)
		tunnel.clientConn.Close()
		tunnel.targetConn.Close()
	})
}

// copyDirection copies one direction of a tunnel. One goroutine reads chunks, another writes each chunk when it is due. When the
// source closes, the tunnel closes, unless it drops data: then the target must not notice the close either.
func (proxy *TCP) copyDirection(group *swgroup.Group, tunnel *tunnel, source, target net.Conn, from, to string) {
	chunks := make(chan chunk, maxQueuedChunks)
	group.Go(func(context.Context) {
		defer close(chunks)
		proxy.readChunks(tunnel, source, chunks, from, to)
	})
	group.Go(func(context.Context) {
		for next := range chunks {
			if !proxy.writeChunk(tunnel, target, next, from, to) {
				break
			}
		}
		if !proxy.isDropping(tunnel, from, to) {
			tunnel.close()
		}
		for range chunks {
			continue
		}
	})
}

// isDropping reports whether a tunnel drops the data of one direction.
func (proxy *TCP) isDropping(tunnel *tunnel, from, to string) bool {
	link, _ := proxy.config.Network.link(from, to)
	return tunnel.stalled.Load() || link.Cut
}

// readChunks queues what it reads until the source closes. Data that arrives while the link is cut stalls the tunnel for good,
// because the stream would have a gap.
func (proxy *TCP) readChunks(tunnel *tunnel, source net.Conn, chunks chan<- chunk, from, to string) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		link, _ := proxy.config.Network.link(from, to)
		if link.Cut {
			tunnel.stalled.Store(true)
		}
		if !tunnel.stalled.Load() {
			chunks <- chunk{data: buffer[:n], dueAt: time.Now().Add(link.Delay)}
		}
	}
}

// writeChunk writes a chunk once it is due and the link is not held. It returns false when the tunnel has closed.
func (proxy *TCP) writeChunk(tunnel *tunnel, target net.Conn, next chunk, from, to string) bool {
	if wait := time.Until(next.dueAt); wait > 0 {
		time.Sleep(wait)
	}
	for {
		link, changed := proxy.config.Network.link(from, to)
		if !link.Hold {
			break
		}
		select {
		case <-changed:
		case <-tunnel.closed:
			return false
		}
	}
	if proxy.isDropping(tunnel, from, to) {
		return true
	}
	_, err := target.Write(next.data)
	return err == nil
}
