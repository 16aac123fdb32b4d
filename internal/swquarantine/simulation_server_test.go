package swquarantine

import (
	"sync"
	"time"
)

// simulatedServer is a backend server that runs one request per slot and may crash.
type simulatedServer struct {
	name    string
	tracker *Tracker
	slots   chan struct{}

	mutex    sync.Mutex
	up       bool
	inFlight map[*uint64]struct{}
	crashed  chan struct{}
}

// crashOneServer crashes a server independently of any request, in a random shard if all its replicas are up.
func (simulation *simulation) crashOneServer() {
	shard := simulation.randomInt(simulation.shards)
	replicas := simulation.servers[shard*simulatedReplicas : (shard+1)*simulatedReplicas]
	for _, server := range replicas {
		if !server.isUp() {
			return
		}
	}
	replicas[0].crash(simulation, nil)
}

func (server *simulatedServer) isUp() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.up
}

// run runs a request and reports whether the server answered it.
func (server *simulatedServer) run(simulation *simulation, fingerprint uint64) bool {
	server.slots <- struct{}{}
	defer func() { <-server.slots }()
	request := &fingerprint
	server.mutex.Lock()
	if !server.up {
		server.mutex.Unlock()
		return false
	}
	server.inFlight[request] = struct{}{}
	crashed := server.crashed
	server.mutex.Unlock()
	if fingerprint == crashing {
		time.Sleep(crashDelay)
		server.crash(simulation, request)
		return false
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		server.mutex.Lock()
		delete(server.inFlight, request)
		server.mutex.Unlock()
		server.tracker.RecordAnswer(fingerprint)
		return true
	case <-crashed:
		return false
	}
}

// crash aborts everything in flight and restarts the server after restartTime. request is the request that causes the
// crash and must still be in flight. It is nil when the server crashes independently of any request.
func (server *simulatedServer) crash(simulation *simulation, request *uint64) {
	server.mutex.Lock()
	if _, ok := server.inFlight[request]; !ok && request != nil {
		server.mutex.Unlock()
		return
	}
	var fingerprints []uint64
	for other := range server.inFlight {
		fingerprints = append(fingerprints, *other)
	}
	server.inFlight = make(map[*uint64]struct{})
	server.up = false
	close(server.crashed)
	server.crashed = make(chan struct{})
	server.mutex.Unlock()
	simulation.count(func(result *simulationResult) { result.Deaths++ })
	server.tracker.RecordCrash(server.name, fingerprints)
	time.AfterFunc(restartTime, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		server.up = true
	})
}
