package swrelay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

const (
	// suspectTimeout is how long a VM that failed as a relay is not used. A VM that restarts is back by then.
	suspectTimeout = 3 * time.Second
	// maxRelayHoldOff bounds how long the sender does not try a replica whose rate is used up at the relay. The replica may lift its
	// limit meanwhile, which the relay learns first.
	maxRelayHoldOff = time.Second
	// MaxRelays is the number of VMs that are considered before an attempt goes directly to the replica.
	MaxRelays = 4
)

// Relay is a VM that can forward attempts to replicas near it.
type Relay struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	Region     string
}

// Valid reports whether the relay is set.
func (relay Relay) Valid() bool {
	return relay.Address.IsValid()
}

// Transport sends calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the reply into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
	// Reconnect makes the next call to target open a new connection.
	Reconnect(target netip.AddrPort)
}

// ClientConfig holds the parameters of a Client.
type ClientConfig struct {
	Group     *swgroup.Group
	Transport Transport
	// ReadReport reads what a replica says about itself in a relayed response. It may be nil.
	ReadReport swreplica.ReadReport
	// Memory bounds what relayed responses hold, together with others. If nil, there is no such bound.
	Memory *swconn.Memory
	// Relays returns at most MaxRelays VMs near the replicas of a data centre, in order of preference.
	Relays func(dataCentre, region string) []Relay
	// VMs returns all other VMs, among which detours are sought. If nil, there are none.
	VMs func() []Relay
	Log zerolog.Logger
}

// Client sends attempts through relays. It is safe for concurrent use.
type Client struct {
	config  ClientConfig
	detours *detours

	mutex sync.Mutex
	// repliedAt is when each relay last replied. suspectUntil is until when a relay that failed is not used.
	repliedAt    map[netip.AddrPort]time.Time
	suspectUntil map[netip.AddrPort]time.Time
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, detours: newDetours(), repliedAt: make(map[netip.AddrPort]time.Time), suspectUntil: make(map[netip.AddrPort]time.Time)}
}

// RelayFor returns the relay for a replica. It returns the zero Relay when attempts should go directly: the replica is in this
// region, or every known VM near it failed a short time ago.
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
		if !now.Before(client.suspectUntil[relay.Address]) {
			return relay
		}
	}
	return Relay{}
}

// Exchange sends an attempt that was reserved at the replica through a relay, and waits for the response, for the end of ctx, or
// for the deadline. After a cancellation, it waits for CancelGrace in the background: a relay that has replied to nothing by then
// is suspect.
func (client *Client) Exchange(ctx context.Context, replica *swreplica.Replica, relay Relay, attempt *Attempt) swreplica.Result {
	sentAt := time.Now()
	inFlightRequest := replica.AddRelayed(sentAt)
	replica.Unreserve()
	results := make(chan swreplica.Result, 1)
	callCtx, cancel := context.WithCancel(client.config.Group.Context())
	client.config.Group.Go(func(context.Context) {
		defer cancel()
		result := client.call(callCtx, relay, attempt, sentAt)
		inFlightRequest.End()
		client.observeReport(replica, result.Response)
		if result.RetryAfter > 0 {
			replica.HoldOffRelays(time.Now(), min(maxRelayHoldOff, result.RetryAfter))
		}
		if ctx.Err() != nil && result.Response != nil {
			now := time.Now()
			replica.ObserveLateResponse(now, result.Response.Status, now.Sub(sentAt))
		}
		results <- result
	})
	select {
	case result := <-results:
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
		client.recordUnresponsive(relay, sentAt)
	})
	return swreplica.Result{Outcome: swreplica.Cancelled, Err: ctx.Err(), SentAt: sentAt}
}

// call sends one attempt and converts the reply.
func (client *Client) call(ctx context.Context, relay Relay, attempt *Attempt, sentAt time.Time) swreplica.Result {
	var reply Reply
	err := client.config.Transport.Call(ctx, relay.Address, swpeer.MethodRelay, attempt, &reply)
	switch {
	case ctx.Err() != nil:
		return swreplica.Result{Outcome: swreplica.Cancelled, Err: ctx.Err(), SentAt: sentAt}
	case err != nil:
		client.markSuspect(relay, err)
		return swreplica.Result{Outcome: swreplica.RelayFailed, Err: err, SentAt: sentAt}
	}
	client.recordReply(relay)
	switch {
	case reply.Leaving, reply.Fault == swreplica.FaultRelay:
		client.markSuspect(relay, errors.New(reply.Reason))
	case reply.Outcome == swreplica.LinksLost:
		client.markSuspect(relay, errLinksLost)
	}
	result := swreplica.Result{Outcome: reply.Outcome, SentAt: sentAt}
	if reply.Outcome == swreplica.Answered {
		response := reply.response()
		if !client.config.Memory.Hold(response) {
			return swreplica.Result{Outcome: swreplica.Overlong, Err: errNoMemory, SentAt: sentAt}
		}
		result.Response = response
		return result
	}
	result.Err = errors.New(reply.Reason)
	result.RetryAfter, result.Fault = reply.RetryAfter, reply.Fault
	return result
}

// observeReport applies what a replica says about itself in a relayed response.
func (client *Client) observeReport(replica *swreplica.Replica, response *swconn.Response) {
	if response == nil || client.config.ReadReport == nil {
		return
	}
	if report, ok := client.config.ReadReport(response.Status, response.Header); ok {
		replica.ObserveReport(time.Now(), report)
	}
}

// isSuspect reports whether a relay failed a short time ago.
func (client *Client) isSuspect(now time.Time, address netip.AddrPort) bool {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return now.Before(client.suspectUntil[address])
}

func (client *Client) recordReply(relay Relay) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.repliedAt[relay.Address] = time.Now()
	delete(client.suspectUntil, relay.Address)
}

// recordUnresponsive records an attempt that was never answered. A relay that has replied to other attempts since is not at fault.
func (client *Client) recordUnresponsive(relay Relay, sentAt time.Time) {
	client.mutex.Lock()
	repliedSince := client.repliedAt[relay.Address].After(sentAt)
	client.mutex.Unlock()
	if !repliedSince {
		client.config.Transport.Reconnect(relay.Address)
		client.markSuspect(relay, errUnresponsive)
	}
}

var errNoMemory = errors.New("the relayed response does not fit into the memory for responses")

var errLinksLost = errors.New("the relay has lost its links to the replica's data centre")

var errUnresponsive = errors.New("the relay has not answered since the attempt was sent")

// markSuspect excludes a relay for suspectTimeout.
func (client *Client) markSuspect(relay Relay, err error) {
	now := time.Now()
	client.mutex.Lock()
	alreadySuspect := now.Before(client.suspectUntil[relay.Address])
	client.suspectUntil[relay.Address] = now.Add(suspectTimeout)
	client.mutex.Unlock()
	if !alreadySuspect {
		client.config.Log.Warn().Err(err).Str("Peer", relay.Name).Dur("PassedOver", suspectTimeout).Msg("relay failed or is leaving and is not used for a while")
	}
}
