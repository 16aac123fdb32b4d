package swlabbackend

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// slowRequestChance is the share of requests whose service time is multiplied by slowRequestFactor.
	slowRequestChance = 0.01
	slowRequestFactor = 4
	// relistenInterval is the time between attempts to listen again after a crash.
	relistenInterval = 20 * time.Millisecond
)

// defaultListenAddress selects a free port. Outgoing connections do not use 127.0.0.2 as their source address, so the
// port is still free when the server listens again after a crash.
const defaultListenAddress = "127.0.0.2:0"

// Config configures a Server.
type Config struct {
	Name       string
	DataCentre string
	// Listen is the TCP address. When empty, the server uses a free port of a loopback address.
	Listen string
	// Slots is the number of requests that run at once, and MaxWaiting bounds the requests that wait for a slot.
	Slots      int
	MaxWaiting int
	// MaxConnections bounds the open connections. Connections above it are closed at once.
	MaxConnections int
	// ConnectDelay is the time between the acceptance of a connection and the first read from it.
	ConnectDelay time.Duration
	// Service times are log-normal: MedianServiceTime is the median, and ServiceTimeSigma the standard deviation of the
	// logarithm.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	// StartWarm skips the warm-up of the first start.
	StartWarm bool
	// After a start, service times are multiplied by ColdFactor at first. The factor falls linearly to 1 over
	// WarmUpDuration.
	WarmUpDuration time.Duration
	ColdFactor     float64
	// RestartDelay is the time that the server is down after a crash.
	RestartDelay time.Duration
	Seed         uint64
	Journal      *Journal
}

// Fault selects the faults that a server injects. The zero value injects none.
type Fault struct {
	// ServiceTimeFactor multiplies service times when it is above 1.
	ServiceTimeFactor float64
	// MismatchChance is the probability that a response is the one to the previous request.
	MismatchChance float64
	// WrongSnapshotChance is the probability that a response is for another snapshot that the server holds.
	WrongSnapshotChance float64
	// DuplicateChance is the probability that a response is written twice on its connection.
	DuplicateChance float64
	// ReportsIdle makes /health report a ready server and /load an idle one, whatever the state.
	ReportsIdle bool
	// ShedAll refuses every request with the code Shed.
	ShedAll bool
	// FailAsRejectionChance is the probability that a request runs and then fails with the status of a refused one, but not with its code.
	FailAsRejectionChance float64
}

// heldSnapshot is a snapshot with those of its shards that the server holds.
type heldSnapshot struct {
	snapshot *Snapshot
	shards   []int
}

// Server is a simulated backend server. Construct it with Start.
type Server struct {
	config Config
	group  *swgroup.Group
	slots  chan struct{}

	mutex        sync.Mutex
	address      string
	listener     *listener
	http         *http.Server
	random       *rand.Rand
	held         []heldSnapshot
	fault        Fault
	warmUpStart  time.Time
	leavingSince time.Time
	down         bool
	closed       bool
	waiting      int
	attempts     map[attemptID]*attempt
	lastResponse *searchResponse
}

// Start starts a server, which runs until Close.
func Start(config Config) (*Server, error) {
	if config.Listen == "" {
		config.Listen = defaultListenAddress
	}
	server := &Server{
		config:   config,
		group:    swgroup.New(context.Background()),
		slots:    make(chan struct{}, config.Slots),
		random:   rand.New(rand.NewPCG(config.Seed, hash(config.Name))),
		attempts: make(map[attemptID]*attempt),
		address:  config.Listen,
	}
	if err := server.listen(); err != nil {
		return nil, err
	}
	if config.StartWarm {
		server.warmUpStart = server.warmUpStart.Add(-config.WarmUpDuration)
	}
	return server, nil
}

func (server *Server) listen() error {
	tcpListener, err := net.Listen("tcp", server.address)
	if err != nil {
		return errors.Wrapf(err, "listen for backend server %s", server.config.Name)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		tcpListener.Close()
		return nil
	}
	server.address = tcpListener.Addr().String()
	server.listener = newListener(tcpListener, server.config.MaxConnections, server.config.ConnectDelay)
	server.http = &http.Server{Handler: server.handler(), ReadHeaderTimeout: time.Minute}
	server.warmUpStart = time.Now()
	server.down = false
	httpServer, listener := server.http, server.listener
	server.group.Go(func(context.Context) { _ = httpServer.Serve(listener) })
	return nil
}

// Name returns the server's name.
func (server *Server) Name() string {
	return server.config.Name
}

// DataCentre returns the server's data centre.
func (server *Server) DataCentre() string {
	return server.config.DataCentre
}

// Address returns the TCP address, which stays the same across restarts.
func (server *Server) Address() netip.AddrPort {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return netip.MustParseAddrPort(server.address)
}

// Close stops the server permanently.
func (server *Server) Close() {
	server.mutex.Lock()
	server.closed = true
	server.mutex.Unlock()
	server.stop()
	server.group.Stop()
}

