package swquery

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Stream is a bidirectional stream of messages with a peer.
type Stream interface {
	Send(messages ...any) error
	Receive(message any) error
	Cancel()
}

// rootStream is the owner's side of the stream from one root. Answers that become ready together are sent in one write.
type rootStream struct {
	owner  *Owner
	stream Stream

	mutex   sync.Mutex
	batches map[uint64]*receivedBatch
	// ready lists the batches with replies to send, in order of arrival.
	ready []*receivedBatch
	// wake signals that batches are ready.
	wake chan struct{}
}

// receivedBatch is a batch with its answers that are not sent yet.
type receivedBatch struct {
	id      uint64
	batch   *Batch
	work    *batchWork
	answers []ItemAnswer
	// lastReplyAt is the time of the last reply for the batch, or of its arrival.
	lastReplyAt time.Time
	unanswered  int
	// unstarted is the batch while it is held until its Start arrives.
	unstarted *Batch
	// expiresAt is when a held batch is dropped.
	expiresAt time.Time
}

// Serve serves the batches of one root until the stream ends, and then cancels the work in flight, since no root waits for it.
// The stream is no longer used after Serve has returned.
func (owner *Owner) Serve(ctx context.Context, stream Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	rootStream := &rootStream{owner: owner, stream: stream, batches: make(map[uint64]*receivedBatch), wake: make(chan struct{}, 1)}
	sent := make(chan struct{})
	owner.group.Go(func(context.Context) {
		defer close(sent)
		rootStream.sendLoop(ctx)
	})
	defer func() {
		cancel()
		stream.Cancel()
		<-sent
		rootStream.cancelBatches()
	}()
	for {
		var envelope Envelope
		err := stream.Receive(&envelope)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive from the root")
		}
		if err := rootStream.handleEnvelope(ctx, &envelope); err != nil {
			return err
		}
	}
}

// handleEnvelope adds a batch, or starts or cancels one that was added before. Messages about a completed batch are ignored.
func (rootStream *rootStream) handleEnvelope(ctx context.Context, envelope *Envelope) error {
	if envelope.Batch != nil {
		return rootStream.addBatch(ctx, envelope.ID, envelope.Batch)
	}
	rootStream.mutex.Lock()
	batch := rootStream.batches[envelope.ID]
	rootStream.mutex.Unlock()
	if batch == nil {
		return nil
	}
	if envelope.Start {
		rootStream.startHeld(ctx, batch, envelope.RoundTrip)
	}
	rootStream.cancelAttempts(batch, envelope)
	return nil
}

// startHeld starts a held batch. Its deadline is no later than the root's, however long the batch took to arrive.
func (rootStream *rootStream) startHeld(ctx context.Context, batch *receivedBatch, roundTrip time.Duration) {
	rootStream.mutex.Lock()
	defer rootStream.mutex.Unlock()
	if batch.unstarted != nil {
		batch.expiresAt = batch.expiresAt.Add(-roundTrip)
		rootStream.start(ctx, batch, batch.unstarted)
	}
}

// start starts a batch. The caller holds the mutex.
func (rootStream *rootStream) start(ctx context.Context, batch *receivedBatch, work *Batch) {
	if batch.unstarted != nil {
		work.Remaining = time.Until(batch.expiresAt)
		batch.unstarted = nil
	}
	batch.work = rootStream.owner.start(ctx, work, func(_ *batchWork, answer ItemAnswer) { rootStream.queueAnswer(batch, answer) })
}

// cancelAttempts cancels attempts of a batch. A held batch can only be cancelled as a whole.
func (rootStream *rootStream) cancelAttempts(batch *receivedBatch, envelope *Envelope) {
	rootStream.mutex.Lock()
	work := batch.work
	if work == nil && envelope.CancelAll {
		rootStream.removeBatch(batch)
	}
	rootStream.mutex.Unlock()
	switch {
	case work == nil:
	case envelope.CancelAll:
		work.cancelAll()
	default:
		work.cancelAttempts(envelope.Cancel)
	}
}

