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
	// latencyWeight is the weight of a new answer in a replica's moving average: about the last five answers count.
	latencyWeight = 0.2
	// latencyClip bounds how many times the average a new answer counts as, so that one which met a replica that stood still
	// says little, and several slow ones in a row say much.
	latencyClip = 4
	// latencyMemory is the time after which an average that nothing renews has gone half the way back to the service's.
	latencyMemory = 5 * time.Second
	// floorFall and floorRise are the weights of an answer in a replica's floor, below and above it.
	floorFall = 0.2
	floorRise = 0.005
	// crowdedFactor is how many times its floor the average of a replica with a queue is.
	crowdedFactor = 2.5
	// shedWeight is the weight of an attempt in the share of those that a replica rejects or fails, shedMemory the time after
	// which a share that nothing renews has gone half the way back to none.
	shedWeight = 0.1
	shedMemory = 3 * time.Second
	// placeGrowth is how much each answer adds to the places at a replica that rejected, about one try in ten answers, and
	// placeCut the part of the requests in flight that a rejection leaves. VMs that halve what they take when a replica is full and
	// add little by little come to equal parts of it, with few rejections, though none knows of the others. No VM goes below its
	// even part of the replica's slots.
	placeGrowth = 0.1
	placeCut    = 0.5
	// placesFor is how long after its last rejection a replica's places are kept to: a burst lasts for seconds.
	placesFor = 5 * time.Second
	// shedFor is how long a rejection counts: a queue of a dozen requests of ten milliseconds is worked off by then. It doubles
	// with each further rejection in a row, up to shedDoublings times, so that the VMs of a fleet do not try a replica that others
	// fill again and again.
	shedFor       = 100 * time.Millisecond
	shedDoublings = 4
	// downLeast and downMost bound the pause between trials of a replica that cannot be reached. Only trials open connections
	// to it: requests that all did so would meet a server that comes back, or whose connections are used up, as a storm.
	downLeast = 100 * time.Millisecond
	downMost  = 800 * time.Millisecond
)

// Replica is one replica with what this VM knows of it.
type Replica struct {
	pool     *Pool
	distance Distance
	entry    atomic.Pointer[Entry]
	// warmAt is when the replica is warmed up.
	warmAt time.Time

	mutex sync.Mutex
	// retired replicas are no longer listed.
	retired  bool
	inFlight map[*InFlightRequest]struct{}
	waiting  int
	idle     []*swconn.Connection
	open     map[*swconn.Connection]struct{}
	dialing  int
	freed    chan struct{}
	limit    connectionLimit
	average  time.Duration
	// floor is what an answer takes without a queue: it follows fast answers quickly and slow ones hardly.
	floor    time.Duration
	observed time.Time
	shedAt   time.Time
	// shedInRow is the number of rejections since the last answer.
	shedInRow int
	// shedShare is the share of attempts that the replica rejects or fails, as of shedSeen.
	shedShare float64
	shedSeen  time.Time
	// places is the number of this VM's requests that the replica may have beside each other: cut by each rejection, grown a
	// little by each answer; zero while it rejects none.
	places float64
	// down is set while the replica cannot be reached and trials go on.
	down bool
	// answeredAt is when the replica last answered anything.
	answeredAt time.Time
}

// Entry returns what the platform lists.
func (replica *Replica) Entry() Entry {
	return *replica.entry.Load()
}

// ID returns the name of the replica's incarnation.
func (replica *Replica) ID() string {
	return replica.entry.Load().ID
}

// Distance returns how far the replica is.
func (replica *Replica) Distance() Distance {
	return replica.distance
}

// Prospect describes the replica for a choice. typical is the usual latency of its service.
func (replica *Replica) Candidate(now time.Time, typical time.Duration) Candidate {
	entry := replica.entry.Load()
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	candidate := Candidate{
		Latency:          replica.expected(now, typical),
		ServiceLatency:   typical,
		InFlight:         len(replica.inFlight) + replica.waiting,
		Slots:            entry.Slots,
		Unreachable:      replica.down,
		RecentlyRejected: now.Sub(replica.shedAt) < shedFor<<min(max(0, replica.shedInRow-1), shedDoublings),
		FailureRate:      replica.rejects(now),
		WarmingUp:        now.Before(replica.warmAt),
		Distance:         replica.distance,
	}
	candidate.AtLimit = replica.places > 0 && now.Sub(replica.shedAt) < placesFor && float64(candidate.InFlight+1) > replica.places
	for inFlightRequest := range replica.inFlight {
		candidate.OldestWait = max(candidate.OldestWait, now.Sub(inFlightRequest.sentAt))
	}
	return candidate
}

// expected returns the average latency, drawn towards the service's the older it is. The caller holds the mutex.
func (replica *Replica) expected(now time.Time, typical time.Duration) time.Duration {
	if replica.observed.IsZero() {
		return typical
	}
	age := float64(now.Sub(replica.observed)) / float64(latencyMemory)
	return typical + time.Duration(float64(replica.average-typical)/(1+age*age))
}

