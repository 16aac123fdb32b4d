package swrollout

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// inForceWithin is the time in which an accepted version must be in force on all VMs.
const inForceWithin = 4 * time.Second

// startSettled starts nine VMs in three data centres and waits until version 1 of the rules is in force on all of them.
func startSettled(fleet *fleet) []*vm {
	fleet.platform.put(KindRules, RulesName, "1")
	vms := fleet.startAll(9, 3)
	fleet.awaitVersion(vms, 1, time.Minute)
	time.Sleep(30 * time.Second)
	return vms
}

func TestNewVersionIsInForceEverywhere(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.awaitVersion(vms, fleet.platform.put(KindRules, RulesName, "2"), inForceWithin)
	})
}

func TestOnlyTwoVMsOfADataCentreWatch(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		watching := make(map[string]int)
		for _, vm := range vms {
			if vm.watcher.IsWatcher() {
				watching[vm.self.DataCentre]++
			}
		}
		if diff := cmp.Diff(map[string]int{"dc-0": 2, "dc-1": 2, "dc-2": 2}, watching); diff != "" {
			t.Errorf("watching VMs by data centre (-want +got):\n%s", diff)
		}
	})
}

func TestVersionOfOneVMReachesAllWhileThePlatformIsDown(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.down = true })
		if _, err := vms[4].store.Apply(Document{Kind: KindRules, Name: RulesName, Version: 2, Value: []byte("2")}); err != nil {
			t.Fatal(err)
		}
		fleet.awaitVersion(vms, 2, inForceWithin)
	})
}

func TestRulesArriveAfterAPlatformOutageAtStart(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		fleet.platform.put(KindRules, RulesName, "1")
		fleet.platform.down = true
		vms := fleet.startAll(9, 3)
		time.Sleep(10 * time.Minute)
		if got := vms[3].version(); got != 0 {
			t.Errorf("version in force without a platform = %d, want none", got)
		}
		fleet.platform.change(func() { fleet.platform.down = false })
		fleet.awaitVersion(vms, 1, time.Minute)
	})
}

func TestNewVMGetsRulesFromPeersWhileThePlatformIsDown(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.down = true })
		time.Sleep(time.Hour)
		added := fleet.start(member(9, 3, 1), vms[2].self.Peer)
		fleet.awaitVersion([]*vm{added}, 1, 10*time.Second)
	})
}

func TestPlatformRecoveryCausesNoBurstOfCalls(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.down = true })
		time.Sleep(time.Hour)
		version := fleet.platform.put(KindRules, RulesName, "2")
		fleet.platform.takeCalls()
		fleet.platform.change(func() { fleet.platform.down = false })
		busiest := 0
		for range 60 {
			time.Sleep(time.Second)
			total := 0
			for _, count := range fleet.platform.takeCalls() {
				total += count
			}
			busiest = max(busiest, total)
		}
		fleet.awaitVersion(vms, version, time.Second)
		// Six watchers have four loops each, and a loop makes at most three calls when the platform has recovered. The limit is
		// half of that.
		if most := 6 * 4 * 3 / 2; busiest > most {
			t.Errorf("busiest second after the outage had %d calls, want at most %d", busiest, most)
		}
	})
}

func TestSlowPlatformDelaysButDoesNotLoseAVersion(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.delay = 20 * time.Second })
		version := fleet.platform.put(KindRules, RulesName, "2")
		fleet.awaitVersion(vms, version, 2*time.Minute)
	})
}

func TestHangingWatchesDoNotDelayAVersion(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.hanging = true })
		for range 5 {
			fleet.awaitVersion(vms, fleet.platform.put(KindRules, RulesName, "x"), inForceWithin)
			time.Sleep(10 * time.Second)
		}
	})
}

func TestNextListingFindsAChangeThatTheWatchMissed(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.silent = true })
		version := fleet.platform.put(KindRules, RulesName, "2")
		fleet.awaitVersion(vms, version, 2*relistInterval)
	})
}

