package swlabproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// maxDatagramSize is in bytes.
	maxDatagramSize = 64 << 10
	// maxQueuedDatagrams is the number of datagrams that one direction of a flow may queue. More are dropped.
	maxQueuedDatagrams = 4096
	// socketBufferSize is the size of each socket's send and receive buffers in bytes.
	socketBufferSize = 1 << 20
)

// UDPConfig holds the parameters of a UDP proxy.
type UDPConfig struct {
	// Target is the address to which datagrams are forwarded.
	Target netip.AddrPort
	// To is the target's group.
	To      string
	Network *Network
	// GroupOf returns the group of a source address.
	GroupOf func(source netip.AddrPort) string
}

// UDP is a UDP proxy in front of one target. Construct it with StartUDP.
type UDP struct {
	config UDPConfig
	socket *net.UDPConn
	group  *swgroup.Group

	mutex sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow forwards the datagrams between one source and the target.
type flow struct {
	source     netip.AddrPort
	from       string
	targetConn *net.UDPConn
	toTarget   chan chunk
	toSource   chan chunk
}

// StartUDP starts a proxy on a free loopback port, which serves until Close.
func StartUDP(config UDPConfig) (*UDP, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, errors.Wrap(err, "listen for UDP proxy")
	}
	enlargeBuffers(socket)
	proxy := &UDP{config: config, socket: socket, group: swgroup.New(context.Background()), flows: make(map[netip.AddrPort]*flow)}
	proxy.group.Go(proxy.receiveFromSources)
	return proxy, nil
}

// enlargeBuffers requests larger socket buffers. Errors are ignored, because smaller buffers only lose more datagrams.
func enlargeBuffers(socket *net.UDPConn) {
	_ = socket.SetReadBuffer(socketBufferSize)
	_ = socket.SetWriteBuffer(socketBufferSize)
}

// Address returns the address on which the proxy listens.
func (proxy *UDP) Address() netip.AddrPort {
	return proxy.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close stops listening and closes every flow.
func (proxy *UDP) Close() {
	proxy.group.Cancel()
	proxy.socket.Close()
	proxy.mutex.Lock()
	for _, flow := range proxy.flows {
		flow.targetConn.Close()
	}
	proxy.mutex.Unlock()
	proxy.group.Wait()
}

// receiveFromSources queues the datagrams that sources send to the target.
func (proxy *UDP) receiveFromSources(ctx context.Context) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, source, err := proxy.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		flow := proxy.findOrStartFlow(ctx, source)
		if flow == nil {
			continue
		}
		proxy.enqueue(flow.toTarget, append([]byte(nil), buffer[:n]...), flow.from, proxy.config.To)
	}
}

// findOrStartFlow returns the flow of a source and starts one when there is none. It returns nil when that fails.
func (proxy *UDP) findOrStartFlow(ctx context.Context, source netip.AddrPort) *flow {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if found, ok := proxy.flows[source]; ok {
		return found
	}
	targetConn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(proxy.config.Target))
	if err != nil || ctx.Err() != nil {
		return nil
	}
	enlargeBuffers(targetConn)
	created := &flow{
		source: source, from: proxy.config.GroupOf(source), targetConn: targetConn,
		toTarget: make(chan chunk, maxQueuedDatagrams), toSource: make(chan chunk, maxQueuedDatagrams),
	}
	proxy.flows[source] = created
	proxy.group.Go(func(ctx context.Context) {
		proxy.deliver(ctx, created.toTarget, created.from, proxy.config.To, func(data []byte) { _, _ = targetConn.Write(data) })
	})
	proxy.group.Go(func(ctx context.Context) {
		proxy.deliver(ctx, created.toSource, proxy.config.To, created.from, func(data []byte) {
			_, _ = proxy.socket.WriteToUDPAddrPort(data, source)
		})
	})
	proxy.group.Go(func(ctx context.Context) { proxy.receiveFromTarget(ctx, created) })
	return created
}

// receiveFromTarget queues the datagrams that the target sends to the source of a flow.
func (proxy *UDP) receiveFromTarget(ctx context.Context, flow *flow) {
	buffer := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		n, err := flow.targetConn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		proxy.enqueue(flow.toSource, append([]byte(nil), buffer[:n]...), proxy.config.To, flow.from)
	}
}

// enqueue queues a datagram. It drops the datagram when the link is cut or loses it, or when the queue is full.
func (proxy *UDP) enqueue(queue chan<- chunk, data []byte, from, to string) {
	link, _ := proxy.config.Network.link(from, to)
	if link.Cut || proxy.config.Network.shouldDrop(link.Loss) {
		return
	}
	select {
	case queue <- chunk{data: data, dueAt: time.Now().Add(link.Delay)}:
	default:
	}
}

// deliver writes each datagram once it is due and the link is not held.
func (proxy *UDP) deliver(ctx context.Context, queue <-chan chunk, from, to string, write func(data []byte)) {
	for {
		select {
		case next := <-queue:
			if wait := time.Until(next.dueAt); wait > 0 {
				time.Sleep(wait)
			}
			if !proxy.waitWhileHeld(ctx, from, to) {
				return
			}
			write(next.data)
		case <-ctx.Done():
			return
		}
	}
}

// waitWhileHeld waits until the link is not held. It returns false when the proxy closes first.
func (proxy *UDP) waitWhileHeld(ctx context.Context, from, to string) bool {
	for {
		link, changed := proxy.config.Network.link(from, to)
		if !link.Hold {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
