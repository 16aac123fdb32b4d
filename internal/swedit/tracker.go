package swedit

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
)

const (
	// defaultStaleAfter is the age at which a status tells that its data centre is out of reach. Watchers write a status
	// that does not change once a minute.
	defaultStaleAfter = 90 * time.Second
	// defaultReachAfter is how long a data centre's watcher may take to learn of a version.
	defaultReachAfter = 10 * time.Second
	// defaultInterval is the time between two looks at the status objects.
	defaultInterval = 500 * time.Millisecond
)

// StatusStore is the part of the platform that a Tracker needs.
type StatusStore interface {
	Get(ctx context.Context, kind, name string) (swplatform.Object, error)
	List(ctx context.Context, kind, prefix string) (uint64, []swplatform.ObjectVersion, error)
	VMs(ctx context.Context, dataCentre string) ([]swplatform.VM, error)
}

// TrackerConfig holds what a Tracker is built from.
type TrackerConfig struct {
	Store StatusStore
	// Version is the rules version to look for.
	Version uint64
	// StaleAfter is the age at which a status tells that its data centre is out of reach. The default is 90 s.
	MaxStatusAge time.Duration
	// ReachAfter is how long a data centre's watcher may go on without the version, from the first look, before the data
	// centre counts as out of reach. The default is 10 s.
	PropagationTimeout time.Duration
	// Interval is the time between two looks. The default is 500 ms.
	PollInterval time.Duration
}

// Spread tells how far a version has come in a data centre.
type RolloutState string

// The spreads.
const (
	// InForce means that every VM reported the version or a higher one.
	InForce RolloutState = "InForce"
	// Behind means that some VM has not reported the version yet.
	Behind RolloutState = "Behind"
	// OutOfReach means that the version is not known to be in force and that the data centre's status is missing or old,
	// or that its watcher does not learn of the version.
	OutOfReach RolloutState = "OutOfReach"
)

// DataCentre tells how far a version has come in one data centre.
type DataCentreStatus struct {
	DataCentre string
	Spread     RolloutState
	// At is when the data centre's status was written; it is zero without one.
	At time.Time
	// VMs is the number of VMs in the status.
	VMs int
	// Behind lists the VMs that have not reported the version.
	Behind []swrollout.VMStatus `json:",omitempty"`
	// Fault says why the status can't be read.
	Fault string `json:",omitempty"`
}

// Report tells how far a version has come.
type Report struct {
	Version uint64
	// DataCentres is in order of name.
	DataCentres []DataCentreStatus
}

// InForce reports whether the version is in force in every data centre, of which there must be one.
func (report *Report) InForce() bool {
	for _, dataCentreStatus := range report.DataCentres {
		if dataCentreStatus.Spread != InForce {
			return false
		}
	}
	return len(report.DataCentres) > 0
}

// Tracker follows a rules version into force. It reads the status objects that have changed and no others. It is not safe
// for concurrent use.
type Tracker struct {
	config TrackerConfig
	// seen holds the status objects by name.
	seen map[string]seenStatus
	// listed holds the data centres that have entry VMs at the platform, once the list is known.
	listed map[string]bool
	// started is the time of the first look.
	started time.Time
}

type seenStatus struct {
	version uint64
	status  swrollout.Status
	fault   string
}

// NewTracker returns a Tracker.
func NewTracker(config TrackerConfig) *Tracker {
	if config.MaxStatusAge <= 0 {
		config.MaxStatusAge = defaultStaleAfter
	}
	if config.PropagationTimeout <= 0 {
		config.PropagationTimeout = defaultReachAfter
	}
	if config.PollInterval <= 0 {
		config.PollInterval = defaultInterval
	}
	return &Tracker{config: config, seen: make(map[string]seenStatus)}
}

