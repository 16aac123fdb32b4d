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
	// tailChance and tailFactor make a part of the requests slower.
	tailChance = 0.01
	tailFactor = 4
	// relistenEvery is the time between two tries to listen again after a restart.
	relistenEvery = 20 * time.Millisecond
)

// defaultListen is a free port of a loopback address that no outgoing connection takes as its source, so that a server that
// comes back finds its port free.
const defaultListen = "127.0.0.2:0"

// Config holds what a Server is built from.
type Config struct {
	Name       string
	DataCentre string
	// Listen is the TCP address; a free port of loopback when empty.
	Listen string
	// Slots is the number of requests that run at once, and Waiting the number that may wait for a slot.
	Slots      int
	MaxWaiting int
	// Connections is the number of connections that may be open at once.
	MaxConnections int
	// ConnectDelay is how long a new connection takes.
	ConnectDelay time.Duration
	// Service is the median service time, and Sigma the deviation of its logarithm.
	MedianServiceTime time.Duration
	ServiceTimeSigma  float64
	// Warm makes the first start a warm one.
	StartWarm bool
	// ColdFor is how long a start is cold, and ColdFactor how much slower it is at first.
	WarmUpDuration time.Duration
	ColdFactor     float64
	// Restart is how long the server is down after a crash.
	RestartDelay time.Duration
	Seed         uint64
	Journal      *Journal
}

// Fault holds what is wrong with a server. The zero value is a healthy one.
type Fault struct {
	// Slower multiplies service times when it is above one.
	ServiceTimeFactor float64
	// Crossed is the chance that an answer is another request's.
	MismatchChance float64
	// WrongSnapshot is the chance that an answer is for another snapshot that the server holds.
	WrongSnapshotChance float64
	// Duplicate is the chance that an answer comes twice on its connection.
	DuplicateChance float64
	// Misleading makes /health and /load tell of an idle and ready server.
	ReportsIdle bool
	// ShedAll makes it refuse every request.
	ShedAll bool
}

// holding is a snapshot with the shards of it that the server holds.
type holding struct {
	snapshot *Snapshot
	shards   []int
}

// Server is one backend server. Construct it with Start.
type Server struct {
	config Config
	group  *swgroup.Group
	slots  chan struct{}

	mutex    sync.Mutex
	address  string
	listener *listener
	http     *http.Server
	random   *rand.Rand
	holdings []holding
	fault    Fault
	started  time.Time
	leaving  time.Time
	down     bool
	closed   bool
	waiting  int
	running  map[identity]*run
	last     *answer
}

// Start listens and serves until Close.
func Start(config Config) (*Server, error) {
	if config.Listen == "" {
		config.Listen = defaultListen
	}
	server := &Server{
		config:  config,
		group:   swgroup.New(context.Background()),
		slots:   make(chan struct{}, config.Slots),
		random:  rand.New(rand.NewPCG(config.Seed, hash(config.Name))),
		running: make(map[identity]*run),
		address: config.Listen,
	}
	if err := server.listen(); err != nil {
		return nil, err
	}
	if config.StartWarm {
		server.started = server.started.Add(-config.WarmUpDuration)
	}
	return server, nil
}

func (server *Server) listen() error {
	inner, err := net.Listen("tcp", server.address)
	if err != nil {
		return errors.Wrapf(err, "listen for backend server %s", server.config.Name)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.closed {
		inner.Close()
		return nil
	}
	server.address = inner.Addr().String()
	server.listener = newListener(inner, server.config.MaxConnections, server.config.ConnectDelay)
	server.http = &http.Server{Handler: server.handler(), ReadHeaderTimeout: time.Minute}
	server.started = time.Now()
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

// Address returns the TCP address, which outlasts restarts.
func (server *Server) Address() netip.AddrPort {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return netip.MustParseAddrPort(server.address)
}

// Close stops the server for good.
func (server *Server) Close() {
	server.mutex.Lock()
	server.closed = true
	server.mutex.Unlock()
	server.stop()
	server.group.Stop()
}

// stop drops every connection and stops listening.
func (server *Server) stop() {
	server.mutex.Lock()
	listener, httpServer := server.listener, server.http
	server.down = true
	for _, run := range server.running {
		run.end(Crashed)
	}
	server.mutex.Unlock()
	_ = listener.Close()
	listener.reset()
	_ = httpServer.Close()
}

// Crash drops every connection, and comes back cold after the restart time.
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
		wait = relistenEvery
	}
}

