package swkey

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

var errLost = errors.New("message lost")

// fakeNetwork joins VMs. Messages to a paused VM wait until it wakes, as in the buffers of its sockets.
type fakeNetwork struct {
	test  *testing.T
	group *swgroup.Group

	mutex sync.Mutex
	vms   map[string]*fakeVM
	// all holds every VM that was started, also those that were replaced.
	all []*fakeVM
	cut map[[2]string]bool
	// loseRequest and loseAnswer decide by the number of the message; nil loses none.
	loseRequest func(number int) bool
	loseAnswer  func(number int) bool
	messages    int

	backend fakeBackend
	claims  fakeClaims
	board   fakeBoard
	limits  Limits
}

type fakeVM struct {
	name    string
	address netip.AddrPort
	service *Service
	group   *swgroup.Group
	awake   chan struct{}
	dead    bool
}

// fakeBackend counts the runs of each body, and notes when each began.
type fakeBackend struct {
	mutex sync.Mutex
	runs  map[string]int
	began map[string]time.Time
	takes time.Duration
	// refuse makes the backend refuse without running, broken makes it run and lose its answer.
	refuse bool
	broken bool
}

func newFakeNetwork(t *testing.T, names ...string) *fakeNetwork {
	network := &fakeNetwork{
		test:    t,
		group:   swgroup.New(t.Context()),
		vms:     make(map[string]*fakeVM),
		cut:     make(map[[2]string]bool),
		backend: fakeBackend{runs: make(map[string]int), began: make(map[string]time.Time)},
		claims:  fakeClaims{values: make(map[string][]byte)},
		board:   fakeBoard{records: make(map[string]swmember.Record)},
		limits:  Limits{MaxOutcome: 256, MaxBytes: 64 << 10},
	}
	for _, name := range names {
		network.start(name)
	}
	t.Cleanup(network.stop)
	return network
}

func (network *fakeNetwork) stop() {
	for _, vm := range network.all {
		network.resume(vm)
	}
	for _, vm := range network.all {
		vm.group.Stop()
	}
	network.group.Stop()
}

// start starts a VM, replacing one of the same name and address.
func (network *fakeNetwork) start(name string) *fakeVM {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	vm := &fakeVM{name: name, address: addressOf(name), group: swgroup.New(context.Background()), awake: make(chan struct{})}
	close(vm.awake)
	service, err := New(Config{
		Name:      name,
		Transport: &fakeTransport{network: network, from: vm},
		Directory: &fakeDirectory{network: network, self: name},
		Records:   &network.board,
		Claims:    &network.claims,
		Group:     vm.group,
		Limits:    network.limits,
	})
	if err != nil {
		network.test.Fatal(err)
	}
	service.SetExecutor(func(ctx context.Context, request RunRequest) Outcome {
		return network.execute(ctx, vm, string(request.Body))
	})
	vm.service = service
	network.vms[name] = vm
	network.all = append(network.all, vm)
	return vm
}

func addressOf(name string) netip.AddrPort {
	var last byte
	for _, char := range []byte(name) {
		last = last*31 + char
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, last}), 7000)
}

// execute runs a body at the backend on behalf of a VM, which may be paused or dead by the time of the answer.
func (network *fakeNetwork) execute(ctx context.Context, vm *fakeVM, body string) Outcome {
	<-network.awakening(vm)
	backend := &network.backend
	backend.mutex.Lock()
	refuse := backend.refuse || network.isDead(vm) || ctx.Err() != nil
	if !refuse {
		backend.runs[body]++
		backend.began[body] = time.Now()
	}
	broken := backend.broken
	backend.mutex.Unlock()
	if refuse {
		return Outcome{Code: swcode.ShedByPriority, Ran: swcode.RanNo}
	}
	time.Sleep(backend.takes)
	<-network.awakening(vm)
	if broken {
		return Outcome{Code: swcode.OutcomeUnknown, Ran: swcode.RanUnknown}
	}
	return Outcome{Code: swcode.OK, Ran: swcode.RanYes, Reply: []byte("ran " + body)}
}

func (backend *fakeBackend) count(body string) int {
	backend.mutex.Lock()
	defer backend.mutex.Unlock()
	return backend.runs[body]
}

