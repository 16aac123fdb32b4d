package swedit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// fault is an injected fault of one call of a fakeStore.
type fault string

const (
	none       fault = ""
	down       fault = "Down"       // the call fails and has no effect
	lost       fault = "Lost"       // a write takes effect and its response is lost
	dropped    fault = "Dropped"    // a write has no effect and its response is lost
	delayed    fault = "Delayed"    // a write's response is lost and it takes effect just before the next write
	slow       fault = "Slow"       // the call takes 3 s and succeeds
	stale      fault = "Stale"      // a read returns the previous version
	rejected   fault = "Rejected"   // the call is rejected
	lostRival  fault = "LostRival"  // as lost, and a rival edit follows
	rivalFirst fault = "RivalFirst" // a rival edit takes effect before the write
	lostMany   fault = "LostMany"   // as lost, and more edits follow than a document records
	lostForged fault = "LostForged" // as dropped, and an edit follows that is not recorded in the document
)

// fakeStore holds the rules object. Each read takes the next fault from reads, and each write the next from writes.
type fakeStore struct {
	mutex    sync.Mutex
	version  uint64
	value    []byte
	previous swplatform.Object
	reads    []fault
	writes   []fault
	// pending is a delayed write.
	pending func()
	// applied counts the writes that took effect, by edit ID.
	applied map[string]int
}

func newFakeStore(t interface{ Fatal(...any) }, version uint64, document Document) *fakeStore {
	value, err := document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return &fakeStore{version: version, value: value, applied: make(map[string]int)}
}

func nextFault(faults *[]fault) fault {
	if len(*faults) == 0 {
		return none
	}
	first := (*faults)[0]
	*faults = (*faults)[1:]
	return first
}

// sleep waits with the mutex released, so that other calls run while this one is slow.
func (store *fakeStore) sleep() {
	store.mutex.Unlock()
	defer store.mutex.Lock()
	time.Sleep(3 * time.Second)
}

func (store *fakeStore) object() swplatform.Object {
	return swplatform.Object{Kind: KindRules, Name: NameMain, Version: store.version, Value: store.value}
}

func (store *fakeStore) Get(ctx context.Context, _, _ string) (swplatform.Object, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if ctx.Err() != nil {
		return swplatform.Object{}, errors.Join(swplatform.ErrUnavailable, ctx.Err())
	}
	switch nextFault(&store.reads) {
	case down:
		return swplatform.Object{}, swplatform.ErrUnavailable
	case rejected:
		return swplatform.Object{}, swplatform.ErrRejected
	case slow:
		store.sleep()
	case stale:
		return store.previous, nil
	}
	if store.value == nil {
		return swplatform.Object{}, swplatform.ErrNotFound
	}
	return store.object(), nil
}

func (store *fakeStore) Create(_ context.Context, _, _ string, value []byte) (swplatform.Object, error) {
	return store.write(value, func() bool { return store.value == nil })
}

func (store *fakeStore) Update(_ context.Context, _, _ string, version uint64, value []byte) (swplatform.Object, error) {
	return store.write(value, func() bool { return store.value != nil && store.version == version })
}

func (store *fakeStore) write(value []byte, allowed func() bool) (swplatform.Object, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.pending != nil {
		store.pending()
		store.pending = nil
	}
	applyWrite := func() {
		if allowed() {
			store.put(value)
		}
	}
	switch fault := nextFault(&store.writes); fault {
	case down:
		return swplatform.Object{}, swplatform.ErrUnavailable
	case rejected:
		return swplatform.Object{}, swplatform.ErrRejected
	case slow:
		store.sleep()
	case delayed:
		store.pending = applyWrite
		return swplatform.Object{}, swplatform.ErrOutcomeUnknown
	case lost, lostRival, lostMany:
		applyWrite()
		rivals := map[string]int{"LostRival": 1, "LostMany": MaxEdits}[string(fault)]
		for i := range rivals {
			store.applyRivalEdit(fmt.Sprintf("rival-%d", i))
		}
		return swplatform.Object{}, swplatform.ErrOutcomeUnknown
	case dropped:
		return swplatform.Object{}, swplatform.ErrOutcomeUnknown
	case lostForged:
		store.put([]byte(`{"Text":"refuse # by hand"}`))
		return swplatform.Object{}, swplatform.ErrOutcomeUnknown
	case rivalFirst:
		store.applyRivalEdit("rival")
	}
	if !allowed() {
		return swplatform.Object{}, swplatform.ErrConflict
	}
	store.put(value)
	return swplatform.Object{Kind: KindRules, Name: NameMain, Version: store.version}, nil
}

func (store *fakeStore) put(value []byte) {
	store.previous = store.object()
	store.version++
	store.value = value
	if document, err := DecodeDocument(value); err == nil && len(document.Edits) > 0 {
		store.applied[document.Edits[0].ID]++
	}
}

// applyRivalEdit applies an edit by another operator.
func (store *fakeStore) applyRivalEdit(id string) {
	document, err := DecodeDocument(store.value)
	if err != nil {
		document = Document{}
	}
	edit := Edit{ID: id, By: "rival", Base: store.version}
	value, err := document.withEdit("refuse # "+id+"\n", edit).Encode()
	if err == nil {
		store.put(value)
	}
}
