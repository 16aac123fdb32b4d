package swrollout

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// listLoop reads the platform's VM list periodically and merges it into the members.
func (watcher *Watcher) listLoop(ctx context.Context) {
	backoff := watcher.backoff()
	for ctx.Err() == nil {
		if err := watcher.readVMs(ctx); err != nil {
			if ctx.Err() == nil {
				watcher.config.Log.Warn().Err(err).Msg("reading the platform's VM list failed")
			}
			if backoff.Wait(ctx) != nil {
				return
			}
			continue
		}
		backoff.Reset()
		period := watcher.config.ListInterval
		if rank, _ := watcher.config.Directory.View().WatcherRank(); rank > 0 {
			period *= secondListFactor
		}
		wait(ctx, watcher.jittered(period))
	}
}

// readVMs reads the VM list of this data centre. It also reads the list of all data centres when another data centre is
// unreachable or none is known.
func (watcher *Watcher) readVMs(ctx context.Context) error {
	dataCentre := watcher.config.Directory.View().Self.DataCentre
	if err := watcher.mergeVMs(ctx, dataCentre); err != nil {
		return err
	}
	if !watcher.needsWideList(time.Now()) {
		return nil
	}
	if err := watcher.mergeVMs(ctx, ""); err != nil {
		return err
	}
	watcher.mutex.Lock()
	watcher.lastWideList = time.Now()
	watcher.mutex.Unlock()
	return nil
}

// needsWideList reports whether to read the VM list of all data centres: no other data centre is known, or one was not contacted
// for unreachableAfter. It returns false within minWideListInterval of the last such read.
func (watcher *Watcher) needsWideList(now time.Time) bool {
	watcher.mutex.Lock()
	last := watcher.lastWideList
	watcher.mutex.Unlock()
	if !last.IsZero() && now.Sub(last) < minWideListInterval {
		return false
	}
	dataCentres := watcher.config.Directory.View().DataCentres()
	if len(dataCentres) <= 1 {
		return true
	}
	contacts := watcher.config.Directory.LastContacts()
	return slices.ContainsFunc(dataCentres, func(name string) bool {
		at, ok := contacts[name]
		return ok && now.Sub(at) > unreachableAfter
	})
}

// reportLeavingServer calls OnServerLeaving for a backend server that the VM list shows as leaving.
func (watcher *Watcher) reportLeavingServer(vm *swplatform.VM) {
	if vm.State == swplatform.StateLeaving && watcher.config.OnServerLeaving != nil {
		watcher.config.OnServerLeaving(vm.Name)
	}
}

// mergeVMs reads a VM list, merges its entry VMs into the members and reports its leaving backend servers.
func (watcher *Watcher) mergeVMs(ctx context.Context, dataCentre string) error {
	listed, err := watcher.config.Platform.VMs(ctx, dataCentre)
	if err != nil {
		return err
	}
	watcher.recordAnswer()
	vms := make([]swmember.VM, 0, len(listed))
	for _, vm := range listed {
		if vm.Role != swplatform.RoleEntry {
			watcher.reportLeavingServer(&vm)
			continue
		}
		vms = append(vms, swmember.VM{
			Name:       vm.Name,
			Region:     vm.Region,
			DataCentre: vm.DataCentre,
			Peer:       vm.Peer,
			Caller:     vm.Caller,
			Leaving:    vm.State == swplatform.StateLeaving,
		})
	}
	watcher.config.Directory.MergeVMs(ctx, dataCentre, vms)
	return nil
}
