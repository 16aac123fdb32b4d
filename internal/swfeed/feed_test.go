package swfeed

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// testStore is a store of one kind with one object, whose value is its position.
type testStore struct {
	mutex    sync.Mutex
	position swplatform.Position
	changed  chan struct{}
	down     bool
	// refused holds the VMs whose calls the store refuses, and silent those whose calls it does not answer.
	refused map[int]bool
	silent  map[int]bool
	calls   int
}

func newTestStore() *testStore {
	return &testStore{position: swplatform.Position{Era: 1, Revision: 1}, changed: make(chan struct{}), refused: make(map[int]bool), silent: make(map[int]bool)}
}

func (store *testStore) change() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.position.Revision++
	close(store.changed)
	store.changed = make(chan struct{})
}

// rollBack makes the store lose its latest changes. Watches end because the store does not have their revision.
func (store *testStore) rollBack(revisions uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.position.Era++
	store.position.Revision -= min(revisions, store.position.Revision-1)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *testStore) set(change func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	change()
}

// count returns the number of calls.
func (store *testStore) count() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

// vmSource is the store from the point of view of one VM.
type vmSource struct {
	store *testStore
	vm    int
}

func (vmSource vmSource) read() ([]swplatform.Object, swplatform.Position, <-chan struct{}, error) {
	store := vmSource.store
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	if store.down || store.refused[vmSource.vm] {
		return nil, swplatform.Position{}, nil, &swplatform.Error{Reason: swplatform.ErrUnavailable}
	}
	object := swplatform.Object{Name: "o", Position: store.position, Value: fmt.Append(nil, store.position)}
	return []swplatform.Object{object}, store.position, store.changed, nil
}

// callTimeout is how long after the end of its wait a call of a silent store fails.
const callTimeout = 2 * time.Second

// isSilent reports whether the store does not answer the VM.
func (vmSource vmSource) isSilent() bool {
	vmSource.store.mutex.Lock()
	defer vmSource.store.mutex.Unlock()
	return vmSource.store.silent[vmSource.vm]
}

// timeOut waits until a call that is not answered fails.
func (vmSource vmSource) timeOut(ctx context.Context, timeout time.Duration) error {
	if err := swtimer.Wait(ctx, timeout); err != nil {
		return err
	}
	return &swplatform.Error{Reason: swplatform.ErrUnavailable}
}

func (vmSource vmSource) ListObjects(ctx context.Context, _ string) ([]swplatform.Object, swplatform.Position, error) {
	if vmSource.isSilent() {
		return nil, swplatform.Position{}, vmSource.timeOut(ctx, callTimeout)
	}
	time.Sleep(4 * time.Millisecond)
	objects, position, _, err := vmSource.read()
	return objects, position, err
}

func (vmSource vmSource) WatchObjects(ctx context.Context, _ string, after swplatform.Position, wait time.Duration) ([]swplatform.Object, swplatform.Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if vmSource.isSilent() {
			return nil, swplatform.Position{}, vmSource.timeOut(ctx, wait+callTimeout)
		}
		objects, position, changed, err := vmSource.read()
		if err == nil && position.Revision < after.Revision {
			err = &swplatform.Error{Reason: swplatform.ErrRevisionTooOld}
		}
		if err != nil || position.Revision > after.Revision {
			return objects, position, err
		}
		select {
		case <-changed:
		case <-timer.C:
			if vmSource.isSilent() {
				return nil, swplatform.Position{}, vmSource.timeOut(ctx, callTimeout)
			}
			return nil, position, nil
		case <-ctx.Done():
			return nil, swplatform.Position{}, ctx.Err()
		}
	}
}

// testFleet is a data centre of VMs, ranked by their number for following the store.
type testFleet struct {
	t     *testing.T
	store *testStore
	group *swgroup.Group
	mutex sync.Mutex
	// feeds holds the feed of each VM, and stops what stops it.
	feeds []*Feed
	stops []context.CancelFunc
	// partitioned holds the VMs that are partitioned from all others.
	partitioned map[int]bool
	// positions holds the position of the first kind that each VM has received. receivedAt is when it last received a newer
	// position, by VM and kind.
	positions  []swplatform.Position
	receivedAt [][]time.Time
	// recoveredAt holds the time of the store's recovery in the last change of the first kind that each VM has received.
	recoveredAt []time.Time
}

