package swbackend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// healthEvery is the time between two checks of a server that has idle connections and no traffic.
	healthEvery = 5 * time.Second
	// healthTimeout bounds one check.
	healthTimeout = 500 * time.Millisecond
	// idleFor is how long a connection may stay unused before it is closed.
	idleFor = 60 * time.Second
)

type healthResponse struct {
	State string
}

// watchHealth checks idle connections, so that silent ones and leaving servers are found without traffic.
func (pool *Pool) watchHealth(ctx context.Context) {
	ticker := time.NewTicker(healthEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pool.checkIdle(ctx)
		}
	}
}

func (pool *Pool) checkIdle(ctx context.Context) {
	pool.mutex.RLock()
	servers := make([]*server, 0, len(pool.servers))
	for _, server := range pool.servers {
		servers = append(servers, server)
	}
	pool.mutex.RUnlock()
	for _, server := range servers {
		server.closeUnused()
		server.refreshSlots()
		if connection := server.unheard(); connection != nil {
			pool.group.Go(func(context.Context) { server.check(ctx, connection) })
		}
	}
}

// closeUnused closes connections that were not used for a long time, as after the server went to another owner.
func (server *server) closeUnused() {
	server.mutex.Lock()
	unused := server.takeIdle(func(connection *connection) bool { return time.Since(connection.usedAt) > idleFor })
	server.mutex.Unlock()
	closeAll(unused)
}

// unheard takes the idle connection that was heard of longest ago, when that is longer than the time between checks.
func (server *server) unheard() *connection {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	oldest := -1
	for i, connection := range server.idle {
		if connection.readSince(time.Now().Add(-healthEvery)) {
			return nil
		}
		if oldest < 0 || connection.readAt.Load() < server.idle[oldest].readAt.Load() {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	connection := server.idle[oldest]
	server.idle = append(server.idle[:oldest], server.idle[oldest+1:]...)
	return connection
}

// check asks for the server's health over the connection and closes what proves silent.
func (server *server) check(ctx context.Context, connection *connection) {
	used := connection.usedAt
	since := time.Now()
	if err := server.prove(ctx, connection); err != nil {
		server.distrust(since)
		return
	}
	connection.usedAt = used
	server.give(connection)
}

// prove makes one exchange on the connection, so that it is known to work. It closes the connection on failure.
func (server *server) prove(ctx context.Context, connection *connection) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	data, err := encodeHTTP(http.MethodGet, "/health", server.name, nil)
	if err != nil {
		return err
	}
	response, err := connection.call(ctx, data)
	if err != nil {
		server.tooMany(connection)
		return errors.Wrap(err, "check connection")
	}
	server.noteHealth(&response)
	return nil
}

// noteHealth takes a leaving state seriously; other states may lag or mislead and change nothing.
func (server *server) noteHealth(response *response) {
	var health healthResponse
	if response.status != http.StatusOK || json.Unmarshal(response.body, &health) != nil {
		return
	}
	if health.State == "Leaving" {
		server.setLeaving()
	}
}
