package swquery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// Backends runs sub-requests on the backend servers that this VM sends to.
type Backends interface {
	// Execute returns once the sub-request is answered or the context has ended.
	Execute(ctx context.Context, subRequest swbackend.SubRequest) swbackend.Answer
	// Report describes how the queues of this VM shed work.
	Report() swadmission.Report
}

// maxBatchItems is the maximum number of attempts in a batch.
const maxBatchItems = 4096

// Owner serves batches of sub-requests for the backend servers that this VM owns. It serves every batch that it receives and
// forwards none, so that differing views of the membership cannot cause a loop.
type Owner struct {
	backends        Backends
	group           *swgroup.Group
	heartbeat       time.Duration
	batchesInFlight atomic.Int64
	batchesReceived atomic.Uint64
	// onAnswered is called once per batch when a backend server has answered one of its attempts, with the batch's
	// fingerprint; it may be nil.
	onAnswered func(fingerprint uint64)
}

// NewOwner returns an owner that sends the root a heartbeat at the given interval while it works on a batch.
func NewOwner(backends Backends, group *swgroup.Group, heartbeat time.Duration) *Owner {
	return &Owner{backends: backends, group: group, heartbeat: heartbeat}
}

// BatchesInFlight returns the number of batches from peers in flight.
func (owner *Owner) BatchesInFlight() int64 {
	return owner.batchesInFlight.Load()
}

// BatchesReceived returns the number of batches received from peers.
func (owner *Owner) BatchesReceived() uint64 {
	return owner.batchesReceived.Load()
}

// batchWork is a batch whose attempts were started.
type batchWork struct {
	batch *Batch
	// emit is called with each answer; it must not block.
	emit       func(work *batchWork, answer ItemAnswer)
	unanswered atomic.Int64
	// reportedAnswered is set once onAnswered was called.
	reportedAnswered atomic.Bool
	// cancelAll cancels every attempt.
	cancelAll context.CancelFunc

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// start starts every attempt of the batch and calls emit with each answer, from several goroutines.
func (owner *Owner) start(ctx context.Context, batch *Batch, emit func(work *batchWork, answer ItemAnswer)) *batchWork {
	work := &batchWork{
		batch:   batch,
		emit:    emit,
		cancels: make(map[uint64]context.CancelFunc, len(batch.Items)),
	}
	work.unanswered.Store(int64(len(batch.Items)))
	deadline := time.Now().Add(batch.Remaining)
	ctx, work.cancelAll = context.WithDeadline(ctx, deadline)
	contexts := make([]context.Context, len(batch.Items))
	for i := range batch.Items {
		contexts[i], work.cancels[batch.Items[i].Attempt] = context.WithCancel(ctx)
	}
	for i := range batch.Items {
		item := &batch.Items[i]
		owner.group.Go(func(context.Context) {
			answer := owner.execute(contexts[i], batch, item, deadline)
			owner.reportAnswered(work, &answer)
			last := work.unanswered.Add(-1) == 0
			work.emit(work, answer)
			if last {
				work.cancelAll()
			}
		})
	}
	return work
}

// reportAnswered calls onAnswered on the batch's first answer, as evidence that its request does not crash backend servers.
func (owner *Owner) reportAnswered(work *batchWork, answer *ItemAnswer) {
	if owner.onAnswered == nil || answer.Answer.Outcome != swbackend.Answered {
		return
	}
	if work.reportedAnswered.CompareAndSwap(false, true) {
		owner.onAnswered(work.batch.Fingerprint)
	}
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
	return ItemAnswer{Attempt: item.Attempt, Shard: item.Shard, Server: item.Server, Answer: answer}
}

// cancelAttempts cancels the listed attempts.
func (work *batchWork) cancelAttempts(attempts []uint64) {
	work.mutex.Lock()
	defer work.mutex.Unlock()
	for _, attempt := range attempts {
		if cancel, ok := work.cancels[attempt]; ok {
			cancel()
			delete(work.cancels, attempt)
		}
	}
}
