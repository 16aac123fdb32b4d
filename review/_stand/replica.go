package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replicaConfig holds the parameters of a replica.
type replicaConfig struct {
	id, service, zone string
	// slots is the number of requests that run at once, and queue the number that may wait.
	slots, queue int
	// work returns how long one request takes.
	work func() time.Duration
	// maxConnections is the number of connections that are accepted.
	maxConnections int
}

// replica stands in for a replica of a service.
type replica struct {
	run       *run
	config    replicaConfig
	listener  net.Listener
	startedAt time.Time
	slots     chan struct{}
	waiting   atomic.Int64
	open      atomic.Int64

	mutex sync.Mutex
	// lateShare is the share of the answers that are sent once more when the next response is expected on their connection.
	lateShare float64
	// stray replaces the copy of the answer by bytes that answer no request; nil sends the copy.
	stray    []byte
	sequence int
	state    string
	lateSent int
}

func startReplica(run *run, config replicaConfig) (*replica, error) {
	listener, err := net.Listen("tcp", run.network+".201:0")
	if err != nil {
		return nil, err
	}
	replica := &replica{run: run, config: config, listener: listener, startedAt: time.Now(), slots: make(chan struct{}, config.slots)}
	run.goroutine(replica.accept)
	run.goroutine(replica.beat)
	return replica, nil
}

// heartbeat is the interval between two writes of a replica's entry.
const heartbeat = 1200 * time.Millisecond

// beat keeps the replica's entry in the store.
func (replica *replica) beat() {
	for replica.run.ctx.Err() == nil {
		replica.publish()
		select {
		case <-time.After(heartbeat):
		case <-replica.run.ctx.Done():
		}
	}
}

func (replica *replica) publish() {
	replica.mutex.Lock()
	replica.sequence++
	spec := map[string]any{
		"backend": replica.config.service, "address": replica.listener.Addr().String(), "zone": replica.config.zone, "version": "v1",
		"slots": replica.config.slots, "state": "ready", wire.WarmUp: 0, "sequence": replica.sequence,
		"born": replica.startedAt.UnixMilli(),
	}
	replica.mutex.Unlock()
	replica.run.store.put("servers", replica.config.id, spec)
}

func (replica *replica) setLateShare(share float64) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.lateShare = share
}

// sendsLate reports whether an answer is to be sent once more.
func (replica *replica) sendsLate() bool {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return rand.Float64() < replica.lateShare
}

func (replica *replica) accept() {
	for {
		conn, err := replica.listener.Accept()
		if err != nil {
			return
		}
		if replica.open.Add(1) > int64(replica.config.maxConnections) {
			replica.open.Add(-1)
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			continue
		}
		replica.run.goroutine(func() {
			defer replica.open.Add(-1)
			defer conn.Close()
			replica.serve(conn)
		})
	}
}

// serve handles the requests of one connection one after another.
func (replica *replica) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	// late is an answer that is sent again when the next response is expected.
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		// The context ends when the peer closes the connection.
		ctx, cancel := context.WithCancel(replica.run.ctx)
		peeked := make(chan struct{})
		replica.run.goroutine(func() {
			defer close(peeked)
			if _, err := reader.Peek(1); err != nil {
				cancel()
			}
		})
		response := replica.handle(ctx, request, body)
		if response == nil {
			cancel()
			return
		}
		if _, err := conn.Write(response); err != nil {
			cancel()
			return
		}
		if replica.sendsLate() {
			late = response
			if replica.stray != nil {
				late = replica.stray
			}
			replica.run.journal.note("%s will send extra bytes after its answer to %s", replica.config.id, request.Header.Get(wire.RequestID))
		}
		<-peeked
		cancel()
	}
}

// handle returns the response to a request, or nil if its connection was closed first.
func (replica *replica) handle(ctx context.Context, request *http.Request, body []byte) []byte {
	id := request.Header.Get(wire.RequestID)
	notRun := func(status int) []byte {
		return encode(status, id, fmt.Sprintf("%s: 1\r\n", wire.NotRun), nil)
	}
	switch {
	case request.Method == http.MethodGet && request.URL.Path == "/healthz":
		return encode(http.StatusOK, "", fmt.Sprintf("%s: %s\r\n", wire.Instance, replica.config.id), nil)
	case id == "":
		return notRun(http.StatusBadRequest)
	case request.Header.Get(wire.Target) != "" && request.Header.Get(wire.Target) != replica.config.id:
		return notRun(http.StatusMisdirectedRequest)
	}
	self := execution{replica: replica.config.id, at: replica.run.journal.now()}
	replica.run.journal.update(id, func(entry *entry) { entry.arrivals = append(entry.arrivals, self) })
	if deadline, err := strconv.ParseFloat(request.Header.Get(wire.Deadline), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, time.Duration(deadline*float64(time.Millisecond)), errDeadline)
		defer cancel()
	}
	if replica.waiting.Add(1) > int64(replica.config.queue+replica.config.slots) {
		replica.waiting.Add(-1)
		replica.run.journal.update(id, func(entry *entry) { entry.rejections = append(entry.rejections, self) })
		return notRun(http.StatusServiceUnavailable)
	}
	defer replica.waiting.Add(-1)
	select {
	case replica.slots <- struct{}{}:
	case <-ctx.Done():
		if context.Cause(ctx) == errDeadline {
			return notRun(http.StatusServiceUnavailable)
		}
		return nil
	}
	defer func() { <-replica.slots }()
	if ctx.Err() != nil {
		return nil
	}
	replica.run.journal.update(id, func(entry *entry) {
		entry.runs = append(entry.runs, execution{replica: replica.config.id, at: replica.run.journal.now()})
	})
	stamp := fmt.Sprintf("%s: %s.%s\r\n", wire.Stamp, replica.config.id, id)
	select {
	case <-time.After(replica.config.work()):
	case <-ctx.Done():
		if context.Cause(ctx) == errDeadline {
			return encode(http.StatusGatewayTimeout, id, stamp, nil)
		}
		return nil
	}
	return encode(http.StatusOK, id, stamp, bytes.ToUpper(body))
}

var errDeadline = fmt.Errorf("the deadline has passed")

// encode returns the bytes of a response.
func encode(status int, id, header string, body []byte) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), header)
	if id != "" {
		fmt.Fprintf(&buffer, "%s: %s\r\n", wire.RequestID, id)
	}
	fmt.Fprintf(&buffer, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(body))
	buffer.Write(body)
	return buffer.Bytes()
}