// newTestFleet returns a fleet that follows one kind of objects.
func newTestFleet(t *testing.T, vms int) *testFleet {
	t.Helper()
	return newTestFleetOfKinds(t, vms, 1)
}

func newTestFleetOfKinds(t *testing.T, vms, kinds int) *testFleet {
	t.Helper()
	fleet := &testFleet{
		t: t, store: newTestStore(), group: swgroup.New(context.Background()), partitioned: make(map[int]bool),
		feeds: make([]*Feed, vms), stops: make([]context.CancelFunc, vms),
		positions: make([]swplatform.Position, vms), receivedAt: make([][]time.Time, vms),
		recoveredAt: make([]time.Time, vms),
	}
	for vm := range vms {
		fleet.start(vm, kinds)
	}
	return fleet
}

// start starts a VM, or starts it again, so that it knows nothing.
func (fleet *testFleet) start(vm, kinds int) {
	feed := New(Config{
		Source:    vmSource{fleet.store, vm},
		Transport: testTransport{fleet, vm},
		Upstreams: func() []Peer { return peersBefore(vm) },
		Kinds:     fleet.kinds(vm, kinds),
		Log:       zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(fleet.group.Context())
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.stops[vm] != nil {
		fleet.stops[vm]()
	}
	fleet.feeds[vm], fleet.stops[vm], fleet.positions[vm] = feed, stop, swplatform.Position{}
	fleet.receivedAt[vm] = make([]time.Time, kinds)
	fleet.group.Go(func(context.Context) { feed.Run(ctx) })
}

// kinds returns a number of kinds that all hold the store's object.
func (fleet *testFleet) kinds(vm, count int) []Kind {
	kinds := make([]Kind, count)
	received := make([]swplatform.Position, count)
	for i := range kinds {
		kinds[i] = Kind{Name: fmt.Sprint("k", i), TracksReachability: true, WatchWait: applyWithin / 2, Receive: func(change swfollow.Change) {
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			if received[i].Before(change.Position) {
				received[i], fleet.receivedAt[vm][i] = change.Position, time.Now()
			}
			fleet.positions[vm] = received[0]
			if i == 0 {
				fleet.recoveredAt[vm] = change.RecoveredAt
			}
		}}
	}
	return kinds
}

func address(vm int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(vm))
}

func peersBefore(vm int) []Peer {
	peers := make([]Peer, vm)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint(i), Address: address(i)}
	}
	return peers
}

// testTransport sends the calls of one VM.
type testTransport struct {
	fleet *testFleet
	vm    int
}

func (testTransport testTransport) Call(ctx context.Context, target netip.AddrPort, _ swpeer.Method, request, reply any) error {
	fleet := testTransport.fleet
	if testTransport.isCut(target) {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	fleet.mutex.Lock()
	feed := fleet.feeds[target.Port()]
	fleet.mutex.Unlock()
	answer, err := feed.HandleFollow(ctx, "", *request.(*FollowRequest))
	if testTransport.isCut(target) {
		// The reply is lost.
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	*reply.(*FollowReply) = answer
	return nil
}

// isCut reports whether no packets pass between the VM and target.
func (testTransport testTransport) isCut(target netip.AddrPort) bool {
	fleet := testTransport.fleet
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.partitioned[testTransport.vm] || fleet.partitioned[int(target.Port())]
}

// expectChange changes the store and checks that the VMs receive the change within a time.
func (fleet *testFleet) expectChange(within time.Duration, vms ...int) {
	fleet.t.Helper()
	fleet.store.change()
	time.Sleep(within)
	synctest.Wait()
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, vm := range vms {
		if diff := cmp.Diff(fleet.store.position, fleet.positions[vm]); diff != "" {
			fleet.t.Errorf("position at VM %d after %s (-want +got):\n%s", vm, within, diff)
		}
	}
}

func TestChangesReachAllVMsThroughTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 12)
		defer fleet.group.Stop()
		time.Sleep(5 * time.Second)
		fleet.store.set(func() { fleet.store.calls = 0 })
		fleet.expectChange(500*time.Millisecond, 0, 1, 5, 11)
		time.Sleep(30*time.Second - 500*time.Millisecond)
		// The first VM makes twenty watches of 1.5 s; the test store counts one or two calls for each.
		if calls := fleet.store.count(); calls > 50 {
			t.Errorf("%d calls of the store in 30s, want at most 50, as one VM makes", calls)
		}
	})
}

