// Package swfeed distributes the objects of the platform's store to every VM with one reader per data centre. The VMs of a data
// centre are ranked. The first one, the leader, follows the store; the others poll it for changes. The upstreams of a VM are the
// VMs that rank before it. A VM whose poll fails polls the next of its upstreams, and follows the store when none is left.
package swfeed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

const (
	// pollWait is how long a poll waits at the upstream for changes. It bounds how late an unresponsive upstream is detected.
	pollWait = time.Second
	// pollSlack is how much longer than its wait a poll may take. It covers a handshake in the data centre and a busy processor.
	pollSlack = 500 * time.Millisecond
	// retryPollWait and retryPollSlack replace both after a failed poll, because this VM may have missed changes already.
	retryPollWait  = 200 * time.Millisecond
	retryPollSlack = 300 * time.Millisecond
	// maxFailedPolls is the number of consecutive polls that may fail, or reach an upstream that does not reach the store,
	// before this VM probes the store itself.
	maxFailedPolls = 2
	// minProbeBackoff and maxProbeBackoff bound the backoff between failed probes: in an outage, all VMs probe the store.
	minProbeBackoff = 400 * time.Millisecond
	maxProbeBackoff = 1600 * time.Millisecond
	// probeTimeout is how long a probe waits for the store to list one kind. With the longest backoff, it bounds how long a VM that was
	// cut off from the store keeps its old copies after the cut.
	probeTimeout = 1200 * time.Millisecond
	// probeConfirmDelay is the delay after a successful probe, in which the upstreams may reach the store again as well.
	probeConfirmDelay = 300 * time.Millisecond
	// directDuration is how long this VM follows the store after two consecutive successful probes.
	directDuration = 3 * time.Second
	// pollerTimeout is how long after a peer's last poll this VM continues to follow the store itself. It spans several polls.
	pollerTimeout = 5 * time.Second
	// maxOverdue is how long after the end of a watch's wait the store may respond before it counts as unreachable from a VM.
	maxOverdue = 700 * time.Millisecond
	// maxUnconfirmed is how long after the store's next response was expected this VM lists the store itself, whichever upstreams it
	// has polled meanwhile. Upstreams that reach the store confirm the copies within one poll.
	maxUnconfirmed = pollWait + 200*time.Millisecond
	// minSuspectBackoff and maxSuspectBackoff bound how long a VM that did not answer is skipped.
	minSuspectBackoff = time.Second
	maxSuspectBackoff = 30 * time.Second
	// staleUpstreamBackoff is how long a VM that does not reach the store is skipped.
	staleUpstreamBackoff = 3 * time.Second
	// reviewInterval is how often a VM that follows the store checks whether it can poll an upstream instead.
	reviewInterval = 500 * time.Millisecond
)

// Peer is a VM that can be polled for changes.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Transport sends calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the response into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// Kind configures one kind of objects.
type Kind struct {
	Name string
	// WatchWait is how long a watch of the store waits for a change.
	WatchWait time.Duration
	// TracksReachability makes a VM count as unable to reach the store when watches of this kind are overdue.
	TracksReachability bool
	// Receive is called with each change, in order.
	Receive func(change swfollow.Change)
	// Keeps reports whether this VM keeps the object that it holds, and passes it on to peers, although arrived came from the store in its
	// place: the store may have come back from a copy from before the held one. arrived is marked deleted if the store has none. It is nil
	// for objects that never stay.
	Keeps func(held, arrived *swplatform.Object) bool
}

// Config configures a Feed.
type Config struct {
	Source swfollow.Source
	// Kinds must be in the same order on all VMs. Probes of the store list the first kind.
	Kinds []Kind
	// Upstreams returns the VMs of this data centre that rank before this one, in order. This VM polls the first of them that
	// answers, rather than the store.
	Upstreams func() []Peer
	Transport Transport
	// LapseAfter is how long the store must have been away for objects to lapse that their writers could not renew.
	LapseAfter time.Duration
	// OnPoll is called with the name of each VM that polls this one; it may be nil.
	OnPoll func(name string)
	Log    zerolog.Logger
}

// Feed keeps this VM's copies of the store's objects up to date. Construct it with New; Run starts it.
type Feed struct {
	config Config
	caches []*cache

	mutex sync.Mutex
	// lastPolled is when a peer last polled this VM.
	lastPolled time.Time
	// changed is closed and replaced at each change of any kind.
	changed chan struct{}
	// cancelPoll cancels this VM's latest poll of an upstream; it may be nil.
	cancelPoll context.CancelFunc
	// lastResponses is when the store last responded to this VM, by kind; the times are zero while this VM does not follow the store.
	lastResponses []time.Time
	suspects      map[string]suspect
	// leaving is set once this VM refuses polls.
	leaving bool
	// failedPolls is the number of consecutive failed polls.
	failedPolls int
	// nextProbe is when this VM may next probe the store, probeBackoff the current backoff, probeSuccesses the number of
	// consecutive successful probes, and directUntil the time until which this VM follows the store because of them.
	nextProbe      time.Time
	probeBackoff   time.Duration
	probeSuccesses int
	directUntil    time.Time
	// expectedAt is when this VM's copies were to be confirmed by the store's next response to this VM or its upstream; it is the zero
	// time before the first confirmation.
	expectedAt time.Time
	// era is the latest era of the store that this VM knows, and newEraAt when it learned of it; newEraAt is zero once all copies are of
	// that era. peerEra is the latest era that a peer has named.
	era      uint64
	newEraAt time.Time
	peerEra  uint64
	// followers are the followers of the kinds while this VM follows the store.
	followers []*swfollow.Follower
	// upstream is the VM that this one polls, for the log; it is empty for the store, and "?" before the first choice.
	upstream string
}

// New returns a feed with empty caches.
func New(config Config) *Feed {
	feed := &Feed{
		config:        config,
		caches:        make([]*cache, len(config.Kinds)),
		lastResponses: make([]time.Time, len(config.Kinds)),
		changed:       make(chan struct{}),
		suspects:      make(map[string]suspect),
		upstream:      "?",
	}
	for i := range feed.caches {
		feed.caches[i] = newCache(config.Kinds[i].Keeps)
	}
	return feed
}

// Run polls an upstream or follows the store, until the context is cancelled.
func (feed *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if feed.shouldProbeStore(time.Now()) {
			feed.probeStore(ctx)
			continue
		}
		peer, found := feed.chooseUpstream(time.Now())
		if !found {
			feed.setUpstream("")
			feed.followStore(ctx)
			continue
		}
		feed.setUpstream(peer.Name)
		feed.poll(ctx, peer)
	}
}

// chooseUpstream returns the VM to poll. It returns false when this VM should follow the store itself: no VM ranks before
// it, peers poll it, probes have shown that only the upstreams cannot reach the store, or every upstream is skipped.
func (feed *Feed) chooseUpstream(now time.Time) (Peer, bool) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if now.Sub(feed.lastPolled) < pollerTimeout && !feed.lastPolled.IsZero() {
		return Peer{}, false
	}
	if now.Before(feed.directUntil) {
		return Peer{}, false
	}
	for _, peer := range feed.config.Upstreams() {
		if !now.Before(feed.suspects[peer.Name].until) {
			return peer, true
		}
	}
	return Peer{}, false
}

func (feed *Feed) setUpstream(name string) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.upstream == name {
		return
	}
	feed.upstream = name
	if name == "" {
		feed.config.Log.Info().Msg("following the platform's store")
		return
	}
	feed.config.Log.Info().Str("Peer", name).Msg("polling another VM for changes")
}
