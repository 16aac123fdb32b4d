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

// testProtocol has header names of its own, so that no test leans on those of a platform.
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

// arrival is a request as a replica saw it.
type arrival struct {
	*http.Request
	body []byte
	at   time.Time
	conn net.Conn
	left time.Duration
}

// answerText returns the bytes of an answer to the arrival.
func (arrival *arrival) answerText(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, arrival.Header.Get("Id"), headers, len(body), body)
}

// testReplica answers requests over pipes as its script says.
type testReplica struct {
	id     string
	script func(arrival *arrival)
	down   bool

	mutex    sync.Mutex
	arrivals []*arrival
	ended    []time.Time
	conns    []net.Conn
}

// answers returns a script that answers after a while.
func answers(after time.Duration, status int, headers, body string) func(*arrival) {
	return func(arrival *arrival) {
		time.Sleep(after)
		_, _ = arrival.conn.Write([]byte(arrival.answerText(status, headers, body)))
	}
}

func signed(after time.Duration, id, body string) func(*arrival) {
	return answers(after, http.StatusOK, "Signature: "+id+"\r\n", body)
}

func closes(after time.Duration) func(*arrival) {
	return func(arrival *arrival) {
		time.Sleep(after)
		arrival.conn.Close()
	}
}

func silent() func(*arrival) { return func(*arrival) {} }

func (replica *testReplica) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		message, err := http.ReadRequest(reader)
		if err != nil {
			replica.mutex.Lock()
			replica.ended = append(replica.ended, time.Now())
			replica.mutex.Unlock()
			return
		}
		var body bytes.Buffer
		_, _ = body.ReadFrom(message.Body)
		left, _ := time.ParseDuration(message.Header.Get("Left"))
		arrived := &arrival{Request: message, body: body.Bytes(), at: time.Now(), conn: conn, left: left}
		replica.mutex.Lock()
		replica.arrivals = append(replica.arrivals, arrived)
		script := replica.script
		replica.mutex.Unlock()
		script(arrived)
	}
}

func (replica *testReplica) count() int {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return len(replica.arrivals)
}

// first returns the first request that arrived.
func (replica *testReplica) first() *arrival {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.arrivals[0]
}

// ends returns when connections ended.
func (replica *testReplica) ends() []time.Time {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return replica.ended
}

// crash makes the replica break off everything and take no connections.
func (replica *testReplica) crash() {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.down = true
	for _, conn := range replica.conns {
		conn.Close()
	}
}

// testBench is a gateway in front of scripted replicas.
type testBench struct {
	*Gateway
	t        *testing.T
	group    *swgroup.Group
	book     *swroute.ActiveTable
	registry *swreplica.Registry
	replicas map[netip.AddrPort]*testReplica
	// vms is how many VMs send to the replicas.
	vms int
}

// testWindow is the window of the budget in tests.
const testWindow = 10 * time.Second

// newBench returns a gateway without replicas that has run for longer than the window of its budget; budget is the share of
// repeats, none at zero.
func newBench(t *testing.T, budget float64) *testBench {
	t.Helper()
	bench := &testBench{t: t, group: swgroup.New(context.Background()), book: &swroute.ActiveTable{}, replicas: make(map[netip.AddrPort]*testReplica), vms: 1}
	pool := swreplica.NewPool(swreplica.PoolConfig{
		Group: bench.group, Dial: bench.dial, Log: zerolog.Nop(),
		VMCounts: func(string) swreplica.VMCounts {
			return swreplica.VMCounts{SameDataCentre: bench.vms, Total: bench.vms}
		},
	})
	bench.registry = swreplica.NewRegistry(swreplica.RegistryConfig{Pool: pool, DataCentre: "dc", Region: "r"})
	bench.Gateway = New(Config{
		Group: bench.group, Protocol: testProtocol{}, Routes: bench.book, Replicas: bench.registry,
		Budget:     NewBudget(BudgetConfig{Ratio: budget, Slack: 1000 * budget, Window: testWindow, VMs: func() int { return 1 }}),
		Quarantine: swquarantine.New(swquarantine.Config{Name: "vm", CanaryWindow: time.Nanosecond}),
		Recorder:   noRecorder{},
		Log:        zerolog.Nop(),
	})
	time.Sleep(testWindow)
	return bench
}

