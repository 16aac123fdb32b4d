package swobservation

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// priorAttempts is the number of attempts without loss that an estimate assumes in addition to those observed, so that a single loss
	// does not count as certain loss.
	priorAttempts = 2
	// minVMs is the number of other VMs whose evidence this VM accepts if it has seen nothing unusual itself. The link of a single VM
	// may be broken, or its data wrong.
	minVMs = 2
	// minOwnUnusual is the decayed number of own unusual attempts from which the evidence of a single other VM is accepted as well.
	minOwnUnusual = 0.5
	// maxReplicas, maxSources bound what a tracker holds: all replicas and VMs of the largest deployments.
	maxReplicas = 10_000
	maxSources  = 1_500
	// minNews is how many lost attempts of about the last second this VM reports to others of its own accord. Single losses occur in calm:
	// a VM that sends 54 parts a second, of which one in 200 is lost, would otherwise report half of the time. Rejections are
	// more common and count for less.
	minNews       = 1.5
	rejectionNews = 0.5
	// minAttempts is the decayed number of attempts below which own counts are forgotten, and forgetInterval how often that is checked.
	minAttempts    = 0.05
	forgetInterval = time.Second
	// sourceLifetime is how long the report of a VM or a data centre is kept. Its weight is then a sixteenth.
	sourceLifetime = 4 * halfLife
	// maxMergedTop bounds the replicas that are considered for a reply. Some of them may be unusual only by the receiver's own report.
	maxMergedTop = 2 * MaxEntries
	// mergeInterval is how long a merge is used for replies. It bounds the processor time that many callers cost.
	mergeInterval = 50 * time.Millisecond
)

// centrePrefix distinguishes the name of a data centre from that of a VM in a merge.
const centrePrefix = "/"

// Estimate is what all VMs together know about a replica. The zero value means that nothing unusual is known.
type Estimate struct {
	// Loss, Rejection and Slowness are the fractions of attempts that are lost, rejected and answered slowly.
	Loss      float64
	Rejection float64
	Slowness  float64
	// VMs is the number of other VMs that saw something unusual, at most as many as their reports tell.
	VMs int
}

// Tracker counts this VM's attempts by replica, merges the reports of other VMs, and estimates the state of each replica. It is safe for
// concurrent use. A nil Tracker observes and knows nothing.
type Tracker struct {
	mutex sync.Mutex
	// own holds this VM's counts, and shared what the others saw according to the latest replies.
	own    map[Key]*agedCounts
	shared map[Key]*sharedCounts
	// vms and centres hold the latest reports of the VMs of this data centre, if this VM aggregates them, and of other data centres.
	vms     map[string]*source
	centres map[string]*source
	// mergedAll and mergedVMs cache the merge of both and of vms alone, as of mergedAt.
	mergedAll map[Key]*merged
	mergedVMs map[Key]*merged
	mergedAt  time.Time
	// mergedTop holds the replicas of mergedAll with the most unusual attempts.
	mergedTop []Key
	// mergedFrom holds the reports of VMs that are in the merge.
	mergedFrom map[string]*source
	// recent counts this VM's attempts at all replicas.
	recent   agedCounts
	forgotAt time.Time
	// knowsOf is set while something unusual is known, so that choices of a replica take no lock otherwise.
	knowsOf atomic.Bool
	// news receives a signal when something unusual was observed.
	news chan struct{}
}

// sharedCounts are counts of other VMs.
type sharedCounts struct {
	agedCounts
	vms int
}

// NewTracker returns a tracker that has observed nothing.
func NewTracker() *Tracker {
	return &Tracker{
		own: make(map[Key]*agedCounts), shared: make(map[Key]*sharedCounts),
		vms: make(map[string]*source), centres: make(map[string]*source), news: make(chan struct{}, 1),
	}
}

