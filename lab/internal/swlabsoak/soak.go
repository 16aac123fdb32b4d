package swlabsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// readyWithin is how long all VMs may take to serve at the start, and after the last fault.
	readyWithin = 10 * time.Second
	// calmFor is how long clients go on after the last fault, once all VMs serve.
	calmFor = 2 * time.Second
	// calmServed is the share of requests that are to be served then.
	calmServed = 0.98
	// patientFactor is how much longer a run waits that checks safety only.
	patientFactor = 10
	// settleFor is how long a refused request could still run, which is longer than any deadline.
	settleFor = 2 * time.Second
)

// Config holds what a run is built from.
type Config struct {
	// Binary is the program of sycamorewall, Directory where settings and logs go.
	Binary    string
	Directory string
	Seed      uint64
	// Duration is how long faults are injected, or how long a calm run lasts.
	Duration time.Duration
	// Calm injects no fault.
	WithoutFaults bool
	VMs           int
	Clients       int
	// Safety checks only promises that no slow machine excuses, and waits for the others as long as it takes.
	SafetyOnly bool
	// Out takes a line for each fault; it may be io.Discard.
	Out io.Writer
}

// Report is what a run found.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Refused  int
	Failed   int
	// Faults is the number of faults injected.
	Faults int
	// Median and Slow are the 50th and 99th percentile of the latency of what was served.
	MedianLatency time.Duration
	P99Latency    time.Duration
	// Wrong lists the promises that were broken.
	Violations []string
}

// Run runs one seed.
func Run(ctx context.Context, config Config) (Report, error) {
	report := Report{Seed: config.Seed}
	fleet, err := startFleet(config)
	if fleet != nil {
		defer fleet.close()
	}
	if err != nil {
		return report, err
	}
	record := fleet.record
	within, applied := readyWithin, applyWithin
	if config.SafetyOnly {
		within, applied = patientFactor*readyWithin, patientFactor*applyWithin
	}
	if err := fleet.awaitReady(ctx, within); err != nil {
		return report, errors.Wrap(err, "at the start")
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	clients := swgroup.New(clientsCtx)
	for i := range config.Clients {
		client := newClient(i, fleet.vms[i%len(fleet.vms)].settings.Gateway.Listen.String(), config.Seed, record)
		clients.Go(client.run)
	}
	if config.WithoutFaults {
		_ = swtimer.Wait(ctx, config.Duration)
	} else {
		report.Faults = fleet.disturb(ctx, config)
	}
	if err := fleet.awaitReady(ctx, within); err != nil {
		record.fault("RECOVER: %v", err)
	}
	fleet.checkConfiguration(ctx, record, applied)
	calm := time.Now()
	_ = swtimer.Wait(ctx, calmFor)
	clients.Stop()
	_ = swtimer.Wait(ctx, settleFor)
	fleet.check(record, &report)
	if !config.SafetyOnly {
		record.checkCalm(calm)
	}
	report.Violations = record.wrong
	return report, nil
}

// disturb injects faults in three series beside each other and returns their number.
func (fleet *fleet) disturb(ctx context.Context, config Config) int {
	ctx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	began := time.Now()
	var mutex sync.Mutex
	faults := 0
	group := swgroup.New(ctx)
	for i, kinds := range [][]fault{processFaults, outsideFaults, outsideFaults} {
		disturber := &disturber{fleet: fleet, random: rand.New(rand.NewPCG(config.Seed, uint64(i))), log: func(format string, values ...any) {
			mutex.Lock()
			defer mutex.Unlock()
			faults++
			fmt.Fprintf(config.Out, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, values...))
		}}
		group.Go(func(ctx context.Context) { disturber.series(ctx, kinds) })
	}
	group.Wait()
	return faults
}

// awaitReady waits until every VM says that it is ready.
func (fleet *fleet) awaitReady(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, vm := range fleet.vms {
		for !get(ctx, "http://"+vm.settings.Gateway.Ready.String()+"/v1/ready", "ready", "") {
			if swtimer.Wait(ctx, 20*time.Millisecond) != nil {
				return errors.Errorf("%s is not ready within %s", vm.name, within)
			}
		}
	}
	return nil
}

