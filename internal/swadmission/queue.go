// Package swadmission decides what runs when more work is offered than backend servers can take: queues with
// priorities in front of each server's slots, shedding of whole queries by cohort, and the limits of rules.
package swadmission

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Defaults of settings that are left empty.
const (
	// DefaultQueueLimit is the number of sub-requests that may wait for one backend server.
	DefaultQueueLimit = 64
	// DefaultQueueTarget is the queue wait above which whole queries are shed.
	DefaultQueueTarget = 20 * time.Millisecond
)

// DefaultShares returns the least share of slots that each priority keeps, in percent.
func DefaultShares() []int {
	return []int{50, 20, 10}
}

// The refusals of a Queue. Nothing was sent to the backend server.
var (
	errQueueFull  = &swcode.Error{Code: swcode.QueueFull, Ran: swcode.RanNo, Message: "the backend server's queue is full"}
	errShed       = &swcode.Error{Code: swcode.ShedByPriority, Ran: swcode.RanNo, Message: "the backend server's owner sheds this cohort"}
	errCannotMeet = &swcode.Error{Code: swcode.CannotMeet, Ran: swcode.RanNo, Message: "the backend server cannot finish by the deadline"}
	errCallerGone = &swcode.Error{Code: swcode.CallerGone, Ran: swcode.RanNo, Message: "withdrawn while waiting for the backend server"}
	errClosed     = &swcode.Error{Code: swcode.Leaving, Ran: swcode.RanNo, Message: "the backend server takes no new work"}
)

// Work is what a Queue knows of one sub-request.
type Work struct {
	Priority swrule.Priority
	Caller   string
	// Cohort orders shedding inside a priority: the highest is shed first.
	Cohort uint16
	// Deadline is the local time by which the work must be finished.
	Deadline time.Time
}

// Observer receives what happens to work at one backend server. Its methods must not block.
type Observer interface {
	// QueueWait is called when work leaves the queue for a slot.
	QueueWait(work *Work, wait time.Duration)
	// Service is called when work gives its slot back.
	ServiceTime(work *Work, service time.Duration)
	// Shed is called when work is refused.
	Shed(work *Work, code swcode.Code)
	// Wasted is called when work used a slot and its answer came too late or not at all.
	Wasted(work *Work, service time.Duration)
}

// QueueConfig holds what a Queue is built from.
type QueueConfig struct {
	// Slots is the number of requests that the backend server declares to run at once.
	Slots int
	// Settings sets shares, limit, target and shedding; empty fields take the defaults.
	Settings swsetting.Admission
	// Observer may be nil.
	Observer Observer
}

// Queue shares one backend server's slots between priorities and callers. It is safe for concurrent use.
type Queue struct {
	observer Observer
	limit    int
	shedding bool

	mutex    sync.Mutex
	closed   bool
	slots    slotLimit
	running  int
	lines    [swrule.Priorities]line
	waiting  int
	reserved [swrule.Priorities]int
	shares   shareLedger
	service  serviceEstimate
	shedders [swrule.Priorities]shedder
	sequence uint64
	ticked   time.Time
	// unused keeps waiters for use again.
	unused sync.Pool
}

// waiter is work that waits for a slot. ready receives nil with the slot, or the refusal.
type waiter struct {
	work     Work
	entered  time.Time
	sequence uint64
	queued   bool
	ready    chan *swcode.Error
}

// Lease is the right to one of the backend server's slots. Give it back with Queue.Release exactly once.
type Slot struct {
	Work Work
	// Wait is the time spent in the queue.
	Wait    time.Duration
	started time.Time
}

// NewQueue returns a queue whose limit starts at one slot and ramps up to config.Slots as answers come.
func NewQueue(config QueueConfig) *Queue {
	settings := withDefaults(config.Settings)
	queue := &Queue{
		observer: config.Observer,
		limit:    settings.QueueLimit,
		shedding: settings.ShedByCohort,
		slots:    newSlotLimit(config.Slots),
		shares:   newShareLedger(settings.Shares),
		ticked:   time.Now(),
	}
	queue.unused.New = func() any { return &waiter{ready: make(chan *swcode.Error, 1)} }
	for i := range queue.lines {
		queue.lines[i].callers = make(map[string]*callerLine)
		queue.reserved[i] = max(1, int(queue.shares.share[i]*float64(queue.limit)))
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

// Acquire waits for a slot. It returns a *swcode.Error with RanNo when the work is refused, cannot finish by its
// deadline, or ctx ends first.
func (queue *Queue) Acquire(ctx context.Context, work Work) (Slot, error) {
	if ctx.Err() != nil {
		return Slot{}, queue.refuse(work, contextRefusal(ctx))
	}
	queue.mutex.Lock()
	now := time.Now()
	waiter, err := queue.enter(now, work)
	queue.mutex.Unlock()
	if err != nil {
		return Slot{}, queue.refuse(work, err)
	}
	if waiter == nil {
		return queue.granted(work, now, 0), nil
	}
	return queue.await(ctx, waiter)
}

func (queue *Queue) await(ctx context.Context, waiter *waiter) (Slot, error) {
	work, entered := waiter.work, waiter.entered
	var refusal *swcode.Error
	select {
	case refusal = <-waiter.ready:
		if refusal == nil && ctx.Err() != nil {
			refusal = queue.giveBack(ctx)
		}
	case <-ctx.Done():
		refusal = queue.withdraw(ctx, waiter)
	}
	queue.unused.Put(waiter)
	if refusal != nil {
		return Slot{}, queue.refuse(work, refusal)
	}
	now := time.Now()
	return queue.granted(work, now, now.Sub(entered)), nil
}

// withdraw takes the waiter out of the queue. When it was granted a slot at the same moment the slot is given back.
func (queue *Queue) withdraw(ctx context.Context, waiter *waiter) *swcode.Error {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if waiter.queued {
		queue.remove(waiter)
		if ctx.Err() == context.DeadlineExceeded {
			queue.shedders[waiter.work.Priority].lost++
		}
		return contextRefusal(ctx)
	}
	if refusal := <-waiter.ready; refusal != nil {
		return refusal
	}
	return queue.giveBackLocked(ctx)
}

// giveBack returns a slot that was granted to work whose context has ended.
func (queue *Queue) giveBack(ctx context.Context) *swcode.Error {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.giveBackLocked(ctx)
}

func (queue *Queue) giveBackLocked(ctx context.Context) *swcode.Error {
	queue.running--
	queue.dispatch(time.Now())
	return contextRefusal(ctx)
}

func contextRefusal(ctx context.Context) *swcode.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return errCannotMeet
	}
	return errCallerGone
}

