// Package swadmission controls which work runs when the load exceeds the capacity of backend servers. It has priority
// queues in front of each server's slots, sheds whole queries by cohort at the root, and enforces the limits of rules.
package swadmission

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Defaults of empty settings.
const (
	// DefaultQueueLimit is the maximum number of sub-requests that wait for one backend server.
	DefaultQueueLimit = 64
	// DefaultQueueTarget is the mean queue wait above which whole queries are shed.
	DefaultQueueTarget = 20 * time.Millisecond
)

// DefaultShares returns the guaranteed minimum share of slots of each priority, in percent.
func DefaultShares() []int {
	return []int{50, 20, 10}
}

// The errors with which a Queue refuses work. Nothing was sent to the backend server.
var (
	errQueueFull  = &swcode.Error{Code: swcode.QueueFull, Ran: swcode.RanNo, Message: "the backend server's queue is full"}
	errShed       = &swcode.Error{Code: swcode.ShedByPriority, Ran: swcode.RanNo, Message: "the backend server's owner sheds this cohort"}
	errCannotMeet = &swcode.Error{Code: swcode.CannotMeet, Ran: swcode.RanNo, Message: "the backend server cannot finish by the deadline"}
	errCallerGone = &swcode.Error{Code: swcode.CallerGone, Ran: swcode.RanNo, Message: "cancelled while waiting for the backend server"}
	errClosed     = &swcode.Error{Code: swcode.Leaving, Ran: swcode.RanNo, Message: "the backend server accepts no new work"}
)

// Work holds the attributes of a sub-request that a Queue decides by.
type Work struct {
	Priority swrule.Priority
	Caller   string
	// Cohort determines the order of shedding within a priority: the highest cohort is shed first.
	Cohort uint16
	// Deadline is the local time by which the work must be finished. Zero means no deadline.
	Deadline time.Time
}

// Observer is notified of the work at one backend server. Its methods must not block.
type Observer interface {
	// QueueWait is called with the queue wait when work is given a slot.
	QueueWait(work *Work, wait time.Duration)
	// ServiceTime is called with the service time when completed work releases its slot.
	ServiceTime(work *Work, serviceTime time.Duration)
	// Shed is called when work is refused.
	Shed(work *Work, code swcode.Code)
	// Wasted is called when work used a slot but its answer was late or missing.
	Wasted(work *Work, serviceTime time.Duration)
}

// QueueConfig configures a Queue.
type QueueConfig struct {
	// Slots is the number of concurrent requests that the backend server declares.
	Slots int
	// Settings sets the shares, limit, target and shedding. Empty fields take the defaults.
	Settings swsetting.Admission
	// Observer may be nil.
	Observer Observer
}

// Queue divides one backend server's slots among priorities and callers. It is safe for concurrent use.
type Queue struct {
	observer Observer
	// limit is the maximum number of waiters. shedding enables shedding by cohort.
	limit    int
	shedding bool

	mutex     sync.Mutex
	closed    bool
	slotLimit slotLimit
	running   int
	queues    [swrule.Priorities]priorityQueue
	waiting   int
	// reserved is the number of waiters of each priority that work of other priorities cannot evict.
	reserved     [swrule.Priorities]int
	shareCredits shareCredits
	serviceTimes serviceTimes
	shedders     [swrule.Priorities]shedder
	sequence     uint64
	adjustedAt   time.Time
	// waiterPool holds waiters for reuse.
	waiterPool sync.Pool
}

// waiter is work that waits for a slot. ready receives nil when it is given a slot, or the error that refuses it.
type waiter struct {
	work       Work
	enqueuedAt time.Time
	sequence   uint64
	queued     bool
	ready      chan *swcode.Error
}

// Slot is one of the backend server's slots, held by work. Pass it to Queue.Release exactly once.
type Slot struct {
	Work Work
	// Wait is the time spent in the queue.
	Wait      time.Duration
	startedAt time.Time
}

