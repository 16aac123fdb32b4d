package swmember

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// initialJoinDelay and maxJoinDelay bound the exponential backoff between rounds of contacting the seeds.
	initialJoinDelay = 200 * time.Millisecond
	maxJoinDelay     = 15 * time.Second
	// maxVerifiedMembers bounds the members that are probed because a VM list of the platform lacks them.
	maxVerifiedMembers = 16
	// maxJoinMembers bounds the known members that a round of joining contacts besides the seeds.
	maxJoinMembers = 3
)

// VM is an entry VM in the platform's list.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	Peer       netip.AddrPort
	Caller     netip.AddrPort
	// Leaving reports whether the platform lists the VM as accepting no new work.
	Leaving bool
}

// MergeVMs merges the platform's list of the entry VMs of a data centre, or of all data centres when dataCentre is empty.
// The list may be stale: it adds unknown VMs, but a member that it lacks or lists as leaving is declared dead only if the
// member also fails to answer a probe.
func (directory *Directory) MergeVMs(ctx context.Context, dataCentre string, vms []VM) {
	listed := make(map[string]bool, len(vms))
	var records []Record
	for _, vm := range vms {
		if !vm.Peer.IsValid() {
			continue
		}
		listed[vm.Name] = !vm.Leaving
		if _, known := directory.records.Get(TopicMember, vm.Name); known || vm.Leaving {
			continue
		}
		records = append(records, memberRecord(Member{
			Name: vm.Name, Region: vm.Region, DataCentre: vm.DataCentre, Peer: vm.Peer, Caller: vm.Caller,
		}))
	}
	directory.receive("", records)
	group := swgroup.New(ctx)
	for _, member := range directory.unlisted(dataCentre, listed) {
		group.Go(func(ctx context.Context) { directory.verify(ctx, member) })
	}
	group.Wait()
}

// unlisted returns random members of a data centre, or of all, that the list lacks or lists as leaving. Their number is
// limited, so that a list that is wrongly empty does not make this VM probe all members.
func (directory *Directory) unlisted(dataCentre string, listed map[string]bool) []Member {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var members []Member
	for _, member := range directory.members {
		if dataCentre != "" && member.DataCentre != dataCentre {
			continue
		}
		if member.State == Dead || listed[member.Name] || member.Name == directory.self.Name {
			continue
		}
		members = append(members, member)
	}
	directory.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(len(members), maxVerifiedMembers)]
}

// verify probes a member that the list lacks, and declares it dead when neither this VM nor its helpers reach it.
func (directory *Directory) verify(ctx context.Context, member Member) {
	start := time.Now()
	reply, err := directory.probeOnce(ctx, member.Peer, member.Name)
	if err == nil {
		directory.declareDeadIfReplaced(member, reply.Name)
		return
	}
	retry := directory.retryProbe(ctx, member)
	if ctx.Err() != nil || directory.pausedSince(start, 3*directory.config.ProbeTimeout) {
		return
	}
	if retry.answered {
		directory.declareDeadIfReplaced(member, retry.name)
		return
	}
	directory.publishState(member, Dead)
}

// join contacts the seeds and some known members until it has synchronized records with one of them.
func (directory *Directory) join(ctx context.Context) {
	delay := initialJoinDelay
	for {
		for _, target := range directory.joinTargets() {
			if directory.syncWithSeed(ctx, target) {
				directory.joined.Store(true)
				return
			}
		}
		if swtimer.Wait(ctx, directory.jittered(delay)) != nil {
			return
		}
		delay = min(2*delay, maxJoinDelay)
	}
}

// joinTargets returns the seeds in random order, followed by random members.
func (directory *Directory) joinTargets() []netip.AddrPort {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	targets := make([]netip.AddrPort, 0, len(directory.seeds)+maxJoinMembers)
	for _, i := range directory.random.Perm(len(directory.seeds)) {
		targets = append(targets, directory.seeds[i])
	}
	// The order of a map would not repeat with the seed.
	names := slices.Sorted(maps.Keys(directory.members))
	for _, i := range directory.random.Perm(len(names)) {
		member := directory.members[names[i]]
		if len(targets) == cap(targets) {
			break
		}
		if member.State != Dead && member.Name != directory.self.Name {
			targets = append(targets, member.Peer)
		}
	}
	return targets
}

// syncWithSeed synchronizes this VM's records with the VM at an address. It returns false if no other VM answers there.
func (directory *Directory) syncWithSeed(ctx context.Context, target netip.AddrPort) bool {
	reply, err := directory.probeOnce(ctx, target, "")
	if err != nil || reply.Name == directory.config.Self.Name {
		return false
	}
	directory.synchronize(ctx, target, reply.Name)
	return true
}

// nextRejoin returns an address to probe that is not in the view: that of a dead member or a seed. These probes end a
// partition whose sides have declared each other dead.
func (directory *Directory) nextRejoin(now time.Time) (netip.AddrPort, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if now.Before(directory.rejoinAt) {
		return netip.AddrPort{}, false
	}
	directory.rejoinAt = now.Add(time.Duration((0.5 + directory.random.Float64()) * float64(rejoinInterval)))
	inUse := make(map[netip.AddrPort]bool, len(directory.members))
	var candidates []netip.AddrPort
	for _, member := range directory.members {
		if member.State != Dead {
			inUse[member.Peer] = true
			continue
		}
		candidates = append(candidates, member.Peer)
	}
	candidates = append(candidates, directory.seeds...)
	outside := candidates[:0]
	for _, candidate := range candidates {
		if !inUse[candidate] && candidate != directory.self.Peer {
			outside = append(outside, candidate)
		}
	}
	if len(outside) == 0 {
		return netip.AddrPort{}, false
	}
	return outside[directory.random.IntN(len(outside))], true
}
