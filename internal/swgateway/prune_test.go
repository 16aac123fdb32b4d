package swgateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// TestPruneRemovesStatisticsOfUnusedNames applies configurations whose routes and services have new names each time. The
// statistics must not grow.
func TestPruneRemovesStatisticsOfUnusedNames(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 0.2)
		defer testHandler.close()
		sizes := func() []int {
			return []int{
				testHandler.latencies.routes.Len(), testHandler.latencies.services.Len(), testHandler.waitQueues.Len(), testHandler.loadShedders.Len(), testHandler.clientTimeouts.longest.Len(),
				testHandler.config.Budget.services.Len(),
			}
		}
		var small []int
		for day := range 20 {
			service := fmt.Sprint("service-", day)
			testHandler.addReplica(service, fmt.Sprint("replica-", day), respondSigned(time.Millisecond, "a", "good"))
			alone, search := idempotentRoute(), gatheredRoute(1, 1)
			alone.Name, alone.WeightedServices = fmt.Sprint("alone-", day), []swroute.WeightedService{{Service: service, Weight: 1}}
			search.Name, search.Shards = fmt.Sprint("search-", day), []string{service}
			for _, route := range []*swroute.Route{alone, search} {
				testHandler.setRoute(route)
				if got := testHandler.send(t.Context(), http.MethodGet, "/x", ""); got.Code != http.StatusOK {
					t.Fatalf("status %d", got.Code)
				}
			}
			time.Sleep(2 * testWindow)
			testHandler.Prune(testHandler.routes.Current())
			if day == 0 {
				small = sizes()
			}
		}
		if diff := cmp.Diff(small, sizes()); diff != "" {
			t.Error("entries after the first and the last configuration (-want +got):\n" + diff)
		}
	})
}
