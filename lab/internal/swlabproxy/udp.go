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
	// datagramSize is the largest datagram in bytes.
	datagramSize = 64 << 10
	// datagramLimit is the number of datagrams under way in one direction; more are dropped.
	datagramLimit = 4096
	// socketBuffer is the size of socket buffers in bytes.
	socketBuffer = 1 << 20
)

// UDPConfig holds what a UDP proxy is built from.
type UDPConfig struct {
	// Target is the address to which datagrams are passed on.
	Target netip.AddrPort
	// To names the target's group.
	To      string
	Network *Network
	// Group names the group of a source address.
	GroupOf func(source netip.AddrPort) string
}

// UDP is a UDP proxy in front of one target. Construct it with StartUDP.
type UDP struct {
	config UDPConfig
	front  *net.UDPConn
	group  *swgroup.Group

	mutex sync.Mutex
	flows map[netip.AddrPort]*flow
}

// flow is the traffic between one source and the target.
type flow struct {
	source netip.AddrPort
	from   string
	back   *net.UDPConn
	there  chan chunk
	here   chan chunk
}

// StartUDP listens on a free port of loopback and serves until Close.
func StartUDP(config UDPConfig) (*UDP, error) {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, errors.Wrap(err, "listen for UDP proxy")
	}
	enlarge(front)
	proxy := &UDP{config: config, front: front, group: swgroup.New(context.Background()), flows: make(map[netip.AddrPort]*flow)}
	proxy.group.Go(proxy.receive)
	return proxy, nil
}

// enlarge asks for larger buffers; smaller ones only lose more datagrams.
func enlarge(socket *net.UDPConn) {
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
}

// Address returns the address on which the proxy listens.
func (proxy *UDP) Address() netip.AddrPort {
	return proxy.front.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends all traffic.
func (proxy *UDP) Close() {
	proxy.group.Cancel()
	proxy.front.Close()
	proxy.mutex.Lock()
	for _, flow := range proxy.flows {
		flow.back.Close()
	}
	proxy.mutex.Unlock()
	proxy.group.Wait()
}

func (proxy *UDP) receive(ctx context.Context) {
	buffer := make([]byte, datagramSize)
	for {
		n, source, err := proxy.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		flow := proxy.flow(ctx, source)
		if flow == nil {
			continue
		}
		proxy.queue(flow.there, append([]byte(nil), buffer[:n]...), flow.from, proxy.config.To)
	}
}

// flow returns the flow of a source, made when there is none, or nil when it cannot be made.
func (proxy *UDP) flow(ctx context.Context, source netip.AddrPort) *flow {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	if found, ok := proxy.flows[source]; ok {
		return found
	}
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(proxy.config.Target))
	if err != nil || ctx.Err() != nil {
		return nil
	}
	enlarge(back)
	made := &flow{
		source: source, from: proxy.config.GroupOf(source), back: back,
		there: make(chan chunk, datagramLimit), here: make(chan chunk, datagramLimit),
	}
	proxy.flows[source] = made
	proxy.group.Go(func(ctx context.Context) {
		proxy.deliver(ctx, made.there, made.from, proxy.config.To, func(data []byte) { _, _ = back.Write(data) })
	})
	proxy.group.Go(func(ctx context.Context) {
		proxy.deliver(ctx, made.here, proxy.config.To, made.from, func(data []byte) {
			_, _ = proxy.front.WriteToUDPAddrPort(data, source)
		})
	})
	proxy.group.Go(func(ctx context.Context) { proxy.receiveBack(ctx, made) })
	return made
}

func (proxy *UDP) receiveBack(ctx context.Context, flow *flow) {
	buffer := make([]byte, datagramSize)
	for ctx.Err() == nil {
		n, err := flow.back.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		proxy.queue(flow.here, append([]byte(nil), buffer[:n]...), proxy.config.To, flow.from)
	}
}

// queue puts a datagram under way unless the link loses it or too many are.
func (proxy *UDP) queue(queue chan<- chunk, data []byte, from, to string) {
	link, _ := proxy.config.Network.link(from, to)
	if link.Cut || proxy.config.Network.lose(link.Loss) {
		return
	}
	select {
	case queue <- chunk{data: data, due: time.Now().Add(link.Delay)}:
	default:
	}
}

// deliver writes datagrams when they are due and the link is not held.
func (proxy *UDP) deliver(ctx context.Context, queue <-chan chunk, from, to string, write func(data []byte)) {
	for {
		select {
		case next := <-queue:
			if wait := time.Until(next.due); wait > 0 {
				time.Sleep(wait)
			}
			if !proxy.held(ctx, from, to) {
				return
			}
			write(next.data)
		case <-ctx.Done():
			return
		}
	}
}

// held waits while the link is held, and returns false when the proxy closes.
func (proxy *UDP) held(ctx context.Context, from, to string) bool {
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
