package swquery

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// Backends runs sub-requests on the backend servers that this VM sends to.
type Backends interface {
	// Execute returns once the answer is here or the context has ended.
	Execute(ctx context.Context, subRequest swbackend.SubRequest) swbackend.Answer
	// Reports tells how the queues of this VM shed work.
	Report() swadmission.Report
}

// Exchange is one stream of messages with a peer.
type Exchange interface {
	Send(messages ...any) error
	Receive(message any) error
	CloseSend() error
	Cancel()
}

// maxBatchItems bounds the attempts in one batch.
const maxBatchItems = 4096

// Owner serves batches of sub-requests for the backend servers that this VM owns. It serves any batch that it is given
// and never passes one on, so that differing views of the members cannot make a loop.
type Owner struct {
	backends  Backends
	group     *swgroup.Group
	heartbeat time.Duration
	busy      atomic.Int64
	served    atomic.Uint64
	// onAnswered is told the fingerprint of each attempt that a backend server answered; it may be nil.
	onAnswered func(fingerprint uint64)
}

// Busy returns the number of batches of peers in flight.
func (owner *Owner) Busy() int64 {
	return owner.busy.Load()
}

// Served returns the number of batches that peers have sent.
func (owner *Owner) Served() uint64 {
	return owner.served.Load()
}

// NewOwner returns an owner that tells the root every heartbeat that it still works on a batch.
func NewOwner(backends Backends, group *swgroup.Group, heartbeat time.Duration) *Owner {
	return &Owner{backends: backends, group: group, heartbeat: heartbeat}
}

// Serve reads one batch from the exchange and sends each answer as it comes. The first message acknowledges the batch:
// it is the first answer, or an empty reply when none has come within a heartbeat.
func (owner *Owner) Serve(ctx context.Context, exchange Exchange) error {
	owner.served.Add(1)
	owner.busy.Add(1)
	defer owner.busy.Add(-1)
	var batch Batch
	if err := exchange.Receive(&batch); err != nil {
		return errors.Wrap(err, "receive batch")
	}
	if len(batch.Items) > maxBatchItems {
		return errors.Errorf("batch of %d items exceeds the limit of %d", len(batch.Items), maxBatchItems)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work := owner.start(ctx, &batch)
	defer work.cancel()
	owner.group.Go(func(context.Context) { receiveControls(exchange, work, cancel) })
	return owner.answer(ctx, exchange, work)
}

// receiveControls withdraws the attempts that the root no longer wants, and all when the root is gone.
func receiveControls(exchange Exchange, work *batchWork, cancel context.CancelFunc) {
	for {
		var control Control
		err := exchange.Receive(&control)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			cancel()
			return
		}
		work.withdraw(control.Cancel)
	}
}

func (owner *Owner) answer(ctx context.Context, exchange Exchange, work *batchWork) error {
	ticker := time.NewTicker(owner.heartbeat)
	defer ticker.Stop()
	for left := len(work.batch.Items); left > 0; {
		var reply Reply
		select {
		case answer := <-work.answers:
			reply.Answers = work.drain(answer)
			left -= len(reply.Answers)
			if left == 0 {
				reply.Report = owner.backends.Report()
			}
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if err := exchange.Send(reply); err != nil {
			return errors.Wrap(err, "send answers")
		}
	}
	return nil
}

// batchWork is a batch being served.
type batchWork struct {
	batch   *Batch
	answers chan ItemAnswer
	// cancel withdraws every attempt; call it when the batch is over.
	cancel context.CancelFunc

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// start begins every attempt of the batch. The answers channel has room for all, so that no attempt blocks on it.
func (owner *Owner) start(ctx context.Context, batch *Batch) *batchWork {
	work := &batchWork{
		batch:   batch,
		answers: make(chan ItemAnswer, len(batch.Items)),
		cancels: make(map[uint64]context.CancelFunc, len(batch.Items)),
	}
	deadline := time.Now().Add(batch.Remaining)
	ctx, work.cancel = context.WithDeadline(ctx, deadline)
	contexts := make([]context.Context, len(batch.Items))
	for i := range batch.Items {
		itemCtx, cancel := context.WithCancel(ctx)
		contexts[i] = itemCtx
		work.cancels[batch.Items[i].Attempt] = cancel
	}
	for i := range batch.Items {
		item := &batch.Items[i]
		owner.group.Go(func(context.Context) {
			work.answers <- owner.execute(contexts[i], batch, item, deadline)
		})
	}
	return work
}

func (owner *Owner) execute(ctx context.Context, batch *Batch, item *Item, deadline time.Time) ItemAnswer {
	answer := owner.backends.Execute(ctx, swbackend.SubRequest{
		Server:      item.Server,
		QueryID:     batch.QueryID,
		Attempt:     item.Attempt,
		Caller:      batch.Caller,
		Kind:        batch.Kind,
		Index:       batch.Index,
		Snapshot:    batch.Snapshot,
		Shard:       item.Shard,
		Query:       batch.Query,
		Limit:       batch.Limit,
		Priority:    batch.Priority,
		Cohort:      batch.Cohort,
		Fingerprint: batch.Fingerprint,
		RunKey:      batch.RunKey,
		Deadline:    deadline,
	})
	if answer.Outcome == swbackend.Answered && owner.onAnswered != nil {
		owner.onAnswered(batch.Fingerprint)
	}
	return ItemAnswer{
		QueryID:  batch.QueryID,
		Attempt:  item.Attempt,
		Shard:    item.Shard,
		Server:   item.Server,
		Snapshot: batch.Snapshot,
		Answer:   answer,
	}
}

// withdraw cancels the attempts that are listed.
func (work *batchWork) withdraw(attempts []uint64) {
	work.mutex.Lock()
	defer work.mutex.Unlock()
	for _, attempt := range attempts {
		if cancel, ok := work.cancels[attempt]; ok {
			cancel()
			delete(work.cancels, attempt)
		}
	}
}

// drain returns first and the answers that are ready behind it.
func (work *batchWork) drain(first ItemAnswer) []ItemAnswer {
	answers := []ItemAnswer{first}
	for {
		select {
		case answer := <-work.answers:
			answers = append(answers, answer)
		default:
			return answers
		}
	}
}
