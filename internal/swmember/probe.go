package swmember

import (
	"context"
	"net/netip"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// HandleProbe answers a probe. Register it for swpeer.MethodProbe.
func (directory *Directory) HandleProbe(_ context.Context, _ string, request ProbeRequest) (ProbeReply, error) {
	directory.config.hold()
	directory.receive(request.From, request.Records)
	directory.hear(request.From)
	records := directory.board.piggyback(request.From)
	if held, ok := directory.board.Get(TopicMember, request.From); ok && held.Version > request.Version {
		records = append(records, held)
	}
	return ProbeReply{Name: directory.config.Self.Name, Digest: directory.board.digest(), Records: records}, nil
}

// HandleProbeVia probes a VM for another. Register it for swpeer.MethodProbeVia.
func (directory *Directory) HandleProbeVia(ctx context.Context, _ string, request ProbeViaRequest) (ProbeViaReply, error) {
	directory.config.hold()
	reply, err := directory.callProbe(ctx, request.Target, "")
	if err != nil {
		return ProbeViaReply{}, nil //nolint:nilerr // The answer is that the target did not answer.
	}
	return ProbeViaReply{Name: reply.Name}, nil
}

// callProbe probes an address once within the probe timeout. name is the member expected there, if any.
func (directory *Directory) callProbe(ctx context.Context, target netip.AddrPort, name string) (ProbeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, directory.config.ProbeTimeout)
	defer cancel()
	return directory.exchangeProbe(ctx, target, name)
}

// exchangeProbe probes an address once within the context.
func (directory *Directory) exchangeProbe(ctx context.Context, target netip.AddrPort, name string) (ProbeReply, error) {
	var reply ProbeReply
	err := directory.config.Transport.Call(ctx, target, swpeer.MethodProbe, directory.probeRequest(name), &reply)
	if err != nil {
		return ProbeReply{}, err
	}
	directory.hear(reply.Name)
	directory.clearUnanswered(reply.Name)
	directory.receive(reply.Name, reply.Records)
	return reply, nil
}

// probeRequest builds a probe for a member. It carries what is said of the member if that is not that it lives, so that
// the member can refute it.
func (directory *Directory) probeRequest(name string) ProbeRequest {
	directory.mutex.Lock()
	version := memberVersion(directory.self)
	target, known := directory.members[name]
	directory.mutex.Unlock()
	records := directory.board.piggyback(name)
	if known && target.State != Alive {
		records = append(records, memberRecord(target))
	}
	return ProbeRequest{
		From:    directory.config.Self.Name,
		Version: version,
		Records: records,
		Digest:  directory.board.digest(),
	}
}

// hear notes that a peer answered or called.
func (directory *Directory) hear(name string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if member, known := directory.members[name]; known {
		directory.contacts[member.DataCentre] = time.Now()
	}
}

// clearUnanswered notes that a member answered this VM.
func (directory *Directory) clearUnanswered(name string) {
	directory.mutex.Lock()
	_, silent := directory.unanswered[name]
	delete(directory.unanswered, name)
	directory.mutex.Unlock()
	if silent {
		directory.refresh()
	}
}

// check probes a member that was reported or is due to be probed again.
func (directory *Directory) check(ctx context.Context, name string) {
	directory.mutex.Lock()
	member, ok := directory.members[name]
	directory.mutex.Unlock()
	if ok && member.State != Dead {
		directory.probe(ctx, member)
	}
}

// probe checks a member, directly and then through others, and settles its state.
func (directory *Directory) probe(ctx context.Context, member Member) {
	start := time.Now()
	reply, err := directory.callProbe(ctx, member.Peer, member.Name)
	if err == nil {
		directory.answered(ctx, member, reply)
		return
	}
	if ctx.Err() != nil || directory.pausedSince(start, directory.config.ProbeTimeout) {
		return
	}
	start = time.Now()
	second := directory.probeAgain(ctx, member)
	if ctx.Err() != nil || directory.pausedSince(start, 2*directory.config.ProbeTimeout) {
		return
	}
	if second.answered {
		directory.replaced(member, second.name)
	}
	if second.answered && second.direct {
		return
	}
	directory.mutex.Lock()
	directory.noteUnanswered(member)
	directory.mutex.Unlock()
	directory.refresh()
	if !second.answered {
		directory.accuse(member)
	}
}

