package swquery

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

func TestGatherRetriesAfterCrashOnlyWhereAllowed(t *testing.T) {
	tests := []struct {
		name    string
		crash   bool
		allowed bool
		retries int
	}{
		{"a crash of a request that was never answered", true, false, 0},
		{"a crash of a request that was answered elsewhere", true, true, 1},
		{"a broken connection of a server that lives", false, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			gather := NewGather(GatherConfig{
				Shards:          testPlan(1, 2),
				Idempotent:      true,
				MayRetryCrashed: func() bool { return test.allowed },
				Budget:          grantAll{},
			})
			now := time.Unix(0, 0)
			sent := append([]Command(nil), gather.Start(now, 0, 1).Send...)
			answer := swbackend.Answer{Outcome: swbackend.Broken, Ran: swcode.RanUnknown, Crash: test.crash}
			gather.Answer(now, sent[0].Attempt, sent[0].Target.Server, answer)
			if diff := cmp.Diff(test.retries, gather.Retries); diff != "" {
				t.Errorf("retries (-want +got):\n%s", diff)
			}
		})
	}
}
