package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Envelope flows from a root to an owner, on one long stream for many batches.
type Envelope struct {
	_ struct{} `cbor:",toarray"`
	// ID names the batch on this stream.
	ID uint64
	// Batch begins a batch; it is nil in the envelopes that follow.
	Batch *Batch
	// Start lets a batch that is held begin.
	Start bool
	// RoundTrip comes with Start: the time from the sending of the batch to its acknowledgement. The owner counts the batch's
	// time from its coming, which may be that much later than the root does.
	RoundTrip time.Duration
	// Cancel lists attempts of the batch that are no longer wanted.
	Cancel []uint64
	// CancelAll withdraws every attempt of the batch.
	CancelAll bool
}

// Batch carries the sub-requests of one query to the VM that owns their backend servers. It encodes as an array, since
// an owner takes thousands a second.
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
	// Remaining is the time left until the caller's deadline; clocks of VMs are not compared.
	Remaining time.Duration
	// Hold makes the owner acknowledge the batch and wait for Start. Non-idempotent work is held, so that a stream or an
	// owner that is gone is found before the work may have run.
	Hold  bool
	Items []Item
}

// Item is one attempt inside a Batch.
type Item struct {
	_       struct{} `cbor:",toarray"`
	Attempt uint64
	Shard   int
	Server  string
}

// Reply flows from the owner to the root. One without answers tells that the owner works on the batch. It repeats the
// identity of the batch, which the root checks.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	QueryID  uint64
	Snapshot string
	Answers  []ItemAnswer
	// Report tells how the owner sheds work.
	Report swadmission.Report
}

// ItemAnswer is the outcome of one attempt of the reply's query and snapshot. It repeats the attempt's identity, which
// the root checks.
type ItemAnswer struct {
	_       struct{} `cbor:",toarray"`
	Attempt uint64
	Shard   int
	Server  string
	Answer  swbackend.Answer
}

// reply returns a reply for the batch that carries the answers.
func (batch *Batch) reply(id uint64, answers []ItemAnswer) Reply {
	return Reply{ID: id, QueryID: batch.QueryID, Snapshot: batch.Snapshot, Answers: answers}
}
