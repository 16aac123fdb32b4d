package swapp

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swauthority"
	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// authorityStore holds one certificate authority and no other objects.
type authorityStore struct {
	value []byte
}

func (store *authorityStore) GetObject(context.Context, string, string, bool) ([]byte, error) {
	return store.value, nil
}

func (store *authorityStore) CreateObject(context.Context, string, string, []byte) error {
	return &swplatform.Error{Reason: swplatform.ErrConflict}
}

func (store *authorityStore) ListObjects(context.Context, string) ([]swplatform.Object, swplatform.Position, error) {
	return nil, swplatform.Position{Revision: 1}, nil
}

func (store *authorityStore) WatchObjects(ctx context.Context, _ string, _ swplatform.Position, _ time.Duration) ([]swplatform.Object, swplatform.Position, error) {
	<-ctx.Done()
	return nil, swplatform.Position{}, ctx.Err()
}

// setNewAuthority stores a new authority and returns it.
func (store *authorityStore) setNewAuthority(t *testing.T) *swauthority.Authority {
	t.Helper()
	authority, err := swauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	if store.value, err = authority.Encode(); err != nil {
		t.Fatal(err)
	}
	return authority
}

// lineWriter sends each log line to a channel.
type lineWriter chan string

func (lines lineWriter) Write(line []byte) (int, error) {
	lines <- string(line)
	return len(line), nil
}

func closeWithoutError(t *testing.T, closer io.Closer) {
	t.Helper()
	if err := closer.Close(); err != nil {
		t.Error(err)
	}
}

// TestTransportOpensOnceItsPortIsFree guards against a VM that stays without a transport to other VMs, because another process held the
// port for a moment.
func TestTransportOpensOnceItsPortIsFree(t *testing.T) {
	for name, replaced := range map[string]bool{"at the start": false, "after another authority was found": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testTransportOpens(t, replaced) })
		})
	}
}

// testTransportOpens runs in a bubble, whose time stands still while a transport reads from its socket.
func testTransportOpens(t *testing.T, replaced bool) {
	store, lines := &authorityStore{}, make(lineWriter, 16)
	authority := store.setNewAuthority(t)
	feed := swfeed.New(swfeed.Config{
		Source: store, Upstreams: func() []swfeed.Peer { return nil }, Log: zerolog.Nop(),
		Kinds: []swfeed.Kind{{Name: "any", WatchWait: time.Hour, TracksReachability: true, Receive: func(swfollow.Change) {}}},
	})
	group := swgroup.New(t.Context())
	defer group.Stop()
	group.Go(feed.Run)
	time.Sleep(time.Second)

	occupant, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer occupant.Close()
	occupied := swsetting.Defaults()
	occupied.Name, occupied.Peer.Listen = "vm-1", occupant.LocalAddr().(*net.UDPAddr).AddrPort()
	initial := occupied
	if replaced {
		initial.Peer.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	eras := swplatform.NewEraTracker(zerolog.Nop())
	peers := newPeers(eras, zerolog.New(lines))
	t.Cleanup(func() { closeWithoutError(t, peers) })
	services := peerServices{
		feed: feed, relay: swrelay.NewServer(swrelay.ServerConfig{}), limiter: swadmission.NewLimiter(swadmission.LimiterConfig{}),
	}
	if _, err := peers.open(t.Context(), initial, store, services); (err == nil) != replaced {
		t.Fatal(err)
	}
	held := authority
	if replaced {
		authority = store.setNewAuthority(t)
		eras.Observe(1, true)
		eras.Observe(2, true)
	}
	group.Go(func(ctx context.Context) { peers.maintain(ctx, occupied, store, held, services) })
	if replaced {
		for _, want := range []string{"another certificate authority", "cannot communicate with other VMs"} {
			if line := <-lines; !strings.Contains(line, want) {
				t.Fatalf("log line %q lacks %q", line, want)
			}
		}
	}
	time.Sleep(time.Minute)
	if diff := cmp.Diff(0, len(lines)); diff != "" {
		t.Error("log lines while the port is occupied (-want +got):\n" + diff)
	}

	occupant.Close()
	select {
	case line := <-lines:
		if want := "open again"; !strings.Contains(line, want) {
			t.Fatalf("log line %q lacks %q", line, want)
		}
	case <-time.After(time.Minute):
		t.Fatal("the transport is not open a minute after its port was free")
	}
	if diff := cmp.Diff(occupied.Peer.Listen.String(), peers.node.Load().Address().String()); diff != "" {
		t.Error("address (-want +got):\n" + diff)
	}
	config, err := authority.TLS("vm-2")
	if err != nil {
		t.Fatal(err)
	}
	peer, err := swpeer.Listen(swpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeWithoutError(t, peer) })
	var reply swfeed.FollowReply
	if err := peer.Call(t.Context(), occupied.Peer.Listen, swpeer.MethodFollow, &swfeed.FollowRequest{}, &reply); err != nil {
		t.Error(err)
	}
}
