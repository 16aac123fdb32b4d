package swgateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

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

// waitQueue holds requests for a service whose replicas are all full. One request at a time, in order of arrival, checks for
// capacity, so that waiting requests do not all go to the same free slot.
//
// It is for bursts of requests with long deadlines. Without it, a full replica rejects a request at once, the budget does not grant
// a further attempt, and the client's own retry arrives before a slot is free. Waiting here uses no repeat and keeps the order.
type waitQueue struct {
	// turn holds a token that a request takes before it checks for capacity and puts back afterwards.
	turn    chan struct{}
	waiting atomic.Int64

	mutex sync.Mutex
	// answers is a decaying count of this VM's answers from the service as of countedAt.
	answers   float64
	countedAt time.Time
}

// rateHalfLife is the time after which an answer counts half in the rate at which slots are freed.
const rateHalfLife = time.Second

// recordAnswer counts an answer.
func (waitQueue *waitQueue) recordAnswer(now time.Time) {
	waitQueue.mutex.Lock()
	defer waitQueue.mutex.Unlock()
	waitQueue.answers = waitQueue.decayedAnswers(now) + 1
	waitQueue.countedAt = now
}

// decayedAnswers returns the count as of now. The caller holds the mutex.
func (waitQueue *waitQueue) decayedAnswers(now time.Time) float64 {
	if waitQueue.countedAt.IsZero() {
		return 0
	}
	return waitQueue.answers * math.Exp2(-float64(now.Sub(waitQueue.countedAt))/float64(rateHalfLife))
}

// expectedWait estimates how long the last of the waiting requests waits if slots are freed at the recent rate. It is zero before
// the first answer, when the rate is unknown.
func (waitQueue *waitQueue) expectedWait(now time.Time, waiting int64) time.Duration {
	waitQueue.mutex.Lock()
	defer waitQueue.mutex.Unlock()
	if waitQueue.countedAt.IsZero() {
		return 0
	}
	perSecond := max(1, waitQueue.decayedAnswers(now)) * math.Ln2 / rateHalfLife.Seconds()
	return time.Duration(float64(waiting) / perSecond * float64(time.Second))
}

func newWaitQueue() *waitQueue {
	waitQueue := &waitQueue{turn: make(chan struct{}, 1)}
	waitQueue.turn <- struct{}{}
	return waitQueue
}

// serviceCapacity describes whether a service's replicas can accept a request.
type serviceCapacity struct {
	// hasCapacity is set if a request to some available replica would probably not be rejected.
	hasCapacity bool
	// reachable is set if any replica is available.
	reachable bool
	// latency is the usual latency of the service.
	latency time.Duration
}

// capacityOf returns the current capacity of a service, judged by what this VM has observed.
func (handler *Handler) capacityOf(service string) serviceCapacity {
	now := time.Now()
	serviceCapacity := serviceCapacity{latency: handler.latencies.serviceLatency(service)}
	for _, replica := range handler.config.Replicas.ServiceReplicas(service) {
		if !replica.Available() {
			continue
		}
		candidate := replica.Candidate(now, serviceCapacity.latency)
		serviceCapacity.reachable = true
		serviceCapacity.hasCapacity = serviceCapacity.hasCapacity || !candidate.LikelyRejects()
	}
	return serviceCapacity
}

// describeCapacity returns one entry for each replica of a service: its distance, the obstacle to a request, and its latency beside the
// usual one of the service.
func (handler *Handler) describeCapacity(service string) []string {
	now := time.Now()
	serviceLatency := handler.latencies.serviceLatency(service)
	lines := []string{}
	for _, replica := range handler.config.Replicas.ServiceReplicas(service) {
		if !replica.Available() {
			lines = append(lines, fmt.Sprintf("%s %s Unavailable", replica.ID(), replica.Distance()))
			continue
		}
		candidate := replica.Candidate(now, serviceLatency)
		lines = append(lines, fmt.Sprintf("%s %s %s %s/%s", replica.ID(), candidate.Distance, candidate.Obstacle(),
			candidate.Latency.Round(100*time.Microsecond), serviceLatency.Round(100*time.Microsecond)))
	}
	return lines
}

// waitForCapacity waits until a replica of the service has capacity. A request that could not be served in time is refused at
// once, with the expected wait as its Retry-After. The caller must call releaseTurn once the request is counted at its
// replica, so that the next waiting request can check for capacity.
func (handler *Handler) waitForCapacity(ctx context.Context, request *request, service string) (releaseTurn func(), refusal *Refusal) {
	releaseTurn = func() {}
	serviceCapacity := handler.capacityOf(service)
	waitQueue := handler.waitQueues.GetOrPut(service, newWaitQueue)
	waiting := waitQueue.waiting.Load()
	if !serviceCapacity.reachable || serviceCapacity.hasCapacity && waiting == 0 {
		return releaseTurn, nil
	}
	reserve := time.Duration(latencyReserveFactor * float64(serviceCapacity.latency))
	now := time.Now()
	wait := waitQueue.expectedWait(now, waiting+1)
	if now.Add(wait + reserve).After(request.deadline) {
		return releaseTurn, refuseQueueFull(wait)
	}
	waitQueue.waiting.Add(1)
	defer waitQueue.waiting.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, request.deadline.Add(-reserve))
	defer cancel()
	defer context.AfterFunc(handler.stop.passed, cancel)()
	select {
	case <-waitQueue.turn:
	case <-ctx.Done():
		return releaseTurn, handler.refuseWaiting(wait)
	}
	passTurn := func() { waitQueue.turn <- struct{}{} }
	for {
		serviceCapacity := handler.capacityOf(service)
		if serviceCapacity.hasCapacity || !serviceCapacity.reachable {
			return passTurn, nil
		}
		if swtimer.Wait(ctx, capacityCheckInterval) != nil {
			passTurn()
			return releaseTurn, handler.refuseWaiting(wait)
		}
	}
}

// refuseWaiting refuses a request that has waited in vain.
func (handler *Handler) refuseWaiting(wait time.Duration) *Refusal {
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
