package swrelay

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// CancelGrace is how long a cancelled attempt may still be answered, so that its connection can be reused. It is slightly longer
// than replicas commonly stall. For a relayed attempt only the sender applies it, so that the replica learns of the cancellation
// within half a second.
const CancelGrace = 300 * time.Millisecond

// maxDetoured bounds the attempts that this VM sends at a time for VMs that have lost their links. Each takes about 20 KB, so that
// they fit beside the requests of this VM's own clients on the smallest VMs.
const maxDetoured = 512

// minTimeLeft is the minimum remaining time for which an attempt is worth sending.
const minTimeLeft = time.Millisecond

// Codec encodes attempts and matches responses to requests.
type Codec interface {
	// Encode returns the bytes of an attempt with the given time left.
	Encode(attempt *Attempt, timeLeft time.Duration) []byte
	// IsResponseTo reports whether a response belongs to the client's request with that ID.
	IsResponseTo(status int, header http.Header, requestID string) bool
}

// ServerConfig holds the parameters of a Server.
type ServerConfig struct {
	Replicas *swreplica.Registry
	Codec    Codec
	// Leaving reports whether this VM is about to stop.
	Leaving func() bool
	// Ready reports whether this VM knows which data centres are evacuated. Nil means that it does.
	Ready func() bool
}

// Server runs attempts for other VMs at replicas near this one.
type Server struct {
	config ServerConfig
	// detoured is the number of attempts with AnyDistance in progress.
	detoured atomic.Int64
	sendings sendingTable
}

// NewServer returns a server.
func NewServer(config ServerConfig) *Server {
	return &Server{config: config}
}

// Handle runs one attempt; it is the handler of swpeer.MethodRelay. The sender cancels an attempt through the context, which also ends when
// the reply has been sent.
func (server *Server) Handle(ctx context.Context, _ string, attempt Attempt) (Reply, error) {
	replica := server.config.Replicas.Find(attempt.Replica)
	now := time.Now()
	if reply, declined := server.decline(&attempt, replica); declined {
		return reply, nil
	}
	if !replica.Admit(now) {
		return heldReply(replica, now), nil
	}
	if attempt.AnyDistance {
		server.detoured.Add(1)
		defer server.detoured.Add(-1)
	}
	deadline := now.Add(attempt.Left)
	request := NewRequest(&attempt, replica, server.config.Codec, deadline)
	if attempt.Whole {
		sendings, end := server.sendings.begin(now, attempt.RequestID, deadline)
		defer func() { end(time.Now()) }()
		request.Sendings = sendings
	}
	replica.Reserve()
	result := replica.Exchange(ctx, request)
	if result.Response.Counts() {
		// The context ends once the reply is sent.
		context.AfterFunc(ctx, result.Response.Release)
	}
	return newReply(&attempt, &result), nil
}

// decline returns the reply to an attempt that this VM can't send, whatever the rate that the replica takes.
func (server *Server) decline(attempt *Attempt, replica *swreplica.Replica) (reply Reply, declined bool) {
	switch {
	case server.config.Leaving():
		reply = notSent(swreplica.FaultRelay, "this VM is leaving")
		reply.Leaving = true
	case server.config.Ready != nil && !server.config.Ready():
		reply = notSent(swreplica.FaultRelay, "this VM has just started and has not received the evacuated data centres")
	case replica == nil:
		reply = notSent(swreplica.FaultRefused, "the replica is unknown at this VM")
	case len(attempt.Homes) > 0 && !slices.Contains(attempt.Homes, replica.Region()):
		reply = notSent(swreplica.FaultUnknown, "the replica is outside the regions that may run the request")
	case replica.Distance() == swreplica.OtherRegion && !attempt.AnyDistance:
		reply = notSent(swreplica.FaultRefused, "the replica is not near this VM")
	case replica.InUse() && replica.ReadyIn(time.Now()) > 0:
		reply = heldReply(replica, time.Now())
	case !replica.Direct():
		reply = notSent(swreplica.FaultRelay, "this VM does not reach the data centre of the replica")
	case !replica.Available():
		reply = notSent(swreplica.FaultReplica, "the replica is leaving or unreachable at this VM")
	case attempt.AnyDistance && (server.detoured.Load() >= maxDetoured || replica.ConnectionsBusy()):
		reply = notSent(swreplica.FaultRefused, "this VM has no room for requests of others")
	default:
		return Reply{}, false
	}
	return reply, true
}

// notSent is the reply to an attempt that this VM did not send.
func notSent(fault swreplica.Fault, reason string) Reply {
	return Reply{Outcome: swreplica.NotSent, Fault: fault, Reason: reason}
}

// HandleReach says which data centres this VM reaches; it is the handler of swpeer.MethodReach.
func (server *Server) HandleReach(context.Context, string, ReachRequest) (ReachReply, error) {
	if server.config.Leaving() || server.config.Ready != nil && !server.config.Ready() {
		return ReachReply{}, nil
	}
	return ReachReply{DataCentres: server.config.Replicas.Reached()}, nil
}

// heldReply is the reply to an attempt at a replica that wants no request from this VM now.
func heldReply(replica *swreplica.Replica, now time.Time) Reply {
	return Reply{Outcome: swreplica.NotSent, Reason: "the replica takes no more from this VM now", RetryAfter: max(1, replica.ReadyIn(now))}
}

// NewRequest returns a request that sends the attempt directly to its replica, with the time that is left until the deadline when
// it is sent. Nothing is sent if the replica is leaving or too little time is left. The caller has just admitted the attempt.
func NewRequest(attempt *Attempt, replica *swreplica.Replica, codec Codec, deadline time.Time) *swreplica.Request {
	return &swreplica.Request{
		Method: attempt.Method,
		Encode: func(now time.Time) ([]byte, bool) {
			timeLeft := deadline.Sub(now)
			if timeLeft < minTimeLeft || !replica.AcceptsWork() {
				return nil, false
			}
			return codec.Encode(attempt, timeLeft), true
		},
		Accept: func(status int, header http.Header) bool {
			return codec.IsResponseTo(status, header, attempt.RequestID)
		},
		Deadline:   deadline,
		AdmittedAt: time.Now(),
		Repeatable: !attempt.Once,
	}
}