// Observe counts an attempt of this VM.
func (tracker *Tracker) Observe(now time.Time, replica string, outcome Outcome) {
	if tracker == nil {
		return
	}
	key := KeyOf(replica)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.forget(now)
	counts, ok := tracker.own[key]
	if !ok {
		if len(tracker.own) >= maxReplicas {
			return
		}
		counts = &agedCounts{at: now}
		tracker.own[key] = counts
	}
	counts.Counts, counts.at = counts.as(now), now
	counts.add(outcome)
	tracker.recent.Counts, tracker.recent.at = tracker.recent.as(now), now
	tracker.recent.add(outcome)
	if outcome == Answered {
		return
	}
	tracker.knowsOf.Store(true)
	if newsworth(tracker.recent.Counts) >= minNews {
		select {
		case tracker.news <- struct{}{}:
		default:
		}
	}
}

// newsworth weighs unusual attempts by how seldom they occur in calm. Slow answers are told only along with others: after the start of all VMs every
// replica is slow, and the exchange took processor time from the first searches.
func newsworth(counts Counts) float64 {
	return counts.Lost + rejectionNews*counts.Rejected
}

// News receives a value when this VM has observed so much that is unusual that others should know.
func (tracker *Tracker) News() <-chan struct{} {
	return tracker.news
}

// Estimate estimates the state of a replica from the counts of this VM and of others. The others count if at least two of them saw
// something unusual, or one of them and this VM.
func (tracker *Tracker) Estimate(now time.Time, replica string) Estimate {
	if !tracker.KnowsAny() {
		return Estimate{}
	}
	key := KeyOf(replica)
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.estimate(now, key)
}

// estimate implements Estimate. The caller holds the mutex.
func (tracker *Tracker) estimate(now time.Time, key Key) Estimate {
	var counts Counts
	if own, ok := tracker.own[key]; ok {
		counts = own.as(now)
	}
	vms := 0
	if shared, ok := tracker.shared[key]; ok && (shared.vms >= minVMs || shared.vms > 0 && counts.unusual() >= minOwnUnusual) {
		others := shared.as(now)
		if shared.vms < minVMs {
			// A single other VM counts for no more than this one.
			others = others.withUnusualAtMost(counts.unusual())
		}
		counts = counts.plus(others)
		vms = shared.vms
	}
	if counts.unusual() < minUnusual {
		return Estimate{}
	}
	attempts := counts.Attempts + priorAttempts
	return Estimate{Loss: counts.Lost / attempts, Rejection: counts.Rejected / attempts, Slowness: counts.Slow / attempts, VMs: vms}
}

// KnowsAny reports whether anything unusual may be known of any replica.
func (tracker *Tracker) KnowsAny() bool {
	return tracker != nil && tracker.knowsOf.Load()
}

// Report returns this VM's counts of the replicas at which it or others saw something unusual. Without the counts of those who saw nothing
// unusual, a replica would seem to lose most of its answers after few losses.
func (tracker *Tracker) Report(now time.Time) Report {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var report Report
	for key, counts := range tracker.own {
		decayed := counts.as(now)
		_, isShared := tracker.shared[key]
		if unusual := decayed.unusual() >= minUnusual; (unusual || isShared) && decayed.Attempts >= countUnit {
			entry := Entry{Replica: key, Counts: decayed}
			if unusual {
				entry.VMs = 1
			}
			report = append(report, entry)
		}
	}
	return report.bounded()
}

// ReceiveVM replaces the report of a VM of this data centre, for which this VM aggregates. A report that arrives twice counts once.
func (tracker *Tracker) ReceiveVM(now time.Time, vm string, report Report) {
	tracker.receive(now, tracker.vms, vm, report, maxVMAttempts)
}

// ReceiveCentre replaces the report of another data centre. It counts as that of one VM, since one VM has merged it.
func (tracker *Tracker) ReceiveCentre(now time.Time, dataCentre string, report Report) {
	tracker.receive(now, tracker.centres, centrePrefix+dataCentre, report, maxCentreAttempts)
}

func (tracker *Tracker) receive(now time.Time, sources map[string]*source, name string, report Report, maxAttempts float64) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	maps.DeleteFunc(sources, func(_ string, source *source) bool { return now.Sub(source.receivedAt) > sourceLifetime })
	if _, known := sources[name]; !known && len(sources) >= maxSources {
		return
	}
	sources[name] = newSource(now, report[:min(len(report), MaxEntries)], maxAttempts)
}

