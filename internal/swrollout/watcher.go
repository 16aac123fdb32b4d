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

// KindRules is the kind of the platform object that holds the rules.
const KindRules = "Rules"

// RulesName is the name of the only object of KindRules.
const RulesName = "main"

// Kinds returns the kinds of platform objects that watchers watch.
func Kinds() []string {
	return []string{KindRules, swindex.KindCatalogue, swindex.KindServers}
}

// errWatchUnresponsive means that a watch had no answer within watchSlack after its wait.
var errWatchUnresponsive = errors.New("watch is unresponsive")

// Defaults of WatcherConfig.
const (
	defaultWatchWait    = 30 * time.Second
	defaultListInterval = 30 * time.Second
)

const (
	// maxFirstWatchWait bounds the wait of the first watcher's watches, and so how late an unresponsive one is detected.
	maxFirstWatchWait = 1500 * time.Millisecond
	// watchSlack is how much longer than its wait a watch may take before it counts as unresponsive.
	watchSlack = 500 * time.Millisecond
	// relistInterval is the mean time between two listings of a kind, which find changes that a watch missed.
	relistInterval = 5 * time.Minute
	// maxBackoff bounds the exponential backoff between calls while the platform is down.
	maxBackoff = 30 * time.Second
	// maxStartDelay bounds the random delay before a starting VM calls the platform. Its seeds may answer in this time.
	maxStartDelay = time.Second
	// bootstrapDelay is the mean time that a VM waits for rules from its peers before it reads them from the platform.
	bootstrapDelay = 3 * time.Second
	// secondListFactor multiplies the interval at which the second watcher reads the VM list.
	secondListFactor = 4
	// minWideListInterval is the minimum time between two reads of the VM list of all data centres.
	minWideListInterval = 10 * time.Minute
	// unreachableAfter is the time without contact to a data centre after which the VM list of all data centres is read.
	unreachableAfter = 5 * time.Minute
)