func (queue *Queue) refuse(work Work, refusal *swcode.Error) error {
	if queue.observer != nil {
		observed := work
		queue.observer.Shed(&observed, refusal.Code)
	}
	return refusal
}

func (queue *Queue) granted(work Work, now time.Time, wait time.Duration) Slot {
	if queue.observer != nil {
		observed := work
		queue.observer.QueueWait(&observed, wait)
	}
	return Slot{Work: work, Wait: wait, started: now}
}

// enter grants a slot (nil, nil), queues the work, or refuses it.
func (queue *Queue) enter(now time.Time, work Work) (*waiter, *swcode.Error) {
	if queue.closed {
		return nil, errClosed
	}
	queue.tick(now)
	shedder := &queue.shedders[work.Priority]
	eligible := shedder.arrive(work.Caller, work.Cohort)
	if queue.running < queue.slots.whole() && queue.waiting == 0 {
		queue.start(work.Priority, 0)
		return nil, nil
	}
	if queue.shedding && !eligible && queue.lines[work.Priority].length > 0 {
		return nil, errShed
	}
	if queue.cannotMeet(now, &work) {
		shedder.lost++
		return nil, errCannotMeet
	}
	if queue.waiting >= queue.limit && !queue.displace(&work) {
		shedder.lost++
		return nil, errQueueFull
	}
	return queue.push(now, work), nil
}

func (queue *Queue) push(now time.Time, work Work) *waiter {
	waiter := queue.unused.Get().(*waiter)
	queue.sequence++
	waiter.work, waiter.entered, waiter.sequence, waiter.queued = work, now, queue.sequence, true
	queue.lines[work.Priority].push(waiter)
	queue.waiting++
	return waiter
}

func (queue *Queue) remove(waiter *waiter) {
	waiter.queued = false
	queue.lines[waiter.work.Priority].remove(waiter)
	queue.waiting--
}

// start accounts for work of the priority that takes a slot now.
func (queue *Queue) start(priority swrule.Priority, wait time.Duration) {
	queue.running++
	queue.shedders[priority].started(wait)
	queue.shares.charge(priority, &queue.service)
}

func (queue *Queue) tick(now time.Time) {
	if now.Sub(queue.ticked) < shedInterval {
		return
	}
	elapsed := now.Sub(queue.ticked)
	queue.ticked = now
	for i := range queue.shedders {
		queue.shedders[i].adjust(elapsed)
	}
}

// Release gives a slot back. service is the time that the backend server took; result tells what came of the work.
func (queue *Queue) Release(slot Slot, result Result) {
	now := time.Now()
	service := now.Sub(slot.started)
	queue.mutex.Lock()
	queue.running--
	switch result {
	case Completed:
		queue.service.add(slot.Work.Priority, service)
		queue.slots.succeeded(now)
	case ShedByServer:
		queue.slots.shed(now, queue.running+1)
		queue.shedders[slot.Work.Priority].lost++
	case Wasted:
		queue.service.censored(slot.Work.Priority, service)
	case NotRun:
	}
	queue.tick(now)
	queue.dispatch(now)
	queue.mutex.Unlock()
	if queue.observer != nil {
		queue.observe(slot.Work, service, result)
	}
}

func (queue *Queue) observe(work Work, service time.Duration, result Result) {
	switch result {
	case Completed:
		queue.observer.ServiceTime(&work, service)
	case Wasted:
		queue.observer.Wasted(&work, service)
	case ShedByServer, NotRun:
	}
}

// SetSlots changes the number of slots that the backend server declares.
func (queue *Queue) SetSlots(slots int) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.slots.declare(slots)
	queue.dispatch(time.Now())
}

// Restart begins the ramp again, as after a crash of the backend server.
func (queue *Queue) ResetLimit() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.slots.restart()
}

// Close refuses the waiting work and all that comes. Leases that are out stay valid.
func (queue *Queue) Close() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.closed = true
	for i := range queue.lines {
		for queue.lines[i].length > 0 {
			waiter := queue.lines[i].first()
			queue.remove(waiter)
			waiter.ready <- errClosed
		}
	}
}

// Open takes work again after Close.
func (queue *Queue) Reopen() {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.closed = false
}

// Load is a picture of a Queue.
type Load struct {
	Running int
	Waiting int
	// Limit is the learned number of slots.
	Limit int
	// Service is the mean time that the backend server takes, over all priorities.
	ServiceTime time.Duration
}

// Load returns the present picture.
func (queue *Queue) Load() Load {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return Load{
		Running:     queue.running,
		Waiting:     queue.waiting,
		Limit:       queue.slots.whole(),
		ServiceTime: queue.service.overall(),
	}
}
