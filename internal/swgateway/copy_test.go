package swgateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// lateCopies makes replicas send a fraction of their responses once more, each where the next response is expected on its connection.
type lateCopies struct {
	mutex    sync.Mutex
	random   *rand.Rand
	fraction float64
	// pending holds the copy that is due on a connection.
	pending map[net.Conn]string
	copied  int
}

func newLateCopies(seed uint64, fraction float64) *lateCopies {
	return &lateCopies{random: rand.New(rand.NewPCG(seed, 0)), fraction: fraction, pending: make(map[net.Conn]string)}
}

// replay writes the copy that is due on the request's connection, if any.
func (lateCopies *lateCopies) replay(receivedRequest *receivedRequest) {
	lateCopies.mutex.Lock()
	text := lateCopies.pending[receivedRequest.conn]
	delete(lateCopies.pending, receivedRequest.conn)
	lateCopies.mutex.Unlock()
	_, _ = receivedRequest.conn.Write([]byte(text))
}

// respond writes a response, and may keep a copy of it for the next request on the connection.
func (lateCopies *lateCopies) respond(receivedRequest *receivedRequest, status int, headers, body string) {
	text := receivedRequest.answerText(status, headers, body)
	lateCopies.mutex.Lock()
	if lateCopies.random.Float64() < lateCopies.fraction {
		lateCopies.pending[receivedRequest.conn] = text
		lateCopies.copied++
	}
	lateCopies.mutex.Unlock()
	_, _ = receivedRequest.conn.Write([]byte(text))
}

// runCounter counts the runs of each request by its ID.
type runCounter struct {
	mutex sync.Mutex
	runs  map[string]int
}

func (runCounter *runCounter) add(receivedRequest *receivedRequest) {
	runCounter.mutex.Lock()
	defer runCounter.mutex.Unlock()
	if runCounter.runs == nil {
		runCounter.runs = make(map[string]int)
	}
	runCounter.runs[receivedRequest.Header.Get("Id")]++
}

func (runCounter *runCounter) count(id string) int {
	runCounter.mutex.Lock()
	defer runCounter.mutex.Unlock()
	return runCounter.runs[id]
}

// limitedCapacityWithCopies is limitedCapacity of a replica whose responses come with late copies.
func limitedCapacityWithCopies(lateCopies *lateCopies, runs *runCounter, slots, queue int, work func() time.Duration) func(*receivedRequest) {
	places, free := make(chan struct{}, slots+queue), make(chan struct{}, slots)
	return func(receivedRequest *receivedRequest) {
		lateCopies.replay(receivedRequest)
		select {
		case places <- struct{}{}:
		default:
			lateCopies.respond(receivedRequest, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
			return
		}
		free <- struct{}{}
		runs.add(receivedRequest)
		time.Sleep(work())
		<-free
		<-places
		lateCopies.respond(receivedRequest, http.StatusOK, "Signature: x\r\n", "done")
	}
}

// TestCopyOfARejectionDoesNotAnswerTheNextSending guards against taking the late copy of a replica's rejection for its answer to the same
// request's second sending, which then runs although the request is sent a third time or refused as not run.
func TestCopyOfARejectionDoesNotAnswerTheNextSending(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler := newTestHandler(t, 1)
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		lateCopies, runs := newLateCopies(1, 1), &runCounter{}
		var sendings atomic.Int64
		replica := testHandler.addReplica("s", "a", func(receivedRequest *receivedRequest) {
			lateCopies.replay(receivedRequest)
			if sendings.Add(1) == 1 {
				lateCopies.respond(receivedRequest, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
				return
			}
			runs.add(receivedRequest)
			respondSigned(100*time.Millisecond, "a", "done")(receivedRequest)
		})
		got := testHandler.send(t.Context(), http.MethodPost, "/x", "work")
		if diff := cmp.Diff("200 done", statusAndBody(got)); diff != "" {
			t.Error("answer (-want +got):\n" + diff)
		}
		if diff := cmp.Diff(1, runs.count(replica.first().Header.Get("Id"))); diff != "" {
			t.Error("runs (-want +got):\n" + diff)
		}
	})
}

