package swrollout

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

const (
	// statusCheckInterval is the time between two checks of whether the status changed.
	statusCheckInterval = 500 * time.Millisecond
	// minStatusInterval is the minimum time between two writes of the status.
	minStatusInterval = 2 * time.Second
	// statusRefreshInterval is the time after which an unchanged status is written again, to show that the watcher is alive.
	statusRefreshInterval = time.Minute
)

// statusLoop writes the data centre's status while this VM is its first watcher.
func (watcher *Watcher) statusLoop(ctx context.Context) {
	backoff := watcher.backoff()
	for ctx.Err() == nil {
		wait(ctx, watcher.jittered(statusCheckInterval))
		rank, isWatcher := watcher.config.Directory.View().WatcherRank()
		if !isWatcher || rank != 0 {
			continue
		}
		status := watcher.buildStatus(time.Now())
		if !watcher.statusDue(status) {
			continue
		}
		if err := watcher.writeStatus(ctx, status); err != nil {
			if ctx.Err() == nil {
				watcher.config.Log.Warn().Err(err).Msg("writing the data centre's status failed")
			}
			if backoff.Wait(ctx) != nil {
				return
			}
			continue
		}
		backoff.Reset()
	}
}

// buildStatus returns the data centre's status from the view and the reports, and drops reports of VMs that are not members.
func (watcher *Watcher) buildStatus(now time.Time) Status {
	view := watcher.config.Directory.View()
	status := Status{DataCentre: view.Self.DataCentre, At: now.UTC()}
	if rules, ok := watcher.config.Store.Current(KindRules, RulesName); ok {
		status.Rules.Version = rules.Version
	}
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	for name := range watcher.reports {
		if member, ok := view.Member(name); !ok || member.DataCentre != view.Self.DataCentre {
			delete(watcher.reports, name)
		}
	}
	for _, member := range view.Members(view.Self.DataCentre) {
		report := watcher.reports[member.Name]
		status.VMs = append(status.VMs, VMStatus{
			Name:        member.Name,
			Incarnation: member.Incarnation,
			RuleVersion: report.RuleVersion,
			Rejected:    report.Rejected,
			State:       member.State.String(),
		})
	}
	return status
}

// statusDue reports whether a status must be written: it differs from the last one written, or that one is old.
func (watcher *Watcher) statusDue(status Status) bool {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	age := status.At.Sub(watcher.status.At)
	if age >= statusRefreshInterval {
		return true
	}
	same := status.Rules == watcher.status.Rules && slices.Equal(status.VMs, watcher.status.VMs)
	return !same && age >= minStatusInterval
}

// writeStatus replaces the status object at the version that this VM wrote last, or reads the version first after a failure.
func (watcher *Watcher) writeStatus(ctx context.Context, status Status) error {
	value, err := json.Marshal(status)
	if err != nil {
		return errors.Wrap(err, "encode status")
	}
	version, err := watcher.lastStatusVersion(ctx, status.DataCentre)
	if err != nil {
		return err
	}
	var object swplatform.Object
	if version == 0 {
		object, err = watcher.config.Platform.Create(ctx, KindStatus, status.DataCentre, value)
	} else {
		object, err = watcher.config.Platform.Update(ctx, KindStatus, status.DataCentre, version, value)
	}
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	watcher.statusVersion = object.Version
	if err != nil {
		watcher.statusVersion = 0
		return err
	}
	watcher.lastAnswer = time.Now()
	watcher.status = status
	return nil
}

// lastStatusVersion returns the version of the status object; it is zero when there is none.
func (watcher *Watcher) lastStatusVersion(ctx context.Context, dataCentre string) (uint64, error) {
	watcher.mutex.Lock()
	version := watcher.statusVersion
	watcher.mutex.Unlock()
	if version != 0 {
		return version, nil
	}
	object, err := watcher.config.Platform.Get(ctx, KindStatus, dataCentre)
	if errors.Is(err, swplatform.ErrNotFound) {
		return 0, nil
	}
	return object.Version, err
}
