package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in of a backend server. Construct it with startReplica.
type replica struct {
	id, service, zone, address string
	work                       time.Duration
	server                     *httptest.Server
	// slots holds a token for each request that runs, and queue one for each that runs or waits.
	slots, queue chan struct{}
	// answer, if not nil, answers a request that has run in place of the usual answer, and reports whether it did.
	answer func(writer http.ResponseWriter, request *http.Request, run int) bool
	born   int64

	mutex sync.Mutex
	// runs counts the runs by request ID.
	runs map[string]int
	// works counts the runs by the first bytes of the body.
	works map[string]int
	total atomic.Int64
}

// queueLength is the number of requests that wait for a slot of a replica.
const queueLength = 12

func startReplica(id, service, zone string, slots int, work time.Duration) *replica {
	replica := &replica{
		id: id, service: service, zone: zone, work: work, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queueLength), runs: make(map[string]int), works: make(map[string]int),
	}
	replica.server = httptest.NewServer(replica)
	replica.address = replica.server.Listener.Addr().String()
	return replica
}

func (replica *replica) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"backend": replica.service, "address": replica.address, "zone": replica.zone, "version": "1",
		"slots": cap(replica.slots), "state": state, names.WarmUpLeft: 0, "sequence": sequence, "born": replica.born,
	}
}

// ServeHTTP runs a request.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	id := request.Header.Get(names.RequestID)
	if id != "" {
		header.Set(names.RequestID, id)
	}
	if request.URL.Path == "/healthz" {
		header.Set(names.ReplicaID, replica.id)
		return
	}
	if target := request.Header.Get(names.Instance); target != "" && target != replica.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	work, err := readWork(request.Body)
	if err != nil {
		return
	}
	select {
	case replica.queue <- struct{}{}:
		defer func() { <-replica.queue }()
	default:
		header.Set(names.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadlineMS, _ := strconv.Atoi(request.Header.Get(names.Deadline))
	timer := time.NewTimer(time.Duration(deadlineMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case replica.slots <- struct{}{}:
		defer func() { <-replica.slots }()
	case <-request.Context().Done():
		return
	case <-timer.C:
		header.Set(names.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	replica.mutex.Lock()
	replica.runs[id]++
	run := replica.runs[id]
	replica.works[work]++
	replica.mutex.Unlock()
	replica.total.Add(1)
	time.Sleep(replica.work)
	header.Set(names.Stamp, fmt.Sprintf("%s.%s.%d.%08x", replica.id, id, run, rand.Uint32()))
	if replica.answer != nil && replica.answer(writer, request, run) {
		return
	}
	_, _ = writer.Write(records(replica.id))
}

// maxWork is the number of bytes by which a piece of work is known.
const maxWork = 64

// readWork reads a body and returns its first bytes.
func readWork(body io.Reader) (string, error) {
	work, err := io.ReadAll(io.LimitReader(body, maxWork))
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, body)
	return string(work), err
}

// records returns five records of 16 bytes.
func records(id string) []byte {
	var body []byte
	for i := range 5 {
		var record [16]byte
		binary.BigEndian.PutUint64(record[:], uint64(len(id)*1000+i))
		copy(record[8:], strings.Repeat(id, 8))
		body = append(body, record[:]...)
	}
	return body
}

// runsOf returns how often a request ran at all replicas.
func runsOf(replicas []*replica, id string) int {
	runs := 0
	for _, replica := range replicas {
		replica.mutex.Lock()
		runs += replica.runs[id]
		replica.mutex.Unlock()
	}
	return runs
}

// runsOfWork returns how often a piece of work ran at all replicas.
func runsOfWork(replicas []*replica, work string) int {
	runs := 0
	for _, replica := range replicas {
		replica.mutex.Lock()
		runs += replica.works[work]
		replica.mutex.Unlock()
	}
	return runs
}
