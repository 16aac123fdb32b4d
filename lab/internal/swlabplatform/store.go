// Package swlabplatform simulates the platform: it serves the object API of docs/PLATFORM-API.md and injects faults.
package swlabplatform

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Object is a stored object.
type Object struct {
	Kind     string
	Name     string
	Version  int64
	Revision int64
	Value    json.RawMessage `json:",omitempty"`
}

// VM is an entry in the VM list.
type VM struct {
	Name       string
	Role       string
	DataCentre string
	Region     string
	Peer       string
	Caller     string
	State      string
}

// Fault selects the faults that a platform injects. The zero value injects none.
type Fault struct {
	// Down makes every call fail with status 503.
	Down bool
	// Slow is added to the duration of every call.
	Slow time.Duration
	// LoseAnswers is the number of next writes that take effect but get no response. A negative number means all writes.
	LoseAnswers int
	// WatchSilent leaves watches without a response while it is set.
	WatchSilent bool
	// StaleReads makes reads return the version before the current one.
	StaleReads bool
}

// Kinds of calls, as Platform.Calls names them.
const (
	CallGet   = "get"
	CallList  = "list"
	CallPut   = "put"
	CallWatch = "watch"
	CallVMs   = "vms"
)

// key identifies an object.
type key struct {
	kind string
	name string
}

// storedObject holds the current version of an object, and the previous one for Fault.StaleReads. A deleted object is kept,
// so that its versions continue when it is created again.
type storedObject struct {
	current  Object
	previous *Object
	deleted  bool
}

// timedVMList is a VM list with the time at which it was set.
type timedVMList struct {
	at  time.Time
	vms []VM
}

// store holds the objects, the VM lists and the faults. Its mutex guards every field.
type store struct {
	mutex    sync.Mutex
	revision int64
	// compactedRevision is the highest revision from which a watch can no longer start.
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

// notifyWatches makes all waiting watches check for changes. The mutex must be held.
func (store *store) notifyWatches() {
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) get(key key) (Object, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.entries[key]
	if !ok || found.deleted {
		return Object{}, false
	}
	if store.fault.StaleReads && found.previous != nil {
		return *found.previous, true
	}
	return found.current, true
}

// precondition is the condition under which a write takes effect.
type precondition struct {
	// always makes the write unconditional.
	always bool
	// absent requires that the object does not exist.
	absent bool
	// version is the required version when neither always nor absent is set.
	version int64
}

// writeOutcome is the outcome of a conditional write.
type writeOutcome int

// Outcomes of a conditional write.
const (
	written  writeOutcome = 0
	missing  writeOutcome = 1
	conflict writeOutcome = 2
)

// check returns the outcome of a write with a precondition. The mutex must be held.
func (store *store) check(key key, want precondition) writeOutcome {
	found, ok := store.entries[key]
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
	case found.current.Version != want.version:
		return conflict
	}
	return written
}

func (store *store) put(key key, value json.RawMessage, want precondition) (Object, writeOutcome) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if result := store.check(key, want); result != written {
		return Object{}, result
	}
	store.revision++
	object := Object{Kind: key.kind, Name: key.name, Version: 1, Revision: store.revision, Value: value}
	next := &storedObject{}
	if found, ok := store.entries[key]; ok {
		object.Version = found.current.Version + 1
		previous := found.current
		if !found.deleted {
			next.previous = &previous
		}
	}
	next.current = object
	store.entries[key] = next
	store.notifyWatches()
	return object, written
}

func (store *store) remove(key key, want precondition) writeOutcome {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found, ok := store.entries[key]
	if !ok || found.deleted {
		return missing
	}
	if result := store.check(key, want); result != written {
		return result
	}
	store.revision++
	found.deleted = true
	found.current.Value = nil
	found.current.Revision = store.revision
	store.notifyWatches()
	return written
}

func (store *store) list(kind, prefix string) (revision int64, objects []Object) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for key, found := range store.entries {
		if key.kind == kind && !found.deleted && strings.HasPrefix(key.name, prefix) {
			objects = append(objects, Object{Name: key.name, Version: found.current.Version})
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return store.revision, objects
}

// changesAfter returns the current revision, the objects of a kind that were written after a revision, and a channel that
// is closed at the next change. Deleted objects are left out. available reports whether the revision has not been compacted.
func (store *store) changesAfter(kind string, after int64) (revision int64, objects []Object, changed <-chan struct{}, available bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if after <= store.compactedRevision {
		return store.revision, nil, nil, false
	}
	for key, found := range store.entries {
		if key.kind == kind && !found.deleted && found.current.Revision > after {
			objects = append(objects, found.current)
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

// visibleVMs returns the VMs of a data centre, or all VMs when it is empty, from the newest list that is older than the lag.
// The first list is visible at once.
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

// takeLostAnswer reports whether the response to the current write is lost, and counts it against Fault.LoseAnswers.
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
