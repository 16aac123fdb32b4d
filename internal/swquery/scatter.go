package swquery

import (
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// call is one batch sent to one owner, with its open attempts.
type call struct {
	owner    swmember.Member
	batch    *Batch
	attempts map[uint64]struct{}
	events   *eventQueue
	// sentAt is when the batch was queued for sending.
	sentAt time.Time
	// lastMessageAt is the time of the last message from the owner, or of sending.
	lastMessageAt time.Time
	// lost is set once the call's attempts have been failed.
	lost bool
	// sentElsewhere is set once the attempts were also sent to other targets because the owner was unresponsive.
	sentElsewhere bool
	// held is set if the owner holds the batch until it receives Start.
	held bool
	// started is set once Start was sent for a held batch.
	started bool
	// work is set if this VM serves the batch itself.
	work *batchWork
	// stream and id identify the batch on the stream to its owner.
	stream *ownerStream
	id     uint64
}

// scatterEvent is a reply to a call or the loss of a call.
type scatterEvent struct {
	call  *call
	reply Reply
	// broken is set if the call was lost; ran then reports whether its attempts may have run.
	broken bool
	ran    swcode.Ran
}

// eventQueue passes events to the one goroutine that gathers. put never blocks.
type eventQueue struct {
	// wake signals that events are queued.
	wake chan struct{}

	mutex  sync.Mutex
	events []scatterEvent
	closed bool
}

func newEventQueue() *eventQueue {
	return &eventQueue{wake: make(chan struct{}, 1)}
}

func (eventQueue *eventQueue) put(event scatterEvent) {
	eventQueue.mutex.Lock()
	defer eventQueue.mutex.Unlock()
	if eventQueue.closed {
		return
	}
	eventQueue.events = append(eventQueue.events, event)
	select {
	case eventQueue.wake <- struct{}{}:
	default:
	}
}

func (eventQueue *eventQueue) drain() []scatterEvent {
	eventQueue.mutex.Lock()
	defer eventQueue.mutex.Unlock()
	events := eventQueue.events
	eventQueue.events = nil
	return events
}

func (eventQueue *eventQueue) close() {
	eventQueue.mutex.Lock()
	defer eventQueue.mutex.Unlock()
	eventQueue.closed = true
	eventQueue.events = nil
}

// scatter sends the attempts of one gather to the owners and collects their replies in one queue.
type scatter struct {
	engine *Engine
	events *eventQueue
	calls  []*call
}

func newScatter(engine *Engine) *scatter {
	return &scatter{engine: engine, events: newEventQueue()}
}

// close cancels all open attempts.
func (scatter *scatter) close() {
	scatter.events.close()
	for _, call := range scatter.calls {
		call.close()
	}
}

// close cancels the open attempts of the call. Later replies to it are dropped.
func (call *call) close() {
	if call.work != nil {
		call.work.cancelAll()
	}
	if call.stream == nil {
		return
	}
	if len(call.attempts) > 0 {
		call.stream.cancelAttempts(call, nil)
	}
	call.stream.remove(call)
}

// send groups the commands by owner and sends one batch to each.
func (scatter *scatter) send(now time.Time, header Batch, view *swmember.View, commands []Command) {
	first := len(scatter.calls)
	for _, command := range commands {
		call := scatter.callTo(first, command.Target.Owner)
		if call == nil {
			call = scatter.newCall(now, header, view, command.Target.Owner)
		}
		call.attempts[command.Attempt] = struct{}{}
		call.batch.Items = append(call.batch.Items, Item{Attempt: command.Attempt, Shard: command.Shard, Server: command.Target.Server})
	}
	for _, call := range scatter.calls[first:] {
		scatter.start(call, view)
	}
}

// callTo returns the call to the owner among those from first on, or nil.
func (scatter *scatter) callTo(first int, owner string) *call {
	for _, call := range scatter.calls[first:] {
		if call.owner.Name == owner {
			return call
		}
	}
	return nil
}

// newCall adds a call without attempts. An owner that is no longer a member has no address, so its stream cannot be opened.
func (scatter *scatter) newCall(now time.Time, header Batch, view *swmember.View, owner string) *call {
	batch := header
	batch.Items = nil
	member, known := view.Member(owner)
	if !known {
		member = swmember.Member{Name: owner}
	}
	added := &call{owner: member, batch: &batch, attempts: make(map[uint64]struct{}), events: scatter.events, sentAt: now, lastMessageAt: now, held: header.Hold}
	scatter.calls = append(scatter.calls, added)
	return added
}

// start sends the batch of a call to its owner, or executes it if this VM is the owner.
func (scatter *scatter) start(call *call, view *swmember.View) {
	engine := scatter.engine
	if call.owner.Name == view.Self.Name {
		call.work = engine.owner.start(engine.config.Group.Context(), call.batch, func(work *batchWork, answer ItemAnswer) {
			event := scatterEvent{call: call, reply: work.batch.reply(0, []ItemAnswer{answer})}
			if work.unanswered.Load() == 0 {
				event.reply.Report = engine.config.Backends.Report()
			}
			call.events.put(event)
		})
		return
	}
	if !engine.ownerStreams.send(call) {
		call.events.put(scatterEvent{call: call, broken: true, ran: swcode.RanNo})
	}
}

// cancel cancels the attempts of the commands at their owners.
func (scatter *scatter) cancel(commands []Command) {
	for _, call := range scatter.calls {
		var attempts []uint64
		for _, command := range commands {
			if _, ok := call.attempts[command.Attempt]; ok {
				attempts = append(attempts, command.Attempt)
			}
		}
		if len(attempts) > 0 {
			call.cancelAttempts(attempts)
		}
	}
}

func (call *call) cancelAttempts(attempts []uint64) {
	if call.work != nil {
		call.work.cancelAttempts(attempts)
	}
	if call.stream != nil {
		call.stream.cancelAttempts(call, attempts)
	}
}

// awaitsStart reports whether the owner holds the batch and was not sent Start.
func (call *call) awaitsStart() bool {
	return call.held && !call.started && !call.isLocal()
}

// hasAttempt reports whether the attempt was sent by this call and is open.
func (call *call) hasAttempt(attempt uint64, _ Target) bool {
	_, open := call.attempts[attempt]
	return open
}

// removeAttempt removes an attempt and reports whether the call had it.
func (call *call) removeAttempt(attempt uint64) bool {
	if _, ok := call.attempts[attempt]; !ok {
		return false
	}
	delete(call.attempts, attempt)
	return true
}

// isLocal reports whether this VM serves the batch itself.
func (call *call) isLocal() bool {
	return call.work != nil
}
