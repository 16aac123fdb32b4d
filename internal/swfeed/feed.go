package swfeed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

const (
	// pollWait is how long a VM waits at another for news. It bounds how late a peer that fell silent is noticed.
	pollWait = time.Second
	// pollSlack is how much longer than its wait a poll may take: a handshake between VMs of a data centre and a busy processor.
	pollSlack = 500 * time.Millisecond
	// hastyWait and hastySlack take their place after a poll failed: news may have been missed already.
	hastyWait  = 200 * time.Millisecond
	hastySlack = 300 * time.Millisecond
	// maxFailures is the number of polls in a row that fail, or bring word from a VM that does not reach the store, before
	// this VM tries the store itself.
	maxFailures = 2
	// trialLeast and trialMost bound the pause between tries that fail: all VMs try a store that is away.
	trialLeast = 400 * time.Millisecond
	trialMost  = 1600 * time.Millisecond
	// trialCheck is the pause after a try that succeeds, in which the VMs ahead may reach the store again as well.
	trialCheck = 300 * time.Millisecond
	// directFor is how long this VM follows the store after two tries in a row that succeeded.
	directFor = 3 * time.Second
	// demandFor is how long after a poll of a peer this VM goes on following the store itself: a few polls.
	demandFor = 5 * time.Second
	// overdueMost is how much later than a watch ends the store may answer before a VM counts as out of its reach.
	overdueMost = 700 * time.Millisecond
	// suspectLeast and suspectMost bound how long a VM that did not answer is passed over.
	suspectLeast = time.Second
	suspectMost  = 30 * time.Second
	// staleFor is how long a VM that does not reach the store is passed over.
	staleFor = 3 * time.Second
	// review is how often a VM that follows the store looks whether another one should.
	review = 500 * time.Millisecond
)

// Peer is a VM that may be followed.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Transport carries calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the answer into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// Kind is one kind of objects.
type Kind struct {
	Name string
	// WatchWait is how long a watch of the store waits.
	WatchWait time.Duration
	// Current kinds are those by which a VM is judged to reach the store.
	TracksReachability bool
	// Receive takes each change, in order.
	Receive func(change swfollow.Change)
}

// Config holds what a Feed is built from.
type Config struct {
	Source swfollow.Source
	// Kinds are in the same order on all VMs.
	Kinds []Kind
	// Ahead returns the VMs of this data centre that should follow the store rather than this one, the first of them first.
	Upstreams func() []Peer
	Transport Transport
	// OnFollowed is told which VM asks this one for news; it may be nil.
	OnPoll func(name string)
	Log    zerolog.Logger
}

// Feed keeps this VM's copies in step. Construct it with New; Run starts it.
type Feed struct {
	config Config
	caches []*cache

	mutex sync.Mutex
	// demanded is when a peer last asked this VM.
	demanded time.Time
	// changed is closed at the next change of any kind.
	changed chan struct{}
	// stopPoll ends the poll that is under way; nil when there is none.
	stopPoll context.CancelFunc
	// reached is when the store last answered this VM, by kind; the zero time while this VM does not follow the store.
	reached  []time.Time
	suspects map[string]suspect
	// leaving is set once no peer may rely on this VM any more.
	leaving bool
	// failures counts the polls that failed in a row.
	failures int
	// trial is when this VM may next try the store itself, pause the last pause between tries, successes the tries that
	// succeeded in a row, and direct until when it follows the store because of them.
	trial     time.Time
	pause     time.Duration
	successes int
	direct    time.Time
	// leader is whom this VM follows, for the log; empty for the store.
	leader string
}

// New returns a feed that knows nothing yet.
func New(config Config) *Feed {
	feed := &Feed{
		config:   config,
		caches:   make([]*cache, len(config.Kinds)),
		reached:  make([]time.Time, len(config.Kinds)),
		changed:  make(chan struct{}),
		suspects: make(map[string]suspect),
		leader:   "?",
	}
	for i := range feed.caches {
		feed.caches[i] = newCache()
	}
	return feed
}

// Run follows the store, or another VM that does, until the context ends.
func (feed *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if feed.isolated(time.Now()) {
			feed.try(ctx)
			continue
		}
		peer, found := feed.choose(time.Now())
		if !found {
			feed.noteLeader("")
			feed.followStore(ctx)
			continue
		}
		feed.noteLeader(peer.Name)
		feed.poll(ctx, peer)
	}
}

// choose returns the VM to follow, or not found when this VM is to follow the store itself: it is the first, others rely on
// it, or no VM ahead of it answers with current knowledge.
func (feed *Feed) choose(now time.Time) (Peer, bool) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if now.Sub(feed.demanded) < demandFor && !feed.demanded.IsZero() {
		return Peer{}, false
	}
	if now.Before(feed.direct) {
		return Peer{}, false
	}
	for _, peer := range feed.config.Upstreams() {
		if !now.Before(feed.suspects[peer.Name].until) {
			return peer, true
		}
	}
	return Peer{}, false
}

func (feed *Feed) noteLeader(name string) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.leader == name {
		return
	}
	feed.leader = name
	if name == "" {
		feed.config.Log.Info().Msg("following the platform's store")
		return
	}
	feed.config.Log.Info().Str("Peer", name).Msg("following another VM")
}
