package swmember

import (
	"context"
	"net/netip"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// Transport carries calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the answer into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// ProbeRequest asks a VM whether it lives, and brings gossip.
type ProbeRequest struct {
	_ struct{} `cbor:",toarray"`

	// From is the sender's name.
	From string
	// Version is the version of the sender's own member record.
	Version uint64
	// Digest is the digest of the sender's board.
	Digest uint64
	// Records are recent records.
	Records []Record
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	_ struct{} `cbor:",toarray"`

	// Name is the answering VM's name, which differs from the expected one after a replacement.
	Name string
	// Digest is the digest of the answering VM's board with the request's records.
	Digest uint64
	// Records are recent records, and the member record of the sender if the answering VM holds a higher version.
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

	// Name is the name of the VM that answered at the target, empty when none did.
	Name string
}

// GossipRequest pushes records, and takes part in the synchronization of two boards: the first request carries Digests,
// the next the records that the other VM lacks and the IDs of those wanted from it.
type GossipRequest struct {
	_ struct{} `cbor:",toarray"`

	From    string
	Records []Record
	// Digests holds the digest of each bucket, or nothing.
	Digests []uint64
	// Wanted names records to return.
	Wanted []uint64
}

// GossipReply answers a GossipRequest.
type GossipReply struct {
	_ struct{} `cbor:",toarray"`

	// Listed has a bit for each bucket that Summaries cover.
	Listed    uint64
	Summaries []summary
	// Records are those that the request wanted.
	Records []Record
}
