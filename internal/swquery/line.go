package swquery

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// maxLineQueue bounds the envelopes that wait to be written to one owner.
const maxLineQueue = 4096

// Dialer opens exchanges with peers.
type Dialer interface {
	Open(ctx context.Context, target netip.AddrPort, method swpeer.Method) (Exchange, error)
	// Forget makes the next exchange use a fresh connection.
	Reconnect(target netip.AddrPort)
}

// PeerDialer adapts a node of the peer transport.
type PeerDialer struct {
	Node *swpeer.Node
}

// Open starts an exchange.
func (peerDialer PeerDialer) Open(ctx context.Context, target netip.AddrPort, method swpeer.Method) (Exchange, error) {
	stream, err := peerDialer.Node.Open(ctx, target, method)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Forget drops the present connection.
func (peerDialer PeerDialer) Reconnect(target netip.AddrPort) {
	peerDialer.Node.Reconnect(target)
}

// lines holds the stream to each owner. A stream carries the batches of many queries, since a stream for each batch costs
// more than the batch.
type lines struct {
	dialer Dialer
	group  *swgroup.Group

	mutex  sync.Mutex
	byPeer map[netip.AddrPort]*line
}

func newLines(dialer Dialer, group *swgroup.Group) *lines {
	return &lines{dialer: dialer, group: group, byPeer: make(map[netip.AddrPort]*line)}
}

// line is the root's end of the stream to one owner.
type line struct {
	lines *lines
	peer  netip.AddrPort
	// wake has an element when queue has one.
	wake chan struct{}

	mutex  sync.Mutex
	nextID uint64
	links  map[uint64]*link
	queue  []Envelope
	ended  bool
	// retired lines take no new batches and end with their last link.
	retired bool
	cancel  context.CancelFunc
}

// send puts the link's batch on the stream to its owner. It reports false, with nothing sent, when the stream's queue is
// full.
func (lines *lines) send(link *link) bool {
	for {
		line := lines.line(link.owner.Peer)
		accepted, ended := line.add(link)
		if !ended {
			return accepted
		}
		lines.drop(line)
	}
}

func (lines *lines) line(peer netip.AddrPort) *line {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	present := lines.byPeer[peer]
	if present != nil {
		return present
	}
	present = &line{lines: lines, peer: peer, wake: make(chan struct{}, 1), links: make(map[uint64]*link)}
	lines.byPeer[peer] = present
	lines.group.Go(present.run)
	return present
}

func (lines *lines) drop(dropped *line) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	if lines.byPeer[dropped.peer] == dropped {
		delete(lines.byPeer, dropped.peer)
	}
}

// forget makes the next batch to the line's peer go over a fresh connection. Batches on the line may still be answered. A
// line that another took the place of already changes nothing, since many queries lose their batches on one line.
func (lines *lines) forget(lost *line) {
	lines.mutex.Lock()
	present := lines.byPeer[lost.peer] == lost
	if present {
		delete(lines.byPeer, lost.peer)
	}
	lines.mutex.Unlock()
	if present {
		lines.dialer.Reconnect(lost.peer)
		lost.retire()
	}
}

// forgetPeer forgets the present line to a peer, if there is one.
func (lines *lines) forgetPeer(peer netip.AddrPort) {
	lines.mutex.Lock()
	present := lines.byPeer[peer]
	lines.mutex.Unlock()
	if present != nil {
		lines.forget(present)
	}
}

// add registers a link and queues its batch.
func (line *line) add(link *link) (accepted, ended bool) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	if line.ended || line.retired {
		return false, true
	}
	if len(line.queue) >= maxLineQueue {
		return false, false
	}
	line.nextID++
	link.line, link.id = line, line.nextID
	line.links[link.id] = link
	line.push(Envelope{ID: link.id, Batch: link.batch})
	return true, false
}

// push queues an envelope. The caller holds the mutex.
func (line *line) push(envelope Envelope) {
	line.queue = append(line.queue, envelope)
	select {
	case line.wake <- struct{}{}:
	default:
	}
}

// startHeld tells the owner to begin a batch that it holds.
func (line *line) startHeld(link *link) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	if line.links[link.id] == link && !line.ended {
		line.push(Envelope{ID: link.id, Start: true, RoundTrip: time.Since(link.sentAt)})
	}
}

// withdraw tells the owner that attempts of the link, or all when none are listed, are no longer wanted.
func (line *line) withdraw(link *link, attempts []uint64) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	if line.links[link.id] == link && !line.ended {
		line.push(Envelope{ID: link.id, Cancel: attempts, CancelAll: len(attempts) == 0})
	}
}

// remove ends the line's interest in a link.
func (line *line) remove(link *link) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	delete(line.links, link.id)
	line.endIfIdle()
}

func (line *line) retire() {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	line.retired = true
	line.endIfIdle()
}

// endIfIdle ends a retired line that waits for nothing. The caller holds the mutex.
func (line *line) endIfIdle() {
	if line.retired && len(line.links) == 0 && line.cancel != nil {
		line.cancel()
	}
}

// run opens the stream and carries messages until it breaks.
func (line *line) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	line.mutex.Lock()
	line.cancel = cancel
	line.endIfIdle()
	line.mutex.Unlock()
	exchange, err := line.lines.dialer.Open(ctx, line.peer, swpeer.MethodBatch)
	if err != nil {
		line.end()
		return
	}
	stop := context.AfterFunc(ctx, exchange.Cancel)
	defer stop()
	line.lines.group.Go(func(context.Context) { line.sendLoop(ctx, exchange) })
	line.receiveLoop(exchange)
	line.end()
}

func (line *line) sendLoop(ctx context.Context, exchange Exchange) {
	for {
		select {
		case <-line.wake:
		case <-ctx.Done():
			return
		}
		line.mutex.Lock()
		queue := line.queue
		line.queue = nil
		line.mutex.Unlock()
		if len(queue) == 0 {
			continue
		}
		if err := exchange.Send(messagesOf(queue)...); err != nil {
			exchange.Cancel()
			return
		}
	}
}

func messagesOf(queue []Envelope) []any {
	messages := make([]any, len(queue))
	for i := range queue {
		messages[i] = &queue[i]
	}
	return messages
}

func (line *line) receiveLoop(exchange Exchange) {
	for {
		var reply Reply
		if err := exchange.Receive(&reply); err != nil {
			return
		}
		line.mutex.Lock()
		link := line.links[reply.ID]
		line.mutex.Unlock()
		if link != nil {
			link.events.put(scatterEvent{link: link, reply: reply})
		}
	}
}

// end tells every link that the stream is gone. Batches that still wait in the queue were not sent, and never will be.
func (line *line) end() {
	line.lines.drop(line)
	line.mutex.Lock()
	line.ended = true
	links, queue := line.links, line.queue
	line.links, line.queue = nil, nil
	line.mutex.Unlock()
	unsent := make(map[uint64]bool, len(queue))
	for _, envelope := range queue {
		if envelope.Batch != nil || envelope.Start {
			unsent[envelope.ID] = true
		}
	}
	for id, link := range links {
		ran := swcode.RanUnknown
		if unsent[id] {
			ran = swcode.RanNo
		}
		link.events.put(scatterEvent{link: link, broken: true, ran: ran})
	}
}
