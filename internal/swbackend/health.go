package swbackend

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

const (
	// healthCheckInterval is the time between two checks of a server that has idle connections and no traffic.
	healthCheckInterval = 5 * time.Second
	// healthCheckTimeout bounds one check.
	healthCheckTimeout = 500 * time.Millisecond
	// maxIdleTime is how long a connection may stay unused before it is closed.
	maxIdleTime = 60 * time.Second
)

type healthResponse struct {
	State string
}

// runHealthChecks checks idle connections at intervals, so that unresponsive connections and leaving servers are detected
// without traffic.
func (pool *Pool) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			pool.checkIdleServers(ctx)
		}
	}
}

func (pool *Pool) checkIdleServers(ctx context.Context) {
	pool.mutex.RLock()
	servers := make([]*server, 0, len(pool.servers))
	for _, server := range pool.servers {
		servers = append(servers, server)
	}
	pool.mutex.RUnlock()
	for _, server := range servers {
		server.closeUnused()
		server.refreshSlots()
		if connection := server.takeStalestIdle(); connection != nil {
			pool.group.Go(func(context.Context) { server.checkConnection(ctx, connection) })
		}
	}
}

// closeUnused closes connections that were unused for maxIdleTime, for example because another VM became the server's
// owner.
func (server *server) closeUnused() {
	server.mutex.Lock()
	unused := server.removeIdle(func(connection *connection) bool { return time.Since(connection.lastUsedAt) > maxIdleTime })
	server.mutex.Unlock()
	closeAll(unused)
}

// takeStalestIdle removes and returns the idle connection that answered longest ago. It returns nil if any idle connection
// has answered within healthCheckInterval.
func (server *server) takeStalestIdle() *connection {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	oldest := -1
	for i, connection := range server.idle {
		if connection.answeredSince(time.Now().Add(-healthCheckInterval)) {
			return nil
		}
		if oldest < 0 || connection.lastReadAt.Load() < server.idle[oldest].lastReadAt.Load() {
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

// checkConnection requests the server's health over the connection. If that fails, it closes this connection and the idle
// ones on which nothing was read since.
func (server *server) checkConnection(ctx context.Context, connection *connection) {
	lastUsedAt := connection.lastUsedAt
	since := time.Now()
	if err := server.verifyConnection(ctx, connection); err != nil {
		server.closeSuspects(since)
		return
	}
	connection.lastUsedAt = lastUsedAt
	server.putIdle(connection)
}

// verifyConnection requests the server's health over the connection to verify that the connection works. It closes the
// connection on failure.
func (server *server) verifyConnection(ctx context.Context, connection *connection) error {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	data, err := encodeHTTP(http.MethodGet, "/health", server.name, nil)
	if err != nil {
		return err
	}
	response, err := connection.roundTrip(ctx, data)
	if err != nil {
		server.lowerLimitIfRefused(connection)
		return errors.Wrap(err, "check connection")
	}
	server.handleHealth(response)
	return nil
}

// handleHealth handles a health response. Only the state Leaving has an effect; other states may be outdated or wrong.
func (server *server) handleHealth(response *swconn.Response) {
	var health healthResponse
	if response.Status != http.StatusOK || json.Unmarshal(response.Body, &health) != nil {
		return
	}
	if health.State == "Leaving" {
		server.setLeaving()
	}
}
