package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Parameters of the case late-rejection.
const (
	machines = 9
	// Each of the services has three replicas of two slots, as those of treasurer-desk, and gets a third more requests than it can run.
	services           = 7
	replicasPerService = 3
	slotsPerReplica    = 2
	queuePerReplica    = 2
	meanWork           = 100 * time.Millisecond
	requestRate        = 560.0
	clientPool         = 1500
	loadTime           = 88 * time.Second
)

// lateRejection sends requests that must not be repeated to services that are full at times, and lets half of the replicas send a few of
// their answers a second time, where the next response is expected.
func lateRejection(run *run) ([]string, error) {
	if err := run.startStore(); err != nil {
		return nil, err
	}
	var faulty []*replica
	for number := range services * replicasPerService {
		replica, err := startReplica(run, replicaConfig{
			id: fmt.Sprintf("i-%d", number+1), service: fmt.Sprintf("levy-%d", number/replicasPerService+1), zone: zones[number%len(zones)],
			slots: slotsPerReplica, queue: queuePerReplica, maxConnections: 26,
			work: func() time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(meanWork)) },
		})
		if err != nil {
			return nil, err
		}
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
	run.load(run.fronts(), clientPool, requestRate, loadTime, func() *call {
		path := fmt.Sprintf("/levy-%d/%s", 1+rand.IntN(services), newID())
		return &call{method: http.MethodPost, host: "levy.example", path: path, route: path[:7], body: []byte("notice " + newID()), timeout: 6 * time.Second}
	})
	return checkOnce(run), nil
}
