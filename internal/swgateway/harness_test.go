package swgateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// testProtocol uses its own header names, so that the tests do not depend on those of a platform.
type testProtocol struct{}

func (testProtocol) ReadRequestInfo(header http.Header) RequestInfo {
	left, _ := time.ParseDuration(header.Get("Left"))
	return RequestInfo{ID: header.Get("Id"), Timeout: left}
}

func (testProtocol) IsAttemptHeader(name string) bool { return name == "Left" || name == "Replica" }

func (testProtocol) AppendAttemptHeaders(buffer []byte, attemptInfo AttemptInfo) []byte {
	return fmt.Appendf(buffer, "Left: %s\r\nReplica: %s\r\n", attemptInfo.Timeout, attemptInfo.Replica)
}

func (testProtocol) ReadResponseInfo(status int, header http.Header) ResponseInfo {
	return ResponseInfo{
		RequestID: header.Get("Id"), Signature: header.Get("Signature"),
		NotRun: header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest, WrongReplica: status == http.StatusMisdirectedRequest,
	}
}

func (testProtocol) WriteGatheredHeaders(header http.Header, signatures []string, missing int) {
	header["Signatures"] = signatures
	header.Set("Missing", strconv.Itoa(missing))
}

// receivedRequest is a request as a replica received it.
type receivedRequest struct {
	*http.Request
	body       []byte
	receivedAt time.Time
	conn       net.Conn
	left       time.Duration
}

// answerText returns the bytes of a response to the request.
func (receivedRequest *receivedRequest) answerText(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, receivedRequest.Header.Get("Id"), headers, len(body), body)
}

// testReplica is a replica that accepts connections over pipes and passes each request to a script, which writes the response.
type testReplica struct {
	id     string
	script func(receivedRequest *receivedRequest)
	down   bool

	mutex          sync.Mutex
	received       []*receivedRequest
	connectionEnds []time.Time
	conns          []net.Conn
}

// respondWith returns a script that responds after a delay.
func respondWith(after time.Duration, status int, headers, body string) func(*receivedRequest) {
	return func(receivedRequest *receivedRequest) {
		time.Sleep(after)
		_, _ = receivedRequest.conn.Write([]byte(receivedRequest.answerText(status, headers, body)))
	}
}

func respondSigned(after time.Duration, id, body string) func(*receivedRequest) {
	return respondWith(after, http.StatusOK, "Signature: "+id+"\r\n", body)
}

func closeAfter(after time.Duration) func(*receivedRequest) {
	return func(receivedRequest *receivedRequest) {
		time.Sleep(after)
		receivedRequest.conn.Close()
	}
}

func neverRespond() func(*receivedRequest) { return func(*receivedRequest) {} }

func (replica *testReplica) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		httpRequest, err := http.ReadRequest(reader)
		if err != nil {
			replica.mutex.Lock()
			replica.connectionEnds = append(replica.connectionEnds, time.Now())
			replica.mutex.Unlock()
			return
		}
		var body bytes.Buffer
		_, _ = body.ReadFrom(httpRequest.Body)
		left, _ := time.ParseDuration(httpRequest.Header.Get("Left"))
		received := &receivedRequest{Request: httpRequest, body: body.Bytes(), receivedAt: time.Now(), conn: conn, left: left}
		replica.mutex.Lock()
		replica.received = append(replica.received, received)
		script := replica.script
		replica.mutex.Unlock()
		script(received)
	}
}

func (replica *testReplica) count() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return len(replica.received)
}

// first returns the first request that the replica received.
func (replica *testReplica) first() *receivedRequest {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.received[0]
}

// endTimes returns when connections ended.
func (replica *testReplica) endTimes() []time.Time {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.connectionEnds
}

// crash closes all connections of the replica and refuses new ones.
func (replica *testReplica) crash() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.down = true
	for _, conn := range replica.conns {
		conn.Close()
	}
}

// testGateway is a gateway with scripted replicas.
type testGateway struct {
	*Gateway
	t        *testing.T
	group    *swgroup.Group
	routes   *swroute.ActiveTable
	registry *swreplica.Registry
	replicas map[netip.AddrPort]*testReplica
	// vms is the number of VMs that send requests to the replicas.
	vms int
}

// testWindow is the window of the budget in tests.
const testWindow = 10 * time.Second

