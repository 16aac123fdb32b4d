// Package swbackend owns the conversation with backend servers: connections, slots, queues and what is observed of each.
package swbackend

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// SubRequest is the part of a query that one backend server answers for one shard.
type SubRequest struct {
	// Server names the backend server; its address and limits come from the server list.
	Server      string
	QueryID     uint64
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
	// RunKey is set for non-idempotent work and is sent to the backend server.
	RunKey string
	// Deadline is the local time by which the answer must be here.
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

// Outcome classifies an answer of a backend server or of its owner.
type Outcome int

// The outcomes. All but Answered carry no hits.
const (
	// Answered means the backend server ran the request and echoed its identity.
	Answered Outcome = 0
	// Shed means the owner or the server refused it for want of capacity; it did not run.
	Shed Outcome = 1
	// Late means it could not or did not finish by its deadline.
	Late Outcome = 2
	// SnapshotNotHeld means the server does not hold the snapshot; it did not run.
	SnapshotNotHeld Outcome = 3
	// ServerLeaving means the server takes no new work; it did not run.
	ServerLeaving Outcome = 4
	// Unreachable means no connection could be made; it did not run.
	Unreachable Outcome = 5
	// Broken means the connection failed or went silent, or the answer did not echo the request.
	Broken Outcome = 6
	// Failed means the server answered with an error.
	Failed Outcome = 7
	// Cancelled means the root withdrew the request.
	Cancelled Outcome = 8
	// UnknownServer means no server list names the server; it did not run.
	UnknownServer Outcome = 9
)

var outcomeNames = [...]string{
	"Answered", "Shed", "Late", "SnapshotNotHeld", "ServerLeaving", "Unreachable", "Broken", "Failed", "Cancelled", "UnknownServer",
}

// String returns the outcome's name.
func (outcome Outcome) String() string {
	return outcomeNames[outcome]
}

// Answer is what came of a SubRequest.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// Ran tells whether the backend server may have run the request.
	Ran  swcode.Ran  `cbor:"2,keyasint,omitempty"`
	Code swcode.Code `cbor:"3,keyasint,omitempty"`
	// Message names the fault for logs and refusals.
	Message string           `cbor:"4,keyasint,omitempty"`
	Hits    []Hit            `cbor:"5,keyasint,omitempty"`
	Counts  map[string]int64 `cbor:"6,keyasint,omitempty"`
	// QueueWait is the time spent in the owner's queue.
	QueueWait time.Duration `cbor:"7,keyasint,omitempty"`
	// Service is the time between the first byte sent and the last read.
	Service time.Duration `cbor:"8,keyasint,omitempty"`
	// Crash marks a connection that died while the request was in flight: evidence for quarantine.
	Crash bool `cbor:"9,keyasint,omitempty"`
	// InFlight is the number of requests that were in flight at the server when it crashed.
	InFlight int `cbor:"10,keyasint,omitempty"`
}
