package swindex

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Registry holds the catalogues and backend servers that this VM knows. Reads take no lock.
type Registry struct {
	mutex      sync.Mutex
	catalogues atomic.Pointer[map[string]*Catalogue]
	servers    atomic.Pointer[ServerMap]
	draining   atomic.Pointer[map[string]time.Time]
	lists      map[string]ServerList
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	registry := &Registry{lists: make(map[string]ServerList)}
	registry.catalogues.Store(&map[string]*Catalogue{})
	registry.servers.Store(&ServerMap{})
	registry.draining.Store(&map[string]time.Time{})
	return registry
}

// DecodeCatalogue decodes and checks the value of a Catalogue object.
func DecodeCatalogue(value []byte) (*Catalogue, error) {
	catalogue := &Catalogue{}
	if err := json.Unmarshal(value, catalogue); err != nil {
		return nil, errors.Wrap(err, "decode catalogue")
	}
	return catalogue, catalogue.check()
}

func (catalogue *Catalogue) check() error {
	if catalogue.Index == "" {
		return errors.New("catalogue names no index")
	}
	seen := make(map[string]bool, len(catalogue.Snapshots))
	for i := range catalogue.Snapshots {
		snapshot := &catalogue.Snapshots[i]
		if snapshot.ID == "" || seen[snapshot.ID] {
			return errors.Errorf("snapshot %d of index %q has an empty or repeated ID %q", i, catalogue.Index, snapshot.ID)
		}
		seen[snapshot.ID] = true
		if err := snapshot.check(); err != nil {
			return errors.Wrapf(err, "index %q", catalogue.Index)
		}
	}
	return nil
}

func (snapshot *Snapshot) check() error {
	if len(snapshot.Shards) == 0 {
		return errors.Errorf("snapshot %q has no shards", snapshot.ID)
	}
	seen := make(map[int]bool, len(snapshot.Shards))
	for i := range snapshot.Shards {
		shard := &snapshot.Shards[i]
		if shard.Number < 0 || seen[shard.Number] {
			return errors.Errorf("snapshot %q has a negative or repeated shard number %d", snapshot.ID, shard.Number)
		}
		if shard.Documents < 0 {
			return errors.Errorf("shard %d of snapshot %q has a negative number of documents", shard.Number, snapshot.ID)
		}
		seen[shard.Number] = true
	}
	return nil
}

// DecodeServerList decodes and checks the value of a Servers object.
func DecodeServerList(value []byte) (ServerList, error) {
	var list ServerList
	if err := json.Unmarshal(value, &list); err != nil {
		return ServerList{}, errors.Wrap(err, "decode server list")
	}
	for _, server := range list.Servers {
		if server.Name == "" || !server.Address.IsValid() || server.Slots <= 0 || server.Connections <= 0 {
			return ServerList{}, errors.Errorf("server %q of data centre %q lacks a name, address, slots or connections", server.Name, list.DataCentre)
		}
	}
	return list, nil
}

// SetCatalogue replaces the catalogue of one index.
func (registry *Registry) SetCatalogue(catalogue *Catalogue) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	next := copyMap(*registry.catalogues.Load())
	next[catalogue.Index] = catalogue
	registry.catalogues.Store(&next)
}

// Catalogue returns the catalogue of an index, or nil.
func (registry *Registry) Catalogue(index string) *Catalogue {
	return (*registry.catalogues.Load())[index]
}

// Indexes returns the number of indexes known.
func (registry *Registry) Indexes() int {
	return len(*registry.catalogues.Load())
}

// SetServers replaces the list of one data centre's backend servers.
func (registry *Registry) SetServers(list ServerList) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.lists[list.DataCentre] = list
	next := &ServerMap{byName: make(map[string]Server)}
	for dataCentre, list := range registry.lists {
		for _, server := range list.Servers {
			if server.DataCentre == "" {
				server.DataCentre = dataCentre
			}
			next.byName[server.Name] = server
		}
	}
	registry.servers.Store(next)
}

// Servers returns every backend server known. The pointer changes with every change of a list.
func (registry *Registry) Servers() *ServerMap {
	return registry.servers.Load()
}

// ServerMap holds backend servers by name. It is immutable.
type ServerMap struct {
	byName map[string]Server
}

// Server returns the backend server of that name.
func (serverMap *ServerMap) Server(name string) (Server, bool) {
	server, ok := serverMap.byName[name]
	return server, ok
}

// All returns every backend server.
func (serverMap *ServerMap) All() []Server {
	servers := make([]Server, 0, len(serverMap.byName))
	for _, server := range serverMap.byName {
		servers = append(servers, server)
	}
	return servers
}

// MarkDraining marks a backend server as accepting no new work for the given time. It reports whether the server was not marked
// before.
func (registry *Registry) MarkDraining(server string, lasts time.Duration) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	now := time.Now()
	next := make(map[string]time.Time)
	for name, until := range *registry.draining.Load() {
		if until.After(now) {
			next[name] = until
		}
	}
	_, known := next[server]
	next[server] = now.Add(lasts)
	registry.draining.Store(&next)
	return !known
}

// IsDraining reports whether a backend server is marked as accepting no new work.
func (registry *Registry) IsDraining(server string) bool {
	until, ok := (*registry.draining.Load())[server]
	return ok && time.Now().Before(until)
}

// DrainingServers returns the names of the servers marked as draining.
func (registry *Registry) DrainingServers() []string {
	var names []string
	now := time.Now()
	for name, until := range *registry.draining.Load() {
		if until.After(now) {
			names = append(names, name)
		}
	}
	return names
}

func copyMap[Key comparable, Value any](from map[Key]Value) map[Key]Value {
	to := make(map[Key]Value, len(from)+1)
	for key, value := range from {
		to[key] = value
	}
	return to
}
