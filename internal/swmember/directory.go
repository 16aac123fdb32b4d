package swmember

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// Directory keeps the live set of VMs. It probes the members of its own data centre, spreads the records of its board,
// and, while this VM is a watcher, exchanges records with the watchers of other data centres. Construct it with
// NewDirectory; it is safe for concurrent use.
type Directory struct {
	config Config
	board  *RecordStore
	view   atomic.Pointer[View]
	// checks holds names of members to probe at once.
	checks chan string

	mutex   sync.Mutex
	random  *rand.Rand
	self    Member
	members map[string]Member
	// suspicions holds when a suspect of the own data centre counts as dead.
	suspicions map[string]suspicion
	// unanswered holds members that did not answer this VM.
	unanswered map[string]*unanswered
	seeds      []netip.AddrPort
	ring       []Member
	next       int
	nextCentre int
	contacts   map[string]time.Time
	// resumed is when this VM last noticed that it had been paused.
	resumed time.Time
	// rejoin is when an address outside the view is next probed.
	rejoin time.Time
	// refuted is when this VM last raised its incarnation.
	refuted time.Time

	subscribersMutex sync.RWMutex
	subscribers      []func(*View)
	// refreshMutex keeps the views in order.
	refreshMutex sync.Mutex
}

type suspicion struct {
	incarnation uint64
	deadline    time.Time
}

type unanswered struct {
	incarnation uint64
	next        time.Time
	delay       time.Duration
}

// NewDirectory returns a directory that knows this VM and what the board holds.
func NewDirectory(config Config) *Directory {
	config.setDefaults()
	directory := &Directory{
		config:     config,
		board:      config.Records,
		checks:     make(chan string, 64),
		random:     rand.New(rand.NewPCG(config.Seed, 0)),
		self:       config.Self,
		members:    make(map[string]Member),
		suspicions: make(map[string]suspicion),
		unanswered: make(map[string]*unanswered),
		contacts:   make(map[string]time.Time),
	}
	directory.self.State = Alive
	directory.board.merge("", []Record{memberRecord(directory.self)})
	directory.learn(directory.board.Records(TopicMember))
	directory.answerRumours()
	directory.refresh()
	return directory
}

// View returns the present picture of the members. It is cheap and safe to call on every query.
func (directory *Directory) View() *View {
	return directory.view.Load()
}

// Subscribe calls receive with each new view from now on, in order; receive must not block.
func (directory *Directory) Subscribe(receive func(*View)) {
	directory.subscribersMutex.Lock()
	defer directory.subscribersMutex.Unlock()
	directory.subscribers = append(directory.subscribers, receive)
}

// Seed adds addresses to ask for members when none is known.
func (directory *Directory) AddSeeds(addresses []netip.AddrPort) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.seeds = append(directory.seeds, addresses...)
}

// Contacts returns, by data centre, when a member of it last answered this VM.
func (directory *Directory) LastContacts() map[string]time.Time {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	contacts := make(map[string]time.Time, len(directory.contacts))
	for name, at := range directory.contacts {
		contacts[name] = at
	}
	return contacts
}

// Run probes and spreads records until the context ends.
func (directory *Directory) Run(ctx context.Context) {
	group := swgroup.New(ctx)
	defer group.Stop()
	group.Go(func(ctx context.Context) { directory.pushLoop(ctx, group) })
	group.Go(directory.join)
	probes := time.NewTimer(directory.jittered(directory.config.ProbeInterval))
	defer probes.Stop()
	exchanges := time.NewTimer(directory.jittered(directory.config.ExchangeInterval))
	defer exchanges.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-directory.checks:
			group.Go(func(ctx context.Context) { directory.check(ctx, name) })
		case <-exchanges.C:
			exchanges.Reset(directory.jittered(directory.config.ExchangeInterval))
			group.Go(directory.exchange)
		case <-probes.C:
			directory.config.hold()
			now := time.Now()
			directory.noticePause(now, now.Sub(last))
			last = now
			probes.Reset(directory.jittered(directory.config.ProbeInterval))
			directory.tick(group, now)
		}
	}
}

// tick starts the probes that are due and settles suspicions.
func (directory *Directory) tick(group *swgroup.Group, now time.Time) {
	directory.forget(directory.board.sweep(now))
	directory.answerRumours()
	directory.buryUnrefuted(now)
	if member, ok := directory.nextProbe(); ok {
		group.Go(func(ctx context.Context) { directory.probe(ctx, member) })
	}
	if member, ok := directory.nextRecheck(now); ok {
		group.Go(func(ctx context.Context) { directory.check(ctx, member.Name) })
	}
	if target, ok := directory.nextRejoin(now); ok {
		group.Go(func(ctx context.Context) { directory.contact(ctx, target) })
	}
}

// ReportSuspect tells that a member did not acknowledge work. It goes behind the others in the view at once, and is
// probed: it comes back when it answers.
func (directory *Directory) ReportSuspect(name string) {
	directory.mutex.Lock()
	member, known := directory.members[name]
	_, present := directory.unanswered[name]
	if !known || present || member.State == Dead || name == directory.self.Name {
		directory.mutex.Unlock()
		return
	}
	directory.noteUnanswered(member)
	directory.mutex.Unlock()
	directory.refresh()
	directory.requestCheck(name)
}

// noteUnanswered remembers, under the lock, that a member did not answer this VM.
func (directory *Directory) noteUnanswered(member Member) {
	present, ok := directory.unanswered[member.Name]
	if !ok || present.incarnation != member.Incarnation {
		present = &unanswered{incarnation: member.Incarnation, delay: recheckFirst}
		directory.unanswered[member.Name] = present
	}
	present.next = time.Now().Add(present.delay)
	present.delay = min(2*present.delay, recheckMax)
}

func (directory *Directory) requestCheck(name string) {
	select {
	case directory.checks <- name:
	default:
	}
}

// Leave announces that this VM takes no new work, and returns when three peers know, at the latest after two seconds.
func (directory *Directory) AnnounceLeaving(ctx context.Context) {
	directory.announce(ctx, Leaving)
}

// Depart announces that this VM is gone. Call it when nothing is left to do, before the transport closes.
func (directory *Directory) AnnounceDead(ctx context.Context) {
	directory.announce(ctx, Dead)
}

func (directory *Directory) announce(ctx context.Context, state State) {
	directory.mutex.Lock()
	directory.self.State = max(directory.self.State, state)
	record := memberRecord(directory.self)
	directory.mutex.Unlock()
	directory.publish(directory.board.merge("", []Record{record}))
	group := swgroup.New(ctx)
	directory.push(group)
	group.Wait()
}

// noticePause gives suspects their time again after this VM was paused: it could not have heard their refutations.
func (directory *Directory) noticePause(now time.Time, gap time.Duration) {
	if gap < 3*directory.config.ProbeInterval {
		return
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.resumed = now
	for name, suspicion := range directory.suspicions {
		suspicion.deadline = now.Add(witnessFactor * directory.config.SuspicionTimeout)
		directory.suspicions[name] = suspicion
	}
}

// jittered draws a duration between nine and eleven tenths of period.
func (directory *Directory) jittered(period time.Duration) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return time.Duration((0.9 + 0.2*directory.random.Float64()) * float64(period))
}
