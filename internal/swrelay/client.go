package swrelay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

const (
	// suspectFor is how long a VM that failed as a relay is passed over: a VM that restarts is back by then.
	suspectFor = 3 * time.Second
	// MaxRelays is the number of VMs that are tried before an attempt goes straight to the replica.
	MaxRelays = 2
)

// Relay is a VM that may pass attempts on.
type Relay struct {
	Name    string
	Address netip.AddrPort
}

// Valid reports whether there is a relay.
func (relay Relay) Valid() bool {
	return relay.Address.IsValid()
}

// Transport carries calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the answer into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
	// Forget makes the next call to target open a connection of its own.
	Forget(target netip.AddrPort)
}

// ClientConfig holds what a Client is built from.
type ClientConfig struct {
	Group     *swgroup.Group
	Transport Transport
	// Relays returns at most MaxRelays VMs near the replicas of a data centre, the preferred one first.
	Relays func(dataCentre, region string) []Relay
	Log    zerolog.Logger
}

// Client sends attempts through relays.
type Client struct {
	config ClientConfig

	mutex sync.Mutex
	// heard is when a relay last replied, suspects until when one is passed over.
	heard    map[netip.AddrPort]time.Time
	suspects map[netip.AddrPort]time.Time
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, heard: make(map[netip.AddrPort]time.Time), suspects: make(map[netip.AddrPort]time.Time)}
}

// Find returns the relay for a replica, or none when attempts are to go straight: the replica is in this region, or no VM near it
// is known that did not fail lately.
func (client *Client) RelayFor(replica *swreplica.Replica) Relay {
	if replica.Distance() != swreplica.OtherRegion {
		return Relay{}
	}
	entry := replica.Entry()
	relays := client.config.Relays(entry.DataCentre, entry.Region)
	now := time.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, relay := range relays {
		if !now.Before(client.suspects[relay.Address]) {
			return relay
		}
	}
	return Relay{}
}

// Exchange sends an attempt that was reserved at the replica through a relay, and waits for the response, the end of ctx, or
// the deadline. An attempt that is withdrawn may still be answered for a while, which tells whether the relay lives.
func (client *Client) Exchange(ctx context.Context, replica *swreplica.Replica, relay Relay, attempt *Attempt) swreplica.Result {
	sentAt := time.Now()
	inFlightRequest := replica.AddInFlight(sentAt)
	replica.Unreserve()
	answers := make(chan swreplica.Result, 1)
	callCtx, cancel := context.WithCancel(client.config.Group.Context())
	client.config.Group.Go(func(context.Context) {
		defer cancel()
		result := client.call(callCtx, relay, attempt, sentAt)
		inFlightRequest.End()
		if ctx.Err() != nil && result.Response != nil {
			now := time.Now()
			replica.ObserveLateResponse(now, result.Response.Status, now.Sub(sentAt))
		}
		answers <- result
	})
	select {
	case result := <-answers:
		return result
	case <-ctx.Done():
	}
	client.config.Group.Go(func(groupCtx context.Context) {
		timer := time.NewTimer(CancelGrace)
		defer timer.Stop()
		select {
		case <-callCtx.Done():
			return
		case <-timer.C:
		case <-groupCtx.Done():
		}
		cancel()
		client.noteSilent(relay, sentAt)
	})
	return swreplica.Result{Outcome: swreplica.Cancelled, Err: ctx.Err(), SentAt: sentAt}
}

// call carries one attempt and translates the reply.
func (client *Client) call(ctx context.Context, relay Relay, attempt *Attempt, sentAt time.Time) swreplica.Result {
	var reply Reply
	err := client.config.Transport.Call(ctx, relay.Address, swpeer.MethodRelay, attempt, &reply)
	switch {
	case ctx.Err() != nil:
		return swreplica.Result{Outcome: swreplica.Cancelled, Err: ctx.Err(), SentAt: sentAt}
	case err != nil:
		client.suspect(relay, err)
		return swreplica.Result{Outcome: swreplica.RelayFailed, Err: err, SentAt: sentAt}
	}
	client.noteHeard(relay)
	if reply.Leaving {
		client.suspect(relay, errors.New(reply.Reason))
	}
	result := swreplica.Result{Outcome: reply.Outcome, SentAt: sentAt}
	if reply.Outcome == swreplica.Answered {
		result.Response = reply.response()
		return result
	}
	result.Err = errors.New(reply.Reason)
	return result
}

func (client *Client) noteHeard(relay Relay) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.heard[relay.Address] = time.Now()
	delete(client.suspects, relay.Address)
}

// noteSilent takes an attempt that was never answered. A relay that has replied to others since is not at fault.
func (client *Client) noteSilent(relay Relay, sentAt time.Time) {
	client.mutex.Lock()
	heard := client.heard[relay.Address].After(sentAt)
	client.mutex.Unlock()
	if !heard {
		client.config.Transport.Forget(relay.Address)
		client.suspect(relay, errSilent)
	}
}

var errSilent = errors.New("it answered nothing since")

// suspect passes a relay over for a while.
func (client *Client) suspect(relay Relay, err error) {
	now := time.Now()
	client.mutex.Lock()
	known := now.Before(client.suspects[relay.Address])
	client.suspects[relay.Address] = now.Add(suspectFor)
	client.mutex.Unlock()
	if !known {
		client.config.Log.Warn().Err(err).Str("Peer", relay.Name).Dur("PassedOver", suspectFor).Msg("a VM that relays attempts does not answer")
	}
}
