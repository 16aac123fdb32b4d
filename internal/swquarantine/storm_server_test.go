package swquarantine

import (
	"sync"
	"time"
)

// stormServer is a backend server that runs a request in each slot and may die.
type stormServer struct {
	name  string
	owner *Tracker
	slots chan struct{}

	mutex    sync.Mutex
	up       bool
	inFlight map[*uint64]struct{}
	crashed  chan struct{}
}

// dieAlone crashes a server by itself, of a shard whose replicas are all up.
func (storm *storm) dieAlone() {
	shard := storm.draw(storm.shards)
	replicas := storm.servers[shard*stormReplicas : (shard+1)*stormReplicas]
	for _, server := range replicas {
		if !server.isUp() {
			return
		}
	}
	replicas[0].crash(storm, nil)
}

func (server *stormServer) isUp() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.up
}

// serve runs a request and reports whether the server lived to answer it.
func (server *stormServer) serve(storm *storm, fingerprint uint64) bool {
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
	if fingerprint == bad {
		time.Sleep(crashAfter)
		server.crash(storm, request)
		return false
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		server.mutex.Lock()
		delete(server.inFlight, request)
		server.mutex.Unlock()
		server.owner.RecordAnswer(fingerprint)
		return true
	case <-crashed:
		return false
	}
}

// crash ends everything in flight and restarts the server after a time. It is the work of a request that is still in
// flight, or of the server itself when request is nil.
func (server *stormServer) crash(storm *storm, request *uint64) {
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
	storm.count(func(result *stormResult) { result.Deaths++ })
	server.owner.RecordCrash(server.name, fingerprints)
	time.AfterFunc(restartTime, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		server.up = true
	})
}