// Lose drops every connection and stays down until Return.
func (server *Server) TakeDown() {
	server.stop()
}

// Return starts a lost server again, cold.
func (server *Server) BringUp() error {
	server.mutex.Lock()
	server.leaving = time.Time{}
	server.mutex.Unlock()
	return server.listen()
}

// Leave makes the server take no new work.
func (server *Server) StartLeaving() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.leaving = time.Now()
}

// Chill makes the server cold from now on.
func (server *Server) RestartWarmUp() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.started = time.Now()
}

// Silence makes every open connection silent for good, and new ones too when asked. New connections of a later call
// with false work again.
func (server *Server) MakeUnresponsive(silentNew bool) {
	server.mutex.Lock()
	listener := server.listener
	server.mutex.Unlock()
	listener.silence(silentNew)
}

// SetFault replaces the faults.
func (server *Server) SetFault(fault Fault) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.fault = fault
}

// Hold adds shards of a snapshot to what the server holds.
func (server *Server) AddShards(snapshot *Snapshot, shards ...int) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.holdings = append(server.holdings, holding{snapshot: snapshot, shards: shards})
}

// Drop removes a snapshot from what the server holds.
func (server *Server) DropSnapshot(index, id string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.holdings = slices.DeleteFunc(server.holdings, func(holding holding) bool {
		return holding.snapshot.Index == index && holding.snapshot.ID == id
	})
}

// OpenConnections returns the number of connections that are open.
func (server *Server) OpenConnections() int {
	server.mutex.Lock()
	listener := server.listener
	server.mutex.Unlock()
	return len(listener.connections())
}

// RejectedConnections returns the number of connections closed for want of a place since the last start.
func (server *Server) RejectedConnections() int64 {
	server.mutex.Lock()
	listener := server.listener
	server.mutex.Unlock()
	return listener.rejected.Load()
}

// find returns the held snapshot, or nil, and the names of those held for the index.
func (server *Server) find(index, id string, shard int) (found *Snapshot, held []string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	held = []string{}
	for _, holding := range server.holdings {
		if holding.snapshot.Index != index {
			continue
		}
		if !slices.Contains(held, holding.snapshot.ID) {
			held = append(held, holding.snapshot.ID)
		}
		if holding.snapshot.ID == id && slices.Contains(holding.shards, shard) {
			found = holding.snapshot
		}
	}
	return found, held
}

// serviceTime draws the time that the next run takes.
func (server *Server) serviceTime() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	factor := math.Exp(server.config.ServiceTimeSigma * server.random.NormFloat64())
	if server.random.Float64() < tailChance {
		factor *= tailFactor
	}
	if server.fault.ServiceTimeFactor > 1 {
		factor *= server.fault.ServiceTimeFactor
	}
	if age := time.Since(server.started); age < server.config.WarmUpDuration {
		warmth := float64(age) / float64(server.config.WarmUpDuration)
		factor *= server.config.ColdFactor + (1-server.config.ColdFactor)*warmth
	}
	return time.Duration(float64(server.config.MedianServiceTime) * factor)
}

// chance draws whether something with that probability happens.
func (server *Server) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.random.Float64() < probability
}

func (server *Server) faultNow() Fault {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.fault
}

// sinceLeaving returns how long the server has been leaving, or zero.
func (server *Server) sinceLeaving() time.Duration {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.leaving.IsZero() {
		return 0
	}
	return max(time.Since(server.leaving), 1)
}