// ReplyTo returns what the others saw, for a VM of this data centre.
func (tracker *Tracker) ReplyTo(now time.Time, vm string) Report {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.refreshMerge(now)
	sender := tracker.mergedFrom[vm]
	var report Report
	for _, replica := range tracker.mergedTop {
		sum := tracker.mergedAll[replica]
		var excluded contribution
		if sender != nil {
			excluded = sender.contributionOf(vm, replica, tracker.mergedAt)
		}
		if counts, vms := sum.without(excluded); vms > 0 && counts.unusual() >= minUnusual {
			report = append(report, Entry{Replica: replica, Counts: counts, VMs: vms})
		}
	}
	return report.bounded()
}

// Aggregate returns what the VMs of this data centre saw, for the other data centres.
func (tracker *Tracker) Aggregate(now time.Time) Report {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.refreshMerge(now)
	var report Report
	for replica, sum := range tracker.mergedVMs {
		if counts, vms := sum.without(contribution{}); counts.Attempts >= countUnit {
			report = append(report, Entry{Replica: replica, Counts: counts, VMs: vms})
		}
	}
	return report.bounded()
}

// refreshMerge merges the reports again if the last merge is older than mergeInterval. The caller holds the mutex.
func (tracker *Tracker) refreshMerge(now time.Time) {
	if tracker.mergedAll != nil && now.Sub(tracker.mergedAt) < mergeInterval {
		return
	}
	tracker.mergedAt, tracker.mergedFrom = now, maps.Clone(tracker.vms)
	tracker.mergedVMs = merge(now, tracker.vms)
	tracker.mergedAll = merge(now, tracker.vms, tracker.centres)
	tracker.mergedTop = mostUnusual(tracker.mergedAll, maxMergedTop)
}

// Learn replaces what the others saw by a reply of the aggregator.
func (tracker *Tracker) Learn(now time.Time, report Report) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	clear(tracker.shared)
	for _, entry := range report[:min(len(report), MaxEntries)] {
		tracker.shared[entry.Replica] = &sharedCounts{agedCounts: agedCounts{Counts: entry.Counts, at: now}, vms: entry.VMs}
	}
	if len(tracker.shared) > 0 {
		tracker.knowsOf.Store(true)
	}
	tracker.forget(now)
}

// Supplement adds a reply that may lack reports to what the others saw. Where more is known already, that remains.
func (tracker *Tracker) Supplement(now time.Time, report Report) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, entry := range report[:min(len(report), MaxEntries)] {
		known, ok := tracker.shared[entry.Replica]
		if !ok && len(tracker.shared) >= maxReplicas {
			continue
		}
		if ok && known.as(now).unusual() >= minUnusual && (known.as(now).unusual() >= entry.unusual() || known.vms > entry.VMs) {
			continue
		}
		tracker.shared[entry.Replica] = &sharedCounts{agedCounts: agedCounts{Counts: entry.Counts, at: now}, vms: entry.VMs}
		tracker.knowsOf.Store(true)
	}
	tracker.forget(now)
}

// Active reports whether this VM or others saw something unusual a short time ago, so that it is worth asking the others.
func (tracker *Tracker) Active(now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if newsworth(tracker.recent.as(now)) >= minNews/2 {
		return true
	}
	for _, counts := range tracker.shared {
		if counts.vms >= minVMs && counts.as(now).unusual() >= 2*minUnusual {
			return true
		}
	}
	return false
}

// Suspects returns the number of replicas at which others saw something unusual, according to the latest reply.
func (tracker *Tracker) Suspects() int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.shared)
}

// forget drops counts that no longer matter, at most once in forgetInterval. The caller holds the mutex.
func (tracker *Tracker) forget(now time.Time) {
	if now.Sub(tracker.forgotAt) < forgetInterval {
		return
	}
	tracker.forgotAt = now
	maps.DeleteFunc(tracker.own, func(_ Key, counts *agedCounts) bool { return counts.as(now).Attempts < minAttempts })
	maps.DeleteFunc(tracker.shared, func(_ Key, counts *sharedCounts) bool { return counts.as(now).unusual() < minUnusual })
	if len(tracker.shared) == 0 && tracker.recent.as(now).unusual() < minUnusual {
		tracker.knowsOf.Store(false)
	}
}
