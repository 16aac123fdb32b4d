package swreplica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

func TestReplicasAreCountedByState(t *testing.T) {
	registry := NewRegistry(RegistryConfig{DataCentre: "dc", Pool: NewPool(PoolConfig{Log: zerolog.Nop()})})
	now := time.Now()
	var entries []Entry
	for _, id := range []string{"ready", "listed as leaving", "said leaving", "held off", "limited", "held off and limited"} {
		entries = append(entries, Entry{ID: id, Service: "s", Leaving: id == "listed as leaving"})
	}
	registry.Update(entries, nil)
	registry.Find("said leaving").ObserveReport(now, Report{Leaving: true})
	for _, id := range []string{"held off", "held off and limited"} {
		registry.Find(id).ObserveReport(now, Report{RetryAfter: time.Second})
	}
	for _, id := range []string{"limited", "held off and limited"} {
		registry.Find(id).ObserveReport(now, Report{RateLimit: 10})
	}
	want := map[State]int{StateReady: 1, StateLeaving: 2, StateHeldOff: 2, StateRateLimited: 1}
	if diff := cmp.Diff(want, registry.CountByState(now)); diff != "" {
		t.Error("replicas (-want +got):\n" + diff)
	}
	want = map[State]int{StateReady: 2, StateLeaving: 2, StateRateLimited: 2}
	if diff := cmp.Diff(want, registry.CountByState(now.Add(time.Minute))); diff != "" {
		t.Error("replicas a minute later (-want +got):\n" + diff)
	}
}
