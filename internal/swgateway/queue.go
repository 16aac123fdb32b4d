package swgateway

import (
	"context"
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
	// roomCheck is the time between two looks at whether a full service has room: a small part of the work of the requests that
	// wait.
	roomCheck = 10 * time.Millisecond
	// roomReserve is how many times the usual latency of its service a request must have left when it is sent.
	roomReserve = 1.5
)

// room is where requests for one replica wait while all replicas of a service are full. One request at a time looks for room,
// in the order of arrival, so that those which wait do not meet a freed place together.
//
// It answers bursts of patient work beyond what a service can take: a full replica rejects at once, every further sending is
// a repeat that the budget does not grant, and the client's own retry comes too early as well. Waiting here costs nothing and
// keeps the order.
type room struct {
	// turn holds an element while no request looks for room.
	turn    chan struct{}
	waiting atomic.Int64

	mutex sync.Mutex
	// answers counts this VM's answers from the service, of which those of rateMemory ago count half, as of counted.
	answers float64
	counted time.Time
}

// rateMemory is the time after which an answer counts half in the rate at which places come free.
const rateMemory = time.Second

// noteAnswer counts an answer.
func (room *room) noteAnswer(now time.Time) {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	room.answers = room.decayed(now) + 1
	room.counted = now
}

// decayed returns the count as of now. The caller holds the mutex.
func (room *room) decayed(now time.Time) float64 {
	if room.counted.IsZero() {
		return 0
	}
	return room.answers * math.Exp2(-float64(now.Sub(room.counted))/float64(rateMemory))
}

// expectedWait estimates how long the last of so many waiting requests waits, as places come free as fast as lately. It is
// zero before the first answer, when nothing is known.
func (room *room) expectedWait(now time.Time, waiting int64) time.Duration {
	room.mutex.Lock()
	defer room.mutex.Unlock()
	if room.counted.IsZero() {
		return 0
	}
	perSecond := max(1, room.decayed(now)) * math.Ln2 / rateMemory.Seconds()
	return time.Duration(float64(waiting) / perSecond * float64(time.Second))
}

func newRoom() *room {
	room := &room{turn: make(chan struct{}, 1)}
	room.turn <- struct{}{}
	return room
}

// survey tells what a service's replicas have room for.
type survey struct {
	// open is set when a replica does not reject.
	open bool
	// any is set when a replica can be reached at all.
	any bool
	// typical is the usual latency.
	typical time.Duration
}

func (gateway *Gateway) survey(service string) survey {
	now := time.Now()
	survey := survey{typical: gateway.pace.typical(service)}
	for _, replica := range gateway.config.Replicas.ServiceReplicas(service) {
		if !replica.Available() {
			continue
		}
		candidate := replica.Candidate(now, survey.typical)
		survey.any = true
		survey.open = survey.open || !candidate.LikelyRejects()
	}
	return survey
}

// enter waits until a replica of the service has room. A request that could not be served in time is refused at once, with the
// time at which the ones ahead will be done. leave lets the next one look for room, and is to be called once the request is
// counted at its replica.
func (gateway *Gateway) enter(ctx context.Context, request *request, service string) (leave func(), refusal *Refusal) {
	leave = func() {}
	survey := gateway.survey(service)
	room := gateway.rooms.GetOrPut(service, newRoom)
	waiting := room.waiting.Load()
	if !survey.any || survey.open && waiting == 0 {
		return leave, nil
	}
	reserve := time.Duration(roomReserve * float64(survey.typical))
	now := time.Now()
	wait := room.expectedWait(now, waiting+1)
	if now.Add(wait + reserve).After(request.deadline) {
		return leave, full(wait)
	}
	room.waiting.Add(1)
	defer room.waiting.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, request.deadline.Add(-reserve))
	defer cancel()
	select {
	case <-room.turn:
	case <-ctx.Done():
		return leave, full(wait)
	}
	pass := func() { room.turn <- struct{}{} }
	for {
		survey := gateway.survey(service)
		if survey.open || !survey.any {
			return pass, nil
		}
		if swtimer.Wait(ctx, roomCheck) != nil {
			pass()
			return leave, full(wait)
		}
	}
}

// full refuses a request for want of room. The time to come back is spread, so that those who were refused together do not
// return together.
func full(wait time.Duration) *Refusal {
	wait = max(wait, shedRetryAfter)
	return &Refusal{
		Status: http.StatusServiceUnavailable, Code: swcode.QueueFull,
		RetryAfter: wait + time.Duration(rand.Float64()*float64(wait)/2),
	}
}
