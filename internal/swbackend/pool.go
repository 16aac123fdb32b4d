package swbackend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Observer receives events of backend servers and their queues. Its methods must not block.
type Observer interface {
	swadmission.Observer
	// ConnectionEvent is called for each event of a connection to a server.
	ConnectionEvent(server string, event ConnectionEvent)
}

// Config is the configuration of a Pool.
type Config struct {
	// Admission configures the queue in front of each server.
	Admission swsetting.Admission
	// Dial opens connections. If it is nil, they are opened by TCP.
	Dial DialFunc
	// CancelPolicy selects how requests in flight are cancelled.
	CancelPolicy CancelPolicy
	// OnLeaving is called once when this VM first sees that a server accepts no new work. It may be nil.
	OnLeaving func(server string)
	// OnCrash is called when all connections to a server were lost with requests in flight. fingerprints are those of the
	// requests. It may be nil.
	OnCrash func(server string, fingerprints []uint64)
	// Observer may be nil.
	Observer Observer
}

// Pool sends sub-requests to backend servers over a pool of connections to each. It is safe for concurrent use.
type Pool struct {
	config Config
	group  *swgroup.Group
	limits swconn.Limits

	mutex   sync.RWMutex
	servers map[string]*server
	share   share

	report atomic.Pointer[cachedReport]
}

// share is the fraction of every server's slots and connections that this VM may use.
type share struct {
	numerator   int
	denominator int
}

// cachedReport is the latest report, which is reused for maxReportAge.
type cachedReport struct {
	report  swadmission.Report
	builtAt time.Time
}

// maxReportAge bounds the age of a cached report.
const maxReportAge = 20 * time.Millisecond

// NewPool returns a pool without servers. Call Close to release its connections.
func NewPool(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	pool := &Pool{
		config:  config,
		group:   swgroup.New(context.Background()),
		limits:  swconn.Limits{MaxBody: maxBodySize, Memory: swconn.NewMemory(maxBodyMemory)},
		servers: make(map[string]*server),
		share:   share{numerator: 1, denominator: 1},
	}
	pool.group.Go(pool.runHealthChecks)
	return pool
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// SetServers replaces the list of servers. Work in flight at a server that is no longer listed continues.
func (pool *Pool) SetServers(list []swindex.Server) {
	// setLeaving calls OnLeaving, which may use the pool, so the lock must not be held here.
	for _, server := range pool.replaceServers(list) {
		server.setLeaving()
	}
}

// replaceServers applies a list of servers and returns those that it marks as leaving.
func (pool *Pool) replaceServers(list []swindex.Server) []*server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var leaving []*server
	listed := make(map[string]bool, len(list))
	for _, description := range list {
		listed[description.Name] = true
		server := pool.setServer(description)
		if description.Leaving {
			leaving = append(leaving, server)
		}
	}
	for name, server := range pool.servers {
		if !listed[name] {
			delete(pool.servers, name)
			server.retire()
		}
	}
	return leaving
}

// setServer adds or updates a server. A server whose address changed is retired and replaced. The caller must hold the mutex.
func (pool *Pool) setServer(description swindex.Server) *server {
	current := pool.servers[description.Name]
	if current != nil && current.address() != description.Address {
		current.retire()
		current = nil
	}
	if current == nil {
		current = newServer(pool, description)
		pool.servers[description.Name] = current
	}
	current.update(description, pool.share)
	return current
}

// SetShare limits this VM to a fraction of every server's slots and connections, as needed when each VM sends to backend
// servers directly instead of through owners.
func (pool *Pool) SetShare(numerator, denominator int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.share = share{numerator: max(1, numerator), denominator: max(1, denominator)}
	for _, server := range pool.servers {
		server.setShare(pool.share)
	}
}

// Leaving reports whether the server is known to accept no new work.
func (pool *Pool) Leaving(name string) bool {
	server := pool.server(name)
	return server != nil && server.isLeaving()
}

// SetLeaving records that the server accepts no new work, for example because a peer has seen its leaving notice.
func (pool *Pool) SetLeaving(name string) {
	if server := pool.server(name); server != nil {
		server.setLeaving()
	}
}

