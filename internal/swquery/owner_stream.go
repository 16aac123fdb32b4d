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

// maxStreamQueue limits the envelopes that wait to be written to one owner.
const maxStreamQueue = 4096

// Dialer opens streams to peers.
type Dialer interface {
	Open(ctx context.Context, target netip.AddrPort, method swpeer.Method) (Stream, error)
	// Reconnect makes the next stream use a new connection.
	Reconnect(target netip.AddrPort)
}

// PeerDialer adapts a peer transport node to Dialer.
type PeerDialer struct {
	Node *swpeer.Node
}

// Open opens a stream to the peer.
func (peerDialer PeerDialer) Open(ctx context.Context, target netip.AddrPort, method swpeer.Method) (Stream, error) {
	stream, err := peerDialer.Node.Open(ctx, target, method)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Reconnect makes the next stream to the peer use a new connection.
func (peerDialer PeerDialer) Reconnect(target netip.AddrPort) {
	peerDialer.Node.Reconnect(target)
}

// ownerStreams holds the streams to the owners, one per owner. A stream carries the batches of many queries, since opening one
// per batch costs more than the batch itself.
type ownerStreams struct {
	dialer Dialer
	group  *swgroup.Group

	mutex  sync.Mutex
	byPeer map[netip.AddrPort]*ownerStream
}

func newOwnerStreams(dialer Dialer, group *swgroup.Group) *ownerStreams {
	return &ownerStreams{dialer: dialer, group: group, byPeer: make(map[netip.AddrPort]*ownerStream)}
}

// ownerStream is the root's side of the stream to one owner.
type ownerStream struct {
	ownerStreams *ownerStreams
	peer         netip.AddrPort
	// wake signals that envelopes are queued.
	wake chan struct{}

	mutex  sync.Mutex
	nextID uint64
	calls  map[uint64]*call
	queue  []Envelope
	ended  bool
	// retired is set when the stream accepts no new calls and ends with its last call.
	retired bool
	cancel  context.CancelFunc
}

// send queues the call's batch on the stream to its owner. It returns false, with nothing sent, if the stream's queue is full.
func (ownerStreams *ownerStreams) send(call *call) bool {
	for {
		ownerStream := ownerStreams.get(call.owner.Peer)
		accepted, ended := ownerStream.add(call)
		if !ended {
			return accepted
		}
		ownerStreams.remove(ownerStream)
	}
}

// get returns the stream to a peer and starts one if there is none.
func (ownerStreams *ownerStreams) get(peer netip.AddrPort) *ownerStream {
	ownerStreams.mutex.Lock()
	defer ownerStreams.mutex.Unlock()
	present := ownerStreams.byPeer[peer]
	if present != nil {
		return present
	}
	present = &ownerStream{ownerStreams: ownerStreams, peer: peer, wake: make(chan struct{}, 1), calls: make(map[uint64]*call)}
	ownerStreams.byPeer[peer] = present
	ownerStreams.group.Go(present.run)
	return present
}

func (ownerStreams *ownerStreams) remove(dropped *ownerStream) {
	ownerStreams.mutex.Lock()
	defer ownerStreams.mutex.Unlock()
	if ownerStreams.byPeer[dropped.peer] == dropped {
		delete(ownerStreams.byPeer, dropped.peer)
	}
}

// reconnect makes the next batch to the stream's peer use a new connection. Batches on the old stream may still be answered.
// It does nothing if the stream was already replaced, since many queries may report the loss of the same stream.
func (ownerStreams *ownerStreams) reconnect(lost *ownerStream) {
	ownerStreams.mutex.Lock()
	present := ownerStreams.byPeer[lost.peer] == lost
	if present {
		delete(ownerStreams.byPeer, lost.peer)
	}
	ownerStreams.mutex.Unlock()
	if present {
		ownerStreams.dialer.Reconnect(lost.peer)
		lost.retire()
	}
}

// reconnectPeer replaces the present stream to a peer, if there is one.
func (ownerStreams *ownerStreams) reconnectPeer(peer netip.AddrPort) {
	ownerStreams.mutex.Lock()
	present := ownerStreams.byPeer[peer]
	ownerStreams.mutex.Unlock()
	if present != nil {
		ownerStreams.reconnect(present)
	}
}

// add registers a call and queues its batch. accepted is false if the queue is full. ended is true if the stream takes no new
// calls, so that another one must be opened.
func (ownerStream *ownerStream) add(call *call) (accepted, ended bool) {
	ownerStream.mutex.Lock()
	defer ownerStream.mutex.Unlock()
	if ownerStream.ended || ownerStream.retired {
		return false, true
	}
	if len(ownerStream.queue) >= maxStreamQueue {
		return false, false
	}
	ownerStream.nextID++
	call.stream, call.id = ownerStream, ownerStream.nextID
	ownerStream.calls[call.id] = call
	ownerStream.enqueue(Envelope{ID: call.id, Batch: call.batch})
	return true, false
}

// enqueue queues an envelope. The caller holds the mutex.
func (ownerStream *ownerStream) enqueue(envelope Envelope) {
	ownerStream.queue = append(ownerStream.queue, envelope)
	select {
	case ownerStream.wake <- struct{}{}:
	default:
	}
}

// sendStart sends Start for a held batch.
func (ownerStream *ownerStream) sendStart(call *call) {
	ownerStream.mutex.Lock()
	defer ownerStream.mutex.Unlock()
	if ownerStream.calls[call.id] == call && !ownerStream.ended {
		ownerStream.enqueue(Envelope{ID: call.id, Start: true, RoundTrip: time.Since(call.sentAt)})
	}
}

// cancelAttempts cancels the listed attempts of the call at the owner, or all of them if none are listed.
func (ownerStream *ownerStream) cancelAttempts(call *call, attempts []uint64) {
	ownerStream.mutex.Lock()
	defer ownerStream.mutex.Unlock()
	if ownerStream.calls[call.id] == call && !ownerStream.ended {
		ownerStream.enqueue(Envelope{ID: call.id, Cancel: attempts, CancelAll: len(attempts) == 0})
	}
}

// remove unregisters a call, so that later replies to it are dropped.
func (ownerStream *ownerStream) remove(call *call) {
	ownerStream.mutex.Lock()
	defer ownerStream.mutex.Unlock()
	delete(ownerStream.calls, call.id)
	ownerStream.cancelIfIdle()
}

// retire makes the stream accept no new calls and end with its last call.
func (ownerStream *ownerStream) retire() {
	ownerStream.mutex.Lock()
	defer ownerStream.mutex.Unlock()
	ownerStream.retired = true
	ownerStream.cancelIfIdle()
}

// cancelIfIdle ends a retired stream without calls. The caller holds the mutex.
func (ownerStream *ownerStream) cancelIfIdle() {
	if ownerStream.retired && len(ownerStream.calls) == 0 && ownerStream.cancel != nil {
		ownerStream.cancel()
	}
}

// run opens the stream and carries messages until it breaks.
func (ownerStream *ownerStream) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ownerStream.mutex.Lock()
	ownerStream.cancel = cancel
	ownerStream.cancelIfIdle()
	ownerStream.mutex.Unlock()
	stream, err := ownerStream.ownerStreams.dialer.Open(ctx, ownerStream.peer, swpeer.MethodBatch)
	if err != nil {
		ownerStream.end()
		return
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	ownerStream.ownerStreams.group.Go(func(context.Context) { ownerStream.sendLoop(ctx, stream) })
	ownerStream.receiveLoop(stream)
	ownerStream.end()
}

// sendLoop writes the queued envelopes, all that are queued in one write. A failed write cancels the stream.
func (ownerStream *ownerStream) sendLoop(ctx context.Context, stream Stream) {
	for {
		select {
		case <-ownerStream.wake:
		case <-ctx.Done():
			return
		}
		ownerStream.mutex.Lock()
		queue := ownerStream.queue
		ownerStream.queue = nil
		ownerStream.mutex.Unlock()
		if len(queue) == 0 {
			continue
		}
		if err := stream.Send(toMessages(queue)...); err != nil {
			stream.Cancel()
			return
		}
	}
}

func toMessages(queue []Envelope) []any {
	messages := make([]any, len(queue))
	for i := range queue {
		messages[i] = &queue[i]
	}
	return messages
}

// receiveLoop passes replies to their calls until the stream breaks. Replies to removed calls are dropped.
func (ownerStream *ownerStream) receiveLoop(stream Stream) {
	for {
		var reply Reply
		if err := stream.Receive(&reply); err != nil {
			return
		}
		ownerStream.mutex.Lock()
		call := ownerStream.calls[reply.ID]
		ownerStream.mutex.Unlock()
		if call != nil {
			call.events.put(scatterEvent{call: call, reply: reply})
		}
	}
}

// end reports the loss of the stream to every call. Batches that are still queued were never sent and so did not run.
func (ownerStream *ownerStream) end() {
	ownerStream.ownerStreams.remove(ownerStream)
	ownerStream.mutex.Lock()
	ownerStream.ended = true
	calls, queue := ownerStream.calls, ownerStream.queue
	ownerStream.calls, ownerStream.queue = nil, nil
	ownerStream.mutex.Unlock()
	unsent := make(map[uint64]bool, len(queue))
	for _, envelope := range queue {
		if envelope.Batch != nil || envelope.Start {
			unsent[envelope.ID] = true
		}
	}
	for id, call := range calls {
		ran := swcode.RanUnknown
		if unsent[id] {
			ran = swcode.RanNo
		}
		call.events.put(scatterEvent{call: call, broken: true, ran: ran})
	}
}
