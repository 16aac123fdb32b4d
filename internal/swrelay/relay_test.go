package swrelay

import (
	"bufio"
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

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// plainCodec sends the head and the time that is left.
type plainCodec struct{}

func (plainCodec) Encode(attempt *Attempt, left time.Duration) []byte {
	return fmt.Appendf(attempt.Head, "Left: %s\r\n\r\n", left)
}

func (plainCodec) IsResponseTo(response *swconn.Response, requestID string) bool {
	return response.Header.Get("Id") == requestID
}

// farReplica answers requests over pipes.
type farReplica struct {
	group *swgroup.Group
	// answer writes the response to a request; the connection ends when it returns false.
	answer func(request *http.Request, conn net.Conn) bool

	mutex sync.Mutex
	lefts []string
	ended int
	conns []net.Conn
	// stopped replicas take no connection.
	stopped bool
}

// stop ends all connections, and takes no more: trials go on to open them.
func (replica *farReplica) stop() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.stopped = true
	for _, conn := range replica.conns {
		conn.Close()
	}
}

func (replica *farReplica) dial(context.Context, netip.AddrPort) (net.Conn, error) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.stopped {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	replica.conns = append(replica.conns, server)
	replica.group.Go(func(context.Context) {
		reader := bufio.NewReader(server)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			replica.mutex.Lock()
			replica.lefts = append(replica.lefts, request.Header.Get("Left"))
			replica.mutex.Unlock()
			if !replica.answer(request, server) {
				break
			}
		}
		server.Close()
		replica.mutex.Lock()
		replica.ended++
		replica.mutex.Unlock()
	})
	return client, nil
}

// answersAfter answers with a body after a while.
func answersAfter(wait time.Duration, body string) func(*http.Request, net.Conn) bool {
	return func(request *http.Request, conn net.Conn) bool {
		time.Sleep(wait)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Id"), len(body), body)
		return true
	}
}

// farWay is the path between two regions: relays by address, each call taking a round trip.
type farWay struct {
	roundTrip time.Duration

	mutex  sync.Mutex
	relays map[netip.AddrPort]*Server
	silent map[netip.AddrPort]bool
	broken map[netip.AddrPort]bool
	calls  int
	forgot int
}

var errBroken = errors.New("the connection broke")

