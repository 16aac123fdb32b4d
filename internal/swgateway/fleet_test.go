package swgateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// cutKind is how the links of a VM to all replicas are cut.
type cutKind string

const (
	// cutNone leaves the links as they are.
	cutNone cutKind = ""
	// cutSilent makes open connections and dials hang.
	cutSilent cutKind = "silent"
	// cutReset resets open connections and refuses new ones.
	cutReset cutKind = "reset"
	// cutAccepting opens connections, on which nothing arrives, and makes open ones hang.
	cutAccepting cutKind = "accepting"
	// cutRefuse refuses new connections and leaves open ones as they are.
	cutRefuse cutKind = "refuse"
)

var errRefused = errors.New("connection refused")

// link is the network between one VM and all replicas.
type link struct {
	mutex  sync.Mutex
	cut    cutKind
	healed chan struct{}
	conns  []net.Conn
	// tries counts the connections that were tried.
	tries int
}

// set cuts or heals the link.
func (link *link) set(cut cutKind) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.healed != nil {
		close(link.healed)
		link.healed = nil
	}
	link.cut = cut
	if cut == cutNone {
		return
	}
	link.healed = make(chan struct{})
	if cut == cutReset {
		for _, conn := range link.conns {
			conn.Close()
		}
	}
}

// cutKind returns how the link is cut.
func (link *link) cutKind() cutKind {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.cut
}

// counts returns the number of connections that were tried.
func (link *link) counts() int {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.tries
}

// silent returns a channel that is closed when a silent cut ends; nil if there is none.
func (link *link) silent() chan struct{} {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.cut != cutSilent && link.cut != cutAccepting {
		return nil
	}
	return link.healed
}

// dial connects to a replica unless the link is cut.
func (link *link) dial(ctx context.Context, connect func() (net.Conn, error)) (net.Conn, error) {
	link.mutex.Lock()
	cut, healed := link.cut, link.healed
	link.tries++
	link.mutex.Unlock()
	switch cut {
	case cutSilent:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-healed:
		}
	case cutReset, cutRefuse:
		return nil, errRefused
	case cutNone, cutAccepting:
	}
	conn, err := connect()
	if err != nil {
		return nil, err
	}
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.conns = append(link.conns, conn)
	return &linkedConn{Conn: conn, link: link}, nil
}

// linkedConn is a VM's side of a connection to a replica. What is written during a silent cut is lost.
type linkedConn struct {
	net.Conn
	link *link
}

