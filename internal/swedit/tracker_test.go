package swedit

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
)

// fakeStatuses holds status objects and counts the reads of each.
type fakeStatuses struct {
	mutex   sync.Mutex
	objects map[string]swplatform.Object
	vms     []swplatform.VM
	gets    map[string]int
	// unavailableUntil is the time until which all calls fail.
	unavailableUntil time.Time
}

func newFakeStatuses(dataCentres ...string) *fakeStatuses {
	statuses := &fakeStatuses{objects: make(map[string]swplatform.Object), gets: make(map[string]int)}
	for _, dataCentre := range dataCentres {
		statuses.vms = append(statuses.vms, swplatform.VM{
			Name: dataCentre + "-1", Role: swplatform.RoleEntry, DataCentre: dataCentre, State: swplatform.StateLive,
		})
	}
	return statuses
}

func (statuses *fakeStatuses) put(t *testing.T, dataCentre string, ruleVersions ...uint64) {
	t.Helper()
	status := swrollout.Status{DataCentre: dataCentre, At: time.Now()}
	for i, version := range ruleVersions {
		name := dataCentre + "-" + string(rune('1'+i))
		status.VMs = append(status.VMs, swrollout.VMStatus{Name: name, RuleVersion: version, State: "Alive"})
		status.Rules.Version = max(status.Rules.Version, version)
	}
	statuses.putStatus(t, status)
}

func (statuses *fakeStatuses) putStatus(t *testing.T, status swrollout.Status) {
	t.Helper()
	statuses.mutex.Lock()
	defer statuses.mutex.Unlock()
	dataCentre := status.DataCentre
	value, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	statuses.objects[dataCentre] = swplatform.Object{Name: dataCentre, Version: statuses.objects[dataCentre].Version + 1, Value: value}
}

func (statuses *fakeStatuses) availabilityError() error {
	if time.Now().Before(statuses.unavailableUntil) {
		return swplatform.ErrUnavailable
	}
	return nil
}

func (statuses *fakeStatuses) Get(_ context.Context, _, name string) (swplatform.Object, error) {
	statuses.mutex.Lock()
	defer statuses.mutex.Unlock()
	statuses.gets[name]++
	return statuses.objects[name], statuses.availabilityError()
}

func (statuses *fakeStatuses) List(context.Context, string, string) (uint64, []swplatform.ObjectVersion, error) {
	statuses.mutex.Lock()
	defer statuses.mutex.Unlock()
	var versions []swplatform.ObjectVersion
	for name, object := range statuses.objects {
		versions = append(versions, swplatform.ObjectVersion{Name: name, Version: object.Version})
	}
	return 0, versions, statuses.availabilityError()
}

func (statuses *fakeStatuses) VMs(context.Context, string) ([]swplatform.VM, error) {
	return statuses.vms, statuses.availabilityError()
}

// rolloutStates returns the rollout state of each data centre in a report.
func rolloutStates(report Report) map[string]RolloutState {
	got := make(map[string]RolloutState)
	for _, dataCentreStatus := range report.DataCentres {
		got[dataCentreStatus.DataCentre] = dataCentreStatus.Spread
	}
	return got
}

func TestReportHasTheStateOfEachDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		statuses := newFakeStatuses("auckland", "christchurch", "maule", "nelson", "wellington")
		statuses.put(t, "wellington", 41, 41)
		time.Sleep(91 * time.Second)
		statuses.put(t, "auckland", 42, 43)
		statuses.put(t, "christchurch", 42, 41)
		statuses.put(t, "nelson")
		statuses.objects["bad"] = swplatform.Object{Name: "bad", Version: 1, Value: []byte("[]")}
		report, err := NewTracker(TrackerConfig{Store: statuses, Version: 42}).Poll(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		want := Report{Version: 42, DataCentres: []DataCentreStatus{
			{DataCentre: "auckland", Spread: InForce, At: time.Now(), VMs: 2},
			{DataCentre: "bad", Spread: OutOfReach, Fault: "malformed status object: json: cannot unmarshal array into Go value of type swrollout.Status"},
			{
				DataCentre: "christchurch", Spread: Behind, At: time.Now(), VMs: 2,
				Behind: []swrollout.VMStatus{{Name: "christchurch-2", RuleVersion: 41, State: "Alive"}},
			},
			{DataCentre: "maule", Spread: OutOfReach, Fault: "no status object"},
			{DataCentre: "nelson", Spread: Behind, At: time.Now()},
			{
				DataCentre: "wellington", Spread: OutOfReach, At: time.Now().Add(-91 * time.Second), VMs: 2,
				Behind: []swrollout.VMStatus{{Name: "wellington-1", RuleVersion: 41, State: "Alive"}, {Name: "wellington-2", RuleVersion: 41, State: "Alive"}},
			},
		}}
		if diff := cmp.Diff(want, report, cmpopts.EquateApproxTime(0)); diff != "" {
			t.Error("report (-want +got):\n" + diff)
		}
	})
}

func TestWaitEndsWhenTheVersionIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		statuses := newFakeStatuses("auckland", "wellington")
		statuses.unavailableUntil = time.Now().Add(5 * time.Second)
		statuses.put(t, "auckland", 42)
		statuses.put(t, "wellington", 41)
		time.AfterFunc(7*time.Second+time.Millisecond, func() { statuses.put(t, "wellington", 42) })
		start := time.Now()
		report, err := NewTracker(TrackerConfig{Store: statuses, Version: 42}).Wait(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(map[string]RolloutState{"auckland": InForce, "wellington": InForce}, rolloutStates(report)); diff != "" {
			t.Error("rollout states (-want +got):\n" + diff)
		}
		if diff := cmp.Diff(7500*time.Millisecond, time.Since(start)); diff != "" {
			t.Error("time waited (-want +got):\n" + diff)
		}
		if diff := cmp.Diff(map[string]int{"auckland": 1, "wellington": 2}, statuses.gets); diff != "" {
			t.Error("reads of status objects (-want +got):\n" + diff)
		}
	})
}

func TestWaitReturnsTheLastReportWhenTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		statuses := newFakeStatuses("auckland", "christchurch", "maule", "wellington")
		statuses.put(t, "auckland", 42)
		statuses.put(t, "christchurch", 42, 41)
		statuses.putStatus(t, swrollout.Status{DataCentre: "maule", At: time.Now(), VMs: []swrollout.VMStatus{{RuleVersion: 41, Rejected: "line 1"}}})
		statuses.put(t, "wellington", 41)
		for limit, wellington := range map[time.Duration]RolloutState{9 * time.Second: Behind, 11 * time.Second: OutOfReach} {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			report, err := NewTracker(TrackerConfig{Store: statuses, Version: 42}).Wait(ctx)
			if !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error is %v, want %v", err, context.DeadlineExceeded)
			}
			want := map[string]RolloutState{"auckland": InForce, "christchurch": Behind, "maule": Behind, "wellington": wellington}
			if diff := cmp.Diff(want, rolloutStates(report)); diff != "" {
				t.Errorf("rollout states after %s (-want +got):\n%s", limit, diff)
			}
		}
	})
}

func TestVersionIsNotInForceWithoutDataCentres(t *testing.T) {
	report, err := NewTracker(TrackerConfig{Store: newFakeStatuses(), Version: 42}).Poll(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if report.InForce() {
		t.Error("the version is in force, but no data centre is known")
	}
}
