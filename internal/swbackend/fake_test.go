package swbackend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
)

// fakeServer is a backend server with in-memory connections.
type fakeServer struct {
	group *swgroup.Group
	// answer returns the answer to one request. If it returns nil, nothing is sent and the connection stays open.
	answer func(connection int, path string, request searchRequest) *fakeAnswer

	mutex     sync.Mutex
	conns     []net.Conn
	requests  []string
	dialDelay time.Duration
	// openConnections is the number of connections that the client has open, and maxOpenConnections its maximum so far.
	openConnections    int
	maxOpenConnections int
	dialErr            error
	// health is the state that the health endpoint returns.
	health string
	// refuseFrom is the number of the first connection that is closed after being accepted. If negative, none is.
	refuseFrom int
	running    map[string]chan struct{}
	// unresponsive is the set of connections whose requests are read and never answered.
	unresponsive map[int]bool
}

type fakeAnswer struct {
	status int
	header http.Header
	body   any
	delay  time.Duration
	// closeConnection closes the connection instead of answering.
	closeConnection bool
	// extraCopies is how many more times the answer is sent.
	extraCopies int
	// anonymous leaves the request's identity out of an error response, as servers of the older protocol do.
	anonymous bool
}

func newFakeServer(t *testing.T) *fakeServer {
	fake := startFakeServer()
	t.Cleanup(fake.close)
	return fake
}

func startFakeServer() *fakeServer {
	fake := &fakeServer{group: swgroup.New(context.Background()), unresponsive: make(map[int]bool), running: make(map[string]chan struct{}), health: "Ready", refuseFrom: -1}
	fake.answer = func(_ int, _ string, request searchRequest) *fakeAnswer { return echo(request) }
	return fake
}

func echo(request searchRequest) *fakeAnswer {
	return &fakeAnswer{status: http.StatusOK, body: searchResponse{
		QueryID: request.QueryID, Attempt: request.Attempt, Snapshot: request.Snapshot, Shard: request.Shard,
		Hits: []Hit{{ID: "a", Score: 1}},
	}}
}

func (fake *fakeServer) dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	timer := time.NewTimer(fake.dialDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	if fake.dialErr != nil {
		return nil, fake.dialErr
	}
	clientEnd, serverEnd := net.Pipe()
	number := len(fake.conns)
	fake.conns = append(fake.conns, serverEnd)
	fake.openConnections++
	fake.maxOpenConnections = max(fake.maxOpenConnections, fake.openConnections)
	refused := fake.refuseFrom >= 0 && number >= fake.refuseFrom
	fake.group.Go(func(context.Context) {
		if !refused {
			fake.serve(number, serverEnd)
			return
		}
		// The client may send a byte of a request before it sees that the connection was closed.
		defer serverEnd.Close()
		if serverEnd.SetReadDeadline(time.Now().Add(time.Millisecond)) == nil {
			_, _ = serverEnd.Read(make([]byte, 1))
		}
	})
	return &countedConn{Conn: clientEnd, fake: fake}, nil
}

// countedConn is a connection that the server counts as open until the client closes it.
type countedConn struct {
	net.Conn
	fake *fakeServer
	once sync.Once
}

// Close implements net.Conn.
func (conn *countedConn) Close() error {
	conn.once.Do(func() {
		conn.fake.mutex.Lock()
		defer conn.fake.mutex.Unlock()
		conn.fake.openConnections--
	})
	return conn.Conn.Close()
}

func (fake *fakeServer) serve(number int, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		message, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		data, err := io.ReadAll(message.Body)
		if err != nil {
			return
		}
		var request searchRequest
		if len(data) > 0 {
			if err := json.Unmarshal(data, &request); err != nil {
				return
			}
		}
		if !fake.respond(number, conn, message.URL.Path, request) {
			return
		}
	}
}

