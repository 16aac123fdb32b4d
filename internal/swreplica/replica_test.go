package swreplica

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swreach"
)

func TestCostRanksFasterReplicaFirst(t *testing.T) {
	near := Candidate{Latency: 12 * time.Millisecond, ServiceLatency: 12 * time.Millisecond, Slots: 2}
	far := Candidate{Latency: 36 * time.Millisecond, ServiceLatency: 12 * time.Millisecond, Slots: 2, Distance: OtherRegion}
	for name, test := range map[string]struct {
		change func(near, far *Candidate)
		near   bool
	}{
		"both idle":                       {func(_, _ *Candidate) {}, true},
		"near has one request in flight":  {func(near, _ *Candidate) { near.InFlight, near.OldestWait = 1, 8*time.Millisecond }, true},
		"near stalls":                     {func(near, _ *Candidate) { near.InFlight, near.OldestWait = 1, 60*time.Millisecond }, false},
		"near rejects with idle slots":    {func(near, _ *Candidate) { near.FailureRate = 0.6 }, false},
		"near rejects because it is slow": {func(near, _ *Candidate) { near.FailureRate, near.Latency = 0.2, 30*time.Millisecond }, true},
		"near is full":                    {func(near, _ *Candidate) { near.InFlight, near.InFlightLimit = 1, 1 }, false},
		"near is down":                    {func(near, _ *Candidate) { near.Unreachable = true }, false},
		"near is ten times slower":        {func(near, _ *Candidate) { near.Latency *= 10 }, false},
		"both are down":                   {func(near, far *Candidate) { near.Unreachable, far.Unreachable = true, true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := near, far
			test.change(&near, &far)
			if diff := cmp.Diff(test.near, near.Cost() < far.Cost()); diff != "" {
				t.Errorf("near %s, far %s; near first (-want +got):\n%s", near.Cost(), far.Cost(), diff)
			}
		})
	}
}

// TestObstacleToPlainRequests checks what keeps a plain request from a replica: its own kind, a used-up rate, or others.
func TestObstacleToPlainRequests(t *testing.T) {
	for name, test := range map[string]struct {
		candidate Candidate
		want      Obstacle
	}{
		"parts of searches at the limit":         {Candidate{InFlight: 3, InFlightLimit: 1}, ObstacleNone},
		"plain requests at the limit":            {Candidate{InFlight: 3, PlainInFlight: 1, InFlightLimit: 1}, ObstacleInFlight},
		"a rejection beside requests of this VM": {Candidate{RejectsFor: time.Second, InFlight: 1}, ObstacleNone},
		"a rejection while others fill it":       {Candidate{RejectsFor: time.Second}, ObstacleOthers},
		"a rate whose share is used up":          {Candidate{RateWait: time.Second}, ObstacleRate},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, test.candidate.Obstacle()); diff != "" {
				t.Error("obstacle (-want +got):\n" + diff)
			}
		})
	}
}

func TestConnectionsOfAllVMsStayWithinReplicaLimit(t *testing.T) {
	for name, test := range map[string]struct {
		maxConnections int
		vms            []int
	}{
		"nine VMs":           {26, []int{4, 3, 2}},
		"nine VMs, archives": {110, []int{4, 3, 2}},
		"seventy-one VMs":    {490, []int{12, 12, 12, 12, 12, 11}},
	} {
		t.Run(name, func(t *testing.T) {
			all := 0
			for _, vms := range test.vms {
				all += vms
			}
			for _, near := range test.vms {
				vmCounts := VMCounts{SameDataCentre: near, Total: all}
				total := near*baseLimit(test.maxConnections, SameDataCentre, vmCounts) + (all-near)*baseLimit(test.maxConnections, OtherRegion, vmCounts)
				if total > test.maxConnections {
					t.Errorf("with %d VMs near the replica, all VMs hold %d connections of %d", near, total, test.maxConnections)
				}
			}
		})
	}
}

// fakeDialer dials a replica that refuses connections while down is set.
type fakeDialer struct {
	mutex sync.Mutex
	down  bool
	dials int
}

func (fakeDialer *fakeDialer) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	fakeDialer.mutex.Lock()
	defer fakeDialer.mutex.Unlock()
	fakeDialer.dials++
	if fakeDialer.down {
		return nil, errors.New("refused")
	}
	client, server := net.Pipe()
	_ = server
	return client, nil
}

