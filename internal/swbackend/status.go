package swbackend

import (
	"slices"
	"strings"
	"time"
)

// ServerStatus describes one backend server as the VM that sends to it sees it.
type ServerStatus struct {
	Name string
	// Slots is the number of requests that the server list says it runs at once, Limit the number learned.
	Slots   int
	Limit   int
	Running int
	Waiting int
	// Connections is the number of open connections of this VM.
	Connections int
	// Service is the mean time that the server takes.
	Service time.Duration
	// Shedding tells that its queue refuses some cohorts.
	Shedding bool
	Leaving  bool
}

// Status describes the backend servers that this VM has connections to, in order of name.
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
