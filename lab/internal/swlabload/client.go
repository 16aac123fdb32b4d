// Package swlabload sends requests to VMs at a fixed rate, whatever the answers, and measures them.
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
	// maxAnswer is the largest answer that is read, in bytes.
	maxAnswerSize = 8 << 20
	// readyEvery is the time between two checks of a VM by the balancer.
	readyInterval = 100 * time.Millisecond
	// idleConnections is the number of idle connections kept to each VM.
	maxIdleConnections = 256
	// readyTimeout bounds a check.
	readyTimeout = time.Second
)

// Target is a VM as callers reach it.
type Target struct {
	Name       string
	DataCentre string
	// Address is the host and port.
	Address string
}

// Balancer spreads requests over the VMs that say they are ready, as the platform's balancer does. Construct it with
// NewBalancer.
type Balancer struct {
	client *http.Client
	group  *swgroup.Group
	next   atomic.Uint64

	mutex   sync.Mutex
	targets []Target
	ready   map[string]bool
}

// NewBalancer starts checks of the targets, until Close.
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

// Close ends the checks and closes idle connections.
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

// probe reports whether a health path of a VM answers 200.
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

// Ready returns the names of the VMs that are ready.
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

// AwaitReady blocks until count VMs are ready or the context ends.
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

// AwaitLive blocks until every VM answers at all, ready or not, or the context ends.
func (balancer *Balancer) AwaitLive(ctx context.Context) error {
	for _, target := range balancer.targets {
		for !balancer.probe(ctx, target, "/livez") {
			if err := swtimer.Wait(ctx, readyInterval); err != nil {
				return errors.Wrapf(err, "%s does not answer", target.Name)
			}
		}
	}
	return nil
}

// Pick returns the next ready VM, or any when none is ready.
func (balancer *Balancer) Pick() Target {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	turn := balancer.next.Add(1)
	for i := range balancer.targets {
		target := balancer.targets[(turn+uint64(i))%uint64(len(balancer.targets))]
		if balancer.ready[target.Name] {
			return target
		}
	}
	return balancer.targets[turn%uint64(len(balancer.targets))]
}

// Post sends a request to a VM and returns the answer and its HTTP status.
func (balancer *Balancer) Post(ctx context.Context, target Target, path string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.Address+path, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := balancer.client.Do(request)
	if err != nil {
		return 0, errors.Wrapf(err, "post to %s", target.Name)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil {
		return response.StatusCode, errors.Wrapf(err, "read from %s", target.Name)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return response.StatusCode, errors.Wrapf(err, "decode answer of %s with status %s", target.Name, strconv.Itoa(response.StatusCode))
	}
	return response.StatusCode, nil
}
