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
	// defaultMaxStatusAge exceeds the minute after which watchers rewrite an unchanged status.
	defaultMaxStatusAge = 90 * time.Second
	// defaultPropagationTimeout is how long a data centre's watcher may take to receive a version.
	defaultPropagationTimeout = 10 * time.Second
	// defaultPollInterval is the time between two polls of the status objects.
	defaultPollInterval = 500 * time.Millisecond
)

// StatusStore is the part of the platform's object API that a Tracker needs.
type StatusStore interface {
	Get(ctx context.Context, kind, name string) (swplatform.Object, error)
	List(ctx context.Context, kind, prefix string) (uint64, []swplatform.ObjectVersion, error)
	VMs(ctx context.Context, dataCentre string) ([]swplatform.VM, error)
}

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	Store StatusStore
	// Version is the rules version to track.
	Version uint64
	// MaxStatusAge is the age beyond which a status is stale and its data centre counts as out of reach. The default is 90 s.
	MaxStatusAge time.Duration
	// PropagationTimeout is how long after the first poll a data centre's watcher may take to receive the version before the
	// data centre counts as out of reach. The default is 10 s.
	PropagationTimeout time.Duration
	// PollInterval is the time between two polls. The default is 500 ms.
	PollInterval time.Duration
}

// RolloutState is the state of a version's rollout in a data centre.
type RolloutState string

// Rollout states.
const (
	// InForce means that every VM has reported the version or a higher one.
	InForce RolloutState = "InForce"
	// Behind means that some VM has not yet reported the version.
	Behind RolloutState = "Behind"
	// OutOfReach means that the version is not known to be in force, and that the data centre's status is missing or stale
	// or its watcher has not received the version in time.
	OutOfReach RolloutState = "OutOfReach"
)

// DataCentreStatus is the rollout of a version in one data centre.
type DataCentreStatus struct {
	DataCentre string
	Spread     RolloutState
	// At is when the data centre's status was written; it is zero without a status.
	At time.Time
	// VMs is the number of VMs in the status.
	VMs int
	// Behind lists the VMs that have not reported the version.
	Behind []swrollout.VMStatus `json:",omitempty"`
	// Fault says why there is no valid status, or is empty.
	Fault string `json:",omitempty"`
}

// Report is the rollout of a version in all data centres.
type Report struct {
	Version uint64
	// DataCentres is sorted by name.
	DataCentres []DataCentreStatus
}

// InForce reports whether there is a data centre and the version is in force in every one.
func (report *Report) InForce() bool {
	for _, dataCentreStatus := range report.DataCentres {
		if dataCentreStatus.Spread != InForce {
			return false
		}
	}
	return len(report.DataCentres) > 0
}

// Tracker tracks the rollout of a rules version. It reads only the status objects that have changed. It is not safe for
// concurrent use.
type Tracker struct {
	config TrackerConfig
	// statuses holds the latest status objects by name.
	statuses map[string]knownStatus
	// dataCentres holds the data centres with live entry VMs, or is nil until the VM list was read.
	dataCentres map[string]bool
	// startedAt is the time of the first poll.
	startedAt time.Time
}

// knownStatus is a status object as last read. fault is set if it can't be decoded.
type knownStatus struct {
	version uint64
	status  swrollout.Status
	fault   string
}

// NewTracker returns a Tracker.
func NewTracker(config TrackerConfig) *Tracker {
	if config.MaxStatusAge <= 0 {
		config.MaxStatusAge = defaultMaxStatusAge
	}
	if config.PropagationTimeout <= 0 {
		config.PropagationTimeout = defaultPropagationTimeout
	}
	if config.PollInterval <= 0 {
		config.PollInterval = defaultPollInterval
	}
	return &Tracker{config: config, statuses: make(map[string]knownStatus)}
}

// Wait polls until the version is in force in every data centre. If ctx ends first, it returns the last report, and the
// error of the last poll if that failed or else the context's error.
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

// Poll reads the changed status objects once and reports the rollout.
func (tracker *Tracker) Poll(ctx context.Context) (Report, error) {
	if tracker.startedAt.IsZero() {
		tracker.startedAt = time.Now()
	}
	if err := tracker.listDataCentres(ctx); err != nil {
		return Report{}, err
	}
	_, objects, err := tracker.config.Store.List(ctx, swrollout.KindStatus, "")
	if err != nil {
		return Report{}, errors.Wrap(err, "list status objects")
	}
	for _, object := range objects {
		if err := tracker.refreshStatus(ctx, object); err != nil {
			return Report{}, err
		}
	}
	return tracker.report(), nil
}

// listDataCentres reads the VM list, unless an earlier poll has read it.
func (tracker *Tracker) listDataCentres(ctx context.Context) error {
	if tracker.dataCentres != nil {
		return nil
	}
	vms, err := tracker.config.Store.VMs(ctx, "")
	if err != nil {
		return errors.Wrap(err, "list VMs")
	}
	tracker.dataCentres = make(map[string]bool)
	for _, vm := range vms {
		if vm.Role == swplatform.RoleEntry && vm.State == swplatform.StateLive {
			tracker.dataCentres[vm.DataCentre] = true
		}
	}
	return nil
}

// refreshStatus reads a status object unless its version is already known.
func (tracker *Tracker) refreshStatus(ctx context.Context, object swplatform.ObjectVersion) error {
	if known, ok := tracker.statuses[object.Name]; ok && known.version >= object.Version {
		return nil
	}
	current, err := tracker.config.Store.Get(ctx, swrollout.KindStatus, object.Name)
	if errors.Is(err, swplatform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	status := knownStatus{version: current.Version}
	if err := json.Unmarshal(current.Value, &status.status); err != nil {
		status.fault = "malformed status object: " + err.Error()
	}
	tracker.statuses[object.Name] = status
	return nil
}

func (tracker *Tracker) report() Report {
	report := Report{Version: tracker.config.Version}
	for name, status := range tracker.statuses {
		report.DataCentres = append(report.DataCentres, tracker.evaluate(name, status))
	}
	for name := range tracker.dataCentres {
		if _, ok := tracker.statuses[name]; !ok {
			report.DataCentres = append(report.DataCentres, DataCentreStatus{DataCentre: name, Spread: OutOfReach, Fault: "no status object"})
		}
	}
	slices.SortFunc(report.DataCentres, func(a, b DataCentreStatus) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return report
}

// evaluate returns the rollout in one data centre from its status object.
func (tracker *Tracker) evaluate(name string, known knownStatus) DataCentreStatus {
	result := DataCentreStatus{DataCentre: name, Spread: InForce, At: known.status.At, VMs: len(known.status.VMs), Fault: known.fault}
	for _, vm := range known.status.VMs {
		if vm.RuleVersion < tracker.config.Version {
			result.Behind = append(result.Behind, vm)
		}
	}
	if len(result.Behind) == 0 && len(known.status.VMs) > 0 {
		return result
	}
	result.Spread = Behind
	stale := time.Since(known.status.At) > tracker.config.MaxStatusAge
	if stale || tracker.watcherMissedVersion(&known.status) {
		result.Spread = OutOfReach
	}
	return result
}

// watcherMissedVersion reports whether the watcher that wrote the status has not received the version in time. A status with
// a rejection shows that the version was received.
func (tracker *Tracker) watcherMissedVersion(status *swrollout.Status) bool {
	for _, vm := range status.VMs {
		if vm.Rejected != "" {
			return false
		}
	}
	return status.Rules.Version < tracker.config.Version && time.Since(tracker.startedAt) >= tracker.config.PropagationTimeout
}
