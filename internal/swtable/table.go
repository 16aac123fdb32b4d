// Package swtable provides a concurrent map that is split into shards, each with its own lock.
package swtable

import (
	"hash/maphash"
	"sync"
)

// shardCount is the number of shards of a table.
const shardCount = 32

// Table is a sharded concurrent map. Construct it with New.
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

// Get returns the value stored under key, and whether there is one.
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

// Delete removes key and its value.
func (table *Table[Key, Value]) Delete(key Key) {
	shard := table.shard(key)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	delete(shard.entries, key)
}

// GetOrPut returns the value stored under key. If there is none, it stores and returns the result of build, which is called at
// most once. build runs under the shard's lock and must not use the table.
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

// Update replaces the value stored under key with the result of change, which receives the present value, if there is one. If
// keep is false, the key is removed. change runs under the shard's lock and must not use the table.
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

// Range calls visit for every entry until visit returns false. It locks one shard at a time, so it is not a snapshot of the
// table. visit runs under the shard's lock and must not use the table.
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

// Len returns the number of entries. It locks one shard at a time, so concurrent changes may be counted in part.
func (table *Table[Key, Value]) Len() int {
	total := 0
	for i := range table.shards {
		table.shards[i].mutex.Lock()
		total += len(table.shards[i].entries)
		table.shards[i].mutex.Unlock()
	}
	return total
}
