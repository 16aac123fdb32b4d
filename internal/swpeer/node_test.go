package swpeer_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swpeer/swpeertest"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

type echo struct {
	Text string
}

func newNode(t testing.TB, config *tls.Config) *swpeer.Node {
	t.Helper()
	node, err := swpeer.Listen(swpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := node.Close(); err != nil {
			t.Error(err)
		}
	})
	swpeer.HandleCall(node, swpeer.MethodStatus, func(_ context.Context, peer string, request echo) (echo, error) {
		return echo{Text: peer + ":" + request.Text}, nil
	})
	node.Serve()
	return node
}

func TestCallReturnsTheReplyAndPassesThePeerName(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server := newNode(t, authority.TLS(t, "vm-1"))
	client := newNode(t, authority.TLS(t, "vm-2"))
	var reply echo
	if err := client.Call(t.Context(), server.Address(), swpeer.MethodStatus, echo{Text: "hello"}, &reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(echo{Text: "vm-2:hello"}, reply); diff != "" {
		t.Error(diff)
	}
}

func TestPeerWithoutACertificateOfTheCAIsRefused(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server := newNode(t, authority.TLS(t, "vm-1"))
	stranger := swpeertest.NewAuthority(t).TLS(t, "vm-1")
	withoutCertificate := authority.TLS(t, "vm-2")
	withoutCertificate.Certificates = nil
	stranger.RootCAs = withoutCertificate.RootCAs
	for name, config := range map[string]*tls.Config{"certificate of another CA": stranger, "no certificate": withoutCertificate} {
		t.Run(name, func(t *testing.T) {
			client := newNode(t, config.Clone())
			var reply echo
			if err := client.Call(t.Context(), server.Address(), swpeer.MethodStatus, echo{Text: "hello"}, &reply); err == nil {
				t.Errorf("the server answered %q", reply.Text)
			}
		})
	}
}

func TestCallOfAMethodWithoutAHandlerFails(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server := newNode(t, authority.TLS(t, "vm-1"))
	client := newNode(t, authority.TLS(t, "vm-2"))
	var reply echo
	if err := client.Call(t.Context(), server.Address(), swpeer.MethodTokens, echo{}, &reply); err == nil {
		t.Error("a call of a method without a handler was answered")
	}
}

func TestHandlerErrorFailsOnlyItsCall(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server := newNode(t, authority.TLS(t, "vm-1"))
	swpeer.HandleCall(server, swpeer.MethodFetch, func(context.Context, string, echo) (echo, error) {
		return echo{}, errors.New("refused")
	})
	client := newNode(t, authority.TLS(t, "vm-2"))
	var reply echo
	if err := client.Call(t.Context(), server.Address(), swpeer.MethodFetch, echo{}, &reply); err == nil {
		t.Error("the call succeeded although its handler failed")
	}
	if err := client.Call(t.Context(), server.Address(), swpeer.MethodStatus, echo{Text: "again"}, &reply); err != nil {
		t.Error(err)
	}
}

func TestCallReachesAPeerThatRestartedAtTheSameAddress(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server := newNode(t, authority.TLS(t, "vm-1"))
	client := newNode(t, authority.TLS(t, "vm-2"))
	var reply echo
	if err := client.Call(t.Context(), server.Address(), swpeer.MethodStatus, echo{Text: "first"}, &reply); err != nil {
		t.Fatal(err)
	}
	address := server.Address()
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	restarted, err := swpeer.Listen(swpeer.Config{Listen: address, TLS: authority.TLS(t, "vm-1")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = restarted.Close() })
	swpeer.HandleCall(restarted, swpeer.MethodStatus, func(context.Context, string, echo) (echo, error) { return echo{Text: "second"}, nil })
	restarted.Serve()
	client.Reconnect(address)
	if err := client.Call(t.Context(), address, swpeer.MethodStatus, echo{}, &reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(echo{Text: "second"}, reply); diff != "" {
		t.Error(diff)
	}
}

func TestStreamDeliversMessagesInOrderUntilEOF(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server := newNode(t, authority.TLS(t, "vm-1"))
	server.Handle(swpeer.MethodBatch, func(_ context.Context, stream *swpeer.Stream) error {
		return stream.Send(echo{Text: "a"}, echo{Text: "b"}, echo{Text: "c"})
	})
	client := newNode(t, authority.TLS(t, "vm-2"))
	stream, err := client.Open(t.Context(), server.Address(), swpeer.MethodBatch)
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for {
		var message echo
		err := stream.Receive(&message)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, message.Text)
	}
	if diff := cmp.Diff([]string{"a", "b", "c"}, texts); diff != "" {
		t.Error(diff)
	}
}

func TestClosingANodeEndsTheStreamsOfItsPeers(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server := newNode(t, authority.TLS(t, "vm-1"))
	server.Handle(swpeer.MethodBatch, func(ctx context.Context, _ *swpeer.Stream) error {
		<-ctx.Done()
		return nil
	})
	client := newNode(t, authority.TLS(t, "vm-2"))
	stream, err := client.Open(t.Context(), server.Address(), swpeer.MethodBatch)
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	var message echo
	if err := stream.Receive(&message); err == nil {
		t.Error("the stream is open after the peer has closed its node")
	}
}

// TestRestartedPeerResetsConnectionsToTheKilledProcess guards against connections to a killed process that stay open until their
// idle timeout. A second node with the same private key takes over the address of the first, which is not closed and so sends
// nothing.
func TestRestartedPeerResetsConnectionsToTheKilledProcess(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	config := authority.TLS(t, "vm-1")
	udpProxy := newUDPProxy(t)
	server := newNode(t, config)
	udpProxy.target.Store(server.Address())
	client := newNode(t, authority.TLS(t, "vm-2"))
	var reply echo
	if err := client.Call(t.Context(), udpProxy.address, swpeer.MethodStatus, echo{Text: "first"}, &reply); err != nil {
		t.Fatal(err)
	}
	stream, err := client.Open(t.Context(), udpProxy.address, swpeer.MethodStatus)
	if err != nil {
		t.Fatal(err)
	}
	restarted := newNode(t, config)
	udpProxy.target.Store(restarted.Address())
	if err := stream.Send(echo{Text: "to the first"}); err != nil {
		t.Fatal(err)
	}
	if err := stream.Receive(&reply); err == nil {
		t.Error("a stream to the killed process was answered")
	}
	if err := client.Call(t.Context(), udpProxy.address, swpeer.MethodStatus, echo{Text: "second"}, &reply); err != nil {
		t.Error(err)
	}
}
