// Package swrecord spreads small records to all VMs through the platform's store: each VM writes its own, and reads the
// others' as they are followed.
package swrecord

import (
	"context"
	"encoding/json"
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
	// writeTries is how often a record is written before it is given up, writeFirst and writeMost bound the pauses between:
	// about ten seconds, in which an outage of the store may pass.
	writeTries = 10
	writeFirst = 200 * time.Millisecond
	writeMost  = 2 * time.Second
)

// Writer writes objects of the project's own kinds.
type Writer interface {
	PutObject(ctx context.Context, kind, name string, value []byte) error
	DeleteObject(ctx context.Context, kind, name string) error
}

// Config holds what a Board is built from.
type Config struct {
	Writer Writer
	Group  *swgroup.Group
	Log    zerolog.Logger
}

// Board holds the records of all VMs. It is safe for concurrent use.
type Store struct {
	config Config

	mutex       sync.Mutex
	records     map[string]swmember.Record
	subscribers map[string][]func(swmember.Record)
	// writing holds the names of objects whose latest record is being written.
	writing map[string]bool
}

// New returns an empty board.
func New(config Config) *Store {
	return &Store{
		config:      config,
		records:     make(map[string]swmember.Record),
		subscribers: make(map[string][]func(swmember.Record)),
		writing:     make(map[string]bool),
	}
}

// objectName returns the name of a record's object, without the separators of paths.
func objectName(topic, key string) string {
	return swfollow.PrefixRecord + strings.NewReplacer("/", ".", "~", "-").Replace(topic+"."+key)
}

// Put publishes a record of this VM, and reports whether it stands over what the board held.
func (store *Store) Put(record swmember.Record) bool {
	name := objectName(record.Topic, record.Key)
	store.mutex.Lock()
	present, ok := store.records[name]
	if ok && !record.Supersedes(&present) {
		store.mutex.Unlock()
		return false
	}
	store.records[name] = record
	busy := store.writing[name]
	store.writing[name] = true
	store.mutex.Unlock()
	if !busy {
		store.config.Group.Go(func(ctx context.Context) { store.write(ctx, name) })
	}
	return true
}

// write brings the latest record of a name to the store.
func (store *Store) write(ctx context.Context, name string) {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{First: writeFirst, Max: writeMost})
	var written uint64
	for range writeTries {
		store.mutex.Lock()
		record := store.records[name]
		if record.Version == written {
			store.writing[name] = false
			store.mutex.Unlock()
			store.expire(ctx, name, record)
			return
		}
		store.mutex.Unlock()
		value, err := json.Marshal(record)
		if err == nil {
			err = store.config.Writer.PutObject(ctx, swfollow.KindShared, name, value)
		}
		if err == nil {
			written = record.Version
			continue
		}
		store.config.Log.Warn().Err(err).Str("Record", name).Msg("a record did not reach the platform's store")
		if backoff.Wait(ctx) != nil {
			return
		}
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.writing[name] = false
}

// expire removes a record from the store once it is over, unless a later one took its place.
func (store *Store) expire(ctx context.Context, name string, record swmember.Record) {
	if record.Expires <= 0 || swtimer.Wait(ctx, record.Expires) != nil {
		return
	}
	store.mutex.Lock()
	present, ok := store.records[name]
	over := ok && present.Version == record.Version
	if over {
		delete(store.records, name)
	}
	store.mutex.Unlock()
	if !over {
		return
	}
	if err := store.config.Writer.DeleteObject(ctx, swfollow.KindShared, name); err != nil {
		store.config.Log.Warn().Err(err).Str("Record", name).Msg("a record that is over stays in the platform's store")
	}
}

// Get returns the record under a topic and key.
func (store *Store) Get(topic, key string) (swmember.Record, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	record, ok := store.records[objectName(topic, key)]
	return record, ok
}

// Records returns the records of a topic in no order.
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

// Subscribe calls receive for each record of a topic that another VM publishes from now on; receive must not block.
func (store *Store) Subscribe(topic string, receive func(swmember.Record)) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.subscribers[topic] = append(store.subscribers[topic], receive)
}

// Receive takes the records that the store holds.
func (store *Store) Receive(change swfollow.Change) {
	for _, object := range change.Objects {
		var record swmember.Record
		if object.Deleted || json.Unmarshal(object.Value, &record) != nil || objectName(record.Topic, record.Key) != object.Name {
			continue
		}
		for _, receive := range store.accept(object.Name, record) {
			receive(record)
		}
	}
}

// accept keeps a record that stands over what the board held, and returns who is to be told.
func (store *Store) accept(name string, record swmember.Record) []func(swmember.Record) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	present, ok := store.records[name]
	if ok && !record.Supersedes(&present) {
		return nil
	}
	store.records[name] = record
	return store.subscribers[record.Topic]
}
