package swreplica

import (
	"slices"
	"sync"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

// Sendings records the connections on which one client request has been sent to the replicas of a service. Each sending carries the same
// ID, by which responses are matched to requests. A late copy of the response to one sending could not be told from the response to the
// next one on the same connection, so that each sending uses another connection. The zero value is that of a request that was not sent. It
// is safe for concurrent use.
type Sendings struct {
	mutex       sync.Mutex
	connections []*swconn.Connection
}

// record adds a connection. A nil Sendings records nothing.
func (sendings *Sendings) record(connection *swconn.Connection) {
	if sendings == nil {
		return
	}
	sendings.mutex.Lock()
	defer sendings.mutex.Unlock()
	sendings.connections = append(sendings.connections, connection)
}

// used reports whether the request was sent on a connection.
func (sendings *Sendings) used(connection *swconn.Connection) bool {
	if sendings == nil {
		return false
	}
	sendings.mutex.Lock()
	defer sendings.mutex.Unlock()
	return slices.Contains(sendings.connections, connection)
}
