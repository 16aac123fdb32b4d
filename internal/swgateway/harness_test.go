package swgateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
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
	return RequestInfo{ID: header.Get("Id"), Timeout: left, Key: header.Get("Credential")}
}

func (testProtocol) IsTenantHeader(name string) bool { return name == "Credential" || name == "Tenant" }

func (testProtocol) AppendTenantHeader(buffer []byte, tenant string) []byte {
	return fmt.Appendf(buffer, "Tenant: %s\r\n", tenant)
}

func (testProtocol) IsAttemptHeader(name string) bool { return name == "Left" || name == "Replica" }

func (testProtocol) AppendAttemptHeaders(buffer []byte, attemptInfo AttemptInfo) []byte {
	return fmt.Appendf(buffer, "Left: %s\r\nReplica: %s\r\n", attemptInfo.Timeout, attemptInfo.Replica)
}

// statusesThatImplyNotRun are those that clients take for a statement that their request has not run.
var statusesThatImplyNotRun = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

func (testProtocol) ReadResponseInfo(status int, header http.Header) ResponseInfo {
	wrongReplica := status == http.StatusMisdirectedRequest && (header.Get("Not-Run") != "" || header.Get("Signature") == "")
	return ResponseInfo{
		RequestID: header.Get("Id"), Signature: header.Get("Signature"), NotRun: header.Get("Not-Run") != "" || wrongReplica,
		WrongReplica: wrongReplica, ImpliesNotRun: slices.Contains(statusesThatImplyNotRun, status),
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

// testHandler is a Handler with scripted replicas.
type testHandler struct {
	*Handler
	t        *testing.T
	group    *swgroup.Group
	routes   *swroute.ActiveTable
	registry *swreplica.Registry
	replicas map[netip.AddrPort]*testReplica
	// vms is the number of VMs that send requests to the replicas.
	vms int
	// maxConnections is the number of connections that each replica accepts; zero if unknown.
	maxConnections int
	// coldLimit bounds the requests at each cold replica; the zero Limit if there is none.
	coldLimit swlimit.Limit
}

// testWindow is the window of the budget in tests.
const testWindow = 10 * time.Second

// newTestHandler returns a handler without replicas that has been running for a whole window of its budget. budget is the allowed
// ratio of repeats to requests; zero allows none.
func newTestHandler(t *testing.T, budget float64) *testHandler {
	t.Helper()
	return newTestHandlerWithin(t, budget, nil)
}

// newTestHandlerWithin returns such a handler whose responses share a memory.
func newTestHandlerWithin(t *testing.T, budget float64, memory *swconn.Memory) *testHandler {
	t.Helper()
	testHandler := &testHandler{t: t, group: swgroup.New(context.Background()), routes: &swroute.ActiveTable{}, replicas: make(map[netip.AddrPort]*testReplica), vms: 1}
	pool := swreplica.NewPool(swreplica.PoolConfig{
		Group: testHandler.group, Dial: testHandler.dial, Log: zerolog.Nop(), ReadReport: testProtocol{}.ReadReport,
		Limits:         swconn.Limits{Memory: memory},
		MaxConnections: func(string) int { return testHandler.maxConnections },
		Cold:           swlimit.NewPool(swlimit.Config{VMs: func() int { return testHandler.vms }}),
		ColdLimit:      func(string) swlimit.Limit { return testHandler.coldLimit },
		VMCounts: func(string) swreplica.VMCounts {
			return swreplica.VMCounts{SameDataCentre: testHandler.vms, Total: testHandler.vms}
		},
	})
	testHandler.registry = swreplica.NewRegistry(swreplica.RegistryConfig{Pool: pool, DataCentre: "dc", Region: "r", ReturnOver: 10 * time.Second})
	testHandler.Handler = NewHandler(HandlerConfig{
		Group: testHandler.group, Protocol: testProtocol{}, Routes: testHandler.routes, Replicas: testHandler.registry,
		Budget:     NewBudget(BudgetConfig{Ratio: budget, Slack: 1000 * budget, Window: testWindow, VMs: func() int { return 1 }}),
		Quarantine: swquarantine.New(swquarantine.Config{Name: "vm", CanaryWindow: time.Nanosecond}),
		Recorder:   noRecorder{},
		Log:        zerolog.Nop(),
	})
	time.Sleep(testWindow)
	return testHandler
}

// noRecorder discards all metrics.
type noRecorder struct{}

func (noRecorder) RecordQuery(swrule.Priority, string, swcode.Code, time.Duration, int) {}
func (noRecorder) RecordTenantRequest(string, swcode.Code)                              {}
func (noRecorder) CountEvent(string, int64)                                             {}

func (testHandler *testHandler) close() {
	for _, replica := range testHandler.replicas {
		replica.crash()
	}
	testHandler.group.Stop()
}

func (testHandler *testHandler) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	replica := testHandler.replicas[address]
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.down {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	replica.conns = append(replica.conns, server)
	testHandler.group.Go(func(context.Context) { replica.serve(server) })
	return client, nil
}

// addReplica registers a replica of a service in this VM's data centre.
func (testHandler *testHandler) addReplica(service, id string, script func(*receivedRequest)) *testReplica {
	return testHandler.addReplicaIn("dc", service, id, script)
}

// addReplicaIn registers a replica of a service in a data centre of this VM's region.
func (testHandler *testHandler) addReplicaIn(dataCentre, service, id string, script func(*receivedRequest)) *testReplica {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(testHandler.replicas)+1))
	replica := &testReplica{id: id, script: script}
	testHandler.replicas[address] = replica
	testHandler.registry.Update([]swreplica.Entry{{ID: id, Service: service, Address: address, DataCentre: dataCentre, Region: "r", Slots: 2}}, nil)
	return replica
}

