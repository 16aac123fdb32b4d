// Package swmember maintains the set of live VMs by a SWIM-style protocol: VMs probe each other, gossip replicates
// versioned records, and incarnation numbers order the statements about a member. Rendezvous hashing over the members
// assigns each backend server an owner.
package swmember

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// watcherKey is the rendezvous key that selects the watchers of a data centre.
	watcherKey = "watcher"
	// watcherCount is the number of watchers in a data centre.
	watcherCount = 2
)

// State is the liveness of a member as this VM knows it.
type State int

// The states in ascending precedence: for the same incarnation, a higher state overrides a lower one.
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
	// Name is unique among the VMs that run at the same time.
	Name string
	// Incarnation increases with every start of a process with the same name, and with every refutation. It orders
	// statements about the member; it does not identify a process.
	Incarnation uint64
	Region      string
	DataCentre  string
	// Peer is the address that other VMs connect to.
	Peer netip.AddrPort
	// Caller is the address that callers connect to.
	Caller netip.AddrPort
	State  State
}

// View is an immutable snapshot of the members. It caches the owners computed from it.
type View struct {
	// Self is this VM.
	Self Member
	// members holds every member that is not dead, by data centre, sorted by name.
	members map[string][]Member
	byName  map[string]Member
	// owners caches the results of Owners by ownerKey.
	owners sync.Map
}

// ownerKey identifies the result of one call of Owners.
type ownerKey struct {
	key        string
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

// Members returns the members of a data centre, sorted by name. The caller must not modify the slice.
func (view *View) Members(dataCentre string) []Member {
	return view.members[dataCentre]
}

// DataCentres returns the data centres that have members, sorted by name.
func (view *View) DataCentres() []string {
	names := make([]string, 0, len(view.members))
	for name := range view.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Member returns the member with the given name.
func (view *View) Member(name string) (Member, bool) {
	member, ok := view.byName[name]
	return member, ok
}

// Len returns the number of members.
func (view *View) Len() int {
	return len(view.byName)
}

// Watchers returns the members that watch the platform for a data centre. The first of them writes the data centre's
// status. The caller must not modify the slice.
func (view *View) Watchers(dataCentre string) []Member {
	owners := view.Owners(dataCentre, watcherKey)
	return owners[:min(len(owners), watcherCount)]
}

// WatcherRank returns this VM's index among the watchers of its data centre, and whether it is one.
func (view *View) WatcherRank() (int, bool) {
	for rank, watcher := range view.Watchers(view.Self.DataCentre) {
		if watcher.Name == view.Self.Name {
			return rank, true
		}
	}
	return 0, false
}

// Owners returns the members of a data centre in rendezvous order for a key such as a backend server's name. The first is
// the owner, the second its fallback. Suspect and leaving members come after all others. The caller must not modify the
// slice.
func (view *View) Owners(dataCentre, key string) []Member {
	cacheKey := ownerKey{key: key, dataCentre: dataCentre}
	if cached, ok := view.owners.Load(cacheKey); ok {
		return cached.([]Member)
	}
	ranked := Rank(view.members[dataCentre], key)
	view.owners.Store(cacheKey, ranked)
	return ranked
}

// FirstOwners returns the first count members that Owners would return. It does not cache them.
func (view *View) FirstOwners(dataCentre, key string, count int) []Member {
	return FirstRanked(view.members[dataCentre], key, count)
}

// Rank returns members ordered by rendezvous hash for key. Members that accept new work come first.
func Rank(members []Member, key string) []Member {
	return FirstRanked(members, key, len(members))
}

// rankedMember is a member with its rendezvous score for a key.
type rankedMember struct {
	member *Member
	score  uint64
}

// FirstRanked returns the first count members that Rank would return. It hashes each member once and sorts only the result.
func FirstRanked(members []Member, key string, count int) []Member {
	count = min(count, len(members))
	if count == 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	selected := make([]rankedMember, 0, count)
	for i := range members {
		candidate := rankedMember{member: &members[i], score: mixHash(xxhash.Sum64String(members[i].Name) ^ hash)}
		selected = insertRanked(selected, candidate, count)
	}
	ranked := make([]Member, count)
	for i := range selected {
		ranked[i] = *selected[i].member
	}
	return ranked
}

// insertRanked inserts a candidate into the ordered list selected, which keeps at most count members.
func insertRanked(selected []rankedMember, candidate rankedMember, count int) []rankedMember {
	index := len(selected)
	for index > 0 && candidate.compare(selected[index-1]) < 0 {
		index--
	}
	if index == count {
		return selected
	}
	if len(selected) < count {
		selected = append(selected, rankedMember{})
	}
	copy(selected[index+1:], selected[index:])
	selected[index] = candidate
	return selected
}

// compare orders members that accept new work first, then by descending score, then by name.
func (rankedMember rankedMember) compare(other rankedMember) int {
	if rankedMember.member.acceptsWork() != other.member.acceptsWork() {
		if rankedMember.member.acceptsWork() {
			return -1
		}
		return 1
	}
	if order := cmp.Compare(other.score, rankedMember.score); order != 0 {
		return order
	}
	return strings.Compare(rankedMember.member.Name, other.member.Name)
}

// mixHash distributes the bits of a combined hash. It is the finalizer of SplitMix64.
func mixHash(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

func (member *Member) acceptsWork() bool {
	return member.State == Alive
}
