// Package swboard spreads small records to all VMs through the platform's store: each VM writes its own, and reads the
// others' as they are followed.
package swboard

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
type Board struct {
	config Config

	mutex       sync.Mutex
	records     map[string]swmember.Record
	subscribers map[string][]func(swmember.Record)
	// writing holds the names of objects whose latest record is being written.
	writing map[string]bool
}

// New returns an empty board.
func New(config Config) *Board {
	return &Board{
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
func (board *Board) Put(record swmember.Record) bool {
	name := objectName(record.Topic, record.Key)
	board.mutex.Lock()
	present, ok := board.records[name]
	if ok && !record.Supersedes(&present) {
		board.mutex.Unlock()
		return false
	}
	board.records[name] = record
	busy := board.writing[name]
	board.writing[name] = true
	board.mutex.Unlock()
	if !busy {
		board.config.Group.Go(func(ctx context.Context) { board.write(ctx, name) })
	}
	return true
}

// write brings the latest record of a name to the store.
func (board *Board) write(ctx context.Context, name string) {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{First: writeFirst, Max: writeMost})
	var written uint64
	for range writeTries {
		board.mutex.Lock()
		record := board.records[name]
		if record.Version == written {
			board.writing[name] = false
			board.mutex.Unlock()
			board.expire(ctx, name, record)
			return
		}
		board.mutex.Unlock()
		value, err := json.Marshal(record)
		if err == nil {
			err = board.config.Writer.PutObject(ctx, swfollow.KindShared, name, value)
		}
		if err == nil {
			written = record.Version
			continue
		}
		board.config.Log.Warn().Err(err).Str("Record", name).Msg("a record did not reach the platform's store")
		if backoff.Wait(ctx) != nil {
			return
		}
	}
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.writing[name] = false
}

// expire removes a record from the store once it is over, unless a later one took its place.
func (board *Board) expire(ctx context.Context, name string, record swmember.Record) {
	if record.Expires <= 0 || swtimer.Wait(ctx, record.Expires) != nil {
		return
	}
	board.mutex.Lock()
	present, ok := board.records[name]
	over := ok && present.Version == record.Version
	if over {
		delete(board.records, name)
	}
	board.mutex.Unlock()
	if !over {
		return
	}
	if err := board.config.Writer.DeleteObject(ctx, swfollow.KindShared, name); err != nil {
		board.config.Log.Warn().Err(err).Str("Record", name).Msg("a record that is over stays in the platform's store")
	}
}

// Get returns the record under a topic and key.
func (board *Board) Get(topic, key string) (swmember.Record, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	record, ok := board.records[objectName(topic, key)]
	return record, ok
}

// Records returns the records of a topic in no order.
func (board *Board) Records(topic string) []swmember.Record {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var records []swmember.Record
	for _, record := range board.records {
		if record.Topic == topic {
			records = append(records, record)
		}
	}
	return records
}

// Subscribe calls receive for each record of a topic that another VM publishes from now on; receive must not block.
func (board *Board) Subscribe(topic string, receive func(swmember.Record)) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	board.subscribers[topic] = append(board.subscribers[topic], receive)
}

// Receive takes the records that the store holds.
func (board *Board) Receive(change swfollow.Change) {
	for _, object := range change.Objects {
		var record swmember.Record
		if object.Deleted || json.Unmarshal(object.Value, &record) != nil || objectName(record.Topic, record.Key) != object.Name {
			continue
		}
		for _, receive := range board.accept(object.Name, record) {
			receive(record)
		}
	}
}

// accept keeps a record that stands over what the board held, and returns who is to be told.
func (board *Board) accept(name string, record swmember.Record) []func(swmember.Record) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	present, ok := board.records[name]
	if ok && !record.Supersedes(&present) {
		return nil
	}
	board.records[name] = record
	return board.subscribers[record.Topic]
}
