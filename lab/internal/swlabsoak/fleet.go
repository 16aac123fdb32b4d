// Package swlabsoak runs the real program as processes in front of the users' stand-ins, injects faults from outside in
// overlapping series, and checks what clients and replicas see while it does.
package swlabsoak

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
	"github.com/sycamorewall/sycamorewall/platform"
)

const (
	// grace is how long a process may go on after SIGTERM.
	grace = 3 * time.Second
	// applyWithin is how soon a configuration must be in force.
	applyWithin = 3 * time.Second
	// shards is the number of services behind the gathered route, replicasOf that of replicas a service.
	shards     = 4
	replicasOf = 3
	// heartbeat is the time between two looks at which replicas' entries are in the store.
	heartbeat = 300 * time.Millisecond
	// slots is the number of requests that a replica works on at once.
	slots = 4
)

// dataCentres are where VMs and replicas stand.
var dataCentres = []string{"one", "two"}

// regions maps data centres to their regions, so that attempts go through other VMs as well.
var regions = map[string]string{"one": "here", "two": "there"}

// refusedPath begins the paths that the operator's rules refuse.
const refusedPath = "/search/refused/"

// vm is one VM: its settings, its process, and the proxy on its way to the store.
type vm struct {
	name     string
	group    string
	path     string
	settings swsetting.Settings
	store    *swlabproxy.TCP
	peer     *swlabproxy.UDP

	// onExit is told when the process ended although no signal asked it to, and how long it had run.
	onExit func(vm *vm, age time.Duration)

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// asked is set once a signal asked the process to end.
	asked bool
}

// member is one replica with the proxy in front of it.
type member struct {
	replica    *swlabusers.Replica
	proxy      *swlabproxy.TCP
	dataCentre string
	leaving    bool
}

// fleet is everything that a run starts.
type fleet struct {
	binary    string
	directory string
	network   *swlabproxy.Network
	store     *swlabusers.Store
	journal   *swlabusers.Journal
	group     *swgroup.Group
	vms       []*vm
	record    *record

	mutex   sync.Mutex
	members map[string]*member
	started int
	version int
	// swapped is set while the single route goes to its second service.
	swapped bool
}

func startFleet(config Config) (*fleet, error) {
	store, err := swlabusers.StartStore()
	if err != nil {
		return nil, err
	}
	fleet := &fleet{
		binary: config.Binary, directory: config.Directory, network: swlabproxy.NewNetwork(config.Seed), store: store,
		journal: swlabusers.NewJournal(), group: swgroup.New(context.Background()), record: &record{}, members: make(map[string]*member),
	}
	for _, service := range fleet.services() {
		for i := range replicasOf {
			if err := fleet.addReplica(service, dataCentres[i%len(dataCentres)]); err != nil {
				return fleet, err
			}
		}
	}
	if err := fleet.configure(); err != nil {
		return fleet, err
	}
	if err := fleet.applyRules(); err != nil {
		return fleet, err
	}
	fleet.group.Go(fleet.register)
	for i := range config.VMs {
		started, err := fleet.newVM(i)
		if err != nil {
			return fleet, err
		}
		fleet.vms = append(fleet.vms, started)
		if err := started.start(fleet.binary, fleet.directory); err != nil {
			return fleet, err
		}
	}
	return fleet, nil
}

// applyRules writes rules that refuse some searches, as the operator's command does.
func (fleet *fleet) applyRules() error {
	client, err := swplatform.New(swplatform.Config{URL: "http://" + fleet.store.Address()})
	if err != nil {
		return err
	}
	defer client.Close()
	rules := swedit.NewCountedStore(platform.NewStore(client), swfollow.KindShared, swfollow.PrefixRules)
	_, err = swedit.New(swedit.Config{Store: rules}).Apply(context.Background(), swedit.Request{
		By: "soak", Text: "refuse Path=" + refusedPath + "* # the soak\npass # the soak\n",
	})
	return errors.Wrap(err, "apply rules")
}

// close ends what the run started, and nothing else.
func (fleet *fleet) close() {
	for _, vm := range fleet.vms {
		vm.signal(syscall.SIGKILL)
		vm.store.Close()
		vm.peer.Close()
	}
	fleet.group.Stop()
	for _, member := range fleet.members {
		member.proxy.Close()
		member.replica.Close()
	}
	fleet.store.Close()
}

func (fleet *fleet) services() []string {
	names := []string{"ledger", "ledger-next"}
	for i := range shards {
		names = append(names, shardName(i))
	}
	return names
}

func shardName(i int) string {
	return fmt.Sprintf("shard-%d", i)
}

// configure writes the next configuration.
func (fleet *fleet) configure() error {
	fleet.mutex.Lock()
	fleet.version += 2
	version, single := fleet.version, fleet.single()
	fleet.mutex.Unlock()
	gather := make([]string, shards)
	for i := range gather {
		gather[i] = shardName(i)
	}
	backends := []map[string]any{}
	for _, name := range fleet.services() {
		backends = append(backends, map[string]any{"name": name, "health_check_path": "/healthz", "max_connections": 60})
	}
	return fleet.store.Put("config", "main", map[string]any{
		"version": version, "backends": backends,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"routes": []map[string]any{
			{"name": "search", "hostname": "soak", "path_prefix": "/search/", "route_type": "safe", "timeout_ms": 1500,
				"target_latency_ms": 150, "priority": 0, "gather": gather, "attempts": 2, "top_k": 10, "min_shard_ratio": 0.75},
			{"name": "post", "hostname": "soak", "path_prefix": "/post/", "route_type": "unsafe", "timeout_ms": 2000,
				"target_latency_ms": 300, "priority": 1, "backend": single, "attempts": 2},
			{"name": fmt.Sprint("v", version), "hostname": "soak", "path_prefix": fmt.Sprintf("/version/%d/", version),
				"route_type": "safe", "timeout_ms": 1500, "priority": 1, "backend": single, "attempts": 2},
		},
	})
}

