package swquery

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// deadlineBackends records the deadlines of the sub-requests that it receives.
type deadlineBackends struct {
	deadlines chan time.Time
}

func (backends deadlineBackends) Execute(_ context.Context, subRequest swbackend.SubRequest) swbackend.Answer {
	backends.deadlines <- subRequest.Deadline
	return swbackend.Answer{}
}

func (deadlineBackends) Report() swadmission.Report { return swadmission.Report{} }

// TestHeldBatchExpiresNoLaterThanAtRoot holds a batch that was sent with 100 ms left and took 30 ms to arrive. Its work must
// end 100 ms after sending, not after arrival.
func TestHeldBatchExpiresNoLaterThanAtRoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Stop()
		backends := deadlineBackends{deadlines: make(chan time.Time, 1)}
		rootStream := &rootStream{owner: NewOwner(backends, group, time.Second), batches: make(map[uint64]*receivedBatch), wake: make(chan struct{}, 1)}
		const transit, remaining = 30 * time.Millisecond, 100 * time.Millisecond
		sent := time.Now()
		time.Sleep(transit)
		if err := rootStream.addBatch(t.Context(), 1, &Batch{Hold: true, Remaining: remaining, Items: []Item{{}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		if err := rootStream.handleEnvelope(t.Context(), &Envelope{ID: 1, Start: true, RoundTrip: transit}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent.Add(remaining), <-backends.deadlines); diff != "" {
			t.Error("deadline (-want +got):\n" + diff)
		}
	})
}