func TestVMsFallBackFromUnreachableOrStaleUpstreams(t *testing.T) {
	for name, fault := range map[string]func(fleet *testFleet){
		"first partitioned":     func(fleet *testFleet) { fleet.partitioned[0] = true },
		"first two partitioned": func(fleet *testFleet) { fleet.partitioned[0], fleet.partitioned[1] = true, true },
		"first refused":         func(fleet *testFleet) { fleet.store.refused[0] = true },
		"first three refused":   func(fleet *testFleet) { fleet.store.refused = map[int]bool{0: true, 1: true, 2: true} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTestFleet(t, 8)
				defer fleet.group.Stop()
				time.Sleep(5 * time.Second)
				fleet.mutex.Lock()
				fleet.store.set(func() { fault(fleet) })
				fleet.mutex.Unlock()
				time.Sleep(2500 * time.Millisecond)
				fleet.expectChange(3*time.Second, 4, 5, 6, 7)
			})
		})
	}
}

// applyWithin is the shortest time within which the users' sites ask for a change to be in force. The kind's WatchWait is half of it.
const applyWithin = 3 * time.Second

// TestChangeRightAfterAnUpstreamLostTheStoreArrivesInTime guards against changes that come into force late on VMs that reach the
// store, because the VM that they poll lost it just before the change.
func TestChangeRightAfterAnUpstreamLostTheStoreArrivesInTime(t *testing.T) {
	const vms, phaseStep, faultInterval = 4, 100 * time.Millisecond, 2 * time.Second
	for name, test := range map[string]struct {
		fault func(fleet *testFleet)
		// inTouch is the first VM that can reach the store and its peers.
		inTouch int
		// later is a second fault, faultInterval after the first; it may be nil.
		later func(fleet *testFleet)
	}{
		"first cut from the store":     {func(fleet *testFleet) { fleet.store.silent[0] = true }, 1, nil},
		"first two cut from the store": {func(fleet *testFleet) { fleet.store.silent[0], fleet.store.silent[1] = true, true }, 2, nil},
		"first cut off": {func(fleet *testFleet) {
			fleet.store.silent[0], fleet.partitioned[0] = true, true
		}, 1, nil},
		"first two cut off": {func(fleet *testFleet) {
			fleet.store.silent = map[int]bool{0: true, 1: true}
			fleet.partitioned[0], fleet.partitioned[1] = true, true
		}, 2, nil},
		"first cut from the store, second cut off": {func(fleet *testFleet) {
			fleet.store.silent = map[int]bool{0: true, 1: true}
			fleet.partitioned[1] = true
		}, 2, nil},
		"first cut from the store, then cut off": {func(fleet *testFleet) { fleet.store.silent[0] = true }, 1, func(fleet *testFleet) {
			fleet.partitioned[0] = true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for phase := time.Duration(0); phase < 1500*time.Millisecond; phase += phaseStep {
				for _, sinceFault := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
					synctest.Test(t, func(t *testing.T) {
						fleet := newTestFleetOfKinds(t, vms, 2)
						defer fleet.group.Stop()
						time.Sleep(5*time.Second + phase)
						fleet.mutex.Lock()
						fleet.store.set(func() { test.fault(fleet) })
						fleet.mutex.Unlock()
						time.Sleep(sinceFault)
						changedAt := time.Now()
						fleet.store.change()
						time.Sleep(faultInterval - sinceFault)
						fleet.mutex.Lock()
						if test.later != nil {
							test.later(fleet)
						}
						fleet.mutex.Unlock()
						time.Sleep(10 * time.Second)
						fleet.mutex.Lock()
						defer fleet.mutex.Unlock()
						for vm := test.inTouch; vm < vms; vm++ {
							for _, receivedAt := range fleet.receivedAt[vm] {
								worst = max(worst, receivedAt.Sub(changedAt))
							}
						}
					})
				}
			}
			if worst > applyWithin {
				t.Errorf("a change took %s to arrive at a VM that reaches the store, want at most %s", worst, applyWithin)
			}
		})
	}
}

