// Package swfeed brings the objects of the platform's store to every VM at the price of one reader a data centre: one VM
// follows the store itself, the others follow that VM, and each of them falls back on the next VM and in the end on the
// store when it hears nothing new.
package swfeed

import (
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swpack"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// maxLog is the number of changes of a kind that a cache keeps for peers that lag; one that lags further gets the whole.
const maxLog = 1024

// cache holds the objects of one kind as of a revision of the store, and the latest changes.
type cache struct {
	mutex    sync.Mutex
	objects  map[string]swplatform.Object
	revision uint64
	// log holds the latest changes; floor is the revision before the first of them.
	log   []loggedObject
	floor uint64
	// regained is when the store last came back after an outage.
	regained time.Time
	synced   bool
	// packed holds the compressed values of large objects, once a peer has asked for them.
	packed map[string]packedValue
}

// packedValue is the compressed value of an object at a revision; nothing where compression failed.
type packedValue struct {
	revision uint64
	value    []byte
}

// loggedObject is a changed or deleted object with the revision at which the change became known.
type loggedObject struct {
	swplatform.Object
	at uint64
}

func newCache() *cache {
	return &cache{objects: make(map[string]swplatform.Object), packed: make(map[string]packedValue)}
}

// apply takes a change. It reports false for one that is older than what the cache holds.
func (cache *cache) apply(change swfollow.Change) bool {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if cache.synced && change.Revision < cache.revision || !cache.synced && !change.Full {
		return false
	}
	if change.RecoveredAt.After(cache.regained) {
		cache.regained = change.RecoveredAt
	}
	if change.Full {
		cache.applyWhole(change)
	} else {
		for _, object := range change.Objects {
			cache.put(object, change.Revision)
		}
	}
	cache.revision = change.Revision
	cache.synced = true
	return true
}

// applyWhole replaces all objects and logs the difference. The caller holds the mutex.
func (cache *cache) applyWhole(change swfollow.Change) {
	if !cache.synced {
		cache.floor = change.Revision
	}
	present := make(map[string]bool, len(change.Objects))
	for _, object := range change.Objects {
		present[object.Name] = true
		if known, ok := cache.objects[object.Name]; !ok || known.Revision != object.Revision {
			cache.put(object, change.Revision)
		}
	}
	for name, object := range cache.objects {
		if !present[name] {
			object.Deleted = true
			cache.put(object, change.Revision)
		}
	}
}

// put takes one object. The caller holds the mutex.
func (cache *cache) put(object swplatform.Object, at uint64) {
	if object.Deleted {
		delete(cache.objects, object.Name)
		delete(cache.packed, object.Name)
	} else {
		cache.objects[object.Name] = object
	}
	if len(cache.log) == maxLog {
		half := maxLog / 2
		cache.floor = cache.log[half-1].at
		cache.log = append(cache.log[:0], cache.log[half:]...)
	}
	cache.log = append(cache.log, loggedObject{Object: object, at: at})
}

// since returns what changed after a revision, or the whole where that is no longer known. ok is false while there is
// nothing newer.
func (cache *cache) since(revision uint64) (change swfollow.Change, ok bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if !cache.synced || revision >= cache.revision {
		return swfollow.Change{}, false
	}
	change = swfollow.Change{Revision: cache.revision, RecoveredAt: cache.regained}
	if revision < cache.floor || revision == 0 {
		change.Full = true
		for _, object := range cache.objects {
			change.Objects = append(change.Objects, object)
		}
		return change, true
	}
	for _, logged := range cache.log {
		if logged.at > revision {
			change.Objects = append(change.Objects, logged.Object)
		}
	}
	return change, true
}

// current returns the revision up to which the cache goes; zero while it holds nothing.
func (cache *cache) current() uint64 {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	return cache.revision
}

// pack returns the compressed value of a large object, made once for all peers, or nothing for one that travels as it is.
func (cache *cache) pack(object *swplatform.Object) []byte {
	if len(object.Value) < packFrom {
		return nil
	}
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	known, ok := cache.packed[object.Name]
	if ok && known.revision == object.Revision {
		return known.value
	}
	value, err := swpack.Compress(object.Value)
	if err != nil {
		// It travels as it is.
		value = nil
	}
	cache.packed[object.Name] = packedValue{revision: object.Revision, value: value}
	return value
}
