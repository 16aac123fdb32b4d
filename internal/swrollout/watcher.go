package swrollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// KindRules names the platform objects that hold rules.
const KindRules = "Rules"

// RulesName is the name of the one object of KindRules.
const RulesName = "main"

// Kinds returns the kinds of platform objects that watchers watch.
func Kinds() []string {
	return []string{KindRules, swindex.KindCatalogue, swindex.KindServers}
}

// errSilent means that a watch had no answer when its wait was long over.
var errSilent = errors.New("watch went silent")

// Defaults of WatcherConfig.
const (
	defaultWatchWait = 30 * time.Second
	defaultListEvery = 30 * time.Second
)

const (
	// firstWatchWait is how long a watch of the first watcher waits at most. It bounds how late a silent watch is found.
	firstWatchWait = 1500 * time.Millisecond
	// watchSlack is how much longer than its wait a watch may take before it counts as silent.
	watchSlack = 500 * time.Millisecond
	// relistEvery is the time between two listings of a kind, which find what a watch missed.
	relistEvery = 5 * time.Minute
	// backoffMax bounds the wait between calls while the platform is down.
	backoffMax = 30 * time.Second
	// startSpread bounds the random wait of a VM that starts before it asks the platform, in which seeds may answer.
	startSpread = time.Second
	// bootstrapAfter is how long a VM that is no watcher waits for rules from its peers before it asks the platform.
	bootstrapAfter = 3 * time.Second
	// secondListFactor is how much less often than the first watcher the second reads the VM list.
	secondListFactor = 4
	// wideListEvery is the least time between two readings of the list of all data centres.
	wideListEvery = 10 * time.Minute
	// outOfReachAfter is how long no VM of another data centre may have answered before the wide list is read.
	outOfReachAfter = 5 * time.Minute
)

