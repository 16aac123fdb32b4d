package swreplica

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swreach"
)

// coldVM is the state of one VM about a replica that may be cold.
type coldVM struct {
	registry *Registry
	shared   *swlimit.Pool
}

func newColdVM(vms int, limit swlimit.Limit, entry Entry) *coldVM {
	shared := swlimit.NewPool(swlimit.Config{VMs: func() int { return vms }})
	pool := NewPool(PoolConfig{Cold: shared, ColdLimit: func(string) swlimit.Limit { return limit }, Log: zerolog.Nop()})
	coldVM := &coldVM{registry: NewRegistry(RegistryConfig{Pool: pool}), shared: shared}
	coldVM.registry.Update([]Entry{entry}, nil)
	return coldVM
}

// TestColdReplicaOfReturningZoneIsNotOverrun replays a zone that comes back cold while half of the VMs restart and all of them have far more
// requests than the replica takes. It guards against a VM that starts with the share which its predecessor has spent, and against the sum
// of the VMs' shares exceeding the limit in any second.
func TestColdReplicaOfReturningZoneIsNotOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, rate, allowed = 6, 40.0, 40*1.5 + 5
		const step, tail = 5 * time.Millisecond, 8 * time.Second
		limit := swlimit.Limit{Rate: rate, Burst: (allowed - rate) / 2, Margin: (allowed - rate) / 2}
		entry := Entry{ID: "a", Service: "s", DataCentre: "z", Slots: 4, WarmUpLeft: tail}
		fleet := make([]*coldVM, vms)
		for i := range fleet {
			fleet[i] = newColdVM(vms, limit, entry)
		}
		var sent []time.Time
		started := time.Now()
		for restarted := 0; time.Since(started) < tail; time.Sleep(step) {
			elapsed := time.Since(started)
			if restarted < vms/2 && elapsed > 3*time.Second+time.Duration(restarted)*100*time.Millisecond {
				current := entry
				current.WarmUpLeft = tail - elapsed
				fleet[restarted] = newColdVM(vms, limit, current)
				restarted++
			}
			for _, i := range rand.Perm(vms) {
				if fleet[i].registry.Find("a").takeCold(time.Now()) {
					sent = append(sent, time.Now())
				}
			}
		}
		most, first := 0, 0
		for i := range sent {
			for sent[i].Sub(sent[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
		t.Logf("at most %d requests in a second, %d in all in %v", most, len(sent), tail)
		if most > allowed || float64(len(sent)) < 0.8*rate*tail.Seconds() {
			t.Errorf("at most %d requests in a second, want %v at most; %d in all, want most of %v a second", most, allowed, len(sent), rate)
		}
		time.Sleep(step)
		replica := fleet[0].registry.Find("a")
		for range 200 {
			if !replica.takeCold(time.Now()) {
				t.Fatal("a warm replica is limited")
			}
		}
		fleet[1].registry.PruneCold(time.Now())
		if diff := cmp.Diff([]float64{0, 0}, []float64{fleet[0].shared.Holds(time.Now(), "cold/a"), fleet[1].shared.Holds(time.Now(), "cold/a")}); diff != "" {
			t.Error("limits of a warm replica (-want +got):\n" + diff)
		}
	})
}

// TestReplicaBecomesColdAtAnyMoment guards against a replica that is taken for warm because of an entry that is older than what it said, and
// against limits that are removed with a former process of the same ID.
func TestReplicaBecomesColdAtAnyMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := Entry{ID: "a", Service: "s", DataCentre: "z", Slots: 4, Sequence: 1}
		vm := newColdVM(1, swlimit.Limit{Rate: 1, Burst: 2}, entry)
		time.Sleep(time.Second)
		isCold := func() bool { return vm.registry.Find("a").isCold(time.Now()) }
		var got []bool
		check := func() { got = append(got, isCold()) }
		check()
		vm.registry.Find("a").ObserveReport(time.Now(), Report{Succeeded: true, SaysWarmUp: true, WarmUpLeft: 5 * time.Second})
		check()
		entry.Sequence++
		vm.registry.Update([]Entry{entry}, nil)
		check()
		vm.registry.Find("a").ObserveReport(time.Now(), Report{Succeeded: true})
		check()
		vm.registry.Find("a").ObserveReport(time.Now(), Report{Succeeded: true, SaysWarmUp: true})
		check()
		entry.Sequence, entry.WarmUpLeft = entry.Sequence+1, time.Second
		vm.registry.Update([]Entry{entry}, nil)
		check()
		time.Sleep(time.Second)
		check()
		if diff := cmp.Diff([]bool{false, true, true, true, false, true, false}, got); diff != "" {
			t.Error("cold (-want +got):\n" + diff)
		}

		entry.WarmUpLeft = time.Minute
		former := vm.registry.Find("a")
		former.takeCold(time.Now())
		entry.StartedAt = time.Now()
		vm.registry.Update([]Entry{entry}, nil)
		former.takeCold(time.Now())
		replica := vm.registry.Find("a")
		time.Sleep(10 * time.Second)
		taken := 0
		for range 10 {
			if replica.takeCold(time.Now()) {
				taken++
			}
		}
		vm.registry.PruneCold(time.Now())
		former.takeCold(time.Now())
		if replica.takeCold(time.Now()) || taken > 2 || replica.coldWait(time.Now()) <= 0 {
			t.Errorf("%d requests at once at the new process, want its limit of 2", taken)
		}
	})
}

// TestChecksOfLinksStayWithinTheLimitOfAColdReplica guards against health requests that a cold replica gets on top of its limit.
func TestChecksOfLinksStayWithinTheLimitOfAColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		server := &respondingReplica{group: group, carriers: make(map[string][]net.Conn)}
		pool := NewPool(PoolConfig{
			Cold:       swlimit.NewPool(swlimit.Config{VMs: func() int { return 1 }}),
			ColdLimit:  func(string) swlimit.Limit { return swlimit.Limit{Rate: 1, Burst: 2} },
			HealthPath: func(string) string { return "/healthz" },
			Dial:       server.dial, Group: group, Log: zerolog.Nop(),
		})
		registry := NewRegistry(RegistryConfig{Pool: pool})
		registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "z", Slots: 4, WarmUpLeft: time.Minute}}, nil)
		replica := registry.Find("a")
		replica.Cold(time.Now())
		time.Sleep(10 * time.Second)
		for range 10 {
			if result := replica.ping(t.Context()); result != swreach.CheckAnswered {
				t.Errorf("the result of a check is %d, want %d", result, swreach.CheckAnswered)
			}
		}
		server.mutex.Lock()
		requests := len(server.carriers[""])
		server.mutex.Unlock()
		if requests < 1 || requests > 2 {
			t.Errorf("the replica got %d health requests, want up to its limit of 2", requests)
		}
		if replica.takeCold(time.Now()) {
			t.Error("a request is let through beyond the limit")
		}
		replica.Retire()
		group.Stop()
	})
}
