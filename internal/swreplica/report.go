package swreplica

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

// Report is what a replica says about itself in the header of a response.
type Report struct {
	// RequestID is the ID of the request to which the response belongs; empty if it does not state it.
	RequestID string
	// Succeeded is set for a response with a 2xx status.
	Succeeded bool
	// Leaving is set if the replica is about to stop and wants no further requests.
	Leaving bool
	// RateLimit is the number of requests per second that the replica takes from all VMs together; zero if it names none.
	RateLimit float64
	// RetryAfter is how long the replica wants no requests from this VM, counted from the response that rejected one; else zero.
	RetryAfter time.Duration
	// SaysWarmUp is set if the replica says how much longer it is cold, and WarmUpLeft is that time.
	SaysWarmUp bool
	WarmUpLeft time.Duration
	// SaysLoad is set if the replica says how loaded it is, and Load is that.
	SaysLoad bool
	Load     Load
}

// rateLimitTolerance is the fraction by which a replica's rate limit may change without a log line.
const rateLimitTolerance = 0.2

// returnSpread is the fraction of the time that a replica asked for over which the VMs that it rejected return to it.
const returnSpread = 0.2

// reportState is what one process of a replica has said about itself. It is safe for concurrent use; the zero value is that of a process
// that has said nothing.
type reportState struct {
	// leaving is set once the process has said that it leaves.
	leaving atomic.Bool
	// rateLimiter limits the requests of this VM to its share of what the process takes.
	rateLimiter rateLimiter
	// load is the latest load that the process reported; nil if none.
	load  atomic.Pointer[loadReport]
	mutex sync.Mutex
	// heldUntil is until when the process wants no requests from this VM, and relaysHeldUntil until when relays have used up their share of
	// its rate.
	heldUntil       time.Time
	relaysHeldUntil time.Time
}

// holdOff sets the time for which the process wants no requests, unless a longer one is set.
func (reportState *reportState) holdOff(now time.Time, wait time.Duration) {
	reportState.mutex.Lock()
	defer reportState.mutex.Unlock()
	if until := now.Add(wait); until.After(reportState.heldUntil) {
		reportState.heldUntil = until
	}
}

// heldFor returns for how long the process wants no requests; it is negative if it wants them.
func (reportState *reportState) heldFor(now time.Time) time.Duration {
	reportState.mutex.Lock()
	defer reportState.mutex.Unlock()
	return reportState.heldUntil.Sub(now)
}

// ReadReport reads the report in a response's header. ok is false for the response of another replica, such as one at an address
// that is used again.
type ReadReport func(status int, header http.Header) (report Report, ok bool)

// readReport reads the report in the header of a response on one of the replica's connections. It sees every response: those of
// attempts for which nobody waits any more, those whose body breaks off, and those that answer no request. The latter may be late copies,
// which are no news of what the replica takes; but a replica that once said that it leaves still does.
func (replica *Replica) readReport(connection *swconn.Connection, status int, header http.Header, matched bool) {
	replica.place.heard(connection.OpenedAt)
	if replica.pool.config.ReadReport == nil {
		return
	}
	report, ok := replica.pool.config.ReadReport(status, header)
	switch {
	case !ok:
	case matched:
		replica.ObserveReport(time.Now(), report)
	case report.Leaving:
		replica.observeLeaving(report)
	}
}

// ObserveReport applies what the replica said about itself in a response.
func (replica *Replica) ObserveReport(now time.Time, report Report) {
	if report.Leaving {
		replica.observeLeaving(report)
	}
	if report.RetryAfter > 0 {
		replica.observeRetryAfter(now, report)
	}
	if report.SaysLoad {
		replica.observeLoad(now, report.Load)
	}
	if report.SaysWarmUp {
		replica.observeWarmUp(now, report)
	}
	// A rejection or a failure without a limit doesn't lift it: these may come from another part of the server.
	if report.RateLimit > 0 || report.Succeeded {
		replica.observeRateLimit(now, report)
	}
}

