// Package swmember keeps the live set of VMs: probes, gossip, incarnations, and which VM owns which backend server.
package swmember

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// watcherKey is the rendezvous key that chooses watchers.
	watcherKey = "watcher"
	// watcherCount is the number of watchers in a data centre.
	watcherCount = 2
)

// State is what this VM believes of a member.
type State int

// The states, in the order in which a later one overrides an earlier one of the same incarnation.
const (
	Alive   State = 0
	Suspect State = 1
	Leaving State = 2
	Dead    State = 3
)

var stateNames = [...]string{"Alive", "Suspect", "Leaving", "Dead"}

// String returns the state's name.
func (state State) String() string {
	if state < 0 || int(state) >= len(stateNames) {
		return fmt.Sprintf("State(%d)", int(state))
	}
	return stateNames[state]
}

// Member is one VM of the system.
type Member struct {
	// Name is unique among the VMs that live at one time.
	Name string
	// Incarnation grows with every start of a process under the same name, and with every refutation. It orders
	// statements about the member; it does not identify a process.
	Incarnation uint64
	Region      string
	DataCentre  string
	// Peer is the address for other VMs.
	Peer netip.AddrPort
	// Caller is the address for callers.
	Caller netip.AddrPort
	State  State
}

// View is an immutable picture of the members. It caches the ownership that follows from it.
type View struct {
	// Self is this VM.
	Self Member
	// members holds every member that is not dead, by data centre, in order of name.
	members map[string][]Member
	byName  map[string]Member
	owners  sync.Map
}

type ownerKey struct {
	server     string
	dataCentre string
}

// NewView returns a view of members, leaving out the dead ones.
func NewView(self Member, members []Member) *View {
	view := &View{Self: self, members: make(map[string][]Member), byName: make(map[string]Member, len(members))}
	for _, member := range members {
		if member.State == Dead {
			continue
		}
		view.members[member.DataCentre] = append(view.members[member.DataCentre], member)
		view.byName[member.Name] = member
	}
	for _, list := range view.members {
		slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	}
	return view
}

// Members returns the members of a data centre in order of name. The caller must not change the slice.
func (view *View) Members(dataCentre string) []Member {
	return view.members[dataCentre]
}

// DataCentres returns the data centres that have members, in order of name.
func (view *View) DataCentres() []string {
	names := make([]string, 0, len(view.members))
	for name := range view.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Member returns the member of that name.
func (view *View) Member(name string) (Member, bool) {
	member, ok := view.byName[name]
	return member, ok
}

// Len returns the number of members.
func (view *View) Len() int {
	return len(view.byName)
}

// Watchers returns the members that watch the platform for a data centre, the first of which writes its status. The
// caller must not change the slice.
func (view *View) Watchers(dataCentre string) []Member {
	owners := view.Owners(dataCentre, watcherKey)
	return owners[:min(len(owners), watcherCount)]
}

// WatcherRank returns this VM's place among the watchers of its data centre, and whether it is one.
func (view *View) WatcherRank() (int, bool) {
	for rank, watcher := range view.Watchers(view.Self.DataCentre) {
		if watcher.Name == view.Self.Name {
			return rank, true
		}
	}
	return 0, false
}

// Owners returns the members of a data centre in rendezvous order for a key such as a backend server's name: the first
// is the owner, the second its substitute. Suspect and leaving members come after all others. The caller must not
// change the slice.
func (view *View) Owners(dataCentre, key string) []Member {
	cacheKey := ownerKey{server: key, dataCentre: dataCentre}
	if cached, ok := view.owners.Load(cacheKey); ok {
		return cached.([]Member)
	}
	ranked := Rank(view.members[dataCentre], key)
	view.owners.Store(cacheKey, ranked)
	return ranked
}

// Rank orders members by rendezvous hash for key, those that take new work first.
func Rank(members []Member, key string) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	list := make([]scored, len(members))
	for i, member := range members {
		list[i] = scored{member: member, score: xxhash.Sum64String(member.Name + "\x00" + key)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.member.takesWork() != b.member.takesWork() {
			if a.member.takesWork() {
				return -1
			}
			return 1
		}
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.member.Name, b.member.Name)
	})
	ranked := make([]Member, len(list))
	for i := range list {
		ranked[i] = list[i].member
	}
	return ranked
}

func (member *Member) takesWork() bool {
	return member.State == Alive
}
