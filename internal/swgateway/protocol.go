// Package swgateway passes clients' HTTP requests on to backend servers: to one replica of a service, or to one replica of
// each shard with the answers merged. It runs on the same gather as the search API and differs in what goes over the wire.
package swgateway

import (
	"net/http"
	"time"
)

// Envelope is what a client's request says about itself.
type Envelope struct {
	// ID names the client's attempt; empty when the request has none.
	ID string
	// Left is how long the client will wait; zero when it does not say.
	Left time.Duration
}

// Mark is what a replica's response says about itself.
type Mark struct {
	// RequestID is the ID of the request that the response answers; empty when it does not say.
	RequestID string
	// Signature proves which replica answered which request.
	Signature string
	// NotRun states that the replica did not run the request and will not.
	NotRun bool
	// OtherReplica states that the address belongs to another replica now.
	OtherReplica bool
}

// Attempt is what a replica is told beside the client's own request.
type Attempt struct {
	// Replica is the only one that may run the request.
	Replica string
	// Left is how long the replica may work.
	Left time.Duration
}

// Protocol knows the headers of requests and answers.
type Protocol interface {
	// ReadEnvelope reads a client's request.
	ReadEnvelope(header http.Header) Envelope
	// Reserved reports whether a header of a client's request is replaced for each attempt.
	Reserved(name string) bool
	// AppendAttempt appends the header lines of an attempt.
	AppendAttempt(buffer []byte, attempt Attempt) []byte
	// ReadMark reads a replica's response.
	ReadMark(status int, header http.Header) Mark
	// WriteGathered tells a client which answers are in a gathered one, and how many are missing.
	WriteGathered(header http.Header, signatures []string, missing int)
}
