package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["bodies"] = func(environment *environment) int {
		return crowds(environment, bodyClients, strings.Repeat("x", maxBodyBytes-100))
	}
	cases["searches"] = func(environment *environment) int { return crowds(environment, searchClients, "x") }
}

const (
	// bodyClients and searchClients are the numbers of clients of a crowd at each of two VMs.
	bodyClients   = 100
	searchClients = 900
	// crowdTime is how long the crowd sends.
	crowdTime = 60 * time.Second
	shards    = 36
	// machineMB is the memory of each machine.
	machineMB = 184
	// The day counts as a fault if processes end by themselves so often, on so many machines.
	faultEnds, faultMachines = 3, 2
)

// tally counts the answers to the requests of some clients.
type tally struct {
	sent, succeeded, refused, unanswered atomic.Int64
}

func (tally *tally) count(got answer) {
	tally.sent.Add(1)
	switch {
	case got.err != nil:
		tally.unanswered.Add(1)
	case got.status == http.StatusOK:
		tally.succeeded.Add(1)
	default:
		tally.refused.Add(1)
	}
}

func (tally *tally) String() string {
	return fmt.Sprintf("%d sent, %d succeeded, %d refused, %d without an answer", tally.sent.Load(), tally.succeeded.Load(), tally.refused.Load(), tally.unanswered.Load())
}

// crowds sends searches with a body to two VMs, from many clients at once, or without the disruption from one after the other.
func crowds(environment *environment, clients int, body string) int {
	deployment := newDeployment(environment, machineMB)
	defer deployment.end()
	var gather []string
	for i := range shards {
		name := fmt.Sprintf("desk~%d", i)
		gather = append(gather, name)
		deployment.addService(name, 4, 11*time.Millisecond, zones...)
	}
	deployment.addRoute("ledger", map[string]any{"gather": gather, "top_k": 20, names.Coverage: 0.95})
	deployment.configure()
	if !deployment.start() {
		return couldNot
	}
	time.Sleep(3 * time.Second)
	if !environment.trouble {
		clients = 1
	}
	environment.printf("%d clients at each of two VMs send searches of %d shards with bodies of %d bytes", clients, shards, len(body))
	until := time.Now().Add(crowdTime)
	sends := func() bool { return time.Now().Before(until) && deployment.faultyMachines() < faultMachines }
	var sending sync.WaitGroup
	ordinary := &tally{}
	for _, vm := range deployment.vms[:2] {
		crowd := &tally{}
		for range clients {
			sending.Go(func() {
				for sends() {
					got := ask(vm.front, http.MethodPost, "/ledger/x", newRequestID(), 2500*time.Millisecond, body)
					crowd.count(got)
					if got.status != http.StatusOK {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
		sending.Go(func() {
			for sends() {
				ordinary.count(ask(vm.front, http.MethodGet, "/ledger/y", newRequestID(), 2500*time.Millisecond, ""))
				time.Sleep(100 * time.Millisecond)
			}
			environment.printf("crowd at %s: %s", vm.name, crowd)
		})
	}
	sending.Wait()
	environment.printf("ordinary client beside the crowds: %s", ordinary)
	return deployment.judgeMemory()
}

// judgeMemory reports the memory of the processes, and whether they were ended because of it so often that the day counts as a fault.
func (deployment *deployment) judgeMemory() int {
	for _, vm := range deployment.vms {
		deployment.printf("%s: at most %d MB resident of %d MB; ended %d times because it exceeded the memory of its machine", vm.name, vm.peakMB.Load(), vm.memoryMB, vm.exceeded.Load())
	}
	if machines := deployment.faultyMachines(); machines >= faultMachines {
		deployment.printf("BROKEN: on %d machines, processes ended %d times or more", machines, faultEnds)
		return broken
	}
	deployment.printf("held")
	return held
}

// faultyMachines returns the number of machines on which processes ended as often as it takes for a fault.
func (deployment *deployment) faultyMachines() int {
	machines := 0
	for _, vm := range deployment.vms {
		if vm.exceeded.Load() >= faultEnds {
			machines++
		}
	}
	return machines
}
