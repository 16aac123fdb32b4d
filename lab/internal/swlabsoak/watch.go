package swlabsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
)

// watchInterval is the time between two requests that test which configuration is in force on a VM.
const watchInterval = 50 * time.Millisecond

// watchConfiguration checks until the context ends that a process of a VM that has served the route of a configuration does not refuse it
// before the next configuration: what was confirmed and seen must not go back.
func (fleet *fleet) watchConfiguration(ctx context.Context, vm *vm) {
	var seenBy *process
	seen := 0
	for i := 0; swtimer.Wait(ctx, watchInterval) == nil; i++ {
		process, version := vm.latest(), fleet.currentVersion()
		id := fmt.Sprintf("watch-%s-%d", vm.name, i)
		url := fmt.Sprintf("http://%s/version/%d/x", vm.settings.Gateway.Listen, version)
		fleet.results.addWatch(id)
		fleet.results.recorder.addRequest(id, swlabrule.Request{VM: vm.name, SentAt: time.Now()})
		status := requestStatus(ctx, url, id, "soak")
		if process != vm.latest() || version != fleet.currentVersion() {
			continue
		}
		switch {
		case status == http.StatusOK:
			seenBy, seen = process, version
			fleet.results.recorder.see(vm, process, version)
		case status == http.StatusNotFound && seenBy == process && seen == version:
			fleet.results.addViolation("CONFIG: %s has served the route of version %d and refuses it (%s)", vm.name, version, id)
		}
	}
}

// currentVersion returns the version of the latest configuration.
func (fleet *fleet) currentVersion() int {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.configurationVersion
}

// addWatch records a request whose answer is checked elsewhere.
func (results *results) addWatch(id string) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	if results.watches == nil {
		results.watches = make(map[string]bool)
	}
	results.watches[id] = true
}
