package swgateway

import (
	"net/http"
	"time"
)

// RequestInfo is the metadata in the headers of a client's request.
type RequestInfo struct {
	// ID identifies the client's request; empty if it has none.
	ID string
	// Timeout is how long the client will wait; zero if the request does not state it.
	Timeout time.Duration
	// Key is the key of the tenant; empty if the request has none or several. It is secret.
	Key string
}

// ResponseInfo is the metadata in the headers of a replica's response.
type ResponseInfo struct {
	// RequestID is the ID of the request to which the response belongs; empty if it does not state it.
	RequestID string
	// Signature proves which replica answered which request.
	Signature string
	// NotRun is set if the replica has not run the request and will not run it.
	NotRun bool
	// ImpliesNotRun is set if clients conclude from the status alone that the request has not run.
	ImpliesNotRun bool
	// WrongReplica is set if the address now belongs to another replica.
	WrongReplica bool
}

// AttemptInfo is what an attempt states in addition to the client's own headers.
type AttemptInfo struct {
	// Replica is the ID of the only replica that may run the request.
	Replica string
	// Timeout is how long the replica may work.
	Timeout time.Duration
}

// Protocol reads and writes the headers of requests and responses.
type Protocol interface {
	// ReadRequestInfo reads the headers of a client's request.
	ReadRequestInfo(header http.Header) RequestInfo
	// IsAttemptHeader reports whether AppendAttemptHeaders replaces this header of a client's request.
	IsAttemptHeader(name string) bool
	// IsTenantHeader reports whether this header of a client's request states a key or a tenant.
	IsTenantHeader(name string) bool
	// AppendTenantHeader appends the header line that tells replicas whose request it is.
	AppendTenantHeader(buffer []byte, tenant string) []byte
	// AppendAttemptHeaders appends the header lines of an attempt.
	AppendAttemptHeaders(buffer []byte, attemptInfo AttemptInfo) []byte
	// ReadResponseInfo reads the headers of a replica's response.
	ReadResponseInfo(status int, header http.Header) ResponseInfo
	// WriteGatheredHeaders sets the headers that list the answers in a gathered answer and count the missing ones.
	WriteGatheredHeaders(header http.Header, signatures []string, missing int)
}
