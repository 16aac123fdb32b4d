package swquery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// TestQueriesAvoidOwnersWithoutLinks guards against queries that fail because the owners of backend servers have lost their links to them, while a VM
// of another data centre reaches them. The other replicas of two shards are down.
func TestQueriesAvoidOwnersWithoutLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(testShards)
		defer cluster.group.Stop()
		cluster.withoutLinks["a"], cluster.withoutLinks["b"] = true, true
		for _, server := range []string{"b3", "c3", "b4", "c4"} {
			cluster.servers[server].down = true
		}
		// The first query finds out.
		cluster.run(t.Context(), Query{MinCoverage: 1})
		for id := range uint64(20) {
			result := cluster.run(t.Context(), Query{MinCoverage: 1, ID: 100 + id})
			if diff := cmp.Diff(swcode.OK, result.Code); diff != "" {
				t.Fatalf("query %d (-want +got):\n%s%v", id, diff, result)
			}
			time.Sleep(100 * time.Millisecond)
		}
		cluster.mutex.Lock()
		clear(cluster.withoutLinks)
		clear(cluster.runs)
		cluster.mutex.Unlock()
		time.Sleep(2 * unreachingDuration)
		cluster.run(t.Context(), Query{MinCoverage: 1, ID: 200})
		if diff := cmp.Diff(1, cluster.runs["a0"]); diff != "" {
			t.Error("runs at the own server after the links are back (-want +got):\n" + diff)
		}
	})
}
