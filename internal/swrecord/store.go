// Package swrecord shares small records between all VMs through the platform's store. Each VM writes its own records as
// objects and receives those of the other VMs as changes of the store.
package swrecord

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// maxWriteAttempts bounds the attempts to write a record; initialWriteBackoff and maxWriteBackoff bound the exponential
	// backoff between them. Together they cover an outage of the store of about ten seconds.
	maxWriteAttempts    = 10
	initialWriteBackoff = 200 * time.Millisecond
	maxWriteBackoff     = 2 * time.Second
	// rewriteSpread is the time over which the VMs whose records the store has lost write them again.
	rewriteSpread = time.Second
)

// Writer writes objects of this project's kinds to the platform's store.
type Writer interface {
	// PutObject creates or replaces an object.
	PutObject(ctx context.Context, kind, name string, value []byte) error
	// DeleteObject removes an object.
	DeleteObject(ctx context.Context, kind, name string) error
}

// Config configures a Store.
type Config struct {
	Writer Writer
	Group  *swgroup.Group
	Log    zerolog.Logger
}

// Store holds the records of all VMs. It is safe for concurrent use.
type Store struct {
	config Config

	mutex       sync.Mutex
	records     map[string]swmember.Record
	subscribers map[string][]func(swmember.Record)
	// writing holds the names of the objects that a goroutine is writing.
	writing map[string]bool
	// own holds the names of the records that this VM has published and that have not expired.
	own map[string]bool
}

// New returns an empty store.
func New(config Config) *Store {
	return &Store{
		config:      config,
		records:     make(map[string]swmember.Record),
		subscribers: make(map[string][]func(swmember.Record)),
		writing:     make(map[string]bool),
		own:         make(map[string]bool),
	}
}

// objectName returns the name of a record's object. Characters that are not allowed in an object's name are replaced.
func objectName(topic, key string) string {
	return swfollow.PrefixRecord + strings.NewReplacer("/", ".", "~", "-").Replace(topic+"."+key)
}

// Put publishes a record of this VM in the background. It reports whether the record supersedes the one held so far.
func (store *Store) Put(record swmember.Record) bool {
	name := objectName(record.Topic, record.Key)
	store.mutex.Lock()
	stored, ok := store.records[name]
	if ok && !record.Supersedes(&stored) {
		store.mutex.Unlock()
		return false
	}
	store.records[name] = record
	store.own[name] = true
	isWriting := store.writing[name]
	store.writing[name] = true
	store.mutex.Unlock()
	if !isWriting {
		store.config.Group.Go(func(ctx context.Context) { store.writeLatest(ctx, name) })
	}
	return true
}

// writeLatest writes the latest record of a name to the platform's store, with retries, until no newer one is waiting.
func (store *Store) writeLatest(ctx context.Context, name string) {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: initialWriteBackoff, MaxDelay: maxWriteBackoff})
	var written *swmember.Record
	for failures := 0; failures < maxWriteAttempts; {
		store.mutex.Lock()
		record := store.records[name]
		if written != nil && record.Version == written.Version {
			store.writing[name] = false
			store.mutex.Unlock()
			store.deleteWhenExpired(ctx, name, record)
			return
		}
		store.mutex.Unlock()
		value, err := json.Marshal(record)
		if err == nil {
			err = store.config.Writer.PutObject(ctx, swfollow.KindShared, name, value)
		}
		if err == nil {
			written, failures = &record, 0
			backoff.Reset()
			continue
		}
		failures++
		store.config.Log.Warn().Err(err).Str("Record", name).Msg("record not written to the platform's store")
		if backoff.Wait(ctx) != nil {
			return
		}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.writing[name] = false
}

// deleteWhenExpired waits until a record expires, and deletes it unless a later one has replaced it.
func (store *Store) deleteWhenExpired(ctx context.Context, name string, record swmember.Record) {
	if record.Expires <= 0 || swtimer.Wait(ctx, record.Expires) != nil {
		return
	}
	store.mutex.Lock()
	stored, ok := store.records[name]
	isCurrent := ok && stored.Version == record.Version
	if isCurrent {
		delete(store.records, name)
		delete(store.own, name)
	}
	store.mutex.Unlock()
	if !isCurrent {
		return
	}
	if err := store.config.Writer.DeleteObject(ctx, swfollow.KindShared, name); err != nil {
		store.config.Log.Warn().Err(err).Str("Record", name).Msg("expired record not deleted from the platform's store")
	}
}

// Get returns the record with the given topic and key.
func (store *Store) Get(topic, key string) (swmember.Record, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	record, ok := store.records[objectName(topic, key)]
	return record, ok
}

// Records returns the records of a topic in unspecified order.
func (store *Store) Records(topic string) []swmember.Record {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var records []swmember.Record
	for _, record := range store.records {
		if record.Topic == topic {
			records = append(records, record)
		}
	}
	return records
}

// Subscribe registers receive to be called with each later record of a topic from another VM; receive must not block.
func (store *Store) Subscribe(topic string, receive func(swmember.Record)) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.subscribers[topic] = append(store.subscribers[topic], receive)
}

// Receive processes a change of the platform's store. Objects that are not valid records are ignored.
func (store *Store) Receive(change swfollow.Change) {
	if change.Full {
		store.removeUnlisted(change.Objects)
		store.rewriteLost(change.Objects)
	}
	for _, object := range change.Objects {
		if object.Deleted {
			store.remove(object.Name)
			continue
		}
		var record swmember.Record
		if json.Unmarshal(object.Value, &record) != nil || objectName(record.Topic, record.Key) != object.Name {
			continue
		}
		for _, receive := range store.storeIfNewer(object.Name, record) {
			receive(record)
		}
	}
}

// remove removes a record that was deleted from the store. A record that this VM is writing stays.
func (store *Store) remove(name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if !store.writing[name] {
		delete(store.records, name)
		delete(store.own, name)
	}
}

// rewriteLost writes this VM's records again that a complete listing of the store lacks or holds in a former version, because the store
// has come back from an older copy. Each is written once, at a random moment.
func (store *Store) rewriteLost(listed []swplatform.Object) {
	values := make(map[string]swmember.Record, len(listed))
	for i := range listed {
		var record swmember.Record
		if json.Unmarshal(listed[i].Value, &record) == nil {
			values[listed[i].Name] = record
		}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for name := range store.own {
		record := store.records[name]
		if stored, ok := values[name]; store.writing[name] || ok && !record.Supersedes(&stored) {
			continue
		}
		store.writing[name] = true
		store.config.Group.Go(func(ctx context.Context) {
			if swtimer.Wait(ctx, time.Duration(rand.Int64N(int64(rewriteSpread)))) == nil {
				store.writeLatest(ctx, name)
			}
		})
	}
}

// removeUnlisted removes the records that a complete listing of the store lacks. This VM's own stay until they expire.
func (store *Store) removeUnlisted(listed []swplatform.Object) {
	names := make(map[string]bool, len(listed))
	for i := range listed {
		names[listed[i].Name] = true
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for name := range store.records {
		if !names[name] && !store.writing[name] && !store.own[name] {
			delete(store.records, name)
		}
	}
}

// storeIfNewer stores a record that supersedes the one held so far, and returns the subscribers to call.
func (store *Store) storeIfNewer(name string, record swmember.Record) []func(swmember.Record) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored, ok := store.records[name]
	if ok && !record.Supersedes(&stored) {
		return nil
	}
	store.records[name] = record
	return store.subscribers[record.Topic]
}
