package swmember

import (
	"context"
	"net/netip"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// HandleProbe answers a probe. It is the handler of swpeer.MethodProbe.
func (directory *Directory) HandleProbe(_ context.Context, _ string, request ProbeRequest) (ProbeReply, error) {
	directory.config.waitWhilePaused()
	directory.receive(request.From, request.Records)
	directory.recordContact(request.From)
	records := directory.records.piggyback(request.From)
	if stored, ok := directory.records.Get(TopicMember, request.From); ok && stored.Version > request.Version {
		records = append(records, stored)
	}
	return ProbeReply{Name: directory.config.Self.Name, Digest: directory.records.digest(), Records: records}, nil
}

// HandleProbeVia probes a VM on behalf of another. It is the handler of swpeer.MethodProbeVia.
func (directory *Directory) HandleProbeVia(ctx context.Context, _ string, request ProbeViaRequest) (ProbeViaReply, error) {
	directory.config.waitWhilePaused()
	reply, err := directory.probeOnce(ctx, request.Target, "")
	if err != nil {
		return ProbeViaReply{}, nil //nolint:nilerr // An empty reply says that the target did not answer.
	}
	return ProbeViaReply{Name: reply.Name}, nil
}

// probeOnce probes an address once with the probe timeout. name is the member expected there, if any.
func (directory *Directory) probeOnce(ctx context.Context, target netip.AddrPort, name string) (ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, directory.config.ProbeTimeout)
	defer cancel()
	return directory.sendProbe(ctx, target, name)
}

// sendProbe sends one probe and processes the reply. The context bounds it.
func (directory *Directory) sendProbe(ctx context.Context, target netip.AddrPort, name string) (ProbeReply, error) {
	var reply ProbeReply
	err := directory.config.Transport.Call(ctx, target, swpeer.MethodProbe, directory.probeRequest(name), &reply)
	if err != nil {
		return ProbeReply{}, err
	}
	directory.recordContact(reply.Name)
	directory.markResponsive(reply.Name)
	directory.receive(reply.Name, reply.Records)
	return reply, nil
}

// probeRequest returns a probe for a member. If this VM's record says that the member is not alive, the probe includes the
// record, so that the member can refute it.
func (directory *Directory) probeRequest(name string) ProbeRequest {
	directory.mutex.Lock()
	version := memberVersion(directory.self)
	target, known := directory.members[name]
	directory.mutex.Unlock()
	records := directory.records.piggyback(name)
	if known && target.State != Alive {
		records = append(records, memberRecord(target))
	}
	return ProbeRequest{
		From:    directory.config.Self.Name,
		Version: version,
		Records: records,
		Digest:  directory.records.digest(),
	}
}

// recordContact records that a peer answered or called this VM.
func (directory *Directory) recordContact(name string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if member, known := directory.members[name]; known {
		directory.lastContacts[member.DataCentre] = time.Now()
	}
}

// markResponsive records that a member answered this VM.
func (directory *Directory) markResponsive(name string) {
	directory.mutex.Lock()
	_, wasUnresponsive := directory.unresponsive[name]
	delete(directory.unresponsive, name)
	directory.mutex.Unlock()
	if wasUnresponsive {
		directory.rebuildView()
	}
}

// probeByName probes a member that was reported as suspect or is due to be probed again.
func (directory *Directory) probeByName(ctx context.Context, name string) {
	directory.mutex.Lock()
	member, ok := directory.members[name]
	directory.mutex.Unlock()
	if ok && member.State != Dead {
		directory.probe(ctx, member)
	}
}

// probe probes a member directly, then retries directly and through helpers, and updates the member's state.
func (directory *Directory) probe(ctx context.Context, member Member) {
	start := time.Now()
	reply, err := directory.probeOnce(ctx, member.Peer, member.Name)
	if err == nil {
		directory.handleProbeReply(ctx, member, reply)
		return
	}
	if ctx.Err() != nil || directory.pausedSince(start, directory.config.ProbeTimeout) {
		return
	}
	start = time.Now()
	retry := directory.retryProbe(ctx, member)
	if ctx.Err() != nil || directory.pausedSince(start, 2*directory.config.ProbeTimeout) {
		return
	}
	if retry.answered {
		directory.declareDeadIfReplaced(member, retry.name)
	}
	if retry.answered && retry.direct {
		return
	}
	directory.mutex.Lock()
	directory.markUnresponsive(member)
	directory.mutex.Unlock()
	directory.rebuildView()
	if !retry.answered {
		directory.publishUnreachable(member)
	}
}

// handleProbeReply processes the answer of a member to a direct probe.
func (directory *Directory) handleProbeReply(ctx context.Context, member Member, reply ProbeReply) {
	directory.declareDeadIfReplaced(member, reply.Name)
	if reply.Digest != directory.records.digest() {
		directory.reconcile(ctx, member.Peer, reply.Name)
	}
}

