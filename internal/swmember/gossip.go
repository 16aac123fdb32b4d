package swmember

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// HandleGossip merges pushed records and answers synchronizations. It is the handler of swpeer.MethodGossip.
func (directory *Directory) HandleGossip(_ context.Context, _ string, request GossipRequest) (GossipReply, error) {
	directory.config.waitWhilePaused()
	directory.receive(request.From, request.Records)
	directory.recordContact(request.From)
	listed, summaries := directory.records.summaries(request.Digests, maxSummaries)
	return GossipReply{
		Listed:    listed,
		Summaries: summaries,
		Records:   directory.records.lookup(request.Wanted),
	}, nil
}

// pushLoop pushes new records when they are accepted, at most once in minPushInterval.
func (directory *Directory) pushLoop(ctx context.Context, group *swgroup.Group) {
	pushTimer := time.NewTimer(0)
	defer pushTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-directory.records.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-pushTimer.C:
		}
		directory.config.waitWhilePaused()
		directory.push(group)
		pushTimer.Reset(minPushInterval)
	}
}

// push sends the queued records to pushFanout peers, and, from a watcher, to as many other data centres. The sends run in
// the group.
func (directory *Directory) push(group *swgroup.Group) {
	for {
		entries := directory.records.takePushQueue()
		if len(entries) == 0 {
			return
		}
		hasOwn := slices.ContainsFunc(entries, func(entry *entry) bool { return entry.source == "" })
		for _, target := range directory.pushTargets(hasOwn) {
			records := recordsFor(entries, target.Name)
			if len(records) > 0 {
				group.Go(func(ctx context.Context) { directory.send(ctx, target, records) })
			}
		}
	}
}

// recordsFor returns the records of the entries that the target did not send itself.
func recordsFor(entries []*entry, target string) []Record {
	now := time.Now()
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		if entry.source != target {
			records = append(records, entry.withRemainingExpiry(now))
		}
	}
	return records
}

// send pushes records to one peer. Records that are lost reach the peer by a later synchronization.
func (directory *Directory) send(ctx context.Context, target Member, records []Record) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	request := GossipRequest{From: directory.config.Self.Name, Records: records}
	var reply GossipReply
	if directory.config.Transport.Call(ctx, target.Peer, swpeer.MethodGossip, request, &reply) == nil {
		directory.recordContact(target.Name)
	}
}

// pushTargets returns pushFanout random neighbours and, on a watcher, a watcher in each of as many other data centres. For
// records of its own, another VM replaces one of them by a watcher, so that they reach other data centres without delay.
func (directory *Directory) pushTargets(hasOwn bool) []Member {
	view := directory.View()
	rank, watching := view.WatcherRank()
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var targets []Member
	if hasOwn && !watching {
		if watchers := view.Watchers(view.Self.DataCentre); len(watchers) > 0 {
			targets = append(targets, watchers[directory.random.IntN(len(watchers))])
		}
	}
	for _, i := range directory.random.Perm(len(directory.neighbours)) {
		if len(targets) == pushFanout {
			break
		}
		neighbour := directory.neighbours[i]
		if neighbour.State == Suspect || slices.ContainsFunc(targets, func(target Member) bool { return target.Name == neighbour.Name }) {
			continue
		}
		targets = append(targets, neighbour)
	}
	if !watching {
		return targets
	}
	others := otherDataCentres(view)
	for _, i := range directory.random.Perm(len(others))[:min(pushFanout, len(others))] {
		if target, ok := counterpart(view, others[i], rank); ok {
			targets = append(targets, target)
		}
	}
	return targets
}

func otherDataCentres(view *View) []string {
	return slices.DeleteFunc(view.DataCentres(), func(name string) bool { return name == view.Self.DataCentre })
}

// counterpart returns the watcher of another data centre with the same rank as this VM, or the last one if there are fewer.
func counterpart(view *View, dataCentre string, rank int) (Member, bool) {
	watchers := view.Watchers(dataCentre)
	if len(watchers) == 0 {
		return Member{}, false
	}
	return watchers[min(rank, len(watchers)-1)], true
}

// exchangeRecords reconciles records with the next data centre, through a watcher or else any member, if this VM is a watcher.
func (directory *Directory) exchangeRecords(ctx context.Context) {
	directory.config.waitWhilePaused()
	view := directory.View()
	rank, watching := view.WatcherRank()
	others := otherDataCentres(view)
	if !watching || len(others) == 0 {
		return
	}
	directory.mutex.Lock()
	directory.exchangeIndex = (directory.exchangeIndex + 1) % len(others)
	dataCentre := others[directory.exchangeIndex]
	directory.mutex.Unlock()
	first, ok := counterpart(view, dataCentre, rank)
	if !ok || directory.probeAndReconcile(ctx, first.Peer) {
		return
	}
	members := view.Members(dataCentre)
	directory.mutex.Lock()
	fallback := members[directory.random.IntN(len(members))]
	directory.mutex.Unlock()
	if fallback.Name != first.Name {
		directory.probeAndReconcile(ctx, fallback.Peer)
	}
}

// probeAndReconcile probes an address and reconciles records with the VM that answers. It reports whether one answered.
func (directory *Directory) probeAndReconcile(ctx context.Context, target netip.AddrPort) bool {
	reply, err := directory.probeOnce(ctx, target, "")
	if err != nil {
		return false
	}
	if reply.Digest != directory.records.digest() {
		directory.reconcile(ctx, target, reply.Name)
	}
	return true
}

// reconcile synchronizes record stores that differ. If this VM accepted records within propagationDelay, the difference is
// probably in flight to the peer already, so the digests are compared again after that delay first.
func (directory *Directory) reconcile(ctx context.Context, target netip.AddrPort, name string) {
	if directory.records.sinceLastChange(time.Now()) < propagationDelay {
		timer := time.NewTimer(propagationDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		reply, err := directory.probeOnce(ctx, target, name)
		if err != nil || reply.Digest == directory.records.digest() {
			return
		}
	}
	directory.synchronize(ctx, target, name)
}

// synchronize exchanges the records in which two record stores differ, in rounds of bounded messages.
func (directory *Directory) synchronize(ctx context.Context, target netip.AddrPort, name string) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	for range maxSyncRounds {
		if !directory.synchronizeOnce(ctx, target, name) {
			return
		}
	}
}

// synchronizeOnce runs one round and reports whether records were exchanged.
func (directory *Directory) synchronizeOnce(ctx context.Context, target netip.AddrPort, name string) bool {
	var summaryReply GossipReply
	request := GossipRequest{From: directory.config.Self.Name, Digests: directory.records.digests()}
	if err := directory.config.Transport.Call(ctx, target, swpeer.MethodGossip, request, &summaryReply); err != nil {
		return false
	}
	records, wanted := directory.records.compare(summaryReply.Listed, summaryReply.Summaries)
	if len(records) == 0 && len(wanted) == 0 {
		return false
	}
	request = GossipRequest{From: directory.config.Self.Name, Records: records, Wanted: wanted}
	var reply GossipReply
	if err := directory.config.Transport.Call(ctx, target, swpeer.MethodGossip, request, &reply); err != nil {
		return false
	}
	directory.receive(name, reply.Records)
	return true
}