func (way *farWay) Call(ctx context.Context, target netip.AddrPort, _ swpeer.Method, request, reply any) error {
	way.mutex.Lock()
	way.calls++
	server, silent, broken := way.relays[target], way.silent[target], way.broken[target]
	way.mutex.Unlock()
	if broken {
		return errBroken
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(way.roundTrip / 2)
	answer, err := server.Handle(ctx, "sender", *request.(*Attempt))
	if err != nil {
		return err
	}
	time.Sleep(way.roundTrip / 2)
	*reply.(*Reply) = answer
	return ctx.Err()
}

func (way *farWay) Forget(netip.AddrPort) {
	way.mutex.Lock()
	defer way.mutex.Unlock()
	way.forgot++
}

const (
	roundTrip = 24 * time.Millisecond
	work      = 4 * time.Millisecond
)

// farBench is a sender in one region, and two relays beside a replica in another.
type farBench struct {
	t       *testing.T
	group   *swgroup.Group
	replica *farReplica
	way     *farWay
	client  *Client
	// sender is the replica as the sender knows it.
	sender *swreplica.Replica
	relays []Relay
	// near is the replica as the first relay knows it.
	near *swreplica.Replica
	// leaving makes the relays say that they are about to stop.
	leaving bool
}

func newFarBench(t *testing.T) *farBench {
	group := swgroup.New(t.Context())
	bench := &farBench{t: t, group: group, replica: &farReplica{group: group, answer: answersAfter(work, "part")}}
	bench.way = &farWay{
		roundTrip: roundTrip, relays: make(map[netip.AddrPort]*Server),
		silent: make(map[netip.AddrPort]bool), broken: make(map[netip.AddrPort]bool),
	}
	for i := range 2 {
		address := netip.AddrPortFrom(netip.MustParseAddr("10.2.0.1"), uint16(i+1))
		bench.relays = append(bench.relays, Relay{Name: fmt.Sprint("relay-", i), Address: address})
		registry := bench.registry("far")
		if i == 0 {
			bench.near = registry.Find("a")
		}
		bench.way.relays[address] = NewServer(ServerConfig{
			Replicas: registry, Codec: plainCodec{}, Leaving: func() bool { return bench.leaving },
		})
	}
	bench.sender = bench.registry("here").Find("a")
	bench.client = NewClient(ClientConfig{
		Group: group, Transport: bench.way, Log: zerolog.Nop(),
		Relays: func(string, string) []Relay { return bench.relays },
	})
	return bench
}

// registry returns the replicas as a VM of a region knows them.
func (bench *farBench) registry(region string) *swreplica.Registry {
	pool := swreplica.NewPool(swreplica.PoolConfig{Group: bench.group, Dial: bench.replica.dial, Log: zerolog.Nop()})
	registry := swreplica.NewRegistry(swreplica.RegistryConfig{Pool: pool, DataCentre: region, Region: region})
	registry.Update([]swreplica.Entry{{ID: "a", Service: "s", DataCentre: "far", Region: "far", Slots: 4}}, nil)
	return registry
}

func (bench *farBench) attempt() *Attempt {
	return &Attempt{Replica: "a", Method: http.MethodGet, RequestID: "7", Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n"), Left: time.Second}
}

// send sends one attempt that is withdrawn after a while.
func (bench *farBench) send(withdrawAfter time.Duration) (result swreplica.Result, took time.Duration, relayed bool) {
	relay := bench.client.RelayFor(bench.sender)
	if !relay.Valid() {
		return result, 0, false
	}
	ctx, cancel := context.WithTimeout(bench.t.Context(), withdrawAfter)
	defer cancel()
	began := time.Now()
	bench.sender.Reserve()
	result = bench.client.Exchange(ctx, bench.sender, relay, bench.attempt())
	return result, time.Since(began), true
}

func inBubble(t *testing.T, run func(bench *farBench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		bench := newFarBench(t)
		run(bench)
		bench.replica.stop()
		bench.group.Stop()
	})
}

// TestRelayedAttemptTakesOneRoundTrip compares with two round trips of a connection of the sender's own, which a search whose
// target is 100 ms cannot afford for a hedge.
func TestRelayedAttemptTakesOneRoundTrip(t *testing.T) {
	inBubble(t, func(bench *farBench) {
		result, took, _ := bench.send(time.Second)
		if result.Response == nil || string(result.Response.Body) != "part" {
			t.Fatalf("answer is %+v, want the part", result)
		}
		if diff := cmp.Diff(roundTrip+work, took); diff != "" {
			t.Error("took (-want +got):\n" + diff)
		}
		if diff := cmp.Diff([]string{time.Second.String()}, bench.replica.lefts); diff != "" {
			t.Error("time left at the replica (-want +got):\n" + diff)
		}
	})
}

func TestRelayThatFailsIsPassedOver(t *testing.T) {
	for name, test := range map[string]struct {
		fail func(bench *farBench)
		want swreplica.Outcome
	}{
		"its connection breaks": {func(bench *farBench) { bench.way.broken[bench.relays[0].Address] = true }, swreplica.RelayFailed},
		"it is silent":          {func(bench *farBench) { bench.way.silent[bench.relays[0].Address] = true }, swreplica.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(bench *farBench) {
				test.fail(bench)
				result, _, _ := bench.send(50 * time.Millisecond)
				if diff := cmp.Diff(test.want, result.Outcome); diff != "" {
					t.Error("first outcome (-want +got):\n" + diff)
				}
				time.Sleep(2 * CancelGrace)
				result, _, _ = bench.send(50 * time.Millisecond)
				if diff := cmp.Diff(swreplica.Answered, result.Outcome); diff != "" {
					t.Error("outcome through the other relay (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestWithoutARelayAttemptsGoStraight(t *testing.T) {
	inBubble(t, func(bench *farBench) {
		bench.leaving = true
		for range bench.relays {
			result, _, relayed := bench.send(time.Second)
			if !relayed || result.Outcome != swreplica.NotSent {
				t.Errorf("a relay that leaves: relayed %t, outcome %d; want it to send nothing", relayed, result.Outcome)
			}
		}
		if _, _, relayed := bench.send(time.Second); relayed {
			t.Error("relays that leave are still used")
		}
		time.Sleep(suspectFor)
		bench.leaving = false
		if result, _, _ := bench.send(time.Second); result.Outcome != swreplica.Answered {
			t.Errorf("outcome %d after the relays are back, want answered", result.Outcome)
		}
	})
}

// TestReplicaThatStandsStillIsNoFaultOfItsRelay withdraws an attempt that the replica answers late: the relay stays in use, the
// late answer counts for the replica, and nothing is left in flight.
func TestReplicaThatStandsStillIsNoFaultOfItsRelay(t *testing.T) {
	inBubble(t, func(bench *farBench) {
		bench.replica.answer = answersAfter(200*time.Millisecond, "late")
		result, _, _ := bench.send(60 * time.Millisecond)
		if diff := cmp.Diff(swreplica.Cancelled, result.Outcome); diff != "" {
			t.Error("outcome (-want +got):\n" + diff)
		}
		time.Sleep(time.Second)
		if relay := bench.client.RelayFor(bench.sender); relay.Name != "relay-0" {
			t.Errorf("the next attempt goes through %q, want the same relay", relay.Name)
		}
		candidate := bench.sender.Candidate(time.Now(), work)
		if candidate.InFlight != 0 || candidate.Latency < 20*work {
			t.Errorf("the replica has %d in flight and takes %s, want none, and the late answer counted", candidate.InFlight, candidate.Latency)
		}
	})
}

// TestWithdrawnAttemptReachesItsReplica checks that a replica hears soon that nobody waits any more.
func TestWithdrawnAttemptReachesItsReplica(t *testing.T) {
	inBubble(t, func(bench *farBench) {
		bench.replica.answer = func(*http.Request, net.Conn) bool { return true }
		bench.send(50 * time.Millisecond)
		// A replica must not work for half a second longer than anybody waits.
		time.Sleep(400 * time.Millisecond)
		bench.replica.mutex.Lock()
		defer bench.replica.mutex.Unlock()
		if diff := cmp.Diff(1, bench.replica.ended); diff != "" {
			t.Error("connections that ended at the replica (-want +got):\n" + diff)
		}
		if bench.near.Available() {
			t.Error("the relay takes a replica that is silent for one that serves")
		}
	})
}

func TestRelayRefusesWhatItShouldNotPassOn(t *testing.T) {
	inBubble(t, func(bench *farBench) {
		server := bench.way.relays[bench.relays[0].Address]
		for name, change := range map[string]func(*Attempt){
			"unknown replica": func(attempt *Attempt) { attempt.Replica = "gone" },
			"no time left":    func(attempt *Attempt) { attempt.Left = 0 },
		} {
			attempt := bench.attempt()
			change(attempt)
			reply, err := server.Handle(bench.t.Context(), "sender", *attempt)
			if err != nil || reply.Outcome != swreplica.NotSent {
				t.Errorf("%s: %+v, %v; want that nothing is sent", name, reply, err)
			}
		}
		elsewhere := NewServer(ServerConfig{Replicas: bench.registry("third"), Codec: plainCodec{}, Leaving: func() bool { return false }})
		if reply, _ := elsewhere.Handle(bench.t.Context(), "sender", *bench.attempt()); reply.Outcome != swreplica.NotSent {
			t.Errorf("a VM of a third region: %+v, want that nothing is sent", reply)
		}
		if diff := cmp.Diff(0, len(bench.replica.lefts)); diff != "" {
			t.Error("requests at the replica (-want +got):\n" + diff)
		}
	})
}
