package swreplica

import (
	"net/netip"
	"time"
)

// Entry is one replica as the platform lists it.
type Entry struct {
	// ID identifies one incarnation of the replica.
	ID string
	// Service is the name of the service to which the replica belongs.
	Service string
	// Address is where the replica accepts connections. Once the replica has ended, a replica of another service may reuse the
	// address.
	Address netip.AddrPort
	// DataCentre and Region are the replica's location. Region is empty for a data centre that the settings do not name.
	DataCentre string
	Region     string
	// Slots is the number of requests that the replica runs at once.
	Slots int
	// Leaving replicas accept no new work.
	Leaving bool
	// WarmUpLeft is for how much longer the replica is slow after its start.
	WarmUpLeft time.Duration
	// StartedAt is when the incarnation started; it is the zero time if the entry does not say.
	StartedAt time.Time
	// Sequence counts the writes of the entry by one incarnation.
	Sequence int64
}

// sameProcess reports whether two entries with the same ID describe the same process.
func (entry *Entry) sameProcess(other *Entry) bool {
	return entry.StartedAt.Equal(other.StartedAt) && entry.Address == other.Address && entry.Service == other.Service
}

// keepLeaving makes the entry that of a leaving replica if known, of the same process, is one: a replica that leaves does not return. A
// store that has come back from an older copy may have lost that it leaves.
func (entry *Entry) keepLeaving(known *Entry) {
	entry.Leaving = entry.Leaving || known.Leaving && !known.StartedAt.IsZero()
}

// saysNothingNewAfter reports whether an entry is a former state of the replica that known describes, as the store holds it after it has
// come back from an older copy.
func (entry *Entry) saysNothingNewAfter(known *Entry) bool {
	if entry.StartedAt.IsZero() || known.StartedAt.IsZero() {
		return false
	}
	return entry.StartedAt.Before(known.StartedAt) || entry.sameProcess(known) && entry.Sequence <= known.Sequence
}
