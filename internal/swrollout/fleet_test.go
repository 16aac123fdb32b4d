package swrollout

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

const (
	// nearDelay and farDelay are the one-way delays inside a data centre and between data centres.
	nearDelay = 500 * time.Microsecond
	farDelay  = 10 * time.Millisecond
)

// fleet is a set of VMs that call each other and a platform.
type fleet struct {
	t        testing.TB
	platform *fakePlatform
	// serving runs the handlers of calls.
	serving *swgroup.Group
	mutex   sync.RWMutex
	vms     map[netip.AddrPort]*vm
	// cutPeers reports whether a VM is partitioned from other data centres, cutPlatform whether it is from the platform.
	cutPeers    func(vm *vm) bool
	cutPlatform func(vm *vm) bool
	// onCall is called with the encoded sizes of each answered call; it may be nil.
	onCall func(from, to *vm, method swpeer.Method, request, reply int)
}

// vm is one VM of a fleet.
type vm struct {
	fleet     *fleet
	self      swmember.Member
	directory *swmember.Directory
	store     *Store
	watcher   *Watcher
	group     *swgroup.Group
	mutex     sync.Mutex
	paused    chan struct{}
	// versions holds the versions of the rules in the order in which they came into force.
	versions []uint64
}

// cutPlatformClient is the platform from the point of view of one VM.
type cutPlatformClient struct {
	*fakePlatform
	vm *vm
}

// List fails while the VM is partitioned from the platform.
func (client cutPlatformClient) List(ctx context.Context, kind, prefix string) (uint64, []swplatform.ObjectVersion, error) {
	if client.vm.cutOff() {
		return 0, nil, &swplatform.Error{Operation: "list", Reason: swplatform.ErrUnavailable}
	}
	return client.fakePlatform.List(ctx, kind, prefix)
}

// Get fails while the VM is partitioned from the platform.
func (client cutPlatformClient) Get(ctx context.Context, kind, name string) (swplatform.Object, error) {
	if client.vm.cutOff() {
		return swplatform.Object{}, &swplatform.Error{Operation: "get", Reason: swplatform.ErrUnavailable}
	}
	return client.fakePlatform.Get(ctx, kind, name)
}

// Watch fails while the VM is partitioned from the platform.
func (client cutPlatformClient) Watch(ctx context.Context, kind string, after uint64, limit time.Duration) (swplatform.WatchResult, error) {
	if client.vm.cutOff() {
		return swplatform.WatchResult{}, &swplatform.Error{Operation: "watch", Reason: swplatform.ErrUnavailable}
	}
	result, err := client.fakePlatform.Watch(ctx, kind, after, limit)
	if client.vm.cutOff() {
		return swplatform.WatchResult{}, &swplatform.Error{Operation: "watch", Reason: swplatform.ErrUnavailable}
	}
	return result, err
}

func (vm *vm) cutOff() bool {
	vm.fleet.mutex.RLock()
	defer vm.fleet.mutex.RUnlock()
	return vm.fleet.cutPlatform(vm)
}

func noVM(*vm) bool { return false }

func newFleet(t testing.TB) *fleet {
	return &fleet{
		t: t, platform: newFakePlatform(), serving: swgroup.New(context.Background()), vms: make(map[netip.AddrPort]*vm),
		cutPeers: noVM, cutPlatform: noVM,
	}
}

func member(number, dataCentres int, incarnation uint64) swmember.Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number >> 8), byte(number)}), 7000)
	return swmember.Member{
		Name: fmt.Sprintf("vm-%d", number), Incarnation: incarnation, Region: "r",
		DataCentre: fmt.Sprintf("dc-%d", number%dataCentres), Peer: address, Caller: address,
	}
}

// start starts a VM with the given seeds.
func (fleet *fleet) start(self swmember.Member, seeds ...netip.AddrPort) *vm {
	started := &vm{fleet: fleet, self: self}
	recordStore := swmember.NewRecordStore(swmember.RecordStoreConfig{})
	seed := uint64(self.Peer.Addr().As4()[2])<<8 + uint64(self.Peer.Addr().As4()[3]) + 1
	started.directory = swmember.NewDirectory(swmember.Config{Self: self, Transport: started, Records: recordStore, Seed: seed})
	started.directory.AddSeeds(seeds)
	started.store = New(Config{Records: recordStore, Members: started.directory, Transport: started, Seed: seed})
	for _, kind := range Kinds() {
		started.store.RegisterKind(kind, checkValue)
	}
	started.store.Subscribe(KindRules, func(document Document) {
		started.mutex.Lock()
		defer started.mutex.Unlock()
		started.versions = append(started.versions, document.Version)
	})
	started.watcher = NewWatcher(WatcherConfig{
		Platform: cutPlatformClient{fleet.platform, started}, Directory: started.directory, Transport: started,
		Store: started.store, Seed: seed,
	})
	fleet.mutex.Lock()
	fleet.vms[self.Peer] = started
	fleet.mutex.Unlock()
	started.group = swgroup.New(context.Background())
	started.group.Go(started.directory.Run)
	started.group.Go(started.store.Run)
	started.group.Go(started.watcher.Run)
	return started
}

// checkValue rejects values that contain the word bad.
func checkValue(value []byte) error {
	if strings.Contains(string(value), "bad") {
		return errors.New("the value is bad")
	}
	return nil
}

