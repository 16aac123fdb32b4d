package swgateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// TestWhatIsLearnedDoesNotGrowWithTheNamesOfADay plays configurations whose routes and services have new names each time.
func TestWhatIsLearnedDoesNotGrowWithTheNamesOfADay(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		bench := newBench(t, 0.2)
		defer bench.close()
		sizes := func() []int {
			return []int{
				bench.pace.routes.Len(), bench.pace.services.Len(), bench.rooms.Len(), bench.admissions.Len(), bench.patience.longest.Len(),
				bench.config.Budget.services.Len(),
			}
		}
		var small []int
		for day := range 20 {
			service := fmt.Sprint("service-", day)
			bench.add(service, fmt.Sprint("replica-", day), signed(time.Millisecond, "a", "good"))
			alone, search := repeatable(), gathered(1, 1)
			alone.Name, alone.WeightedServices = fmt.Sprint("alone-", day), []swroute.WeightedService{{Service: service, Weight: 1}}
			search.Name, search.Shards = fmt.Sprint("search-", day), []string{service}
			for _, route := range []*swroute.Route{alone, search} {
				bench.route(route)
				if got := bench.ask(t.Context(), http.MethodGet, "/x", ""); got.Code != http.StatusOK {
					t.Fatalf("status %d", got.Code)
				}
			}
			time.Sleep(2 * testWindow)
			bench.Prune(bench.book.Current())
			if day == 0 {
				small = sizes()
			}
		}
		if diff := cmp.Diff(small, sizes()); diff != "" {
			t.Error("entries after the first and the last configuration (-want +got):\n" + diff)
		}
	})
}
