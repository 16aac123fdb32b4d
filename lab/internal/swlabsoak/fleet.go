// Package swlabsoak runs the gateway's binary as processes in front of the simulated users' platform, injects overlapping
// faults, and checks that every response that clients receive agrees with what the replicas ran.
package swlabsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
	"github.com/sycamorewall/sycamorewall/platform"
)

const (
	// stopGrace is how long a process may take to exit after SIGTERM.
	stopGrace = 3 * time.Second
	// applyTimeout is how soon a new configuration must be in force on every VM.
	applyTimeout = 3 * time.Second
	// shardCount is the number of services behind the gathered route.
	shardCount = 4
	// replicasPerService is the number of replicas of each service.
	replicasPerService = 3
	// entryRefreshInterval is how often the replicas' entries in the store are updated. It is also the delay before an exited
	// VM is restarted.
	entryRefreshInterval = 300 * time.Millisecond
	// memoryMB is the memory that a VM gives to its process, in megabytes.
	memoryMB = 184
	// slotsPerReplica is the number of requests that a replica runs concurrently.
	slotsPerReplica = 4
)

// dataCentres names the data centres of VMs and replicas.
var dataCentres = []string{"one", "two"}

// regions maps each data centre to a region of its own, so that some attempts are relayed through VMs of the other region.
var regions = map[string]string{"one": "here", "two": "there"}

// refusedPath is the prefix of the paths that the operator's rules refuse.
const refusedPath = "/search/refused/"

// vm is one VM: its settings, its process, and the proxies for its connections to the store and for packets from its peers.
type vm struct {
	name         string
	networkGroup string
	settingsPath string
	settings     swsetting.Settings
	storeProxy   *swlabproxy.TCP
	peerProxy    *swlabproxy.UDP

	// onExit is called with the process's uptime when the process exits without a signal to stop.
	onExit func(vm *vm, uptime time.Duration)

	mutex sync.Mutex
	// process is the latest process of the VM, or nil before the first.
	process *process
}

// process is one process of a VM.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	// stopRequested is set before the process is sent SIGTERM or SIGKILL.
	stopRequested atomic.Bool
	// end is when the process was first asked to stop or exited; nil before that.
	end atomic.Pointer[time.Time]
}

// markEnd sets the end of the process, unless it is set.
func (process *process) markEnd() {
	now := time.Now()
	process.end.CompareAndSwap(nil, &now)
}

