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
	// Execute returns once the answer is here or the context has ended.
	Execute(ctx context.Context, subRequest swbackend.SubRequest) swbackend.Answer
	// Report tells how the queues of this VM shed work.
	Report() swadmission.Report
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
	// onAnswered is told the fingerprint of each batch of which a backend server answered an attempt; it may be nil.
	onAnswered func(fingerprint uint64)
}

// NewOwner returns an owner that tells the root every heartbeat that it still works on a batch.
func NewOwner(backends Backends, group *swgroup.Group, heartbeat time.Duration) *Owner {
	return &Owner{backends: backends, group: group, heartbeat: heartbeat}
}

// Busy returns the number of batches of peers in flight.
func (owner *Owner) BatchesInFlight() int64 {
	return owner.busy.Load()
}

// Served returns the number of batches that peers have sent.
func (owner *Owner) BatchesReceived() uint64 {
	return owner.served.Load()
}

// batchWork is a batch being served.
type batchWork struct {
	batch *Batch
	// emit takes each answer as it comes; it does not block.
	emit func(work *batchWork, answer ItemAnswer)
	left atomic.Int64
	// noted is set once an answer was told to onAnswered.
	noted atomic.Bool
	// cancelAll withdraws every attempt.
	cancelAll context.CancelFunc

	mutex   sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// start begins every attempt of the batch.
func (owner *Owner) start(ctx context.Context, batch *Batch, emit func(work *batchWork, answer ItemAnswer)) *batchWork {
	work := &batchWork{
		batch:   batch,
		emit:    emit,
		cancels: make(map[uint64]context.CancelFunc, len(batch.Items)),
	}
	work.left.Store(int64(len(batch.Items)))
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
			owner.noteAnswered(work, &answer)
			last := work.left.Add(-1) == 0
			work.emit(work, answer)
			if last {
				work.cancelAll()
			}
		})
	}
	return work
}

// noteAnswered tells once a batch that its request did not crash a backend server.
func (owner *Owner) noteAnswered(work *batchWork, answer *ItemAnswer) {
	if owner.onAnswered == nil || answer.Answer.Outcome != swbackend.Answered {
		return
	}
	if work.noted.CompareAndSwap(false, true) {
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
