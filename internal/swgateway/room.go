package swgateway

import (
	"context"
	"math/rand/v2"
	"net/http"
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
	// busy is the number of requests that they work on for this VM.
	busy int
	// typical is the usual latency.
	typical time.Duration
}

func (gateway *Gateway) survey(service string) survey {
	now := time.Now()
	survey := survey{typical: gateway.latencies.Typical(service)}
	for _, replica := range gateway.config.Replicas.Service(service) {
		if !replica.Up() {
			continue
		}
		prospect := replica.Prospect(now, survey.typical)
		survey.any = true
		survey.busy += prospect.Busy
		survey.open = survey.open || !prospect.Rejecting()
	}
	return survey
}

// expectedWait estimates how long the last of so many waiting requests waits: places come free as fast as this VM's requests
// are answered.
func (survey *survey) expectedWait(waiting int64) time.Duration {
	return survey.typical * time.Duration(waiting) / time.Duration(max(1, survey.busy))
}

// enter waits until a replica of the service has room. A request that could not be served in time is refused at once, with the
// time at which the ones ahead will be done.
func (gateway *Gateway) enter(ctx context.Context, request *request, service string) *Refusal {
	survey := gateway.survey(service)
	room := gateway.rooms.GetOrPut(service, newRoom)
	waiting := room.waiting.Load()
	if !survey.any || survey.open && waiting == 0 {
		return nil
	}
	reserve := time.Duration(roomReserve * float64(survey.typical))
	wait := survey.expectedWait(waiting + 1)
	if time.Now().Add(wait + reserve).After(request.deadline) {
		return full(wait)
	}
	room.waiting.Add(1)
	defer room.waiting.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, request.deadline.Add(-reserve))
	defer cancel()
	select {
	case <-room.turn:
	case <-ctx.Done():
		return full(wait)
	}
	defer func() { room.turn <- struct{}{} }()
	for {
		survey := gateway.survey(service)
		if survey.open || !survey.any {
			return nil
		}
		if swtimer.Wait(ctx, roomCheck) != nil {
			return full(wait)
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
