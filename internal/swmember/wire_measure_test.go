//go:build measure

package swmember

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// headers is the size of a datagram's IPv4 and UDP headers, in bytes.
const headers = 28

// relay forwards datagrams between one client and a server, and counts them.
type relay struct {
	front, back *net.UDPConn
	client      atomic.Pointer[netip.AddrPort]
	bytes       atomic.Int64
	datagrams   atomic.Int64
}

func newRelay(t *testing.T, group *swgroup.Group, server netip.AddrPort) *relay {
	t.Helper()
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(server))
	if err != nil {
		t.Fatal(err)
	}
	relay := &relay{front: front, back: back}
	group.Go(func(context.Context) { relay.forward() })
	group.Go(func(context.Context) { relay.backward() })
	return relay
}

func (relay *relay) count(size int) {
	relay.bytes.Add(int64(size + headers))
	relay.datagrams.Add(1)
}

func (relay *relay) forward() {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := relay.front.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		relay.client.Store(&from)
		relay.count(size)
		if _, err := relay.back.Write(buffer[:size]); err != nil {
			return
		}
	}
}

func (relay *relay) backward() {
	buffer := make([]byte, 64<<10)
	for {
		size, err := relay.back.Read(buffer)
		if err != nil {
			return
		}
		relay.count(size)
		if _, err := relay.front.WriteToUDPAddrPort(buffer[:size], *relay.client.Load()); err != nil {
			return
		}
	}
}

func selfSigned(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "vm-0"}, DNSNames: []string{"sycamorewall"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	authorities := x509.NewCertPool()
	authorities.AddCert(certificate)
	return swpeer.NewMutualTLS(tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, authorities)
}

// TestMeasureWire prints the traffic and processor time of a handshake and a call between two VMs over swpeer, both
// directions and both ends together.
func TestMeasureWire(t *testing.T) {
	const calls = 200
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	config := selfSigned(t)
	server, err := swpeer.Listen(swpeer.Config{Listen: loopback, TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	swpeer.HandleCall(server, swpeer.MethodProbe, func(context.Context, string, ProbeRequest) (ProbeReply, error) {
		return ProbeReply{Name: "vm-1"}, nil
	})
	server.Serve()
	client, err := swpeer.Listen(swpeer.Config{Listen: loopback, TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	group := swgroup.New(t.Context())
	relay := newRelay(t, group, server.Address())
	target := relay.front.LocalAddr().(*net.UDPAddr).AddrPort()
	request := ProbeRequest{From: "vm-0"}
	call := func() {
		var reply ProbeReply
		if err := client.Call(t.Context(), target, swpeer.MethodProbe, request, &reply); err != nil {
			t.Fatal(err)
		}
	}
	settle := time.NewTimer(0)
	<-settle.C
	pause := func(duration time.Duration) { settle.Reset(duration); <-settle.C }
	call()
	pause(time.Second)
	handshakeBytes, handshakeDatagrams := relay.bytes.Load(), relay.datagrams.Load()
	start := processorTime()
	for range calls {
		call()
		pause(50 * time.Millisecond)
	}
	elapsed := processorTime() - start
	payload := encodedSize(t, request) + encodedSize(t, ProbeReply{Name: "vm-1"})
	bytes := float64(relay.bytes.Load()-handshakeBytes) / calls
	t.Logf("handshake and first call: %d bytes in %d datagrams", handshakeBytes, handshakeDatagrams)
	t.Logf("call: %.0f bytes in %.1f datagrams, of which %d payload; %s processor time at both ends and the relay",
		bytes, float64(relay.datagrams.Load()-handshakeDatagrams)/calls, payload, elapsed/calls)
	client.Close()
	server.Close()
	relay.front.Close()
	relay.back.Close()
	group.Stop()
}

// TestMeasureConnections prints the memory that an open connection uses at both ends together.
func TestMeasureConnections(t *testing.T) {
	const connections = 100
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	config := selfSigned(t)
	client, err := swpeer.Listen(swpeer.Config{Listen: loopback, TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	servers := make([]*swpeer.Node, connections)
	for i := range servers {
		if servers[i], err = swpeer.Listen(swpeer.Config{Listen: loopback, TLS: config}); err != nil {
			t.Fatal(err)
		}
		defer servers[i].Close()
		swpeer.HandleCall(servers[i], swpeer.MethodProbe, func(context.Context, string, ProbeRequest) (ProbeReply, error) {
			return ProbeReply{Name: "vm-1"}, nil
		})
		servers[i].Serve()
	}
	before := heap()
	for _, server := range servers {
		var reply ProbeReply
		if err := client.Call(t.Context(), server.Address(), swpeer.MethodProbe, ProbeRequest{From: "vm-0"}, &reply); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("%.1f KB of heap per connection, both ends", float64(heap()-before)/connections/1024)
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func encodedSize(t *testing.T, message any) int {
	data, err := swpeer.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
