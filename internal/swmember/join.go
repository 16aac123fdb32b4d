package swmember

import (
	"context"
	"net/netip"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// joinFirst and joinMax bound the time between two rounds of asking the seeds.
	joinFirst = 200 * time.Millisecond
	joinMax   = 15 * time.Second
	// verifyLimit bounds the members that are probed because one reading of the platform's list lacks them.
	verifyLimit = 16
)

// VM is an entry VM as the platform lists it.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	Peer       netip.AddrPort
	Caller     netip.AddrPort
	// Leaving is the platform's word that the VM takes no new work.
	Leaving bool
}

// MergeVMs takes the platform's list of the entry VMs of a data centre, or of all when dataCentre is empty. The list
// lags: it brings in VMs that are not known, and has those probed that it lacks or calls leaving. Only one that also
// fails to answer counts as dead.
func (directory *Directory) MergeVMs(ctx context.Context, dataCentre string, vms []VM) {
	listed := make(map[string]bool, len(vms))
	var records []Record
	for _, vm := range vms {
		if !vm.Peer.IsValid() {
			continue
		}
		listed[vm.Name] = !vm.Leaving
		if _, known := directory.board.Get(TopicMember, vm.Name); known || vm.Leaving {
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

// unlisted draws members of a data centre, or of all, that the list lacks or calls leaving. They are few, so that a list
// that is wrongly empty does not make this VM probe all members.
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
	return members[:min(len(members), verifyLimit)]
}

// verify probes a member that the list does not have, and declares it dead when neither this VM nor others reach it.
func (directory *Directory) verify(ctx context.Context, member Member) {
	start := time.Now()
	reply, err := directory.callProbe(ctx, member.Peer, member.Name)
	if err == nil {
		directory.replaced(member, reply.Name)
		return
	}
	second := directory.probeAgain(ctx, member)
	if ctx.Err() != nil || directory.pausedSince(start, 3*directory.config.ProbeTimeout) {
		return
	}
	if second.answered {
		directory.replaced(member, second.name)
		return
	}
	directory.state(member, Dead)
}

// join asks the seeds for members until one answers or another member is known.
func (directory *Directory) join(ctx context.Context) {
	delay := joinFirst
	for directory.View().Len() <= 1 {
		for _, seed := range directory.shuffledSeeds() {
			if directory.contactNew(ctx, seed) {
				return
			}
		}
		timer := time.NewTimer(directory.jittered(delay))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		delay = min(2*delay, joinMax)
	}
}

// contactNew takes everything that the VM at an address knows.
func (directory *Directory) contactNew(ctx context.Context, target netip.AddrPort) bool {
	reply, err := directory.callProbe(ctx, target, "")
	if err != nil || reply.Name == directory.config.Self.Name {
		return false
	}
	directory.synchronize(ctx, target, reply.Name)
	return true
}

func (directory *Directory) shuffledSeeds() []netip.AddrPort {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	seeds := make([]netip.AddrPort, len(directory.seeds))
	for place, i := range directory.random.Perm(len(directory.seeds)) {
		seeds[place] = directory.seeds[i]
	}
	return seeds
}

// nextRejoin returns an address outside the view to probe: a member held dead or a seed. It heals partitions after
// which both sides hold each other dead.
func (directory *Directory) nextRejoin(now time.Time) (netip.AddrPort, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if now.Before(directory.rejoin) {
		return netip.AddrPort{}, false
	}
	directory.rejoin = now.Add(time.Duration((0.5 + directory.random.Float64()) * float64(rejoinEvery)))
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
