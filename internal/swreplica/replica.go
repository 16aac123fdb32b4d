// Package swreplica maintains the replicas of services: the list of them, the latency and failures that this VM observes, the
// choice of a replica for a request, and the connections.
package swreplica

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// latencyWeight is the weight of a new answer in a replica's moving average; about the last five answers count.
	latencyWeight = 0.2
	// latencyClipFactor bounds a new answer's latency to this multiple of the average. A single answer from a stalled replica
	// then changes the average little, and several slow ones in a row change it much.
	latencyClipFactor = 4
	// latencyHalfLife is the time without answers after which an average has moved halfway back to that of the service.
	latencyHalfLife = 5 * time.Second
	// floorDecreaseWeight and floorIncreaseWeight are the weights of an answer in a replica's latency floor, for answers below
	// and above it.
	floorDecreaseWeight = 0.2
	floorIncreaseWeight = 0.005
	// queueFactor is the ratio of a replica's average latency to its floor above which the replica is taken to have a queue.
	queueFactor = 2.5
	// failureWeight is the weight of an attempt in the failure rate of a replica. failureHalfLife is the time without attempts
	// after which the rate has halved.
	failureWeight   = 0.1
	failureHalfLife = 3 * time.Second
	// inFlightLimitIncrease is added to the in-flight limit of a replica by each answer, which makes about one extra attempt in
	// ten answers. inFlightLimitDecrease is the fraction of the requests in flight that is left after a rejection. With this
	// additive increase and multiplicative decrease, VMs that do not know about each other converge to equal shares with few
	// rejections. The limit does not fall below the VM's even share of the replica's slots.
	inFlightLimitIncrease = 0.1
	inFlightLimitDecrease = 0.5
	// inFlightLimitDuration is how long the limit applies after the last rejection: bursts last for seconds.
	inFlightLimitDuration = 5 * time.Second
	// rejectionBackoff is how long a replica counts as rejecting after a rejection; a queue of a dozen requests of ten
	// milliseconds is done by then. It doubles with each further consecutive rejection, up to maxRejectionDoublings times, so
	// that the VMs of a fleet do not keep trying a replica that others fill.
	rejectionBackoff      = 100 * time.Millisecond
	maxRejectionDoublings = 4
	// minProbeInterval and maxProbeInterval bound the backoff between probes of a replica that cannot be reached. Only probes
	// open connections to it: if all requests did, they would flood a server that comes back or that has no connections left.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
)

// Replica is one replica with the state that this VM has observed.
type Replica struct {
	pool     *Pool
	place    *place
	distance Distance
	entry    atomic.Pointer[Entry]
	// reports is what the replica's process said about itself. It is shared with the former Replica of a process whose entry was removed
	// and came back.
	reports *reportState
	// coldLimited is set while the limits of cold replicas hold one for this replica.
	coldLimited atomic.Bool

	mutex sync.Mutex
	// warmUpEnd is when the replica finishes warming up.
	warmUpEnd time.Time
	// saidWarmUp is set if warmUpEnd is what the replica said in a response.
	saidWarmUp bool
	// unconfirmedUntil is until when the replica gets no requests because its entry was removed and is listed again in a former state; the
	// zero time otherwise.
	unconfirmedUntil time.Time
	// retired replicas are no longer listed.
	retired  bool
	inFlight map[*InFlightRequest]struct{}
	// reserved is the number of requests that wait for a connection. plainInFlight counts the plain requests, reserved or in flight.
	reserved        int
	plainInFlight   int
	idleConnections []*swconn.Connection
	openConnections map[*swconn.Connection]struct{}
	// dialing is the number of connections that are being opened.
	dialing int
	// freed is closed when a connection may have been released; nil while no request waits.
	freed          chan struct{}
	limit          connectionLimit
	averageLatency time.Duration
	// latencyFloor is the latency of an answer without a queue. It follows fast answers quickly and slow ones very slowly.
	latencyFloor time.Duration
	observedAt   time.Time
	rejectedAt   time.Time
	// consecutiveRejections is the number of rejections since the last answer.
	consecutiveRejections int
	// failureRate is the fraction of attempts that the replica rejects or fails, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// inFlightLimit is the number of this VM's requests that may be in flight at the replica. A rejection lowers it and each
	// answer raises it slightly; zero means that the replica has not rejected any request.
	inFlightLimit float64
	// down is set while the replica cannot be reached and probes are running.
	down bool
	// answeredAt is when the replica last answered any request, including with a rejection, and triedAt when this VM last tried to connect to
	// it to check its links.
	answeredAt time.Time
	triedAt    time.Time
}

