package swlabusers

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// RecordSize is the size of a record in bytes.
	RecordSize = 16
	// RecordsPerPart is the number of records in each shard's response.
	RecordsPerPart = 6
	// maxQueued is the number of requests that may wait for a slot. A replica rejects more.
	maxQueued = 8
	// cutStride is the step in bytes from the cut of one copy to the next. It is a prime, so that the cuts reach every byte of a response.
	cutStride = 31
)

// Run records that a replica started to run a request.
type Run struct {
	RequestID string
	Service   string
	Replica   string
	At        time.Time
}

// Journal records the runs of all replicas, and the requests that reached a replica although it had told their sender not to send any.
type Journal struct {
	mutex      sync.Mutex
	runs       map[string][]Run
	violations []string
	// arrivals holds the requests that replicas received, if recordsArrivals is set.
	arrivals        []Arrival
	recordsArrivals bool
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{runs: make(map[string][]Run)}
}

func (journal *Journal) add(run Run) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.runs[run.RequestID] = append(journal.runs[run.RequestID], run)
}

func (journal *Journal) addViolation(violation string) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.violations = append(journal.violations, violation)
}

// Violations describes the requests that reached a replica although it had told their sender not to send any.
func (journal *Journal) Violations() []string {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.violations
}

// Runs returns the runs of a request.
func (journal *Journal) Runs(requestID string) []Run {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	return journal.runs[requestID]
}

// IDs returns the IDs of all requests that ran.
func (journal *Journal) IDs() []string {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	ids := make([]string, 0, len(journal.runs))
	for id := range journal.runs {
		ids = append(ids, id)
	}
	return ids
}

// ReplicaFault holds the faults of a replica to simulate. "Every second" and "every third" count all requests that the replica
// receives.
type ReplicaFault struct {
	// ExtraServiceTime is added to the service time of each request.
	ExtraServiceTime time.Duration
	// Shed rejects every second request.
	Shed bool
	// RetryAfter rejects every second request, and asks its sender to send nothing for that time.
	RetryAfter time.Duration
	// RateLimit, if not zero, is the number of requests per second that the replica says that it takes from all VMs.
	RateLimit float64
	// FailAsRejection runs every third request, but fails it with the status of a rejection, without stating that it has not run.
	FailAsRejection bool
	// LoseAnswers runs every third request, but closes its connection without a response.
	LoseAnswers bool
	// DuplicateAnswers sends the response to every third request twice.
	DuplicateAnswers bool
	// LateCopies sends the response to every third request once more, where the next response on its connection is expected.
	LateCopies bool
	// CutCopies does so with the response to every second request, but cuts the copy short.
	CutCopies bool
	// Endless sends bytes without end in place of the response to every second request.
	Endless Endless
	// CrashPathSuffix, if not empty, crashes the replica when it starts to run a request whose path ends in it.
	CrashPathSuffix string
}

// rejectionStatuses are the statuses by which clients conclude that their request has not run.
var rejectionStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// ReplicaConfig holds the parameters of a Replica.
type ReplicaConfig struct {
	ID          string
	Service     string
	Slots       int
	ServiceTime time.Duration
	Journal     *Journal
	// MinAnswer is the number of bytes to which shorter answers are padded.
	MinAnswer int
	// DataCentre is recorded with the requests that the replica receives.
	DataCentre string
	// WarmUp is how long the replica is cold after its start.
	WarmUp time.Duration
}

// Replica simulates one server of a service. Construct it with StartReplica.
type Replica struct {
	config    ReplicaConfig
	startedAt time.Time
	listener  net.Listener
	group     *swgroup.Group
	slots     chan struct{}
	queued    atomic.Int64
	received  atomic.Int64
	leaving   atomic.Bool

	mutex   sync.Mutex
	fault   ReplicaFault
	conns   map[net.Conn]struct{}
	stopped bool
	// cold is the latest time in which the replica is cold.
	cold coldPeriod
	// limitedSince is when the fault with the current rate limit began, and limitedArrivals the latest requests of callers that know it.
	limitedSince    time.Time
	limitedArrivals []time.Time
}

