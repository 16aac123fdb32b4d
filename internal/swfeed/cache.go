package swfeed

import (
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swpack"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// maxLoggedChanges is the number of changes of a kind that a cache keeps for peers that lag. A peer that lags further
// receives all objects.
const maxLoggedChanges = 1024

// cache holds the objects of one kind as of a position of the store, and a log of which of them changed latest.
type cache struct {
	// keeps is Kind.Keeps; it may be nil.
	keeps    func(held, arrived *swplatform.Object) bool
	mutex    sync.Mutex
	objects  map[string]swplatform.Object
	position swplatform.Position
	// changes is the log of the latest changes of the position's era; it is complete for the positions after basePosition.
	changes      []loggedChange
	basePosition swplatform.Position
	// recoveredAt is when the store last recovered from an outage.
	recoveredAt time.Time
	// synced is set after the first listing.
	synced bool
	// compressed caches the compressed values of large objects that a peer has requested.
	compressed map[string]compressedValue
}

// compressedValue is the compressed value of an object at a position; the value is nil where compression failed.
type compressedValue struct {
	position swplatform.Position
	value    []byte
}

// loggedChange says that an object changed, or was deleted. It holds no value, so that the log stays small however large the objects are: a peer
// that lags receives the present state of each object, not the steps to it.
type loggedChange struct {
	// object is without its value.
	object swplatform.Object
	// knownAt is the position at which this VM learned of the change.
	knownAt swplatform.Position
}

func newCache(keeps func(held, arrived *swplatform.Object) bool) *cache {
	return &cache{keeps: keeps, objects: make(map[string]swplatform.Object), compressed: make(map[string]compressedValue)}
}

// apply applies a change, and returns when the store last recovered from an outage or came back from an older copy. ok is false for a
// change that is older than the cache, and for an incremental one before the first listing of the store's era.
func (cache *cache) apply(change swfollow.Change) (recoveredAt time.Time, ok bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	isNewEra := change.Position.Era > cache.position.Era
	if cache.synced && change.Position.Before(cache.position) || (!cache.synced || isNewEra) && !change.Full {
		return cache.recoveredAt, false
	}
	if change.RecoveredAt.After(cache.recoveredAt) {
		cache.recoveredAt = change.RecoveredAt
	} else if cache.synced && isNewEra {
		// The writers of objects that are not in the store's copy write them again, as after an outage.
		cache.recoveredAt = time.Now()
	}
	if isNewEra {
		cache.changes, cache.basePosition = nil, change.Position
	}
	if change.Full {
		cache.applyFull(change)
	} else {
		for _, object := range change.Objects {
			cache.put(object, change.Position)
		}
	}
	cache.position = change.Position
	cache.synced = true
	return cache.recoveredAt, true
}

// applyFull replaces all objects and logs the difference. The caller holds the mutex.
func (cache *cache) applyFull(change swfollow.Change) {
	if !cache.synced {
		cache.basePosition = change.Position
	}
	listed := make(map[string]bool, len(change.Objects))
	for _, object := range change.Objects {
		listed[object.Name] = true
		if known, ok := cache.objects[object.Name]; !ok || known.Position != object.Position {
			cache.put(object, change.Position)
		}
	}
	for name, object := range cache.objects {
		if !listed[name] {
			cache.put(swplatform.Object{Kind: object.Kind, Name: name, Position: change.Position, Deleted: true}, change.Position)
		}
	}
}

// put stores or deletes one object, unless the held one is kept, and logs the change, dropping the older half of a full log. The caller
// holds the mutex.
func (cache *cache) put(object swplatform.Object, at swplatform.Position) {
	if held, ok := cache.objects[object.Name]; ok && cache.keeps != nil && cache.keeps(&held, &object) {
		return
	}
	if object.Deleted {
		delete(cache.objects, object.Name)
		delete(cache.compressed, object.Name)
	} else {
		cache.objects[object.Name] = object
	}
	if len(cache.changes) == maxLoggedChanges {
		half := maxLoggedChanges / 2
		cache.basePosition = cache.changes[half-1].knownAt
		cache.changes = append(cache.changes[:0], cache.changes[half:]...)
	}
	object.Value = nil
	cache.changes = append(cache.changes, loggedChange{object: object, knownAt: at})
}

// changesSince returns the present state of each object that changed after a position, or all objects if the log does not reach back
// that far. ok is false if nothing has changed since.
func (cache *cache) changesSince(position swplatform.Position) (change swfollow.Change, ok bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if !cache.synced || !position.Before(cache.position) {
		return swfollow.Change{}, false
	}
	change = swfollow.Change{Position: cache.position, RecoveredAt: cache.recoveredAt}
	if position.Before(cache.basePosition) || position.IsZero() {
		change.Full = true
		for _, object := range cache.objects {
			change.Objects = append(change.Objects, object)
		}
		return change, true
	}
	latest := make(map[string]int)
	for i, logged := range cache.changes {
		if position.Before(logged.knownAt) {
			latest[logged.object.Name] = i
		}
	}
	for i, logged := range cache.changes {
		if last, changed := latest[logged.object.Name]; !changed || last != i {
			continue
		}
		object := logged.object
		if !object.Deleted {
			object = cache.objects[object.Name]
		}
		change.Objects = append(change.Objects, object)
	}
	return change, true
}

// currentPosition returns the cache's position; it is zero before the first listing.
func (cache *cache) currentPosition() swplatform.Position {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	return cache.position
}

// compress returns the cached compressed value of a large object, or nil for an object that is sent uncompressed.
func (cache *cache) compress(object *swplatform.Object) []byte {
	if len(object.Value) < minCompressedSize {
		return nil
	}
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	known, ok := cache.compressed[object.Name]
	if ok && known.position == object.Position {
		return known.value
	}
	value, err := swpack.Compress(object.Value)
	if err != nil {
		// The object is sent uncompressed.
		value = nil
	}
	cache.compressed[object.Name] = compressedValue{position: object.Position, value: value}
	return value
}
