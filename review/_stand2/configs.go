package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["configs"] = manyConfigs
}

const (
	// configRoutes is the number of routes of the configuration.
	configRoutes = 5500
	// A storm of changes lasts for stormTime, with a change each stormGap. Storms follow each other after stormPause.
	stormTime  = 1500 * time.Millisecond
	stormGap   = 60 * time.Millisecond
	stormPause = 500 * time.Millisecond
	// configsTime is how long the operator goes on.
	configsTime = 98 * time.Second
)

// manyConfigs changes a large configuration many times.
func manyConfigs(environment *environment) int {
	deployment := newDeployment(environment, machineMB)
	defer deployment.end()
	deployment.addService("audit-export", 3, 20*time.Millisecond, zones...)
	for i := range configRoutes {
		deployment.addRoute(fmt.Sprintf("pull-%04d", i), map[string]any{"backend": "audit-export", "timeout_ms": 6000})
	}
	deployment.configure()
	if !deployment.start() {
		return couldNot
	}
	environment.printf("the configuration has %d routes and %d bytes", configRoutes, deployment.configBytes())
	ordinary := &tally{}
	var asking sync.WaitGroup
	until := time.Now().Add(configsTime)
	goesOn := func() bool { return time.Now().Before(until) && deployment.faultyMachines() < faultMachines }
	asking.Go(func() {
		for i := 0; goesOn(); i++ {
			vm := deployment.vms[i%len(deployment.vms)]
			ordinary.count(ask(vm.front, http.MethodGet, "/pull-0001/x", newRequestID(), 2*time.Second, ""))
			time.Sleep(50 * time.Millisecond)
		}
	})
	for storm := 0; goesOn(); storm++ {
		for end := time.Now().Add(stormTime); environment.trouble && time.Now().Before(end); time.Sleep(stormGap) {
			deployment.routes[0]["timeout_ms"] = 6000 + deployment.version%7
			deployment.configure()
		}
		time.Sleep(stormPause)
		if storm%4 == 0 {
			environment.printf("after version %d: %d, %d and %d MB resident", deployment.version, deployment.vms[0].residentMB.Load(), deployment.vms[1].residentMB.Load(), deployment.vms[2].residentMB.Load())
		}
	}
	asking.Wait()
	environment.printf("ordinary client: %s", ordinary)
	return deployment.judgeMemory()
}
