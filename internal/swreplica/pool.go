package swreplica

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// dialTimeout bounds the opening of a connection. It allows several round trips to the farthest region and a slow accept.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an unused connection is kept when the replica does not state its own timeout.
	defaultIdleTimeout = 10 * time.Second
	// spareIdleTimeout is how long unused connections are kept, except for the one used last. Open connections count towards the
	// replica's limit for all VMs, for some seconds even after this VM has lost power.
	spareIdleTimeout = 1500 * time.Millisecond
	// idleTimeoutMargin is how long before the replica's own timeout this VM stops using an idle connection.
	idleTimeoutMargin = 700 * time.Millisecond
)

var (
	// errRetired means that the replica is no longer listed.
	errRetired = errors.New("the replica is no longer listed")
	// errDown means that the replica could not be reached and no probe has succeeded since.
	errDown = errors.New("the replica could not be reached and no probe has succeeded since")
	// errLinksLost means that this VM has lost its links to the replica's data centre.
	errLinksLost = errors.New("this VM has lost its links to the replica's data centre")
)

// Dial opens a connection.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// PoolConfig holds the parameters of a Pool.
type PoolConfig struct {
	Group *swgroup.Group
	// Dial opens connections; the default dials TCP.
	Dial Dial
	// MaxConnections returns how many connections one replica of a service accepts from all callers, or zero if unknown. It may
	// be nil.
	MaxConnections func(service string) int
	// VMCounts returns how many VMs send requests to the replicas of a data centre. It may be nil.
	VMCounts func(dataCentre string) VMCounts
	// Limits bounds the responses of each replica.
	Limits swconn.Limits
	// ReadReport reads what a replica says about itself in a response. It may be nil.
	ReadReport ReadReport
	// Cold holds this VM's part of what cold replicas take from all VMs, and ColdLimit returns that for the replicas of a service; the zero
	// Limit for no bound. If Cold is nil, there is none.
	Cold      *swlimit.Pool
	ColdLimit func(service string) swlimit.Limit
	// CountEvent adds to the counter of an event. It may be nil.
	CountEvent func(name string, count int64)
	// HealthPath returns the path of the health check of a service's replicas; empty if there is none. It may be nil.
	HealthPath func(service string) string
	// OnReach is called when this VM has lost its links to the replicas of a data centre, and when they are back. It may be nil.
	OnReach func(dataCentre string, reached bool)
	// TellsRandomRejections makes a rejection that the replica's latency does not explain leave no mark for load.
	TellsRandomRejections bool
	// OnLimitExceeded is called for each response that exceeds Limits. It may be nil.
	OnLimitExceeded func()
	Log             zerolog.Logger
}

// Pool holds what all replicas of a Registry share: how to open connections, the limits on their number, and the log. Idle
// connections are held by each Replica.
type Pool struct {
	config PoolConfig
	cold   coldLimits
	// opened is the number of connections that were opened.
	opened atomic.Uint64
}

// NewPool returns a pool; nil functions in config get defaults.
func NewPool(config PoolConfig) *Pool {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	if config.MaxConnections == nil {
		config.MaxConnections = func(string) int { return 0 }
	}
	if config.VMCounts == nil {
		config.VMCounts = func(string) VMCounts { return VMCounts{SameDataCentre: 1, Total: 1} }
	}
	if config.CountEvent == nil {
		config.CountEvent = func(string, int64) {}
	}
	if config.HealthPath == nil {
		config.HealthPath = func(string) string { return "" }
	}
	if config.OnReach == nil {
		config.OnReach = func(string, bool) {}
	}
	return &Pool{config: config, cold: newColdLimits(&config)}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address.String())
}

func (pool *Pool) newReplica(entry Entry, place *place, distance Distance, now time.Time) *Replica {
	replica := &Replica{
		pool:            pool,
		place:           place,
		distance:        distance,
		reports:         &reportState{},
		warmUpEnd:       now.Add(entry.WarmUpLeft),
		inFlight:        make(map[*InFlightRequest]struct{}),
		openConnections: make(map[*swconn.Connection]struct{}),
	}
	replica.entry.Store(&entry)
	return replica
}