// Load returns the load of the server's queue, and false if the server is not listed.
func (pool *Pool) Load(name string) (swadmission.Load, bool) {
	server := pool.server(name)
	if server == nil {
		return swadmission.Load{}, false
	}
	return server.queue.Load(), true
}

// Report returns what the queues that shed load currently admit. The report may be as old as maxReportAge.
func (pool *Pool) Report() swadmission.Report {
	now := time.Now()
	if cached := pool.report.Load(); cached != nil && now.Sub(cached.builtAt) < maxReportAge {
		return cached.report
	}
	rebuilt := &cachedReport{builtAt: now}
	pool.mutex.RLock()
	for name, server := range pool.servers {
		if entry, shedding := server.queue.Report(name); shedding {
			rebuilt.report.Servers = append(rebuilt.report.Servers, entry)
		}
	}
	pool.mutex.RUnlock()
	pool.report.Store(rebuilt)
	return rebuilt.report
}

func (pool *Pool) server(name string) *server {
	pool.mutex.RLock()
	defer pool.mutex.RUnlock()
	return pool.servers[name]
}

// Close closes all connections and waits for the pool's goroutines.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	for _, server := range pool.servers {
		server.retire()
		server.closeAll()
	}
	pool.mutex.Unlock()
	pool.group.Stop()
}

// Execute waits for a slot of the server, sends the sub-request and returns its answer. The answer's Ran is No unless a
// byte may have been sent to the server or the server says that it did not run. A sub-request that the server sheds is
// queued and sent once more.
func (pool *Pool) Execute(ctx context.Context, subRequest SubRequest) Answer {
	server := pool.server(subRequest.Server)
	if server == nil {
		return Answer{Outcome: UnknownServer, Ran: swcode.RanNo, Code: swcode.NoReplica, Message: "no server list contains " + subRequest.Server}
	}
	if server.isLeaving() {
		return server.leavingAnswer()
	}
	if deadline, ok := ctx.Deadline(); !subRequest.Deadline.IsZero() && (!ok || deadline.After(subRequest.Deadline)) {
		limited, cancel := context.WithDeadline(ctx, subRequest.Deadline)
		defer cancel()
		ctx = limited
	}
	answer, shed := server.attempt(ctx, &subRequest)
	if shed {
		subRequest.Attempt |= resentBit
		answer, _ = server.attempt(ctx, &subRequest)
	}
	return answer
}

// resentBit is set in the attempt ID of a sub-request that is sent once more after the server shed it. With the same ID, a late copy of the
// first response could not be told from the second one.
const resentBit = 1 << 63

// attempt queues the sub-request and sends it to the server once. shed reports whether the server refused it for lack of
// capacity.
func (server *server) attempt(ctx context.Context, subRequest *SubRequest) (answer Answer, shed bool) {
	if err := server.checkReachable(); err != nil {
		return server.unreachableAnswer(err), false
	}
	if server.isHeldOff() {
		return server.heldOffAnswer(), false
	}
	slot, err := server.queue.Acquire(ctx, workOf(subRequest))
	if err != nil {
		return server.refusalAnswer(err), false
	}
	if server.isHeldOff() {
		server.queue.Release(slot, swadmission.NotRun)
		return server.heldOffAnswer(), false
	}
	answer = server.execute(ctx, subRequest)
	answer.QueueWait = slot.Wait
	server.queue.Release(slot, resultOf(&answer))
	return answer, answer.Outcome == Shed && !server.isHeldOff() && answer.Ran == swcode.RanNo
}

func workOf(subRequest *SubRequest) swadmission.Work {
	return swadmission.Work{
		Priority: subRequest.Priority,
		Caller:   subRequest.Caller,
		Cohort:   subRequest.Cohort,
		Deadline: subRequest.Deadline,
	}
}

// resultOf returns the result to report to the queue for work that held a slot.
func resultOf(answer *Answer) swadmission.Result {
	switch answer.Outcome {
	case Answered:
		return swadmission.Completed
	case Shed:
		return swadmission.ShedByServer
	default:
		if answer.Ran == swcode.RanNo {
			return swadmission.NotRun
		}
		return swadmission.Wasted
	}
}
