package swmember

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func stateOf(node *node, name string) string {
	member, ok := node.directory.View().Member(name)
	if !ok {
		return "absent"
	}
	return member.State.String()
}

func TestVMsDiscoverEachOtherFromOneSeed(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(3, 3)
		if diff := cmp.Diff([]string{"dc-0", "dc-1", "dc-2"}, nodes[4].directory.View().DataCentres()); diff != "" {
			t.Errorf("data centres (-want +got):\n%s", diff)
		}
	})
}

func TestDeadVMIsRemovedFromEveryView(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(3, 3)
		nodes[4].kill()
		survivors := append(append([]*node(nil), nodes[:4]...), nodes[5:]...)
		eventually(t, 15*time.Second, func() bool {
			for _, node := range survivors {
				if stateOf(node, "vm-4") != "absent" {
					return false
				}
			}
			return true
		})
	})
}

func TestLeavingReachesEveryVMWithinASecond(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(3, 3)
		nodes[4].directory.AnnounceLeaving(context.Background())
		eventually(t, time.Second, func() bool {
			for _, node := range nodes {
				if stateOf(node, "vm-4") != "Leaving" {
					return false
				}
			}
			return true
		})
	})
}

func TestPausedVMRefutesItsDeath(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 5)
		nodes[2].pause()
		eventually(t, 15*time.Second, func() bool { return stateOf(nodes[0], "vm-2") == "absent" })
		time.Sleep(10 * time.Minute)
		nodes[2].resume()
		eventually(t, 30*time.Second, func() bool {
			for _, node := range nodes {
				if len(aliveMembers(node)) != len(nodes) {
					return false
				}
			}
			return true
		})
	})
}

func TestResumedVMSuspectsNoMember(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 5)
		var accused []string
		nodes[0].recordStore.Subscribe(TopicMember, func(record Record) {
			member, err := decodeMember(record)
			if err == nil && member.Name != "vm-2" && member.State != Alive {
				network.mutex.Lock()
				defer network.mutex.Unlock()
				accused = append(accused, member.Name)
			}
		})
		pauses := 0
		network.mutex.Lock()
		network.onSend = func(from *node) {
			if from != nodes[2] || pauses == 40 {
				return
			}
			pauses++
			from.pause()
			network.serving.Go(func(context.Context) {
				time.Sleep(20 * time.Second)
				from.resume()
			})
		}
		network.mutex.Unlock()
		time.Sleep(30 * time.Minute)
		network.mutex.Lock()
		defer network.mutex.Unlock()
		if diff := cmp.Diff([]string(nil), accused); diff != "" {
			t.Errorf("accused members (-want +got):\n%s", diff)
		}
	})
}

func TestSlowVMStaysAlive(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 5)
		var demoted []string
		for _, node := range nodes {
			node.directory.Subscribe(func(view *View) {
				if member, ok := view.Member("vm-2"); !ok || member.State != Alive {
					demoted = append(demoted, node.config.Self.Name)
				}
			})
		}
		for range 20 {
			nodes[2].pause()
			time.Sleep(2 * defaultProbeTimeout)
			nodes[2].resume()
			time.Sleep(5 * time.Second)
		}
		if diff := cmp.Diff([]string(nil), demoted); diff != "" {
			t.Errorf("VMs whose view did not show the slow VM as alive (-want +got):\n%s", diff)
		}
	})
}

func TestVMUnreachableFromOnePeerIsSuspectOnlyThere(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 5)
		network.mutex.Lock()
		network.cut = func(a, b *node) bool {
			return a == nodes[1] && b == nodes[2] || a == nodes[2] && b == nodes[1]
		}
		network.mutex.Unlock()
		nodes[1].directory.ReportSuspect("vm-2")
		time.Sleep(5 * time.Minute)
		got := map[string]string{"vm-0": stateOf(nodes[0], "vm-2"), "vm-1": stateOf(nodes[1], "vm-2"), "vm-3": stateOf(nodes[3], "vm-2")}
		want := map[string]string{"vm-0": "Alive", "vm-1": "Suspect", "vm-3": "Alive"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("state of vm-2 (-want +got):\n%s", diff)
		}
	})
}

func TestReplacementAtTheSameAddressReplacesTheMember(t *testing.T) {
	tests := map[string]struct {
		name        string
		incarnation uint64
	}{
		"same name and a higher incarnation": {name: "vm-2", incarnation: 9},
		"same name and a lower incarnation":  {name: "vm-2", incarnation: 0},
		"another name":                       {name: "vm-2b", incarnation: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, network *network) {
				nodes := network.fleet(3, 3)
				nodes[2].kill()
				nodes[2] = network.start(2, test.name, "dc-2", test.incarnation, 0)
				eventually(t, 15*time.Second, func() bool {
					for _, node := range nodes {
						if len(aliveMembers(node)) != len(nodes) || !aliveMembers(node)[test.name] {
							return false
						}
					}
					return true
				})
			})
		})
	}
}

func TestReportedMemberIsSuspectUntilItAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 4)
		nodes[1].pause()
		nodes[0].directory.ReportSuspect("vm-1")
		if got := stateOf(nodes[0], "vm-1"); got != "Suspect" {
			t.Errorf("state immediately after the report = %s, want Suspect", got)
		}
		time.Sleep(200 * time.Millisecond)
		nodes[1].resume()
		eventually(t, 10*time.Second, func() bool { return stateOf(nodes[0], "vm-1") == "Alive" })
	})
}