// TestCutCopyOfARejectionCausesNoSecondRun guards against taking the beginning of a rejection and the answer behind it for a rejection of a
// request that has run (review case 6).
func TestCutCopyOfARejectionCausesNoSecondRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		testHandler, runs := newTestHandler(t, 1), &runCounter{}
		defer testHandler.close()
		testHandler.setRoute(nonIdempotentRoute())
		stray := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nDate: now\r\nId: other\r\nContent-Length: 0\r\n\r\n"
		cut := 0
		script := func(receivedRequest *receivedRequest) {
			runs.add(receivedRequest)
			_, _ = receivedRequest.conn.Write([]byte(stray[:cut] + receivedRequest.answerText(http.StatusOK, "Signature: a\r\n", "done")))
		}
		testHandler.addReplica("s", "a", script)
		testHandler.addReplica("s", "b", script)
		for cut = 1; cut < len(stray); cut++ {
			id, got := testHandler.sendIdentified(t.Context(), http.MethodPost, "/x", "work", 2*time.Second)
			if count := runs.count(id); count != 1 || got.Code != http.StatusOK && got.Code != http.StatusBadGateway {
				t.Errorf("cut after %q: %s, %d runs", stray[:cut], statusAndBody(got), count)
			}
			time.Sleep(time.Minute)
		}
	})
}

// TestLateCopiesUnderOverloadCauseNoSecondRun replays the load of review case 1: clients send a third more requests than three replicas can
// run, and two of these send some of their responses once more. No request runs twice, or after it was refused as not run.
func TestLateCopiesUnderOverloadCauseNoSecondRun(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) { checkLateCopies(t, seed+1) })
		})
	}
}

