package swquery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// unavailableDuration is how long a snapshot is avoided after some shard had no replica that holds it.
const unavailableDuration = time.Second

// pinStep selects the snapshot that the whole query runs on.
type pinStep struct {
	registry    *swindex.Registry
	unavailable *unavailableSnapshots
}

func (*pinStep) String() string { return "pin a snapshot" }

// Run pins the newest published snapshot that this query has not tried and that is not marked unavailable. If all are marked,
// it pins the newest untried one, since replicas may have loaded it since.
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
			Message: "no catalogue lists index " + execution.query.Index,
			Fix:     "check the name",
		}
	}
	snapshot := pinStep.choose(catalogue, execution.triedSnapshots)
	if snapshot == nil {
		return execution.refuse(swcode.SnapshotUnavailable, "no snapshot of index "+catalogue.Index+" is held by a replica of every shard")
	}
	execution.snapshot = snapshot
	return nil
}

// maxRestarts limits how often a query starts again on another snapshot.
const maxRestarts = 4

// choose returns the snapshot to run on, or nil if the query has no untried snapshot or no restart left.
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
		if !pinStep.unavailable.has(catalogue.Index, snapshot.ID) {
			return snapshot
		}
	}
	return newest
}

// hasAnother reports whether the query could start again on another snapshot.
func (pinStep *pinStep) hasAnother(execution *execution) bool {
	catalogue := pinStep.registry.Catalogue(execution.query.Index)
	tried := append(slices.Clone(execution.triedSnapshots), execution.snapshot.ID)
	return catalogue != nil && pinStep.choose(catalogue, tried) != nil
}

// unavailableSnapshots records which snapshots lacked a replica that holds them for some shard. A record expires after
// unavailableDuration. It is safe for concurrent use.
type unavailableSnapshots struct {
	mutex sync.Mutex
	until map[snapshotKey]time.Time
}

type snapshotKey struct {
	index    string
	snapshot string
}

func newUnavailableSnapshots() *unavailableSnapshots {
	return &unavailableSnapshots{until: make(map[snapshotKey]time.Time)}
}

func (unavailableSnapshots *unavailableSnapshots) add(index, snapshot string) {
	unavailableSnapshots.mutex.Lock()
	defer unavailableSnapshots.mutex.Unlock()
	now := time.Now()
	for key, until := range unavailableSnapshots.until {
		if until.Before(now) {
			delete(unavailableSnapshots.until, key)
		}
	}
	unavailableSnapshots.until[snapshotKey{index, snapshot}] = now.Add(unavailableDuration)
}

func (unavailableSnapshots *unavailableSnapshots) has(index, snapshot string) bool {
	unavailableSnapshots.mutex.Lock()
	defer unavailableSnapshots.mutex.Unlock()
	return time.Now().Before(unavailableSnapshots.until[snapshotKey{index, snapshot}])
}
