package swapp

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swauthority"
	"github.com/sycamorewall/sycamorewall/internal/swexchange"
	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// restoreSpread is the time over which the VMs that do not lead a data centre check the certificate authority after the store came
	// back from an older copy.
	restoreSpread = time.Second
	// initialListenBackoff and maxListenBackoff bound the exponential backoff between attempts to bind the port for other VMs.
	initialListenBackoff = 100 * time.Millisecond
	maxListenBackoff     = 5 * time.Second
)

// peers is the transport to other VMs. It opens after the certificate authority was read from the platform's store, so that no
// private key is ever written to a disk.
type peers struct {
	node atomic.Pointer[swpeer.Node]
	log  zerolog.Logger
	// newEra receives a signal when the store has come back from an older copy.
	newEra chan struct{}

	mutex  sync.Mutex
	closed bool
}

func newPeers(eras *swplatform.EraTracker, log zerolog.Logger) *peers {
	peers := &peers{log: log, newEra: make(chan struct{}, 1)}
	eras.OnNewEra(func(uint64) {
		select {
		case peers.newEra <- struct{}{}:
		default:
		}
	})
	return peers
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

// peerServices serve peers: those that follow this VM's feed, relay attempts through it, or borrow tokens of rate limits from it.
type peerServices struct {
	feed    *swfeed.Feed
	relay   *swrelay.Server
	limiter *swadmission.Limiter
	limits  *swlimit.Pool

	exchanger *swexchange.Exchanger
}

// open reads the certificate authority, listens and serves peers. It returns the authority.
func (peers *peers) open(ctx context.Context, settings swsetting.Settings, store swauthority.Store, services peerServices) (*swauthority.Authority, error) {
	authority, err := swauthority.LoadOrCreate(ctx, store)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate authority")
	}
	return authority, peers.listen(settings, authority, services)
}

// listen serves peers with a new certificate of an authority, and stops serving them with a former one.
func (peers *peers) listen(settings swsetting.Settings, authority *swauthority.Authority, services peerServices) error {
	config, err := authority.TLS(settings.Name)
	if err != nil {
		return err
	}
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	if peers.closed {
		return errPeersNotOpen
	}
	if former := peers.node.Swap(nil); former != nil {
		if err := former.Close(); err != nil {
			peers.log.Warn().Err(err).Msg("closing the transport to other VMs failed")
		}
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
	swpeer.HandleCall(node, swpeer.MethodFollow, services.feed.HandleFollow)
	swpeer.HandleCall(node, swpeer.MethodRelay, services.relay.Handle)
	swpeer.HandleCall(node, swpeer.MethodReach, services.relay.HandleReach)
	swpeer.HandleCall(node, swpeer.MethodTokens, services.limiter.AllocateTokens)
	swpeer.HandleCall(node, swpeer.MethodObservations, services.exchanger.Handle)
	swpeer.HandleCall(node, swpeer.MethodLimits, lend(services.limits))
	node.Serve()
	peers.node.Store(node)
	return nil
}

// maintain keeps the transport to other VMs open until the context ends. It binds the port again if that failed, and keeps one certificate
// authority for all VMs when the store comes back from an older copy: the authority is written again if the store has lost it, and replaced
// here if another VM has created one meanwhile.
func (peers *peers) maintain(ctx context.Context, settings swsetting.Settings, store swauthority.Store, held *swauthority.Authority, services peerServices) {
	for {
		if peers.node.Load() == nil && peers.retryListen(ctx, settings, held, services) != nil {
			return
		}
		select {
		case <-peers.newEra:
		case <-ctx.Done():
			return
		}
		if !services.feed.IsLeader() && swtimer.Wait(ctx, time.Duration(rand.Int64N(int64(restoreSpread)))) != nil {
			return
		}
		stored, err := swauthority.Restore(ctx, store, held)
		if err != nil {
			peers.log.Error().Err(err).Msg("the certificate authority cannot be restored in the platform's store")
			continue
		}
		if stored.Equal(held) {
			continue
		}
		peers.log.Warn().Msg("the platform's store holds another certificate authority; opening the transport to other VMs again")
		held = stored
		if err := peers.listen(settings, held, services); err != nil {
			peers.logListenFailure(err)
		}
	}
}

// retryListen listens with backoff until that succeeds. It returns an error if the context ends first.
func (peers *peers) retryListen(ctx context.Context, settings swsetting.Settings, authority *swauthority.Authority, services peerServices) error {
	started := time.Now()
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: initialListenBackoff, MaxDelay: maxListenBackoff})
	for {
		if err := backoff.Wait(ctx); err != nil {
			return err
		}
		if peers.listen(settings, authority, services) == nil {
			peers.log.Info().Dur("Took", time.Since(started)).Msg("the transport to other VMs is open again")
			return nil
		}
	}
}

func (peers *peers) logListenFailure(err error) {
	peers.log.Error().Err(err).Msg("cannot communicate with other VMs; following the platform's store")
}

// Close closes the connections to all peers.
func (peers *peers) Close() error {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	peers.closed = true
	node := peers.node.Swap(nil)
	if node == nil {
		return nil
	}
	return node.Close()
}
