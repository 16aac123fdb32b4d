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

// bubbleTB hides the Deadline method of the test, which must not be called in a synctest bubble.
type bubbleTB struct{ rapid.TB }

// The behaviours of the faulty server for a request.
const (
	answersCorrectly     = "answers"
	answersSlowly        = "answers slowly"
	duplicatesAnswer     = "sends its answer twice"
	answersOtherRequest  = "answers another request"
	answersOtherSnapshot = "answers from another snapshot"
	sheds                = "sheds load"
	lacksSnapshot        = "does not hold the snapshot"
	fails                = "fails"
	closesConnection     = "closes the connection"
	doesNotAnswer        = "does not answer"
	stopsAnswering       = "stops answering on every open connection"
	closesAllConnections = "closes every connection"
)

var faults = []string{answersCorrectly, answersSlowly, duplicatesAnswer, answersOtherRequest, answersOtherSnapshot, sheds, lacksSnapshot, fails, closesConnection, doesNotAnswer, stopsAnswering, closesAllConnections}

// faultyServer serves requests with randomly drawn faults and records which it ran.
type faultyServer struct {
	fake  *fakeServer
	mutex sync.Mutex
	// plannedFaults holds the faults of the next requests.
	plannedFaults []string
	ran           map[string]int
}

func (faulty *faultyServer) next() string {
	faulty.mutex.Lock()
	defer faulty.mutex.Unlock()
	if len(faulty.plannedFaults) == 0 {
		return answersCorrectly
	}
	fault := faulty.plannedFaults[0]
	faulty.plannedFaults = faulty.plannedFaults[1:]
	return fault
}

func (faulty *faultyServer) recordRun(queryID string) {
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
	case lacksSnapshot:
		return &fakeAnswer{status: http.StatusConflict, body: searchResponse{Code: "SnapshotNotHeld"}}
	}
	faulty.recordRun(request.QueryID)
	answer := echo(request)
	body := answer.body.(searchResponse)
	body.Hits[0].ID = request.QueryID
	switch fault {
	case answersSlowly:
		answer.delay = 60 * time.Millisecond
	case duplicatesAnswer:
		answer.extraCopies = 1
	case answersOtherRequest:
		body.QueryID = formatID(1 << 40)
	case answersOtherSnapshot:
		body.Snapshot = "other"
	case fails:
		return &fakeAnswer{status: http.StatusInternalServerError, body: searchResponse{Code: "Oops"}}
	case closesConnection:
		return &fakeAnswer{closeConnection: true}
	case doesNotAnswer:
		return nil
	case stopsAnswering:
		faulty.fake.stopResponding()
		return nil
	case closesAllConnections:
		faulty.fake.closeConnections()
		return nil
	}
	answer.body = body
	return answer
}

// TestAnswersAreConsistentUnderFaults checks with random faults that an answer belongs to its request, that a request
// whose answer has Ran No did not run, that non-idempotent work runs at most once, and that the number of connections
// stays within the limit.
func TestAnswersAreConsistentUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbleTB{t}, func(t *rapid.T) {
			fake := startFakeServer()
			faulty := &faultyServer{fake: fake, ran: make(map[string]int), plannedFaults: rapid.SliceOfN(rapid.SampledFrom(faults), 0, 60).Draw(t, "plan")}
			fake.answer = faulty.answer
			fake.dialDelay = time.Duration(rapid.IntRange(0, 10).Draw(t, "dial")) * time.Millisecond
			pool := startFakePool(fake, Config{CancelPolicy: CancelPolicy(rapid.IntRange(0, 1).Draw(t, "cancel"))})
			workers, each := rapid.IntRange(1, 6).Draw(t, "workers"), rapid.IntRange(1, 12).Draw(t, "each")
			cancelAfter := time.Duration(rapid.IntRange(1, 100).Draw(t, "withdraw")) * time.Millisecond
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
						ctx, cancel := context.WithTimeout(context.Background(), cancelAfter)
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
			if fake.maxOpenConnections > 19 {
				t.Errorf("%d connections were open at once, limit 25 minus 6 for other VMs", fake.maxOpenConnections)
			}
		})
	})
}

// check returns how the answer is inconsistent with what ran, or an empty string.
func (faulty *faultyServer) check(subRequest *SubRequest, answer *Answer) string {
	runs := faulty.runs(subRequest.QueryID)
	switch {
	case answer.Outcome == Answered && (len(answer.Hits) != 1 || answer.Hits[0].ID != formatID(subRequest.QueryID)):
		return "an answer belongs to another request"
	case answer.Outcome == Answered && answer.Ran != swcode.RanYes:
		return "an answered request does not have Ran Yes"
	case answer.Ran == swcode.RanNo && runs > 0:
		return "a request that ran has Ran No: " + answer.Message
	case !subRequest.Idempotent() && runs > 1:
		return "non-idempotent work ran twice"
	default:
		return ""
	}
}