// get reports whether a URL answers 200.
func get(ctx context.Context, url, id, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, clientPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set("X-Request-Id", id)
	request.Host = host
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// checkConfiguration changes the configuration without a fault and checks that every VM has it in force in time.
func (fleet *fleet) checkConfiguration(ctx context.Context, record *record, within time.Duration) {
	// A VM that was cut off until now finds its way back first.
	_ = swtimer.Wait(ctx, 2*applyWithin)
	if err := fleet.configure(); err != nil {
		record.fault("no configuration: %v", err)
		return
	}
	due := time.Now().Add(within)
	for _, vm := range fleet.vms {
		url := fmt.Sprintf("http://%s/version/%d/x", vm.settings.Gateway.Listen, fleet.version)
		id := "config-" + vm.name
		record.add(attempt{id: id, status: http.StatusOK, at: time.Now()})
		for !get(ctx, url, id, "soak") {
			if time.Now().After(due) {
				record.fault("CONFIG: %s does not serve the route of version %d after %s", vm.name, fleet.version, within)
				break
			}
			_ = swtimer.Wait(ctx, 20*time.Millisecond)
		}
	}
}

// checkCalm checks that requests are served once the faults are over.
func (record *record) checkCalm(calm time.Time) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	all, served := 0, 0
	for _, attempt := range record.attempts {
		if attempt.at.Before(calm) || errors.Is(attempt.err, context.Canceled) {
			continue
		}
		all++
		if attempt.status == http.StatusOK || attempt.ruled && attempt.status == http.StatusForbidden {
			served++
		}
	}
	if float64(served) < calmServed*float64(all) {
		record.wrong = append(record.wrong, fmt.Sprintf("RECOVER: %d of %d served after the last fault", served, all))
	}
}

// check compares what clients were told with what replicas ran.
func (fleet *fleet) check(record *record, report *Report) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	known := make(map[string]bool, len(record.attempts))
	var latencies []time.Duration
	for _, attempt := range record.attempts {
		known[attempt.id] = true
		runs := fleet.journal.Runs(attempt.id)
		report.Requests++
		switch attempt.status {
		case http.StatusOK:
			report.Served++
			latencies = append(latencies, attempt.took)
		case http.StatusServiceUnavailable, http.StatusForbidden:
			report.Refused++
		default:
			report.Failed++
		}
		if attempt.once && len(runs) > 1 {
			record.wrong = append(record.wrong, fmt.Sprintf("TWICE: %s ran %d times: %v", attempt.id, len(runs), runs))
		}
		if attempt.once && refused(attempt.status) && len(runs) > 0 {
			record.wrong = append(record.wrong, fmt.Sprintf("REFUSED: %s was answered %d and ran: %v", attempt.id, attempt.status, runs))
		}
		if attempt.ruled && (len(runs) > 0 || attempt.status == http.StatusOK) {
			record.wrong = append(record.wrong, fmt.Sprintf("RULE: %s is refused by a rule, was answered %d and ran: %v", attempt.id, attempt.status, runs))
		}
		if attempt.ruled && attempt.status == http.StatusForbidden {
			continue
		}
		if attempt.status >= http.StatusBadRequest && attempt.status < http.StatusInternalServerError && !refused(attempt.status) {
			record.wrong = append(record.wrong, fmt.Sprintf("DENIED: %s was answered %d", attempt.id, attempt.status))
		}
	}
	if slices.Sort(latencies); len(latencies) > 0 {
		report.MedianLatency, report.P99Latency = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	for _, id := range fleet.journal.IDs() {
		if !known[id] {
			record.wrong = append(record.wrong, fmt.Sprintf("UNASKED: %s ran, which no client sent", id))
		}
	}
}

// refused reports whether a status promises that the request has not run.
func refused(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
