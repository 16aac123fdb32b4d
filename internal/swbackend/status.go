package swbackend

import (
	"slices"
	"strings"
	"time"
)

// ServerStatus describes a backend server from the view of the VM that sends to it.
type ServerStatus struct {
	Name string
	// Slots is the number of concurrent requests according to the server list, and Limit the number learned.
	Slots   int
	Limit   int
	Running int
	Waiting int
	// Connections is the number of open connections of this VM.
	Connections int
	// Service is the mean service time.
	Service time.Duration
	// Shedding reports whether the server's queue refuses some cohorts.
	Shedding bool
	Leaving  bool
}

// Status returns the status of the backend servers that have open connections or are leaving, sorted by name.
func (pool *Pool) Status() []ServerStatus {
	pool.mutex.RLock()
	servers := make([]*server, 0, len(pool.servers))
	for _, server := range pool.servers {
		servers = append(servers, server)
	}
	pool.mutex.RUnlock()
	var list []ServerStatus
	for _, server := range servers {
		status := server.status()
		if status.Connections > 0 || status.Leaving {
			list = append(list, status)
		}
	}
	slices.SortFunc(list, func(a, b ServerStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (server *server) status() ServerStatus {
	load := server.queue.Load()
	_, shedding := server.queue.Report(server.name)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return ServerStatus{
		Name:        server.name,
		Slots:       server.description.Slots,
		Limit:       load.Limit,
		Running:     load.Running,
		Waiting:     load.Waiting,
		Connections: len(server.connections),
		Service:     load.ServiceTime,
		Shedding:    shedding,
		Leaving:     server.leavingLocked(),
	}
}
