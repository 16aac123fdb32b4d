package swreplica

import (
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

// Report is what a replica says about itself in the header of a response.
type Report struct {
	// RequestID is the ID of the request to which the response belongs; empty if it does not state it.
	RequestID string
	// Leaving is set if the replica is about to stop and wants no further requests.
	Leaving bool
}

// ReadReport reads the report in a response's header. ok is false for the response of another replica, such as one at an address
// that is used again.
type ReadReport func(status int, header http.Header) (report Report, ok bool)

// readReport reads the report in the header of a response on one of the replica's connections. It sees every response: those of
// attempts for which nobody waits any more, those whose body breaks off, and those that answer no request.
func (replica *Replica) readReport(_ *swconn.Connection, status int, header http.Header) {
	if replica.pool.config.ReadReport == nil {
		return
	}
	if report, ok := replica.pool.config.ReadReport(status, header); ok {
		replica.ObserveReport(time.Now(), report)
	}
}

// ObserveReport applies what the replica said about itself in a response.
func (replica *Replica) ObserveReport(_ time.Time, report Report) {
	if report.Leaving {
		replica.observeLeaving(report)
	}
}

// observeLeaving takes a replica out of use that said that it leaves, whatever the platform's list says: a VM may be cut off from
// the platform while it reaches the replica. A replica never takes the word back; its next incarnation is another Replica.
func (replica *Replica) observeLeaving(report Report) {
	if !replica.saidLeaving.CompareAndSwap(false, true) {
		return
	}
	replica.pool.config.CountEvent("replicas_said_leaving", 1)
	replica.pool.config.Log.Info().Str("Replica", replica.ID()).Str("Request", report.RequestID).Bool("Listed", !replica.entry.Load().Leaving).
		Msg("a replica says that it leaves")
}
