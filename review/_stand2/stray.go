package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["stray"] = strayBytes
}

const (
	// strayShare is the share of the responses before which a replica sends bytes that belong to none.
	strayShare = 0.03
	// strayTime is how long replicas do that, and strayClients the number of clients, each of which sends one request after the other.
	strayTime    = 5 * time.Second
	strayClients = 24
	strayQueue   = 2
)

// strayBytes sends requests that must not run twice to replicas that are full at times. Three of six send a second copy of a rejection late,
// where the next response is expected, and cut it short.
func strayBytes(environment *environment) int {
	deployment := newDeployment(environment, 284)
	defer deployment.end()
	deployment.services = append(deployment.services, "audit-export")
	var raws []*rawReplica
	for i := range 6 {
		raw, err := startRawReplica(fmt.Sprintf("i-audit-%d", i), "audit-export", zones[i%len(zones)], 2, strayQueue, 10*time.Millisecond)
		if err != nil {
			return couldNot
		}
		if environment.trouble && i < 3 {
			raw.strayShare = strayShare
		}
		raws = append(raws, raw)
		deployment.replicas = append(deployment.replicas, raw.replica)
		deployment.store.put("servers", raw.id, raw.entry("ready", 1))
	}
	deployment.addRoute("pull", map[string]any{"backend": "audit-export", names.RouteType: "unsafe", "timeout_ms": 6000})
	deployment.configure()
	if !deployment.start() {
		return couldNot
	}
	var sent, succeeded, refused, others, twice atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(strayTime)
	for client := range strayClients {
		clients.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				id := newRequestID()
				vm := deployment.vms[(client+number)%len(deployment.vms)]
				got := ask(vm.front, http.MethodPost, "/pull/x", id, 6*time.Second, fmt.Sprintf("work %d of client %d", number, client))
				sent.Add(1)
				switch {
				case got.status == http.StatusOK:
					succeeded.Add(1)
				case isPromise(got.status):
					refused.Add(1)
				default:
					others.Add(1)
				}
				if runs := runsOf(deployment.replicas, id); runs > 1 || runs > 0 && isPromise(got.status) {
					twice.Add(1)
					environment.printf("request %s to %s: answered %d; ran %d times", id, vm.name, got.status, runs)
				}
			}
		})
	}
	clients.Wait()
	strays := int64(0)
	for _, raw := range raws {
		strays += raw.strays.Load()
	}
	environment.printf("%d requests sent: %d succeeded, %d refused, %d others; stray bytes were sent %d times", sent.Load(), succeeded.Load(), refused.Load(), others.Load(), strays)
	if twice.Load() > 0 {
		environment.printf("BROKEN: %d requests ran twice, or ran although the answer promised that they had not", twice.Load())
		return broken
	}
	environment.printf("held")
	return held
}
