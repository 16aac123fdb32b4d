// Package swrelay sends attempts for replicas of other regions through a VM near them. It answers the load in which a search
// over dozens of shards meets a replica that stands still at nearly every attempt, and its other replicas are a long way off:
// a connection of its own to one of them costs two long round trips before the first answer, counts against the connections
// that the replica takes, and stands idle afterwards. A VM beside the replica has connections in use, and one QUIC connection
// to that VM carries the attempts for all replicas there.
//
// Only work that may be repeated is relayed: when a relay is lost, nobody can tell whether the attempt ran.
package swrelay

import (
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// Attempt is one attempt at a replica, as it travels to a relay.
type Attempt struct {
	// Replica is the ID of the only replica that may run the request.
	Replica string `cbor:"1,keyasint"`
	Method  string `cbor:"2,keyasint"`
	// RequestID names the client's request, which the replica's answer repeats.
	RequestID string `cbor:"3,keyasint"`
	// Head is the encoded request line and the headers that all attempts share, Body the request's body.
	Head []byte `cbor:"4,keyasint"`
	Body []byte `cbor:"5,keyasint,omitempty"`
	// Left is how long the attempt may take from its sending on.
	Left time.Duration `cbor:"6,keyasint"`
}

// Reply is what became of a relayed attempt.
type Reply struct {
	Outcome swreplica.Outcome `cbor:"1,keyasint"`
	// Status, Header and Body are the replica's response, when the outcome is Answered.
	Status int         `cbor:"2,keyasint,omitempty"`
	Header http.Header `cbor:"3,keyasint,omitempty"`
	Body   []byte      `cbor:"4,keyasint,omitempty"`
	// Reason is why there is no response, for the log.
	Reason string `cbor:"5,keyasint,omitempty"`
	// Leaving tells that the relay is about to stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
}

// droppedHeaders are those of a replica's response that say nothing about the answer.
var droppedHeaders = []string{"Connection", "Keep-Alive", "Content-Length", "Content-Type", "Date"}

// newReply encodes the end of an attempt.
func newReply(result *swreplica.Result) Reply {
	reply := Reply{Outcome: result.Outcome}
	if result.Err != nil {
		reply.Reason = result.Err.Error()
	}
	if result.Response != nil {
		reply.Status, reply.Header, reply.Body = result.Response.Status, result.Response.Header, result.Response.Body
		for _, name := range droppedHeaders {
			delete(reply.Header, name)
		}
	}
	return reply
}

// response returns the replica's response.
func (reply *Reply) response() *swconn.Response {
	return &swconn.Response{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}
