package swadmission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

func BenchmarkQueueAcquireRelease(b *testing.B) {
	queue := newReadyQueue(2, swsetting.Admission{ShedByCohort: true})
	work := Work{Priority: swrule.Urgent, Caller: "treasurer-desk", Deadline: time.Now().Add(time.Hour)}
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		slot, err := queue.Acquire(ctx, work)
		if err != nil {
			b.Fatal(err)
		}
		queue.Release(slot, Completed)
	}
}

func BenchmarkQueueHandsOverSlot(b *testing.B) {
	queue := newReadyQueue(1, swsetting.Admission{ShedByCohort: true})
	ctx := context.Background()
	callers := names("caller-", 20)
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(loop *testing.PB) {
		for i := 0; loop.Next(); i++ {
			slot, err := queue.Acquire(ctx, Work{Priority: swrule.Priority(i % swrule.Priorities), Caller: callers[i%len(callers)]})
			if err != nil {
				continue
			}
			queue.Release(slot, Completed)
		}
	})
}

// BenchmarkQueueRefusal measures refusals by a queue with 64 waiters of 20 callers.
func BenchmarkQueueRefusal(b *testing.B) {
	queue := newReadyQueue(1, swsetting.Admission{ShedByCohort: true})
	slot, err := queue.Acquire(context.Background(), Work{})
	if err != nil {
		b.Fatal(err)
	}
	queue.mutex.Lock()
	queue.serviceTimes.add(swrule.Deferrable, 10*time.Millisecond)
	callers := names("caller-", 20)
	for i := range 64 {
		queue.push(time.Now(), Work{Priority: swrule.Deferrable, Caller: callers[i%len(callers)], Deadline: time.Now().Add(time.Hour)})
	}
	queue.mutex.Unlock()
	work := Work{Priority: swrule.Deferrable, Caller: callers[0], Cohort: 1, Deadline: time.Now().Add(20 * time.Millisecond)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := queue.Acquire(context.Background(), work); err == nil {
			b.Fatal("not refused")
		}
	}
	queue.Close()
	queue.Release(slot, Completed)
}

// benchmarkGate measures decisions on queries over 450 shards with 3 replicas each.
func benchmarkGate(b *testing.B, shedding bool, cohort uint16) {
	gate := NewGate()
	shards := make([][]string, 450)
	for i := range shards {
		shards[i] = names(fmt.Sprintf("shard-%d-", i), 3)
		if !shedding {
			continue
		}
		for _, server := range shards[i] {
			report := ServerReport{Server: server, Admitted: [swrule.Priorities]uint16{AllCohorts, AllCohorts, 6000}}
			gate.Observe(server, Report{Servers: []ServerReport{report}})
		}
	}
	query := Query{Priority: swrule.Deferrable, Caller: "audit-export", Cohort: cohort}
	b.ReportAllocs()
	for b.Loop() {
		gate.Admit(query, shards)
	}
}

func BenchmarkGateAdmitsWithoutOverload(b *testing.B) { benchmarkGate(b, false, 100) }
func BenchmarkGateAdmitsUnderOverload(b *testing.B)   { benchmarkGate(b, true, 100) }
func BenchmarkGateRefuses(b *testing.B)               { benchmarkGate(b, true, 60000) }

func BenchmarkLimiterAcquire(b *testing.B) {
	network := &limiterNetwork{}
	limiter := NewLimiter(LimiterConfig{View: network.soleView, Peers: network})
	defer limiter.Close()
	decision := swrule.Decision{ID: "r", InFlight: 100}
	b.ReportAllocs()
	for b.Loop() {
		release, err := limiter.Acquire(context.Background(), decision)
		if err != nil {
			b.Fatal(err)
		}
		release()
	}
}