// StartReplica starts a replica on a free loopback port, which serves until Close.
func StartReplica(config ReplicaConfig) (*Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for replica")
	}
	now := time.Now()
	replica := &Replica{
		config: config, startedAt: now, listener: listener, group: swgroup.New(context.Background()),
		slots: make(chan struct{}, config.Slots), conns: make(map[net.Conn]struct{}),
		cold: coldPeriod{from: now, until: now.Add(config.WarmUp)},
	}
	replica.group.Go(replica.accept)
	return replica, nil
}

// Config returns the replica's parameters.
func (replica *Replica) Config() ReplicaConfig {
	return replica.config
}

// Address returns the host and port on which the replica listens.
func (replica *Replica) Address() string {
	return replica.listener.Addr().String()
}

// Entry returns the spec of the replica's object in the store. The address is where clients reach the replica, such as a proxy's.
func (replica *Replica) Entry(address, dataCentre, state string, sequence int) map[string]any {
	return map[string]any{
		"backend": replica.config.Service, "address": address, "zone": dataCentre, "version": "v1", "slots": replica.config.Slots,
		"state": state, "warmup_left_ms": replica.warmUpLeft(time.Now()).Milliseconds(), "sequence": sequence, "born": replica.startedAt.UnixMilli(),
	}
}

// SetFault replaces the faults.
func (replica *Replica) SetFault(fault ReplicaFault) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.fault = fault
	replica.limitedSince, replica.limitedArrivals = time.Now(), nil
}

// Close stops the replica at once and closes its connections, as a crash does.
func (replica *Replica) Close() {
	replica.stop()
	replica.group.Stop()
}

// stop closes the listener and every connection.
func (replica *Replica) stop() {
	replica.listener.Close()
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.stopped = true
	for conn := range replica.conns {
		conn.Close()
	}
}

// HasStopped reports whether the replica was closed or has crashed.
func (replica *Replica) HasStopped() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.stopped
}

func (replica *Replica) accept(context.Context) {
	for {
		conn, err := replica.listener.Accept()
		if err != nil {
			return
		}
		replica.mutex.Lock()
		replica.conns[conn] = struct{}{}
		replica.mutex.Unlock()
		replica.group.Go(func(context.Context) {
			replica.serve(conn)
			conn.Close()
			replica.mutex.Lock()
			delete(replica.conns, conn)
			replica.mutex.Unlock()
		})
	}
}

// serve handles the requests of one connection one after another.
func (replica *Replica) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	caller := &caller{conn: conn}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !caller.sendLateCopy() {
			return
		}
		replica.mutex.Lock()
		fault := replica.fault
		replica.mutex.Unlock()
		requestNumber := replica.received.Add(1)
		if !replica.handle(caller, &fault, requestNumber, request, body) {
			return
		}
		switch {
		case fault.CutCopies && requestNumber%2 == 0:
			caller.late = caller.latest[:int(requestNumber)*cutStride%len(caller.latest)]
		case fault.LateCopies && requestNumber%3 == 0:
			caller.late = caller.latest
		}
	}
}

