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
)

const (
	// dialTimeout bounds the opening of a connection: several round trips to the farthest region with a slow accept.
	dialTimeout = 400 * time.Millisecond
	// idleMost is how long an unused connection is kept when the replica does not say how long it keeps it.
	idleMost = 10 * time.Second
	// idleReserve is how much before the replica's own timeout an unused connection is no longer used.
	idleReserve = 700 * time.Millisecond
)

// errRetired means that the replica is no longer listed.
var errRetired = errors.New("the replica is no longer listed")

// Dial opens a connection.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// PoolConfig holds what a Pool is built from.
type PoolConfig struct {
	Group *swgroup.Group
	// Dial opens connections; the default dials TCP.
	Dial Dial
	// MaxConnections returns what one replica of a service accepts from all callers, or zero; it may be nil.
	MaxConnections func(service string) int
	// OnDial is told of each opened connection; it may be nil.
	OnDial func()
	Log    zerolog.Logger
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
	if config.OnDial == nil {
		config.OnDial = func() {}
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
		warmAt:   now.Add(entry.WarmUp),
		inFlight: make(map[*swconn.Connection]time.Time),
		open:     make(map[*swconn.Connection]struct{}),
	}
	replica.entry.Store(&entry)
	return replica
}

// take returns a connection to send on: an idle one, a new one, or the next that comes free.
func (replica *Replica) take(ctx context.Context) (*swconn.Connection, error) {
	most := replica.pool.config.MaxConnections(replica.entry.Load().Service)
	for {
		connection, freed, err := replica.tryTake(time.Now(), most)
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

// tryTake returns an idle connection, or the signal of one that may have come free, or neither when the caller is to dial.
func (replica *Replica) tryTake(now time.Time, most int) (*swconn.Connection, <-chan struct{}, error) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if replica.retired {
		return nil, nil, errRetired
	}
	if connection := replica.popIdle(now); connection != nil {
		return connection, nil, nil
	}
	if len(replica.open)+replica.dialing < replica.limit.current(most) {
		replica.dialing++
		return nil, nil, nil
	}
	replica.limit.short(now, most)
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
	replica.pool.config.OnDial()
	if err != nil {
		if ctx.Err() == nil {
			replica.noteDown(time.Now())
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

// ended drops a connection whose reading side is over.
func (replica *Replica) ended(connection *swconn.Connection, err error) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	delete(replica.open, connection)
	for i, idle := range replica.idle {
		if idle == connection {
			replica.idle = append(replica.idle[:i], replica.idle[i+1:]...)
			break
		}
	}
	if !connection.Proven() && !errors.Is(err, swconn.ErrClosed) && !errors.Is(err, swconn.ErrOrderly) {
		replica.limit.reset(time.Now())
	}
	replica.signalFreed()
}

// give puts a connection aside for the next request, or closes it.
func (replica *Replica) give(connection *swconn.Connection) {
	replica.mutex.Lock()
	_, open := replica.open[connection]
	keep := open && !replica.retired && connection.Usable()
	if keep {
		connection.UsedAt = time.Now()
		replica.idle = append(replica.idle, connection)
		replica.signalFreed()
	}
	replica.mutex.Unlock()
	if !keep {
		connection.Close()
	}
}

// Reachable opens a connection to find out whether the replica takes any, and keeps it.
func (replica *Replica) Reachable(ctx context.Context) bool {
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
	replica.give(connection)
	return true
}
