package swlabsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcrowd"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
)

const (
	// readyTimeout is how long all VMs may take to become ready at the start and after the last fault.
	readyTimeout = 10 * time.Second
	// recoveryPeriod is how long clients continue to send requests once all VMs are ready after the last fault.
	recoveryPeriod = 2 * time.Second
	// minServedRatio is the fraction of the requests of the recovery period that must succeed.
	minServedRatio = 0.98
	// safetyTimeoutFactor multiplies the timeouts of a run that checks safety only.
	safetyTimeoutFactor = 10
	// lateRunPeriod is how long a run waits for requests that still run after the last response. It is longer than any deadline
	// that clients send.
	lateRunPeriod = 2 * time.Second
)

// Config holds the parameters of a run.
type Config struct {
	// Binary is the path of the sycamorewall binary.
	Binary string
	// Directory receives the settings and the logs of the VMs.
	Directory string
	Seed      uint64
	// Duration is how long faults are injected, or how long clients send requests in a run without faults.
	Duration time.Duration
	// WithoutFaults turns fault injection off.
	WithoutFaults bool
	VMs           int
	Clients       int
	// Focus restricts one series of faults to those whose name contains it; empty for all faults.
	Focus string
	// Features are the parts of the gateway whose routes, tenants, objects and rules the run has besides; empty for none.
	Features []swlabrule.Feature
	// SafetyOnly checks only guarantees that must hold on a slow machine too. It extends the time that VMs have to become ready
	// and to apply a configuration.
	SafetyOnly bool
	// Out receives a line for each fault; it may be io.Discard.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Refused  int
	Failed   int
	// Faults is the number of lines in the log of faults: one for each fault, and one for each error during a fault.
	Faults int
	// MedianLatency and P99Latency are the 50th and 99th percentile of the latency of served requests.
	MedianLatency time.Duration
	P99Latency    time.Duration
	// Violations describes each violation of a guarantee that was found.
	Violations []string
}

