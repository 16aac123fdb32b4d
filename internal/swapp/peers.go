package swapp

import (
	"context"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swauthority"
	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// peers is the transport to other VMs. It opens after the certificate authority was read from the platform's store, so that no
// private key is ever written to a disk.
type peers struct {
	node atomic.Pointer[swpeer.Node]
	log  zerolog.Logger
}

func newPeers(log zerolog.Logger) *peers {
	return &peers{log: log}
}

var errPeersNotOpen = errors.New("the transport to other VMs is not open")

// Call sends request to target and decodes the reply into reply.
func (peers *peers) Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error {
	node := peers.node.Load()
	if node == nil {
		return errPeersNotOpen
	}
	return node.Call(ctx, target, method, request, reply)
}

// Reconnect makes the next call to target open a new connection.
func (peers *peers) Reconnect(target netip.AddrPort) {
	if node := peers.node.Load(); node != nil {
		node.Reconnect(target)
	}
}

// open reads the certificate authority, listens, and serves peers: those that follow this VM's feed, relay attempts through it,
// or borrow tokens of rate limits from it.
func (peers *peers) open(ctx context.Context, settings swsetting.Settings, store swauthority.Store, feed *swfeed.Feed, relay *swrelay.Server, limiter *swadmission.Limiter) error {
	authority, err := swauthority.LoadOrCreate(ctx, store)
	if err != nil {
		return errors.Wrap(err, "read the certificate authority")
	}
	config, err := authority.TLS(settings.Name)
	if err != nil {
		return err
	}
	node, err := swpeer.Listen(swpeer.Config{
		Listen: settings.Peer.Listen,
		TLS:    config,
		OnError: func(method swpeer.Method, peer string, err error) {
			peers.log.Debug().Uint8("Method", uint8(method)).Str("Peer", peer).Err(err).Msg("serving a call from a peer failed")
		},
	})
	if err != nil {
		return err
	}
	swpeer.HandleCall(node, swpeer.MethodFollow, feed.HandleFollow)
	swpeer.HandleCall(node, swpeer.MethodRelay, relay.Handle)
	swpeer.HandleCall(node, swpeer.MethodTokens, limiter.AllocateTokens)
	node.Serve()
	peers.node.Store(node)
	return nil
}

// Close closes the connections to all peers.
func (peers *peers) Close() error {
	node := peers.node.Load()
	if node == nil {
		return nil
	}
	return node.Close()
}
