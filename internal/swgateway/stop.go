package swgateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// leavingRetryAfter is when a client whose request was refused by a leaving VM should come back: other VMs can serve it at once.
const leavingRetryAfter = 10 * time.Millisecond

// stop is when a leaving VM must have answered its last request. Construct it with newStop, which returns that of a VM that does not leave.
type stop struct {
	answerBy atomic.Pointer[time.Time]
	// passed is cancelled by pass once answerBy has passed.
	passed context.Context
	pass   context.CancelFunc
}

func newStop() *stop {
	stop := &stop{}
	stop.passed, stop.pass = context.WithCancel(context.Background())
	return stop
}

// AnswerBy makes the handler answer every request, in flight or new, by a time, because the process ends soon after it. It may be called
// once.
func (handler *Handler) AnswerBy(answerBy time.Time) {
	handler.stop.answerBy.Store(&answerBy)
	handler.config.Group.Go(func(ctx context.Context) {
		defer handler.stop.pass()
		_ = swtimer.Wait(ctx, time.Until(answerBy))
	})
}

// admit bounds the deadline of a request at a leaving VM. It refuses a request that may not get its whole time and must not run twice, or
// whose usual time is longer than what is left.
func (stop *stop) admit(request *request, usual time.Duration) *Refusal {
	answerBy := stop.answerBy.Load()
	if answerBy == nil || !request.deadline.After(*answerBy) {
		return nil
	}
	if !request.route.Idempotent || request.arrivedAt.Add(usual).After(*answerBy) {
		return refuseLeaving()
	}
	request.deadline = *answerBy
	return nil
}

func refuseLeaving() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: swcode.Leaving, RetryAfter: leavingRetryAfter}
}
