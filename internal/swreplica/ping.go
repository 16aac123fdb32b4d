package swreplica

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swreach"
)

// pingDuration bounds the reading of a ping's response if its context has no deadline.
const pingDuration = time.Second

// ping opens a connection to the replica for a health request. Any response shows that this VM reaches the replica; what it says is not read, as
// the address may belong to another replica by now. If the service has no health path, or the replica is cold and takes no request now, a
// connection that stays open has to do.
func (replica *Replica) ping(ctx context.Context) swreach.CheckResult {
	replica.mutex.Lock()
	replica.triedAt = time.Now()
	replica.mutex.Unlock()
	entry := replica.entry.Load()
	path := replica.pool.config.HealthPath(entry.Service)
	if path == "" || !replica.takeCold(time.Now()) {
		if replica.Probe(ctx) {
			return swreach.CheckAnswered
		}
		return swreach.CheckFailed
	}
	conn, err := replica.pool.config.Dial(ctx, entry.Address)
	if err != nil {
		return swreach.CheckFailed
	}
	replica.pool.config.CountEvent("reach_pings", 1)
	connection := swconn.New(conn, replica.pool.config.Limits, swconn.Hooks{
		OnClose: func(*swconn.Connection, error) {},
		OnHeader: func(connection *swconn.Connection, _ int, _ http.Header, _ bool) {
			replica.place.heard(connection.OpenedAt)
		},
	})
	replica.pool.config.Group.Go(connection.ReadLoop)
	defer connection.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(pingDuration)
	}
	results, _, err := connection.Send(&swconn.Request{
		Method: http.MethodGet, Data: fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, entry.Address),
		WriteBy: deadline, ReadBy: deadline, Accept: func(int, http.Header) bool { return true },
	})
	if err != nil {
		return swreach.CheckFailed
	}
	select {
	case result := <-results:
		result.Response.Release()
		if result.Response == nil && time.Now().Before(deadline) {
			return swreach.CheckFailed
		}
		if result.Response == nil {
			return swreach.CheckConnected
		}
		return swreach.CheckAnswered
	case <-ctx.Done():
		return swreach.CheckConnected
	}
}
