// Package swindex models indexes: their published snapshots, shard maps, document counts and backend servers.
package swindex

import "net/netip"

// Kinds of platform objects that this package decodes.
const (
	// KindCatalogue names objects that hold one Catalogue each, named by index.
	KindCatalogue = "Catalogue"
	// KindServers names objects that hold one ServerList each, named by data centre.
	KindServers = "Servers"
)

// Catalogue lists the published snapshots of one index, oldest first. It is an aggregate: a decoded catalogue is
// immutable.
type Catalogue struct {
	Index     string
	Snapshots []Snapshot
}

// Snapshot is one published version of an index with its own shard map.
type Snapshot struct {
	ID     string
	Shards []Shard
	// Retired marks a snapshot that takes no new queries.
	Retired bool `json:",omitempty"`
}

// Shard is one part of a snapshot.
type Shard struct {
	Number int
	// Documents is the number of documents that the shard holds in this snapshot.
	Documents int64
	// Replicas names the backend servers that hold the shard.
	Replicas []string
}

// Server is one backend server as the platform lists it.
type Server struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Connections is the number of connections that the server accepts over all VMs.
	Connections int
	// Leaving marks a server that takes no new work.
	Leaving bool `json:",omitempty"`
}

// ServerList is the platform object that lists a data centre's backend servers.
type ServerList struct {
	DataCentre string
	Servers    []Server
}

// Documents returns the number of documents in all shards.
func (snapshot *Snapshot) DocumentCount() int64 {
	var total int64
	for i := range snapshot.Shards {
		total += snapshot.Shards[i].Documents
	}
	return total
}
