// Package swexchange sends what this VM has observed of replicas to other VMs, and receives what they have observed.
//
// One VM of each data centre, the first in rendezvous order, aggregates the reports of the others and exchanges them with the aggregators
// of the other data centres. A report holds all that its sender currently counts and replaces the former one, so that messages may be lost,
// late or delivered twice. Nothing is sent while no VM sees anything unusual.
package swexchange

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swobservation"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// AggregatorKey is the rendezvous key by which the VMs of a data centre are ranked; the first one aggregates.
	AggregatorKey = "observations"
	// callTimeout bounds a call within the data centre, and remoteTimeout one to another data centre: the longest round trip of 40 ms and a
	// handshake, on a busy VM.
	callTimeout   = 100 * time.Millisecond
	remoteTimeout = 250 * time.Millisecond
	// suspectTime is how long a VM that did not answer suspectFailures calls in a row is not called. The VMs whose
	// calls are lost would otherwise stay with another aggregator than the rest, which has few reports.
	suspectTime     = 2 * time.Second
	suspectFailures = 3
	// maxTries bounds the VMs that are called in one round.
	maxTries = 3
	// quickRounds is the number of rounds at the shortest interval after something new. The interval then doubles, up to maxSlowdown times
	// the shortest, while the number of suspected replicas does not grow.
	quickRounds = 5
	maxSlowdown = 8
	// intervalPerVM is the least interval for each VM that an aggregator serves, so that its calls per second do not grow with their number.
	intervalPerVM = 4 * time.Millisecond
	// activeTime is how long a VM keeps asking after it was told that something is unusual.
	activeTime = 1500 * time.Millisecond
	// jitter is the fraction by which intervals vary, so that VMs do not call at the same moment.
	jitter = 0.2
)

