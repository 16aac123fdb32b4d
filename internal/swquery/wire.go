package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Envelope is a message from a root to an owner. One long-lived stream carries the envelopes of many batches.
type Envelope struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the batch on this stream.
	ID uint64
	// Batch is set in the first envelope of a batch and nil in later ones.
	Batch *Batch
	// Start starts a held batch.
	Start bool
	// RoundTrip accompanies Start: the time from sending the batch to receiving its acknowledgement. The owner counts
	// Remaining from the batch's arrival and subtracts RoundTrip, since the batch may have been in transit for that long.
	RoundTrip time.Duration
	// Cancel lists attempts of the batch whose answers are no longer wanted.
	Cancel []uint64
	// CancelAll cancels every attempt of the batch.
	CancelAll bool
}

// Batch carries sub-requests of one query to the VM that owns their backend servers. It is encoded as an array because an
// owner receives thousands per second.
type Batch struct {
	_           struct{} `cbor:",toarray"`
	QueryID     uint64
	Caller      string
	Kind        string
	Index       string
	Snapshot    string
	Query       string
	Limit       int
	Priority    swrule.Priority
	Cohort      uint16
	Fingerprint uint64
	RunKey      string
	// Remaining is the time left until the query's deadline. It is a duration because the clocks of VMs may differ.
	Remaining time.Duration
	// Hold makes the owner acknowledge the batch and wait for Start. It is set for non-idempotent work, so that a broken
	// stream or a lost owner is detected before the work may have run.
	Hold  bool
	Items []Item
}

// Item is one attempt in a Batch.
type Item struct {
	_       struct{} `cbor:",toarray"`
	Attempt uint64
	Shard   int
	Server  string
}

// Reply is a message from an owner to a root. A reply without answers is a heartbeat or an acknowledgement. QueryID and
// Snapshot repeat those of the batch, and the root verifies them.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	QueryID  uint64
	Snapshot string
	Answers  []ItemAnswer
	// Report describes how the owner sheds work.
	Report swadmission.Report
}

// ItemAnswer is the outcome of one attempt. Attempt, Shard and Server repeat those of the item, and the root verifies them.
type ItemAnswer struct {
	_       struct{} `cbor:",toarray"`
	Attempt uint64
	Shard   int
	Server  string
	Answer  swbackend.Answer
}

// reply returns a reply for the batch with the given answers.
func (batch *Batch) reply(id uint64, answers []ItemAnswer) Reply {
	return Reply{ID: id, QueryID: batch.QueryID, Snapshot: batch.Snapshot, Answers: answers}
}
