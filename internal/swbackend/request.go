// Package swbackend sends sub-requests to backend servers. For each server it keeps a connection pool, a queue for the
// server's slots, and its observed latency, crashes and leaving state.
package swbackend

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// SubRequest is the part of a query that one backend server answers, for one shard.
type SubRequest struct {
	// Server is the name of the backend server. Its address and limits come from the server list.
	Server  string
	QueryID uint64
	// Attempt identifies the attempt within the query. Its highest bit is kept free for resentBit.
	Attempt     uint64
	Caller      string
	Kind        string
	Index       string
	Snapshot    string
	Shard       int
	Query       string
	Limit       int
	Priority    swrule.Priority
	Cohort      uint16
	Fingerprint uint64
	// RunKey is the idempotency key of non-idempotent work, which is sent to the backend server. It is empty for
	// idempotent work.
	RunKey string
	// Deadline is the local time by which the answer must have arrived.
	Deadline time.Time
}

// Idempotent reports whether the request may be sent more than once.
func (subRequest *SubRequest) Idempotent() bool {
	return subRequest.RunKey == ""
}

// Hit is one matching document.
type Hit struct {
	ID    string  `cbor:"1,keyasint"`
	Score float64 `cbor:"2,keyasint,omitempty"`
	Shard int     `cbor:"3,keyasint,omitempty"`
	Text  string  `json:",omitempty" cbor:"4,keyasint,omitempty"`
}

// Outcome classifies an answer from a backend server or from the owner, the VM that sends to it.
type Outcome int

// The outcomes. Only Answered comes with hits.
const (
	// Answered means the backend server ran the request and echoed its identity.
	Answered Outcome = 0
	// Shed means the owner or the server refused the request for lack of capacity; it did not run.
	Shed Outcome = 1
	// Late means the request could not or did not finish by its deadline.
	Late Outcome = 2
	// SnapshotNotHeld means the server does not hold the snapshot; the request did not run.
	SnapshotNotHeld Outcome = 3
	// ServerLeaving means the server accepts no new work; the request did not run.
	ServerLeaving Outcome = 4
	// Unreachable means no connection could be opened; the request did not run.
	Unreachable Outcome = 5
	// Broken means the connection failed or was unresponsive, or the response did not echo the request.
	Broken Outcome = 6
	// Failed means the server answered with an error.
	Failed Outcome = 7
	// Cancelled means the root, the VM that received the query, cancelled the request.
	Cancelled Outcome = 8
	// UnknownServer means no server list contains the server; the request did not run.
	UnknownServer Outcome = 9
)

var outcomeNames = [...]string{
	"Answered", "Shed", "Late", "SnapshotNotHeld", "ServerLeaving", "Unreachable", "Broken", "Failed", "Cancelled", "UnknownServer",
}

// String returns the outcome's name.
func (outcome Outcome) String() string {
	return outcomeNames[outcome]
}

// Answer is the result of a SubRequest.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// Ran is whether the backend server ran the request, where known.
	Ran  swcode.Ran  `cbor:"2,keyasint"`
	Code swcode.Code `cbor:"3,keyasint,omitempty"`
	// Message describes the failure for logs and refusals.
	Message string           `cbor:"4,keyasint,omitempty"`
	Hits    []Hit            `cbor:"5,keyasint,omitempty"`
	Counts  map[string]int64 `cbor:"6,keyasint,omitempty"`
	// QueueWait is the time spent in the owner's queue.
	QueueWait time.Duration `cbor:"7,keyasint,omitempty"`
	// Service is the time between the first byte sent and the last byte read.
	Service time.Duration `cbor:"8,keyasint,omitempty"`
	// Crash reports whether the connection was lost while the request was in flight, which is evidence for quarantine.
	Crash bool `cbor:"9,keyasint,omitempty"`
	// InFlight is the number of this VM's requests that were in flight at the server when it crashed.
	InFlight int `cbor:"10,keyasint,omitempty"`
}
