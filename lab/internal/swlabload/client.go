// Package swlabload generates open-loop load: it sends requests to VMs at a given rate, however fast they answer, and
// measures the answers.
package swlabload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// maxAnswerSize bounds the answers that are read, in bytes.
	maxAnswerSize = 8 << 20
	// readyInterval is the time between two readiness checks of a VM.
	readyInterval = 100 * time.Millisecond
	// maxIdleConnections bounds the idle connections kept to each VM.
	maxIdleConnections = 256
	// readyTimeout bounds one readiness check.
	readyTimeout = time.Second
)

// Target is a VM with the address that callers use.
type Target struct {
	Name       string
	DataCentre string
	// Address is the host and the port.
	Address string
}

// Balancer distributes requests over the VMs whose readiness check succeeds, as the platform's load balancer does.
// Construct it with NewBalancer.
type Balancer struct {
	client *http.Client
	group  *swgroup.Group
	next   atomic.Uint64

	mutex   sync.Mutex
	targets []Target
	ready   map[string]bool
}

// NewBalancer starts readiness checks of the targets, which run until Close.
func NewBalancer(targets []Target) *Balancer {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	balancer := &Balancer{
		client:  &http.Client{Transport: transport},
		group:   swgroup.New(context.Background()),
		targets: targets,
		ready:   make(map[string]bool),
	}
	for _, target := range targets {
		balancer.group.Go(func(ctx context.Context) { balancer.watch(ctx, target) })
	}
	return balancer
}

// Close stops the checks and closes idle connections.
func (balancer *Balancer) Close() {
	balancer.group.Stop()
	balancer.client.CloseIdleConnections()
}

func (balancer *Balancer) watch(ctx context.Context, target Target) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		ready := balancer.isReady(ctx, target)
		balancer.mutex.Lock()
		balancer.ready[target.Name] = ready
		balancer.mutex.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (balancer *Balancer) isReady(ctx context.Context, target Target) bool {
	return balancer.probe(ctx, target, "/readyz")
}

// probe reports whether a VM responds to a GET request for a health path with status 200.
func (balancer *Balancer) probe(ctx context.Context, target Target, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address+path, nil)
	if err != nil {
		return false
	}
	response, err := balancer.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// Ready returns the names of the VMs whose last readiness check succeeded.
func (balancer *Balancer) Ready() []string {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	var names []string
	for _, target := range balancer.targets {
		if balancer.ready[target.Name] {
			names = append(names, target.Name)
		}
	}
	return names
}

// AwaitReady blocks until at least count VMs are ready or the context ends.
func (balancer *Balancer) AwaitReady(ctx context.Context, count int) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for len(balancer.Ready()) < count {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d VMs are ready: %v", len(balancer.Ready()), count, balancer.Ready())
		}
	}
	return nil
}

// AwaitLive blocks until the liveness check of every VM succeeds, ready or not, or the context ends.
func (balancer *Balancer) AwaitLive(ctx context.Context) error {
	for _, target := range balancer.targets {
		for !balancer.probe(ctx, target, "/livez") {
			if err := swtimer.Wait(ctx, readyInterval); err != nil {
				return errors.Wrapf(err, "%s is not live", target.Name)
			}
		}
	}
	return nil
}

// Pick returns the next ready VM in round-robin order, or any VM when none is ready.
func (balancer *Balancer) Pick() Target {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	start := balancer.next.Add(1)
	for i := range balancer.targets {
		target := balancer.targets[(start+uint64(i))%uint64(len(balancer.targets))]
		if balancer.ready[target.Name] {
			return target
		}
	}
	return balancer.targets[start%uint64(len(balancer.targets))]
}

// Post sends a request to a VM, decodes the response into answer and returns the HTTP status.
func (balancer *Balancer) Post(ctx context.Context, target Target, path string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+path, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := balancer.client.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "post to %s", target.Name)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return response.StatusCode, errors.Wrapf(err, "read response of %s", target.Name)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return response.StatusCode, errors.Wrapf(err, "decode response of %s with status %s", target.Name, strconv.Itoa(response.StatusCode))
	}
	return response.StatusCode, nil
}