// endedAt returns when the process was asked to stop or exited; the zero time if it still runs.
func (process *process) endedAt() time.Time {
	if end := process.end.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// proxiedReplica is a replica with the proxy in front of it.
type proxiedReplica struct {
	replica    *swlabusers.Replica
	proxy      *swlabproxy.TCP
	dataCentre string
	leaving    bool
}

// fleet holds everything that a run starts: the store, the replicas, the VMs and the network between them.
type fleet struct {
	binary    string
	directory string
	network   *swlabproxy.Network
	store     *swlabusers.Store
	journal   *swlabusers.Journal
	group     *swgroup.Group
	vms       []*vm
	// assigned holds the addresses that were given to VMs. Only startFleet uses it.
	assigned map[netip.AddrPort]bool
	results  *results

	mutex                sync.Mutex
	replicas             map[string]*proxiedReplica
	replicasStarted      int
	configurationVersion int
	// configuration is the latest one that the store has confirmed.
	configuration map[string]any
	// usesNextLedger is set while the route without gathering goes to ledger-next instead of ledger.
	usesNextLedger bool
}

func startFleet(config Config) (*fleet, error) {
	store, err := swlabusers.StartStore()
	if err != nil {
		return nil, err
	}
	fleet := &fleet{
		binary: config.Binary, directory: config.Directory, network: swlabproxy.NewNetwork(config.Seed), store: store,
		journal: swlabusers.NewJournal(), group: swgroup.New(context.Background()), results: &results{recorder: newRecorder(&config)},
		replicas: make(map[string]*proxiedReplica), assigned: make(map[netip.AddrPort]bool),
	}
	if len(config.Features) > 0 {
		fleet.journal.RecordArrivals()
	}
	for _, service := range fleet.services() {
		for i := range replicasPerService {
			if err := fleet.addReplica(service, dataCentres[i%len(dataCentres)]); err != nil {
				return fleet, err
			}
		}
	}
	if err := fleet.writeNextConfiguration(); err != nil {
		return fleet, err
	}
	if err := fleet.applyRules(); err != nil {
		return fleet, err
	}
	// Without a VM that holds them, rules that the store loses are gone.
	store.Settle()
	fleet.group.Go(fleet.maintainReplicaEntries)
	for i := range config.VMs {
		created, err := fleet.newVM(i)
		if err != nil {
			return fleet, err
		}
		fleet.mutex.Lock()
		fleet.vms = append(fleet.vms, created)
		fleet.mutex.Unlock()
		if err := created.start(fleet.binary, fleet.directory); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

// applyRules writes rules that refuse some searches, in the way that the operator's command does.
func (fleet *fleet) applyRules() error {
	client, err := swplatform.New(swplatform.Config{URL: "http://" + fleet.store.Address()})
	if err != nil {
		return err
	}
	defer client.Close()
	rules := swedit.NewVersionedStore(platform.NewStore(client, swplatform.NewEraTracker(zerolog.Nop())), swfollow.KindShared, swfollow.PrefixRules)
	_, err = swedit.New(swedit.Config{Store: rules}).Apply(context.Background(), swedit.Request{
		By: "soak", Text: "refuse Path=" + refusedPath + "* # the soak\npass # the soak\n",
	})
	return errors.Wrap(err, "apply rules")
}

// close stops every process and server that the run started.
func (fleet *fleet) close() {
	for _, vm := range fleet.vms {
		vm.signal(syscall.SIGKILL)
		vm.storeProxy.Close()
		vm.peerProxy.Close()
	}
	fleet.group.Stop()
	for _, proxiedReplica := range fleet.replicas {
		proxiedReplica.proxy.Close()
		proxiedReplica.replica.Close()
	}
	fleet.store.Close()
}

func (fleet *fleet) services() []string {
	names := []string{"ledger", "ledger-next"}
	for i := range shardCount {
		names = append(names, shardName(i))
	}
	return names
}

func shardName(i int) string {
	return fmt.Sprintf("shard-%d", i)
}

// addReplica starts a replica of a service and the proxy in front of it.
func (fleet *fleet) addReplica(service, dataCentre string) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.replicasStarted++
	// The first replicas are warm, so that a run begins with the usual capacity.
	coldFor := time.Duration(0)
	if fleet.results.recorder.has(swlabrule.Cold) && len(fleet.vms) > 0 {
		coldFor = warmUp
	}
	replica, err := swlabusers.StartReplica(swlabusers.ReplicaConfig{
		ID: fmt.Sprintf("i-%d", fleet.replicasStarted), Service: service, Slots: slotsPerReplica,
		ServiceTime: 3 * time.Millisecond, Journal: fleet.journal, DataCentre: dataCentre, WarmUp: coldFor,
	})
	if err != nil {
		return err
	}
	proxy, err := swlabproxy.StartTCP(swlabproxy.TCPConfig{
		Target: replica.Address(), From: unknownGroup, To: "replicas-" + dataCentre, Network: fleet.network, GroupOf: fleet.groupOf,
	})
	if err != nil {
		replica.Close()
		return err
	}
	fleet.replicas[replica.Config().ID] = &proxiedReplica{replica: replica, proxy: proxy, dataCentre: dataCentre}
	return nil
}

// maintainReplicaEntries updates the replicas' entries in the store, and deletes those of replicas that have stopped.
func (fleet *fleet) maintainReplicaEntries(ctx context.Context) {
	for {
		fleet.mutex.Lock()
		for id, proxiedReplica := range fleet.replicas {
			if proxiedReplica.replica.HasStopped() {
				fleet.store.Delete("servers", id)
				continue
			}
			state, sequence := "ready", 1
			if proxiedReplica.leaving {
				state, sequence = "draining", 2
			}
			entry := proxiedReplica.replica.Entry(proxiedReplica.proxy.Address().String(), proxiedReplica.dataCentre, state, sequence)
			if err := fleet.store.Put("servers", id, entry); err != nil {
				panic(err)
			}
		}
		fleet.mutex.Unlock()
		if swtimer.Wait(ctx, entryRefreshInterval) != nil {
			return
		}
	}
}

// newVM assigns free ports to a VM, starts its proxies and writes its settings file.
func (fleet *fleet) newVM(number int) (*vm, error) {
	name := fmt.Sprintf("vm-%d", number)
	created := &vm{
		name: name, networkGroup: name, settingsPath: filepath.Join(fleet.directory, name+".yaml"),
		onExit: fleet.handleUnexpectedExit,
	}
	ports := make([]netip.AddrPort, 3)
	for i := range ports {
		port, err := fleet.assignPort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	var err error
	if created.storeProxy, err = swlabproxy.StartTCP(swlabproxy.TCPConfig{
		Target: fleet.store.Address(), From: name, To: "store", Network: fleet.network,
	}); err != nil {
		return nil, err
	}
	if created.peerProxy, err = swlabproxy.StartUDP(swlabproxy.UDPConfig{
		Target: ports[2], To: name, Network: fleet.network, GroupOf: func(netip.AddrPort) string { return "peers" },
	}); err != nil {
		return nil, err
	}
	settings := swsetting.Defaults()
	settings.Name, settings.DataCentre = name, dataCentres[number%len(dataCentres)]
	settings.Region = regions[settings.DataCentre]
	settings.Gateway.Listen, settings.Gateway.Ready = ports[0], ports[1]
	settings.Gateway.Regions = regions
	settings.Gateway.Grace, settings.Gateway.ApplyWithin = stopGrace, applyTimeout
	settings.Gateway.MemoryMB = memoryMB
	settings.Gateway.RepeatRatio, settings.Gateway.RepeatSlack = 0.3, 50
	settings.Peer.Listen, settings.Peer.Advertise = ports[2], created.peerProxy.Address()
	settings.Platform.URL = "http://" + created.storeProxy.Address().String()
	fleet.results.recorder.configure(&settings)
	created.settings = settings
	data, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	const privateMode = 0o600
	return created, errors.Wrap(os.WriteFile(created.settingsPath, data, privateMode), "write settings")
}

const (
	// minPort and maxPort bound the ports of VMs. They are below those that operating systems give to outgoing connections and to
	// listeners that ask for any port, which would take the port of a VM while it restarts.
	minPort = 16384
	maxPort = 32767
	// maxPortAttempts bounds the number of ports that are tried.
	maxPortAttempts = 100
)

// assignPort returns a loopback port that is free for TCP and UDP and that no VM was given before. Those that were given to VMs are free
// until the VM's process has started.
func (fleet *fleet) assignPort() (netip.AddrPort, error) {
	lastErr := errors.New("all ports that were tried belong to VMs")
	for range maxPortAttempts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(minPort+rand.IntN(maxPort-minPort+1)))
		if fleet.assigned[address] {
			continue
		}
		if lastErr = checkFree(address); lastErr == nil {
			fleet.assigned[address] = true
			return address, nil
		}
	}
	return netip.AddrPort{}, errors.Wrap(lastErr, "find a free port")
}

// checkFree returns an error if an address is in use.
func checkFree(address netip.AddrPort) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrap(err, "listen for TCP")
	}
	defer listener.Close()
	packetConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errors.Wrap(err, "listen for UDP")
	}
	return errors.Wrap(packetConn.Close(), "close UDP socket")
}

