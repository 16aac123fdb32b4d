package swquery

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// newPlanFixture returns a registry and a view of several data centres, two per region, each with one replica of each shard.
func newPlanFixture(dataCentres, vms, shards int) (*swindex.Registry, *swmember.View) {
	registry := swindex.NewRegistry()
	snapshot := swindex.Snapshot{ID: "s1"}
	lists := make([]swindex.ServerList, dataCentres)
	var members []swmember.Member
	for i := range lists {
		name := fmt.Sprintf("dc%02d", i)
		lists[i].DataCentre = name
		for vm := range vms {
			members = append(members, swmember.Member{Name: fmt.Sprintf("%s-vm%d", name, vm), DataCentre: name, Region: fmt.Sprintf("r%d", i/2)})
		}
	}
	for shard := range shards {
		described := swindex.Shard{Number: shard, Documents: 100}
		for i := range lists {
			server := fmt.Sprintf("%s-s%d", lists[i].DataCentre, shard)
			described.Replicas = append(described.Replicas, server)
			lists[i].Servers = append(lists[i].Servers, swindex.Server{Name: server, DataCentre: lists[i].DataCentre, Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2, Connections: 25})
		}
		snapshot.Shards = append(snapshot.Shards, described)
	}
	for _, list := range lists {
		registry.SetServers(list)
	}
	registry.SetCatalogue(&swindex.Catalogue{Index: "books", Snapshots: []swindex.Snapshot{snapshot}})
	return registry, swmember.NewView(members[0], members)
}

func firstServers(plan []ShardPlan) []string {
	names := make([]string, len(plan))
	for i := range plan {
		names[i] = plan[i].Targets[0].Server
	}
	return names
}

func TestPlanPrefersLocalReplicas(t *testing.T) {
	registry, view := newPlanFixture(3, 3, 4)
	planner := NewPlanner(registry, OwnerPlacement{}, NewLatencies(95))
	plan := planner.Plan(time.Now(), "books", &registry.Catalogue("books").Snapshots[0], view)
	if diff := cmp.Diff([]string{"dc00-s0", "dc00-s1", "dc00-s2", "dc00-s3"}, firstServers(plan)); diff != "" {
		t.Error(diff)
	}
}

func TestPlanPrefersRemoteReplicaWhileLocalIsSlow(t *testing.T) {
	registry, view := newPlanFixture(3, 3, 2)
	latencies := NewLatencies(95)
	planner := NewPlanner(registry, OwnerPlacement{}, latencies)
	now := time.Now()
	for range 20 {
		latencies.Observe(now, "books", 0, "dc00-s0", 400*time.Millisecond)
	}
	snapshot := &registry.Catalogue("books").Snapshots[0]
	slow := firstServers(planner.Plan(now, "books", snapshot, view))
	if diff := cmp.Diff([]string{"dc01-s0", "dc00-s1"}, slow); diff != "" {
		t.Error(diff)
	}
	later := firstServers(planner.Plan(now.Add(10*latencyHalfLife), "books", snapshot, view))
	if diff := cmp.Diff([]string{"dc00-s0", "dc00-s1"}, later); diff != "" {
		t.Error("a formerly slow server is not used again: " + diff)
	}
}

// TestPlanPrefersLocalReplicaUnlessClearlySlower compares a local replica with remote ones that were never observed, are
// slightly faster or are much faster.
func TestPlanPrefersLocalReplicaUnlessClearlySlower(t *testing.T) {
	cases := map[string]struct {
		local, remote time.Duration
		want          string
	}{
		"the others were never observed":  {30 * time.Millisecond, 0, "dc00-s0"},
		"the others are a little faster":  {30 * time.Millisecond, 25 * time.Millisecond, "dc00-s0"},
		"another is several times faster": {300 * time.Millisecond, 25 * time.Millisecond, "dc01-s0"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			registry, view := newPlanFixture(2, 2, 1)
			latencies := NewLatencies(98)
			planner := NewPlanner(registry, OwnerPlacement{}, latencies)
			now := time.Now()
			for range 200 {
				latencies.Observe(now, "books", 0, "dc00-s0", test.local)
				if test.remote > 0 {
					latencies.Observe(now, "books", 0, "dc01-s0", test.remote)
				}
			}
			for range 50 {
				got := firstServers(planner.Plan(now, "books", &registry.Catalogue("books").Snapshots[0], view))
				if diff := cmp.Diff([]string{test.want}, got); diff != "" {
					t.Fatal(diff)
				}
			}
		})
	}
}

func TestPlanSkipsDrainingServers(t *testing.T) {
	registry, view := newPlanFixture(2, 2, 1)
	planner := NewPlanner(registry, OwnerPlacement{}, NewLatencies(95))
	registry.MarkDraining("dc00-s0", time.Minute)
	plan := planner.Plan(time.Now(), "books", &registry.Catalogue("books").Snapshots[0], view)
	for _, target := range plan[0].Targets {
		if target.Server == "dc00-s0" {
			t.Errorf("a draining server is a target: %+v", target)
		}
	}
}

func TestPlanUsesServersOfDataCentreWithoutVMs(t *testing.T) {
	registry, view := newPlanFixture(2, 2, 1)
	alone := swmember.NewView(view.Self, view.Members("dc00"))
	registry.MarkDraining("dc00-s0", time.Minute)
	planner := NewPlanner(registry, OwnerPlacement{}, NewLatencies(95))
	plan := planner.Plan(time.Now(), "books", &registry.Catalogue("books").Snapshots[0], alone)
	if len(plan[0].Targets) == 0 || plan[0].Targets[0].Server != "dc01-s0" {
		t.Errorf("the other data centre's replica is not the first target: %+v", plan[0].Targets)
	}
}

func TestDirectPlacementSendsFromThisVM(t *testing.T) {
	registry, view := newPlanFixture(2, 3, 3)
	planner := NewPlanner(registry, DirectPlacement{}, NewLatencies(95))
	for _, shard := range planner.Plan(time.Now(), "books", &registry.Catalogue("books").Snapshots[0], view) {
		for _, target := range shard.Targets {
			if diff := cmp.Diff(view.Self.Name, target.Owner); diff != "" {
				t.Error(diff)
			}
		}
	}
}

// BenchmarkPlan plans queries over 450 shards with about 1,400 VMs and 9,450 backend servers.
func BenchmarkPlan(b *testing.B) {
	registry, view := newPlanFixture(21, 67, 450)
	planner := NewPlanner(registry, OwnerPlacement{}, NewLatencies(95))
	snapshot := &registry.Catalogue("books").Snapshots[0]
	b.ReportAllocs()
	for b.Loop() {
		planner.Plan(time.Now(), "books", snapshot, view)
	}
}

// BenchmarkPlanAfterViewChange plans the first query after a membership change, which rebuilds the template.
func BenchmarkPlanAfterViewChange(b *testing.B) {
	registry, view := newPlanFixture(21, 67, 450)
	planner := NewPlanner(registry, OwnerPlacement{}, NewLatencies(95))
	snapshot := &registry.Catalogue("books").Snapshots[0]
	var members []swmember.Member
	for _, dataCentre := range view.DataCentres() {
		members = append(members, view.Members(dataCentre)...)
	}
	b.ReportAllocs()
	for b.Loop() {
		planner.Plan(time.Now(), "books", snapshot, swmember.NewView(view.Self, members))
	}
}
