package swbackend

import (
	"testing"
	"testing/synctest"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
)

// TestOnLeavingIsCalledWithoutTheLock guards against a deadlock: if the pool called OnLeaving while holding its lock, a
// callback that uses the pool would hang.
func TestOnLeavingIsCalledWithoutTheLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pool *Pool
		calls := 0
		pool = NewPool(Config{OnLeaving: func(name string) {
			calls++
			pool.SetLeaving(name)
		}})
		defer pool.Close()
		pool.SetServers([]swindex.Server{{Name: "a", Slots: 1, Connections: 4, Leaving: true}})
		if calls != 1 || !pool.Leaving("a") {
			t.Errorf("OnLeaving called %d times, Leaving returns %v", calls, pool.Leaving("a"))
		}
	})
}