// acquireConnection returns an idle connection, a new one, or the next one that is released; none that the request was sent on before.
func (replica *Replica) acquireConnection(ctx context.Context, sendings *Sendings) (*swconn.Connection, error) {
	base := replica.baseLimit()
	for {
		connection, freed, err := replica.tryAcquireConnection(time.Now(), base, sendings)
		switch {
		case err != nil:
			return nil, err
		case connection != nil:
			return connection, nil
		case freed == nil:
			dialCtx, cancel := replica.place.links.Load().whileConnecting(ctx)
			defer cancel()
			return replica.dial(dialCtx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for a free connection")
		}
	}
}

// baseLimit returns how many connections this VM may hold before the limit is adapted.
func (replica *Replica) baseLimit() int {
	entry := replica.entry.Load()
	maxConnections := replica.pool.config.MaxConnections(entry.Service)
	return baseLimit(maxConnections, replica.distance, replica.pool.config.VMCounts(entry.DataCentre))
}

// tryAcquireConnection returns an idle connection, or a channel that is closed when one may have been released. It returns
// neither when the caller must dial.
func (replica *Replica) tryAcquireConnection(now time.Time, base int, sendings *Sendings) (*swconn.Connection, <-chan struct{}, error) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.retired {
		return nil, nil, errRetired
	}
	if replica.Evacuated() {
		return nil, nil, errEvacuated
	}
	if connection := replica.popIdle(now, sendings); connection != nil {
		return connection, nil, nil
	}
	if !replica.place.mayConnect() {
		return nil, nil, errLinksLost
	}
	if replica.down {
		return nil, nil, errDown
	}
	if len(replica.openConnections)+replica.dialing < replica.limit.current(base) || replica.dropIdle() {
		replica.dialing++
		return nil, nil, nil
	}
	replica.limit.onExhausted(now, base)
	if replica.freed == nil {
		replica.freed = make(chan struct{})
	}
	return nil, replica.freed, nil
}

// popIdle returns the most recently used idle connection that the request was not sent on, and closes those that the replica may be about
// to close. The caller holds the mutex.
func (replica *Replica) popIdle(now time.Time, sendings *Sendings) *swconn.Connection {
	for i := len(replica.idleConnections) - 1; i >= 0; i-- {
		connection := replica.idleConnections[i]
		usable := connection.Usable() && now.Sub(connection.IdleSince) < idleTimeout(connection)
		if usable && sendings.used(connection) {
			continue
		}
		replica.idleConnections = slices.Delete(replica.idleConnections, i, i+1)
		if usable {
			return connection
		}
		connection.Close()
	}
	return nil
}

// dropIdle closes the idle connection that was used least recently to make room for another one, and reports whether there was one. The
// caller holds the mutex.
func (replica *Replica) dropIdle() bool {
	if len(replica.idleConnections) == 0 {
		return false
	}
	connection := replica.idleConnections[0]
	replica.idleConnections = slices.Delete(replica.idleConnections, 0, 1)
	delete(replica.openConnections, connection)
	connection.Close()
	return true
}

// idleTimeout returns how long this VM keeps the connection unused.
func idleTimeout(connection *swconn.Connection) time.Duration {
	replicaTimeout := connection.KeepAliveTimeout()
	if replicaTimeout == 0 {
		return defaultIdleTimeout
	}
	return max(replicaTimeout-idleTimeoutMargin, replicaTimeout/2)
}

// signalFreed wakes the requests that wait for a connection. The caller holds the mutex.
func (replica *Replica) signalFreed() {
	if replica.freed != nil {
		close(replica.freed)
		replica.freed = nil
	}
}

// dial opens a connection that is already counted in dialing.
func (replica *Replica) dial(ctx context.Context) (*swconn.Connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := replica.pool.config.Dial(dialCtx, replica.entry.Load().Address)
	if err != nil {
		if ctx.Err() == nil {
			replica.markDown()
			replica.observeNotOpened()
		}
		replica.mutex.Lock()
		replica.dialing--
		replica.signalFreed()
		replica.mutex.Unlock()
		return nil, errors.Wrap(err, "dial")
	}
	connection := swconn.New(conn, replica.pool.config.Limits, swconn.Hooks{
		OnClose: replica.connectionEnded, OnHeader: replica.readReport, OnMismatch: replica.countMismatch,
	})
	connection.Number = replica.pool.opened.Add(1)
	replica.pool.config.CountEvent("replica_connections_opened", 1)
	replica.place.judge.Opened()
	replica.mutex.Lock()
	replica.dialing--
	retired := replica.retired
	if !retired {
		replica.openConnections[connection] = struct{}{}
	}
	replica.mutex.Unlock()
	if retired {
		conn.Close()
		return nil, errRetired
	}
	replica.pool.config.Group.Go(connection.ReadLoop)
	return connection, nil
}

