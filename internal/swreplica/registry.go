package swreplica

import (
	"sync"
	"sync/atomic"
	"time"
)

// RegistryConfig holds the parameters of a Registry.
type RegistryConfig struct {
	Pool *Pool
	// DataCentre and Region are the location of this VM.
	DataCentre string
	Region     string
}

// Registry holds the replicas by service. It is safe for concurrent use; ServiceReplicas takes no lock.
type Registry struct {
	config RegistryConfig

	mutex    sync.Mutex
	byID     map[string]*Replica
	services atomic.Pointer[map[string][]*Replica]
}

// NewRegistry returns an empty registry.
func NewRegistry(config RegistryConfig) *Registry {
	registry := &Registry{config: config, byID: make(map[string]*Replica)}
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
		}
	}
	for i := range entries {
		registry.upsert(entries[i], now)
	}
	registry.publish()
}

// upsert adds or updates one entry. A replica that was restarted under the same ID starts with no recorded state. The caller
// holds the mutex.
func (registry *Registry) upsert(entry Entry, now time.Time) {
	existing, ok := registry.byID[entry.ID]
	if ok {
		before := existing.Entry()
		if before.sameProcess(&entry) {
			existing.update(entry, now)
			return
		}
		existing.Retire()
	}
	registry.byID[entry.ID] = registry.config.Pool.newReplica(entry, registry.distance(&entry), now)
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
	for _, replica := range registry.byID {
		name := replica.entry.Load().Service
		services[name] = append(services[name], replica)
	}
	registry.services.Store(&services)
}
