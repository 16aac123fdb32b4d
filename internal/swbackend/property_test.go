package swbackend

import (
	"context"
	"flag"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// bubbleTB hides the test's deadline, which cannot be asked for inside a synctest bubble.
type bubbleTB struct{ rapid.TB }

// The ways in which the faulty server treats a request.
const (
	answers     = "answers"
	answersSlow = "answers slowly"
	repeats     = "repeats its answer"
	crosses     = "answers another request"
	wrongIndex  = "answers from another snapshot"
	sheds       = "sheds"
	lacks       = "does not hold the snapshot"
	fails       = "fails"
	hangsUp     = "hangs up"
	isSilent    = "is silent"
	goesSilent  = "goes silent on every open connection"
	crashes     = "drops every connection"
)

var faults = []string{answers, answersSlow, repeats, crosses, wrongIndex, sheds, lacks, fails, hangsUp, isSilent, goesSilent, crashes}

// faultyServer runs requests under drawn faults and remembers which it ran.
type faultyServer struct {
	fake  *fakeServer
	mutex sync.Mutex
	// plan holds the faults of the requests to come.
	plan []string
	ran  map[string]int
}

func (faulty *faultyServer) next() string {
	faulty.mutex.Lock()
	defer faulty.mutex.Unlock()
	if len(faulty.plan) == 0 {
		return answers
	}
	fault := faulty.plan[0]
	faulty.plan = faulty.plan[1:]
	return fault
}

func (faulty *faultyServer) run(queryID string) {
	faulty.mutex.Lock()
	defer faulty.mutex.Unlock()
	faulty.ran[queryID]++
}

func (faulty *faultyServer) runs(queryID uint64) int {
	faulty.mutex.Lock()
	defer faulty.mutex.Unlock()
	return faulty.ran[formatID(queryID)]
}

func (faulty *faultyServer) answer(_ int, _ string, request searchRequest) *fakeAnswer {
	fault := faulty.next()
	switch fault {
	case sheds:
		return &fakeAnswer{status: http.StatusServiceUnavailable, body: searchResponse{Code: "Shed"}}
	case lacks:
		return &fakeAnswer{status: http.StatusConflict, body: searchResponse{Code: "SnapshotNotHeld"}}
	}
	faulty.run(request.QueryID)
	answer := echo(request)
	body := answer.body.(searchResponse)
	body.Hits[0].ID = request.QueryID
	switch fault {
	case answersSlow:
		answer.wait = 60 * time.Millisecond
	case repeats:
		answer.repeat = 1
	case crosses:
		body.QueryID = formatID(1 << 40)
	case wrongIndex:
		body.Snapshot = "other"
	case fails:
		return &fakeAnswer{status: http.StatusInternalServerError, body: searchResponse{Code: "Oops"}}
	case hangsUp:
		return &fakeAnswer{hangUp: true}
	case isSilent:
		return nil
	case goesSilent:
		faulty.fake.silence()
		return nil
	case crashes:
		faulty.fake.hangUpAll()
		return nil
	}
	answer.body = body
	return answer
}

// TestAnswersAreTrueUnderFaults checks over drawn interleavings that an answer belongs to its request, that work said
// not to have run did not, that non-idempotent work runs at most once, and that connections stay within the limit.
func TestAnswersAreTrueUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			fake := startFakeServer()
			faulty := &faultyServer{fake: fake, ran: make(map[string]int), plan: rapid.SliceOfN(rapid.SampledFrom(faults), 0, 60).Draw(t, "plan")}
			fake.answer = faulty.answer
			fake.dialWait = time.Duration(rapid.IntRange(0, 10).Draw(t, "dial")) * time.Millisecond
			pool := startFakePool(fake, Config{CancelPolicy: CancelPolicy(rapid.IntRange(0, 1).Draw(t, "cancel"))})
			workers, each := rapid.IntRange(1, 6).Draw(t, "workers"), rapid.IntRange(1, 12).Draw(t, "each")
			withdrawAfter := time.Duration(rapid.IntRange(1, 100).Draw(t, "withdraw")) * time.Millisecond
			failures := make(chan string, workers*each)
			group := swgroup.New(context.Background())
			for worker := range workers {
				group.Go(func(context.Context) {
					for i := range each {
						subRequest := newSubRequest(100 * time.Millisecond)
						subRequest.QueryID = uint64(worker*1000 + i)
						subRequest.Priority = swrule.Priority(i % swrule.Priorities)
						if (worker+i)%2 == 0 {
							subRequest.RunKey = "k"
						}
						ctx, cancel := context.WithTimeout(context.Background(), withdrawAfter)
						answer := pool.Execute(ctx, subRequest)
						cancel()
						if fault := faulty.check(&subRequest, &answer); fault != "" {
							failures <- fault
						}
					}
				})
			}
			group.Wait()
			pool.Close()
			fake.close()
			close(failures)
			for failure := range failures {
				t.Error(failure)
			}
			if fake.mostOpen > 19 {
				t.Errorf("%d connections were open at once, limit 25 less a reserve of 6", fake.mostOpen)
			}
		})
	})
}

// check returns what is untrue of the answer, or nothing.
func (faulty *faultyServer) check(subRequest *SubRequest, answer *Answer) string {
	runs := faulty.runs(subRequest.QueryID)
	switch {
	case answer.Outcome == Answered && (len(answer.Hits) != 1 || answer.Hits[0].ID != formatID(subRequest.QueryID)):
		return "an answer belongs to another request"
	case answer.Outcome == Answered && answer.Ran != swcode.RanYes:
		return "an answered request is said not to have run"
	case answer.Ran == swcode.RanNo && runs > 0:
		return "a request that ran is said not to have run: " + answer.Message
	case !subRequest.Idempotent() && runs > 1:
		return "non-idempotent work ran twice"
	default:
		return ""
	}
}