// Wait looks until the version is in force everywhere. When ctx ends before, it returns the last report and the error of
// the last look, if that failed, or else the context's.
func (tracker *Tracker) Wait(ctx context.Context) (Report, error) {
	ticker := time.NewTicker(tracker.config.PollInterval)
	defer ticker.Stop()
	last := tracker.report()
	for {
		report, err := tracker.Poll(ctx)
		if err == nil {
			last = report
		}
		if err == nil && report.InForce() {
			return report, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return last, cmp.Or(err, ctx.Err())
		}
	}
}

// Look reads the status objects once.
func (tracker *Tracker) Poll(ctx context.Context) (Report, error) {
	if tracker.started.IsZero() {
		tracker.started = time.Now()
	}
	if err := tracker.listDataCentres(ctx); err != nil {
		return Report{}, err
	}
	_, objects, err := tracker.config.Store.List(ctx, swrollout.KindStatus, "")
	if err != nil {
		return Report{}, errors.Wrap(err, "list status objects")
	}
	for _, object := range objects {
		if err := tracker.refresh(ctx, object); err != nil {
			return Report{}, err
		}
	}
	return tracker.report(), nil
}

// listDataCentres reads the VM list until it was had once.
func (tracker *Tracker) listDataCentres(ctx context.Context) error {
	if tracker.listed != nil {
		return nil
	}
	vms, err := tracker.config.Store.VMs(ctx, "")
	if err != nil {
		return errors.Wrap(err, "list VMs")
	}
	tracker.listed = make(map[string]bool)
	for _, vm := range vms {
		if vm.Role == swplatform.RoleEntry && vm.State == swplatform.StateLive {
			tracker.listed[vm.DataCentre] = true
		}
	}
	return nil
}

func (tracker *Tracker) refresh(ctx context.Context, object swplatform.ObjectVersion) error {
	if seen, ok := tracker.seen[object.Name]; ok && seen.version >= object.Version {
		return nil
	}
	read, err := tracker.config.Store.Get(ctx, swrollout.KindStatus, object.Name)
	if errors.Is(err, swplatform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	seen := seenStatus{version: read.Version}
	if err := json.Unmarshal(read.Value, &seen.status); err != nil {
		seen.fault = "malformed status object: " + err.Error()
	}
	tracker.seen[object.Name] = seen
	return nil
}

func (tracker *Tracker) report() Report {
	report := Report{Version: tracker.config.Version}
	for name, seen := range tracker.seen {
		report.DataCentres = append(report.DataCentres, tracker.judge(name, seen))
	}
	for name := range tracker.listed {
		if _, ok := tracker.seen[name]; !ok {
			report.DataCentres = append(report.DataCentres, DataCentreStatus{DataCentre: name, Spread: OutOfReach, Fault: "no status object"})
		}
	}
	slices.SortFunc(report.DataCentres, func(a, b DataCentreStatus) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return report
}

func (tracker *Tracker) judge(name string, seen seenStatus) DataCentreStatus {
	result := DataCentreStatus{DataCentre: name, Spread: InForce, At: seen.status.At, VMs: len(seen.status.VMs), Fault: seen.fault}
	for _, vm := range seen.status.VMs {
		if vm.RuleVersion < tracker.config.Version {
			result.Behind = append(result.Behind, vm)
		}
	}
	if len(result.Behind) == 0 && len(seen.status.VMs) > 0 {
		return result
	}
	result.Spread = Behind
	stale := time.Since(seen.status.At) > tracker.config.MaxStatusAge
	if stale || tracker.unaware(&seen.status) {
		result.Spread = OutOfReach
	}
	return result
}

// unaware reports whether the watcher that wrote the status had the time to learn of the version and did not. One that
// rejected the version knows of it.
func (tracker *Tracker) unaware(status *swrollout.Status) bool {
	for _, vm := range status.VMs {
		if vm.Rejected != "" {
			return false
		}
	}
	return status.Rules.Version < tracker.config.Version && time.Since(tracker.started) >= tracker.config.PropagationTimeout
}