// noRecorder drops all figures.
type noRecorder struct{}

func (noRecorder) Query(swrule.Priority, string, swcode.Code, time.Duration, int) {}
func (noRecorder) Event(string, int64)                                            {}

func (bench *testBench) close() {
	for _, replica := range bench.replicas {
		replica.crash()
	}
	bench.group.Stop()
}

func (bench *testBench) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	replica := bench.replicas[address]
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.down {
		return nil, net.ErrClosed
	}
	client, server := net.Pipe()
	replica.conns = append(replica.conns, server)
	bench.group.Go(func(context.Context) { replica.serve(server) })
	return client, nil
}

// add registers a replica of a service.
func (bench *testBench) add(service, id string, script func(*arrival)) *testReplica {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(bench.replicas)+1))
	replica := &testReplica{id: id, script: script}
	bench.replicas[address] = replica
	bench.registry.Update([]swreplica.Entry{{ID: id, Service: service, Address: address, DataCentre: "dc", Region: "r", Slots: 2}}, nil)
	return replica
}

// route puts one route in force.
func (bench *testBench) route(route *swroute.Route) {
	route.Host, route.Prefix = "h", "/"
	version := uint64(1)
	if table := bench.book.Current(); table != nil {
		version = table.Version + 1
	}
	bench.book.UpdateIfNewer(swroute.NewTable(version, swroute.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1000, HeaderTimeout: time.Second}, nil, []*swroute.Route{route}))
}

// once is a route to one replica of service s whose requests may run once.
func once() *swroute.Route {
	return &swroute.Route{Name: "once", MaxAttempts: 2, Timeout: 5 * time.Second, WeightedServices: []swroute.WeightedService{{Service: "s", Weight: 1}}}
}

// repeatable is the same with requests that may run more often.
func repeatable() *swroute.Route {
	route := once()
	route.Name, route.Idempotent = "repeatable", true
	return route
}

// gathered is a route over shards s0, s1, ...
func gathered(shards int, least float64) *swroute.Route {
	route := &swroute.Route{
		Name: "gathered", Idempotent: true, MaxAttempts: 2, Timeout: 2 * time.Second, TargetLatency: 150 * time.Millisecond,
		TopK: 100, MinCoverage: least,
	}
	for i := range shards {
		route.Shards = append(route.Shards, fmt.Sprintf("s%d", i))
	}
	return route
}

// response is what a client got, and when.
type response struct {
	*httptest.ResponseRecorder
	took time.Duration
}

// deadlineRecorder takes read deadlines as a connection does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

var lastID atomic.Int64

// ask sends one request to the gateway.
func (bench *testBench) ask(ctx context.Context, method, path, body string) response {
	return bench.askFor(ctx, method, path, body, 2*time.Second)
}

// askFor sends one request of a client that waits so long.
func (bench *testBench) askFor(ctx context.Context, method, path, body string, left time.Duration) response {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	message := httptest.NewRequestWithContext(ctx, method, path, reader)
	message.Host = "h"
	message.Header.Set("Id", strconv.FormatInt(lastID.Add(1), 10))
	message.Header.Set("Left", left.String())
	began := time.Now()
	recorder := httptest.NewRecorder()
	bench.ServeHTTP(deadlineRecorder{recorder}, message)
	return response{recorder, time.Since(began)}
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, run)
}

// swreplicaEntry keeps the tests' lines short.
type swreplicaEntry = swreplica.Entry

func statusAndBody(got response) string {
	return fmt.Sprintf("%d %s", got.Code, got.Body.String())
}