// Platform is the object API as watchers use it.
type Platform interface {
	Get(ctx context.Context, kind, name string) (swplatform.Object, error)
	List(ctx context.Context, kind, prefix string) (uint64, []swplatform.ObjectVersion, error)
	Create(ctx context.Context, kind, name string, value []byte) (swplatform.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (swplatform.Object, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (swplatform.WatchResult, error)
	VMs(ctx context.Context, dataCentre string) ([]swplatform.VM, error)
}

// Directory is the set of members as watchers use it.
type Directory interface {
	Members
	// Subscribe calls receive with each new view.
	Subscribe(receive func(*swmember.View))
	// MergeVMs takes the platform's VM list of a data centre, or of all.
	MergeVMs(ctx context.Context, dataCentre string, vms []swmember.VM)
	// Contacts returns, by data centre, when a member of it last answered.
	LastContacts() map[string]time.Time
}

// WatcherConfig holds what a Watcher is built from.
type WatcherConfig struct {
	Platform  Platform
	Directory Directory
	Transport Transport
	Store     *Store
	// WatchWait is how long a watch waits for a change; the first watcher's wait 1.5 s at most. The default is 30 s.
	WatchWait time.Duration
	// ListEvery is the time between two readings of the VM list by the first watcher. The default is 30 s.
	ListInterval time.Duration
	// OnServerLeaving is told each backend server that the VM list calls leaving; it may be nil.
	OnServerLeaving func(server string)
	// Seed sets the sequence of random choices; zero draws one.
	Seed uint64
	Log  zerolog.Logger
}

// Watcher reads the platform for the data centre while its VM is one of the two watchers, and writes the data centre's
// status while it is the first. On every VM it reports the rules in force to the watchers. Construct it with NewWatcher.
type Watcher struct {
	config WatcherConfig
	// changed has an element when the view changed.
	changed chan struct{}
	// reportDue has an element when there is news for the watchers.
	reportDue chan struct{}

	mutex     sync.Mutex
	random    *rand.Rand
	revisions map[string]uint64
	reports   map[string]ReportRequest
	reached   time.Time
	wideList  time.Time
	watching  bool
	// status is the one that this VM last wrote, at version statusVersion.
	status        Status
	statusVersion uint64
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(config WatcherConfig) *Watcher {
	if config.WatchWait <= 0 {
		config.WatchWait = defaultWatchWait
	}
	if config.ListInterval <= 0 {
		config.ListInterval = defaultListEvery
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	watcher := &Watcher{
		config:    config,
		changed:   make(chan struct{}, 1),
		reportDue: make(chan struct{}, 1),
		random:    rand.New(rand.NewPCG(config.Seed, 2)),
		revisions: make(map[string]uint64),
		reports:   make(map[string]ReportRequest),
	}
	config.Directory.Subscribe(func(*swmember.View) {
		signal(watcher.changed)
		signal(watcher.reportDue)
	})
	config.Store.Subscribe(KindRules, func(Document) { signal(watcher.reportDue) })
	return watcher
}

// signal puts an element into a channel that holds one, unless it is there.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Watching reports whether this VM reads the platform for its data centre.
func (watcher *Watcher) IsWatcher() bool {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.watching
}

// Reached returns when the platform last answered this VM, or the zero time.
func (watcher *Watcher) LastAnswer() time.Time {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.reached
}

// Run watches while this VM is a watcher, until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	group := swgroup.New(ctx)
	defer group.Stop()
	group.Go(watcher.reportLoop)
	group.Go(watcher.bootstrap)
	watcher.introduce(ctx)
	var watches *swgroup.Group
	for {
		_, chosen := watcher.config.Directory.View().WatcherRank()
		switch {
		case chosen && watches == nil:
			watches = swgroup.New(ctx)
			watcher.watch(watches)
		case !chosen && watches != nil:
			watches.Stop()
			watches = nil
		}
		watcher.mutex.Lock()
		watcher.watching = chosen
		watcher.mutex.Unlock()
		select {
		case <-ctx.Done():
			if watches != nil {
				watches.Stop()
			}
			return
		case <-watcher.changed:
		}
	}
}

// introduce learns who the other members are before this VM judges whether it is a watcher: from its seeds, or else by one
// reading of the VM list. Without it, each VM that starts would take itself for a watcher.
func (watcher *Watcher) introduce(ctx context.Context) {
	wait(ctx, time.Duration((0.5+0.5*watcher.draw())*float64(startSpread)))
	view := watcher.config.Directory.View()
	if view.Len() > 1 || ctx.Err() != nil {
		return
	}
	if err := watcher.mergeVMs(ctx, view.Self.DataCentre); err != nil {
		watcher.config.Log.Warn().Err(err).Msg("VM list failed at the start")
	}
}

// watch starts the loops of a watcher.
func (watcher *Watcher) watch(group *swgroup.Group) {
	for _, kind := range Kinds() {
		group.Go(func(ctx context.Context) { watcher.watchKind(ctx, kind) })
	}
	group.Go(watcher.listLoop)
	group.Go(watcher.statusLoop)
}

// watchKind lists the objects of a kind, reads those that are newer than the ones in force, and then waits for changes.
// It starts again with a listing every few minutes, after a failure, and when a watch went silent.
func (watcher *Watcher) watchKind(ctx context.Context, kind string) {
	backoff := watcher.backoff()
	for ctx.Err() == nil {
		err := watcher.list(ctx, kind)
		if err == nil {
			backoff.Reset()
			err = watcher.follow(ctx, kind)
		}
		if err == nil || errors.Is(err, errSilent) || ctx.Err() != nil {
			continue
		}
		watcher.config.Log.Warn().Err(err).Str("Kind", kind).Msg("platform watch failed")
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

func (watcher *Watcher) backoff() *swplatform.Backoff {
	return swplatform.NewBackoff(swplatform.BackoffConfig{Max: backoffMax, Random: watcher.draw})
}

// draw returns a number in [0, 1).
func (watcher *Watcher) draw() float64 {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.random.Float64()
}

// list brings the documents of a kind up to date and notes the revision to watch from.
func (watcher *Watcher) list(ctx context.Context, kind string) error {
	revision, objects, err := watcher.config.Platform.List(ctx, kind, "")
	if err != nil {
		return err
	}
	watcher.noteReached()
	var failed error
	for _, object := range objects {
		current, ok := watcher.config.Store.Current(kind, object.Name)
		if ok && current.Version >= object.Version {
			continue
		}
		err := watcher.read(ctx, kind, object.Name)
		if err != nil && !errors.Is(err, swplatform.ErrNotFound) {
			failed = err
		}
	}
	if failed != nil {
		return failed
	}
	watcher.mutex.Lock()
	watcher.revisions[kind] = revision
	watcher.mutex.Unlock()
	return nil
}

// read offers one object to the store.
func (watcher *Watcher) read(ctx context.Context, kind, name string) error {
	object, err := watcher.config.Platform.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	watcher.offer(object)
	return nil
}

// offer puts an object in force if it is valid and newer. A refused one shows in the store's status.
func (watcher *Watcher) offer(object swplatform.Object) {
	document := Document{Kind: object.Kind, Name: object.Name, Version: object.Version, Value: object.Value}
	if _, err := watcher.config.Store.Apply(document); err != nil {
		watcher.config.Log.Warn().Err(err).Str("Document", document.Key()).Msg("platform object not put in force")
		signal(watcher.reportDue)
	}
}

// follow waits for changes of a kind until it is time to list again.
func (watcher *Watcher) follow(ctx context.Context, kind string) error {
	end := time.Now().Add(watcher.jittered(relistEvery))
	for time.Now().Before(end) && ctx.Err() == nil {
		if err := watcher.followOnce(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

func (watcher *Watcher) followOnce(ctx context.Context, kind string) error {
	watcher.mutex.Lock()
	after := watcher.revisions[kind]
	watcher.mutex.Unlock()
	limit := watcher.watchWait()
	watchCtx, cancel := context.WithTimeout(ctx, limit+watchSlack)
	defer cancel()
	result, err := watcher.config.Platform.Watch(watchCtx, kind, after, limit)
	if err != nil && watchCtx.Err() != nil {
		return errSilent
	}
	if err != nil {
		return err
	}
	watcher.noteReached()
	for _, object := range result.Objects {
		watcher.offer(object)
	}
	watcher.mutex.Lock()
	watcher.revisions[kind] = max(after, result.Revision)
	watcher.mutex.Unlock()
	return nil
}

// watchWait returns how long a watch waits. The first watcher's are short, so that one whose connection went silent is
// found in time; the second watcher's are not, to spare the platform.
func (watcher *Watcher) watchWait() time.Duration {
	if rank, _ := watcher.config.Directory.View().WatcherRank(); rank > 0 {
		return watcher.config.WatchWait
	}
	return min(watcher.config.WatchWait, firstWatchWait)
}

func (watcher *Watcher) noteReached() {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	watcher.reached = time.Now()
}

// jittered draws a duration between four and six fifths of period.
func (watcher *Watcher) jittered(period time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*watcher.draw()) * float64(period))
}

// bootstrap reads the rules from the platform when no peer gave them in time, whether this VM is a watcher or not.
func (watcher *Watcher) bootstrap(ctx context.Context) {
	wait(ctx, watcher.jittered(bootstrapAfter))
	backoff := watcher.backoff()
	for ctx.Err() == nil {
		if _, ok := watcher.config.Store.Current(KindRules, RulesName); ok {
			return
		}
		if err := watcher.read(ctx, KindRules, RulesName); err == nil {
			watcher.noteReached()
		}
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}
