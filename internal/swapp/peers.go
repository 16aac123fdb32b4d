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

// peers is the exchange with other VMs. It opens once the system's authority is read from the platform's store, so that no
// key ever lies on a disk.
type peers struct {
	node atomic.Pointer[swpeer.Node]
	log  zerolog.Logger
}

func newPeers(log zerolog.Logger) *peers {
	return &peers{log: log}
}

var errPeersClosed = errors.New("the exchange with other VMs is not open")

// Call sends request to target and decodes the answer into reply.
func (peers *peers) Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error {
	node := peers.node.Load()
	if node == nil {
		return errPeersClosed
	}
	return node.Call(ctx, target, method, request, reply)
}

// Forget makes the next call to target open a connection of its own.
func (peers *peers) Reconnect(target netip.AddrPort) {
	if node := peers.node.Load(); node != nil {
		node.Reconnect(target)
	}
}

// open reads the authority, listens, and serves the peers that follow this VM or send attempts through it.
func (peers *peers) open(ctx context.Context, settings swsetting.Settings, store swauthority.Store, feed *swfeed.Feed, relay *swrelay.Server, limiter *swadmission.Limiter) error {
	authority, err := swauthority.LoadOrCreate(ctx, store)
	if err != nil {
		return errors.Wrap(err, "read the authority")
	}
	config, err := authority.TLS(settings.Name)
	if err != nil {
		return err
	}
	node, err := swpeer.Listen(swpeer.Config{
		Listen: settings.Peer.Listen,
		TLS:    config,
		OnError: func(method swpeer.Method, peer string, err error) {
			peers.log.Debug().Uint8("Method", uint8(method)).Str("Peer", peer).Err(err).Msg("an exchange with a peer failed")
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

// Close ends every exchange.
func (peers *peers) Close() error {
	node := peers.node.Load()
	if node == nil {
		return nil
	}
	return node.Close()
}