// observeRetryAfter sends the replica nothing until the time that it named has passed. It is for a replica that is short of capacity for
// seconds and rejects what it gets: more attempts would cost it work and take the retry budget from the other replicas.
func (replica *Replica) observeRetryAfter(now time.Time, report Report) {
	alreadyHeld := !replica.AcceptsWork()
	wait := min(swconn.MaxRetryAfter, report.RetryAfter)
	replica.HoldOff(now, wait+time.Duration(returnSpread*rand.Float64()*float64(wait)))
	if alreadyHeld {
		return
	}
	replica.pool.config.CountEvent("replicas_held_off", 1)
	replica.reportLine(report).Dur("RetryAfter", report.RetryAfter).Msg("a replica wants no requests for a while")
}

// observeRateLimit applies the rate limit of a response, or lifts the limit if the response names none.
func (replica *Replica) observeRateLimit(now time.Time, report Report) {
	share := 0.0
	if report.RateLimit > 0 {
		share = rateShare(report.RateLimit, replica.distance, replica.pool.config.VMCounts(replica.entry.Load().DataCentre))
	}
	former := replica.reports.rateLimiter.set(now, report.RateLimit, share)
	if math.Abs(report.RateLimit-former) <= rateLimitTolerance*former {
		return
	}
	replica.pool.config.CountEvent("replica_rate_limits_changed", 1)
	replica.reportLine(report).Float64("Former", former).Float64("Limit", report.RateLimit).Float64("Share", share).
		Msg("a replica changed the rate that it takes from all VMs")
}

// Admit takes one request from this VM's share of the rate that the replica takes, and of what it takes while it is cold. It returns false if
// one of them is used up.
func (replica *Replica) Admit(now time.Time) bool {
	return replica.reports.rateLimiter.take(now) && replica.takeCold(now)
}

// ReadyIn returns how long it takes until the replica may get another request; zero if it may get one now.
func (replica *Replica) ReadyIn(now time.Time) time.Duration {
	return max(0, replica.reports.heldFor(now), replica.reports.rateLimiter.wait(now), replica.coldWait(now))
}

// HoldOff sends the replica nothing for a time.
func (replica *Replica) HoldOff(now time.Time, wait time.Duration) {
	replica.reports.holdOff(now, wait)
}

// HoldOffRelays sends the replica nothing through relays for a time. Requests that are sent directly use this VM's own share of its rate.
func (replica *Replica) HoldOffRelays(now time.Time, wait time.Duration) {
	replica.reports.mutex.Lock()
	defer replica.reports.mutex.Unlock()
	replica.reports.relaysHeldUntil = now.Add(wait)
}

// RelaysReadyIn returns how long it takes until an attempt may be sent through a relay; zero if it may be sent now.
func (replica *Replica) RelaysReadyIn(now time.Time) time.Duration {
	replica.reports.mutex.Lock()
	defer replica.reports.mutex.Unlock()
	return max(0, replica.reports.relaysHeldUntil.Sub(now))
}

// observeLeaving takes a replica out of use that said that it leaves, whatever the platform's list says: a VM may be cut off from
// the platform while it reaches the replica. This can't be withdrawn; the next incarnation of the replica is another Replica.
func (replica *Replica) observeLeaving(report Report) {
	if !replica.reports.leaving.CompareAndSwap(false, true) {
		return
	}
	replica.pool.config.CountEvent("replicas_said_leaving", 1)
	replica.reportLine(report).Bool("Listed", !replica.entry.Load().Leaving).Msg("a replica says that it leaves")
}

// reportLine begins a log line about what the replica said. It has no key Request, which would make it a line about the request.
func (replica *Replica) reportLine(report Report) *zerolog.Event {
	return replica.pool.config.Log.Info().Str("Replica", replica.ID()).Str("Service", replica.entry.Load().Service).
		Str("InResponseTo", report.RequestID)
}