// connectionEnded removes a connection that can no longer be read. If the replica reset it before it ever answered, then either
// the replica has too many connections or no server listens there any more. If no other connection is open, only probes open new
// ones from then on.
func (replica *Replica) connectionEnded(connection *swconn.Connection, err error) {
	resetBeforeResponse := !connection.HasResponded() && !errors.Is(err, swconn.ErrClosed) && !errors.Is(err, swconn.ErrAnnouncedClose)
	var limitError *swconn.LimitError
	if errors.As(err, &limitError) {
		replica.recordLimitExceeded(limitError)
	}
	if errors.Is(err, swconn.ErrJoined) {
		replica.pool.config.CountEvent("responses_joined", 1)
	}
	base := replica.baseLimit()
	replica.mutex.Lock()
	delete(replica.openConnections, connection)
	for i, idle := range replica.idleConnections {
		if idle == connection {
			replica.idleConnections = append(replica.idleConnections[:i], replica.idleConnections[i+1:]...)
			break
		}
	}
	if resetBeforeResponse {
		replica.limit.onReset(time.Now(), base)
	}
	noneOpen := len(replica.openConnections) == 0
	replica.signalFreed()
	replica.mutex.Unlock()
	if resetBeforeResponse && noneOpen {
		replica.markDown()
	}
}

// countMismatch counts a response that answers no request that is outstanding, such as the second copy of an earlier one.
func (replica *Replica) countMismatch(*swconn.Connection) {
	replica.pool.config.CountEvent("responses_dropped", 1)
}

// recordLimitExceeded records a response that was not read to its end because it is too large.
func (replica *Replica) recordLimitExceeded(limitError *swconn.LimitError) {
	replica.pool.config.Log.Warn().Str("Replica", replica.ID()).Str("Exceeded", limitError.Exceeded).Int("Limit", limitError.Limit).
		Msg("a replica sent more than a response may have; its connection is closed")
	if replica.pool.config.OnLimitExceeded != nil {
		replica.pool.config.OnLimitExceeded()
	}
}

// releaseConnection makes a connection available to the next request, or closes it.
func (replica *Replica) releaseConnection(connection *swconn.Connection) {
	now := time.Now()
	replica.mutex.Lock()
	_, open := replica.openConnections[connection]
	keep := open && !replica.retired && !replica.Evacuated() && connection.Usable()
	var spare *swconn.Connection
	if keep {
		connection.IdleSince = now
		replica.idleConnections = append(replica.idleConnections, connection)
		spare = replica.popSpare(now)
		replica.signalFreed()
	}
	replica.mutex.Unlock()
	if !keep {
		connection.Close()
	}
	if spare != nil {
		spare.Close()
	}
}

// popSpare returns an idle connection that is no longer needed, or nil. The caller holds the mutex.
func (replica *Replica) popSpare(now time.Time) *swconn.Connection {
	if len(replica.idleConnections) < 2 || now.Sub(replica.idleConnections[0].IdleSince) < spareIdleTimeout {
		return nil
	}
	spare := replica.idleConnections[0]
	replica.idleConnections = replica.idleConnections[1:]
	return spare
}

// settleTime is how long a new connection must stay open before it counts as usable. A replica with too many connections accepts
// a new one and then resets it, which takes up to the longest round trip between regions to arrive.
const settleTime = 60 * time.Millisecond

// Probe opens a connection to find out whether the replica accepts any, and keeps it for later requests. A replica of an evacuated data centre
// is not probed.
func (replica *Replica) Probe(ctx context.Context) bool {
	replica.mutex.Lock()
	if replica.retired || replica.Evacuated() {
		replica.mutex.Unlock()
		return false
	}
	replica.dialing++
	replica.mutex.Unlock()
	connection, err := replica.dial(ctx)
	if err != nil {
		return false
	}
	if swtimer.Wait(ctx, settleTime) != nil || !connection.Usable() {
		return false
	}
	replica.releaseConnection(connection)
	return true
}
