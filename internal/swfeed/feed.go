package swfeed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
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
	Current bool
	// Receive takes each change, in order.
	Receive func(change swfollow.Change)
}

// Config holds what a Feed is built from.
type Config struct {
	Source swfollow.Source
	// Kinds are in the same order on all VMs.
	Kinds []Kind
	// Ahead returns the VMs of this data centre that should follow the store rather than this one, the first of them first.
	Ahead     func() []Peer
	Transport Transport
	Log       zerolog.Logger
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

type suspect struct {
	until time.Time
	pause time.Duration
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
	for _, peer := range feed.config.Ahead() {
		if !now.Before(feed.suspects[peer.Name].until) {
			return peer, true
		}
	}
	return Peer{}, false
}

// followStore follows the store until a VM ahead of this one can be followed again. The first kind shows whether the store
// answers at all; the others wait for it, so that a store that is away gets few calls.
func (feed *Feed) followStore(ctx context.Context) {
	group := swgroup.New(ctx)
	defer feed.forgetReached()
	defer group.Stop()
	var once sync.Once
	answers := make(chan struct{})
	for i := range feed.config.Kinds {
		kind := &feed.config.Kinds[i]
		follower := swfollow.NewFollower(swfollow.FollowerConfig{
			Source: feed.config.Source, Kind: kind.Name, WatchWait: kind.WatchWait, Log: feed.config.Log,
			Receive: func(change swfollow.Change) { feed.receive(i, change) },
			OnReached: func(now time.Time) {
				feed.noteReached(i, now)
				once.Do(func() { close(answers) })
			},
		})
		group.Go(func(ctx context.Context) {
			if i > 0 {
				select {
				case <-answers:
				case <-ctx.Done():
					return
				}
			}
			follower.Run(ctx)
		})
	}
	for swtimer.Wait(ctx, review) == nil {
		if _, found := feed.choose(time.Now()); found {
			return
		}
	}
}

// poll asks a VM for news once.
func (feed *Feed) poll(ctx context.Context, peer Peer) {
	wait, slack := feed.patience()
	request := FollowRequest{Wait: wait, Revisions: make([]uint64, len(feed.caches))}
	for i, cache := range feed.caches {
		request.Revisions[i] = cache.current()
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	feed.mutex.Lock()
	feed.stopPoll = cancel
	feed.mutex.Unlock()
	var reply FollowReply
	err := feed.config.Transport.Call(callCtx, peer.Address, swpeer.MethodFollow, &request, &reply)
	if errors.Is(callCtx.Err(), context.Canceled) {
		return
	}
	if err != nil || len(reply.Changes) != len(feed.caches) {
		feed.distrust(peer, err)
		return
	}
	now := time.Now()
	for i := range reply.Changes {
		if reply.Changes[i].Revision == 0 {
			continue
		}
		change, err := reply.Changes[i].decode(feed.config.Kinds[i].Name, now)
		if err != nil {
			feed.distrust(peer, err)
			return
		}
		feed.receive(i, change)
	}
	if reply.Overdue > overdueMost {
		feed.passOver(peer, reply.Overdue)
		return
	}
	feed.trust(peer)
}

// patience returns how long a poll waits for news, and how much longer it may take.
func (feed *Feed) patience() (wait, slack time.Duration) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.failures > 0 || feed.caches[0].current() == 0 {
		return hastyWait, hastySlack
	}
	return pollWait, pollSlack
}

// receive takes a change that the store or a peer brought.
func (feed *Feed) receive(kind int, change swfollow.Change) {
	if !feed.caches[kind].apply(change) {
		return
	}
	feed.config.Kinds[kind].Receive(change)
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	close(feed.changed)
	feed.changed = make(chan struct{})
}

// passOver turns to another VM, or to the store, because the one that is followed does not reach the store: it may turn
// away some VMs and serve others.
func (feed *Feed) passOver(peer Peer, overdue time.Duration) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	now := time.Now()
	feed.failures++
	feed.suspects[peer.Name] = suspect{until: now.Add(staleFor)}
	feed.config.Log.Warn().Str("Peer", peer.Name).Dur("Overdue", overdue).Msg("the VM that is followed does not reach the store")
}

// isolated reports whether this VM is to try the store itself because the VMs ahead do not answer or do not reach it. One
// that knows no configuration yet follows the store at once instead.
func (feed *Feed) isolated(now time.Time) bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.failures < maxFailures || now.Before(feed.direct) {
		return false
	}
	if feed.caches[0].current() == 0 {
		feed.direct, feed.failures = now.Add(review/2), 0
		return false
	}
	return true
}

