package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Parameters of the case stray-rejection: services with replicas that are far from full.
const (
	strayRate = 100.0
	strayTime = 50 * time.Second
	strayWork = 60 * time.Millisecond
	// strayQueue is the number of requests that may wait at a replica.
	strayQueue = 12
)

// strayRejection sends requests that must not be repeated, and lets half of the replicas send a few times, where the next response is
// expected, the answer to a request without an ID, which nobody sent.
func strayRejection(run *run) ([]string, error) {
	if err := run.startStore(); err != nil {
		return nil, err
	}
	var faulty []*replica
	for number := range services * replicasPerService {
		replica, err := startReplica(run, replicaConfig{
			id: fmt.Sprintf("i-%d", number+1), service: fmt.Sprintf("levy-%d", number/replicasPerService+1), zone: zones[number%len(zones)],
			slots: slotsPerReplica, queue: strayQueue, maxConnections: 26,
			work: func() time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(strayWork)) },
		})
		if err != nil {
			return nil, err
		}
		replica.stray = encode(http.StatusBadRequest, "", wire.NotRun+": 1\r\n", nil)
		if number%2 == 1 {
			faulty = append(faulty, replica)
		}
	}
	if err := run.startGateways(machines); err != nil {
		return nil, err
	}
	if run.options.trouble {
		run.goroutine(func() { garble(run, faulty, services*replicasPerService) })
	}
	run.load(run.fronts(), clientPool, strayRate, strayTime, func() *call {
		path := fmt.Sprintf("/levy-%d/%s", 1+rand.IntN(services), newID())
		return &call{method: http.MethodPost, host: "levy.example", path: path, route: path[:7], body: []byte("notice " + newID()), timeout: 6 * time.Second}
	})
	return checkOnce(run), nil
}
