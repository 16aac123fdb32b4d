package swgateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swshare"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// capacityCheckInterval is how often a waiting request checks whether a full service has capacity. It is a small fraction of
	// the time that the waiting requests take.
	capacityCheckInterval = 10 * time.Millisecond
	// latencyReserveFactor is the multiple of its service's usual latency that a request must have left when it is sent.
	latencyReserveFactor = 1.5
)

// waitQueue holds requests for a service whose replicas are all full. One request at a time checks for capacity, in order of arrival or, where
// there are tenants, in the order of swshare, so that waiting requests do not all go to the same free slot.
//
// It is for bursts of requests with long deadlines. Without it, a full replica rejects a request at once, the budget does not grant
// a further attempt, and the client's own retry arrives before a slot is free. Waiting here uses no repeat and keeps the order.
type waitQueue struct {
	turns turns

	mutex   sync.Mutex
	waiting int
	// answers and waited are decaying sums of this VM's answers from the service, and of the time in seconds during which requests waited,
	// as of countedAt.
	answers, waited float64
	countedAt       time.Time
}

// rateHalfLife is the time after which an answer counts half in the rate at which slots are freed.
const rateHalfLife = time.Second

func newWaitQueue(ledger *swshare.Ledger[string]) *waitQueue {
	return &waitQueue{turns: turns{ledger: ledger}}
}

// enter adds a waiting request, and leave removes it.
func (waitQueue *waitQueue) enter(now time.Time) {
	waitQueue.mutex.Lock()
	defer waitQueue.mutex.Unlock()
	waitQueue.advance(now)
	waitQueue.waiting++
}

func (waitQueue *waitQueue) leave(now time.Time) {
	waitQueue.mutex.Lock()
	defer waitQueue.mutex.Unlock()
	waitQueue.advance(now)
	waitQueue.waiting--
}

// recordAnswer counts an answer.
func (waitQueue *waitQueue) recordAnswer(now time.Time) {
	waitQueue.mutex.Lock()
	defer waitQueue.mutex.Unlock()
	waitQueue.advance(now)
	waitQueue.answers++
}

// advance lets the sums decay, and adds the time since countedAt if requests waited. The caller holds the mutex.
func (waitQueue *waitQueue) advance(now time.Time) {
	elapsed := now.Sub(waitQueue.countedAt)
	waitQueue.countedAt = now
	kept := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	waitQueue.answers *= kept
	waitQueue.waited *= kept
	if waitQueue.waiting > 0 {
		waitQueue.waited += elapsed.Seconds()
	}
}

// length returns the number of waiting requests.
func (waitQueue *waitQueue) length() int {
	waitQueue.mutex.Lock()
	defer waitQueue.mutex.Unlock()
	return waitQueue.waiting
}

// expectedWait estimates how long a new request waits for those that wait already, except for a number of them that it goes before: as many
// answers at the rate at which they arrived while requests waited. Before any is observed, one is expected in each interval.
func (waitQueue *waitQueue) expectedWait(now time.Time, interval time.Duration, behind int) time.Duration {
	waitQueue.mutex.Lock()
	defer waitQueue.mutex.Unlock()
	waitQueue.advance(now)
	perAnswer := (waitQueue.waited + interval.Seconds()) / (waitQueue.answers + 1)
	return time.Duration(float64(max(0, waitQueue.waiting-behind)) * perAnswer * float64(time.Second))
}

// serviceCapacity describes whether a service's replicas can accept a plain request.
type serviceCapacity struct {
	// hasCapacity is set if some available replica has no obstacle to a request. Otherwise obstacleWait is how long the first one is
	// expected to have one.
	hasCapacity  bool
	obstacleWait time.Duration
	// replicas is the number of available replicas.
	replicas int
	// latency is the usual latency of the service.
	latency time.Duration
}

// obstacleConnections is that too many requests wait for a connection to the replica.
const obstacleConnections swreplica.Obstacle = "Connections"

// waitsForConnections reports whether requests wait in the queue of a service until fewer wait for a connection to a replica, where they would
// no longer be in the order of their claims. Without tenants all claims are equal.
func (handler *Handler) waitsForConnections(replica *swreplica.Replica) bool {
	return handler.config.Routes.Current().HasTenants() && replica.ConnectionsBusy()
}

// capacityOf returns the current capacity that a service has for a request, judged by what this VM has observed.
func (handler *Handler) capacityOf(request *request, service string) serviceCapacity {
	now := time.Now()
	serviceCapacity := serviceCapacity{latency: handler.latencies.serviceLatency(service), obstacleWait: math.MaxInt64}
	for _, replica := range handler.config.Replicas.ServiceReplicas(service) {
		if !handler.mayServe(request, replica) || !handler.available(request, replica) {
			continue
		}
		candidate := handler.candidate(request, now, replica, serviceCapacity.latency)
		serviceCapacity.replicas++
		if handler.waitsForConnections(replica) {
			serviceCapacity.obstacleWait = min(serviceCapacity.obstacleWait, candidate.Latency)
			continue
		}
		serviceCapacity.hasCapacity = serviceCapacity.hasCapacity || candidate.Obstacle() == swreplica.ObstacleNone
		serviceCapacity.obstacleWait = min(serviceCapacity.obstacleWait, candidate.ObstacleWait())
	}
	return serviceCapacity
}

