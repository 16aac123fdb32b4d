package swrollout

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// platformDelay is the response time of the platform.
const platformDelay = 5 * time.Millisecond

// fakePlatform is an object store in memory that can simulate the faults of a real one.
type fakePlatform struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]swplatform.Object
	changed  chan struct{}
	calls    map[string]int
	vms      []swplatform.VM
	// down makes every call fail.
	down bool
	// delay is added to every call.
	delay time.Duration
	// silent makes watches return no changes.
	silent bool
	// hanging makes watches never return.
	hanging bool
	// loseAnswers makes writes take effect but return an error.
	loseAnswers bool
	// stale holds objects that reads return in place of the current ones.
	stale map[string]swplatform.Object
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		objects: make(map[string]swplatform.Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
	}
}

// change changes the platform with the mutex held and wakes the watches.
func (platform *fakePlatform) change(alter func()) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	alter()
	close(platform.changed)
	platform.changed = make(chan struct{})
}

// put stores an object as an operator would, and returns its version.
func (platform *fakePlatform) put(kind, name, value string) (version uint64) {
	platform.change(func() { version = platform.store(kind, name, []byte(value)).Version })
	return version
}

func (platform *fakePlatform) store(kind, name string, value []byte) swplatform.Object {
	platform.revision++
	object := platform.objects[kind+"/"+name]
	object = swplatform.Object{Kind: kind, Name: name, Version: object.Version + 1, Position: swplatform.Position{Revision: platform.revision}, Value: value}
	platform.objects[kind+"/"+name] = object
	return object
}

// beginCall counts a call, waits for the response time, and fails while the platform is down.
func (platform *fakePlatform) beginCall(ctx context.Context, operation string) error {
	platform.mutex.Lock()
	platform.calls[operation]++
	delay := platformDelay + platform.delay
	platform.mutex.Unlock()
	wait(ctx, delay)
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if platform.down || ctx.Err() != nil {
		return &swplatform.Error{Operation: operation, Reason: swplatform.ErrUnavailable}
	}
	return nil
}

func (platform *fakePlatform) Get(ctx context.Context, kind, name string) (swplatform.Object, error) {
	if err := platform.beginCall(ctx, "get"); err != nil {
		return swplatform.Object{}, err
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if object, ok := platform.stale[kind+"/"+name]; ok {
		return object, nil
	}
	object, ok := platform.objects[kind+"/"+name]
	if !ok {
		return swplatform.Object{}, &swplatform.Error{Operation: "get", Reason: swplatform.ErrNotFound}
	}
	return object, nil
}

func (platform *fakePlatform) List(ctx context.Context, kind, _ string) (uint64, []swplatform.ObjectVersion, error) {
	if err := platform.beginCall(ctx, "list"); err != nil {
		return 0, nil, err
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	var versions []swplatform.ObjectVersion
	for _, object := range platform.since(kind, 0) {
		versions = append(versions, swplatform.ObjectVersion{Name: object.Name, Version: object.Version})
	}
	return platform.revision, versions, nil
}

// since returns the objects of a kind with a revision above after. The caller holds the mutex.
func (platform *fakePlatform) since(kind string, after uint64) []swplatform.Object {
	var objects []swplatform.Object
	for _, object := range platform.objects {
		if object.Kind == kind && object.Position.Revision > after {
			objects = append(objects, object)
		}
	}
	slices.SortFunc(objects, func(a, b swplatform.Object) int { return strings.Compare(a.Name, b.Name) })
	return objects
}

func (platform *fakePlatform) Create(ctx context.Context, kind, name string, value []byte) (swplatform.Object, error) {
	return platform.write(ctx, "create", kind, name, 0, value)
}

func (platform *fakePlatform) Update(ctx context.Context, kind, name string, version uint64, value []byte) (swplatform.Object, error) {
	return platform.write(ctx, "update", kind, name, version, value)
}

func (platform *fakePlatform) write(ctx context.Context, operation, kind, name string, version uint64, value []byte) (swplatform.Object, error) {
	if err := platform.beginCall(ctx, operation); err != nil {
		return swplatform.Object{}, err
	}
	var object swplatform.Object
	var err error
	platform.change(func() {
		if platform.objects[kind+"/"+name].Version != version {
			err = &swplatform.Error{Operation: operation, Reason: swplatform.ErrConflict}
			return
		}
		object = platform.store(kind, name, value)
		if platform.loseAnswers {
			object, err = swplatform.Object{}, &swplatform.Error{Operation: operation, Reason: swplatform.ErrOutcomeUnknown}
		}
	})
	return object, err
}

func (platform *fakePlatform) Watch(ctx context.Context, kind string, after uint64, limit time.Duration) (swplatform.WatchResult, error) {
	if err := platform.beginCall(ctx, "watch"); err != nil {
		return swplatform.WatchResult{Revision: after}, err
	}
	platform.mutex.Lock()
	hanging := platform.hanging
	platform.mutex.Unlock()
	if hanging {
		<-ctx.Done()
		return swplatform.WatchResult{Revision: after}, &swplatform.Error{Operation: "watch", Reason: swplatform.ErrUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		platform.mutex.Lock()
		objects, revision, changed := platform.since(kind, after), platform.revision, platform.changed
		silent, down := platform.silent || platform.hanging, platform.down
		platform.mutex.Unlock()
		switch {
		case down:
			return swplatform.WatchResult{Revision: after}, &swplatform.Error{Operation: "watch", Reason: swplatform.ErrUnavailable}
		case len(objects) > 0 && !silent:
			return swplatform.WatchResult{Revision: revision, Objects: objects}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return swplatform.WatchResult{Revision: after}, nil
		}
	}
}

func (platform *fakePlatform) VMs(ctx context.Context, dataCentre string) ([]swplatform.VM, error) {
	if err := platform.beginCall(ctx, "vms"); err != nil {
		return nil, err
	}
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(platform.vms), func(vm swplatform.VM) bool {
		return dataCentre != "" && vm.DataCentre != dataCentre
	}), nil
}

// takeCalls returns the number of calls by operation, and resets the counts.
func (platform *fakePlatform) takeCalls() map[string]int {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	calls := platform.calls
	platform.calls = make(map[string]int)
	return calls
}
