package swfeed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestChangesArriveAfterTheStoreCameBackOlder guards against changes that VMs take for known ones, because the store has lost its latest
// changes and gives out their revisions again.
func TestChangesArriveAfterTheStoreCameBackOlder(t *testing.T) {
	for _, lost := range []uint64{1, 2, 5} {
		for _, changes := range []uint64{1, 2, 5} {
			t.Run(fmt.Sprintf("%d lost, %d new", lost, changes), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newTestFleetOfKinds(t, 4, 2)
					defer fleet.group.Stop()
					for range 10 {
						time.Sleep(time.Second)
						fleet.store.change()
					}
					time.Sleep(time.Second)
					fleet.store.set(func() { fleet.store.down = true })
					fleet.store.rollBack(lost)
					time.Sleep(2 * time.Second)
					fleet.store.set(func() { fleet.store.down = false })
					time.Sleep(4 * time.Second)
					for range changes - 1 {
						fleet.store.change()
						time.Sleep(100 * time.Millisecond)
					}
					fleet.expectChange(time.Second, 0, 1, 2, 3)
				})
			})
		}
	}
}
