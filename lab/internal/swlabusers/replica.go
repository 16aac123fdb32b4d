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
	// RecordsPerPart is the number of records in each shard's answer.
	RecordsPerPart = 6
	// queueSize is the number of requests that wait for a slot before a replica rejects.
	queueSize = 8
)

// Run is a request that a replica began to work on.
type Run struct {
	RequestID string
	Service   string
	Replica   string
	At        time.Time
}

// Journal holds what all replicas ran.
type Journal struct {
	mutex sync.Mutex
	runs  map[string][]Run
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

// ReplicaFault is how a replica misbehaves. Counts are of the requests to come.
type ReplicaFault struct {
	// Slow is added to the work of each request.
	ExtraServiceTime time.Duration
	// Shed rejects every second request, Lose runs every third and closes its connection, Extra answers every third twice.
	Shed             bool
	LoseAnswers      bool
	DuplicateAnswers bool
	// Crash ends the replica when it begins a request whose path has this suffix.
	CrashPathSuffix string
}

// ReplicaConfig holds what a Replica is built from.
type ReplicaConfig struct {
	ID          string
	Service     string
	Slots       int
	ServiceTime time.Duration
	Journal     *Journal
}

// Replica is one replica. Construct it with StartReplica.
type Replica struct {
	config   ReplicaConfig
	born     time.Time
	listener net.Listener
	group    *swgroup.Group
	slots    chan struct{}
	queued   atomic.Int64
	served   atomic.Int64

	mutex sync.Mutex
	fault ReplicaFault
	conns map[net.Conn]struct{}
	ended bool
}

// StartReplica serves on a free port of loopback until Close.
func StartReplica(config ReplicaConfig) (*Replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for replica")
	}
	replica := &Replica{
		config: config, born: time.Now(), listener: listener, group: swgroup.New(context.Background()),
		slots: make(chan struct{}, config.Slots), conns: make(map[net.Conn]struct{}),
	}
	replica.group.Go(replica.accept)
	return replica, nil
}

// Config returns what the replica was built from.
func (replica *Replica) Config() ReplicaConfig {
	return replica.config
}

// Address returns the TCP address.
func (replica *Replica) Address() string {
	return replica.listener.Addr().String()
}

// Entry returns what the replica writes to the store about itself, reachable at an address.
func (replica *Replica) Entry(address, dataCentre, state string, sequence int) map[string]any {
	return map[string]any{
		"backend": replica.config.Service, "address": address, "zone": dataCentre, "version": "v1", "slots": replica.config.Slots,
		"state": state, "warmup_left_ms": 0, "sequence": sequence, "born": replica.born.UnixMilli(),
	}
}

// SetFault replaces the fault.
func (replica *Replica) SetFault(fault ReplicaFault) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.fault = fault
}

// Close ends the replica at once.
func (replica *Replica) Close() {
	replica.end()
	replica.group.Stop()
}

// end closes every connection and takes no more.
func (replica *Replica) end() {
	replica.listener.Close()
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.ended = true
	for conn := range replica.conns {
		conn.Close()
	}
}

// Ended reports whether the replica has ended.
func (replica *Replica) HasStopped() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.ended
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

// serve answers the requests of one connection one after another.
func (replica *Replica) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !replica.answer(conn, request, body) {
			return
		}
	}
}

// answer serves one request and reports whether the connection goes on.
func (replica *Replica) answer(conn net.Conn, request *http.Request, body []byte) bool {
	replica.mutex.Lock()
	fault := replica.fault
	replica.mutex.Unlock()
	number := replica.served.Add(1)
	id := request.Header.Get("X-Request-Id")
	switch {
	case id == "":
		return write(conn, http.StatusBadRequest, "X-Not-Executed: 1\r\n", nil)
	case request.Header.Get("X-Target-Instance") != replica.config.ID:
		return write(conn, http.StatusMisdirectedRequest, "X-Instance-Id: "+replica.config.ID+"\r\n", nil)
	case fault.Shed && number%2 == 0 || replica.queued.Load() >= queueSize:
		return write(conn, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", nil)
	}
	replica.queued.Add(1)
	replica.slots <- struct{}{}
	replica.queued.Add(-1)
	defer func() { <-replica.slots }()
	replica.config.Journal.add(Run{RequestID: id, Service: replica.config.Service, Replica: replica.config.ID, At: time.Now()})
	if fault.CrashPathSuffix != "" && strings.HasSuffix(request.URL.Path, fault.CrashPathSuffix) {
		replica.end()
		return false
	}
	time.Sleep(replica.config.ServiceTime + fault.ExtraServiceTime)
	if fault.LoseAnswers && number%3 == 0 {
		return false
	}
	header := fmt.Sprintf("X-Request-Id: %s\r\nX-Server-Stamp: %s\r\nKeep-Alive: timeout=10\r\n", id, Stamp(replica.config.Service, id))
	answer := PartRecords(replica.config.Service, request.RequestURI)
	if request.Method != http.MethodGet {
		answer = EchoDigest(replica.config.Service, request.Method, request.RequestURI, body)
	}
	ok := write(conn, http.StatusOK, header, answer)
	if ok && fault.DuplicateAnswers && number%3 == 0 {
		ok = write(conn, http.StatusOK, header, answer)
	}
	return ok
}

func write(conn net.Conn, status int, header string, body []byte) bool {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), header, len(body))
	buffer.Write(body)
	_, err := conn.Write(buffer.Bytes())
	return err == nil
}

// Stamp returns the signature of a service's answer to a request.
func Stamp(service, requestID string) string {
	return service + "." + requestID
}

// PartOf returns the records with which a service answers a path.
func PartRecords(service, path string) []byte {
	var part []byte
	for i := range RecordsPerPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", service, path, i))
		part = append(part, sum[:RecordSize]...)
	}
	return part
}

// EchoOf returns the answer of a service to a request with a body.
func EchoDigest(service, method, path string, body []byte) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %s %s", service, method, path, body))
	return []byte(hex.EncodeToString(sum[:]))
}