// Platform is the part of the platform's API that watchers use.
type Platform interface {
	Get(ctx context.Context, kind, name string) (swplatform.Object, error)
	List(ctx context.Context, kind, prefix string) (uint64, []swplatform.ObjectVersion, error)
	Create(ctx context.Context, kind, name string, value []byte) (swplatform.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (swplatform.Object, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (swplatform.WatchResult, error)
	VMs(ctx context.Context, dataCentre string) ([]swplatform.VM, error)
}

// Directory is the part of swmember.Directory that watchers use.
type Directory interface {
	Members
	// Subscribe registers receive to be called with each new view.
	Subscribe(receive func(*swmember.View))
	// MergeVMs merges the platform's VM list of a data centre, or of all when dataCentre is empty.
	MergeVMs(ctx context.Context, dataCentre string, vms []swmember.VM)
	// LastContacts returns, by data centre, when this VM last had an answer or a call from a member.
	LastContacts() map[string]time.Time
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Platform  Platform
	Directory Directory
	Transport Transport
	Store     *Store
	// WatchWait is how long a watch waits for a change; on the first watcher at most 1.5 s. The default is 30 s.
	WatchWait time.Duration
	// ListInterval is the mean time between two reads of the VM list by the first watcher. The default is 30 s.
	ListInterval time.Duration
	// OnServerLeaving is called with each backend server that the VM list shows as leaving; it may be nil.
	OnServerLeaving func(server string)
	// Seed seeds the random number generator; zero selects a random seed.
	Seed uint64
	Log  zerolog.Logger
}

// Watcher reads the platform for its data centre while its VM is one of the data centre's two watchers, and writes the data
// centre's status while its VM is the first. On every VM it reports the rules in force to the first watcher. Construct it
// with NewWatcher.
type Watcher struct {
	config WatcherConfig
	// viewChanged receives a signal when the view changes.
	viewChanged chan struct{}
	// reportDue receives a signal when there may be a change to report.
	reportDue chan struct{}

	mutex        sync.Mutex
	random       *rand.Rand
	revisions    map[string]uint64
	reports      map[string]ReportRequest
	lastAnswer   time.Time
	lastWideList time.Time
	watching     bool
	// status is the status that this VM last wrote, as version statusVersion of the object.
	status        Status
	statusVersion uint64
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(config WatcherConfig) *Watcher {
	if config.WatchWait <= 0 {
		config.WatchWait = defaultWatchWait
	}
	if config.ListInterval <= 0 {
		config.ListInterval = defaultListInterval
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	watcher := &Watcher{
		config:      config,
		viewChanged: make(chan struct{}, 1),
		reportDue:   make(chan struct{}, 1),
		random:      rand.New(rand.NewPCG(config.Seed, 2)),
		revisions:   make(map[string]uint64),
		reports:     make(map[string]ReportRequest),
	}
	config.Directory.Subscribe(func(*swmember.View) {
		signal(watcher.viewChanged)
		signal(watcher.reportDue)
	})
	config.Store.Subscribe(KindRules, func(Document) { signal(watcher.reportDue) })
	return watcher
}

// signal sends to a channel with a buffer of one, unless a signal is pending.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// IsWatcher reports whether this VM reads the platform for its data centre.
func (watcher *Watcher) IsWatcher() bool {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.watching
}

// LastAnswer returns when the platform last answered this VM; it is the zero time before the first answer.
func (watcher *Watcher) LastAnswer() time.Time {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.lastAnswer
}

// Run watches the platform while this VM is a watcher, until the context is cancelled.
func (watcher *Watcher) Run(ctx context.Context) {
	group := swgroup.New(ctx)
	defer group.Stop()
	group.Go(watcher.reportLoop)
	group.Go(watcher.bootstrap)
	watcher.learnMembers(ctx)
	var watches *swgroup.Group
	for {
		_, isWatcher := watcher.config.Directory.View().WatcherRank()
		switch {
		case isWatcher && watches == nil:
			watches = swgroup.New(ctx)
			watcher.startWatching(watches)
		case !isWatcher && watches != nil:
			watches.Stop()
			watches = nil
		}
		watcher.mutex.Lock()
		watcher.watching = isWatcher
		watcher.mutex.Unlock()
		select {
		case <-ctx.Done():
			if watches != nil {
				watches.Stop()
			}
			return
		case <-watcher.viewChanged:
		}
	}
}

// learnMembers learns of the other members from the seeds, or by one read of the VM list, before this VM determines whether
// it is a watcher. Without this, each starting VM would consider itself a watcher.
func (watcher *Watcher) learnMembers(ctx context.Context) {
	wait(ctx, time.Duration((0.5+0.5*watcher.randomFraction())*float64(maxStartDelay)))
	view := watcher.config.Directory.View()
	if view.Len() > 1 || ctx.Err() != nil {
		return
	}
	if err := watcher.mergeVMs(ctx, view.Self.DataCentre); err != nil {
		watcher.config.Log.Warn().Err(err).Msg("reading the platform's VM list at startup failed")
	}
}

// startWatching starts the loops of a watcher.
func (watcher *Watcher) startWatching(group *swgroup.Group) {
	for _, kind := range Kinds() {
		group.Go(func(ctx context.Context) { watcher.watchKind(ctx, kind) })
	}
	group.Go(watcher.listLoop)
	group.Go(watcher.statusLoop)
}

// watchKind lists the objects of a kind, reads those that are newer than the ones in force, and then watches for changes.
// It lists again every few minutes, after a failure, and when a watch is unresponsive.
func (watcher *Watcher) watchKind(ctx context.Context, kind string) {
	backoff := watcher.backoff()
	for ctx.Err() == nil {
		err := watcher.list(ctx, kind)
		if err == nil {
			backoff.Reset()
			err = watcher.watchUntilRelist(ctx, kind)
		}
		if err == nil || errors.Is(err, errWatchUnresponsive) || ctx.Err() != nil {
			continue
		}
		watcher.config.Log.Warn().Err(err).Str("Kind", kind).Msg("watching the platform failed")
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

func (watcher *Watcher) backoff() *swplatform.Backoff {
	return swplatform.NewBackoff(swplatform.BackoffConfig{MaxDelay: maxBackoff, Random: watcher.randomFraction})
}

// randomFraction returns a random number in [0, 1).
func (watcher *Watcher) randomFraction() float64 {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.random.Float64()
}

// list lists the objects of a kind, reads those that are newer than the ones in force, and records the revision to watch from.
func (watcher *Watcher) list(ctx context.Context, kind string) error {
	revision, objects, err := watcher.config.Platform.List(ctx, kind, "")
	if err != nil {
		return err
	}
	watcher.recordAnswer()
	var lastErr error
	for _, object := range objects {
		current, ok := watcher.config.Store.Current(kind, object.Name)
		if ok && current.Version >= object.Version {
			continue
		}
		err := watcher.read(ctx, kind, object.Name)
		if err != nil && !errors.Is(err, swplatform.ErrNotFound) {
			lastErr = err
		}
	}
	if lastErr != nil {
		return lastErr
	}
	watcher.mutex.Lock()
	watcher.revisions[kind] = revision
	watcher.mutex.Unlock()
	return nil
}

// read reads one object and applies it to the store.
func (watcher *Watcher) read(ctx context.Context, kind, name string) error {
	object, err := watcher.config.Platform.Get(ctx, kind, name)
	if err != nil {
		return err
	}
	watcher.apply(object)
	return nil
}

// apply puts an object in force if it is valid and newer. The store's status shows a rejection.
func (watcher *Watcher) apply(object swplatform.Object) {
	document := Document{Kind: object.Kind, Name: object.Name, Version: object.Version, Value: object.Value}
	if _, err := watcher.config.Store.Apply(document); err != nil {
		watcher.config.Log.Warn().Err(err).Str("Document", document.Key()).Msg("platform object not put in force")
		signal(watcher.reportDue)
	}
}

// watchUntilRelist watches a kind until it is time to list it again.
func (watcher *Watcher) watchUntilRelist(ctx context.Context, kind string) error {
	end := time.Now().Add(watcher.jittered(relistInterval))
	for time.Now().Before(end) && ctx.Err() == nil {
		if err := watcher.watchOnce(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

// watchOnce waits for one response of a watch and applies the changed objects. The next watch starts at the response's revision.
func (watcher *Watcher) watchOnce(ctx context.Context, kind string) error {
	watcher.mutex.Lock()
	after := watcher.revisions[kind]
	watcher.mutex.Unlock()
	limit := watcher.watchWait()
	watchCtx, cancel := context.WithTimeout(ctx, limit+watchSlack)
	defer cancel()
	result, err := watcher.config.Platform.Watch(watchCtx, kind, after, limit)
	if err != nil && watchCtx.Err() != nil {
		return errWatchUnresponsive
	}
	if err != nil {
		return err
	}
	watcher.recordAnswer()
	for _, object := range result.Objects {
		watcher.apply(object)
	}
	watcher.mutex.Lock()
	watcher.revisions[kind] = max(after, result.Revision)
	watcher.mutex.Unlock()
	return nil
}

// watchWait returns how long a watch waits. The first watcher's watches are short, so that an unresponsive connection is
// detected in time; the second watcher's are long, to reduce the load on the platform.
func (watcher *Watcher) watchWait() time.Duration {
	if rank, _ := watcher.config.Directory.View().WatcherRank(); rank > 0 {
		return watcher.config.WatchWait
	}
	return min(watcher.config.WatchWait, maxFirstWatchWait)
}

func (watcher *Watcher) recordAnswer() {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	watcher.lastAnswer = time.Now()
}

// jittered returns a random duration between 80% and 120% of period.
func (watcher *Watcher) jittered(period time.Duration) time.Duration {
	return time.Duration((0.8 + 0.4*watcher.randomFraction()) * float64(period))
}

// bootstrap reads the rules from the platform if no peer provided them in time. It runs on every VM, watcher or not.
func (watcher *Watcher) bootstrap(ctx context.Context) {
	wait(ctx, watcher.jittered(bootstrapDelay))
	backoff := watcher.backoff()
	for ctx.Err() == nil {
		if _, ok := watcher.config.Store.Current(KindRules, RulesName); ok {
			return
		}
		if err := watcher.read(ctx, KindRules, RulesName); err == nil {
			watcher.recordAnswer()
		}
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}
