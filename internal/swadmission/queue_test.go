package swadmission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// newReadyQueue returns a queue whose limit has already ramped up to all slots.
func newReadyQueue(slots int, settings swsetting.Admission) *Queue {
	queue := NewQueue(QueueConfig{Slots: slots, Settings: settings})
	queue.slotLimit.learned = float64(slots)
	return queue
}

// queueRun applies random operations to a queue and checks its invariants after each of them.
type queueRun struct {
	queue   *Queue
	waiting map[int]*waiter
	running map[int]Slot
	refused map[int]bool
	next    int
}

func (run *queueRun) offer(t *rapid.T) {
	work := Work{
		Priority: swrule.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Caller:   fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "caller")),
		Cohort:   rapid.Uint16().Draw(t, "cohort"),
		Deadline: time.Now().Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "timeout")) * time.Millisecond),
	}
	id := run.next
	run.next++
	waiter, refusal := run.queue.admit(time.Now(), work)
	switch {
	case refusal != nil:
		run.refused[id] = true
	case waiter == nil:
		run.running[id] = Slot{Work: work, startedAt: time.Now()}
	default:
		run.waiting[id] = waiter
	}
}

func (run *queueRun) finish(t *rapid.T) {
	for id, slot := range run.running {
		delete(run.running, id)
		run.queue.Release(slot, Result(rapid.IntRange(0, 3).Draw(t, "result")))
		return
	}
}

func (run *queueRun) cancel(*rapid.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for id, waiter := range run.waiting {
		delete(run.waiting, id)
		run.refused[id] = true
		_ = run.queue.cancel(ctx, waiter)
		return
	}
}

func (run *queueRun) advanceTime(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * time.Millisecond)
}

// check updates granted and refused waiters. It fails if a request has two states or waits while a slot is free.
func (run *queueRun) check(t *rapid.T) {
	for id, waiter := range run.waiting {
		select {
		case refusal := <-waiter.ready:
			delete(run.waiting, id)
			if refusal != nil {
				run.refused[id] = true
				continue
			}
			run.running[id] = Slot{Work: waiter.work, startedAt: time.Now()}
		default:
			if !waiter.queued {
				t.Fatalf("request %d is neither queued, granted nor refused", id)
			}
		}
	}
	for id := range run.running {
		if run.refused[id] {
			t.Fatalf("request %d was refused but runs", id)
		}
	}
	load := run.queue.Load()
	if load.Running != len(run.running) || load.Waiting != len(run.waiting) {
		t.Fatalf("queue reports %+v, but %d requests run and %d wait", load, len(run.running), len(run.waiting))
	}
	if load.Waiting > 0 && load.Running < load.Limit {
		t.Fatalf("%d wait while %d of %d slots are used", load.Waiting, load.Running, load.Limit)
	}
	if load.Waiting > run.queue.limit {
		t.Fatalf("%d wait, limit %d", load.Waiting, run.queue.limit)
	}
}

func TestQueueIsWorkConservingAndDecidesOncePerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(synctestTB{t}, func(t *rapid.T) {
			run := &queueRun{
				queue:   NewQueue(QueueConfig{Slots: 3, Settings: swsetting.Admission{QueueLimit: 12, ShedByCohort: true}}),
				waiting: make(map[int]*waiter), running: make(map[int]Slot), refused: make(map[int]bool),
			}
			t.Repeat(map[string]func(*rapid.T){
				"offer": run.offer, "finish": run.finish, "withdraw": run.cancel, "pass": run.advanceTime, "": run.check,
			})
		})
	})
}

// runBacklog keeps one request in the queue for each listed caller and returns the slot time of each priority and caller.
func runBacklog(queue *Queue, callers map[swrule.Priority][]string, service [swrule.Priorities]time.Duration, total time.Duration) map[string]time.Duration {
	group := swgroup.New(context.Background())
	var mutex sync.Mutex
	used := make(map[string]time.Duration)
	end := time.Now().Add(total)
	for priority, names := range callers {
		for _, name := range names {
			group.Go(func(ctx context.Context) {
				for time.Now().Before(end) {
					slot, err := queue.Acquire(ctx, Work{Priority: priority, Caller: name})
					if err != nil {
						time.Sleep(time.Millisecond)
						continue
					}
					time.Sleep(service[priority])
					mutex.Lock()
					used[fmt.Sprint(priority)] += service[priority]
					used[name] += service[priority]
					mutex.Unlock()
					queue.Release(slot, Completed)
				}
			})
		}
	}
	group.Wait()
	return used
}

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i)
	}
	return list
}

func TestMinimumSharesHoldWhenAllPrioritiesAreOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(synctestTB{t}, func(t *rapid.T) {
			shares := []int{
				rapid.IntRange(10, 50).Draw(t, "urgent"), rapid.IntRange(5, 30).Draw(t, "standard"), rapid.IntRange(5, 20).Draw(t, "deferrable"),
			}
			var service [swrule.Priorities]time.Duration
			for i := range service {
				service[i] = time.Duration(rapid.IntRange(1, 20).Draw(t, "service")) * time.Millisecond
			}
			slots := rapid.IntRange(1, 3).Draw(t, "slots")
			queue := newReadyQueue(slots, swsetting.Admission{Shares: shares})
			const total = 4 * time.Second
			used := runBacklog(queue, map[swrule.Priority][]string{
				swrule.Urgent: names("u", 6), swrule.Standard: names("s", 6), swrule.Deferrable: names("d", 6),
			}, service, total)
			capacity := total * time.Duration(slots)
			// A priority may lag by the cost of its next request and of the requests that hold the slots.
			allowance := 2 * 20 * time.Millisecond * time.Duration(slots+1)
			for i, share := range shares {
				least := capacity*time.Duration(share)/100 - allowance
				if got := used[fmt.Sprint(swrule.Priority(i))]; got < least {
					t.Fatalf("%s got %s of %s, share %d%%", swrule.Priority(i), got, capacity, share)
				}
			}
			if spare := capacity * time.Duration(100-shares[1]-shares[2]-10) / 100; used[fmt.Sprint(swrule.Urgent)] < spare {
				t.Fatalf("Urgent got %s, want at least the time left by the other priorities' shares, %s", used[fmt.Sprint(swrule.Urgent)], spare)
			}
		})
	})
}

func TestCallersOfOnePriorityGetEqualShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newReadyQueue(2, swsetting.Admission{})
		callers := append(names("peer", 3), "flood", "flood", "flood", "flood", "flood", "flood", "flood", "flood", "flood")
		used := runBacklog(queue, map[swrule.Priority][]string{swrule.Standard: callers},
			[swrule.Priorities]time.Duration{0, 5 * time.Millisecond, 0}, 10*time.Second)
		for _, peer := range names("peer", 3) {
			if got, least := used[peer], 20*time.Second/4*95/100; got < least {
				t.Errorf("%s got %s while another caller floods, want at least %s", peer, got, least)
			}
		}
	})
}

func TestPriorityWithoutShareIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newReadyQueue(1, swsetting.Admission{Shares: []int{100, 0, 0}})
		callers := map[swrule.Priority][]string{swrule.Urgent: names("u", 8), swrule.Deferrable: {"slow"}}
		used := runBacklog(queue, callers, [swrule.Priorities]time.Duration{time.Millisecond, 0, time.Millisecond}, 10*time.Second)
		if used["slow"] == 0 {
			t.Error("Deferrable work without a share never ran")
		}
	})
}

// holdSlots acquires the given number of slots and releases them after the service time.
func holdSlots(t *testing.T, group *swgroup.Group, queue *Queue, slots int, service time.Duration) {
	for range slots {
		slot, err := queue.Acquire(t.Context(), Work{})
		if err != nil {
			t.Fatal(err)
		}
		group.Go(func(context.Context) {
			time.Sleep(service)
			queue.Release(slot, Completed)
		})
	}
}

func TestEarliestDeadlineRunsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newReadyQueue(1, swsetting.Admission{})
		group := swgroup.New(context.Background())
		holdSlots(t, group, queue, 1, 10*time.Millisecond)
		order := make(chan int, 3)
		for _, timeout := range []int{300, 100, 200} {
			group.Go(func(ctx context.Context) {
				work := Work{Caller: "a", Deadline: time.Now().Add(time.Duration(timeout) * time.Millisecond)}
				slot, err := queue.Acquire(ctx, work)
				if err != nil {
					t.Error(err)
					return
				}
				order <- timeout
				queue.Release(slot, Completed)
			})
		}
		synctest.Wait()
		group.Wait()
		if diff := cmp.Diff([]int{100, 200, 300}, []int{<-order, <-order, <-order}); diff != "" {
			t.Errorf("order (-want +got):\n%s", diff)
		}
	})
}

func TestWorkThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newReadyQueue(1, swsetting.Admission{})
		group := swgroup.New(context.Background())
		holdSlots(t, group, queue, 1, 50*time.Millisecond)
		time.Sleep(60 * time.Millisecond)
		holdSlots(t, group, queue, 1, 50*time.Millisecond)
		start := time.Now()
		_, err := queue.Acquire(t.Context(), Work{Deadline: start.Add(40 * time.Millisecond)})
		if !errors.Is(err, &swcode.Error{Code: swcode.CannotMeet}) {
			t.Errorf("error %v, want CannotMeet", err)
		}
		if took := time.Since(start); took > 0 {
			t.Errorf("refused after %s", took)
		}
		group.Wait()
	})
}

func TestSlowServerIsTriedAgainWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newReadyQueue(1, swsetting.Admission{})
		group := swgroup.New(context.Background())
		holdSlots(t, group, queue, 1, time.Minute)
		group.Wait()
		slot, err := queue.Acquire(t.Context(), Work{Deadline: time.Now().Add(100 * time.Millisecond)})
		if err != nil {
			t.Fatalf("work was refused although the server is idle: %v", err)
		}
		queue.Release(slot, Completed)
	})
}

func TestLimitAdaptsToRefusalsOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := NewQueue(QueueConfig{Slots: 8})
		work := func(result Result) {
			slot, err := queue.Acquire(t.Context(), Work{})
			if err != nil {
				t.Fatal(err)
			}
			queue.Release(slot, result)
		}
		limits := []int{queue.Load().Limit}
		for range 200 {
			work(Completed)
		}
		limits = append(limits, queue.Load().Limit)
		group := swgroup.New(context.Background())
		holdSlots(t, group, queue, 3, 10*time.Millisecond)
		work(ShedByServer)
		group.Wait()
		limits = append(limits, queue.Load().Limit)
		work(Completed)
		limits = append(limits, queue.Load().Limit)
		time.Sleep(2 * minProbeInterval)
		work(Completed)
		limits = append(limits, queue.Load().Limit)
		queue.ResetLimit()
		limits = append(limits, queue.Load().Limit)
		if diff := cmp.Diff([]int{1, 8, 3, 3, 4, 1}, limits); diff != "" {
			t.Errorf("limits at the start, after answers, a refusal of the fourth, an answer, a pause, a restart (-want +got):\n%s", diff)
		}
	})
}