// Entry returns the replica's entry in the platform's list.
func (replica *Replica) Entry() Entry {
	return *replica.entry.Load()
}

// ID returns the ID of the replica's incarnation.
func (replica *Replica) ID() string {
	return replica.entry.Load().ID
}

// Distance returns the distance of the replica from this VM.
func (replica *Replica) Distance() Distance {
	return replica.distance
}

// Candidate returns the state on which the choice of a replica depends. serviceLatency is the usual latency of its service.
func (replica *Replica) Candidate(now time.Time, serviceLatency time.Duration) Candidate {
	entry := replica.entry.Load()
	coldWait := replica.coldWait(now)
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	candidate := Candidate{
		Latency:          replica.expectedLatency(now, serviceLatency),
		ServiceLatency:   serviceLatency,
		InFlight:         len(replica.inFlight) + replica.reserved,
		Slots:            entry.Slots,
		Unreachable:      replica.down,
		PlainInFlight:    replica.plainInFlight,
		RecentlyRejected: now.Sub(replica.rejectedAt) < rejectionBackoff<<min(max(0, replica.consecutiveRejections-1), maxRejectionDoublings),
		RejectsFor:       max(0, rejectionBackoff-now.Sub(replica.rejectedAt)),
		FailureRate:      replica.decayedFailureRate(now),
		WarmingUp:        now.Before(replica.warmUpEnd),
		RateWait:         replica.reports.rateLimiter.wait(now),
		ColdWait:         coldWait,
		Distance:         replica.distance,
		Withheld:         replica.place.withheld(now),
	}
	candidate.LoadChange, candidate.LoadWeight = replica.reports.reportedLoad(now)
	if now.Sub(replica.rejectedAt) < inFlightLimitDuration {
		candidate.InFlightLimit = replica.inFlightLimit
	}
	for inFlightRequest := range replica.inFlight {
		candidate.OldestWait = max(candidate.OldestWait, now.Sub(inFlightRequest.sentAt))
	}
	return candidate
}

// expectedLatency returns the average latency, which moves towards that of the service as it ages. The caller holds the mutex.
func (replica *Replica) expectedLatency(now time.Time, serviceLatency time.Duration) time.Duration {
	if replica.observedAt.IsZero() {
		return serviceLatency
	}
	age := float64(now.Sub(replica.observedAt)) / float64(latencyHalfLife)
	return serviceLatency + time.Duration(float64(replica.averageLatency-serviceLatency)/(1+age*age))
}

// ExpectedLatency returns the same value as Candidate.Latency. serviceLatency is the usual latency of the replica's service.
func (replica *Replica) ExpectedLatency(now time.Time, serviceLatency time.Duration) time.Duration {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.expectedLatency(now, serviceLatency)
}

// HasQueue reports whether requests wait in the replica's queue, judged by its latency.
func (replica *Replica) HasQueue() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return float64(replica.averageLatency) > queueFactor*float64(replica.latencyFloor)
}

// decayedFailureRate returns the failure rate as of now. The caller holds the mutex.
func (replica *Replica) decayedFailureRate(now time.Time) float64 {
	if replica.failureRate == 0 {
		return 0
	}
	return replica.failureRate * math.Exp2(-float64(now.Sub(replica.failureRateAt))/float64(failureHalfLife))
}

// recordAttempt updates the failure rate; failed is 1 for an attempt that was rejected or failed, else 0. The caller holds the
// mutex.
func (replica *Replica) recordAttempt(now time.Time, failed float64) {
	replica.failureRate = replica.decayedFailureRate(now) + failureWeight*(failed-replica.decayedFailureRate(now))
	replica.failureRateAt = now
}

// ObserveLateResponse records the latency of a response that arrived after its attempt was cancelled. Without these, a slow
// replica would seem as fast as before, because attempts at it are cancelled.
func (replica *Replica) ObserveLateResponse(now time.Time, status int, latency time.Duration) {
	if status >= 200 && status < 300 {
		replica.ObserveLatency(now, latency)
	}
}

// ObserveLatency records the latency of a response that the caller accepted as an answer.
func (replica *Replica) ObserveLatency(now time.Time, latency time.Duration) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.recordAttempt(now, 0)
	replica.consecutiveRejections = 0
	if replica.inFlightLimit > 0 {
		replica.inFlightLimit += inFlightLimitIncrease
	}
	replica.answeredAt = now
	replica.down = false
	if replica.observedAt.IsZero() {
		replica.averageLatency, replica.latencyFloor = latency, latency
	} else {
		weight := floorIncreaseWeight
		if latency < replica.latencyFloor {
			weight = floorDecreaseWeight
		}
		replica.latencyFloor += time.Duration(weight * float64(latency-replica.latencyFloor))
		clipped := min(latency, latencyClipFactor*max(replica.averageLatency, time.Millisecond))
		replica.averageLatency += time.Duration(latencyWeight * float64(clipped-replica.averageLatency))
	}
	replica.observedAt = now
}