// NewQueue returns a queue whose concurrency limit starts at one slot and grows to config.Slots as answers arrive.
func NewQueue(config QueueConfig) *Queue {
	settings := withDefaults(config.Settings)
	queue := &Queue{
		observer:     config.Observer,
		limit:        settings.QueueLimit,
		shedding:     settings.ShedByCohort,
		slotLimit:    newSlotLimit(config.Slots),
		shareCredits: newShareCredits(settings.Shares),
		adjustedAt:   time.Now(),
	}
	queue.waiterPool.New = func() any { return &waiter{ready: make(chan *swcode.Error, 1)} }
	for i := range queue.queues {
		queue.queues[i].callers = make(map[string]*callerQueue)
		queue.reserved[i] = max(1, int(queue.shareCredits.shares[i]*float64(queue.limit)))
		queue.shedders[i] = newShedder(settings.QueueTarget)
	}
	return queue
}

func withDefaults(settings swsetting.Admission) swsetting.Admission {
	if len(settings.Shares) != swrule.Priorities {
		settings.Shares = DefaultShares()
	}
	if settings.QueueLimit <= 0 {
		settings.QueueLimit = DefaultQueueLimit
	}
	if settings.QueueTarget <= 0 {
		settings.QueueTarget = DefaultQueueTarget
	}
	return settings
}

// Acquire waits for a slot. It returns a *swcode.Error with RanNo when the work is refused, cannot meet its deadline, or
// ctx is done first.
func (queue *Queue) Acquire(ctx context.Context, work Work) (Slot, error) {
	if ctx.Err() != nil {
		return Slot{}, queue.refuse(work, contextError(ctx))
	}
	queue.mutex.Lock()
	now := time.Now()
	waiter, err := queue.admit(now, work)
	queue.mutex.Unlock()
	if err != nil {
		return Slot{}, queue.refuse(work, err)
	}
	if waiter == nil {
		return queue.newSlot(work, now, 0), nil
	}
	return queue.await(ctx, waiter)
}

// await waits until the waiter is given a slot or refused, or ctx is done. The waiter must not be used afterwards.
func (queue *Queue) await(ctx context.Context, waiter *waiter) (Slot, error) {
	work, enqueuedAt := waiter.work, waiter.enqueuedAt
	var refusal *swcode.Error
	select {
	case refusal = <-waiter.ready:
		if refusal == nil && ctx.Err() != nil {
			refusal = queue.returnSlot(ctx)
		}
	case <-ctx.Done():
		refusal = queue.cancel(ctx, waiter)
	}
	queue.waiterPool.Put(waiter)
	if refusal != nil {
		return Slot{}, queue.refuse(work, refusal)
	}
	now := time.Now()
	return queue.newSlot(work, now, now.Sub(enqueuedAt)), nil
}

// cancel removes the waiter from the queue. If it was given a slot concurrently, the slot is returned.
func (queue *Queue) cancel(ctx context.Context, waiter *waiter) *swcode.Error {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if waiter.queued {
		queue.remove(waiter)
		if ctx.Err() == context.DeadlineExceeded {
			queue.shedders[waiter.work.Priority].lost++
		}
		return contextError(ctx)
	}
	if refusal := <-waiter.ready; refusal != nil {
		return refusal
	}
	return queue.returnSlotLocked(ctx)
}

// returnSlot returns a slot that was given to work whose context is done.
func (queue *Queue) returnSlot(ctx context.Context) *swcode.Error {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.returnSlotLocked(ctx)
}

// returnSlotLocked is returnSlot for callers that hold the mutex.
func (queue *Queue) returnSlotLocked(ctx context.Context) *swcode.Error {
	queue.running--
	queue.dispatch(time.Now())
	return contextError(ctx)
}

func contextError(ctx context.Context) *swcode.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return errCannotMeet
	}
	return errCallerGone
}

// refuse reports the refusal to the observer and returns it.
func (queue *Queue) refuse(work Work, refusal *swcode.Error) error {
	if queue.observer != nil {
		observed := work
		queue.observer.Shed(&observed, refusal.Code)
	}
	return refusal
}

func (queue *Queue) newSlot(work Work, now time.Time, wait time.Duration) Slot {
	if queue.observer != nil {
		observed := work
		queue.observer.QueueWait(&observed, wait)
	}
	return Slot{Work: work, Wait: wait, startedAt: now}
}

