package swquery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// absentFor is how long a snapshot that a shard's replicas did not hold is passed over.
const absentFor = time.Second

// pinStep chooses the one snapshot that the whole query runs on.
type pinStep struct {
	registry *swindex.Registry
	absent   *absentSnapshots
}

func (*pinStep) String() string { return "pin a snapshot" }

// Run pins the newest published snapshot that this query has not tried and that is not known to be absent. When all are,
// the newest untried one is taken, since what other queries found may be over.
func (pinStep *pinStep) Run(ctx context.Context, execution *execution) error {
	if ctx.Err() != nil {
		return execution.refuse(swcode.DeadlineExceeded, "the deadline passed before a snapshot was found that every shard holds")
	}
	catalogue := pinStep.registry.Catalogue(execution.query.Index)
	if catalogue == nil {
		return &swcode.Error{
			Code:    swcode.UnknownIndex,
			Ran:     execution.ran(),
			Field:   "Index",
			Message: "no catalogue names index " + execution.query.Index,
			Fix:     "check the name",
		}
	}
	snapshot := pinStep.choose(catalogue, execution.tried)
	if snapshot == nil {
		return execution.refuse(swcode.SnapshotUnavailable, "no snapshot of index "+catalogue.Index+" is held by a replica of every shard")
	}
	execution.snapshot = snapshot
	return nil
}

// maxRestarts bounds how often one query starts again on another snapshot.
const maxRestarts = 4

// choose returns the snapshot to run on, or nil when the query has tried them all.
func (pinStep *pinStep) choose(catalogue *swindex.Catalogue, tried []string) *swindex.Snapshot {
	if len(tried) > maxRestarts {
		return nil
	}
	var newest *swindex.Snapshot
	for i := len(catalogue.Snapshots) - 1; i >= 0; i-- {
		snapshot := &catalogue.Snapshots[i]
		if snapshot.Retired || slices.Contains(tried, snapshot.ID) {
			continue
		}
		if newest == nil {
			newest = snapshot
		}
		if !pinStep.absent.has(catalogue.Index, snapshot.ID) {
			return snapshot
		}
	}
	return newest
}

// hasAnother reports whether the query could start again on another snapshot.
func (pinStep *pinStep) hasAnother(execution *execution) bool {
	catalogue := pinStep.registry.Catalogue(execution.query.Index)
	tried := append(slices.Clone(execution.tried), execution.snapshot.ID)
	return catalogue != nil && pinStep.choose(catalogue, tried) != nil
}

// absentSnapshots remembers for a while which snapshots the replicas of some shard did not hold.
type absentSnapshots struct {
	mutex sync.Mutex
	until map[snapshotKey]time.Time
}

type snapshotKey struct {
	index    string
	snapshot string
}

func newAbsentSnapshots() *absentSnapshots {
	return &absentSnapshots{until: make(map[snapshotKey]time.Time)}
}

func (absentSnapshots *absentSnapshots) add(index, snapshot string) {
	absentSnapshots.mutex.Lock()
	defer absentSnapshots.mutex.Unlock()
	now := time.Now()
	for key, until := range absentSnapshots.until {
		if until.Before(now) {
			delete(absentSnapshots.until, key)
		}
	}
	absentSnapshots.until[snapshotKey{index, snapshot}] = now.Add(absentFor)
}

func (absentSnapshots *absentSnapshots) has(index, snapshot string) bool {
	absentSnapshots.mutex.Lock()
	defer absentSnapshots.mutex.Unlock()
	return time.Now().Before(absentSnapshots.until[snapshotKey{index, snapshot}])
}
