package swlabusers

import (
	"net/http"
	"strconv"
	"time"
)

// Arrival is a request as a replica received it.
type Arrival struct {
	At         time.Time
	RequestID  string
	Path       string
	Replica    string
	DataCentre string
	// Credential is set if the request has the header in which clients send their keys. Tenants holds the values of the header that names
	// the tenant.
	Credential bool
	Tenants    []string
	// Misdirected requests were meant for another replica.
	Misdirected bool
	// Ran is set if the replica ran the request.
	Ran bool
	// ColdSince is when the replica became cold; the zero time if it was warm. ColdInUse is set if it had been warm before.
	ColdSince time.Time
	ColdInUse bool
}

// Headers of tenants and of cold replicas.
const (
	headerCredential = "X-Credential"
	headerTenant     = "X-Tenant-Id"
	headerWarmUp     = "X-Warmup-Ms"
)

// RecordArrivals makes the replicas record every request that they receive, and answer health checks.
func (journal *Journal) RecordArrivals() {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.recordsArrivals = true
}

// Arrivals returns the requests that replicas received since RecordArrivals was called, in the order in which their handling ended.
func (journal *Journal) Arrivals() []Arrival {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.arrivals
}

// record records a request, unless arrivals are not recorded.
func (journal *Journal) record(arrival Arrival) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.recordsArrivals {
		journal.arrivals = append(journal.arrivals, arrival)
	}
}

// checksHealth reports whether replicas answer health checks.
func (journal *Journal) checksHealth() bool {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.recordsArrivals
}

// coldPeriod is a time in which a replica is cold.
type coldPeriod struct {
	from, until time.Time
	inUse       bool
}

// BecomeCold makes the replica cold for a time.
func (replica *Replica) BecomeCold(duration time.Duration) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	now := time.Now()
	replica.cold = coldPeriod{from: now, until: now.Add(duration), inUse: true}
}

// warmUpLeft returns for how much longer the replica is cold.
func (replica *Replica) warmUpLeft(now time.Time) time.Duration {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return max(0, replica.cold.until.Sub(now))
}

// arrivalOf returns what is recorded of a request.
func (replica *Replica) arrivalOf(now time.Time, request *http.Request) Arrival {
	target := request.Header.Get("X-Target-Instance")
	arrival := Arrival{
		At: now, RequestID: request.Header.Get("X-Request-Id"), Path: request.URL.Path, Replica: replica.config.ID, DataCentre: replica.config.DataCentre,
		Credential: len(request.Header.Values(headerCredential)) > 0, Tenants: request.Header.Values(headerTenant),
		Misdirected: target != "" && target != replica.config.ID,
	}
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if now.Before(replica.cold.until) {
		arrival.ColdSince, arrival.ColdInUse = replica.cold.from, replica.cold.inUse
	}
	return arrival
}

// healthPath is the path of health checks.
const healthPath = "/healthz"

// answersHealthCheck answers a health check, if the request is one and arrivals are recorded. open reports whether the connection stays
// open.
func (replica *Replica) answersHealthCheck(caller *caller, request *http.Request) (answered, open bool) {
	if request.URL.Path != healthPath || !replica.config.Journal.checksHealth() {
		return false, true
	}
	left := replica.warmUpLeft(time.Now()).Milliseconds()
	return true, caller.respond(http.StatusOK, headerWarmUp+": "+strconv.FormatInt(left, 10)+"\r\n", nil)
}
