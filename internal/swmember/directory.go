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

// Directory maintains the set of live VMs. It probes members of its own data centre, gossips the records of its record
// store, and, while this VM is a watcher, exchanges records with the watchers of other data centres. Construct it with
// NewDirectory; it is safe for concurrent use.
type Directory struct {
	config  Config
	records *RecordStore
	view    atomic.Pointer[View]
	// joined is set after the first synchronization of records with another VM.
	joined atomic.Bool
	// checkRequests receives names of members to probe immediately.
	checkRequests chan string

	mutex   sync.Mutex
	random  *rand.Rand
	self    Member
	members map[string]Member
	// suspicions holds the deadlines after which suspects of this data centre are declared dead.
	suspicions map[string]suspicion
	// unresponsive holds the members that did not answer this VM.
	unresponsive   map[string]*recheck
	seeds          []netip.AddrPort
	neighbours     []Member
	neighbourIndex int
	exchangeIndex  int
	lastContacts   map[string]time.Time
	// resumedAt is when this VM last detected that it had been paused.
	resumedAt time.Time
	// rejoinAt is when an address that is not in the view is next probed.
	rejoinAt time.Time
	// refutedAt is when this VM last raised its incarnation.
	refutedAt time.Time

	subscribersMutex sync.RWMutex
	subscribers      []func(*View)
	// refreshMutex serializes rebuilding the view, so that subscribers receive the views in order.
	refreshMutex sync.Mutex
}

// suspicion is a suspect's deadline for refuting.
type suspicion struct {
	incarnation uint64
	deadline    time.Time
}

// recheck schedules the next probe of an unresponsive member.
type recheck struct {
	incarnation uint64
	at          time.Time
	delay       time.Duration
}

// NewDirectory returns a directory of this VM and the members in the record store.
func NewDirectory(config Config) *Directory {
	config.setDefaults()
	directory := &Directory{
		config:        config,
		records:       config.Records,
		checkRequests: make(chan string, 64),
		random:        rand.New(rand.NewPCG(config.Seed, 0)),
		self:          config.Self,
		members:       make(map[string]Member),
		suspicions:    make(map[string]suspicion),
		unresponsive:  make(map[string]*recheck),
		lastContacts:  make(map[string]time.Time),
	}
	directory.self.State = Alive
	directory.records.merge("", []Record{memberRecord(directory.self)})
	directory.applyMemberRecords(directory.records.Records(TopicMember))
	directory.refuteFalseRecords()
	directory.rebuildView()
	return directory
}

// View returns the current view of the members. It is cheap enough to call for every query.
func (directory *Directory) View() *View {
	return directory.view.Load()
}

// IsDead reports whether the member of that name was declared dead and has not returned since.
func (directory *Directory) IsDead(name string) bool {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	member, known := directory.members[name]
	return known && member.State == Dead
}

// Joined reports whether this VM has synchronized its records with another one since it started, or knows of none.
func (directory *Directory) Joined() bool {
	return directory.joined.Load() || len(directory.joinTargets()) == 0
}

// Subscribe registers receive to be called with each new view, in order; receive must not block.
func (directory *Directory) Subscribe(receive func(*View)) {
	directory.subscribersMutex.Lock()
	defer directory.subscribersMutex.Unlock()
	directory.subscribers = append(directory.subscribers, receive)
}

// AddSeeds adds addresses of VMs to contact while no other member is known.
func (directory *Directory) AddSeeds(addresses []netip.AddrPort) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.seeds = append(directory.seeds, addresses...)
}

// LastContacts returns, by data centre, when this VM last had an answer or a call from a member.
func (directory *Directory) LastContacts() map[string]time.Time {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	contacts := make(map[string]time.Time, len(directory.lastContacts))
	for name, at := range directory.lastContacts {
		contacts[name] = at
	}
	return contacts
}