// start starts the VM's process, unless it runs already. The process appends its log to a file in the directory.
func (vm *vm) start(binary, directory string) error {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	if vm.process != nil && vm.process.runs() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(directory, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binary, "serve", "--settings", vm.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start VM")
	}
	started, startedAt := &process{command: command, exited: make(chan struct{})}, time.Now()
	vm.process = started
	swgroup.New(context.Background()).Go(func(context.Context) {
		_ = command.Wait()
		started.markEnd()
		close(started.exited)
		if !started.stopRequested.Load() {
			vm.onExit(vm, time.Since(startedAt))
		}
	})
	return nil
}

// runs reports whether the process has neither exited nor been asked to stop.
func (process *process) runs() bool {
	select {
	case <-process.exited:
		return false
	default:
		return !process.stopRequested.Load()
	}
}

// maxStartupTime is how long a process may take to install its SIGHUP handler. A SIGHUP before that ends the process.
const maxStartupTime = 500 * time.Millisecond

// handleUnexpectedExit restarts a process that exited without a signal to stop, as the platform does. The exit is recorded as a
// violation unless it happened during startup, when a SIGHUP may have ended the process.
func (fleet *fleet) handleUnexpectedExit(vm *vm, uptime time.Duration) {
	if uptime > maxStartupTime {
		fleet.results.addViolation("EXIT: %s exited unexpectedly after %s", vm.name, uptime)
	}
	if swtimer.Wait(fleet.group.Context(), entryRefreshInterval) != nil {
		return
	}
	if err := vm.start(fleet.binary, fleet.directory); err != nil {
		fleet.results.addViolation("EXIT: %s did not restart: %v", vm.name, err)
	}
}

// latest returns the VM's latest process, or nil before the first.
func (vm *vm) latest() *process {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.process
}

// signal sends a signal to the VM's process. After SIGKILL it waits until the process has exited.
func (vm *vm) signal(signal syscall.Signal) {
	process := vm.latest()
	if process == nil {
		return
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		process.markEnd()
		process.stopRequested.Store(true)
	}
	// The error is ignored: a process that has already exited cannot receive the signal and needs none.
	_ = process.command.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		<-process.exited
	}
}

// done returns a channel that is closed once the VM's process has exited.
func (vm *vm) done() <-chan struct{} {
	return vm.latest().exited
}
