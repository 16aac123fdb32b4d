package swrelay

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// Linger is how long an attempt that was withdrawn may still be answered, so that its connection is kept: a little more than
// replicas commonly stand still. The sender of a relayed attempt waits for it, and the relay none beside, so that a replica hears
// within half a second that nobody waits any more.
const CancelGrace = 300 * time.Millisecond

// leastLeft is the least time in which an attempt can still be of use.
const leastLeft = time.Millisecond

// Codec knows what goes over the wire to replicas.
type Codec interface {
	// Encode returns the bytes of an attempt that is sent with so much time left.
	Encode(attempt *Attempt, left time.Duration) []byte
	// Answers reports whether a response answers the client's request of that ID.
	IsResponseTo(response *swconn.Response, requestID string) bool
}

// ServerConfig holds what a Server is built from.
type ServerConfig struct {
	Replicas *swreplica.Registry
	Codec    Codec
	// Leaving reports whether this VM is about to stop.
	Leaving func() bool
}

// Server carries out attempts for other VMs at replicas near this one.
type Server struct {
	config ServerConfig
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config}
}

// Handle carries out one attempt; it is the handler of swpeer.MethodRelay. The context ends when the sender withdraws it.
func (server *Server) Handle(ctx context.Context, _ string, attempt Attempt) (Reply, error) {
	replica := server.config.Replicas.Find(attempt.Replica)
	switch {
	case server.config.Leaving():
		return Reply{Outcome: swreplica.NotSent, Reason: "this VM is leaving", Leaving: true}, nil
	case replica == nil || !replica.Available():
		return Reply{Outcome: swreplica.NotSent, Reason: "the replica cannot be reached from here"}, nil
	case replica.Distance() == swreplica.OtherRegion:
		return Reply{Outcome: swreplica.NotSent, Reason: "the replica is not near this VM"}, nil
	}
	deadline := time.Now().Add(attempt.Left)
	replica.Reserve()
	result := replica.Exchange(ctx, NewRequest(&attempt, replica, server.config.Codec, deadline, 0))
	return newReply(&result), nil
}

// NewRequest returns an attempt as it is sent straight to its replica, with what is left until the deadline then. Nothing is sent
// to a replica that has begun to leave, or too late to be of use.
func NewRequest(attempt *Attempt, replica *swreplica.Replica, codec Codec, deadline time.Time, linger time.Duration) *swreplica.Request {
	return &swreplica.Request{
		Method: attempt.Method,
		Encode: func(now time.Time) ([]byte, bool) {
			left := deadline.Sub(now)
			if left < leastLeft || !replica.AcceptsWork() {
				return nil, false
			}
			return codec.Encode(attempt, left), true
		},
		Accept:      func(response *swconn.Response) bool { return codec.IsResponseTo(response, attempt.RequestID) },
		Deadline:    deadline,
		CancelGrace: linger,
	}
}