// TestOnlyProbesConnectToUnreachableReplica sends many requests to a replica that refuses connections. Only the probes may open
// connections, not each request.
func TestOnlyProbesConnectToUnreachableReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		fakeDialer := &fakeDialer{down: true}
		registry := NewRegistry(RegistryConfig{DataCentre: "dc", Pool: NewPool(PoolConfig{Group: group, Dial: fakeDialer.dial, Log: zerolog.Nop()})})
		registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "dc", Slots: 2}}, nil)
		replica := registry.Find("a")
		request := &Request{Encode: func(time.Time) ([]byte, bool) { return nil, false }, Deadline: time.Now().Add(time.Hour)}
		for range 1000 {
			replica.Reserve()
			if result := replica.Exchange(t.Context(), request); result.Outcome != NotSent {
				t.Fatalf("outcome %d, want not sent", result.Outcome)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if fakeDialer.dials > 12 {
			t.Errorf("%d connections were dialled in 5s, want only those of the probes", fakeDialer.dials)
		}
		if replica.Available() {
			t.Error("the replica is available while it refuses connections")
		}
		fakeDialer.mutex.Lock()
		fakeDialer.down = false
		fakeDialer.mutex.Unlock()
		time.Sleep(time.Second)
		if !replica.Available() {
			t.Error("the replica is not available a second after its return")
		}
		replica.Retire()
		group.Stop()
	})
}

// respondingReplica accepts connections over pipes and answers every request at once.
type respondingReplica struct {
	group *swgroup.Group

	mutex sync.Mutex
	// conns holds the server's side of each connection in the order of opening, and open the number of those that are open.
	conns []net.Conn
	open  int
	// carriers holds, by request ID, the connections on which the request arrived.
	carriers map[string][]net.Conn
}

func (replica *respondingReplica) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	client, server := net.Pipe()
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.conns = append(replica.conns, server)
	replica.open++
	replica.group.Go(func(context.Context) { replica.serve(server) })
	return client, nil
}

func (replica *respondingReplica) serve(conn net.Conn) {
	defer func() {
		replica.mutex.Lock()
		defer replica.mutex.Unlock()
		replica.open--
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		replica.mutex.Lock()
		replica.carriers[id] = append(replica.carriers[id], conn)
		replica.mutex.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
}

// TestSendingsOfARequestUseDifferentConnections guards against sending a request twice on one connection, where the late copy of the first
// response would be taken for the second. Other requests share the connections, whose number stays within the limit.
func TestSendingsOfARequestUseDifferentConnections(t *testing.T) {
	for name, test := range map[string]struct {
		maxConnections int
		limit          int
	}{
		"one connection":  {1, 1},
		"few connections": {12, 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(context.Background())
				responding := &respondingReplica{group: group, carriers: make(map[string][]net.Conn)}
				pool := NewPool(PoolConfig{Group: group, Dial: responding.dial, Log: zerolog.Nop(), MaxConnections: func(string) int { return test.maxConnections }})
				registry := NewRegistry(RegistryConfig{DataCentre: "dc", Pool: pool})
				// A VM of another region has the lowest limit.
				registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "far", Slots: 2}}, nil)
				replica := registry.Find("a")
				send := func(id string, sendings *Sendings) {
					replica.Reserve()
					result := replica.Exchange(t.Context(), &Request{
						Method: http.MethodGet,
						Encode: func(time.Time) ([]byte, bool) {
							return []byte("GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n"), true
						},
						Accept:   func(_ int, header http.Header) bool { return header.Get("Id") == id },
						Deadline: time.Now().Add(time.Minute), Sendings: sendings,
					})
					if result.Outcome != Answered {
						t.Fatalf("outcome %d, %v", result.Outcome, result.Err)
					}
					synctest.Wait()
					if responding.open > test.limit {
						t.Errorf("%d connections are open, want at most %d", responding.open, test.limit)
					}
				}
				const repeated = 6
				sendings := &Sendings{}
				for i := range repeated {
					send("repeated", sendings)
					send(fmt.Sprint("other-", i), &Sendings{})
					send(fmt.Sprint("single-", i), nil)
				}
				seen := make(map[net.Conn]int)
				for _, conn := range responding.carriers["repeated"] {
					seen[conn]++
				}
				if diff := cmp.Diff(repeated, len(seen)); diff != "" {
					t.Error("connections of the repeated request (-want +got):\n" + diff)
				}
				// Requests that are sent once open no connection while one is idle.
				if diff := cmp.Diff(repeated, len(responding.conns)); diff != "" {
					t.Error("connections opened (-want +got):\n" + diff)
				}
				replica.Retire()
				for _, conn := range responding.conns {
					conn.Close()
				}
				group.Stop()
			})
		})
	}
}

