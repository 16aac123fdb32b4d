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
	// chunkSize is the size of reads in bytes.
	chunkSize = 32 << 10
	// chunkLimit is the number of chunks under way on one direction of a connection.
	chunkLimit = 256
)

// TCPConfig holds what a TCP proxy is built from.
type TCPConfig struct {
	// Listen is the address; a free port of loopback when empty.
	Listen string
	// Target is the address to which connections are passed on.
	Target string
	// From and To name the groups of the two ends.
	From    string
	To      string
	Network *Network
}

// TCP is a TCP proxy. Construct it with StartTCP.
type TCP struct {
	config   TCPConfig
	listener net.Listener
	group    *swgroup.Group

	mutex   sync.Mutex
	tunnels map[*tunnel]struct{}
}

// tunnel is one connection through the proxy.
type tunnel struct {
	front  net.Conn
	back   net.Conn
	silent atomic.Bool
	once   sync.Once
	done   chan struct{}
}

// chunk is data that waits for its delay to pass.
type chunk struct {
	data []byte
	due  time.Time
}

// StartTCP listens and serves until Close.
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

// Close ends every connection.
func (proxy *TCP) Close() {
	proxy.listener.Close()
	proxy.CloseConnections()
	proxy.group.Cancel()
	proxy.CloseConnections()
	proxy.group.Wait()
}

// Silence makes all open connections silent for good; new ones work.
func (proxy *TCP) StallConnections() {
	for _, tunnel := range proxy.open() {
		tunnel.silent.Store(true)
	}
}

// CloseConnections closes all open connections at both ends.
func (proxy *TCP) CloseConnections() {
	for _, tunnel := range proxy.open() {
		tunnel.close()
	}
}

func (proxy *TCP) open() []*tunnel {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	list := make([]*tunnel, 0, len(proxy.tunnels))
	for tunnel := range proxy.tunnels {
		list = append(list, tunnel)
	}
	return list
}

func (proxy *TCP) accept(context.Context) {
	for {
		front, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.group.Go(func(ctx context.Context) { proxy.serve(ctx, front) })
	}
}

func (proxy *TCP) serve(ctx context.Context, front net.Conn) {
	if link, _ := proxy.config.Network.link(proxy.config.From, proxy.config.To); link.Cut {
		front.Close()
		return
	}
	var dialer net.Dialer
	back, err := dialer.DialContext(ctx, "tcp", proxy.config.Target)
	if err != nil {
		front.Close()
		return
	}
	current := &tunnel{front: front, back: back, done: make(chan struct{})}
	proxy.mutex.Lock()
	proxy.tunnels[current] = struct{}{}
	proxy.mutex.Unlock()
	if ctx.Err() != nil {
		current.close()
	}
	group := swgroup.New(ctx)
	proxy.pass(group, current, front, back, proxy.config.From, proxy.config.To)
	proxy.pass(group, current, back, front, proxy.config.To, proxy.config.From)
	group.Wait()
	current.close()
	proxy.mutex.Lock()
	delete(proxy.tunnels, current)
	proxy.mutex.Unlock()
}

func (tunnel *tunnel) close() {
	tunnel.once.Do(func() {
		close(tunnel.done)
		tunnel.front.Close()
		tunnel.back.Close()
	})
}

// pass copies one direction: one goroutine reads, and one writes when the delay of each chunk has passed.
func (proxy *TCP) pass(group *swgroup.Group, tunnel *tunnel, source, target net.Conn, from, to string) {
	chunks := make(chan chunk, chunkLimit)
	group.Go(func(context.Context) {
		defer close(chunks)
		proxy.read(tunnel, source, chunks, from, to)
	})
	group.Go(func(context.Context) {
		for next := range chunks {
			if !proxy.forward(tunnel, target, next, from, to) {
				break
			}
		}
		if !proxy.muted(tunnel, from, to) {
			tunnel.close()
		}
		for range chunks {
			continue
		}
	})
}

func (proxy *TCP) muted(tunnel *tunnel, from, to string) bool {
	link, _ := proxy.config.Network.link(from, to)
	return tunnel.silent.Load() || link.Cut
}

func (proxy *TCP) read(tunnel *tunnel, source net.Conn, chunks chan<- chunk, from, to string) {
	for {
		buffer := make([]byte, chunkSize)
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		link, _ := proxy.config.Network.link(from, to)
		if link.Cut {
			tunnel.silent.Store(true)
		}
		if !tunnel.silent.Load() {
			chunks <- chunk{data: buffer[:n], due: time.Now().Add(link.Delay)}
		}
	}
}

// forward writes a chunk when it is due and the link is not held; it returns false when the tunnel is over.
func (proxy *TCP) forward(tunnel *tunnel, target net.Conn, next chunk, from, to string) bool {
	if wait := time.Until(next.due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		link, changed := proxy.config.Network.link(from, to)
		if !link.Hold {
			break
		}
		select {
		case <-changed:
		case <-tunnel.done:
			return false
		}
	}
	if proxy.muted(tunnel, from, to) {
		return true
	}
	_, err := target.Write(next.data)
	return err == nil
}