// single is the service of the route that is not gathered. The caller holds the mutex.
func (fleet *fleet) single() string {
	if fleet.swapped {
		return "ledger-next"
	}
	return "ledger"
}

// addReplica starts a replica of a service.
func (fleet *fleet) addReplica(service, dataCentre string) error {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.started++
	replica, err := swlabusers.StartReplica(swlabusers.ReplicaConfig{
		ID: fmt.Sprintf("i-%d", fleet.started), Service: service, Slots: slots, ServiceTime: 3 * time.Millisecond, Journal: fleet.journal,
	})
	if err != nil {
		return err
	}
	proxy, err := swlabproxy.StartTCP(swlabproxy.TCPConfig{Target: replica.Address(), From: "vms", To: "replicas-" + dataCentre, Network: fleet.network})
	if err != nil {
		replica.Close()
		return err
	}
	fleet.members[replica.Config().ID] = &member{replica: replica, proxy: proxy, dataCentre: dataCentre}
	return nil
}

// register keeps the store's entries of replicas in step with those that live.
func (fleet *fleet) register(ctx context.Context) {
	for {
		fleet.mutex.Lock()
		for id, member := range fleet.members {
			if member.replica.HasStopped() {
				fleet.store.Delete("servers", id)
				continue
			}
			state := "ready"
			if member.leaving {
				state = "draining"
			}
			entry := member.replica.Entry(member.proxy.Address().String(), member.dataCentre, state, 1)
			if err := fleet.store.Put("servers", id, entry); err != nil {
				panic(err)
			}
		}
		fleet.mutex.Unlock()
		if swtimer.Wait(ctx, heartbeat) != nil {
			return
		}
	}
}

// newVM prepares a VM with free ports.
func (fleet *fleet) newVM(number int) (*vm, error) {
	name := fmt.Sprintf("vm-%d", number)
	made := &vm{name: name, group: name, path: filepath.Join(fleet.directory, name+".yaml"), onExit: fleet.restartExited}
	ports := make([]netip.AddrPort, 3)
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	var err error
	if made.store, err = swlabproxy.StartTCP(swlabproxy.TCPConfig{Target: fleet.store.Address(), From: name, To: "store", Network: fleet.network}); err != nil {
		return nil, err
	}
	if made.peer, err = swlabproxy.StartUDP(swlabproxy.UDPConfig{
		Target: ports[2], To: name, Network: fleet.network, GroupOf: func(netip.AddrPort) string { return "peers" },
	}); err != nil {
		return nil, err
	}
	settings := swsetting.Defaults()
	settings.Name, settings.DataCentre = name, dataCentres[number%len(dataCentres)]
	settings.Region = regions[settings.DataCentre]
	settings.Gateway.Listen, settings.Gateway.Ready = ports[0], ports[1]
	settings.Gateway.Regions = regions
	settings.Gateway.Grace, settings.Gateway.ApplyWithin = grace, applyWithin
	settings.Gateway.RepeatRatio, settings.Gateway.RepeatSlack = 0.3, 50
	settings.Peer.Listen, settings.Peer.Advertise = ports[2], made.peer.Address()
	settings.Platform.URL = "http://" + made.store.Address().String()
	made.settings = settings
	data, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Wrap(err, "encode settings")
	}
	const privateMode = 0o600
	return made, errors.Wrap(os.WriteFile(made.path, data, privateMode), "write settings")
}

// freePort returns a port of loopback that is free for TCP and UDP.
func freePort() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// start starts the VM's process.
func (vm *vm) start(binary, directory string) error {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(directory, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(binary, "serve", "--settings", vm.path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrap(err, "start VM")
	}
	ended, began := make(chan struct{}), time.Now()
	vm.command, vm.ended, vm.asked = command, ended, false
	swgroup.New(context.Background()).Go(func(context.Context) {
		_ = command.Wait()
		close(ended)
		vm.mutex.Lock()
		asked := vm.asked
		vm.mutex.Unlock()
		if !asked {
			vm.onExit(vm, time.Since(began))
		}
	})
	return nil
}

// startupTime is how long a process may take until it handles SIGHUP; one that comes before ends it, as for any program.
const startupTime = 500 * time.Millisecond

// restartExited does what the platform does with a process that ends by itself, and notes it unless a SIGHUP may have met its
// start.
func (fleet *fleet) restartExited(vm *vm, age time.Duration) {
	if age > startupTime {
		fleet.record.fault("EXIT: %s ended by itself after %s", vm.name, age)
	}
	if swtimer.Wait(fleet.group.Context(), heartbeat) != nil {
		return
	}
	if err := vm.start(fleet.binary, fleet.directory); err != nil {
		fleet.record.fault("EXIT: %s does not start again: %v", vm.name, err)
	}
}

// signal sends a signal to the VM's process, and waits for its end after SIGKILL.
func (vm *vm) signal(signal syscall.Signal) {
	vm.mutex.Lock()
	command, ended := vm.command, vm.ended
	vm.asked = vm.asked || signal == syscall.SIGTERM || signal == syscall.SIGKILL
	vm.mutex.Unlock()
	if command == nil {
		return
	}
	// A process that has ended already takes no signal, which is what the caller wants of it.
	_ = command.Process.Signal(signal)
	if signal == syscall.SIGKILL {
		<-ended
	}
}

// stopped returns the channel that closes when the VM's process has ended.
func (vm *vm) stopped() <-chan struct{} {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return vm.ended
}