// setRoute puts a table with a single route in force.
func (testHandler *testHandler) setRoute(route *swroute.Route) {
	route.Host, route.Prefix = "h", "/"
	testHandler.setRoutes([]*swroute.Route{route})
}

// setRoutes puts a table with routes and tenants in force.
func (testHandler *testHandler) setRoutes(routes []*swroute.Route, tenants ...*swroute.Tenant) {
	version := uint64(1)
	if table := testHandler.routes.Current(); table != nil {
		version = table.Version + 1
	}
	table := swroute.NewTable(swroute.TableConfig{
		Version: version, Limits: swroute.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1000, HeaderTimeout: time.Second}, Routes: routes,
		Tenants: tenants,
	})
	testHandler.config.Quotas.Apply(time.Now(), table)
	testHandler.routes.UpdateIfNewer(table)
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
	// aborted is set if the handler closed the connection without a response.
	aborted bool
}

// deadlineRecorder accepts read deadlines, as the writer of a real connection does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

var lastID atomic.Int64

// send sends one request to the handler.
func (testHandler *testHandler) send(ctx context.Context, method, path, body string) response {
	return testHandler.sendWithTimeout(ctx, method, path, body, 2*time.Second)
}

// sendWithTimeout sends one request for a client with the given timeout.
func (testHandler *testHandler) sendWithTimeout(ctx context.Context, method, path, body string, timeout time.Duration) response {
	_, response := testHandler.sendIdentified(ctx, method, path, body, timeout)
	return response
}

// sendIdentified sends one request and returns its ID with the response.
func (testHandler *testHandler) sendIdentified(ctx context.Context, method, path, body string, timeout time.Duration) (id string, got response) {
	return testHandler.sendWithHeader(ctx, method, path, body, timeout, nil)
}

// sendWithHeader sends one request with headers of its own and returns its ID with the response.
func (testHandler *testHandler) sendWithHeader(ctx context.Context, method, path, body string, timeout time.Duration, header http.Header) (id string, got response) {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	httpRequest := httptest.NewRequestWithContext(ctx, method, path, reader)
	httpRequest.Host = "h"
	id = strconv.FormatInt(lastID.Add(1), 10)
	maps.Copy(httpRequest.Header, header)
	httpRequest.Header.Set("Id", id)
	httpRequest.Header.Set("Left", timeout.String())
	startedAt := time.Now()
	recorder := httptest.NewRecorder()
	defer func() {
		got = response{recorder, time.Since(startedAt), false}
		if recovered := recover(); recovered == http.ErrAbortHandler { //nolint:errorlint // Only this value aborts a response.
			got.aborted = true
		} else if recovered != nil {
			panic(recovered)
		}
	}()
	testHandler.ServeHTTP(deadlineRecorder{recorder}, httpRequest)
	return id, got
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

// serveRecorded passes a request to the handler and returns the response.
func (testHandler *testHandler) serveRecorded(httpRequest *http.Request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	testHandler.ServeHTTP(deadlineRecorder{recorder}, httpRequest)
	return recorder
}
