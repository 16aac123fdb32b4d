package swreplica

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

// RegistryConfig holds the parameters of a Registry.
type RegistryConfig struct {
	Pool *Pool
	// DataCentre and Region are the location of this VM.
	DataCentre string
	Region     string
	// ConfirmAfter is how long the entry of a removed replica must be listed again, without a newer write, until it counts as that of a
	// live one: the entries of others lapse in this time.
	ConfirmAfter time.Duration
	// ReturnOver is how long after the end of an evacuation a data centre gets its full share again; zero for at once.
	ReturnOver time.Duration
}

// Registry holds the replicas by service. It is safe for concurrent use; ServiceReplicas takes no lock.
type Registry struct {
	config RegistryConfig

	mutex sync.Mutex
	byID  map[string]*Replica
	// removed holds what the replicas said that were removed in the last reportMemory, by ID.
	removed map[string]removedReplica
	// places holds the data centres by name that have replicas or an evacuation.
	places   map[string]*place
	services atomic.Pointer[map[string][]*Replica]
	// sending is the number of requests in flight directly, and watched is set while their answers are watched for.
	sending atomic.Int64
	watched atomic.Bool
}

// removedReplica holds what a replica said whose entry was removed.
type removedReplica struct {
	entry     Entry
	reports   *reportState
	removedAt time.Time
}

// reportMemory is how long what a replica said about itself is kept after its entry was removed. Its entry may lapse in an outage of the
// platform and come back, while the process still leaves or is short of capacity.
const reportMemory = swconn.MaxRetryAfter

// NewRegistry returns an empty registry.
func NewRegistry(config RegistryConfig) *Registry {
	registry := &Registry{config: config, byID: make(map[string]*Replica), removed: make(map[string]removedReplica), places: make(map[string]*place)}
	registry.services.Store(&map[string][]*Replica{})
	return registry
}

// ServiceReplicas returns the replicas of a service, including leaving ones. The caller must not modify the slice.
func (registry *Registry) ServiceReplicas(name string) []*Replica {
	return (*registry.services.Load())[name]
}

// Find returns the replica with an ID, or nil.
func (registry *Registry) Find(id string) *Replica {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.byID[id]
}

// Len returns the number of replicas.
func (registry *Registry) Len() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.byID)
}

// Update adds or changes the given entries and removes the replicas with the given IDs.
func (registry *Registry) Update(entries []Entry, removed []string) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	now := time.Now()
	for _, id := range removed {
		if replica, ok := registry.byID[id]; ok {
			replica.Retire()
			delete(registry.byID, id)
			registry.removed[id] = removedReplica{entry: replica.Entry(), reports: replica.reports, removedAt: now}
		}
	}
	maps.DeleteFunc(registry.removed, func(_ string, removed removedReplica) bool { return now.Sub(removed.removedAt) > reportMemory })
	for i := range entries {
		registry.upsert(entries[i], now)
	}
	registry.prunePlaces(now)
	registry.publish()
}

// upsert adds or updates one entry. A replica that was restarted under the same ID starts with no recorded state; one whose entry was
// removed and comes back keeps what it said about itself. The caller holds the mutex.
func (registry *Registry) upsert(entry Entry, now time.Time) {
	former, known := registry.removed[entry.ID]
	delete(registry.removed, entry.ID)
	if existing, ok := registry.byID[entry.ID]; ok {
		if before := existing.Entry(); before.sameProcess(&entry) {
			existing.update(entry, now)
			return
		}
		existing.Retire()
		former, known = removedReplica{entry: existing.Entry(), reports: existing.reports}, true
	}
	isSameProcess := known && former.entry.sameProcess(&entry)
	if isSameProcess {
		entry.keepLeaving(&former.entry)
	}
	replica := registry.config.Pool.newReplica(entry, registry.placeOf(entry.DataCentre), registry.distance(&entry), now)
	if isSameProcess {
		replica.reports = former.reports
	}
	if known && entry.saysNothingNewAfter(&former.entry) {
		// A start before the known one may also be that of a new process whose clock was set back.
		replica.unconfirmedUntil = now.Add(registry.config.ConfirmAfter)
	}
	registry.byID[entry.ID] = replica
}

func (registry *Registry) distance(entry *Entry) Distance {
	switch {
	case entry.DataCentre == registry.config.DataCentre:
		return SameDataCentre
	case entry.Region == registry.config.Region:
		return SameRegion
	}
	return OtherRegion
}

// publish makes the current replicas visible to ServiceReplicas. The caller holds the mutex.
func (registry *Registry) publish() {
	services := make(map[string][]*Replica)
	byPlace := make(map[*place][]*Replica)
	for _, replica := range registry.byID {
		byPlace[replica.place] = append(byPlace[replica.place], replica)
		name := replica.entry.Load().Service
		services[name] = append(services[name], replica)
	}
	registry.services.Store(&services)
	for _, place := range registry.places {
		replicas := byPlace[place]
		place.replicas.Store(&replicas)
	}
}
