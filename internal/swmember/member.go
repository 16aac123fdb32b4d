// Package swmember keeps the live set of VMs: probes, gossip, incarnations, and which VM owns which backend server.
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

// First returns the first count members of a data centre in rendezvous order for a key, without caching them.
func (view *View) FirstOwners(dataCentre, key string, count int) []Member {
	return FirstRanked(view.members[dataCentre], key, count)
}

// Rank orders members by rendezvous hash for key, those that take new work first.
func Rank(members []Member, key string) []Member {
	return FirstRanked(members, key, len(members))
}

// place is the standing of a member for one key.
type place struct {
	member *Member
	score  uint64
}

// FirstRanked returns the first count members that Rank would return. It costs little more than a hash a member.
func FirstRanked(members []Member, key string, count int) []Member {
	count = min(count, len(members))
	if count == 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	places := make([]place, 0, count)
	for i := range members {
		candidate := place{member: &members[i], score: mixHash(xxhash.Sum64String(members[i].Name) ^ hash)}
		places = insertPlace(places, candidate, count)
	}
	ranked := make([]Member, count)
	for i := range places {
		ranked[i] = *places[i].member
	}
	return ranked
}

// insertPlace adds a candidate to places in order and keeps the first count.
func insertPlace(places []place, candidate place, count int) []place {
	at := len(places)
	for at > 0 && candidate.compare(places[at-1]) < 0 {
		at--
	}
	if at == count {
		return places
	}
	if len(places) < count {
		places = append(places, place{})
	}
	copy(places[at+1:], places[at:])
	places[at] = candidate
	return places
}

// compare orders places: members that take new work first, then by score from high to low, then by name.
func (place place) compare(other place) int {
	if place.member.takesWork() != other.member.takesWork() {
		if place.member.takesWork() {
			return -1
		}
		return 1
	}
	if order := cmp.Compare(other.score, place.score); order != 0 {
		return order
	}
	return strings.Compare(place.member.Name, other.member.Name)
}

// mixHash spreads the bits of a combined hash, as the finalizer of SplitMix64 does.
func mixHash(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

func (member *Member) takesWork() bool {
	return member.State == Alive
}
