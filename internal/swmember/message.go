package swmember

import (
	"context"
	"net/netip"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// Transport sends calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the response into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// ProbeRequest checks that a VM is alive and piggybacks gossip.
type ProbeRequest struct {
	_ struct{} `cbor:",toarray"`

	// From is the sender's name.
	From string
	// Version is the version of the sender's own member record.
	Version uint64
	// Digest is the digest of the sender's record store.
	Digest uint64
	// Records holds recently changed records.
	Records []Record
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	_ struct{} `cbor:",toarray"`

	// Name is the answering VM's name. It differs from the expected one when another VM has taken over the address.
	Name string
	// Digest is the digest of the answering VM's record store after it merged the request's records.
	Digest uint64
	// Records holds recently changed records, and the sender's member record if the answering VM has a higher version.
	Records []Record
}

// ProbeViaRequest asks a VM to probe another.
type ProbeViaRequest struct {
	_ struct{} `cbor:",toarray"`

	From   string
	Target netip.AddrPort
}

// ProbeViaReply answers a ProbeViaRequest.
type ProbeViaReply struct {
	_ struct{} `cbor:",toarray"`

	// Name is the name of the VM that answered at the target; it is empty when none did.
	Name string
}

// GossipRequest pushes records or synchronizes two record stores. In a synchronization, the first request carries Digests;
// the second carries the records that the other VM lacks and the IDs of those wanted from it.
type GossipRequest struct {
	_ struct{} `cbor:",toarray"`

	From    string
	Records []Record
	// Digests holds the digest of each bucket; it is empty except in the first request of a synchronization.
	Digests []uint64
	// Wanted holds the IDs of records to return.
	Wanted []uint64
}

// GossipReply answers a GossipRequest.
type GossipReply struct {
	_ struct{} `cbor:",toarray"`

	// Listed is a bit set of the buckets that Summaries covers.
	Listed    uint64
	Summaries []summary
	// Records holds the records that the request wanted.
	Records []Record
}
