// Package swlabplatform is a stand-in for the platform's object API of docs/PLATFORM-API.md, with faults.
package swlabplatform

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Object is one stored document.
type Object struct {
	Kind     string
	Name     string
	Version  int64
	Revision int64
	Value    json.RawMessage `json:",omitempty"`
}

// VM is an entry of the VM list.
type VM struct {
	Name       string
	Role       string
	DataCentre string
	Region     string
	Peer       string
	Caller     string
	State      string
}

// Fault holds what is wrong with the platform. The zero value is a healthy one.
type Fault struct {
	// Down makes every call fail with 503.
	Down bool
	// Slow delays every call.
	Slow time.Duration
	// LoseAnswers is the number of coming writes whose answers are lost after they took effect; negative loses all.
	LoseAnswers int
	// WatchSilent leaves watches without an answer for as long as it is set.
	WatchSilent bool
	// StaleReads answers reads with the version before the present one.
	StaleReads bool
}

// Names of calls in counts.
const (
	CallGet   = "get"
	CallList  = "list"
	CallPut   = "put"
	CallWatch = "watch"
	CallVMs   = "vms"
)

type key struct {
	kind string
	name string
}

type storedObject struct {
	object   Object
	previous *Object
	deleted  bool
}

type timedVMList struct {
	at  time.Time
	vms []VM
}

// store holds the objects. Its mutex guards every field.
type store struct {
	mutex    sync.Mutex
	revision int64
	// floor is the highest revision that watches may no longer start from.
	compactedRevision int64
	entries           map[key]*storedObject
	changed           chan struct{}
	fault             Fault
	calls             map[string]int64
	lag               time.Duration
	vmLists           []timedVMList
}

func newStore(lag time.Duration) *store {
	return &store{
		entries:           make(map[key]*storedObject),
		changed:           make(chan struct{}),
		calls:             make(map[string]int64),
		lag:               lag,
		compactedRevision: -1,
	}
}

// wake ends the wait of all watches. The mutex must be held.
func (store *store) notifyWatches() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) get(at key) (Object, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.entries[at]
	if !ok || found.deleted {
		return Object{}, false
	}
	if store.fault.StaleReads && found.previous != nil {
		return *found.previous, true
	}
	return found.object, true
}

// precondition is what a write demands of the present version.
type precondition struct {
	// any accepts every state.
	always bool
	// absent demands that there is no object.
	absent bool
	// version demands that version.
	version int64
}

// verdict is the outcome of a conditional write.
type writeOutcome int

const (
	written  writeOutcome = 0
	missing  writeOutcome = 1
	conflict writeOutcome = 2
)

func (store *store) check(at key, want precondition) writeOutcome {
	found, ok := store.entries[at]
	present := ok && !found.deleted
	switch {
	case want.always:
		return written
	case want.absent && present:
		return conflict
	case want.absent:
		return written
	case !present:
		return missing
	case found.object.Version != want.version:
		return conflict
	}
	return written
}

func (store *store) put(at key, value json.RawMessage, want precondition) (Object, writeOutcome) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if result := store.check(at, want); result != written {
		return Object{}, result
	}
	store.revision++
	object := Object{Kind: at.kind, Name: at.name, Version: 1, Revision: store.revision, Value: value}
	next := &storedObject{}
	if found, ok := store.entries[at]; ok {
		object.Version = found.object.Version + 1
		previous := found.object
		if !found.deleted {
			next.previous = &previous
		}
	}
	next.object = object
	store.entries[at] = next
	store.notifyWatches()
	return object, written
}

func (store *store) remove(at key, want precondition) writeOutcome {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.entries[at]
	if !ok || found.deleted {
		return missing
	}
	if result := store.check(at, want); result != written {
		return result
	}
	store.revision++
	found.deleted = true
	found.object.Value = nil
	found.object.Revision = store.revision
	store.notifyWatches()
	return written
}

func (store *store) list(kind, prefix string) (revision int64, objects []Object) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for at, found := range store.entries {
		if at.kind == kind && !found.deleted && strings.HasPrefix(at.name, prefix) {
			objects = append(objects, Object{Name: at.name, Version: found.object.Version})
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return store.revision, objects
}

// after returns the objects of a kind with a revision above after, a channel that closes at the next write, and
// whether after is still kept.
func (store *store) changesAfter(kind string, after int64) (revision int64, objects []Object, changed <-chan struct{}, kept bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if after <= store.compactedRevision {
		return store.revision, nil, nil, false
	}
	for at, found := range store.entries {
		if at.kind == kind && !found.deleted && found.object.Revision > after {
			objects = append(objects, found.object)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return int(a.Revision - b.Revision) })
	return store.revision, objects, store.changed, true
}

func (store *store) setVMs(vms []VM) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.vmLists = append(store.vmLists, timedVMList{at: time.Now(), vms: slices.Clone(vms)})
}

// visibleVMs returns the newest list that is older than the lag; the first list shows at once.
func (store *store) visibleVMs(dataCentre string) []VM {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	vms := []VM{}
	for i := len(store.vmLists) - 1; i >= 0; i-- {
		if i > 0 && time.Since(store.vmLists[i].at) < store.lag {
			continue
		}
		for _, vm := range store.vmLists[i].vms {
			if dataCentre == "" || vm.DataCentre == dataCentre {
				vms = append(vms, vm)
			}
		}
		break
	}
	return vms
}

func (store *store) countCall(call string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls[call]++
}

func (store *store) callCounts() map[string]int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return maps.Clone(store.calls)
}

func (store *store) currentFault() (Fault, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.fault, store.changed
}

func (store *store) setFault(fault Fault) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fault = fault
	store.notifyWatches()
}

// loseAnswer reports whether the answer of the write just done is to be lost.
func (store *store) takeLostAnswer() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.fault.LoseAnswers == 0 {
		return false
	}
	if store.fault.LoseAnswers > 0 {
		store.fault.LoseAnswers--
	}
	return true
}
