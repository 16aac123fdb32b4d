package swplatform

import (
	"encoding/json"
	"net/netip"
)

// MaxValueSize bounds the value of an object, in bytes.
const MaxValueSize = 1 << 20

// Object is an object in the platform's store.
type Object struct {
	Kind string
	Name string
	// Version counts the writes of this object.
	Version uint64
	// Position is where in the store's history the object last changed, where the store names it.
	Position Position `json:"Revision"`
	// Value is a JSON document. It is empty in the result of a write.
	Value json.RawMessage
	// Deleted marks an object that a watch reports as removed.
	Deleted bool `json:",omitempty"`
}

// ObjectVersion is the name and the version of an object in a listing.
type ObjectVersion struct {
	Name    string
	Version uint64
}

// WatchResult holds the objects that changed. Objects is empty if none did.
type WatchResult struct {
	// Revision is the revision that the next watch starts after.
	Revision uint64
	Objects  []Object
}

// Roles and states of VMs.
const (
	RoleEntry    = "Entry"
	RoleBackend  = "Backend"
	StateLive    = "Live"
	StateLeaving = "Leaving"
)

// VM is an entry of the platform's VM list, which may be out of date.
type VM struct {
	Name       string
	Role       string
	DataCentre string
	Region     string
	// Peer is the UDP address for other entry VMs; it is the zero value if the list has none or a malformed one.
	Peer netip.AddrPort
	// Caller is the TCP address for callers; it is the zero value if the list has none or a malformed one.
	Caller netip.AddrPort
	State  string
}

// UnmarshalJSON decodes a VM. A malformed address becomes the zero value, so that one bad entry does not fail the list.
func (vm *VM) UnmarshalJSON(data []byte) error {
	var raw struct {
		Name, Role, DataCentre, Region, Peer, Caller, State string
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	*vm = VM{
		Name:       raw.Name,
		Role:       raw.Role,
		DataCentre: raw.DataCentre,
		Region:     raw.Region,
		Peer:       parseAddress(raw.Peer),
		Caller:     parseAddress(raw.Caller),
		State:      raw.State,
	}
	return nil
}

func parseAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return address
}