// Run starts a fleet, injects the faults of one seed under load, and returns what it found.
func Run(ctx context.Context, config Config) (Report, error) {
	report := Report{Seed: config.Seed}
	fleet, err := startFleet(config)
	if fleet != nil {
		defer fleet.close()
	}
	if err != nil {
		return report, err
	}
	results := fleet.results
	vmReadyTimeout, configurationTimeout := readyTimeout, applyTimeout
	if config.SafetyOnly {
		vmReadyTimeout, configurationTimeout = safetyTimeoutFactor*readyTimeout, safetyTimeoutFactor*applyTimeout
	}
	if err := fleet.awaitReady(ctx, vmReadyTimeout); err != nil {
		return report, errors.Wrap(err, "wait for VMs to start")
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	clients := swgroup.New(clientsCtx)
	for i := range config.Clients {
		client := newClient(i, fleet.vms[i%len(fleet.vms)].settings.Gateway.Listen.String(), config.Seed, results)
		clients.Go(client.run)
	}
	if config.WithoutFaults {
		_ = swtimer.Wait(ctx, config.Duration)
	} else {
		report.Faults = fleet.injectFaults(ctx, config)
	}
	if err := fleet.awaitReady(ctx, vmReadyTimeout); err != nil {
		results.addViolation("RECOVER: %v", err)
	}
	fleet.checkConfiguration(ctx, results, configurationTimeout)
	if !config.SafetyOnly {
		fleet.checkEvacuation(ctx, results)
	}
	recoveredAt := time.Now()
	_ = swtimer.Wait(ctx, recoveryPeriod)
	clients.Stop()
	_ = swtimer.Wait(ctx, lateRunPeriod)
	fleet.checkMemory(results)
	fleet.checkRequests(results, &report)
	fleet.checkLogs(results)
	if !config.SafetyOnly {
		results.checkRecovery(recoveredAt)
	}
	report.Violations = append(results.violations, results.recorder.violations(fleet.journal)...)
	return report, nil
}

// injectFaults runs four concurrent series of faults and returns the number of lines logged.
func (fleet *fleet) injectFaults(ctx context.Context, config Config) int {
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	startedAt := time.Now()
	var mutex sync.Mutex
	count := 0
	environmentFaults := append(slices.Clone(environmentFaults), fleet.results.recorder.featureFaults()...)
	focused := slices.DeleteFunc(slices.Clone(environmentFaults), func(fault fault) bool { return !strings.Contains(fault.name, config.Focus) })
	if len(focused) == 0 {
		focused = environmentFaults
	}
	group := swgroup.New(ctx)
	for i, faults := range [][]fault{processFaults, environmentFaults, focused, crowdFaults} {
		injector := &injector{fleet: fleet, random: rand.New(rand.NewPCG(config.Seed, uint64(i))), log: func(format string, values ...any) {
			mutex.Lock()
			defer mutex.Unlock()
			count++
			fmt.Fprintf(config.Out, "%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, values...))
		}}
		group.Go(func(ctx context.Context) { injector.injectUntilDone(ctx, faults) })
	}
	for _, vm := range fleet.vms {
		group.Go(func(ctx context.Context) { fleet.watchConfiguration(ctx, vm) })
	}
	group.Wait()
	return count
}

// awaitReady waits until every VM reports that it is ready.
func (fleet *fleet) awaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, vm := range fleet.vms {
		for !returnsOK(ctx, "http://"+vm.settings.Gateway.Ready.String()+"/v1/ready", "ready", "") {
			if swtimer.Wait(ctx, 20*time.Millisecond) != nil {
				return errors.Errorf("%s is not ready within %s", vm.name, timeout)
			}
		}
	}
	return nil
}

// returnsOK reports whether a GET request to the URL returns status 200.
func returnsOK(ctx context.Context, url, id, host string) bool {
	return requestStatus(ctx, url, id, host) == http.StatusOK
}

// requestStatus sends a request on a new connection and returns the status of the response, or zero without one.
func requestStatus(ctx context.Context, url, id, host string) int {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	request.Header.Set("X-Request-Id", id)
	request.Host = host
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// checkConfiguration writes a new configuration while no fault is injected, and checks that every VM applies it in time.
func (fleet *fleet) checkConfiguration(ctx context.Context, results *results, timeout time.Duration) {
	// A VM that was cut off until now needs time to reconnect to the store.
	_ = swtimer.Wait(ctx, 2*applyTimeout)
	fleet.changeAndAwaitConfiguration(ctx, results, timeout)
}

// changeAndAwaitConfiguration writes a new configuration and checks that every VM applies it in time.
func (fleet *fleet) changeAndAwaitConfiguration(ctx context.Context, results *results, timeout time.Duration) {
	if err := fleet.writeNextConfiguration(); err != nil {
		results.addViolation("CONFIG: configuration not written: %v", err)
		return
	}
	deadline := time.Now().Add(timeout)
	for _, vm := range fleet.vms {
		url := fmt.Sprintf("http://%s/version/%d/x", vm.settings.Gateway.Listen, fleet.configurationVersion)
		id := "config-" + vm.name
		results.add(request{id: id, status: http.StatusOK, sentAt: time.Now()})
		process := vm.latest()
		results.recorder.addRequest(id, swlabrule.Request{VM: vm.name, SentAt: time.Now()})
		served := true
		for !returnsOK(ctx, url, id, "soak") {
			if time.Now().After(deadline) {
				results.addViolation("CONFIG: %s does not serve the route of version %d after %s", vm.name, fleet.configurationVersion, timeout)
				served = false
				break
			}
			_ = swtimer.Wait(ctx, 20*time.Millisecond)
		}
		if served {
			results.recorder.see(vm, process, fleet.configurationVersion)
		}
	}
}

// checkRecovery checks that enough of the requests sent after the last fault succeeded. A request that a rule refuses counts as a
// success when it is refused.
func (results *results) checkRecovery(recoveredAt time.Time) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	total, served := 0, 0
	for _, request := range results.requests {
		if request.sentAt.Before(recoveredAt) || errors.Is(request.err, context.Canceled) {
			continue
		}
		total++
		if request.status == http.StatusOK || request.refusedByRule && request.status == http.StatusForbidden || request.isRightRefusal() {
			served++
		}
	}
	if float64(served) < minServedRatio*float64(total) {
		results.violations = append(results.violations,
			fmt.Sprintf("RECOVER: only %d of %d requests were served after the last fault", served, total))
	}
}

// checkRequests compares the responses that clients received with the requests that replicas ran.
func (fleet *fleet) checkRequests(results *results, report *Report) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	results.violations = append(results.violations, fleet.journal.Violations()...)
	sentIDs := make(map[string]bool, len(results.requests))
	var latencies []time.Duration
	for _, request := range results.requests {
		sentIDs[request.id] = true
		runs := fleet.journal.Runs(request.id)
		report.Requests++
		switch {
		case request.status == http.StatusOK:
			report.Served++
			latencies = append(latencies, request.latency)
		case request.status == http.StatusServiceUnavailable, request.status == http.StatusForbidden, request.isRightRefusal():
			report.Refused++
		default:
			report.Failed++
		}
		if request.runsAtMostOnce && len(runs) > 1 {
			results.violations = append(results.violations, fmt.Sprintf("TWICE: %s ran %d times: %v", request.id, len(runs), runs))
		}
		if impliesNotRun(request.status) && len(runs) > 0 {
			results.violations = append(results.violations,
				fmt.Sprintf("REFUSED: %s ran despite the response %d: %v", request.id, request.status, runs))
		}
		results.violations = append(results.violations, request.findRunsOfRefused(runs)...)
		if request.refusedByRule && (len(runs) > 0 || request.status == http.StatusOK) {
			results.violations = append(results.violations, fmt.Sprintf("RULE: %s must be refused by a rule, got the response %d and ran: %v",
				request.id, request.status, runs))
		}
		if request.refusedByRule && request.status == http.StatusForbidden || request.isRightRefusal() {
			continue
		}
		if request.status >= http.StatusBadRequest && request.status < http.StatusInternalServerError && !impliesNotRun(request.status) {
			results.violations = append(results.violations,
				fmt.Sprintf("DENIED: %s got the unexpected response %d", request.id, request.status))
		}
	}
	if slices.Sort(latencies); len(latencies) > 0 {
		report.MedianLatency, report.P99Latency = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	results.violations = append(results.violations, results.findUnasked(fleet.journal.IDs(), sentIDs)...)
}

// findUnasked describes the requests that replicas ran and that nobody sent. The caller holds the mutex.
func (results *results) findUnasked(runIDs []string, sentIDs map[string]bool) []string {
	var unasked []string
	for _, id := range runIDs {
		if !sentIDs[id] && !results.watches[id] && !strings.HasPrefix(id, swlabcrowd.IDPrefix) {
			unasked = append(unasked, fmt.Sprintf("UNASKED: a replica ran %s, which no client sent", id))
		}
	}
	return unasked
}

// impliesNotRun reports whether a status guarantees that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