// admit gives the work a slot at once (nil, nil), queues it (the waiter), or refuses it (the error).
func (queue *Queue) admit(now time.Time, work Work) (*waiter, *swcode.Error) {
	if queue.closed {
		return nil, errClosed
	}
	queue.adjustShedders(now)
	shedder := &queue.shedders[work.Priority]
	admitted := shedder.recordArrival(work.Caller, work.Cohort)
	if queue.running < queue.slotLimit.current() && queue.waiting == 0 {
		queue.start(work.Priority, 0)
		return nil, nil
	}
	if queue.shedding && !admitted && queue.queues[work.Priority].length > 0 {
		return nil, errShed
	}
	if queue.cannotMeetDeadline(now, &work) {
		shedder.lost++
		return nil, errCannotMeet
	}
	if queue.waiting >= queue.limit && !queue.evictFor(&work) {
		shedder.lost++
		return nil, errQueueFull
	}
	return queue.push(now, work), nil
}

func (queue *Queue) push(now time.Time, work Work) *waiter {
	waiter := queue.waiterPool.Get().(*waiter)
	queue.sequence++
	waiter.work, waiter.enqueuedAt, waiter.sequence, waiter.queued = work, now, queue.sequence, true
	queue.queues[work.Priority].push(waiter)
	queue.waiting++
	return waiter
}

func (queue *Queue) remove(waiter *waiter) {
	waiter.queued = false
	queue.queues[waiter.work.Priority].remove(waiter)
	queue.waiting--
}

// start accounts for work of the priority that is given a slot now.
func (queue *Queue) start(priority swrule.Priority, wait time.Duration) {
	queue.running++
	queue.shedders[priority].recordStart(wait)
	queue.shareCredits.charge(priority, &queue.serviceTimes)
}

// adjustShedders adjusts the shedder of each priority, at most once per adjustInterval.
func (queue *Queue) adjustShedders(now time.Time) {
	if now.Sub(queue.adjustedAt) < adjustInterval {
		return
	}
	elapsed := now.Sub(queue.adjustedAt)
	queue.adjustedAt = now
	for i := range queue.shedders {
		queue.shedders[i].adjust(elapsed)
	}
}

// Release returns a slot. result is the outcome of the work that held it.
func (queue *Queue) Release(slot Slot, result Result) {
	now := time.Now()
	serviceTime := now.Sub(slot.startedAt)
	queue.mutex.Lock()
	queue.running--
	switch result {
	case Completed:
		queue.serviceTimes.add(slot.Work.Priority, serviceTime)
		queue.slotLimit.recordSuccess(now)
	case ShedByServer:
		queue.slotLimit.recordShed(now, queue.running+1)
		queue.shedders[slot.Work.Priority].lost++
	case Wasted:
		queue.serviceTimes.addLowerBound(slot.Work.Priority, serviceTime)
	case NotRun:
	}
	queue.adjustShedders(now)
	queue.dispatch(now)
	queue.mutex.Unlock()
	if queue.observer != nil {
		queue.observe(slot.Work, serviceTime, result)
	}
}

func (queue *Queue) observe(work Work, serviceTime time.Duration, result Result) {
	switch result {
	case Completed:
		queue.observer.ServiceTime(&work, serviceTime)
	case Wasted:
		queue.observer.Wasted(&work, serviceTime)
	case ShedByServer, NotRun:
	}
}

// SetSlots sets the number of slots that the backend server declares.
func (queue *Queue) SetSlots(slots int) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.slotLimit.setDeclared(slots)
	queue.dispatch(time.Now())
}

// ResetLimit sets the concurrency limit back to one slot, as after a crash of the backend server.
func (queue *Queue) ResetLimit() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.slotLimit.reset()
}

// Close refuses the waiting work and all new work. Slots in use stay valid.
func (queue *Queue) Close() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.closed = true
	for i := range queue.queues {
		for queue.queues[i].length > 0 {
			waiter := queue.queues[i].first()
			queue.remove(waiter)
			waiter.ready <- errClosed
		}
	}
}

// Reopen makes a closed queue accept work again.
func (queue *Queue) Reopen() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.closed = false
}

// Load describes the current state of a Queue.
type Load struct {
	Running int
	Waiting int
	// Limit is the current concurrency limit, in slots.
	Limit int
	// ServiceTime is the moving average of the backend server's service time, over all priorities.
	ServiceTime time.Duration
}

// Load returns the current state of the queue.
func (queue *Queue) Load() Load {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return Load{
		Running:     queue.running,
		Waiting:     queue.waiting,
		Limit:       queue.slotLimit.current(),
		ServiceTime: queue.serviceTimes.overall(),
	}
}