func TestStaleReadDoesNotRevertTheVersion(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		old := fleet.platform.objects[KindRules+"/"+RulesName]
		fleet.awaitVersion(vms, fleet.platform.put(KindRules, RulesName, "2"), inForceWithin)
		fleet.platform.change(func() {
			fleet.platform.stale = map[string]swplatform.Object{KindRules + "/" + RulesName: old}
		})
		version := fleet.platform.put(KindRules, RulesName, "3")
		fleet.awaitVersion(vms, version, inForceWithin)
		time.Sleep(2 * relistInterval)
		if got := vms[0].version(); got != version {
			t.Errorf("version after stale reads = %d, want %d", got, version)
		}
	})
}

func TestInvalidDocumentLeavesTheLastValidVersionInForce(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.put(KindRules, RulesName, "bad 2")
		fleet.eventually(10*time.Second, "the status object shows the rejection", func() bool {
			return len(rejectedIn(t, fleet, "dc-0")) > 0
		})
		for _, vm := range vms {
			if got := vm.version(); got != 1 {
				t.Errorf("version at %s = %d, want 1", vm.self.Name, got)
			}
		}
		fleet.awaitVersion(vms, fleet.platform.put(KindRules, RulesName, "3"), inForceWithin)
		fleet.eventually(10*time.Second, "the status object shows no rejection", func() bool {
			return len(rejectedIn(t, fleet, "dc-0")) == 0
		})
	})
}

// rejectedIn returns the VMs with a rejection in a data centre's status.
func rejectedIn(t *testing.T, fleet *fleet, dataCentre string) []string {
	t.Helper()
	var names []string
	for _, vm := range readStatus(t, fleet, dataCentre).VMs {
		if vm.Rejected != "" {
			names = append(names, vm.Name)
		}
	}
	return names
}

func readStatus(t *testing.T, fleet *fleet, dataCentre string) Status {
	t.Helper()
	fleet.platform.mutex.Lock()
	object, ok := fleet.platform.objects[KindStatus+"/"+dataCentre]
	fleet.platform.mutex.Unlock()
	var status Status
	if !ok {
		return status
	}
	if err := json.Unmarshal(object.Value, &status); err != nil {
		t.Fatal(err)
	}
	return status
}

func TestStatusShowsTheVersionOfEachVM(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		version := fleet.platform.put(KindRules, RulesName, "2")
		want := Status{DataCentre: "dc-1", Rules: RulesStatus{Version: version}, VMs: []VMStatus{
			{Name: "vm-1", Incarnation: 1, RuleVersion: version, State: "Alive"},
			{Name: "vm-4", Incarnation: 1, RuleVersion: version, State: "Leaving"},
			{Name: "vm-7", Incarnation: 1, RuleVersion: version, State: "Alive"},
		}}
		vms[4].directory.AnnounceLeaving(t.Context())
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff(want, readStatus(t, fleet, "dc-1"), cmpopts.IgnoreFields(Status{}, "At")); diff != "" {
			t.Errorf("status (-want +got):\n%s", diff)
		}
	})
}

func TestStatusIsWrittenWhenResponsesAreLost(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.loseAnswers = true })
		version := fleet.platform.put(KindRules, RulesName, "2")
		time.Sleep(time.Minute)
		if got := readStatus(t, fleet, "dc-2").Rules.Version; got != version {
			t.Errorf("rules version in the status = %d, want %d", got, version)
		}
		fleet.platform.change(func() { fleet.platform.loseAnswers = false })
		version = fleet.platform.put(KindRules, RulesName, "3")
		time.Sleep(time.Minute)
		if got := readStatus(t, fleet, "dc-2").Rules.Version; got != version {
			t.Errorf("rules version in the status = %d, want %d", got, version)
		}
	})
}

func TestPartitionedDataCentreKeepsItsRulesAndConverges(t *testing.T) {
	tests := map[string]struct {
		platform, peers bool
		// reached reports whether new versions still reach the data centre.
		reached bool
	}{
		"from the platform": {platform: true, reached: true},
		"from peers":        {peers: true, reached: true},
		"from both":         {platform: true, peers: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, fleet *fleet) {
				vms := startSettled(fleet)
				inside := func(vm *vm) bool { return vm.self.DataCentre == "dc-1" }
				fleet.cut(choose(test.peers, inside), choose(test.platform, inside))
				version := fleet.platform.put(KindRules, RulesName, "2")
				time.Sleep(inForceWithin)
				want := uint64(1)
				if test.reached {
					want = version
				}
				for _, vm := range vms {
					if inside(vm) && vm.version() != want {
						t.Errorf("version at %s during the partition = %d, want %d", vm.self.Name, vm.version(), want)
					}
				}
				time.Sleep(time.Hour)
				version = fleet.platform.put(KindRules, RulesName, "3")
				fleet.cut(noVM, noVM)
				fleet.awaitVersion(vms, version, 30*time.Second)
			})
		})
	}
}

