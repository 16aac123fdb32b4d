package swreplica

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

func TestExpectPutsTheFasterWayFirst(t *testing.T) {
	near := Prospect{Typical: 12 * time.Millisecond, Usual: 12 * time.Millisecond, Slots: 2}
	far := Prospect{Typical: 36 * time.Millisecond, Usual: 12 * time.Millisecond, Slots: 2, Distance: OtherRegion}
	for name, test := range map[string]struct {
		change func(near, far *Prospect)
		near   bool
	}{
		"both idle":                      {func(_, _ *Prospect) {}, true},
		"near has one request in flight": {func(near, _ *Prospect) { near.Busy, near.Silence = 1, 8*time.Millisecond }, true},
		"near stands still":              {func(near, _ *Prospect) { near.Busy, near.Silence = 1, 60*time.Millisecond }, false},
		"near rejects with idle slots":   {func(near, _ *Prospect) { near.Rejects = 0.6 }, false},
		"near rejects since it is slow":  {func(near, _ *Prospect) { near.Rejects, near.Typical = 0.2, 30*time.Millisecond }, true},
		"near is full":                   {func(near, _ *Prospect) { near.Full = true }, false},
		"near is down":                   {func(near, _ *Prospect) { near.Unreachable = true }, false},
		"near is ten times slower":       {func(near, _ *Prospect) { near.Typical *= 10 }, false},
		"both are down":                  {func(near, far *Prospect) { near.Unreachable, far.Unreachable = true, true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := near, far
			test.change(&near, &far)
			if diff := cmp.Diff(test.near, near.Expect() < far.Expect()); diff != "" {
				t.Errorf("near %s, far %s; near first (-want +got):\n%s", near.Expect(), far.Expect(), diff)
			}
		})
	}
}

func TestConnectionsOfAllVMsLeaveRoom(t *testing.T) {
	for name, test := range map[string]struct {
		most int
		vms  []int
	}{
		"nine VMs":           {26, []int{4, 3, 2}},
		"nine VMs, archives": {110, []int{4, 3, 2}},
		"seventy-one VMs":    {490, []int{12, 12, 12, 12, 12, 11}},
	} {
		t.Run(name, func(t *testing.T) {
			all := 0
			for _, vms := range test.vms {
				all += vms
			}
			for _, near := range test.vms {
				share := Share{Near: near, All: all}
				total := near*baseLimit(test.most, SameDataCentre, share) + (all-near)*baseLimit(test.most, OtherRegion, share)
				if total > test.most {
					t.Errorf("%d VMs near hold %d connections of %d", near, total, test.most)
				}
			}
		})
	}
}

// outage dials a replica that refuses while down is set.
type outage struct {
	mutex sync.Mutex
	down  bool
	dials int
}

func (outage *outage) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	outage.mutex.Lock()
	defer outage.mutex.Unlock()
	outage.dials++
	if outage.down {
		return nil, errors.New("refused")
	}
	client, server := net.Pipe()
	_ = server
	return client, nil
}

// TestOnlyTrialsReachAReplicaThatIsDown replays the load of many requests for a replica that refuses connections.
func TestOnlyTrialsReachAReplicaThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		outage := &outage{down: true}
		registry := NewRegistry(RegistryConfig{DataCentre: "dc", Pool: NewPool(PoolConfig{Group: group, Dial: outage.dial, Log: zerolog.Nop()})})
		registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "dc", Slots: 2}}, nil)
		replica := registry.Find("a")
		request := &Request{Encode: func(time.Time) ([]byte, bool) { return nil, false }, Deadline: time.Now().Add(time.Hour)}
		for range 1000 {
			replica.Reserve()
			if answer := replica.Exchange(t.Context(), request); answer.Outcome != NotSent {
				t.Fatalf("outcome %d, want not sent", answer.Outcome)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if outage.dials > 12 {
			t.Errorf("%d connections were tried in 5s, want those of the trials", outage.dials)
		}
		if replica.Up() {
			t.Error("the replica counts as up")
		}
		outage.mutex.Lock()
		outage.down = false
		outage.mutex.Unlock()
		time.Sleep(time.Second)
		if !replica.Up() {
			t.Error("the replica does not count as up a second after its return")
		}
		replica.Retire()
		group.Stop()
	})
}

func TestRegistryStartsAnewWithEachStartOfAReplica(t *testing.T) {
	group := swgroup.New(context.Background())
	defer group.Stop()
	registry := NewRegistry(RegistryConfig{DataCentre: "dc", Region: "r", Pool: NewPool(PoolConfig{Group: group, Log: zerolog.Nop()})})
	entry := Entry{ID: "a", Service: "s", DataCentre: "dc", Born: time.UnixMilli(1)}
	registry.Update([]Entry{entry, {ID: "b", Service: "s", DataCentre: "other", Region: "r"}, {ID: "c", Service: "s", DataCentre: "far"}}, nil)
	first := registry.Find("a")
	entry.Leaving = true
	registry.Update([]Entry{entry}, nil)
	if registry.Find("a") != first || first.Taking() {
		t.Error("a replica that leaves takes new work, or began anew")
	}
	entry.Leaving, entry.Born = false, time.UnixMilli(2)
	registry.Update([]Entry{entry}, []string{"b"})
	if registry.Find("a") == first || !registry.Find("a").Taking() {
		t.Error("a replica that started again goes on with its earlier state")
	}
	if diff := cmp.Diff(2, len(registry.Service("s"))); diff != "" {
		t.Error("replicas (-want +got):\n" + diff)
	}
}