func (conn *linkedConn) Write(data []byte) (int, error) {
	if conn.link.silent() != nil {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

func (conn *linkedConn) Read(buffer []byte) (int, error) {
	read, err := conn.Conn.Read(buffer)
	if healed := conn.link.silent(); healed != nil && err == nil {
		// The response is held up, like that of a TCP connection, and the connection is closed before it arrives.
		return 0, conn.blockUntilClosed()
	}
	return read, err
}

func (conn *linkedConn) blockUntilClosed() error {
	_, err := conn.Conn.Read(make([]byte, 1))
	for err == nil {
		_, err = conn.Conn.Read(make([]byte, 1))
	}
	return err
}

// fleetVM is one VM of a testFleet.
type fleetVM struct {
	*Handler
	registry *swreplica.Registry
	server   *swrelay.Server
	relays   *swrelay.Client
	relay    swrelay.Relay
	link     *link
}

// testFleet is several VMs in two regions that share replicas, in virtual time.
type testFleet struct {
	t        *testing.T
	group    *swgroup.Group
	routes   *swroute.ActiveTable
	replicas map[netip.AddrPort]*testReplica
	vms      []*fleetVM
	mutex    sync.Mutex
	// lostPeers are the VMs that no other VM reaches.
	lostPeers map[netip.AddrPort]bool
	// relayed counts the attempts that were sent through VMs, by data centre.
	relayed map[string]int
}

// fleetRoundTrip is the time of a call from one VM to another.
const fleetRoundTrip = 10 * time.Millisecond

// newTestFleet returns a fleet with a number of VMs in each of the data centres "a" and "b", which are regions of their own.
func newTestFleet(t *testing.T, vmsPerCentre int) *testFleet {
	t.Helper()
	testFleet := &testFleet{
		t: t, group: swgroup.New(context.Background()), routes: &swroute.ActiveTable{}, replicas: make(map[netip.AddrPort]*testReplica),
		lostPeers: make(map[netip.AddrPort]bool), relayed: make(map[string]int),
	}
	for _, dataCentre := range []string{"a", "b"} {
		for range vmsPerCentre {
			testFleet.addVM(dataCentre)
		}
	}
	return testFleet
}

func (testFleet *testFleet) addVM(dataCentre string) {
	number := len(testFleet.vms)
	address := netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(number+1))
	vm := &fleetVM{link: &link{}, relay: swrelay.Relay{Name: fmt.Sprint("vm-", number), Address: address, DataCentre: dataCentre, Region: dataCentre}}
	pool := swreplica.NewPool(swreplica.PoolConfig{
		Group: testFleet.group, Log: zerolog.Nop(), ReadReport: testProtocol{}.ReadReport,
		MaxConnections: func(string) int { return 40 },
		HealthPath:     func(string) string { return "/health" },
		OnReach:        func(dataCentre string, reached bool) { vm.relays.OnReach(dataCentre, reached) },
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return vm.link.dial(ctx, func() (net.Conn, error) { return testFleet.connect(address) })
		},
	})
	vm.registry = swreplica.NewRegistry(swreplica.RegistryConfig{Pool: pool, DataCentre: dataCentre, Region: dataCentre})
	vm.server = swrelay.NewServer(swrelay.ServerConfig{Replicas: vm.registry, Codec: Codec{Protocol: testProtocol{}}, Leaving: func() bool { return false }})
	vm.relays = swrelay.NewClient(swrelay.ClientConfig{
		Group: testFleet.group, Transport: testFleet, ReadReport: testProtocol{}.ReadReport, Log: zerolog.Nop(),
		Relays: func(dataCentre, _ string) []swrelay.Relay { return testFleet.relaysIn(vm, dataCentre) },
		VMs:    func() []swrelay.Relay { return append(testFleet.relaysIn(vm, "a"), testFleet.relaysIn(vm, "b")...) },
	})
	vm.Handler = NewHandler(HandlerConfig{
		Group: testFleet.group, Protocol: testProtocol{}, Routes: testFleet.routes, Replicas: vm.registry, Relays: vm.relays,
		Budget:     NewBudget(BudgetConfig{Ratio: 0.2, Slack: 100, Window: testWindow, VMs: func() int { return 1 }}),
		Quarantine: swquarantine.New(swquarantine.Config{Name: vm.relay.Name, CanaryWindow: time.Nanosecond}),
		Recorder:   noRecorder{}, Log: zerolog.Nop(),
	})
	testFleet.vms = append(testFleet.vms, vm)
}

// relaysIn returns the other VMs of a data centre.
func (testFleet *testFleet) relaysIn(self *fleetVM, dataCentre string) []swrelay.Relay {
	var relays []swrelay.Relay
	for _, vm := range testFleet.vms {
		if vm != self && vm.relay.DataCentre == dataCentre && len(relays) < swrelay.MaxRelays {
			relays = append(relays, vm.relay)
		}
	}
	return relays
}

var errPeerLost = errors.New("the peer can't be reached")

// Call sends a call to another VM.
func (testFleet *testFleet) Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error {
	time.Sleep(fleetRoundTrip / 2)
	defer time.Sleep(fleetRoundTrip / 2)
	for _, vm := range testFleet.vms {
		if vm.relay.Address != target || testFleet.isLost(target) {
			continue
		}
		if method == swpeer.MethodReach {
			answer, err := vm.server.HandleReach(ctx, "sender", swrelay.ReachRequest{})
			*reply.(*swrelay.ReachReply) = answer
			return err
		}
		testFleet.mutex.Lock()
		testFleet.relayed[vm.relay.DataCentre]++
		testFleet.mutex.Unlock()
		answer, err := vm.server.Handle(ctx, "sender", *request.(*swrelay.Attempt))
		if err != nil {
			return err
		}
		*reply.(*swrelay.Reply) = answer
		return ctx.Err()
	}
	return errPeerLost
}

// setLost makes all calls to a VM fail, or not.
func (testFleet *testFleet) setLost(vm *fleetVM, lost bool) {
	testFleet.mutex.Lock()
	defer testFleet.mutex.Unlock()
	testFleet.lostPeers[vm.relay.Address] = lost
}

func (testFleet *testFleet) isLost(address netip.AddrPort) bool {
	testFleet.mutex.Lock()
	defer testFleet.mutex.Unlock()
	return testFleet.lostPeers[address]
}

