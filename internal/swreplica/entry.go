// Package swreplica keeps the replicas of services: which there are, how they do as seen from this VM, which one a request
// goes to, and the connections to them.
package swreplica

import (
	"net/netip"
	"time"
)

// Entry is one replica as the platform lists it.
type Entry struct {
	// ID names one incarnation of the replica.
	ID string
	// Service is the service that it serves.
	Service string
	// Address is where it takes connections; the address may pass to a replica of another service once this one has ended.
	Address netip.AddrPort
	// DataCentre and Region tell where it runs. Region is empty for a data centre that the settings do not name.
	DataCentre string
	Region     string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Leaving replicas take no new work.
	Leaving bool
	// WarmUp is how much longer the replica is slow after its start.
	WarmUpLeft time.Duration
	// Born is when the incarnation started.
	StartedAt time.Time
}

// sameProcess reports whether two entries of one ID describe the same start of the replica.
func (entry *Entry) sameProcess(other *Entry) bool {
	return entry.StartedAt.Equal(other.StartedAt) && entry.Address == other.Address && entry.Service == other.Service
}
