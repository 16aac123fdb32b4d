package swadmission_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

func ExampleQueue() {
	queue := swadmission.NewQueue(swadmission.QueueConfig{Slots: 2})
	work := swadmission.Work{Priority: swrule.Urgent, Caller: "treasurer-desk", Deadline: time.Now().Add(time.Second)}
	slot, err := queue.Acquire(context.Background(), work)
	if err != nil {
		fmt.Fprintln(os.Stdout, err)
		return
	}
	fmt.Fprintln(os.Stdout, queue.Load().Running)
	queue.Release(slot, swadmission.Completed)
	fmt.Fprintln(os.Stdout, queue.Load().Running)
	// Output:
	// 1
	// 0
}

func ExampleGate() {
	gate := swadmission.NewGate()
	gate.Observe("vm-1", swadmission.Report{Servers: []swadmission.ServerReport{{
		Server:   "desk-1a",
		Admitted: [swrule.Priorities]uint16{swadmission.AllCohorts, swadmission.AllCohorts, swadmission.AllCohorts / 2},
	}}})
	shards := [][]string{{"desk-1a"}, {"desk-2a", "desk-2b"}}
	for _, cohort := range []uint16{100, 60000} {
		_, admitted := gate.Admit(swadmission.Query{Priority: swrule.Deferrable, Cohort: cohort}, shards)
		fmt.Fprintln(os.Stdout, admitted)
	}
	// Output:
	// true
	// false
}
