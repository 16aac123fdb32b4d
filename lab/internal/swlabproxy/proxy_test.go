package swlabproxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
)

// echo starts a server that returns everything it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group := swgroup.New(context.Background())
	group.Go(func(context.Context) {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func(context.Context) {
				defer connection.Close()
				_, _ = io.Copy(connection, connection)
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

func startTCP(t *testing.T, network *swlabproxy.Network) *swlabproxy.TCP {
	t.Helper()
	target := echo(t)
	proxy, err := swlabproxy.StartTCP(swlabproxy.TCPConfig{Target: target, From: "a", To: "b", Network: network})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

func dial(t *testing.T, proxy *swlabproxy.TCP) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", proxy.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	return connection
}

// ask sends a line and returns the line received, or "error" when reading fails.
func ask(connection net.Conn, line string) string {
	fmt.Fprintln(connection, line)
	answer, err := bufio.NewReader(connection).ReadString('\n')
	if err != nil {
		return "error"
	}
	return answer[:len(answer)-1]
}

func TestStalledConnectionsStayStalledWhileNewOnesWork(t *testing.T) {
	proxy := startTCP(t, swlabproxy.NewNetwork(1))
	old := dial(t, proxy)
	got := []string{ask(old, "one")}
	proxy.StallConnections()
	fmt.Fprintln(old, "two")
	got = append(got, ask(dial(t, proxy), "three"))
	proxy.CloseConnections()
	got = append(got, ask(old, "four"))
	if diff := cmp.Diff([]string{"one", "three", "error"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestCutLinkClosesNewConnectionsUntilRestored(t *testing.T) {
	network := swlabproxy.NewNetwork(1)
	proxy := startTCP(t, network)
	network.Partition([]string{"a"}, []string{"b"}, true)
	got := []string{ask(dial(t, proxy), "one")}
	network.Partition([]string{"a"}, []string{"b"}, false)
	got = append(got, ask(dial(t, proxy), "two"))
	if diff := cmp.Diff([]string{"error", "two"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestHeldTrafficArrivesAfterRelease(t *testing.T) {
	network := swlabproxy.NewNetwork(1)
	proxy := startTCP(t, network)
	connection := dial(t, proxy)
	network.Change("a", "b", func(link *swlabproxy.Link) { link.Hold = true })
	fmt.Fprintln(connection, "one")
	network.Change("a", "b", func(link *swlabproxy.Link) { link.Hold = false })
	if got := ask(connection, "two"); got != "one" {
		t.Errorf("received %q first, want the line that was held", got)
	}
}

func TestDatagramsPassBothWays(t *testing.T) {
	network := swlabproxy.NewNetwork(1)
	target := listenUDP(t)
	proxy, err := swlabproxy.StartUDP(swlabproxy.UDPConfig{
		Target: address(target), To: "b", Network: network,
		GroupOf: func(netip.AddrPort) string { return "a" },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	source := listenUDP(t)
	send := func(text string) {
		if _, err := source.WriteToUDPAddrPort([]byte(text), proxy.Address()); err != nil {
			t.Fatal(err)
		}
	}
	send("one")
	text, from := receive(t, target)
	if _, err := target.WriteToUDPAddrPort([]byte("back "+text), from); err != nil {
		t.Fatal(err)
	}
	back, by := receive(t, source)
	if diff := cmp.Diff("back one", back); diff != "" || by != proxy.Address() {
		t.Errorf("reply (-want +got):\n%sreceived from %s, want the proxy", diff, by)
	}
}

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket
}

func address(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

func receive(t *testing.T, socket *net.UDPConn) (string, netip.AddrPort) {
	t.Helper()
	buffer := make([]byte, 2048)
	n, from, err := socket.ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:n]), from
}