// send is a caller's request to a VM. It gives up at the timeout.
func (network *fakeNetwork) send(vm *fakeVM, key, body string, timeout time.Duration) Outcome {
	request := RunRequest{Key: key, Caller: "desk", Fingerprint: uint64(len(body)), Body: []byte(body)}
	return network.sendRequest(vm, request, timeout)
}

func (network *fakeNetwork) sendRequest(vm *fakeVM, request RunRequest, timeout time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply := make(chan Outcome, 1)
	network.group.Go(func(context.Context) {
		<-network.awakening(vm)
		if network.isDead(vm) {
			return
		}
		reply <- vm.service.Run(ctx, request, func(ctx context.Context) Outcome {
			return network.execute(ctx, vm, string(request.Body))
		})
	})
	timer := time.NewTimer(timeout + time.Millisecond)
	defer timer.Stop()
	select {
	case outcome := <-reply:
		return outcome
	case <-timer.C:
		return Outcome{Code: swcode.DeadlineExceeded, Ran: swcode.RanUnknown, Message: "no answer"}
	}
}

func (network *fakeNetwork) key(vm *fakeVM) string {
	batch, err := vm.service.Issue(context.Background(), 1)
	if err != nil {
		network.test.Fatal(err)
	}
	return batch.Keys[0]
}

func (network *fakeNetwork) pause(name string) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	vm := network.vms[name]
	select {
	case <-vm.awake:
		vm.awake = make(chan struct{})
	default:
	}
}

func (network *fakeNetwork) wake(name string) {
	network.mutex.Lock()
	vm := network.vms[name]
	network.mutex.Unlock()
	network.resume(vm)
}

// resume wakes a VM, also one that was replaced.
func (network *fakeNetwork) resume(vm *fakeVM) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	select {
	case <-vm.awake:
	default:
		close(vm.awake)
	}
}

func (network *fakeNetwork) kill(name string) {
	network.mutex.Lock()
	network.vms[name].dead = true
	network.mutex.Unlock()
	network.wake(name)
}

func (network *fakeNetwork) isDead(vm *fakeVM) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return vm.dead
}

func (network *fakeNetwork) awakening(vm *fakeVM) chan struct{} {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return vm.awake
}

func (network *fakeNetwork) partition(a, b string, cut bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.cut[[2]string{a, b}] = cut
	network.cut[[2]string{b, a}] = cut
}

type fakeTransport struct {
	network *fakeNetwork
	from    *fakeVM
}

// Call delivers a message unless it is lost. A message to a paused VM is served when the VM wakes, also after the sender
// gave up.
func (transport *fakeTransport) Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error {
	network := transport.network
	data, err := swpeer.Marshal(request)
	if err != nil {
		return err
	}
	answers := make(chan []byte, 1)
	vm, number, ok := network.route(transport.from, target)
	if !ok {
		<-ctx.Done()
		return ctx.Err()
	}
	network.group.Go(func(context.Context) {
		<-network.awakening(vm)
		answer, err := vm.serve(method, data)
		if err != nil || network.isDead(vm) || network.loses(network.loseAnswer, number) {
			return
		}
		answers <- answer
	})
	select {
	case answer := <-answers:
		<-network.awakening(transport.from)
		return swpeer.Unmarshal(answer, reply)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), errLost.Error())
	}
}

func (network *fakeNetwork) route(from *fakeVM, target netip.AddrPort) (vm *fakeVM, number int, ok bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.messages++
	for _, vm := range network.vms {
		if vm.address != target || vm.dead || from.dead || network.cut[[2]string{from.name, vm.name}] {
			continue
		}
		if network.loseRequest != nil && network.loseRequest(network.messages) {
			return nil, 0, false
		}
		return vm, network.messages, true
	}
	return nil, 0, false
}

func (network *fakeNetwork) loses(lose func(int) bool, number int) bool {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return lose != nil && lose(number)
}

func (vm *fakeVM) serve(method swpeer.Method, data []byte) ([]byte, error) {
	if method == swpeer.MethodHandover {
		var message HandoverMessage
		if err := swpeer.Unmarshal(data, &message); err != nil {
			return nil, err
		}
		answer, err := vm.service.ServeHandover(context.Background(), "", message)
		if err != nil {
			return nil, err
		}
		return swpeer.Marshal(answer)
	}
	var message RunMessage
	if err := swpeer.Unmarshal(data, &message); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer, err := vm.service.ServeRun(ctx, "", message)
	if err != nil {
		return nil, err
	}
	return swpeer.Marshal(answer)
}