// describeCapacity returns one entry for each replica of a service: its distance, the obstacle to a request, and its latency beside the
// usual one of the service.
func (handler *Handler) describeCapacity(request *request, service string) []string {
	now := time.Now()
	serviceLatency := handler.latencies.serviceLatency(service)
	lines := []string{}
	for _, replica := range handler.config.Replicas.ServiceReplicas(service) {
		if reason := handler.exclusion(request, replica); reason != "" {
			lines = append(lines, fmt.Sprintf("%s %s %s", replica.ID(), replica.Distance(), reason))
			continue
		}
		candidate := handler.candidate(request, now, replica, serviceLatency)
		obstacle := candidate.Obstacle()
		if handler.waitsForConnections(replica) {
			obstacle = obstacleConnections
		}
		lines = append(lines, fmt.Sprintf("%s %s %s %s/%s", replica.ID(), candidate.Distance, obstacle,
			candidate.Latency.Round(100*time.Microsecond), serviceLatency.Round(100*time.Microsecond)))
	}
	return lines
}

// waitForCapacity waits until a replica of the service has capacity. A request that could not be served in time is refused at
// once, with the expected wait as its Retry-After. The caller must call releaseTurn once the request is counted at its
// replica, so that the next waiting request can check for capacity.
func (handler *Handler) waitForCapacity(ctx context.Context, request *request, service string) (releaseTurn func(), refusal *Refusal) {
	releaseTurn = func() {}
	serviceCapacity := handler.capacityOf(request, service)
	waitQueue := handler.waitQueueOf(request, service)
	if serviceCapacity.replicas == 0 || serviceCapacity.hasCapacity && waitQueue.length() == 0 {
		return releaseTurn, nil
	}
	reserve := time.Duration(latencyReserveFactor * float64(serviceCapacity.latency))
	now := time.Now()
	behind, othersAhead := waitQueue.turns.compare(now, request.claim)
	wait := waitQueue.expectedWait(now, serviceCapacity.latency/time.Duration(serviceCapacity.replicas), behind)
	if !serviceCapacity.hasCapacity {
		wait += serviceCapacity.obstacleWait
	}
	request.othersAhead = othersAhead
	if now.Add(wait + reserve).After(request.deadline) {
		return releaseTurn, refuseQueueFull(wait)
	}
	waitQueue.enter(now)
	defer func() { waitQueue.leave(time.Now()) }()
	ctx, cancel := context.WithDeadline(ctx, request.deadline.Add(-reserve))
	defer cancel()
	defer context.AfterFunc(handler.stop.passed, cancel)()
	if !handler.awaitTurn(ctx, request, waitQueue, service) {
		return releaseTurn, handler.refuseWaiting(request, wait)
	}
	return func() { waitQueue.turns.pass(time.Now()) }, nil
}

// awaitTurn waits until a request has its turn and the service has capacity, and reports whether that was before the end of ctx and while its
// key was valid. If so, the caller must pass on the turn.
func (handler *Handler) awaitTurn(ctx context.Context, request *request, waitQueue *waitQueue, service string) bool {
	ticket := waitQueue.turns.join(time.Now(), request.claim)
	for {
		select {
		case hasTurn := <-ticket.turn:
			if !hasTurn {
				return false
			}
		case <-ctx.Done():
			waitQueue.turns.leave(time.Now(), ticket)
			return false
		}
		for {
			serviceCapacity := handler.capacityOf(request, service)
			if serviceCapacity.hasCapacity || serviceCapacity.replicas == 0 {
				return true
			}
			if handler.checkKey(request) != nil || swtimer.Wait(ctx, capacityCheckInterval) != nil {
				waitQueue.turns.pass(time.Now())
				return false
			}
			if waitQueue.turns.yield(time.Now(), ticket) {
				break
			}
		}
	}
}

// requeueDelay is how long a request that all replicas of its service have rejected waits before it is sent again, and up to half of it
// longer at random. A replica has done several requests of ten milliseconds by then. The delay doubles each time, so that a request
// with much time does not use up the repeats of the service.
const requeueDelay = 50 * time.Millisecond

// waitToRequeue waits until a request that was requeued some times before may be sent again. A request whose time does not allow for that
// is refused at once.
func (handler *Handler) waitToRequeue(ctx context.Context, request *request, service string, requeued int) *Refusal {
	delay := requeueDelay << requeued
	delay += time.Duration(rand.Float64() * float64(delay) / 2)
	reserve := time.Duration(latencyReserveFactor * float64(handler.latencies.serviceLatency(service)))
	if time.Now().Add(delay + reserve).After(request.deadline) {
		return refuseQueueFull(delay)
	}
	waitQueue := handler.waitQueueOf(request, service)
	waitQueue.enter(time.Now())
	defer func() { waitQueue.leave(time.Now()) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(handler.stop.passed, cancel)()
	if swtimer.Wait(ctx, delay) != nil {
		return handler.refuseWaiting(request, delay)
	}
	return nil
}

// refuseWaiting refuses a request that has waited in vain.
func (handler *Handler) refuseWaiting(request *request, wait time.Duration) *Refusal {
	if refusal := handler.checkKey(request); refusal != nil {
		return refusal
	}
	if handler.stop.passed.Err() != nil {
		return refuseLeaving()
	}
	return refuseQueueFull(wait)
}

// refuseQueueFull refuses a request for lack of capacity. Its Retry-After is randomised, so that clients that were refused
// together do not retry together.
func refuseQueueFull(wait time.Duration) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: swcode.QueueFull, RetryAfter: spreadRetryAfter(wait)}
}

// spreadRetryAfter adds up to half to a wait, at random.
func spreadRetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minQueueFullRetryAfter)
	return wait + time.Duration(rand.Float64()*float64(wait)/2)
}
