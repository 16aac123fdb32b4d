package swfeed

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

const (
	// stableWindow is how long a VM must have been without a fault for the users' bound on changes to hold for it.
	stableWindow = 4 * time.Second
	// maxStep is the longest time between two events of a random timeline.
	maxStep = 500 * time.Millisecond
	// maxLost and maxAway bound how many changes a rollback of the store loses, and how long the store is down for it.
	maxLost = 15
	maxAway = 3 * time.Second
	// minFault and maxFault bound how long a fault lasts.
	minFault = 200 * time.Millisecond
	maxFault = 5 * time.Second
)

// vmFaults are the faults of a single VM. A fault without an effect on the store or the links is a restart.
var vmFaults = map[string]struct{ refused, silent, partitioned bool }{
	"refused by the store":   {refused: true},
	"no answer of the store": {silent: true},
	"cut from other VMs":     {partitioned: true},
	"cut from all":           {silent: true, partitioned: true},
	"restart":                {},
}

// timeline is a random series of faults and changes.
type timeline struct {
	random *rand.Rand
	fleet  *testFleet
	kinds  int
	// faultEnds is when the latest fault of each VM ends.
	faultEnds []time.Time
	// due is when the VMs without a fault must hold a position, by position.
	due map[swplatform.Position]time.Time
	// rollsBack is set if the store may lose its latest changes, and backAt is when it returns; it is the zero time while it is up.
	rollsBack bool
	backAt    time.Time
	log       string
}

// step lets some time pass, ends faults, and may begin a fault and change the store.
func (timeline *timeline) step() {
	time.Sleep(time.Duration(timeline.random.Int64N(int64(maxStep))))
	now := time.Now()
	for vm, end := range timeline.faultEnds {
		if !now.Before(end) {
			timeline.setFault(vm, "restart")
		}
	}
	vm := timeline.random.IntN(len(timeline.faultEnds))
	if !now.Before(timeline.faultEnds[vm]) {
		fault := slices.Sorted(maps.Keys(vmFaults))[timeline.random.IntN(len(vmFaults))]
		lasts := minFault + time.Duration(timeline.random.Int64N(int64(maxFault-minFault)))
		if fault == "restart" {
			lasts = 0
			timeline.fleet.start(vm, timeline.kinds)
		}
		timeline.setFault(vm, fault)
		timeline.faultEnds[vm] = now.Add(lasts)
		timeline.log += fmt.Sprintf("%s VM %d: %s for %s\n", now.Format("05.000"), vm, fault, lasts)
	}
	if timeline.rollsBack {
		timeline.stepStore(now)
	}
	if timeline.backAt.IsZero() && timeline.random.IntN(4) == 0 {
		timeline.fleet.store.change()
		timeline.expect(now)
	}
}

// stepStore ends a rollback of the store, or may begin one.
func (timeline *timeline) stepStore(now time.Time) {
	store := timeline.fleet.store
	switch {
	case !timeline.backAt.IsZero() && !now.Before(timeline.backAt):
		timeline.backAt = time.Time{}
		store.set(func() { store.down = false })
		timeline.expect(now)
	case timeline.backAt.IsZero() && timeline.random.IntN(12) == 0:
		lost := 1 + timeline.random.Uint64N(maxLost)
		timeline.backAt = now.Add(time.Duration(timeline.random.Int64N(int64(maxAway))))
		store.set(func() { store.down = true })
		store.rollBack(lost)
		clear(timeline.due)
		timeline.log += fmt.Sprintf("%s the store loses %d changes and is away until %s\n", now.Format("05.000"), lost, timeline.backAt.Format("05.000"))
	}
}

// expect makes the store's position due.
func (timeline *timeline) expect(now time.Time) {
	timeline.due[timeline.fleet.store.position] = now.Add(applyWithin)
	timeline.log += fmt.Sprintf("%s position %v\n", now.Format("05.000"), timeline.fleet.store.position)
}

func (timeline *timeline) setFault(vm int, name string) {
	fleet, fault := timeline.fleet, vmFaults[name]
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.partitioned[vm] = fault.partitioned
	fleet.store.set(func() { fleet.store.refused[vm], fleet.store.silent[vm] = fault.refused, fault.silent })
}

// check checks that the VMs without a fault hold all revisions that are due.
func (timeline *timeline) check(t *testing.T) {
	t.Helper()
	synctest.Wait()
	now := time.Now()
	for position, due := range timeline.due {
		if now.Before(due) {
			continue
		}
		delete(timeline.due, position)
		timeline.fleet.mutex.Lock()
		for vm, held := range timeline.fleet.positions {
			if now.Sub(timeline.faultEnds[vm]) > stableWindow && held.Before(position) {
				t.Errorf("%s: VM %d holds position %v, want %v\n%s", now.Format("05.000"), vm, held, position, timeline.log)
			}
		}
		timeline.fleet.mutex.Unlock()
	}
}

// TestChangesReachVMsWithoutFaultWhileOthersFail guards against changes that are in force late at a VM without a fault because its
// upstreams fail one after the other: each failure is noticed in time, but the times add up.
func TestChangesReachVMsWithoutFaultWhileOthersFail(t *testing.T) {
	// The first three failed before VMs noticed that their copies were not confirmed.
	seeds := []uint64{1324, 2408, 2769}
	for seed := range uint64(100) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTimeline(t, seed, false) })
	}
}

// TestChangesReachVMsWhileTheStoreRollsBack guards against VMs that take changes of a store that came back from an older copy for known
// ones, beside faults of the VMs.
func TestChangesReachVMsWhileTheStoreRollsBack(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runTimeline(t, seed, true) })
	}
}

// runTimeline runs one random timeline, in which the store may roll back.
func runTimeline(t *testing.T, seed uint64, rollsBack bool) {
	const vms, kinds, steps = 6, 2, 60
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleetOfKinds(t, vms, kinds)
		defer fleet.group.Stop()
		time.Sleep(5 * time.Second)
		timeline := timeline{
			random: rand.New(rand.NewPCG(seed, 0)), fleet: fleet, kinds: kinds, rollsBack: rollsBack,
			faultEnds: make([]time.Time, vms), due: make(map[swplatform.Position]time.Time),
		}
		for range steps {
			timeline.step()
			timeline.check(t)
		}
	})
}

// TestVMHoldsChangesOnceItCountsAsHealthyAfterACut guards against a probe that waits for an answer that the cut from the store has
// swallowed, so that the VM lists the store too late after the cut while its upstream has no access to the store. Backoffs are random,
// so many cuts are tried.
func TestVMHoldsChangesOnceItCountsAsHealthyAfterACut(t *testing.T) {
	const shortest, longest, step = 4 * time.Second, 12 * time.Second, 10 * time.Millisecond
	late, cuts := 0, 0
	for lasts := shortest; lasts < longest; lasts += step {
		cuts++
		synctest.Test(t, func(t *testing.T) {
			fleet := newTestFleetOfKinds(t, 2, 2)
			defer fleet.group.Stop()
			time.Sleep(5 * time.Second)
			fleet.store.set(func() { fleet.store.refused[0], fleet.store.silent[1] = true, true })
			fleet.store.change()
			time.Sleep(lasts)
			fleet.store.set(func() { fleet.store.silent[1] = false })
			time.Sleep(stableWindow)
			synctest.Wait()
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			if fleet.positions[1].Before(fleet.store.position) {
				late++
			}
		})
	}
	if late > 0 {
		t.Errorf("after %d of %d cuts, a VM lacked a change %s after the cut", late, cuts, stableWindow)
	}
}
