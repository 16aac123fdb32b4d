package swreplica

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// dialTimeout bounds the opening of a connection: several round trips to the farthest region with a slow accept.
	dialTimeout = 400 * time.Millisecond
	// idleMost is how long an unused connection is kept when the replica does not say how long it keeps it.
	idleMost = 10 * time.Second
	// spareIdle is how long a connection beside the one that was used last is kept without use. What is held open counts at the
	// replica against what all VMs may open, also for seconds after this VM has lost its power.
	spareIdle = 1500 * time.Millisecond
	// idleReserve is how much before the replica's own timeout an unused connection is no longer used.
	idleReserve = 700 * time.Millisecond
)

var (
	// errRetired means that the replica is no longer listed.
	errRetired = errors.New("the replica is no longer listed")
	// errDown means that the replica could not be reached a moment ago.
	errDown = errors.New("the replica could not be reached a moment ago")
)

// Dial opens a connection.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// PoolConfig holds what a Pool is built from.
type PoolConfig struct {
	Group *swgroup.Group
	// Dial opens connections; the default dials TCP.
	Dial Dial
	// MaxConnections returns what one replica of a service accepts from all callers, or zero; it may be nil.
	MaxConnections func(service string) int
	// Share returns how many VMs send to the replicas of a data centre; it may be nil.
	VMCounts func(dataCentre string) VMCounts
	Log      zerolog.Logger
}

// Pool opens the connections to all replicas.
type Pool struct {
	config PoolConfig
}

// NewPool returns a pool.
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
	return &Pool{config: config}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address.String())
}

func (pool *Pool) newReplica(entry Entry, distance Distance, now time.Time) *Replica {
	replica := &Replica{
		pool:     pool,
		distance: distance,
		warmAt:   now.Add(entry.WarmUpLeft),
		inFlight: make(map[*InFlightRequest]struct{}),
		open:     make(map[*swconn.Connection]struct{}),
	}
	replica.entry.Store(&entry)
	return replica
}

// take returns a connection to send on: an idle one, a new one, or the next that comes free.
func (replica *Replica) take(ctx context.Context) (*swconn.Connection, error) {
	base := replica.baseLimit()
	for {
		connection, freed, err := replica.tryTake(time.Now(), base)
		switch {
		case err != nil:
			return nil, err
		case connection != nil:
			return connection, nil
		case freed == nil:
			return replica.dial(ctx)
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "all connections are in use")
		}
	}
}

// baseLimit returns how many connections this VM may hold before anything is learned.
func (replica *Replica) baseLimit() int {
	entry := replica.entry.Load()
	most := replica.pool.config.MaxConnections(entry.Service)
	return baseLimit(most, replica.distance, replica.pool.config.VMCounts(entry.DataCentre))
}

// tryTake returns an idle connection, or the signal of one that may have come free, or neither when the caller is to dial.
func (replica *Replica) tryTake(now time.Time, base int) (*swconn.Connection, <-chan struct{}, error) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.retired {
		return nil, nil, errRetired
	}
	if connection := replica.popIdle(now); connection != nil {
		return connection, nil, nil
	}
	if replica.down {
		return nil, nil, errDown
	}
	if len(replica.open)+replica.dialing < replica.limit.current(base) {
		replica.dialing++
		return nil, nil, nil
	}
	replica.limit.short(now, base)
	if replica.freed == nil {
		replica.freed = make(chan struct{})
	}
	return nil, replica.freed, nil
}

// popIdle returns the idle connection that was used last, and closes those that the replica may be about to close.
func (replica *Replica) popIdle(now time.Time) *swconn.Connection {
	for len(replica.idle) > 0 {
		last := len(replica.idle) - 1
		connection := replica.idle[last]
		replica.idle = replica.idle[:last]
		if connection.Usable() && now.Sub(connection.UsedAt) < idleLimit(connection) {
			return connection
		}
		connection.Close()
	}
	return nil
}

func idleLimit(connection *swconn.Connection) time.Duration {
	stated := connection.IdleLimit()
	if stated == 0 {
		return idleMost
	}
	return max(stated-idleReserve, stated/2)
}

// signalFreed wakes those who wait for a connection. The caller holds the mutex.
func (replica *Replica) signalFreed() {
	if replica.freed != nil {
		close(replica.freed)
		replica.freed = nil
	}
}

// dial opens a connection that counts as dialing already.
func (replica *Replica) dial(ctx context.Context) (*swconn.Connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := replica.pool.config.Dial(dialCtx, replica.entry.Load().Address)
	if err != nil {
		if ctx.Err() == nil {
			replica.noteDown()
		}
		replica.mutex.Lock()
		replica.dialing--
		replica.signalFreed()
		replica.mutex.Unlock()
		return nil, errors.Wrap(err, "dial")
	}
	connection := swconn.New(conn, swconn.Hooks{Ended: replica.ended})
	replica.mutex.Lock()
	replica.dialing--
	retired := replica.retired
	if !retired {
		replica.open[connection] = struct{}{}
	}
	replica.mutex.Unlock()
	if retired {
		conn.Close()
		return nil, errRetired
	}
	replica.pool.config.Group.Go(connection.Read)
	return connection, nil
}

// ended drops a connection whose reading side is over. One that the replica reset before it ever answered was one too many,
// or came to a server that is not there: no further ones are opened but by trials.
func (replica *Replica) ended(connection *swconn.Connection, err error) {
	refused := !connection.Proven() && !errors.Is(err, swconn.ErrClosed) && !errors.Is(err, swconn.ErrOrderly)
	base := replica.baseLimit()
	replica.mutex.Lock()
	delete(replica.open, connection)
	for i, idle := range replica.idle {
		if idle == connection {
			replica.idle = append(replica.idle[:i], replica.idle[i+1:]...)
			break
		}
	}
	if refused {
		replica.limit.reset(time.Now(), base)
	}
	alone := len(replica.open) == 0
	replica.signalFreed()
	replica.mutex.Unlock()
	if refused && alone {
		replica.noteDown()
	}
}

// give puts a connection aside for the next request, or closes it.
func (replica *Replica) give(connection *swconn.Connection) {
	now := time.Now()
	replica.mutex.Lock()
	_, open := replica.open[connection]
	keep := open && !replica.retired && connection.Usable()
	var spare *swconn.Connection
	if keep {
		connection.UsedAt = now
		replica.idle = append(replica.idle, connection)
		spare = replica.takeSpare(now)
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

// takeSpare returns an idle connection that is not needed any more, or nil. The caller holds the mutex.
func (replica *Replica) takeSpare(now time.Time) *swconn.Connection {
	if len(replica.idle) < 2 || now.Sub(replica.idle[0].UsedAt) < spareIdle {
		return nil
	}
	spare := replica.idle[0]
	replica.idle = replica.idle[1:]
	return spare
}

// settleTime is how long a new connection must stay open to count: a replica that has too many accepts and then resets it,
// which takes the longest round trip between regions to show.
const settleTime = 60 * time.Millisecond

// Reachable opens a connection to find out whether the replica takes any, and keeps it.
func (replica *Replica) Probe(ctx context.Context) bool {
	replica.mutex.Lock()
	if replica.retired {
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
	replica.give(connection)
	return true
}
