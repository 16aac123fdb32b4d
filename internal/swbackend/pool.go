package swbackend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// DialFunc opens a connection to a backend server.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Observer receives what happens at backend servers. Its methods must not block.
type Observer interface {
	swadmission.Observer
	// ConnectionEvent is called when something notable happens to a connection of a server.
	ConnectionEvent(server string, event ConnectionEvent)
}

// Config holds what a Pool is built from.
type Config struct {
	// Admission sets the queue in front of each server.
	Admission swsetting.Admission
	// Dial opens connections; a TCP dialer when nil.
	Dial DialFunc
	// CancelPolicy is the way in which requests in flight are withdrawn.
	CancelPolicy CancelPolicy
	// OnLeaving is called once when a server is first seen to take no new work; it may be nil.
	OnLeaving func(server string)
	// OnCrash is called when all of a server's connections died with requests in flight; it may be nil.
	// fingerprints are those of the requests.
	OnCrash func(server string, fingerprints []uint64)
	// Observer may be nil.
	Observer Observer
}

// Pool sends sub-requests to backend servers. It is safe for concurrent use.
type Pool struct {
	config Config
	group  *swgroup.Group

	mutex   sync.RWMutex
	servers map[string]*server
	share   share

	report atomic.Pointer[cachedReport]
}

// share is the part of every server's slots and connections that this VM uses.
type share struct {
	numerator   int
	denominator int
}

type cachedReport struct {
	report swadmission.Report
	built  time.Time
}

// reportEvery is the longest age of a cached report.
const reportEvery = 20 * time.Millisecond

// NewPool returns a pool without servers. Close it to free its connections.
func NewPool(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	pool := &Pool{
		config:  config,
		group:   swgroup.New(context.Background()),
		servers: make(map[string]*server),
		share:   share{numerator: 1, denominator: 1},
	}
	pool.group.Go(pool.watchHealth)
	return pool
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// SetServers replaces the list of servers. Work in flight at a server that is no longer listed goes on.
func (pool *Pool) SetServers(list []swindex.Server) {
	// OnLeaving may use the pool, so signs are passed on without the lock.
	for _, server := range pool.replace(list) {
		server.setLeaving()
	}
}

// replace takes in a list and returns the servers that it says are leaving.
func (pool *Pool) replace(list []swindex.Server) []*server {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	var leaving []*server
	listed := make(map[string]bool, len(list))
	for _, description := range list {
		listed[description.Name] = true
		server := pool.set(description)
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

func (pool *Pool) set(description swindex.Server) *server {
	present := pool.servers[description.Name]
	if present != nil && present.address() != description.Address {
		present.retire()
		present = nil
	}
	if present == nil {
		present = newServer(pool, description)
		pool.servers[description.Name] = present
	}
	present.describe(description, pool.share)
	return present
}

// SetShare limits this VM to a part of every server's slots and connections, as when each VM dispatches on its own.
func (pool *Pool) SetShare(numerator, denominator int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.share = share{numerator: max(1, numerator), denominator: max(1, denominator)}
	for _, server := range pool.servers {
		server.setShare(pool.share)
	}
}

// Leaving reports whether the server is known to take no new work.
func (pool *Pool) Leaving(name string) bool {
	server := pool.server(name)
	return server != nil && server.isLeaving()
}

// SetLeaving notes that the server takes no new work, as when a peer saw its sign.
func (pool *Pool) SetLeaving(name string) {
	if server := pool.server(name); server != nil {
		server.setLeaving()
	}
}

// Load returns the picture of the server's queue.
func (pool *Pool) Load(name string) (swadmission.Load, bool) {
	server := pool.server(name)
	if server == nil {
		return swadmission.Load{}, false
	}
	return server.queue.Load(), true
}

// Report returns what the queues of this VM's servers admit at present.
func (pool *Pool) Report() swadmission.Report {
	now := time.Now()
	if cached := pool.report.Load(); cached != nil && now.Sub(cached.built) < reportEvery {
		return cached.report
	}
	fresh := &cachedReport{built: now}
	pool.mutex.RLock()
	for name, server := range pool.servers {
		if entry, shedding := server.queue.Report(name); shedding {
			fresh.report.Servers = append(fresh.report.Servers, entry)
		}
	}
	pool.mutex.RUnlock()
	pool.report.Store(fresh)
	return fresh.report
}

func (pool *Pool) server(name string) *server {
	pool.mutex.RLock()
	defer pool.mutex.RUnlock()
	return pool.servers[name]
}

// Close ends every connection and waits for the pool's goroutines.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	for _, server := range pool.servers {
		server.retire()
		server.closeAll()
	}
	pool.mutex.Unlock()
	pool.group.Stop()
}

// Execute waits for a slot of the server, sends the sub-request and returns what came of it. The answer's Ran is No
// unless a byte may have left for the server. Work that the server itself sheds queues once more.
func (pool *Pool) Execute(ctx context.Context, subRequest SubRequest) Answer {
	server := pool.server(subRequest.Server)
	if server == nil {
		return Answer{Outcome: UnknownServer, Code: swcode.NoReplica, Message: "no server list names " + subRequest.Server}
	}
	if server.isLeaving() {
		return server.leavingAnswer()
	}
	if ends, ok := ctx.Deadline(); !subRequest.Deadline.IsZero() && (!ok || ends.After(subRequest.Deadline)) {
		deadlined, cancel := context.WithDeadline(ctx, subRequest.Deadline)
		defer cancel()
		ctx = deadlined
	}
	answer, shed := server.attempt(ctx, &subRequest)
	if shed {
		answer, _ = server.attempt(ctx, &subRequest)
	}
	return answer
}

// attempt takes the sub-request through the queue to the server once. shed tells that the server refused it for want of
// capacity.
func (server *server) attempt(ctx context.Context, subRequest *SubRequest) (answer Answer, shed bool) {
	if err := server.reachable(); err != nil {
		return server.unreachableAnswer(err), false
	}
	lease, err := server.queue.Acquire(ctx, workOf(subRequest))
	if err != nil {
		return server.refusalAnswer(err), false
	}
	answer = server.run(ctx, subRequest)
	answer.QueueWait = lease.Wait
	server.queue.Release(lease, resultOf(&answer))
	return answer, answer.Outcome == Shed && answer.Ran == swcode.RanNo
}

func workOf(subRequest *SubRequest) swadmission.Work {
	return swadmission.Work{
		Priority: subRequest.Priority,
		Caller:   subRequest.Caller,
		Cohort:   subRequest.Cohort,
		Deadline: subRequest.Deadline,
	}
}

// resultOf tells the queue what came of work that held a slot.
func resultOf(answer *Answer) swadmission.Result {
	switch answer.Outcome {
	case Answered:
		return swadmission.Completed
	case Shed:
		return swadmission.ShedByServer
	default:
		if answer.Ran == swcode.RanNo {
			return swadmission.Unused
		}
		return swadmission.Lost
	}
}