func checkLateCopies(t *testing.T, seed uint64) {
	t.Helper()
	const (
		vms                 = 9
		requests, perSecond = 4000, 80.0
		slots, queue        = 2, 2
		meanWork            = 100 * time.Millisecond
		clientTimeout       = 4 * time.Second
	)
	runs, random := &runCounter{}, rand.New(rand.NewPCG(seed, 1))
	var mutex sync.Mutex
	work := func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		return time.Duration((0.5 + random.Float64()) * float64(meanWork))
	}
	copies := []*lateCopies{newLateCopies(seed, 0.2), newLateCopies(seed+100, 0.2), newLateCopies(seed, 0)}
	scripts := make([]func(*receivedRequest), len(copies))
	for i, lateCopies := range copies {
		scripts[i] = limitedCapacityWithCopies(lateCopies, runs, slots, queue, work)
	}
	testHandlers := newMixedFleet(t, vms, scripts)
	route := nonIdempotentRoute()
	route.WeightedServices[0].Service = "s0"
	for _, testHandler := range testHandlers {
		defer testHandler.close()
		testHandler.setRoute(route)
	}
	arrivals := rand.New(rand.NewPCG(seed, 2))
	var clients sync.WaitGroup
	var violations []string
	served := 0
	for range requests {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / perSecond * float64(time.Second)))
		testHandler := testHandlers[arrivals.IntN(vms)]
		clients.Go(func() {
			id, got := testHandler.sendIdentified(t.Context(), http.MethodPost, "/x", "work", clientTimeout)
			mutex.Lock()
			defer mutex.Unlock()
			// A request that runs after its refusal does so within the time of its client.
			time.AfterFunc(clientTimeout, func() {
				mutex.Lock()
				defer mutex.Unlock()
				if count := runs.count(id); count > 1 || got.Code == http.StatusServiceUnavailable && count > 0 {
					violations = append(violations, fmt.Sprintf("%s was answered %d and ran %d times", id, got.Code, count))
				}
			})
			if got.Code == http.StatusOK {
				served++
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * clientTimeout)
	synctest.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	if copies[0].copied+copies[1].copied == 0 {
		t.Fatal("no response was copied")
	}
	if diff := cmp.Diff("", strings.Join(violations, "\n")); diff != "" {
		t.Error("violations (-want +got):\n" + diff)
	}
	// The replicas can run 60 requests a second.
	if diff := cmp.Diff(true, served >= requests*6/10); diff != "" {
		t.Errorf("served %d of %d, want as many as the replicas can run but for a tenth", served, requests)
	}
}

// TestLateCopyOfAReportIsNotBelieved guards against holding a replica off once more because of the late copy of a rejection, and against
// lifting a limit that a replica has named because of the late copy of an answer from before.
func TestLateCopyOfAReportIsNotBelieved(t *testing.T) {
	const retryIn = 2 * time.Second
	for name, test := range map[string]struct {
		// first is the header of the first response, of which a copy arrives before the third one, and second that of the second one.
		first  string
		status int
		second string
		want   swreplica.State
	}{
		"hold-off": {"Not-Run: 1\r\nRetry-In: " + retryIn.String() + "\r\n", http.StatusServiceUnavailable, "", swreplica.StateReady},
		"limit":    {"", http.StatusOK, "Limit: 20\r\n", swreplica.StateRateLimited},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 0)
				defer testHandler.close()
				testHandler.setRoute(idempotentRoute())
				responses, copied := 0, ""
				replica := testHandler.addReplica("s", "a", func(receivedRequest *receivedRequest) {
					switch responses++; responses {
					case 1:
						copied = receivedRequest.answerText(test.status, "Signature: a\r\n"+test.first, "")
						_, _ = receivedRequest.conn.Write([]byte(copied))
					case 2:
						respondSigned(0, "a\r\n"+test.second+"X: x", "new")(receivedRequest)
					default:
						_, _ = receivedRequest.conn.Write([]byte(copied))
						time.Sleep(time.Second)
					}
				})
				for range 2 {
					testHandler.send(t.Context(), http.MethodGet, "/", "")
					time.Sleep(2 * retryIn)
				}
				testHandler.sendWithTimeout(t.Context(), http.MethodGet, "/", "", 100*time.Millisecond)
				if diff := cmp.Diff(3, replica.count()); diff != "" {
					t.Error("requests (-want +got):\n" + diff)
				}
				if diff := cmp.Diff(1, testHandler.registry.CountByState(time.Now())[test.want]); diff != "" {
					t.Errorf("replicas in state %s (-want +got):\n%s", test.want, diff)
				}
			})
		})
	}
}

// TestResponseWithoutAnIDAnswersNothing guards against taking bytes that no request asked for, such as the rejection of a request without an
// ID, for the answer to the outstanding request, which then runs at a second replica, and against taking its replica for another one.
func TestResponseWithoutAnIDAnswersNothing(t *testing.T) {
	for name, stray := range map[string]string{
		"rejection":     "HTTP/1.1 400 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"full":          "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"wrong replica": "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"failure":       "HTTP/1.1 500 X\r\nSignature: a\r\nContent-Length: 3\r\n\r\nbad",
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				testHandler := newTestHandler(t, 1)
				defer testHandler.close()
				testHandler.setRoute(nonIdempotentRoute())
				script := func(receivedRequest *receivedRequest) {
					_, _ = receivedRequest.conn.Write([]byte(stray))
					respondSigned(10*time.Millisecond, "a", "done")(receivedRequest)
				}
				replicas := []*testReplica{testHandler.addReplica("s", "a", script), testHandler.addReplica("s", "b", script)}
				const requests = 10
				for range requests {
					if diff := cmp.Diff("200 done", statusAndBody(testHandler.send(t.Context(), http.MethodPost, "/x", "work"))); diff != "" {
						t.Error("answer (-want +got):\n" + diff)
					}
				}
				if diff := cmp.Diff(requests, replicas[0].count()+replicas[1].count()); diff != "" {
					t.Error("requests at the replicas (-want +got):\n" + diff)
				}
			})
		})
	}
}
