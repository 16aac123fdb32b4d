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

// deadlineBackends notes the deadline of the sub-request that it gets.
type deadlineBackends struct {
	deadlines chan time.Time
}

func (backends deadlineBackends) Execute(_ context.Context, subRequest swbackend.SubRequest) swbackend.Answer {
	backends.deadlines <- subRequest.Deadline
	return swbackend.Answer{}
}

func (deadlineBackends) Report() swadmission.Report { return swadmission.Report{} }

// TestHeldBatchEndsNoLaterThanItsRoot sends a batch that is 30 ms on its way and may take 100 ms from its sending.
func TestHeldBatchEndsNoLaterThanItsRoot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Stop()
		backends := deadlineBackends{deadlines: make(chan time.Time, 1)}
		line := &ownerLine{owner: NewOwner(backends, group, time.Second), batches: make(map[uint64]*ownerBatch), wake: make(chan struct{}, 1)}
		const onItsWay, may = 30 * time.Millisecond, 100 * time.Millisecond
		sent := time.Now()
		time.Sleep(onItsWay)
		if err := line.begin(t.Context(), 1, &Batch{Hold: true, Remaining: may, Items: []Item{{}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		if err := line.take(t.Context(), &Envelope{ID: 1, Start: true, RoundTrip: onItsWay}); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(sent.Add(may), <-backends.deadlines); diff != "" {
			t.Error("deadline (-want +got):\n" + diff)
		}
	})
}