// Run probes members and gossips records until the context is cancelled.
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
		case name := <-directory.checkRequests:
			group.Go(func(ctx context.Context) { directory.probeByName(ctx, name) })
		case <-exchanges.C:
			exchanges.Reset(directory.jittered(directory.config.ExchangeInterval))
			group.Go(directory.exchangeRecords)
		case <-probes.C:
			directory.config.waitWhilePaused()
			now := time.Now()
			directory.extendSuspicionsAfterPause(now, now.Sub(last))
			last = now
			probes.Reset(directory.jittered(directory.config.ProbeInterval))
			directory.tick(group, now)
		}
	}
}

// tick expires records and suspicions, refutes false records of this VM, and starts the probes that are due.
func (directory *Directory) tick(group *swgroup.Group, now time.Time) {
	directory.removeExpiredMembers(directory.records.removeExpired(now))
	directory.refuteFalseRecords()
	directory.declareExpiredSuspectsDead(now)
	if member, ok := directory.nextProbe(); ok {
		group.Go(func(ctx context.Context) { directory.probe(ctx, member) })
	}
	if member, ok := directory.nextRecheck(now); ok {
		group.Go(func(ctx context.Context) { directory.probeByName(ctx, member.Name) })
	}
	if target, ok := directory.nextRejoin(now); ok {
		group.Go(func(ctx context.Context) { directory.probeAndReconcile(ctx, target) })
	}
}

// ReportSuspect reports that a member did not acknowledge work. This VM's view shows the member as suspect, so that it
// ranks after the others, until it answers a probe. The first probe is sent immediately.
func (directory *Directory) ReportSuspect(name string) {
	directory.mutex.Lock()
	member, known := directory.members[name]
	_, isUnresponsive := directory.unresponsive[name]
	if !known || isUnresponsive || member.State == Dead || name == directory.self.Name {
		directory.mutex.Unlock()
		return
	}
	directory.markUnresponsive(member)
	directory.mutex.Unlock()
	directory.rebuildView()
	directory.requestCheck(name)
}

// markUnresponsive records that a member did not answer this VM and schedules the next probe. The caller holds the mutex.
func (directory *Directory) markUnresponsive(member Member) {
	scheduled, ok := directory.unresponsive[member.Name]
	if !ok || scheduled.incarnation != member.Incarnation {
		scheduled = &recheck{incarnation: member.Incarnation, delay: initialRecheckDelay}
		directory.unresponsive[member.Name] = scheduled
	}
	scheduled.at = time.Now().Add(scheduled.delay)
	scheduled.delay = min(2*scheduled.delay, maxRecheckDelay)
}

// requestCheck requests an immediate probe. If too many requests are queued, it does nothing: the member is probed again after
// initialRecheckDelay.
func (directory *Directory) requestCheck(name string) {
	select {
	case directory.checkRequests <- name:
	default:
	}
}

// AnnounceLeaving announces to three peers that this VM accepts no new work. It returns after two seconds at the latest.
func (directory *Directory) AnnounceLeaving(ctx context.Context) {
	directory.announce(ctx, Leaving)
}

// AnnounceDead announces that this VM has stopped. Call it when no work is left, before the transport closes.
func (directory *Directory) AnnounceDead(ctx context.Context) {
	directory.announce(ctx, Dead)
}

// announce publishes a state of this VM and waits until its pushes have ended.
func (directory *Directory) announce(ctx context.Context, state State) {
	directory.mutex.Lock()
	directory.self.State = max(directory.self.State, state)
	record := memberRecord(directory.self)
	directory.mutex.Unlock()
	directory.applyAccepted(directory.records.merge("", []Record{record}))
	group := swgroup.New(ctx)
	directory.push(group)
	group.Wait()
}

// extendSuspicionsAfterPause restarts the suspicion timeouts after a pause, in which this VM could not receive refutations.
func (directory *Directory) extendSuspicionsAfterPause(now time.Time, elapsed time.Duration) {
	if elapsed < 3*directory.config.ProbeInterval {
		return
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.resumedAt = now
	for name, suspicion := range directory.suspicions {
		suspicion.deadline = now.Add(indirectSuspicionFactor * directory.config.SuspicionTimeout)
		directory.suspicions[name] = suspicion
	}
}

// jittered returns a random duration between 90% and 110% of period.
func (directory *Directory) jittered(period time.Duration) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return time.Duration((0.9 + 0.2*directory.random.Float64()) * float64(period))
}
