package swquery

import (
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// link is one batch on its way to one owner.
type link struct {
	owner    swmember.Member
	batch    *Batch
	attempts map[uint64]struct{}
	events   *eventQueue
	// sentAt is when the batch was given to the line.
	sentAt time.Time
	// heard is the time of the last message from the owner, or of the sending.
	heard time.Time
	// lost marks a link whose attempts were given up.
	lost bool
	// overtaken marks a link whose owner was silent, so that its attempts were sent elsewhere as well.
	overtaken bool
	// held marks a batch that its owner holds until it is told to begin.
	held bool
	// started is set once the owner was told to begin a batch that it held.
	started bool
	// work is set where this VM serves the batch itself.
	work *batchWork
	// line and id place the batch on the stream to its owner.
	line *line
	id   uint64
}

// scatterEvent is what a link reports to the gather.
type scatterEvent struct {
	link  *link
	reply Reply
	// broken marks the end of the link; ran tells whether its attempts may have run.
	broken bool
	ran    swcode.Ran
}

// eventQueue brings events to the one goroutine that gathers. Putting never blocks.
type eventQueue struct {
	// wake has an element when events has one.
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

func (eventQueue *eventQueue) take() []scatterEvent {
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

// scatter sends the attempts of one gather to the owners and brings their answers back in one queue.
type scatter struct {
	engine *Engine
	events *eventQueue
	links  []*link
}

func newScatter(engine *Engine) *scatter {
	return &scatter{engine: engine, events: newEventQueue()}
}

// close withdraws everything that is still open.
func (scatter *scatter) close() {
	scatter.events.close()
	for _, link := range scatter.links {
		link.close()
	}
}

func (link *link) close() {
	if link.work != nil {
		link.work.cancelAll()
	}
	if link.line == nil {
		return
	}
	if len(link.attempts) > 0 {
		link.line.withdraw(link, nil)
	}
	link.line.remove(link)
}

// send groups the commands by owner and sends each owner one batch.
func (scatter *scatter) send(now time.Time, header Batch, view *swmember.View, commands []Command) {
	first := len(scatter.links)
	for _, command := range commands {
		link := scatter.linkTo(first, command.Target.Owner)
		if link == nil {
			link = scatter.newLink(now, header, view, command.Target.Owner)
		}
		link.attempts[command.Attempt] = struct{}{}
		link.batch.Items = append(link.batch.Items, Item{Attempt: command.Attempt, Shard: command.Shard, Server: command.Target.Server})
	}
	for _, link := range scatter.links[first:] {
		scatter.start(link, view)
	}
}

// linkTo returns the link to the owner among those of the present round.
func (scatter *scatter) linkTo(first int, owner string) *link {
	for _, link := range scatter.links[first:] {
		if link.owner.Name == owner {
			return link
		}
	}
	return nil
}

func (scatter *scatter) newLink(now time.Time, header Batch, view *swmember.View, owner string) *link {
	batch := header
	batch.Items = nil
	member, known := view.Member(owner)
	if !known {
		member = swmember.Member{Name: owner}
	}
	made := &link{owner: member, batch: &batch, attempts: make(map[uint64]struct{}), events: scatter.events, sentAt: now, heard: now, held: header.Hold}
	scatter.links = append(scatter.links, made)
	return made
}

func (scatter *scatter) start(link *link, view *swmember.View) {
	engine := scatter.engine
	if link.owner.Name == view.Self.Name {
		link.work = engine.owner.start(engine.config.Group.Context(), link.batch, func(work *batchWork, answer ItemAnswer) {
			event := scatterEvent{link: link, reply: work.batch.reply(0, []ItemAnswer{answer})}
			if work.left.Load() == 0 {
				event.reply.Report = engine.config.Backends.Report()
			}
			link.events.put(event)
		})
		return
	}
	if !engine.lines.send(link) {
		link.events.put(scatterEvent{link: link, broken: true, ran: swcode.RanNo})
	}
}

// withdraw tells the owners which attempts are no longer wanted.
func (scatter *scatter) withdraw(commands []Command) {
	for _, link := range scatter.links {
		var attempts []uint64
		for _, command := range commands {
			if _, ok := link.attempts[command.Attempt]; ok {
				attempts = append(attempts, command.Attempt)
			}
		}
		if len(attempts) > 0 {
			link.withdraw(attempts)
		}
	}
}

func (link *link) withdraw(attempts []uint64) {
	if link.work != nil {
		link.work.withdraw(attempts)
	}
	if link.line != nil {
		link.line.withdraw(link, attempts)
	}
}

// unstarted reports whether the owner holds the batch and was never told to begin.
func (link *link) unstarted() bool {
	return link.held && !link.started && !link.local()
}

// carries reports whether the attempt went over this link and has no outcome.
func (link *link) carries(attempt uint64, _ Target) bool {
	_, on := link.attempts[attempt]
	return on
}

// answered takes an attempt off its link and reports whether it was on it.
func (link *link) answered(attempt uint64) bool {
	if _, ok := link.attempts[attempt]; !ok {
		return false
	}
	delete(link.attempts, attempt)
	return true
}

// local reports whether this VM serves the batch itself.
func (link *link) local() bool {
	return link.work != nil
}
