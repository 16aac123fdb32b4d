package swconn

import (
	"bytes"
	"runtime"
	"sync/atomic"
)

const (
	// freeSize is the number of bytes that each response holds without counting towards Memory, so that small responses are read whatever
	// other servers send.
	freeSize = 16 << 10
	// FieldOverhead is what a header field takes in memory beyond its bytes, in bytes: its place in the map, its slice and its strings.
	FieldOverhead = 128
)

// Memory bounds the bytes that many connections hold together, such as those of responses that are being read, and of complete ones until
// their Release. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
	// onPressure is called when a reservation leaves less than pressureFraction of the limit, with the bytes that are missing. It may be nil.
	onPressure func(missing int64)
}

// pressureFraction is the fraction of a Memory that its owner tries to keep free. What it frees is available a moment later only.
const pressureFraction = 1.0 / 8

// NewMemory returns a Memory of a number of bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// OnPressure sets a function that frees memory when little is left. It is called before the first Reserve.
func (memory *Memory) OnPressure(free func(missing int64)) {
	memory.onPressure = free
}

// Reserve takes a number of bytes and reports whether they were available. A nil Memory has no limit.
func (memory *Memory) Reserve(size int64) bool {
	if memory == nil {
		return true
	}
	used := memory.used.Add(size)
	if missing := used - int64((1-pressureFraction)*float64(memory.limit)); missing > 0 && memory.onPressure != nil {
		memory.onPressure(missing)
	}
	if used <= memory.limit {
		return true
	}
	memory.used.Add(-size)
	return false
}

// Force takes a number of bytes that are in use already, whether or not they are available.
func (memory *Memory) Force(size int64) {
	if memory != nil {
		memory.used.Add(size)
	}
}

// Release gives back a number of bytes.
func (memory *Memory) Release(size int64) {
	if memory != nil {
		memory.used.Add(-size)
	}
}

// Used returns the number of bytes that are taken.
func (memory *Memory) Used() int64 {
	return memory.used.Load()
}

// limitError is the error of a response that does not fit.
func (memory *Memory) limitError() error {
	return &LimitError{Exceeded: "the memory for responses, with this one", Limit: int(memory.limit)}
}

// Hold counts a response that another VM has read until its Release, and reports whether it fits.
func (memory *Memory) Hold(response *Response) bool {
	holding := holding{memory: memory}
	size := cap(response.Body)
	for name, values := range response.Header {
		for _, value := range values {
			size += len(name) + len(value) + FieldOverhead
		}
	}
	if !holding.grow(size) {
		return false
	}
	holding.attach(response)
	return true
}

// holding is what the response that is being read holds.
type holding struct {
	memory *Memory
	// size is the number of bytes that the response holds, and counted the part of it that counts towards the Memory.
	size    int64
	counted int64
}

// grow adds to what the response holds, and reports whether it still fits.
func (holding *holding) grow(size int) bool {
	holding.size += int64(size)
	more := holding.size - freeSize - holding.counted
	if more <= 0 {
		return true
	}
	if !holding.memory.Reserve(more) {
		return false
	}
	holding.counted += more
	return true
}

// release gives back what is counted.
func (holding *holding) release() {
	holding.memory.Release(holding.counted)
	holding.counted = 0
}

// attach passes what is counted on to the response, whose Release gives it back. If nobody calls that, the end of the response does.
func (holding *holding) attach(response *Response) {
	if holding.memory == nil || holding.counted == 0 {
		return
	}
	held := &heldBytes{memory: holding.memory}
	held.size.Store(holding.counted)
	holding.counted = 0
	response.held = held
	runtime.AddCleanup(response, (*heldBytes).release, held)
}

// heldBytes is what a complete response counts towards a Memory.
type heldBytes struct {
	memory *Memory
	size   atomic.Int64
}

func (heldBytes *heldBytes) release() {
	heldBytes.memory.Release(heldBytes.size.Swap(0))
}

// Release ends the counting of a response whose header and body are no longer used. It may be called more than once, and for nil.
func (response *Response) Release() {
	if response != nil && response.held != nil {
		response.held.release()
	}
}

// Counts reports whether the response counts towards a Memory, as it is larger than what each response holds without counting.
func (response *Response) Counts() bool {
	return response != nil && response.held != nil
}

// headerCost returns the bytes that a part of a header takes in memory once it is parsed.
func headerCost(data []byte) int {
	return len(data) + FieldOverhead*bytes.Count(data, []byte{'\n'})
}
