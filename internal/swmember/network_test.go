package swmember

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

const (
	// nearDelay and farDelay are the one-way delays inside a data centre and between data centres.
	nearDelay = 200 * time.Microsecond
	farDelay  = 10 * time.Millisecond
)

// network connects directories by calls that are encoded like those between real VMs.
type network struct {
	t testing.TB
	// serving runs the handlers of calls.
	serving *swgroup.Group
	mutex   sync.Mutex
	nodes   map[netip.AddrPort]*node
	// cut reports whether all calls between two nodes are lost.
	cut func(a, b *node) bool
	// immediate removes the delays of calls, for measurements of processor time.
	immediate bool
	// onSend is called before each call is sent, with the mutex held; it may be nil.
	onSend func(from *node)
}

// node is one VM on a network.
type node struct {
	network     *network
	config      Config
	directory   *Directory
	recordStore *RecordStore
	group       *swgroup.Group
	// paused holds a channel that is closed when the VM resumes; it is nil while the VM runs.
	paused atomic.Pointer[chan struct{}]
	calls  atomic.Int64
	// bytes counts the payload bytes sent and received, of calls made and calls served.
	bytes      atomic.Int64
	handshakes atomic.Int64
	mutex      sync.Mutex
	used       map[netip.AddrPort]time.Time
}

func newNetwork(t testing.TB) *network {
	return &network{
		t: t, serving: swgroup.New(context.Background()), nodes: make(map[netip.AddrPort]*node),
		cut: func(_, _ *node) bool { return false },
	}
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
}

// start starts a VM at the address with the given number.
func (network *network) start(number int, name, dataCentre string, incarnation uint64, seeds ...int) *node {
	started := &node{network: network, used: make(map[netip.AddrPort]time.Time), recordStore: NewRecordStore(RecordStoreConfig{})}
	started.config = Config{
		Self: Member{
			Name: name, Incarnation: incarnation, Region: "r", DataCentre: dataCentre,
			Peer: address(number), Caller: address(number),
		},
		Transport:       started,
		Records:         started.recordStore,
		Seed:            uint64(number) + 1,
		waitWhilePaused: started.waitWhilePaused,
	}
	started.directory = NewDirectory(started.config)
	for _, seed := range seeds {
		started.directory.AddSeeds([]netip.AddrPort{address(seed)})
	}
	network.mutex.Lock()
	network.nodes[address(number)] = started
	network.mutex.Unlock()
	started.group = swgroup.New(context.Background())
	started.group.Go(started.directory.Run)
	return started
}

// kill stops a VM without an announcement.
func (node *node) kill() {
	node.network.mutex.Lock()
	if node.network.nodes[node.config.Self.Peer] == node {
		delete(node.network.nodes, node.config.Self.Peer)
	}
	node.network.mutex.Unlock()
	node.resume()
	node.group.Stop()
}

func (network *network) stopAll() {
	network.mutex.Lock()
	nodes := make([]*node, 0, len(network.nodes))
	for _, node := range network.nodes {
		nodes = append(nodes, node)
	}
	network.mutex.Unlock()
	for _, node := range nodes {
		node.resume()
		node.group.Cancel()
	}
	for _, node := range nodes {
		node.group.Stop()
	}
	network.serving.Stop()
}

func (node *node) pause() {
	resumed := make(chan struct{})
	node.paused.CompareAndSwap(nil, &resumed)
}

func (node *node) resume() {
	if resumed := node.paused.Swap(nil); resumed != nil {
		close(*resumed)
	}
}

// waitWhilePaused blocks while the VM is paused.
func (node *node) waitWhilePaused() {
	if resumed := node.paused.Load(); resumed != nil {
		<-*resumed
	}
}

