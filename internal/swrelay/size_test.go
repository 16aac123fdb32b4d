package swrelay

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// relayMemory is what relayed responses may take at the sender, in bytes.
const relayMemory = 2 << 20

// TestLargeResponseIsNoFaultOfItsRelay guards against passing over a relay because a replica sent a response that a message between VMs can't
// hold, and against holding more relayed responses than fit.
func TestLargeResponseIsNoFaultOfItsRelay(t *testing.T) {
	for name, test := range map[string]struct {
		size int
		want swreplica.Outcome
	}{
		"too large for a message":    {swpeer.MaxFrame + 1, swreplica.Overlong},
		"too large for the sender":   {relayMemory + 1<<17, swreplica.Overlong},
		"as large as fits":           {relayMemory - 1<<17, swreplica.Answered},
		"as large as a message fits": {maxReplySize - 1<<10, swreplica.Overlong},
	} {
		t.Run(name, func(t *testing.T) {
			withRelayHarness(t, func(relayHarness *relayHarness) {
				relayHarness.replica.answer = respondAfter(0, strings.Repeat("x", test.size))
				first := relayHarness.client.RelayFor(relayHarness.sender)
				for range 4 {
					result, _, _ := relayHarness.send(time.Second)
					if diff := cmp.Diff(test.want, result.Outcome); diff != "" {
						t.Errorf("outcome (-want +got):\n%s%v", diff, result.Err)
					}
					result.Response.Release()
				}
				if diff := cmp.Diff(first.Name, relayHarness.client.RelayFor(relayHarness.sender).Name); diff != "" {
					t.Error("relay (-want +got):\n" + diff)
				}
			})
		})
	}
}