func TestUnreachableMemberOfAnotherDataCentreIsNotDeclaredDead(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(3, 3)
		network.isolate("dc-1")
		for range 10 {
			nodes[0].directory.ReportSuspect("vm-1")
			time.Sleep(10 * time.Second)
		}
		if got := stateOf(nodes[0], "vm-1"); got != "Suspect" {
			t.Errorf("state at the reporter = %s, want Suspect", got)
		}
		if got := stateOf(nodes[3], "vm-1"); got != "Alive" {
			t.Errorf("state at its neighbour = %s, want Alive", got)
		}
		network.heal()
		eventually(t, time.Minute, func() bool { return stateOf(nodes[0], "vm-1") == "Alive" })
	})
}

// isolate partitions a data centre from all others.
func (network *network) isolate(dataCentre string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut = func(a, b *node) bool {
		return (a.config.Self.DataCentre == dataCentre) != (b.config.Self.DataCentre == dataCentre)
	}
}

// heal ends all partitions.
func (network *network) heal() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut = func(_, _ *node) bool { return false }
}

func TestViewsConvergeAfterPartition(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(3, 3)
		network.isolate("dc-1")
		nodes[1].directory.AnnounceLeaving(context.Background())
		nodes[0].kill()
		time.Sleep(time.Hour)
		network.heal()
		eventually(t, 30*time.Second, func() bool {
			for _, node := range nodes[1:] {
				if stateOf(node, "vm-0") != "absent" || stateOf(node, "vm-1") != "Leaving" {
					return false
				}
			}
			return true
		})
	})
}

func TestPartitionedVMRejoinsItsDataCentre(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 5)
		network.mutex.Lock()
		network.cut = func(a, b *node) bool { return a == nodes[3] || b == nodes[3] }
		network.mutex.Unlock()
		eventually(t, time.Minute, func() bool { return len(aliveMembers(nodes[3])) == 1 && !aliveMembers(nodes[0])["vm-3"] })
		time.Sleep(5 * time.Minute)
		network.heal()
		eventually(t, time.Minute, func() bool {
			for _, node := range nodes {
				if len(aliveMembers(node)) != len(nodes) {
					return false
				}
			}
			return true
		})
	})
}

func TestViewsConvergeAfterHalfOfTheVMsRestart(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(3, 6)
		for number := 0; number < len(nodes); number += 2 {
			nodes[number].kill()
		}
		time.Sleep(500 * time.Millisecond)
		for number := 0; number < len(nodes); number += 2 {
			name := nodes[number].config.Self.Name
			nodes[number] = network.start(number, name, nodes[number].config.Self.DataCentre, 2, 1, 3)
		}
		eventually(t, 30*time.Second, func() bool {
			for _, node := range nodes {
				if len(aliveMembers(node)) != len(nodes) {
					return false
				}
			}
			return true
		})
	})
}

func TestPlatformListAddsMembersButRemovesNoLiveOnes(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 4)
		nodes[3].kill()
		unknown := network.start(9, "vm-9", "dc-0", 1)
		listed := []VM{
			{Name: "vm-0", DataCentre: "dc-0", Peer: address(0)},
			{Name: "vm-1", DataCentre: "dc-0", Peer: address(1), Leaving: true},
			{Name: "vm-3", DataCentre: "dc-0", Peer: address(3)},
			{Name: "vm-9", DataCentre: "dc-0", Region: "r", Peer: address(9), Caller: address(9)},
		}
		nodes[0].directory.MergeVMs(t.Context(), "dc-0", listed)
		want := map[string]bool{"vm-0": true, "vm-1": true, "vm-2": true, "vm-9": true}
		eventually(t, 20*time.Second, func() bool {
			return cmp.Equal(want, aliveMembers(nodes[0])) && cmp.Equal(want, aliveMembers(unknown))
		})
		nodes[0].directory.MergeVMs(t.Context(), "dc-0", listed)
		if diff := cmp.Diff(want, aliveMembers(nodes[0])); diff != "" {
			t.Errorf("members after merging the stale list again (-want +got):\n%s", diff)
		}
	})
}

func TestPlatformListRemovesADataCentreThatIsGone(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(2, 3)
		for number := 1; number < len(nodes); number += 2 {
			nodes[number].kill()
		}
		time.Sleep(time.Minute)
		if got := stateOf(nodes[0], "vm-1"); got == "absent" {
			t.Fatal("members of an unreachable data centre were removed before the platform's list lacked them")
		}
		nodes[0].directory.MergeVMs(t.Context(), "", []VM{{Name: "vm-0", Peer: address(0)}, {Name: "vm-2", Peer: address(2)}, {Name: "vm-4", Peer: address(4)}})
		if diff := cmp.Diff([]string{"dc-0"}, nodes[0].directory.View().DataCentres()); diff != "" {
			t.Errorf("data centres (-want +got):\n%s", diff)
		}
	})
}

func TestEmptyPlatformListCausesFewProbesAndRemovesNoMember(t *testing.T) {
	inBubble(t, func(t *testing.T, network *network) {
		nodes := network.fleet(1, 40)
		sent := 0
		network.mutex.Lock()
		network.onSend = func(from *node) {
			if from == nodes[0] {
				sent++
			}
		}
		network.mutex.Unlock()
		nodes[0].directory.MergeVMs(t.Context(), "dc-0", nil)
		network.mutex.Lock()
		defer network.mutex.Unlock()
		// A regular probe may be sent during the merge.
		if sent > maxVerifiedMembers+1 {
			t.Errorf("%d calls for an empty list, want at most %d", sent, maxVerifiedMembers+1)
		}
		if got := len(aliveMembers(nodes[0])); got != len(nodes) {
			t.Errorf("%d members alive after an empty list, want %d", got, len(nodes))
		}
	})
}