// TestRetiredReplicaIsNotReportedAsBack removes a replica while it is probed.
func TestRetiredReplicaIsNotReportedAsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Stop()
		var log bytes.Buffer
		registry := NewRegistry(RegistryConfig{
			DataCentre: "dc", Pool: NewPool(PoolConfig{Group: group, Dial: (&fakeDialer{down: true}).dial, Log: zerolog.New(&log)}),
		})
		registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "dc", Slots: 2}}, nil)
		registry.Find("a").markDown()
		registry.Update(nil, []string{"a"})
		time.Sleep(time.Minute)
		synctest.Wait()
		if diff := cmp.Diff("", log.String()); diff != "" {
			t.Error("log (-want +got):\n" + diff)
		}
	})
}

// TestRemovedOrLeavingReplicaIsNotUsedAgainByAFormerEntry guards against requests to a replica that has left, because the store came back
// from a copy from before it said so or was removed.
func TestRemovedOrLeavingReplicaIsNotUsedAgainByAFormerEntry(t *testing.T) {
	const confirmAfter = 5 * time.Second
	entry := func(sequence, startedMS int64, leaving bool) Entry {
		return Entry{ID: "a", Service: "s", DataCentre: "dc", StartedAt: time.UnixMilli(startedMS), Sequence: sequence, Leaving: leaving}
	}
	type step struct {
		entry   Entry
		removed bool
		wait    time.Duration
		want    bool
	}
	for name, steps := range map[string][]step{
		"leaves, then a former entry":       {{entry(1, 1, false), false, 0, true}, {entry(2, 1, true), false, 0, false}, {entry(1, 1, false), false, time.Minute, false}},
		"leaves and is removed":             {{entry(2, 1, true), false, 0, false}, {removed: true}, {entry(1, 1, false), false, time.Minute, false}},
		"leaves by a former entry":          {{entry(3, 1, false), false, 0, true}, {entry(2, 1, true), false, 0, false}},
		"removed, then a former entry":      {{entry(2, 1, false), false, 0, true}, {removed: true}, {entry(1, 1, false), false, 0, false}},
		"removed, then listed as it was":    {{entry(2, 1, false), false, 0, true}, {removed: true}, {entry(2, 1, false), false, 0, false}},
		"removed, and still listed later":   {{entry(2, 1, false), false, 0, true}, {removed: true}, {entry(1, 1, false), false, confirmAfter, true}},
		"removed, and writes its entry":     {{entry(2, 1, false), false, 0, true}, {removed: true}, {entry(1, 1, false), false, 0, false}, {entry(3, 1, false), false, 0, true}},
		"lapsed, and back with a new write": {{entry(2, 1, false), false, 0, true}, {removed: true}, {entry(3, 1, false), false, 0, true}},
		"restarted, then its former start":  {{entry(1, 2, false), false, 0, true}, {entry(9, 1, false), false, 0, false}, {entry(2, 2, false), false, 0, true}},
		"restarted with its clock set back": {{entry(9, 2, false), false, 0, true}, {entry(1, 1, false), false, confirmAfter, true}},
		"restarted after it left":           {{entry(9, 1, true), false, 0, false}, {removed: true}, {entry(1, 2, false), false, 0, true}},
		"later start removed":               {{entry(1, 2, false), false, 0, true}, {removed: true}, {entry(9, 1, false), false, 0, false}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(context.Background())
				defer group.Stop()
				registry := NewRegistry(RegistryConfig{
					DataCentre: "dc", ConfirmAfter: confirmAfter, Pool: NewPool(PoolConfig{Group: group, Log: zerolog.Nop()}),
				})
				for i, step := range steps {
					if step.removed {
						registry.Update(nil, []string{"a"})
						continue
					}
					registry.Update([]Entry{step.entry}, nil)
					time.Sleep(step.wait)
					if diff := cmp.Diff(step.want, registry.Find("a").InUse()); diff != "" {
						t.Errorf("in use after step %d (-want +got):\n%s", i, diff)
					}
				}
			})
		})
	}
}

