// Package swgateway passes clients' HTTP requests on to backend servers: to one replica of a service, or to one replica of
// each shard with the answers merged. It runs on the same gather as the search API and differs in what goes over the wire.
package swgateway

import (
	"net/http"
	"time"
)

// Envelope is what a client's request says about itself.
type RequestInfo struct {
	// ID names the client's attempt; empty when the request has none.
	ID string
	// Left is how long the client will wait; zero when it does not say.
	Timeout time.Duration
}

// Mark is what a replica's response says about itself.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response answers; empty when it does not say.
	RequestID string
	// Signature proves which replica answered which request.
	Signature string
	// NotRun states that the replica did not run the request and will not.
	NotRun bool
	// OtherReplica states that the address belongs to another replica now.
	WrongReplica bool
}

// Attempt is what a replica is told beside the client's own request.
type AttemptInfo struct {
	// Replica is the only one that may run the request.
	Replica string
	// Left is how long the replica may work.
	Timeout time.Duration
}

// Protocol knows the headers of requests and answers.
type Protocol interface {
	// ReadEnvelope reads a client's request.
	ReadRequestInfo(header http.Header) RequestInfo
	// Reserved reports whether a header of a client's request is replaced for each attempt.
	IsAttemptHeader(name string) bool
	// AppendAttempt appends the header lines of an attempt.
	AppendAttemptHeaders(buffer []byte, attemptInfo AttemptInfo) []byte
	// ReadMark reads a replica's response.
	ReadResponseInfo(status int, header http.Header) ResponseInfo
	// WriteGathered tells a client which answers are in a gathered one, and how many are missing.
	WriteGatheredHeaders(header http.Header, signatures []string, missing int)
}