// stop stops listening, resets every connection and ends all attempts.
func (server *Server) stop() {
	server.mutex.Lock()
	listener, httpServer := server.listener, server.http
	server.down = true
	for _, attempt := range server.attempts {
		attempt.end(Crashed)
	}
	server.mutex.Unlock()
	_ = listener.Close()
	listener.resetConnections()
	_ = httpServer.Close()
}

// Crash resets every connection. The server listens again after Config.RestartDelay, and then warms up.
func (server *Server) Crash() {
	server.mutex.Lock()
	if server.down || server.closed {
		server.mutex.Unlock()
		return
	}
	server.down = true
	server.mutex.Unlock()
	server.group.Go(func(ctx context.Context) {
		server.stop()
		server.restart(ctx)
	})
}

func (server *Server) restart(ctx context.Context) {
	wait := server.config.RestartDelay
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if err := server.listen(); err == nil {
			return
		}
		wait = relistenInterval
	}
}

// TakeDown resets every connection. The server stays down until BringUp.
func (server *Server) TakeDown() {
	server.stop()
}

// BringUp starts a server again after TakeDown. It warms up and is no longer leaving.
func (server *Server) BringUp() error {
	server.mutex.Lock()
	server.leavingSince = time.Time{}
	server.mutex.Unlock()
	return server.listen()
}

// StartLeaving makes the server refuse new work with the code Leaving.
func (server *Server) StartLeaving() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leavingSince = time.Now()
}

// RestartWarmUp makes the server as slow as after a start.
func (server *Server) RestartWarmUp() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.warmUpStart = time.Now()
}

// MakeUnresponsive makes every open connection unresponsive for the rest of its life. New connections become unresponsive
// too while newUnresponsive is set; a later call with false lets new connections work again.
func (server *Server) MakeUnresponsive(newUnresponsive bool) {
	server.mutex.Lock()
	listener := server.listener
	server.mutex.Unlock()
	listener.makeUnresponsive(newUnresponsive)
}

// SetFault replaces the injected faults.
func (server *Server) SetFault(fault Fault) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.fault = fault
}

// AddShards adds shards of a snapshot to the ones that the server holds.
func (server *Server) AddShards(snapshot *Snapshot, shards ...int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.held = append(server.held, heldSnapshot{snapshot: snapshot, shards: shards})
}

// DropSnapshot removes all shards of a snapshot from the server.
func (server *Server) DropSnapshot(index, id string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.held = slices.DeleteFunc(server.held, func(heldSnapshot heldSnapshot) bool {
		return heldSnapshot.snapshot.Index == index && heldSnapshot.snapshot.ID == id
	})
}

// OpenConnections returns the number of open connections.
func (server *Server) OpenConnections() int {
	server.mutex.Lock()
	listener := server.listener
	server.mutex.Unlock()
	return len(listener.openConnections())
}

// RejectedConnections returns the number of connections closed since the last start because of Config.MaxConnections.
func (server *Server) RejectedConnections() int64 {
	server.mutex.Lock()
	listener := server.listener
	server.mutex.Unlock()
	return listener.rejected.Load()
}

// findSnapshot returns the snapshot when the server holds the given shard of it, or else nil. heldIDs lists all held
// snapshots of the index.
func (server *Server) findSnapshot(index, id string, shard int) (found *Snapshot, heldIDs []string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	heldIDs = []string{}
	for _, heldSnapshot := range server.held {
		if heldSnapshot.snapshot.Index != index {
			continue
		}
		if !slices.Contains(heldIDs, heldSnapshot.snapshot.ID) {
			heldIDs = append(heldIDs, heldSnapshot.snapshot.ID)
		}
		if heldSnapshot.snapshot.ID == id && slices.Contains(heldSnapshot.shards, shard) {
			found = heldSnapshot.snapshot
		}
	}
	return found, heldIDs
}

// serviceTime returns a random service time for the next run.
func (server *Server) serviceTime() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	factor := math.Exp(server.config.ServiceTimeSigma * server.random.NormFloat64())
	if server.random.Float64() < slowRequestChance {
		factor *= slowRequestFactor
	}
	if server.fault.ServiceTimeFactor > 1 {
		factor *= server.fault.ServiceTimeFactor
	}
	if age := time.Since(server.warmUpStart); age < server.config.WarmUpDuration {
		warmth := float64(age) / float64(server.config.WarmUpDuration)
		factor *= server.config.ColdFactor + (1-server.config.ColdFactor)*warmth
	}
	return time.Duration(float64(server.config.MedianServiceTime) * factor)
}

// chance returns true with the given probability.
func (server *Server) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.random.Float64() < probability
}

func (server *Server) currentFault() Fault {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.fault
}

// sinceLeaving returns the time since StartLeaving, or zero when the server is not leaving.
func (server *Server) sinceLeaving() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.leavingSince.IsZero() {
		return 0
	}
	return max(time.Since(server.leavingSince), 1)
}