func choose(chosen bool, condition func(*vm) bool) func(*vm) bool {
	if chosen {
		return condition
	}
	return noVM
}

func (fleet *fleet) cut(peers, platform func(*vm) bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.cutPeers, fleet.cutPlatform = peers, platform
}

func TestResumedVMCatchesUp(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		vms[5].setPaused(true)
		fleet.platform.put(KindRules, RulesName, "2")
		time.Sleep(20 * time.Minute)
		version := fleet.platform.put(KindRules, RulesName, "3")
		time.Sleep(time.Minute)
		vms[5].setPaused(false)
		fleet.awaitVersion(vms, version, 30*time.Second)
	})
}

func TestVMReplacedAtTheSameAddressGetsTheRules(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		vms[4].stop()
		vms[4] = fleet.start(member(4, 3, 2), vms[0].self.Peer)
		fleet.awaitVersion(vms, 1, 10*time.Second)
		fleet.awaitVersion(vms, fleet.platform.put(KindRules, RulesName, "2"), inForceWithin)
	})
}

func TestRestartedVMsGetRulesWhileThePlatformIsDown(t *testing.T) {
	inBubble(t, func(_ *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		fleet.platform.change(func() { fleet.platform.down = true })
		for number := 0; number < len(vms); number += 2 {
			vms[number].stop()
			vms[number] = fleet.start(member(number, 3, 2), vms[1].self.Peer, vms[3].self.Peer)
		}
		fleet.awaitVersion(vms, 1, 30*time.Second)
	})
}

func TestStaleVMListNeitherRemovesNorHidesMembers(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		vms[4].stop()
		added := fleet.start(member(10, 3, 1), vms[0].self.Peer)
		fleet.platform.change(func() { fleet.platform.vms = fleet.platform.vms[:8] })
		time.Sleep(2 * time.Minute)
		var names []string
		for _, member := range vms[0].directory.View().Members("dc-1") {
			names = append(names, member.Name+" "+member.State.String())
		}
		if diff := cmp.Diff([]string{"vm-1 Alive", "vm-10 Alive", "vm-7 Alive"}, names); diff != "" {
			t.Errorf("members (-want +got):\n%s", diff)
		}
		fleet.awaitVersion([]*vm{added}, fleet.platform.put(KindRules, RulesName, "2"), inForceWithin)
	})
}

func TestRestartedVMsReadRulesFromPeersOnly(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		vms := startSettled(fleet)
		var restarted []*vm
		for number, old := range vms {
			if old.watcher.IsWatcher() {
				continue
			}
			old.stop()
			vms[number] = fleet.start(member(number, 3, 2), vms[(number+3)%9].self.Peer, vms[(number+6)%9].self.Peer)
			restarted = append(restarted, vms[number])
		}
		fleet.platform.takeCalls()
		fleet.awaitVersion(restarted, 1, 10*time.Second)
		time.Sleep(10 * time.Second)
		calls := fleet.platform.takeCalls()
		got := map[string]int{"get": calls["get"], "list": calls["list"]}
		if diff := cmp.Diff(map[string]int{"get": 0, "list": 0}, got); diff != "" {
			t.Errorf("calls for %d restarted VMs (-want +got):\n%s", len(restarted), diff)
		}
	})
}

func TestVMsWithoutSeedsDiscoverEachOtherByThePlatformList(t *testing.T) {
	inBubble(t, func(t *testing.T, fleet *fleet) {
		fleet.platform.put(KindRules, RulesName, "1")
		vms := fleet.startAll(9, 3)
		for number, old := range vms {
			old.stop()
			vms[number] = fleet.start(member(number, 3, 2))
		}
		fleet.eventually(30*time.Second, "all VMs know each other", func() bool {
			for _, vm := range vms {
				if vm.directory.View().Len() != len(vms) {
					return false
				}
			}
			return true
		})
		fleet.awaitVersion(vms, 1, 10*time.Second)
	})
}
