// Package swrelay sends attempts at replicas of other regions through a VM near them.
//
// A search over dozens of shards meets a stalled replica at nearly every request, and the shard's other replicas may be in
// another region. A new connection to one of them takes two long round trips until the first answer, counts towards the
// connections that the replica accepts, and is idle afterwards. A VM near the replica has connections in use, and a single QUIC
// connection to that VM carries the attempts for all replicas there.
//
// A VM that has lost its links to the replicas of a data centre sends attempts of all kinds through another VM that still reaches them. When a
// relay fails, it is unknown whether the attempt ran; a relay that says that it sent nothing is believed.
package swrelay

import (
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// Attempt is one attempt at a replica, as sent to a relay.
type Attempt struct {
	// Replica is the ID of the only replica that may run the request.
	Replica string `cbor:"1,keyasint"`
	Method  string `cbor:"2,keyasint"`
	// RequestID is the ID of the client's request, which the replica repeats in its response.
	RequestID string `cbor:"3,keyasint"`
	// Head is the encoded request line with the headers that are the same for all attempts; Body is the request's body.
	Head []byte `cbor:"4,keyasint"`
	Body []byte `cbor:"5,keyasint,omitempty"`
	// Left is the time that remains for the attempt, counted from its sending.
	Left time.Duration `cbor:"6,keyasint"`
	// Homes are the only regions whose replicas may run the request; empty for all.
	Homes []string `cbor:"7,keyasint,omitempty"`
	// AnyDistance is set if the sender has lost its links to the replica, so that a VM in any region may relay the attempt.
	AnyDistance bool `cbor:"8,keyasint,omitempty"`
	// Whole is set if the client gets the replica's response itself, with all headers.
	Whole bool `cbor:"9,keyasint,omitempty"`
	// Once is set for a request that may run only once.
	Once bool `cbor:"10,keyasint,omitempty"`
}

// Reply is the result of a relayed attempt.
type Reply struct {
	Outcome swreplica.Outcome `cbor:"1,keyasint"`
	// Status, Header and Body are the replica's response if the outcome is Answered.
	Status int         `cbor:"2,keyasint,omitempty"`
	Header http.Header `cbor:"3,keyasint,omitempty"`
	Body   []byte      `cbor:"4,keyasint,omitempty"`
	// Reason is why there is no response, for the log.
	Reason string `cbor:"5,keyasint,omitempty"`
	// Leaving is set when the relay is about to stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// RetryAfter is when the replica may get another request from the relay, if its rate limit prevented this one or it is cold.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
	// Fault is what prevented the sending if the outcome is NotSent. FaultLinks, of the relay, arrives as FaultRelay.
	Fault swreplica.Fault `cbor:"8,keyasint,omitempty"`
}

// droppedHeaders are response headers that the sender does not need.
var droppedHeaders = []string{"Connection", "Keep-Alive", "Content-Length", "Content-Type", "Date"}

const (
	// maxReplySize is the size in bytes up to which a relay passes on a response, so that it fits a message with its framing.
	maxReplySize = swpeer.MaxFrame - 64<<10
	// fieldFraming bounds the bytes by which the framing of a header field may exceed the field.
	fieldFraming = 16
)

// replySize bounds the encoded size of a response.
func replySize(response *swconn.Response) int {
	size := len(response.Body)
	for name, values := range response.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldFraming
		}
	}
	return size
}

// newReply encodes the result of an attempt.
func newReply(attempt *Attempt, result *swreplica.Result) Reply {
	reply := Reply{Outcome: result.Outcome, RetryAfter: result.RetryAfter, Fault: result.Fault}
	if result.Fault == swreplica.FaultLinks {
		reply.Fault = swreplica.FaultRelay
	}
	if result.Err != nil {
		reply.Reason = result.Err.Error()
	}
	if result.Response != nil && replySize(result.Response) > maxReplySize {
		return Reply{Outcome: swreplica.Overlong, Reason: "the response is larger than a relay passes on"}
	}
	if result.Response != nil {
		reply.Status, reply.Header, reply.Body = result.Response.Status, result.Response.Header, result.Response.Body
		if attempt.Whole {
			return reply
		}
		for _, name := range droppedHeaders {
			delete(reply.Header, name)
		}
	}
	return reply
}

// response decodes the replica's response.
func (reply *Reply) response() *swconn.Response {
	return &swconn.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}