// ObserveFailure records an attempt that was sent and produced no answer for the client.
func (replica *Replica) ObserveFailure(now time.Time) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.recordAttempt(now, 1)
}

// ObserveRejection records that the replica rejected a request because it was full.
func (replica *Replica) ObserveRejection(now time.Time) {
	entry := replica.entry.Load()
	evenShare := float64(entry.Slots) / float64(max(1, replica.pool.config.VMCounts(entry.DataCentre).Total))
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.recordAttempt(now, 1)
	replica.answeredAt = now
	replica.down = false
	if replica.rejectsAtRandom(now, evenShare) {
		replica.consecutiveRejections++
		replica.pool.config.CountEvent("rejections_at_random", 1)
		return
	}
	replica.inFlightLimit = max(1, evenShare, inFlightLimitDecrease*float64(len(replica.inFlight)))
	replica.rejectedAt = now
	replica.consecutiveRejections++
}

// markDown records that the replica cannot be reached. It receives no requests until a probe succeeds.
func (replica *Replica) markDown() {
	replica.mutex.Lock()
	skipProbes := replica.down || replica.retired
	replica.down = true
	replica.mutex.Unlock()
	if !skipProbes {
		replica.pool.config.Group.Go(replica.probeUntilAvailable)
	}
}

// probeUntilAvailable probes the replica with exponential backoff until a connection stays open.
func (replica *Replica) probeUntilAvailable(ctx context.Context) {
	startedAt := time.Now()
	delay := minProbeInterval
	for {
		if swtimer.Wait(ctx, delay) != nil {
			return
		}
		delay = min(maxProbeInterval, 2*delay)
		replica.mutex.Lock()
		finished := !replica.down || replica.retired
		replica.mutex.Unlock()
		if finished {
			break
		}
		if replica.Evacuated() || !replica.place.mayConnect() {
			// Probes resume soon after the end of the evacuation, or once the links to the data centre are back.
			delay = minProbeInterval
			continue
		}
		if replica.Probe(ctx) {
			break
		}
	}
	replica.mutex.Lock()
	replica.down = false
	retired := replica.retired
	replica.mutex.Unlock()
	if retired {
		return
	}
	replica.pool.config.Log.Info().Str("Replica", replica.ID()).Dur("Down", time.Since(startedAt)).Msg("a replica can be reached again")
}

// Available reports whether the replica accepts new work from this VM itself: it is not known to be unreachable, not evacuated, and this VM has
// links to it.
func (replica *Replica) Available() bool {
	if !replica.AcceptsWork() {
		return false
	}
	if !replica.place.mayConnect() {
		return replica.hasIdle(time.Now())
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return !replica.down
}

// AnsweredSince reports whether the replica has answered anything since a time.
func (replica *Replica) AnsweredSince(since time.Time) bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.answeredAt.After(since)
}

// InUse reports whether the replica is listed and not leaving, by its entry or by what it said. A former state of a removed entry counts only
// once it is confirmed.
func (replica *Replica) InUse() bool {
	if replica.entry.Load().Leaving || replica.reports.leaving.Load() {
		return false
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return !replica.retired && (replica.unconfirmedUntil.IsZero() || !time.Now().Before(replica.unconfirmedUntil))
}

// AcceptsWork reports whether the replica is in use, wants requests from this VM, and is not evacuated.
func (replica *Replica) AcceptsWork() bool {
	return !replica.Evacuated() && replica.InUse() && replica.reports.heldFor(time.Now()) <= 0
}

// update applies another entry of the same process. A former state of the entry changes only whether the replica leaves.
func (replica *Replica) update(entry Entry, now time.Time) {
	known := replica.Entry()
	isFormer := entry.saysNothingNewAfter(&known)
	entry.keepLeaving(&known)
	if isFormer {
		known.Leaving = entry.Leaving
		replica.entry.Store(&known)
		return
	}
	replica.entry.Store(&entry)
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.updateWarmUp(now, entry.WarmUpLeft)
	replica.unconfirmedUntil = time.Time{}
}

// Retire removes the replica from use. Requests in flight continue, and idle connections are closed.
func (replica *Replica) Retire() {
	replica.mutex.Lock()
	replica.retired = true
	replica.mutex.Unlock()
	replica.empty()
}
