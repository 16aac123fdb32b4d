package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Parameters of the case half-close. The dose of the disruption is that of the site file kowhai-search: give_up, share 0.3, for 8 s. Clients
// leave within half the objective of the route.
const (
	leaveShare  = 0.3
	leaveFor    = 8 * time.Second
	leaveWithin = 400 * time.Millisecond
	leaveFrom   = 5 * time.Second
	leaveRate   = 60.0
	leaveTime   = 20 * time.Second
	leaveWork   = 90 * time.Millisecond
)

// halfClose lets clients leave before they are answered: they end their sending side and read until the gateway closes the connection.
func halfClose(run *run) ([]string, error) {
	if err := run.startStore(); err != nil {
		return nil, err
	}
	for number := range services * replicasPerService {
		_, err := startReplica(run, replicaConfig{
			id: fmt.Sprintf("i-%d", number+1), service: fmt.Sprintf("levy-%d", number/replicasPerService+1), zone: zones[number%len(zones)],
			slots: slotsPerReplica, queue: strayQueue, maxConnections: 26,
			work: func() time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(leaveWork)) },
		})
		if err != nil {
			return nil, err
		}
	}
	if err := run.startGateways(machines); err != nil {
		return nil, err
	}
	if run.options.trouble {
		run.goroutine(func() {
			time.Sleep(leaveFrom)
			run.journal.note("clients begin to leave")
			run.setLeaveShare(leaveShare)
			time.Sleep(leaveFor)
			run.setLeaveShare(0)
			run.journal.note("clients leave no more")
		})
	}
	run.load(run.fronts(), clientPool, leaveRate, leaveTime, func() *call {
		path := fmt.Sprintf("/levy-%d/%s", 1+rand.IntN(services), newID())
		return &call{method: http.MethodPost, host: "levy.example", path: path, route: path[:7], body: []byte("notice " + newID()), timeout: 6 * time.Second}
	})
	var violations []string
	for _, entry := range run.journal.all() {
		if entry.note == " without a stamp" {
			violations = append(violations, fmt.Sprintf("MIXED: %s got a success (%d) without a replica's stamp at %.3f; replicas began to run it: %s",
				entry.id, entry.status, entry.answeredAt.Seconds(), describe(entry.runs)))
		}
	}
	return violations, nil
}