func TestRegistryReplacesRestartedReplica(t *testing.T) {
	group := swgroup.New(context.Background())
	defer group.Stop()
	registry := NewRegistry(RegistryConfig{DataCentre: "dc", Region: "r", Pool: NewPool(PoolConfig{Group: group, Log: zerolog.Nop()})})
	entry := Entry{ID: "a", Service: "s", DataCentre: "dc", StartedAt: time.UnixMilli(1)}
	registry.Update([]Entry{entry, {ID: "b", Service: "s", DataCentre: "other", Region: "r"}, {ID: "c", Service: "s", DataCentre: "far"}}, nil)
	first := registry.Find("a")
	entry.Leaving = true
	registry.Update([]Entry{entry}, nil)
	if registry.Find("a") != first || first.AcceptsWork() {
		t.Error("a leaving replica accepts work, or lost its state")
	}
	entry.Leaving, entry.StartedAt = false, time.UnixMilli(2)
	registry.Update([]Entry{entry}, []string{"b"})
	if registry.Find("a") == first || !registry.Find("a").AcceptsWork() {
		t.Error("a restarted replica keeps its earlier state")
	}
	if diff := cmp.Diff(2, len(registry.ServiceReplicas("s"))); diff != "" {
		t.Error("replicas (-want +got):\n" + diff)
	}
}

// TestReplicaRestsForAsLongAsItAsked guards against requests to a replica that asked for a pause of several minutes, and against a shorter wish
// that cuts a longer one.
func TestReplicaRestsForAsLongAsItAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Stop()
		registry := NewRegistry(RegistryConfig{DataCentre: "dc", Pool: NewPool(PoolConfig{Group: group, Log: zerolog.Nop()})})
		registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "dc", Slots: 2}}, nil)
		replica := registry.Find("a")
		const wait = 10 * time.Minute
		replica.ObserveReport(time.Now(), Report{RetryAfter: wait})
		replica.ObserveReport(time.Now(), Report{RetryAfter: time.Second})
		time.Sleep(wait - time.Second)
		if replica.AcceptsWork() {
			t.Error("the replica gets requests before the time for which it wants none has passed")
		}
		time.Sleep(wait)
		if !replica.AcceptsWork() {
			t.Error("the replica gets no requests after that time")
		}
	})
}

// TestRequestsWaitForAnswersAfterAReturn guards against requests that end as soon as they are sent, for good, because connections were given up while
// the links of this VM returned.
func TestRequestsWaitForAnswersAfterAReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Stop()
		registry := NewRegistry(RegistryConfig{DataCentre: "dc", Pool: NewPool(PoolConfig{Group: group, Log: zerolog.Nop()})})
		registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "dc", Slots: 2}, {ID: "b", Service: "s", DataCentre: "dc", Slots: 2}}, nil)
		place := registry.Find("a").place
		place.judge.BeginRelatedCheck()
		place.judge.EndCheck(time.Now(), swreach.CheckFailed)
		place.links.Store(newLinks())
		place.judge.Return()
		place.judge.Unanswered(time.Now(), "a")
		place.judge.Unanswered(time.Now(), "b")
		place.findOverdue(time.Now())
		if place.links.Load().answering.Err() == nil {
			t.Fatal("the connections were not given up during the return")
		}
		place.endReturn(true)
		if err := place.links.Load().answering.Err(); err != nil {
			t.Errorf("requests end once they are sent: %v", err)
		}
	})
}

