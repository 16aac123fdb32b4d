package swlabbackend

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Outcome is how a run at a backend server ended.
type Outcome int

// The outcomes.
const (
	Finished  Outcome = 0
	Late      Outcome = 1
	Cancelled Outcome = 2
	Crashed   Outcome = 3
)

// Record is one request that a backend server began to run.
type Record struct {
	Server   string
	QueryID  string
	Attempt  string
	Index    string
	Snapshot string
	Shard    int
	Kind     string
	Caller   string
	RunKey   string
	// Tag is the name that the query text gives its request.
	Tag     string
	Started time.Time
	Ended   time.Time
	Outcome Outcome
	// SinceLeaving is the time from the server's leaving to the arrival of the request, or zero.
	SinceLeaving time.Duration
}

// Journal collects the records of many servers.
type Journal struct {
	mutex    sync.Mutex
	records  []Record
	refusals map[string]int64
	arrivals []Arrival
}

// Arrival is a request that reached a server after it had announced that it leaves.
type Arrival struct {
	Server       string
	SinceLeaving time.Duration
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{refusals: make(map[string]int64)}
}

func (journal *Journal) add(record Record) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.records = append(journal.records, record)
}

func (journal *Journal) refuse(code string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.refusals[code]++
}

func (journal *Journal) arrive(arrival Arrival) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.arrivals = append(journal.arrivals, arrival)
}

// Records returns every run so far.
func (journal *Journal) Records() []Record {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return slices.Clone(journal.records)
}

// Refusals returns the numbers of requests that got no answer, by code.
func (journal *Journal) Refusals() map[string]int64 {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return maps.Clone(journal.refusals)
}

// Arrivals returns the requests that reached leaving servers.
func (journal *Journal) Arrivals() []Arrival {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return slices.Clone(journal.arrivals)
}
