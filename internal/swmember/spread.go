package swmember

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// HandleGossip takes pushed records and answers synchronizations. Register it for swpeer.MethodGossip.
func (directory *Directory) HandleGossip(_ context.Context, _ string, request GossipRequest) (GossipReply, error) {
	directory.config.hold()
	directory.receive(request.From, request.Records)
	directory.hear(request.From)
	listed, summaries := directory.board.summaries(request.Digests, maxSummaries)
	return GossipReply{
		Listed:    listed,
		Summaries: summaries,
		Records:   directory.board.lookup(request.Wanted),
	}, nil
}

// pushLoop pushes new records as they come.
func (directory *Directory) pushLoop(ctx context.Context, group *swgroup.Group) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-directory.board.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		directory.config.hold()
		directory.push(group)
		pause.Reset(pushEvery)
	}
}

// push sends the records that are new here to three peers, and as a watcher to three other data centres. The group runs
// the sending.
func (directory *Directory) push(group *swgroup.Group) {
	for {
		fresh := directory.board.takeFresh()
		if len(fresh) == 0 {
			return
		}
		own := slices.ContainsFunc(fresh, func(entry *entry) bool { return entry.source == "" })
		for _, target := range directory.pushTargets(own) {
			records := outgoing(fresh, target.Name)
			if len(records) > 0 {
				group.Go(func(ctx context.Context) { directory.send(ctx, target, records) })
			}
		}
	}
}

// outgoing returns the records of entries that did not come from the target.
func outgoing(entries []*entry, target string) []Record {
	now := time.Now()
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		if entry.source != target {
			records = append(records, entry.outgoing(now))
		}
	}
	return records
}

func (directory *Directory) send(ctx context.Context, target Member, records []Record) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	request := GossipRequest{From: directory.config.Self.Name, Records: records}
	var reply GossipReply
	if directory.config.Transport.Call(ctx, target.Peer, swpeer.MethodGossip, request, &reply) == nil {
		directory.hear(target.Name)
	}
}

// pushTargets draws three neighbours, and for a watcher a watcher in each of three other data centres. With records of its
// own, another VM counts a watcher of its data centre among the three, so that they leave the data centre at once.
func (directory *Directory) pushTargets(own bool) []Member {
	view := directory.View()
	rank, watching := view.WatcherRank()
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var targets []Member
	if own && !watching {
		if watchers := view.Watchers(view.Self.DataCentre); len(watchers) > 0 {
			targets = append(targets, watchers[directory.random.IntN(len(watchers))])
		}
	}
	for _, i := range directory.random.Perm(len(directory.ring)) {
		if len(targets) == pushPeers {
			break
		}
		neighbour := directory.ring[i]
		if neighbour.State == Suspect || slices.ContainsFunc(targets, func(target Member) bool { return target.Name == neighbour.Name }) {
			continue
		}
		targets = append(targets, neighbour)
	}
	if !watching {
		return targets
	}
	others := otherDataCentres(view)
	for _, i := range directory.random.Perm(len(others))[:min(pushPeers, len(others))] {
		if target, ok := counterpart(view, others[i], rank); ok {
			targets = append(targets, target)
		}
	}
	return targets
}

func otherDataCentres(view *View) []string {
	return slices.DeleteFunc(view.DataCentres(), func(name string) bool { return name == view.Self.DataCentre })
}

// counterpart returns the watcher of another data centre that has the same rank as this VM, or the nearest.
func counterpart(view *View, dataCentre string, rank int) (Member, bool) {
	watchers := view.Watchers(dataCentre)
	if len(watchers) == 0 {
		return Member{}, false
	}
	return watchers[min(rank, len(watchers)-1)], true
}

// exchange compares boards with a watcher of the next other data centre, when this VM is a watcher.
func (directory *Directory) exchange(ctx context.Context) {
	directory.config.hold()
	view := directory.View()
	rank, watching := view.WatcherRank()
	others := otherDataCentres(view)
	if !watching || len(others) == 0 {
		return
	}
	directory.mutex.Lock()
	directory.nextCentre = (directory.nextCentre + 1) % len(others)
	dataCentre := others[directory.nextCentre]
	directory.mutex.Unlock()
	first, ok := counterpart(view, dataCentre, rank)
	if !ok || directory.contact(ctx, first.Peer) {
		return
	}
	members := view.Members(dataCentre)
	directory.mutex.Lock()
	substitute := members[directory.random.IntN(len(members))]
	directory.mutex.Unlock()
	if substitute.Name != first.Name {
		directory.contact(ctx, substitute.Peer)
	}
}

// contact probes an address and compares boards with whoever answers.
func (directory *Directory) contact(ctx context.Context, target netip.AddrPort) bool {
	reply, err := directory.callProbe(ctx, target, "")
	if err != nil {
		return false
	}
	if reply.Digest != directory.board.digest() {
		directory.repair(ctx, target, reply.Name)
	}
	return true
}

// repair synchronizes boards that differ. When records came in just now, the difference is likely to be under way to the
// peer already: it is looked at again a little later.
func (directory *Directory) repair(ctx context.Context, target netip.AddrPort, name string) {
	if directory.board.quietFor(time.Now()) < settleTime {
		settled := time.NewTimer(settleTime)
		defer settled.Stop()
		select {
		case <-settled.C:
		case <-ctx.Done():
			return
		}
		reply, err := directory.callProbe(ctx, target, name)
		if err != nil || reply.Digest == directory.board.digest() {
			return
		}
	}
	directory.synchronize(ctx, target, name)
}

// synchronize exchanges the records in which two boards differ, in rounds of bounded messages.
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
	var found GossipReply
	request := GossipRequest{From: directory.config.Self.Name, Digests: directory.board.digests()}
	if err := directory.config.Transport.Call(ctx, target, swpeer.MethodGossip, request, &found); err != nil {
		return false
	}
	records, wanted := directory.board.compare(found.Listed, found.Summaries)
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
