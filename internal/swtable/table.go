// Package swtable holds a map split into shards, each under its own lock.
package swtable

import (
	"hash/maphash"
	"sync"
)

// shardCount is the number of independently locked parts of a table.
const shardCount = 32

// Table is a concurrent map. Construct it with New.
type Table[Key comparable, Value any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[Key, Value]
}

type shard[Key comparable, Value any] struct {
	mutex   sync.Mutex
	entries map[Key]Value
}

// New returns an empty table.
func New[Key comparable, Value any]() *Table[Key, Value] {
	table := &Table[Key, Value]{seed: maphash.MakeSeed()}
	for i := range table.shards {
		table.shards[i].entries = make(map[Key]Value)
	}
	return table
}

func (table *Table[Key, Value]) shard(key Key) *shard[Key, Value] {
	return &table.shards[maphash.Comparable(table.seed, key)%shardCount]
}

// Get returns the value under key and whether it was present.
func (table *Table[Key, Value]) Get(key Key) (Value, bool) {
	shard := table.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	value, ok := shard.entries[key]
	return value, ok
}

// Put stores value under key.
func (table *Table[Key, Value]) Put(key Key, value Value) {
	shard := table.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.entries[key] = value
}

// Delete removes key.
func (table *Table[Key, Value]) Delete(key Key) {
	shard := table.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	delete(shard.entries, key)
}

// GetOrPut returns the value under key, first storing the result of build when the key is absent.
// build runs under the shard's lock and must not use the table.
func (table *Table[Key, Value]) GetOrPut(key Key, build func() Value) Value {
	shard := table.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	value, ok := shard.entries[key]
	if !ok {
		value = build()
		shard.entries[key] = value
	}
	return value
}

// Update replaces the value under key by the result of change, which sees the present value, if any.
// When keep is false the key is removed. change runs under the shard's lock and must not use the table.
func (table *Table[Key, Value]) Update(key Key, change func(value Value, present bool) (next Value, keep bool)) {
	shard := table.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	value, present := shard.entries[key]
	next, keep := change(value, present)
	if !keep {
		delete(shard.entries, key)
		return
	}
	shard.entries[key] = next
}

// Range calls visit for every entry until it returns false. The shard being visited is locked; visit must not use the table.
func (table *Table[Key, Value]) Range(visit func(key Key, value Value) bool) {
	for i := range table.shards {
		if !table.shards[i].visit(visit) {
			return
		}
	}
}

func (shard *shard[Key, Value]) visit(visit func(key Key, value Value) bool) bool {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	for key, value := range shard.entries {
		if !visit(key, value) {
			return false
		}
	}
	return true
}

// Len returns the number of entries.
func (table *Table[Key, Value]) Len() int {
	total := 0
	for i := range table.shards {
		table.shards[i].mutex.Lock()
		total += len(table.shards[i].entries)
		table.shards[i].mutex.Unlock()
	}
	return total
}