// try reads the first kind from the store itself, if it is time to. It answers the load in which the store is away for all
// VMs: each then tries seldom, and goes back to the VMs ahead once they reach it. Where the store turns away only these, two
// tries that succeed make this VM follow the store.
func (feed *Feed) try(ctx context.Context) {
	feed.mutex.Lock()
	wait := time.Until(feed.trial)
	feed.mutex.Unlock()
	if wait > 0 {
		_ = swtimer.Wait(ctx, min(wait, trialCheck))
		feed.reconsider()
		return
	}
	kind := feed.config.Kinds[0].Name
	objects, revision, err := feed.config.Source.ListObjects(ctx, kind)
	if err == nil {
		feed.receive(0, swfollow.Change{Whole: true, Objects: objects, Revision: revision})
	}
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	now := time.Now()
	if err != nil {
		feed.successes = 0
		feed.pause = min(trialMost, max(trialLeast, 2*feed.pause))
		feed.trial = now.Add(time.Duration((0.5 + rand.Float64()) * float64(feed.pause)))
		return
	}
	feed.successes++
	feed.trial = now.Add(trialCheck)
	if feed.successes > 1 {
		feed.successes, feed.failures = 0, 0
		feed.direct = now.Add(directFor)
		feed.config.Log.Warn().Msg("the store answers this VM and not those ahead of it")
	}
}

// reconsider gives the VMs ahead another chance, with one failure less to go.
func (feed *Feed) reconsider() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.failures = maxFailures - 1
	for name, known := range feed.suspects {
		if known.pause == 0 {
			delete(feed.suspects, name)
		}
	}
}

// distrust passes a VM over for a while.
func (feed *Feed) distrust(peer Peer, err error) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.failures++
	known := feed.suspects[peer.Name]
	known.pause = min(suspectMost, max(suspectLeast, 2*known.pause))
	known.until = time.Now().Add(known.pause)
	feed.suspects[peer.Name] = known
	feed.config.Log.Warn().Err(err).Str("Peer", peer.Name).Dur("PassedOver", known.pause).Msg("a VM that is followed does not answer")
}

func (feed *Feed) trust(peer Peer) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	delete(feed.suspects, peer.Name)
	feed.failures, feed.successes, feed.pause = 0, 0, 0
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

func (feed *Feed) noteReached(kind int, now time.Time) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.reached[kind] = now
}

// forgetReached notes that this VM does not follow the store any more.
func (feed *Feed) forgetReached() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	clear(feed.reached)
}

// neverReached stands for a VM that has not heard from the store since it began to follow it.
const neverReached = time.Hour

// overdue returns how much later than its watches should have ended the store last answered this VM.
func (feed *Feed) overdue(now time.Time) time.Duration {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	overdue := time.Duration(0)
	for i, reached := range feed.reached {
		kind := &feed.config.Kinds[i]
		if !kind.Current {
			continue
		}
		if reached.IsZero() {
			return neverReached
		}
		overdue = max(overdue, now.Sub(reached)-kind.WatchWait)
	}
	return overdue
}

// HandleFollow answers a peer. From then on this VM follows the store itself for a while, so that VMs never follow each
// other in a circle.
func (feed *Feed) HandleFollow(ctx context.Context, _ string, request FollowRequest) (FollowReply, error) {
	if !feed.demand(time.Now()) {
		return FollowReply{}, errLeaving
	}
	deadline := time.NewTimer(min(max(0, request.Wait), pollWait))
	defer deadline.Stop()
	for {
		reply, changed := feed.news(request)
		if reply.Overdue < neverReached && (reply.Overdue > overdueMost || reply.hasNews()) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply, _ := feed.news(request)
			return reply, nil
		case <-ctx.Done():
			return FollowReply{}, ctx.Err()
		}
	}
}

var errLeaving = errors.New("this VM is leaving")

// Leave makes peers turn to other VMs.
func (feed *Feed) Leave() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.leaving = true
}

// demand notes that a peer relies on this VM, which stops relying on another itself. It reports false on a leaving VM.
func (feed *Feed) demand(now time.Time) bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.leaving {
		return false
	}
	feed.demanded = now
	if feed.stopPoll != nil {
		feed.stopPoll()
		feed.stopPoll = nil
	}
	return true
}

// news returns what the request's sender lacks, and the signal of the next change.
func (feed *Feed) news(request FollowRequest) (FollowReply, <-chan struct{}) {
	now := time.Now()
	feed.mutex.Lock()
	changed := feed.changed
	feed.mutex.Unlock()
	reply := FollowReply{Changes: make([]KindChange, len(feed.caches)), Overdue: feed.overdue(now)}
	for i, cache := range feed.caches {
		revision := uint64(0)
		if i < len(request.Revisions) {
			revision = request.Revisions[i]
		}
		if change, ok := cache.since(revision); ok {
			reply.Changes[i] = encodeChange(change, now, cache.pack)
		}
	}
	return reply, changed
}

// hasNews reports whether any kind changed.
func (reply *FollowReply) hasNews() bool {
	return slices.ContainsFunc(reply.Changes, func(change KindChange) bool { return change.Revision > 0 })
}
