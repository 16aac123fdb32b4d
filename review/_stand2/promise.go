package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["promise"] = promises
}

const (
	// failingShare is the share of the requests that the failing replica fails, and failingTime how long it does.
	failingShare = 0.45
	failingTime  = 6 * time.Second
	// promiseClients is the number of clients, each of which sends one request after the other.
	promiseClients = 24
)

// promises sends requests that must not run twice, while one of nine replicas runs part of them and then fails. Clients ask again after a
// promise that the request has not run.
func promises(environment *environment) int {
	deployment := newDeployment(environment, 284)
	defer deployment.end()
	replicas := deployment.addService("audit-export", 3, 20*time.Millisecond, zones...)
	for _, suffix := range []string{"b", "c"} {
		replicas = append(replicas, deployment.addReplicas("audit-export", suffix, 3, 20*time.Millisecond, zones...)...)
	}
	deployment.addRoute("pull", map[string]any{"backend": "audit-export", names.RouteType: "unsafe", "timeout_ms": 6000})
	deployment.configure()
	var failed atomic.Int64
	if environment.trouble {
		replicas[0].answer = func(writer http.ResponseWriter, _ *http.Request, _ int) bool {
			if rand.Float64() >= failingShare {
				return false
			}
			failed.Add(1)
			writer.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	if !deployment.start() {
		return couldNot
	}
	var sent, brokenPromises, ranTwice atomic.Int64
	var clients sync.WaitGroup
	until := time.Now().Add(failingTime)
	for client := range promiseClients {
		clients.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				work := fmt.Sprintf("work %d of client %d", number, client)
				vm := deployment.vms[(client+number)%len(deployment.vms)]
				for attempt := range 2 {
					id := newRequestID()
					got := ask(vm.front, http.MethodPost, "/pull/x", id, 6*time.Second, work)
					sent.Add(1)
					runs := runsOf(replicas, id)
					if !isPromise(got.status) {
						break
					}
					if runs > 0 {
						brokenPromises.Add(1)
						environment.printf("%s, attempt %d, request %s to %s: answered %d with stamp %q; it has run", work, attempt+1, id, vm.name, got.status, got.header.Get(names.Stamp))
					}
				}
				if runs := runsOfWork(replicas, work); runs > 1 {
					ranTwice.Add(1)
					environment.printf("%s ran %d times", work, runs)
				}
			}
		})
	}
	clients.Wait()
	environment.printf("%d requests sent; a replica failed %d that it had run", sent.Load(), failed.Load())
	environment.printf("%d answers promised that a request had not run that had; %d pieces of work ran more than once", brokenPromises.Load(), ranTwice.Load())
	if brokenPromises.Load() > 0 {
		environment.printf("BROKEN")
		return broken
	}
	environment.printf("held")
	return held
}

// isPromise reports whether a status promises that a request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
