package swgateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

func TestGreatestRecordsAreThoseOfTheMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 1000).Draw(t, "Part")
		limit := rapid.IntRange(-1, 40).Draw(t, "Limit")
		want := mergeRecords([][]byte{part}, limit)
		if got := mergeRecords([][]byte{greatestRecords(part, limit)}, limit); !bytes.Equal(want, got) {
			t.Fatalf("kept %q, want %q", got, want)
		}
	})
}

// TestSearchHoldsNoMoreOfItsPartsThanItReturns replays a search whose shards answer, one after another, with parts that are together many
// times larger than what all responses may take.
func TestSearchHoldsNoMoreOfItsPartsThanItReturns(t *testing.T) {
	const shards, partRecords, memory = 30, 1 << 16, 4 << 20
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandlerWithin(t, 0, swconn.NewMemory(memory))
		defer testHandler.close()
		route := gatheredRoute(shards, 1)
		route.TopK, route.TargetLatency = 2, time.Second
		testHandler.setRoute(route)
		for i := range shards {
			service := fmt.Sprintf("s%d", i)
			part := record(0) + strings.Repeat(record(i), partRecords) + record(1000+i)
			testHandler.addReplica(service, service, respondSigned(time.Duration(i)*10*time.Millisecond, service, part))
		}
		for range 3 {
			got := testHandler.send(t.Context(), http.MethodGet, "/x", "")
			if diff := cmp.Diff("0", got.Header().Get("Missing")); diff != "" {
				t.Error("missing (-want +got):\n" + diff)
			}
			if diff := cmp.Diff(record(1029)+record(1028), got.Body.String()); diff != "" {
				t.Error("body (-want +got):\n" + diff)
			}
		}
	})
}

// TestLargeAnswersGiveTheirMemoryBack sends plain requests, one after another, whose answers together exceed what responses may take.
func TestLargeAnswersGiveTheirMemoryBack(t *testing.T) {
	const size, memory = 1 << 20, 2 << 20
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandlerWithin(t, 0, swconn.NewMemory(memory))
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		testHandler.addReplica("s", "a", respondSigned(time.Millisecond, "a", strings.Repeat("x", size)))
		for range 10 {
			got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
			if diff := cmp.Diff(size, got.Body.Len()); diff != "" {
				t.Fatalf("status %d, length (-want +got):\n%s", got.Code, diff)
			}
		}
	})
}
