package swbackend

import (
	"testing"
	"testing/synctest"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
)

// TestLeavingInTheServerListIsPassedOnWithoutTheLock hangs when the pool calls
// OnLeaving under its own lock, because subscribers of the sign use the pool.
func TestLeavingInTheServerListIsPassedOnWithoutTheLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pool *Pool
		seen := 0
		pool = NewPool(Config{OnLeaving: func(name string) {
			seen++
			pool.SetLeaving(name)
		}})
		defer pool.Close()
		pool.SetServers([]swindex.Server{{Name: "a", Slots: 1, Connections: 4, Leaving: true}})
		if seen != 1 || !pool.Leaving("a") {
			t.Errorf("announced %d times, leaving %v", seen, pool.Leaving("a"))
		}
	})
}