// declareDeadIfReplaced declares a member dead when another VM answered at its address.
func (directory *Directory) declareDeadIfReplaced(member Member, name string) {
	if name == member.Name || name == "" {
		return
	}
	directory.publishState(member, Dead)
}

// publishUnreachable publishes that a member of this data centre does not answer: an alive one becomes suspect, a leaving one
// dead. Other data centres are left to their own VMs, because the network between the data centres may have failed.
func (directory *Directory) publishUnreachable(member Member) {
	if member.DataCentre != directory.config.Self.DataCentre {
		return
	}
	directory.mutex.Lock()
	current, ok := directory.members[member.Name]
	directory.mutex.Unlock()
	if !ok || current.Incarnation != member.Incarnation {
		return
	}
	switch current.State {
	case Leaving:
		directory.publishState(current, Dead)
	case Alive:
		directory.publishState(current, Suspect)
		directory.mutex.Lock()
		directory.suspicions[current.Name] = suspicion{
			incarnation: current.Incarnation,
			deadline:    time.Now().Add(directory.config.SuspicionTimeout),
		}
		directory.mutex.Unlock()
	}
}

// pausedSince reports whether this VM was paused since start. A timeout during a pause says nothing about the peer.
func (directory *Directory) pausedSince(start time.Time, expected time.Duration) bool {
	directory.config.waitWhilePaused()
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.resumedAt.After(start) || time.Since(start) > expected+directory.config.ProbeInterval
}

// retryResult is the outcome of retryProbe.
type retryResult struct {
	// answered reports whether the member, or another VM at its address, answered this VM or a helper.
	answered bool
	// direct reports whether it answered this VM.
	direct bool
	// name is the name of the VM that answered.
	name string
}

// retryProbe probes a member again that did not answer, from this VM and from helpers in its data centre, with twice the
// probe timeout. This distinguishes a slow member or a failed network path from a dead member.
func (directory *Directory) retryProbe(ctx context.Context, member Member) retryResult {
	helpers := directory.chooseHelpers(member.Name)
	ctx, cancel := context.WithTimeout(ctx, 2*directory.config.ProbeTimeout)
	defer cancel()
	direct := make(chan string, 1)
	indirect := make(chan string, len(helpers))
	group := swgroup.New(ctx)
	group.Go(func(ctx context.Context) {
		if reply, err := directory.sendProbe(ctx, member.Peer, member.Name); err == nil {
			direct <- reply.Name
			group.Cancel()
		}
	})
	for _, helper := range helpers {
		group.Go(func(ctx context.Context) {
			if name := directory.probeVia(ctx, helper, member); name != "" {
				indirect <- name
			}
		})
	}
	group.Wait()
	select {
	case name := <-direct:
		return retryResult{answered: true, direct: true, name: name}
	default:
	}
	select {
	case name := <-indirect:
		return retryResult{answered: true, name: name}
	default:
	}
	return retryResult{}
}

// probeVia asks a helper to probe a member. It returns the name of the VM that answered, or an empty string.
func (directory *Directory) probeVia(ctx context.Context, helper, member Member) string {
	var reply ProbeViaReply
	request := ProbeViaRequest{From: directory.config.Self.Name, Target: member.Peer}
	if directory.config.Transport.Call(ctx, helper.Peer, swpeer.MethodProbeVia, request, &reply) != nil {
		return ""
	}
	return reply.Name
}

// chooseHelpers returns random alive members of this data centre that can probe the target for this VM.
func (directory *Directory) chooseHelpers(target string) []Member {
	members := directory.View().Members(directory.config.Self.DataCentre)
	directory.mutex.Lock()
	order := directory.random.Perm(len(members))
	directory.mutex.Unlock()
	var helpers []Member
	for _, i := range order {
		if members[i].State != Alive || members[i].Name == target || members[i].Name == directory.config.Self.Name {
			continue
		}
		helpers = append(helpers, members[i])
		if len(helpers) == indirectProbeCount {
			break
		}
	}
	return helpers
}

// nextProbe returns the next neighbour to probe, in round-robin order.
func (directory *Directory) nextProbe() (Member, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if len(directory.neighbours) == 0 {
		return Member{}, false
	}
	directory.neighbourIndex = (directory.neighbourIndex + 1) % len(directory.neighbours)
	return directory.neighbours[directory.neighbourIndex], true
}

// nextRecheck returns the unresponsive member whose next probe has been due longest, if any is due.
func (directory *Directory) nextRecheck(now time.Time) (Member, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var due *recheck
	var member Member
	for name, candidate := range directory.unresponsive {
		if candidate.at.After(now) || due != nil && !candidate.at.Before(due.at) {
			continue
		}
		due = candidate
		member = directory.members[name]
	}
	return member, due != nil
}