// handle responds to one request and reports whether the connection stays open.
func (replica *Replica) handle(caller *caller, fault *ReplicaFault, requestNumber int64, request *http.Request, body []byte) bool {
	id := request.Header.Get("X-Request-Id")
	idLine := "X-Request-Id: " + id + "\r\n"
	arrival := replica.arrivalOf(time.Now(), request)
	defer func() { replica.config.Journal.record(arrival) }()
	if answered, open := replica.answersHealthCheck(caller, request); answered {
		return open
	}
	replica.checkArrival(caller, fault, id)
	switch {
	case id == "":
		return caller.respond(http.StatusBadRequest, "X-Not-Executed: 1\r\n", nil)
	case request.Header.Get("X-Target-Instance") != replica.config.ID:
		return caller.respond(http.StatusMisdirectedRequest, idLine+"X-Instance-Id: "+replica.config.ID+"\r\n", nil)
	case fault.RetryAfter > 0 && requestNumber%2 == 0:
		return caller.respond(http.StatusServiceUnavailable, idLine+"X-Not-Executed: 1\r\n"+replica.header(caller, fault, true), nil)
	case fault.Shed && requestNumber%2 == 0 || replica.queued.Load() >= maxQueued:
		// The ID is not always the first field.
		header := "X-Not-Executed: 1\r\nDate: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n" + idLine
		return caller.respond(http.StatusServiceUnavailable, header+replica.header(caller, fault, false), nil)
	}
	replica.queued.Add(1)
	replica.slots <- struct{}{}
	replica.queued.Add(-1)
	defer func() { <-replica.slots }()
	arrival.Ran = true
	replica.config.Journal.add(Run{RequestID: id, Service: replica.config.Service, Replica: replica.config.ID, At: time.Now()})
	if fault.CrashPathSuffix != "" && strings.HasSuffix(request.URL.Path, fault.CrashPathSuffix) {
		replica.stop()
		return false
	}
	time.Sleep(replica.config.ServiceTime + fault.ExtraServiceTime)
	if fault.LoseAnswers && requestNumber%3 == 0 {
		return false
	}
	header := idLine + fmt.Sprintf("X-Server-Stamp: %s\r\nKeep-Alive: timeout=10\r\n", Stamp(replica.config.Service, id))
	header += replica.header(caller, fault, false)
	if fault.FailAsRejection && requestNumber%3 == 0 {
		return caller.respond(rejectionStatuses[requestNumber/6%int64(len(rejectionStatuses))], header, nil)
	}
	answer := replica.answerTo(request, body)
	if fault.Endless != NotEndless && requestNumber%2 == 0 {
		writeEndless(caller.conn, fault.Endless, header, answer)
		return false
	}
	ok := caller.respond(http.StatusOK, header, answer)
	if ok && fault.DuplicateAnswers && requestNumber%3 == 0 {
		ok = caller.respond(http.StatusOK, header, answer)
	}
	return ok
}

// answerTo returns the body of the answer to a request.
func (replica *Replica) answerTo(request *http.Request, body []byte) []byte {
	answer := PartRecords(replica.config.Service, request.RequestURI)
	if request.Method != http.MethodGet {
		answer = EchoDigest(replica.config.Service, request.Method, request.RequestURI, body)
	}
	if missing := replica.config.MinAnswer - len(answer); missing > 0 {
		answer = append(answer, make([]byte, missing)...)
	}
	return answer
}

// respond writes a response and reports whether the connection stays open.
func (caller *caller) respond(status int, header string, body []byte) bool {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	buffer.Write(body)
	caller.latest = buffer.Bytes()
	_, err := caller.conn.Write(caller.latest)
	return err == nil
}

// sendLateCopy writes the copy of an earlier response that is due, if any.
func (caller *caller) sendLateCopy() bool {
	_, err := caller.conn.Write(caller.late)
	caller.late = nil
	return err == nil
}

// Stamp returns the value of the X-Server-Stamp header in a service's response to a request.
func Stamp(service, requestID string) string {
	return service + "." + requestID
}

// PartRecords returns the records in a service's response to a GET request for a path.
func PartRecords(service, path string) []byte {
	var part []byte
	for i := range RecordsPerPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, path, i))
		part = append(part, sum[:RecordSize]...)
	}
	return part
}

// EchoDigest returns the body of a service's response to a request with a body: a digest of the service and the request.
func EchoDigest(service, method, path string, body []byte) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %s %s", service, method, path, body))
	return []byte(hex.EncodeToString(sum[:]))
}