// Peers calls other VMs.
type Peers interface {
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// Config holds the parameters of an Exchanger.
type Config struct {
	Tracker *swobservation.Tracker
	// View returns the registered VMs.
	View  func() *swmember.View
	Peers Peers
	// Interval is the shortest time between two rounds of calls. With 0, nothing is exchanged.
	Interval time.Duration
	// CountEvent adds to the counter of an event.
	CountEvent func(name string, count int64)
	Log        zerolog.Logger
}

// Exchanger exchanges observations with other VMs. Construct it with New; it works while Run runs.
type Exchanger struct {
	config Config
	// wake receives a signal when another VM has something unusual to tell.
	wake chan struct{}

	mutex sync.Mutex
	// suspectUntil is until when a VM that did not answer is not called.
	suspectUntil map[string]time.Time
	// failures counts the calls in a row that a VM did not answer.
	failures map[string]int
	// exchangeFrom is from when observations are exchanged with a data centre again.
	exchangeFrom map[string]time.Time
	// entries bounds the entries of this VM's next report.
	entries int
	// activeUntil is until when this VM asks others although it knows of nothing unusual, and aggregatesUntil until when others report to it.
	activeUntil     time.Time
	aggregatesUntil time.Time
	// noticedAt is when this VM last notified others, and passNotice is set while it has a notice to pass on.
	noticedAt  time.Time
	passNotice bool
	budget     byteBudget
}

// New returns an exchanger.
func New(config Config) *Exchanger {
	if config.CountEvent == nil {
		config.CountEvent = func(string, int64) {}
	}
	return &Exchanger{
		config: config, wake: make(chan struct{}, 1), suspectUntil: make(map[string]time.Time), failures: make(map[string]int), exchangeFrom: make(map[string]time.Time), entries: swobservation.MaxEntries,
		budget: newByteBudget(time.Now()),
	}
}

// Run exchanges observations until the context ends. It blocks while nothing is unusual.
func (exchanger *Exchanger) Run(ctx context.Context) {
	if exchanger.config.Interval <= 0 {
		return
	}
	group := swgroup.New(ctx)
	defer group.Stop()
	for {
		select {
		case <-exchanger.config.Tracker.News():
		case <-exchanger.wake:
		case <-ctx.Done():
			return
		}
		if exchanger.runEpisode(ctx, group) != nil {
			return
		}
	}
}

// runEpisode makes rounds of calls until nothing is unusual any more.
func (exchanger *Exchanger) runEpisode(ctx context.Context, group *swgroup.Group) error {
	startedAt := time.Now()
	rounds, most, quick, slowdown := 0, 0, 0, 1
	for now := startedAt; exchanger.isActive(now); now = time.Now() {
		wait := exchanger.round(ctx, group, now)
		rounds++
		suspects := exchanger.config.Tracker.Suspects()
		switch {
		case suspects > most+most/8:
			most, quick, slowdown = suspects, 0, 1
		case quick < quickRounds:
			quick++
		default:
			slowdown = min(2*slowdown, maxSlowdown)
		}
		wait = max(wait, time.Duration(slowdown)*exchanger.config.Interval)
		wait += time.Duration(jitter * rand.Float64() * float64(wait))
		if err := swtimer.Wait(ctx, wait); err != nil {
			return err
		}
	}
	if rounds == 0 {
		// The signal was left over from an episode that has ended.
		return nil
	}
	exchanger.config.CountEvent("observation_episodes", 1)
	exchanger.config.Log.Info().Int("Rounds", rounds).Int("Replicas", most).Dur("Took", time.Since(startedAt)).
		Msg("observations of replicas were exchanged with other VMs")
	return nil
}

func (exchanger *Exchanger) isActive(now time.Time) bool {
	exchanger.mutex.Lock()
	told := now.Before(exchanger.activeUntil)
	exchanger.mutex.Unlock()
	return told || exchanger.config.Tracker.Active(now)
}

// round reports to the aggregator of the data centre and learns from it, or aggregates itself if no VM before it answers. It returns how
// long to wait at least until the next round.
func (exchanger *Exchanger) round(ctx context.Context, group *swgroup.Group, now time.Time) time.Duration {
	view := exchanger.config.View()
	exchanger.passOnNotice(group, now, view)
	tries := 0
	for rank, member := range view.Owners(view.Self.DataCentre, AggregatorKey) {
		if member.Name == view.Self.Name {
			break
		}
		if tries >= maxTries || exchanger.isSuspect(now, member.Name) {
			continue
		}
		tries++
		if wait, ok := exchanger.askAggregator(ctx, member, rank); ok {
			exchanger.aggregateForOthers(group, now, view)
			return wait
		}
	}
	exchanger.keepAggregating(now)
	exchanger.aggregateForOthers(group, now, view)
	return 0
}

// askAggregator reports to an aggregator and learns what the others saw.
func (exchanger *Exchanger) askAggregator(ctx context.Context, member swmember.Member, rank int) (wait time.Duration, ok bool) {
	tracker := exchanger.config.Tracker
	exchanger.mutex.Lock()
	// This VM exchanges messages with its aggregator only, or with more VMs if it aggregates as well.
	entries, wait := exchanger.budget.pace(time.Now(), 1)
	entries = min(entries, exchanger.entries)
	exchanger.mutex.Unlock()
	reply, err := exchanger.call(ctx, callTimeout, member, Message{Kind: FromVM, Report: tracker.Report(time.Now()).Top(entries).Encode()})
	if err != nil {
		return 0, false
	}
	exchanger.learn(time.Now(), swobservation.DecodeReport(reply.Report), rank == 0)
	exchanger.mutex.Lock()
	exchanger.entries = reply.Entries
	exchanger.mutex.Unlock()
	return max(wait, min(reply.Wait, maxWait)), true
}

// learn takes over what the others saw. Another aggregator than the first may have the reports of few VMs.
func (exchanger *Exchanger) learn(now time.Time, report swobservation.Report, fromFirst bool) {
	if fromFirst {
		exchanger.config.Tracker.Learn(now, report)
		return
	}
	exchanger.config.Tracker.Supplement(now, report)
}

// aggregateForOthers exchanges observations with the other data centres and tells the VMs of this one, if this VM aggregates.
func (exchanger *Exchanger) aggregateForOthers(group *swgroup.Group, now time.Time, view *swmember.View) {
	exchanger.mutex.Lock()
	aggregates := now.Before(exchanger.aggregatesUntil)
	notify := aggregates && now.Sub(exchanger.noticedAt) >= noticeInterval
	exchanger.mutex.Unlock()
	if !aggregates {
		return
	}
	tracker, self := exchanger.config.Tracker, view.Self
	tracker.ReceiveVM(now, self.Name, tracker.Report(now))
	exchanger.learn(now, tracker.ReplyTo(now, self.Name), view.Owners(self.DataCentre, AggregatorKey)[0].Name == self.Name)
	for _, dataCentre := range view.DataCentres() {
		if dataCentre != self.DataCentre && exchanger.beginExchange(now, dataCentre) {
			group.Go(func(ctx context.Context) { exchanger.exchangeWith(ctx, view, dataCentre) })
		}
	}
	if notify && tracker.Active(now) {
		exchanger.notify(group, now, view, 0)
	}
}

// beginExchange reports whether observations are due to be exchanged with a data centre, which may also have called this VM.
func (exchanger *Exchanger) beginExchange(now time.Time, dataCentre string) bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if now.Before(exchanger.exchangeFrom[dataCentre]) {
		return false
	}
	exchanger.putOff(now, dataCentre, 0)
	return true
}

// putOff sets when observations are due to be exchanged with a data centre again: after the interval, after a wait that the other side asked
// for, and when this VM's bytes allow it. The caller holds the mutex.
func (exchanger *Exchanger) putOff(now time.Time, dataCentre string, wait time.Duration) {
	_, own := exchanger.budget.pace(now, exchanger.peers())
	exchanger.exchangeFrom[dataCentre] = now.Add(max(exchanger.config.Interval, own, min(wait, maxWait)))
}

