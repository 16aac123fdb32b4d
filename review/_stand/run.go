package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

//go:embed config.json
var configJSON string

// run holds everything that a case starts.
type run struct {
	options  options
	journal  *journal
	ctx      context.Context
	cancel   context.CancelFunc
	group    *swgroup.Group
	store    *store
	gateways []*gateway
	// leaveShare is the share of the requests whose clients leave before they are answered.
	leaveShare float64
	// network is the beginning of the loopback addresses of this run.
	network string

	mutex sync.Mutex
}

func newRun(options options) *run {
	run := &run{options: options, journal: newJournal()}
	run.ctx, run.cancel = context.WithCancel(context.Background())
	run.group = swgroup.New(run.ctx)
	return run
}

// leaves draws whether the client of the next request leaves.
func (run *run) leaves() bool {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	return rand.Float64() < run.leaveShare
}

func (run *run) setLeaveShare(share float64) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.leaveShare = share
}

func (run *run) goroutine(job func()) {
	run.group.Go(func(context.Context) { job() })
}

// gateway is one machine with a process of the project.
type gateway struct {
	run                *run
	name, ip, settings string
	front, ready       string
	command            *exec.Cmd
	exited             chan struct{}
}

// Ports of every machine; each machine has its own loopback address.
const (
	frontPort = 18226
	readyPort = 18227
	peerPort  = 17740
	// metricsPort is that of deploy/settings.yaml.
	metricsPort = 9464
)

// maxMachines bounds the number of machines of a case.
const maxMachines = 20

// freeNetwork returns the first three numbers of loopback addresses on which all ports of the machines are free.
func freeNetwork() (string, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(network string) bool {
	for number := range maxMachines {
		for _, port := range []int{frontPort, readyPort, peerPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, number+1, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// bounds of a small deployment, as in the users' sheet of Kowhai.
var fields = map[string]string{
	"bounds.grace_s": "6", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "58", "bounds.budget_window_s": "10",
	"limits.link_mbps": "1000.0", "limits.memory_mb": "284", "bounds.config_apply_ms": "3000", "bounds.drain_timeout_ms": "3000",
	"heartbeat_ms": "1200", "internal_port_range.0": fmt.Sprint(peerPort),
	"zones|json": `{"akl-a":"auckland","wlg-a":"wellington","chc-a":"christchurch"}`,
}

// zones and the region of each, as in the users' sheet of Kowhai.
var (
	zones   = []string{"akl-a", "wlg-a", "chc-a"}
	regions = map[string]string{"akl-a": "auckland", "wlg-a": "wellington", "chc-a": "christchurch"}
)

// startGateways starts a number of machines, distributed over the zones, and waits until all are ready.
func (run *run) startGateways(count int) error {
	template, err := os.ReadFile(filepath.Join(run.options.root, "deploy", "settings.yaml"))
	if err != nil {
		return err
	}
	for number := range count {
		zone := zones[number%len(zones)]
		gateway := &gateway{run: run, name: fmt.Sprintf("front-%s-%d", zone, number/len(zones)+1), ip: fmt.Sprintf("%s.%d", run.network, number+1)}
		gateway.front, gateway.ready = fmt.Sprintf("%s:%d", gateway.ip, frontPort), fmt.Sprintf("%s:%d", gateway.ip, readyPort)
		text := string(template)
		text = strings.ReplaceAll(strings.ReplaceAll(text, "{{#heartbeat_ms}}", ""), "{{/heartbeat_ms}}", "")
		replace := func(name, value string) { text = strings.ReplaceAll(text, "{{"+name+"}}", value) }
		for name, value := range fields {
			replace(name, value)
		}
		replace("zone", zone)
		replace("region", regions[zone])
		replace("node_name", gateway.name)
		replace("ip", gateway.ip)
		replace("bind_addresses.front", gateway.front)
		replace("bind_addresses.ready", gateway.ready)
		replace("platform.address", run.store.address)
		if strings.Contains(text, "{{") {
			return fmt.Errorf("deploy/settings.yaml has a field that the case does not know:\n%s", text)
		}
		gateway.settings = filepath.Join(run.options.directory, gateway.name+".yaml")
		if err := os.WriteFile(gateway.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := gateway.start(); err != nil {
			return err
		}
		run.gateways = append(run.gateways, gateway)
	}
	for _, gateway := range run.gateways {
		if err := gateway.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (gateway *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(gateway.run.options.directory, gateway.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/sycamorewall", "serve")
	command.Dir = gateway.run.options.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SYCAMOREWALL_SETTINGS=" + gateway.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	gateway.run.mutex.Lock()
	gateway.command, gateway.exited = command, exited
	gateway.run.mutex.Unlock()
	gateway.run.goroutine(func() {
		_ = command.Wait()
		close(exited)
	})
	return nil
}

// startTimeout is how long the gateways may take until they are ready.
const startTimeout = 15 * time.Second

func (gateway *gateway) awaitReady() error {
	for ends := time.Now().Add(startTimeout); time.Now().Before(ends); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + gateway.ready + "/v1/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", gateway.name)
}

// signal sends a signal to the process.
func (gateway *gateway) signal(signal syscall.Signal) {
	_ = gateway.command.Process.Signal(signal)
}

// fronts returns the addresses for clients.
func (run *run) fronts() []string {
	var fronts []string
	for _, gateway := range run.gateways {
		fronts = append(fronts, gateway.front)
	}
	return fronts
}

// startStore starts the store with the configuration.
func (run *run) startStore() error {
	network, err := freeNetwork()
	if err != nil {
		return err
	}
	run.network = network
	store, err := startStore(run, network+".200:0")
	if err != nil {
		return err
	}
	run.store = store
	store.put("config", "main", json.RawMessage(configJSON))
	return nil
}

// close ends every process and waits for it.
func (run *run) close() {
	for _, gateway := range run.gateways {
		gateway.signal(syscall.SIGKILL)
		<-gateway.exited
	}
	run.cancel()
	if run.store != nil {
		_ = run.store.server.Close()
	}
}
