// Package swindex models search indexes: published snapshots, shard maps, document counts and backend servers.
package swindex

import "net/netip"

// Kinds of objects in the platform's store.
const (
	// KindCatalogue is the kind of the objects that hold one Catalogue each. An object has the name of its index.
	KindCatalogue = "Catalogue"
	// KindServers is the kind of the objects that hold one ServerList each. An object has the name of its data centre.
	KindServers = "Servers"
)

// Catalogue lists the published snapshots of one index, oldest first. It must not be modified after it was decoded.
type Catalogue struct {
	Index     string
	Snapshots []Snapshot
}

// Snapshot is one published version of an index with its own shard map.
type Snapshot struct {
	ID     string
	Shards []Shard
	// Retired marks a snapshot that new queries don't use.
	Retired bool `json:",omitempty"`
}

// Shard is one shard of a snapshot.
type Shard struct {
	Number int
	// Documents is the number of documents that the shard holds in this snapshot.
	Documents int64
	// Replicas names the backend servers that hold the shard.
	Replicas []string
}

// Server is a backend server in the platform's list.
type Server struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Connections is the number of connections that the server accepts from all VMs together.
	Connections int
	// Leaving marks a server that accepts no new work.
	Leaving bool `json:",omitempty"`
}

// ServerList is the value of the object that lists a data centre's backend servers.
type ServerList struct {
	DataCentre string
	Servers    []Server
}

// DocumentCount returns the number of documents in all shards.
func (snapshot *Snapshot) DocumentCount() int64 {
	var total int64
	for i := range snapshot.Shards {
		total += snapshot.Shards[i].Documents
	}
	return total
}