// peers returns the number of VMs with which an aggregator exchanges messages. Two aggregators may call each other at the same time.
func (exchanger *Exchanger) peers() int {
	view := exchanger.config.View()
	return len(view.Members(view.Self.DataCentre)) + 2*len(view.DataCentres())
}

// exchangeWith exchanges observations with the aggregator of another data centre.
func (exchanger *Exchanger) exchangeWith(ctx context.Context, view *swmember.View, dataCentre string) {
	tries := 0
	for _, member := range view.Owners(dataCentre, AggregatorKey) {
		if tries >= maxTries || ctx.Err() != nil {
			return
		}
		if exchanger.isSuspect(time.Now(), member.Name) {
			continue
		}
		tries++
		exchanger.mutex.Lock()
		entries, _ := exchanger.budget.pace(time.Now(), exchanger.peers())
		exchanger.mutex.Unlock()
		report := exchanger.config.Tracker.Aggregate(time.Now()).Top(entries)
		reply, err := exchanger.call(ctx, remoteTimeout, member, Message{Kind: FromDataCentre, Report: report.Encode()})
		if err != nil {
			continue
		}
		exchanger.config.Tracker.ReceiveCentre(time.Now(), dataCentre, swobservation.DecodeReport(reply.Report))
		exchanger.mutex.Lock()
		exchanger.putOff(time.Now(), dataCentre, reply.Wait)
		exchanger.mutex.Unlock()
		return
	}
}

// call sends a message to a VM. One that does not answer is not called for suspectTime.
func (exchanger *Exchanger) call(ctx context.Context, timeout time.Duration, member swmember.Member, message Message) (Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply Reply
	err := exchanger.config.Peers.Call(callCtx, member.Peer, swpeer.MethodObservations, message, &reply)
	now := time.Now()
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.budget.spend(now, len(message.Report)+len(reply.Report)+callOverhead)
	if err == nil {
		delete(exchanger.failures, member.Name)
		return reply, nil
	}
	if ctx.Err() == nil {
		exchanger.config.CountEvent("observation_calls_failed", 1)
		if exchanger.failures[member.Name]++; exchanger.failures[member.Name] >= suspectFailures {
			exchanger.suspectUntil[member.Name] = now.Add(suspectTime)
		}
	}
	return reply, err
}

func (exchanger *Exchanger) isSuspect(now time.Time, name string) bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	until, ok := exchanger.suspectUntil[name]
	if ok && !now.Before(until) {
		delete(exchanger.suspectUntil, name)
		return false
	}
	return ok
}

// keepAggregating makes this VM aggregate for a while.
func (exchanger *Exchanger) keepAggregating(now time.Time) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.aggregatesUntil = now.Add(activeTime)
}

// activate makes this VM ask others for a while.
func (exchanger *Exchanger) activate(now time.Time) {
	exchanger.mutex.Lock()
	exchanger.activeUntil = now.Add(activeTime)
	exchanger.mutex.Unlock()
	select {
	case exchanger.wake <- struct{}{}:
	default:
	}
}

var errUnknownVM = errors.New("the caller is not a registered VM of this data centre")

// Handle answers a message of another VM; it is the handler of swpeer.MethodObservations. peer is the name in the caller's certificate.
func (exchanger *Exchanger) Handle(_ context.Context, peer string, message Message) (Reply, error) {
	if exchanger.config.Interval <= 0 {
		return Reply{Wait: maxWait}, nil
	}
	now, view, tracker := time.Now(), exchanger.config.View(), exchanger.config.Tracker
	member, known := view.Member(peer)
	local := member.DataCentre == view.Self.DataCentre
	if !known || local != (message.Kind != FromDataCentre) {
		return Reply{}, errUnknownVM
	}
	if message.Kind == Notice {
		exchanger.receiveNotice(now)
		return Reply{}, nil
	}
	exchanger.keepAggregating(now)
	report := swobservation.DecodeReport(message.Report)
	exchanger.mutex.Lock()
	entries, wait := exchanger.budget.pace(now, exchanger.peers())
	exchanger.mutex.Unlock()
	reply := Reply{Entries: entries, Wait: wait}
	if message.Kind == FromVM {
		tracker.ReceiveVM(now, peer, report)
		exchanger.activate(now)
		reply.Report = tracker.ReplyTo(now, peer).Top(entries).Encode()
	} else {
		tracker.ReceiveCentre(now, member.DataCentre, report)
		if len(report) > 0 {
			exchanger.activate(now)
		}
		reply.Report = tracker.Aggregate(now).Top(entries).Encode()
	}
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if message.Kind == FromDataCentre {
		exchanger.putOff(now, member.DataCentre, 0)
	}
	exchanger.budget.spend(now, len(message.Report)+len(reply.Report)+callOverhead)
	return reply, nil
}
