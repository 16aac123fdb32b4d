package swlabbackend

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Outcome says how the run of a request on a backend server ended.
type Outcome int

// Outcomes of a run.
const (
	Finished  Outcome = 0
	Late      Outcome = 1
	Cancelled Outcome = 2
	Crashed   Outcome = 3
)

// Record describes one request that a backend server started to run.
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
	// Tag is the tag in the query text.
	Tag     string
	Started time.Time
	Ended   time.Time
	Outcome Outcome
	// SinceLeaving is the time between StartLeaving and the arrival of the request, or zero.
	SinceLeaving time.Duration
}

// Journal collects the records of several servers. It is safe for concurrent use.
type Journal struct {
	mutex    sync.Mutex
	records  []Record
	refusals map[string]int64
	arrivals []Arrival
}

// Arrival is a request that reached a server which had started to leave.
type Arrival struct {
	Server       string
	SinceLeaving time.Duration
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{refusals: make(map[string]int64)}
}

func (journal *Journal) addRecord(record Record) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.records = append(journal.records, record)
}

func (journal *Journal) countRefusal(code string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.refusals[code]++
}

func (journal *Journal) addArrival(arrival Arrival) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.arrivals = append(journal.arrivals, arrival)
}

// Records returns the records of all runs that have ended.
func (journal *Journal) Records() []Record {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return slices.Clone(journal.records)
}

// Refusals returns the number of error responses by code.
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