// TestListingsAfterAnOutageNameTheRecovery guards against the removal of live replicas whose entries lapsed in an outage: a VM whose
// upstream does not reach the store lists it by itself once it is back, first in a probe and then as a follower.
func TestListingsAfterAnOutageNameTheRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleetOfKinds(t, 2, 2)
		defer fleet.group.Stop()
		time.Sleep(5 * time.Second)
		fleet.store.set(func() { fleet.store.down, fleet.store.refused[0] = true, true })
		fleet.store.change()
		time.Sleep(8 * time.Second)
		fleet.store.set(func() { fleet.store.down = false })
		upAt := time.Now()
		received, unnamed := 0, 0
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			fleet.mutex.Lock()
			if fleet.receivedAt[1][0].After(upAt) {
				received++
				if fleet.recoveredAt[1].Before(upAt) {
					unnamed++
				}
			}
			fleet.mutex.Unlock()
		}
		if unnamed > 0 {
			t.Errorf("after the outage, the last change did not name it for %d of %d looks", unnamed, received)
		}
		if received == 0 {
			t.Error("the VM received nothing after the outage")
		}
	})
}

func TestPartitionedVMFollowsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(t, 8)
		defer fleet.group.Stop()
		time.Sleep(5 * time.Second)
		fleet.mutex.Lock()
		fleet.partitioned[6] = true
		fleet.mutex.Unlock()
		fleet.expectChange(4*time.Second, 5, 6, 7)
	})
}

func TestStoreOutageCausesFewCallsAndChangesArriveSoonAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 12
		fleet := newTestFleet(t, vms)
		defer fleet.group.Stop()
		time.Sleep(5 * time.Second)
		fleet.store.set(func() { fleet.store.down, fleet.store.calls = true, 0 })
		// An open watch detects the outage only when a change ends it.
		fleet.store.change()
		time.Sleep(20 * time.Second)
		if perVM := float64(fleet.store.count()) / vms / 20; perVM > 1 {
			t.Errorf("%.2f calls per second and VM of a store that is down, want at most 1", perVM)
		}
		fleet.store.set(func() { fleet.store.down = false })
		fleet.expectChange(3*time.Second, 0, 3, 7, 11)
	})
}

func TestLeavingVMRefusesPolls(t *testing.T) {
	feed := New(Config{Kinds: []Kind{{Name: "k", TracksReachability: true}}})
	feed.Leave()
	if _, err := feed.HandleFollow(t.Context(), "", FollowRequest{Positions: make([]swplatform.Position, 1)}); !errors.Is(err, errLeaving) {
		t.Errorf("error %v, want %v", err, errLeaving)
	}
}

// kindlessTransport replies to every call without any kind of objects.
type kindlessTransport struct{}

func (kindlessTransport) Call(context.Context, netip.AddrPort, swpeer.Method, any, any) error {
	return nil
}

func TestReplyWithoutAllKindsIsReported(t *testing.T) {
	var log bytes.Buffer
	feed := New(Config{Kinds: []Kind{{Name: "k", TracksReachability: true}}, Transport: kindlessTransport{}, Log: zerolog.New(&log)})
	feed.poll(t.Context(), Peer{Name: "a"})
	if !strings.Contains(log.String(), "reply with 0 kinds of objects, want 1") {
		t.Errorf("log %q, want the reason", log.String())
	}
}
