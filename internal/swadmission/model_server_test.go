package swadmission

import (
	"sync"
	"time"
)

type modelServer struct {
	name  string
	queue *Queue
	// direct holds a queue for each VM when every VM dispatches itself.
	direct  []*Queue
	slow    time.Duration
	mutex   sync.Mutex
	owner   int
	running int
	lostAt  time.Duration
}

// queueAndOwner returns the queue that work from the root goes through, and the VM that keeps it.
func (server *modelServer) queueAndOwner(root int) (*Queue, int) {
	if server.direct != nil {
		return server.direct[root], root
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.queue, server.owner
}

func (server *modelServer) begin(slots int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if slots > 0 && server.running >= slots {
		return false
	}
	server.running++
	return true
}

func (server *modelServer) end() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.running--
}
