package swpeer_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// relay carries UDP packets of one client to a target that a test may change, as when another process takes an address.
type relay struct {
	address netip.AddrPort
	target  atomic.Value
}

func newRelay(t *testing.T) *relay {
	t.Helper()
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	relay := &relay{address: front.LocalAddr().(*net.UDPAddr).AddrPort()}
	var client atomic.Value
	group := swgroup.New(context.Background())
	group.Go(func(context.Context) {
		pump(front, func(data []byte, from netip.AddrPort) {
			client.Store(from)
			_, _ = back.WriteToUDPAddrPort(data, relay.target.Load().(netip.AddrPort))
		})
	})
	group.Go(func(context.Context) {
		pump(back, func(data []byte, _ netip.AddrPort) {
			_, _ = front.WriteToUDPAddrPort(data, client.Load().(netip.AddrPort))
		})
	})
	t.Cleanup(func() {
		_ = front.Close()
		_ = back.Close()
		group.Stop()
	})
	return relay
}

// pump passes on packets until the socket is closed.
func pump(socket *net.UDPConn, pass func(data []byte, from netip.AddrPort)) {
	buffer := make([]byte, 1<<16)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		pass(buffer[:size], from)
	}
}