// answered settles a probe that was answered.
func (directory *Directory) answered(ctx context.Context, member Member, reply ProbeReply) {
	directory.replaced(member, reply.Name)
	if reply.Digest != directory.board.digest() {
		directory.repair(ctx, member.Peer, reply.Name)
	}
}

// replaced declares a member dead when another VM answered at its address.
func (directory *Directory) replaced(member Member, name string) {
	if name == member.Name || name == "" {
		return
	}
	directory.state(member, Dead)
}

// accuse publishes that a member of the own data centre does not answer. Members of other data centres are left to
// their own: the path may be what is broken.
func (directory *Directory) accuse(member Member) {
	if member.DataCentre != directory.config.Self.DataCentre {
		return
	}
	directory.mutex.Lock()
	present, ok := directory.members[member.Name]
	directory.mutex.Unlock()
	if !ok || present.Incarnation != member.Incarnation {
		return
	}
	switch present.State {
	case Leaving:
		directory.state(present, Dead)
	case Alive:
		directory.state(present, Suspect)
		directory.mutex.Lock()
		directory.suspicions[present.Name] = suspicion{
			incarnation: present.Incarnation,
			deadline:    time.Now().Add(directory.config.SuspicionTimeout),
		}
		directory.mutex.Unlock()
	}
}

// pausedSince reports whether this VM was paused since start, so that a timeout says nothing about the peer.
func (directory *Directory) pausedSince(start time.Time, expected time.Duration) bool {
	directory.config.hold()
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.resumed.After(start) || time.Since(start) > expected+directory.config.ProbeInterval
}

// secondProbe is the outcome of probing a member again.
type secondProbe struct {
	// answered tells that the member, or another VM at its address, answered to anyone.
	answered bool
	// direct tells that it answered this VM.
	direct bool
	// name is the VM that answered.
	name string
}

// probeAgain gives a member that did not answer a second chance: this VM and others of its data centre probe it. A slow
// member is thereby told from a dead one, and a broken path from a dead member.
func (directory *Directory) probeAgain(ctx context.Context, member Member) secondProbe {
	helpers := directory.helpers(member.Name)
	ctx, cancel := context.WithTimeout(ctx, 2*directory.config.ProbeTimeout)
	defer cancel()
	direct := make(chan string, 1)
	indirect := make(chan string, len(helpers))
	group := swgroup.New(ctx)
	group.Go(func(ctx context.Context) {
		if reply, err := directory.exchangeProbe(ctx, member.Peer, member.Name); err == nil {
			direct <- reply.Name
			group.Cancel()
		}
	})
	for _, helper := range helpers {
		group.Go(func(ctx context.Context) {
			if name := directory.askHelper(ctx, helper, member); name != "" {
				indirect <- name
			}
		})
	}
	group.Wait()
	select {
	case name := <-direct:
		return secondProbe{answered: true, direct: true, name: name}
	default:
	}
	select {
	case name := <-indirect:
		return secondProbe{answered: true, name: name}
	default:
	}
	return secondProbe{}
}

// askHelper has another VM probe a member and returns the name that answered, or an empty string.
func (directory *Directory) askHelper(ctx context.Context, helper, member Member) string {
	var reply ProbeViaReply
	request := ProbeViaRequest{From: directory.config.Self.Name, Target: member.Peer}
	if directory.config.Transport.Call(ctx, helper.Peer, swpeer.MethodProbeVia, request, &reply) != nil {
		return ""
	}
	return reply.Name
}

// helpers draws members of the own data centre that may probe for this VM.
func (directory *Directory) helpers(target string) []Member {
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
		if len(helpers) == indirectProbes {
			break
		}
	}
	return helpers
}

// nextProbe returns the member of the ring whose turn it is.
func (directory *Directory) nextProbe() (Member, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if len(directory.ring) == 0 {
		return Member{}, false
	}
	directory.next = (directory.next + 1) % len(directory.ring)
	return directory.ring[directory.next], true
}

// nextRecheck returns the member without answer that is longest due to be probed again.
func (directory *Directory) nextRecheck(now time.Time) (Member, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var due *unanswered
	var member Member
	for name, present := range directory.unanswered {
		if present.next.After(now) || due != nil && !present.next.Before(due.next) {
			continue
		}
		due = present
		member = directory.members[name]
	}
	return member, due != nil
}
