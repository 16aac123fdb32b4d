package swbackend

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSheddingServerGetsNothingUntilItsRetryAfter guards against work that is sent to a server before the time for which it asked has passed: new
// work, work that was queued for it, and the repeat of what it shed.
func TestSheddingServerGetsNothingUntilItsRetryAfter(t *testing.T) {
	for _, value := range []string{"2", "2.0", "1"} {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newFakeServer(t)
				sheds := true
				fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer {
					if !sheds {
						return echo(request)
					}
					return &fakeAnswer{
						status: http.StatusServiceUnavailable, header: http.Header{"Retry-After": {"0.5", value}}, delay: 5 * time.Millisecond,
						body: searchResponse{QueryID: request.QueryID, Attempt: request.Attempt, Code: codeShed},
					}
				}
				pool := newFakePool(t, fake, Config{})
				execute(pool, 40, time.Second)
				askedAt, asked := time.Now(), fake.count("/search")
				wait, _ := time.ParseDuration(value + "s")
				for time.Since(askedAt) < wait-100*time.Millisecond {
					for _, answer := range execute(pool, 3, time.Second) {
						if answer.Outcome != Shed {
							t.Fatalf("answer %+v, want Shed", answer)
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				if diff := cmp.Diff(asked, fake.count("/search")); diff != "" {
					t.Error("requests at the server after it asked for a pause (-want +got):\n" + diff)
				}
				sheds = false
				time.Sleep(200*time.Millisecond + time.Duration(returnSpread*float64(wait)))
				if answers := execute(pool, 1, time.Second); answers[0].Outcome != Answered {
					t.Errorf("answer %+v after that time, want Answered", answers[0])
				}
			})
		})
	}
}