// newTestGateway returns a gateway without replicas that has been running for a whole window of its budget. budget is the allowed
// ratio of repeats to requests; zero allows none.
func newTestGateway(t *testing.T, budget float64) *testGateway {
	t.Helper()
	testGateway := &testGateway{t: t, group: swgroup.New(context.Background()), routes: &swroute.ActiveTable{}, replicas: make(map[netip.AddrPort]*testReplica), vms: 1}
	pool := swreplica.NewPool(swreplica.PoolConfig{
		Group: testGateway.group, Dial: testGateway.dial, Log: zerolog.Nop(),
		VMCounts: func(string) swreplica.VMCounts {
			return swreplica.VMCounts{SameDataCentre: testGateway.vms, Total: testGateway.vms}
		},
	})
	testGateway.registry = swreplica.NewRegistry(swreplica.RegistryConfig{Pool: pool, DataCentre: "dc", Region: "r"})
	testGateway.Gateway = New(Config{
		Group: testGateway.group, Protocol: testProtocol{}, Routes: testGateway.routes, Replicas: testGateway.registry,
		Budget:     NewBudget(BudgetConfig{Ratio: budget, Slack: 1000 * budget, Window: testWindow, VMs: func() int { return 1 }}),
		Quarantine: swquarantine.New(swquarantine.Config{Name: "vm", CanaryWindow: time.Nanosecond}),
		Recorder:   noRecorder{},
		Log:        zerolog.Nop(),
	})
	time.Sleep(testWindow)
	return testGateway
}

// noRecorder discards all metrics.
type noRecorder struct{}

func (noRecorder) RecordQuery(swrule.Priority, string, swcode.Code, time.Duration, int) {}
func (noRecorder) CountEvent(string, int64)                                             {}

func (testGateway *testGateway) close() {
	for _, replica := range testGateway.replicas {
		replica.crash()
	}
	testGateway.group.Stop()
}

func (testGateway *testGateway) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	replica := testGateway.replicas[address]
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.down {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	replica.conns = append(replica.conns, server)
	testGateway.group.Go(func(context.Context) { replica.serve(server) })
	return client, nil
}

// addReplica registers a replica of a service.
func (testGateway *testGateway) addReplica(service, id string, script func(*receivedRequest)) *testReplica {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(testGateway.replicas)+1))
	replica := &testReplica{id: id, script: script}
	testGateway.replicas[address] = replica
	testGateway.registry.Update([]swreplica.Entry{{ID: id, Service: service, Address: address, DataCentre: "dc", Region: "r", Slots: 2}}, nil)
	return replica
}

// setRoute puts a table with a single route in force.
func (testGateway *testGateway) setRoute(route *swroute.Route) {
	route.Host, route.Prefix = "h", "/"
	version := uint64(1)
	if table := testGateway.routes.Current(); table != nil {
		version = table.Version + 1
	}
	testGateway.routes.UpdateIfNewer(swroute.NewTable(version, swroute.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1000, HeaderTimeout: time.Second}, nil, []*swroute.Route{route}))
}

// nonIdempotentRoute is a route to service s whose requests may run only once.
func nonIdempotentRoute() *swroute.Route {
	return &swroute.Route{Name: "once", MaxAttempts: 2, Timeout: 5 * time.Second, WeightedServices: []swroute.WeightedService{{Service: "s", Weight: 1}}}
}

// idempotentRoute is the same route for idempotent requests.
func idempotentRoute() *swroute.Route {
	route := nonIdempotentRoute()
	route.Name, route.Idempotent = "repeatable", true
	return route
}

// gatheredRoute is a route over shards s0, s1, ...
func gatheredRoute(shards int, minCoverage float64) *swroute.Route {
	route := &swroute.Route{
		Name: "gathered", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, TargetLatency: 150 * time.Millisecond,
		TopK: 100, MinCoverage: minCoverage,
	}
	for i := range shards {
		route.Shards = append(route.Shards, fmt.Sprintf("s%d", i))
	}
	return route
}

// response is a client's response with its latency.
type response struct {
	*httptest.ResponseRecorder
	took time.Duration
}

// deadlineRecorder accepts read deadlines, as the writer of a real connection does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

var lastID atomic.Int64

// send sends one request to the gateway.
func (testGateway *testGateway) send(ctx context.Context, method, path, body string) response {
	return testGateway.sendWithTimeout(ctx, method, path, body, 2*time.Second)
}

// sendWithTimeout sends one request for a client with the given timeout.
func (testGateway *testGateway) sendWithTimeout(ctx context.Context, method, path, body string, timeout time.Duration) response {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	httpRequest := httptest.NewRequestWithContext(ctx, method, path, reader)
	httpRequest.Host = "h"
	httpRequest.Header.Set("Id", strconv.FormatInt(lastID.Add(1), 10))
	httpRequest.Header.Set("Left", timeout.String())
	began := time.Now()
	recorder := httptest.NewRecorder()
	testGateway.ServeHTTP(deadlineRecorder{recorder}, httpRequest)
	return response{recorder, time.Since(began)}
}

// inVirtualTime runs a test in virtual time.
func inVirtualTime(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, run)
}

// replicaEntry shortens swreplica.Entry in tests.
type replicaEntry = swreplica.Entry

func statusAndBody(got response) string {
	return fmt.Sprintf("%d %s", got.Code, got.Body.String())
}