// TestFailuresCountUnlessTheLinksAreLost guards against replicas that lose answers unnoticed, as several do at once and this VM's links are in doubt,
// and against counting the failures of lost links against replicas.
func TestFailuresCountUnlessTheLinksAreLost(t *testing.T) {
	for name, test := range map[string]struct {
		settle func(place *place)
		want   int
	}{
		"nothing else is known":       {func(*place) {}, 0},
		"a replica answers":           {func(place *place) { place.heard(time.Now()) }, 2},
		"a check finds them in order": {func(place *place) { place.endCheck(swreach.CheckAnswered) }, 2},
		"a check finds them lost":     {func(place *place) { place.endCheck(swreach.CheckFailed) }, 0},
		"an answer arrives while a check runs": {func(place *place) {
			place.judge.BeginRelatedCheck()
			place.heard(time.Now())
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			registry := NewRegistry(RegistryConfig{DataCentre: "dc", Pool: NewPool(PoolConfig{Log: zerolog.Nop()})})
			registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "dc"}, {ID: "b", Service: "s", DataCentre: "dc"}}, nil)
			place := registry.Find("a").place
			counted := 0
			for _, id := range []string{"a", "b"} {
				place.judge.Unanswered(time.Now(), id)
			}
			for _, id := range []string{"a", "b"} {
				registry.Find(id).RecordFailure(time.Now(), func(time.Time) { counted++ })
			}
			test.settle(place)
			if counted != test.want {
				t.Errorf("%d failures are counted, want %d", counted, test.want)
			}
		})
	}
}

// TestReplicasThatRefuseConnectionsAreAtFault guards against attempts at replicas that are down which are sent on other paths, and against relays
// that are passed over for that. Several are down at once, so that this VM's links are in doubt, and found in order.
func TestReplicasThatRefuseConnectionsAreAtFault(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprintf("one is reachable: %v", reachable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(context.Background())
				server := &respondingReplica{group: group, carriers: make(map[string][]net.Conn)}
				up := netip.MustParseAddrPort("10.0.0.1:1")
				pool := NewPool(PoolConfig{Group: group, Log: zerolog.Nop(), Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
					if address != up || !reachable {
						return nil, errors.New("refused")
					}
					return server.dial(ctx, address)
				}})
				registry := NewRegistry(RegistryConfig{Pool: pool})
				entries := []Entry{{ID: "up", Service: "s", DataCentre: "dc", Address: up}}
				for _, id := range []string{"a", "b", "c"} {
					entries = append(entries, Entry{ID: id, Service: "s", DataCentre: "dc"})
				}
				registry.Update(entries, nil)
				registry.Find("up").ObserveLatency(time.Now(), time.Millisecond)
				faults := make(map[string]Fault)
				for _, entry := range entries[1:] {
					replica := registry.Find(entry.ID)
					replica.Reserve()
					result := replica.Exchange(t.Context(), &Request{Deadline: time.Now().Add(time.Second)})
					faults[entry.ID] = result.Fault
				}
				want := map[string]Fault{"a": FaultReplica, "b": FaultReplica, "c": FaultReplica}
				if !reachable {
					want["c"] = FaultLinks
				}
				if diff := cmp.Diff(want, faults); diff != "" {
					t.Error("faults (-want +got):\n" + diff)
				}
				for _, entry := range entries {
					registry.Find(entry.ID).Retire()
				}
				group.Stop()
			})
		})
	}
}

// TestAnswersMakePingsUnnecessary guards against pings to replicas, and failures that are held back meanwhile, whenever several lose answers.
func TestAnswersMakePingsUnnecessary(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprintf("a replica answers: %v", answers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(context.Background())
				dialer := &fakeDialer{}
				registry := NewRegistry(RegistryConfig{Pool: NewPool(PoolConfig{Group: group, Dial: dialer.dial, Log: zerolog.Nop()})})
				registry.Update([]Entry{{ID: "a", Service: "s", DataCentre: "dc"}, {ID: "b", Service: "s", DataCentre: "dc"}}, nil)
				place := registry.Find("a").place
				registry.Find("a").observeUnanswered()
				registry.Find("b").observeUnanswered()
				if answers {
					place.heard(time.Now())
				}
				time.Sleep(time.Second)
				dialer.mutex.Lock()
				pinged := dialer.dials > 0
				dialer.mutex.Unlock()
				if pinged == answers || place.judge.State() != swreach.Reached {
					t.Errorf("pings were sent: %v; the links are %v", pinged, place.judge.State())
				}
				for _, id := range []string{"a", "b"} {
					registry.Find(id).Retire()
				}
				group.Stop()
			})
		})
	}
}
