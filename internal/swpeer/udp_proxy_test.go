package swpeer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// udpProxy forwards UDP packets between one client and a target. A test may change the target, to simulate another process that
// takes over an address.
type udpProxy struct {
	address netip.AddrPort
	target  atomic.Value
}

func newUDPProxy(t *testing.T) *udpProxy {
	t.Helper()
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	udpProxy := &udpProxy{address: front.LocalAddr().(*net.UDPAddr).AddrPort()}
	var client atomic.Value
	group := swgroup.New(context.Background())
	group.Go(func(context.Context) {
		forwardPackets(front, func(data []byte, from netip.AddrPort) {
			client.Store(from)
			_, _ = back.WriteToUDPAddrPort(data, udpProxy.target.Load().(netip.AddrPort))
		})
	})
	group.Go(func(context.Context) {
		forwardPackets(back, func(data []byte, _ netip.AddrPort) {
			_, _ = front.WriteToUDPAddrPort(data, client.Load().(netip.AddrPort))
		})
	})
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
		group.Stop()
	})
	return udpProxy
}

// forwardPackets calls pass with each packet that the socket receives, until the socket is closed.
func forwardPackets(socket *net.UDPConn, pass func(data []byte, from netip.AddrPort)) {
	buffer := make([]byte, 1<<16)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		pass(buffer[:size], from)
	}
}