// Call sends a call to the node at target.
func (node *node) Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error {
	node.waitWhilePaused()
	data, err := swpeer.Marshal(request)
	if err != nil {
		return err
	}
	node.countHandshake(target)
	node.network.reportSend(node)
	answer, err := node.network.roundTrip(ctx, node, target, method, data)
	node.waitWhilePaused()
	if err == nil {
		// A timeout that expired during a pause is handled before data that arrived at the socket.
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	return swpeer.Unmarshal(answer, reply)
}

func (network *network) reportSend(from *node) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.onSend != nil {
		network.onSend(from)
	}
}

func (node *node) countHandshake(target netip.AddrPort) {
	const idleTimeout = time.Minute
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if last, ok := node.used[target]; !ok || time.Since(last) > idleTimeout {
		node.handshakes.Add(1)
	}
	node.used[target] = time.Now()
}

// roundTrip sends an encoded request to a node and returns its encoded reply.
func (network *network) roundTrip(ctx context.Context, from *node, target netip.AddrPort, method swpeer.Method, data []byte) ([]byte, error) {
	network.mutex.Lock()
	to, ok := network.nodes[target]
	cut := network.cut
	network.mutex.Unlock()
	from.count(len(data))
	if !ok || cut(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	to.count(len(data))
	result := make(chan []byte, 1)
	network.serving.Go(func(ctx context.Context) {
		network.delay(from, to)
		answer, err := to.serve(ctx, method, data)
		if err != nil {
			network.t.Errorf("serve method %d at %s: %v", method, to.config.Self.Name, err)
		}
		network.delay(from, to)
		result <- answer
	})
	select {
	case answer := <-result:
		from.count(len(answer))
		to.count(len(answer))
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (network *network) delay(from, to *node) {
	switch {
	case network.immediate:
	case from.config.Self.DataCentre == to.config.Self.DataCentre:
		time.Sleep(nearDelay)
	default:
		time.Sleep(farDelay)
	}
}

func (node *node) count(size int) {
	node.calls.Add(1)
	node.bytes.Add(int64(size))
}

// serve decodes a request, handles it and encodes the reply.
func (node *node) serve(ctx context.Context, method swpeer.Method, data []byte) ([]byte, error) {
	switch method {
	case swpeer.MethodProbe:
		return serveAs(ctx, data, node.directory.HandleProbe)
	case swpeer.MethodProbeVia:
		return serveAs(ctx, data, node.directory.HandleProbeVia)
	case swpeer.MethodGossip:
		return serveAs(ctx, data, node.directory.HandleGossip)
	}
	return nil, errors.Errorf("method %d is not served", method)
}

func serveAs[Request, Reply any](ctx context.Context, data []byte, handle func(context.Context, string, Request) (Reply, error)) ([]byte, error) {
	var request Request
	if err := swpeer.Unmarshal(data, &request); err != nil {
		return nil, err
	}
	reply, err := handle(ctx, "", request)
	if err != nil {
		return nil, err
	}
	return swpeer.Marshal(reply)
}

// fleet starts count VMs in each data centre with the first VM as their seed, and waits until all views are complete.
func (network *network) fleet(dataCentres, count int) []*node {
	nodes := make([]*node, 0, dataCentres*count)
	for number := range dataCentres * count {
		name := fmt.Sprintf("vm-%d", number)
		nodes = append(nodes, network.start(number, name, fmt.Sprintf("dc-%d", number%dataCentres), 1, 0))
	}
	eventually(network.t, time.Minute, func() bool {
		for _, node := range nodes {
			if len(aliveMembers(node)) != len(nodes) {
				return false
			}
		}
		return true
	})
	return nodes
}

// eventually waits in virtual time until condition holds, and returns the time that passed.
func eventually(t testing.TB, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("the condition did not hold within %s", limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// aliveMembers returns the members that are alive in a node's view.
func aliveMembers(node *node) map[string]bool {
	names := make(map[string]bool)
	view := node.directory.View()
	for _, dataCentre := range view.DataCentres() {
		for _, member := range view.Members(dataCentre) {
			if member.State == Alive {
				names[member.Name] = true
			}
		}
	}
	return names
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, run func(t *testing.T, network *network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork(t)
		defer network.stopAll()
		run(t, network)
	})
}