func (fake *fakeServer) respond(number int, conn net.Conn, path string, request searchRequest) bool {
	fake.mutex.Lock()
	fake.requests = append(fake.requests, path)
	unresponsive := fake.unresponsive[number]
	answer, health := fake.answer, fake.health
	fake.mutex.Unlock()
	if unresponsive {
		return true
	}
	if path == "/health" {
		return write(conn, &fakeAnswer{status: http.StatusOK, body: healthResponse{State: health}})
	}
	if path == "/cancel" {
		fake.cancel(request)
		return write(conn, &fakeAnswer{status: http.StatusOK, body: searchResponse{}})
	}
	reply := answer(number, path, request)
	if reply == nil {
		return true
	}
	if !fake.wait(request, reply.delay) {
		reply = &fakeAnswer{status: 499, body: searchResponse{Code: "Cancelled"}}
	}
	if reply.closeConnection {
		return false
	}
	if body, ok := reply.body.(searchResponse); ok && reply.status != http.StatusOK && body.QueryID == "" && !reply.anonymous {
		body.QueryID, body.Attempt = request.QueryID, request.Attempt
		reply.body = body
	}
	for range reply.extraCopies + 1 {
		if !write(conn, reply) {
			return false
		}
	}
	return true
}

// wait waits for the duration and returns true, or returns false as soon as the request is cancelled.
func (fake *fakeServer) wait(request searchRequest, duration time.Duration) bool {
	cancelled := make(chan struct{})
	key := request.QueryID + request.Attempt
	fake.mutex.Lock()
	fake.running[key] = cancelled
	fake.mutex.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancelled:
		return false
	}
}

func (fake *fakeServer) cancel(request searchRequest) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	key := request.QueryID + request.Attempt
	if cancelled, ok := fake.running[key]; ok {
		close(cancelled)
		delete(fake.running, key)
	}
}

func write(conn net.Conn, answer *fakeAnswer) bool {
	data, err := json.Marshal(answer.body)
	if err != nil {
		return false
	}
	header := answer.header
	if header == nil {
		header = http.Header{}
	}
	header.Set("Content-Length", strconv.Itoa(len(data)))
	response := http.Response{
		StatusCode: answer.status, ProtoMajor: 1, ProtoMinor: 1, Header: header,
		ContentLength: int64(len(data)), Body: io.NopCloser(bytes.NewReader(data)),
	}
	return response.Write(conn) == nil
}

// stopResponding makes every connection that is open now unresponsive.
func (fake *fakeServer) stopResponding() {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	for number := range fake.conns {
		fake.unresponsive[number] = true
	}
}

func (fake *fakeServer) setAnswer(answer func(int, string, searchRequest) *fakeAnswer) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.answer = answer
}

func (fake *fakeServer) setHealth(state string) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.health = state
}

func (fake *fakeServer) setRefuseFrom(number int) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.refuseFrom = number
}

func (fake *fakeServer) countOpen() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.openConnections
}

// count returns the number of requests for path.
func (fake *fakeServer) count(path string) int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	total := 0
	for _, requested := range fake.requests {
		if requested == path {
			total++
		}
	}
	return total
}

func (fake *fakeServer) countDialled() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return len(fake.conns)
}

func (fake *fakeServer) closeConnections() {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	for _, conn := range fake.conns {
		conn.Close()
	}
}

func (fake *fakeServer) close() {
	fake.closeConnections()
	fake.group.Stop()
}

const serverName = "desk-1a"

// newFakePool returns a pool with one server, the fake one. It is closed at the end of the test.
func newFakePool(t *testing.T, fake *fakeServer, config Config) *Pool {
	pool := startFakePool(fake, config)
	t.Cleanup(pool.Close)
	return pool
}

func startFakePool(fake *fakeServer, config Config) *Pool {
	config.Dial = fake.dial
	pool := NewPool(config)
	pool.SetServers([]swindex.Server{{
		Name: serverName, Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 2, Connections: 25,
	}})
	return pool
}

func newSubRequest(timeout time.Duration) SubRequest {
	return SubRequest{
		Server: serverName, QueryID: 7, Attempt: 9, Caller: "treasurer-desk", Kind: "balance-check", Index: "desk",
		Snapshot: "s1", Shard: 3, Query: "a", Limit: 5, Fingerprint: 77, Deadline: time.Now().Add(timeout),
	}
}