// hasWay reports whether another VM reaches the replicas and can be reached.
func (testFleet *testFleet) hasWay(vm *fleetVM) bool {
	for _, other := range testFleet.vms {
		if other != vm && other.link.cutKind() == cutNone && !testFleet.isLost(other.relay.Address) {
			return true
		}
	}
	return false
}

// Reconnect has no effect.
func (*testFleet) Reconnect(netip.AddrPort) {}

func (testFleet *testFleet) connect(address netip.AddrPort) (net.Conn, error) {
	replica := testFleet.replicas[address]
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.down {
		return nil, errRefused
	}
	client, server := net.Pipe()
	replica.conns = append(replica.conns, server)
	testFleet.group.Go(func(context.Context) { replica.serve(server) })
	return client, nil
}

// addReplica adds a replica, which answers after 5 ms, to a service and a data centre.
func (testFleet *testFleet) addReplica(service, dataCentre string) *testReplica {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(testFleet.replicas)+1))
	id := service + "-" + dataCentre + "-" + fmt.Sprint(len(testFleet.replicas))
	replica := &testReplica{id: id, script: respondWith(5*time.Millisecond, http.StatusOK, "Signature: "+id+"\r\nContent-Type: text/x\r\nDate: today\r\n", "0123456789abcdef")}
	testFleet.replicas[address] = replica
	for _, vm := range testFleet.vms {
		vm.registry.Update([]swreplica.Entry{{ID: id, Service: service, Address: address, DataCentre: dataCentre, Region: dataCentre, Slots: 4}}, nil)
	}
	return replica
}

// nextVersion returns a version after the one in force.
func (testFleet *testFleet) nextVersion() uint64 {
	if table := testFleet.routes.Current(); table != nil {
		return table.Version + 1
	}
	return 1
}

// setRoutes puts routes in force, each at the host of its name.
func (testFleet *testFleet) setRoutes(routes ...*swroute.Route) {
	for _, route := range routes {
		route.Host, route.Prefix = route.Name, "/"
	}
	testFleet.routes.UpdateIfNewer(swroute.NewTable(swroute.TableConfig{Version: testFleet.nextVersion(), Limits: swroute.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1000}, Routes: routes}))
}

// send sends a request on a route to a VM.
func (testFleet *testFleet) send(vm *fleetVM, route, body string) *httptest.ResponseRecorder {
	_, recorder := testFleet.sendIdentified(vm, route, body)
	return recorder
}

// sendIdentified sends a request and returns its ID with the response.
func (testFleet *testFleet) sendIdentified(vm *fleetVM, route, body string) (string, *httptest.ResponseRecorder) {
	httpRequest := httptest.NewRequestWithContext(testFleet.t.Context(), http.MethodPost, "/x", bytes.NewReader([]byte(body)))
	httpRequest.Host = route
	id := fmt.Sprint(lastID.Add(1))
	httpRequest.Header.Set("Id", id)
	httpRequest.Header.Set("Left", "2s")
	recorder := httptest.NewRecorder()
	vm.ServeHTTP(deadlineRecorder{recorder}, httpRequest)
	return id, recorder
}

// load sends requests on a route to VMs, one each interval at each VM in turn, and returns the responses by status.
func (testFleet *testFleet) load(vms []*fleetVM, route string, interval, duration time.Duration) map[int]int {
	var mutex sync.Mutex
	statuses := make(map[int]int)
	var waitGroup sync.WaitGroup
	for i := range int(duration / interval) {
		waitGroup.Go(func() {
			status := testFleet.send(vms[i%len(vms)], route, "body").Code
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
		})
		time.Sleep(interval)
	}
	waitGroup.Wait()
	return statuses
}

// received returns how often the replicas received each request ID.
func (testFleet *testFleet) received() map[string]int {
	counts := make(map[string]int)
	for _, replica := range testFleet.replicas {
		replica.mutex.Lock()
		for _, received := range replica.received {
			counts[received.Header.Get("Id")]++
		}
		replica.mutex.Unlock()
	}
	return counts
}

func (testFleet *testFleet) close() {
	for _, replica := range testFleet.replicas {
		replica.crash()
	}
	for _, vm := range testFleet.vms {
		vm.link.set(cutReset)
	}
	testFleet.group.Stop()
}
