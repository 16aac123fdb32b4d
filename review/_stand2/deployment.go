package main

import (
	"fmt"
	"syscall"
	"time"
)

// zones are the zones of a deployment, each in a region of its own.
var zones = []string{"akl-a", "wlg-a", "chc-a"}

// Limits of the configuration.
const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 256 << 10
	idleTimeoutMS  = 5000
)

// deployment is a small deployment of three VMs, one for each zone, in front of stand-ins.
type deployment struct {
	*environment
	store    *store
	vms      []*vm
	replicas []*replica
	version  int
	routes   []map[string]any
	services []string
}

// newDeployment returns a deployment whose processes are not started.
func newDeployment(environment *environment, memoryMB int) *deployment {
	deployment := &deployment{environment: environment, store: newStore()}
	for i, zone := range zones {
		deployment.vms = append(deployment.vms, newVM(environment.directory, "front-"+zone+"-1", fmt.Sprintf("127.0.0.%d", 2+i), zone, memoryMB, deployment.store.address()))
	}
	deployments = append(deployments, deployment)
	return deployment
}

// deployments are those whose processes are ended when the command is told to end.
var deployments []*deployment

// addService adds a service with one replica in each of the zones.
func (deployment *deployment) addService(name string, slots int, work time.Duration, zones ...string) []*replica {
	deployment.services = append(deployment.services, name)
	return deployment.addReplicas(name, "a", slots, work, zones...)
}

// addReplicas starts one more replica of a service in each of the zones.
func (deployment *deployment) addReplicas(name, suffix string, slots int, work time.Duration, zones ...string) []*replica {
	var added []*replica
	for _, zone := range zones {
		replica := startReplica(fmt.Sprintf("i-%s-%s-%s", name, zone, suffix), name, zone, slots, work)
		added = append(added, replica)
		deployment.store.put("servers", replica.id, replica.entry("ready", 1))
	}
	deployment.replicas = append(deployment.replicas, added...)
	return added
}

// addRoute adds a route; fields are those that differ from the usual ones.
func (deployment *deployment) addRoute(name string, fields map[string]any) {
	route := map[string]any{
		"name": name, "hostname": "case.example", names.PathPrefix: "/" + name + "/", names.RouteType: "safe", "timeout_ms": 2500,
		"target_latency_ms": 150, "priority": 1, "attempts": 3,
	}
	for field, value := range fields {
		route[field] = value
	}
	deployment.routes = append(deployment.routes, route)
}

// configure writes the next version of the configuration.
func (deployment *deployment) configure() {
	deployment.version += 3
	var services []map[string]any
	for _, name := range deployment.services {
		services = append(services, map[string]any{"name": name, "health_check_path": "/healthz", "max_connections": 68})
	}
	deployment.store.put("config", "main", map[string]any{
		"version": deployment.version, "routes": deployment.routes, "backends": services,
		"limits": map[string]any{
			"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 4000, "idle_timeout_ms": idleTimeoutMS,
		},
	})
}

// start starts the processes and waits until all are ready.
func (deployment *deployment) start() bool {
	for _, vm := range deployment.vms {
		if err := vm.start(); err != nil {
			deployment.printf("starting %s: %v", vm.name, err)
			return false
		}
	}
	for _, vm := range deployment.vms {
		if !vm.awaitReady(20 * time.Second) {
			deployment.printf("%s is not ready", vm.name)
			return false
		}
	}
	deployment.printf("%d processes are ready", len(deployment.vms))
	return true
}

// end ends all processes and stand-ins.
func (deployment *deployment) end() {
	for _, vm := range deployment.vms {
		vm.ended.Store(true)
	}
	// A process that is being restarted exists after this time.
	time.Sleep(2 * restartDelay)
	for _, vm := range deployment.vms {
		vm.signal(syscall.SIGCONT)
		vm.signal(syscall.SIGKILL)
	}
	deployment.store.server.CloseClientConnections()
	for _, replica := range deployment.replicas {
		if replica.server == nil {
			continue
		}
		replica.server.CloseClientConnections()
	}
}

// configBytes returns the size of the configuration in the store.
func (deployment *deployment) configBytes() int {
	deployment.store.mutex.Lock()
	defer deployment.store.mutex.Unlock()
	return len(deployment.store.objects["config/main"].Spec)
}
