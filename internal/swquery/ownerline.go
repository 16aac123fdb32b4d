package swquery

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Exchange is one stream of messages with a peer.
type Exchange interface {
	Send(messages ...any) error
	Receive(message any) error
	Cancel()
}

// ownerLine serves the batches that one root sends on one stream. Answers that become ready together travel in one write.
type ownerLine struct {
	owner    *Owner
	exchange Exchange

	mutex   sync.Mutex
	batches map[uint64]*ownerBatch
	// ready lists batches with answers that are to be sent, in the order in which they came.
	ready []*ownerBatch
	// wake has an element when ready has one.
	wake chan struct{}
}

// ownerBatch is a batch with the answers that wait to be sent.
type ownerBatch struct {
	id      uint64
	batch   *Batch
	work    *batchWork
	answers []ItemAnswer
	// spoke is the time of the last reply for the batch, or of its coming.
	spoke time.Time
	left  int
	// held is the batch until its Start comes.
	held *Batch
	// expires is when a batch that is held is forgotten.
	expires time.Time
}

// Serve takes the batches of one root until the stream ends, and withdraws what is then in flight: a root that is gone
// waits for nothing. Nothing uses the exchange once it has returned.
func (owner *Owner) Serve(ctx context.Context, exchange Exchange) error {
	ctx, cancel := context.WithCancel(ctx)
	line := &ownerLine{owner: owner, exchange: exchange, batches: make(map[uint64]*ownerBatch), wake: make(chan struct{}, 1)}
	sent := make(chan struct{})
	owner.group.Go(func(context.Context) {
		defer close(sent)
		line.sendLoop(ctx)
	})
	defer func() {
		cancel()
		exchange.Cancel()
		<-sent
		line.abandon()
	}()
	for {
		var envelope Envelope
		err := exchange.Receive(&envelope)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive from the root")
		}
		if err := line.take(ctx, &envelope); err != nil {
			return err
		}
	}
}

func (line *ownerLine) take(ctx context.Context, envelope *Envelope) error {
	if envelope.Batch != nil {
		return line.begin(ctx, envelope.ID, envelope.Batch)
	}
	line.mutex.Lock()
	batch := line.batches[envelope.ID]
	line.mutex.Unlock()
	if batch == nil {
		return nil
	}
	if envelope.Start {
		line.startHeld(ctx, batch, envelope.RoundTrip)
	}
	line.withdraw(batch, envelope)
	return nil
}

// startHeld begins a batch that waited for the root's word. Its time ends no later than the root's own, however long the batch
// was on its way.
func (line *ownerLine) startHeld(ctx context.Context, batch *ownerBatch, roundTrip time.Duration) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	if batch.held != nil {
		batch.expires = batch.expires.Add(-roundTrip)
		line.start(ctx, batch, batch.held)
	}
}

// start begins a batch. The caller holds the mutex.
func (line *ownerLine) start(ctx context.Context, batch *ownerBatch, work *Batch) {
	if batch.held != nil {
		work.Remaining = time.Until(batch.expires)
		batch.held = nil
	}
	batch.work = line.owner.start(ctx, work, func(_ *batchWork, answer ItemAnswer) { line.emit(batch, answer) })
}

// withdraw cancels attempts of a batch. One that is held is only ever withdrawn whole.
func (line *ownerLine) withdraw(batch *ownerBatch, envelope *Envelope) {
	line.mutex.Lock()
	work := batch.work
	if work == nil && envelope.CancelAll {
		line.forget(batch)
	}
	line.mutex.Unlock()
	switch {
	case work == nil:
	case envelope.CancelAll:
		work.cancelAll()
	default:
		work.withdraw(envelope.Cancel)
	}
}

func (line *ownerLine) begin(ctx context.Context, id uint64, batch *Batch) error {
	if len(batch.Items) == 0 || len(batch.Items) > maxBatchItems {
		return errors.Errorf("a batch of %d items is outside 1 to %d", len(batch.Items), maxBatchItems)
	}
	served := &ownerBatch{id: id, batch: batch, left: len(batch.Items), spoke: time.Now()}
	line.owner.served.Add(1)
	line.owner.busy.Add(1)
	line.mutex.Lock()
	defer line.mutex.Unlock()
	line.batches[id] = served
	if !batch.Hold {
		line.start(ctx, served, batch)
		return nil
	}
	served.held = batch
	served.expires = time.Now().Add(batch.Remaining)
	line.ready = append(line.ready, served)
	line.wakeSender()
	return nil
}

func (line *ownerLine) wakeSender() {
	select {
	case line.wake <- struct{}{}:
	default:
	}
}

// emit queues an answer for the next write.
func (line *ownerLine) emit(batch *ownerBatch, answer ItemAnswer) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	if len(batch.answers) == 0 {
		line.ready = append(line.ready, batch)
	}
	batch.answers = append(batch.answers, answer)
	line.wakeSender()
}

func (line *ownerLine) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(line.owner.heartbeat)
	defer ticker.Stop()
	for {
		var replies []any
		select {
		case <-line.wake:
			replies = line.takeReady()
		case <-ticker.C:
			replies = line.heartbeats(time.Now())
		case <-ctx.Done():
			return
		}
		if len(replies) == 0 {
			continue
		}
		if err := line.exchange.Send(replies...); err != nil {
			line.exchange.Cancel()
			return
		}
	}
}

// takeReady returns the replies that wait, and forgets the batches that they complete.
func (line *ownerLine) takeReady() []any {
	report := line.owner.backends.Report()
	now := time.Now()
	line.mutex.Lock()
	defer line.mutex.Unlock()
	replies := make([]any, len(line.ready))
	for i, batch := range line.ready {
		reply := batch.batch.reply(batch.id, batch.answers)
		reply.Report = report
		replies[i] = reply
		batch.left -= len(batch.answers)
		batch.answers = nil
		batch.spoke = now
		if batch.left == 0 {
			line.forget(batch)
		}
	}
	line.ready = line.ready[:0]
	return replies
}

// heartbeats returns empty replies for the batches that nothing was said of for a while.
func (line *ownerLine) heartbeats(now time.Time) []any {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	var replies []any
	for _, batch := range line.batches {
		if batch.held != nil && now.After(batch.expires) {
			line.forget(batch)
			continue
		}
		if now.Sub(batch.spoke) < line.owner.heartbeat || len(batch.answers) > 0 {
			continue
		}
		batch.spoke = now
		replies = append(replies, batch.batch.reply(batch.id, nil))
	}
	return replies
}

// forget drops a batch. The caller holds the mutex.
func (line *ownerLine) forget(batch *ownerBatch) {
	delete(line.batches, batch.id)
	line.owner.busy.Add(-1)
}

// abandon withdraws every batch when the stream has ended.
func (line *ownerLine) abandon() {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	for _, batch := range line.batches {
		if batch.work != nil {
			batch.work.cancelAll()
		}
		line.forget(batch)
	}
}
