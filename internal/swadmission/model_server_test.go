package swadmission

import (
	"sync"
	"time"
)

type modelServer struct {
	name  string
	queue *Queue
	// queuesByVM holds a queue for each VM if every VM dispatches to the server itself.
	queuesByVM       []*Queue
	slowFactor       time.Duration
	mutex            sync.Mutex
	owner            int
	running          int
	unreachableAfter time.Duration
}

// queueAndOwner returns the queue for work from the root, and the VM that owns the queue.
func (server *modelServer) queueAndOwner(root int) (*Queue, int) {
	if server.queuesByVM != nil {
		return server.queuesByVM[root], root
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