// addBatch starts a batch, or acknowledges it and holds it until its Start arrives.
func (rootStream *rootStream) addBatch(ctx context.Context, id uint64, batch *Batch) error {
	if len(batch.Items) == 0 || len(batch.Items) > maxBatchItems {
		return errors.Errorf("batch has %d items, want 1 to %d", len(batch.Items), maxBatchItems)
	}
	received := &receivedBatch{id: id, batch: batch, unanswered: len(batch.Items), lastReplyAt: time.Now()}
	rootStream.owner.batchesReceived.Add(1)
	rootStream.owner.batchesInFlight.Add(1)
	rootStream.mutex.Lock()
	defer rootStream.mutex.Unlock()
	rootStream.batches[id] = received
	if !batch.Hold {
		rootStream.start(ctx, received, batch)
		return nil
	}
	received.unstarted = batch
	received.expiresAt = time.Now().Add(batch.Remaining)
	rootStream.ready = append(rootStream.ready, received)
	rootStream.wakeSender()
	return nil
}

func (rootStream *rootStream) wakeSender() {
	select {
	case rootStream.wake <- struct{}{}:
	default:
	}
}

// queueAnswer queues an answer for the next write.
func (rootStream *rootStream) queueAnswer(batch *receivedBatch, answer ItemAnswer) {
	rootStream.mutex.Lock()
	defer rootStream.mutex.Unlock()
	if len(batch.answers) == 0 {
		rootStream.ready = append(rootStream.ready, batch)
	}
	batch.answers = append(batch.answers, answer)
	rootStream.wakeSender()
}

// sendLoop sends replies as they become ready, and heartbeats, until the context ends.
func (rootStream *rootStream) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(rootStream.owner.heartbeat)
	defer ticker.Stop()
	for {
		var replies []any
		select {
		case <-rootStream.wake:
			replies = rootStream.takeReady()
		case <-ticker.C:
			replies = rootStream.heartbeats(time.Now())
		case <-ctx.Done():
			return
		}
		if len(replies) == 0 {
			continue
		}
		if err := rootStream.stream.Send(replies...); err != nil {
			rootStream.stream.Cancel()
			return
		}
	}
}

// takeReady returns the replies that are ready, and removes the batches that they complete.
func (rootStream *rootStream) takeReady() []any {
	report := rootStream.owner.backends.Report()
	now := time.Now()
	rootStream.mutex.Lock()
	defer rootStream.mutex.Unlock()
	replies := make([]any, len(rootStream.ready))
	for i, batch := range rootStream.ready {
		reply := batch.batch.reply(batch.id, batch.answers)
		reply.Report = report
		replies[i] = reply
		batch.unanswered -= len(batch.answers)
		batch.answers = nil
		batch.lastReplyAt = now
		if batch.unanswered == 0 {
			rootStream.removeBatch(batch)
		}
	}
	rootStream.ready = rootStream.ready[:0]
	return replies
}

// heartbeats returns empty replies for the batches without a reply in the last heartbeat interval, and drops held batches that
// have expired.
func (rootStream *rootStream) heartbeats(now time.Time) []any {
	rootStream.mutex.Lock()
	defer rootStream.mutex.Unlock()
	var replies []any
	for _, batch := range rootStream.batches {
		if batch.unstarted != nil && now.After(batch.expiresAt) {
			rootStream.removeBatch(batch)
			continue
		}
		if now.Sub(batch.lastReplyAt) < rootStream.owner.heartbeat || len(batch.answers) > 0 {
			continue
		}
		batch.lastReplyAt = now
		replies = append(replies, batch.batch.reply(batch.id, nil))
	}
	return replies
}

// removeBatch removes a batch. The caller holds the mutex.
func (rootStream *rootStream) removeBatch(batch *receivedBatch) {
	delete(rootStream.batches, batch.id)
	rootStream.owner.batchesInFlight.Add(-1)
}

// cancelBatches cancels every batch after the stream has ended.
func (rootStream *rootStream) cancelBatches() {
	rootStream.mutex.Lock()
	defer rootStream.mutex.Unlock()
	for _, batch := range rootStream.batches {
		if batch.work != nil {
			batch.work.cancelAll()
		}
		rootStream.removeBatch(batch)
	}
}