// Expected returns how long an answer of the replica takes, as a Prospect has it. typical is the usual latency of its service.
func (replica *Replica) ExpectedLatency(now time.Time, typical time.Duration) time.Duration {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.expected(now, typical)
}

// Crowded reports whether the replica's answers wait in a queue, as its latency shows.
func (replica *Replica) HasQueue() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return float64(replica.average) > crowdedFactor*float64(replica.floor)
}

// rejects returns the share of attempts that the replica rejects or fails. The caller holds the mutex.
func (replica *Replica) rejects(now time.Time) float64 {
	if replica.shedShare == 0 {
		return 0
	}
	return replica.shedShare * math.Exp2(-float64(now.Sub(replica.shedSeen))/float64(shedMemory))
}

// noteAttempt counts an attempt that was rejected or not. The caller holds the mutex.
func (replica *Replica) noteAttempt(now time.Time, rejected float64) {
	replica.shedShare = replica.rejects(now) + shedWeight*(rejected-replica.rejects(now))
	replica.shedSeen = now
}

// ObserveLate takes the latency of an answer that came after its attempt was withdrawn. Replicas that are slow would else look
// as fast as they were before, since attempts at them are withdrawn.
func (replica *Replica) ObserveLateResponse(now time.Time, status int, latency time.Duration) {
	if status >= 200 && status < 300 {
		replica.ObserveLatency(now, latency)
	}
}

// Observe takes the latency of an answer that the caller judged to be one.
func (replica *Replica) ObserveLatency(now time.Time, latency time.Duration) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.noteAttempt(now, 0)
	replica.shedInRow = 0
	if replica.places > 0 {
		replica.places += placeGrowth
	}
	replica.answeredAt = now
	replica.down = false
	if replica.observed.IsZero() {
		replica.average, replica.floor = latency, latency
	} else {
		weight := floorRise
		if latency < replica.floor {
			weight = floorFall
		}
		replica.floor += time.Duration(weight * float64(latency-replica.floor))
		clipped := min(latency, latencyClip*max(replica.average, time.Millisecond))
		replica.average += time.Duration(latencyWeight * float64(clipped-replica.average))
	}
	replica.observed = now
}

// ObserveFailure takes an attempt that was sent and brought no answer for the client.
func (replica *Replica) ObserveFailure(now time.Time) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.noteAttempt(now, 1)
}

// ObserveShed takes a rejection for want of room.
func (replica *Replica) ObserveRejection(now time.Time) {
	entry := replica.entry.Load()
	part := float64(entry.Slots) / float64(max(1, replica.pool.config.VMCounts(entry.DataCentre).Total))
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.noteAttempt(now, 1)
	replica.places = max(1, part, placeCut*float64(len(replica.inFlight)))
	replica.shedAt = now
	replica.shedInRow++
	replica.answeredAt = now
	replica.down = false
}

// noteDown takes a failure to reach the replica at all: it gets nothing until a trial reaches it again.
func (replica *Replica) noteDown() {
	replica.mutex.Lock()
	begun := replica.down || replica.retired
	replica.down = true
	replica.mutex.Unlock()
	if !begun {
		replica.pool.config.Group.Go(replica.tryUntilUp)
	}
}

// tryUntilUp opens connections, with pauses that double, until one stays open.
func (replica *Replica) tryUntilUp(ctx context.Context) {
	began := time.Now()
	pause := downLeast
	for {
		if swtimer.Wait(ctx, pause) != nil {
			return
		}
		pause = min(downMost, 2*pause)
		replica.mutex.Lock()
		over := !replica.down || replica.retired
		replica.mutex.Unlock()
		if over || replica.Probe(ctx) {
			break
		}
	}
	replica.mutex.Lock()
	replica.down = false
	replica.mutex.Unlock()
	replica.pool.config.Log.Info().Str("Replica", replica.ID()).Dur("Down", time.Since(began)).Msg("a replica can be reached again")
}

// Up reports whether the replica takes new work and can be reached for all that is known.
func (replica *Replica) Available() bool {
	if !replica.AcceptsWork() {
		return false
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

// Taking reports whether the replica takes new work.
func (replica *Replica) AcceptsWork() bool {
	if replica.entry.Load().Leaving {
		return false
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return !replica.retired
}

// update takes a newer entry of the same process.
func (replica *Replica) update(entry Entry, now time.Time) {
	replica.entry.Store(&entry)
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.warmAt = now.Add(entry.WarmUpLeft)
}

// Retire takes the replica out of use: requests in flight go on, idle connections close.
func (replica *Replica) Retire() {
	replica.mutex.Lock()
	replica.retired = true
	idle := replica.idle
	replica.idle = nil
	replica.signalFreed()
	replica.mutex.Unlock()
	for _, connection := range idle {
		connection.Close()
	}
}