// startAll starts count VMs, distributed over the data centres, with the first VM as their seed. The platform lists them.
func (fleet *fleet) startAll(count, dataCentres int) []*vm {
	var vms []*vm
	first := member(0, dataCentres, 1)
	for number := range count {
		self := member(number, dataCentres, 1)
		fleet.platform.vms = append(fleet.platform.vms, swplatform.VM{
			Name: self.Name, Role: swplatform.RoleEntry, DataCentre: self.DataCentre, Region: self.Region,
			Peer: self.Peer, Caller: self.Caller, State: swplatform.StateLive,
		})
		vms = append(vms, fleet.start(self, first.Peer))
	}
	return vms
}

func (vm *vm) stop() {
	vm.fleet.mutex.Lock()
	if vm.fleet.vms[vm.self.Peer] == vm {
		delete(vm.fleet.vms, vm.self.Peer)
	}
	vm.fleet.mutex.Unlock()
	vm.setPaused(false)
	vm.group.Stop()
}

func (fleet *fleet) stopAll() {
	fleet.mutex.RLock()
	var vms []*vm
	for _, vm := range fleet.vms {
		vms = append(vms, vm)
	}
	fleet.mutex.RUnlock()
	for _, vm := range vms {
		vm.setPaused(false)
		vm.group.Cancel()
	}
	for _, vm := range vms {
		vm.group.Stop()
	}
	fleet.serving.Stop()
}

// setPaused stops or resumes all calls from and to a VM.
func (vm *vm) setPaused(paused bool) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.paused != nil {
		close(vm.paused)
		vm.paused = nil
	}
	if paused {
		vm.paused = make(chan struct{})
	}
}

func (vm *vm) waitWhilePaused(ctx context.Context) {
	vm.mutex.Lock()
	paused := vm.paused
	vm.mutex.Unlock()
	if paused == nil {
		return
	}
	select {
	case <-paused:
	case <-ctx.Done():
	}
}

// Call sends a call to another VM.
func (vm *vm) Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error {
	vm.waitWhilePaused(ctx)
	data, err := swpeer.Marshal(request)
	if err != nil {
		return err
	}
	vm.fleet.mutex.RLock()
	to, ok := vm.fleet.vms[target]
	cut := ok && to.self.DataCentre != vm.self.DataCentre && (vm.fleet.cutPeers(vm) || vm.fleet.cutPeers(to))
	vm.fleet.mutex.RUnlock()
	if !ok || cut {
		<-ctx.Done()
		return ctx.Err()
	}
	result := make(chan []byte, 1)
	vm.fleet.serving.Go(func(ctx context.Context) {
		wait(ctx, vm.delayTo(to))
		to.waitWhilePaused(ctx)
		answer, err := to.serve(ctx, method, data)
		if err != nil {
			vm.fleet.t.Errorf("serve method %d at %s: %v", method, to.self.Name, err)
		}
		wait(ctx, vm.delayTo(to))
		result <- answer
	})
	select {
	case answer := <-result:
		if vm.fleet.onCall != nil {
			vm.fleet.onCall(vm, to, method, len(data), len(answer))
		}
		return swpeer.Unmarshal(answer, reply)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (vm *vm) delayTo(to *vm) time.Duration {
	if vm.self.DataCentre == to.self.DataCentre {
		return nearDelay
	}
	return farDelay
}

func (vm *vm) serve(ctx context.Context, method swpeer.Method, data []byte) ([]byte, error) {
	switch method {
	case swpeer.MethodProbe:
		return serveAs(ctx, data, vm.directory.HandleProbe)
	case swpeer.MethodProbeVia:
		return serveAs(ctx, data, vm.directory.HandleProbeVia)
	case swpeer.MethodGossip:
		return serveAs(ctx, data, vm.directory.HandleGossip)
	case swpeer.MethodFetch:
		return serveAs(ctx, data, vm.store.HandleFetch)
	case swpeer.MethodReport:
		return serveAs(ctx, data, vm.watcher.HandleReport)
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

// version returns the version of the rules in force at a VM; it is zero when there is none.
func (vm *vm) version() uint64 {
	document, _ := vm.store.Current(KindRules, RulesName)
	return document.Version
}

// awaitVersion waits until a version of the rules is in force on all VMs.
func (fleet *fleet) awaitVersion(vms []*vm, version uint64, limit time.Duration) {
	fleet.t.Helper()
	fleet.eventually(limit, fmt.Sprintf("rules at version %d everywhere", version), func() bool {
		for _, vm := range vms {
			if vm.version() != version {
				return false
			}
		}
		return true
	})
}

func (fleet *fleet) eventually(limit time.Duration, what string, condition func() bool) {
	fleet.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			fleet.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkVersionsIncrease fails the test if the rules returned to the same or a lower version.
func (vm *vm) checkVersionsIncrease(t testing.TB) {
	t.Helper()
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	for i := 1; i < len(vm.versions); i++ {
		if vm.versions[i] <= vm.versions[i-1] {
			t.Errorf("%s had the versions %v in force, want them to increase", vm.self.Name, vm.versions)
		}
	}
}

// inBubble runs a test in virtual time and checks that the version in force only increased on every VM.
func inBubble(t *testing.T, run func(t *testing.T, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t)
		defer fleet.stopAll()
		run(t, fleet)
		fleet.mutex.RLock()
		defer fleet.mutex.RUnlock()
		for _, vm := range fleet.vms {
			vm.checkVersionsIncrease(t)
		}
	})
}
