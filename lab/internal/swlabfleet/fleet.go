package swlabfleet

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabproxy"
)

const (
	// vmsPerDataCentre is the number of VMs in a data centre.
	vmsPerDataCentre = 3
	// callerPort and peerPort are the ports of every VM. Each VM has a loopback address of its own.
	callerPort = 8080
	peerPort   = 7400
	// stopTimeout bounds the graceful stop of a VM.
	stopTimeout = 60 * time.Second
	// balancerWait is the setting Stop.BalancerWait: the time for the balancer to detect that a VM is not ready.
	balancerWait = 500 * time.Millisecond
	// Names of the simulated network's groups, beside those of the VMs.
	groupPlatform = "platform"
	groupCallers  = "callers"
)

// Process is the running program of a VM.
type Process interface {
	// Stop stops the program gracefully.
	Stop(ctx context.Context) error
	// Kill stops the program at once.
	Kill()
	// SetPaused suspends or resumes the program.
	SetPaused(paused bool) error
}

// Launcher starts the program of a VM.
type Launcher func(ctx context.Context, settings swsetting.Settings) (Process, error)

// Config configures a Fleet.
type Config struct {
	User User
	Seed uint64
	// Launch starts the programs of the VMs.
	Launch Launcher
	// VMListLag is the age of the VM list that the platform returns.
	VMListLag time.Duration
	// ModifySettings, if not nil, modifies the settings of each VM before it starts.
	ModifySettings func(settings *swsetting.Settings)
	// InitialPlatformFault is the fault of the platform when the first VM starts.
	InitialPlatformFault swlabplatform.Fault
}

// VM is one VM, with the proxies between it and its callers, its peers and the platform.
type VM struct {
	Name       string
	DataCentre DataCentre
	settings   swsetting.Settings
	caller     *swlabproxy.TCP
	platform   *swlabproxy.TCP
	peer       *swlabproxy.UDP

	mutex   sync.Mutex
	process Process
}

// Fleet is a running system: the platform, the backend servers, the VMs and the network between them. Construct it with
// Start.
type Fleet struct {
	Platform *swlabplatform.Platform
	Journal  *swlabbackend.Journal
	Network  *swlabproxy.Network
	Balancer *swlabload.Balancer
	VMs      []*VM

	config    Config
	directory string
	group     *swgroup.Group
	peers     map[netip.AddrPort]string

	mutex   sync.Mutex
	servers []*swlabbackend.Server
	leaving map[string]bool
	indexes map[string]*index
	states  map[string]string
	rules   []RuleChange
}

// fleetCount counts the fleets of this process. It gives each fleet loopback addresses of its own.
var fleetCount atomic.Uint32

// Start starts a fleet, which runs until Close. The VMs may not be ready yet when it returns.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	fleet := &Fleet{
		Journal: swlabbackend.NewJournal(),
		Network: swlabproxy.NewNetwork(config.Seed),
		config:  config,
		group:   swgroup.New(context.Background()),
		peers:   make(map[netip.AddrPort]string),
		leaving: make(map[string]bool),
		indexes: make(map[string]*index),
		states:  make(map[string]string),
	}
	if err := fleet.start(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

func (fleet *Fleet) start(ctx context.Context) error {
	var err error
	if fleet.directory, err = os.MkdirTemp("", "sycamorewall-lab-"); err != nil {
		return errors.Wrap(err, "create directory for certificates")
	}
	if fleet.Platform, err = swlabplatform.Start(swlabplatform.Config{VMListLag: fleet.config.VMListLag}); err != nil {
		return err
	}
	if err := fleet.startBackends(); err != nil {
		return err
	}
	if err := fleet.SetRules(fleet.config.User.Rules); err != nil {
		return err
	}
	fleet.setDelays()
	if err := fleet.prepareVMs(); err != nil {
		return err
	}
	fleet.publishVMs()
	fleet.Platform.SetFault(fleet.config.InitialPlatformFault)
	for _, vm := range fleet.VMs {
		if err := fleet.StartVM(ctx, vm); err != nil {
			return err
		}
	}
	fleet.Balancer = swlabload.NewBalancer(fleet.Targets())
	return nil
}

// vmAddress returns the loopback address of a VM. It depends on the process ID and on the number of the fleet, so that
// fleets running at the same time do not share addresses.
func vmAddress(fleet uint32, vm int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid>>8%200), byte(pid), byte(1 + vm + 16*int(fleet%15))})
}

func (fleet *Fleet) prepareVMs() error {
	authority, err := newAuthority(fleet.directory)
	if err != nil {
		return err
	}
	number := fleetCount.Add(1)
	for _, dataCentre := range fleet.config.User.DataCentres {
		for i := range vmsPerDataCentre {
			vm := &VM{Name: fmt.Sprintf("%s-vm%d", dataCentre.Name, i+1), DataCentre: dataCentre}
			if err := fleet.prepareVM(vm, authority, vmAddress(number, len(fleet.VMs))); err != nil {
				return err
			}
			fleet.VMs = append(fleet.VMs, vm)
		}
	}
	return nil
}

// setPeerName records which VM has a peer address. It takes the mutex because the proxies may already read the names:
// packets of an earlier fleet may reach them.
func (fleet *Fleet) setPeerName(address netip.AddrPort, name string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.peers[address] = name
}

func (fleet *Fleet) peerName(address netip.AddrPort) string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.peers[address]
}

// prepareVM creates the certificate, the proxies and the settings of a VM.
func (fleet *Fleet) prepareVM(vm *VM, authority *authority, address netip.Addr) error {
	certificates, err := authority.issue(vm.Name)
	if err != nil {
		return err
	}
	caller, peer := netip.AddrPortFrom(address, callerPort), netip.AddrPortFrom(address, peerPort)
	fleet.setPeerName(peer, vm.Name)
	vm.caller, err = swlabproxy.StartTCP(swlabproxy.TCPConfig{
		Target: caller.String(), From: groupCallers, To: vm.Name, Network: fleet.Network,
	})
	if err != nil {
		return err
	}
	vm.platform, err = swlabproxy.StartTCP(swlabproxy.TCPConfig{
		Target: fleet.Platform.Address(), From: vm.Name, To: groupPlatform, Network: fleet.Network,
	})
	if err != nil {
		return err
	}
	vm.peer, err = swlabproxy.StartUDP(swlabproxy.UDPConfig{
		Target: peer, To: vm.Name, Network: fleet.Network,
		GroupOf: fleet.peerName,
	})
	if err != nil {
		return err
	}
	settings := swsetting.Defaults()
	settings.Name, settings.Region, settings.DataCentre = vm.Name, vm.DataCentre.Region, vm.DataCentre.Name
	settings.Caller.Listen = caller
	settings.Caller.TrustCallerField = true
	settings.Peer.Listen = peer
	settings.Peer.Advertise = vm.peer.Address()
	settings.Peer.TLS = certificates
	settings.Platform.URL = "http://" + vm.platform.Address().String()
	settings.Stop.BalancerWait = balancerWait
	settings.Log.Level = "error"
	for _, other := range fleet.VMs {
		settings.Peer.Seeds = append(settings.Peer.Seeds, other.peer.Address())
	}
	if fleet.config.ModifySettings != nil {
		fleet.config.ModifySettings(&settings)
	}
	vm.settings = settings
	return nil
}

// setDelays sets the one-way network delays between the VMs of different data centres.
func (fleet *Fleet) setDelays() {
	user := &fleet.config.User
	for _, from := range user.DataCentres {
		for _, to := range user.DataCentres {
			delay := user.DelayBetweenRegions
			switch {
			case from.Name == to.Name:
				continue
			case from.Region == to.Region:
				delay = user.DelayWithinRegion
			}
			for i := range vmsPerDataCentre * vmsPerDataCentre {
				a := fmt.Sprintf("%s-vm%d", from.Name, i/vmsPerDataCentre+1)
				b := fmt.Sprintf("%s-vm%d", to.Name, i%vmsPerDataCentre+1)
				fleet.Network.Change(a, b, func(link *swlabproxy.Link) { link.Delay = delay })
			}
		}
	}
}

// Close kills the VMs, stops everything else and removes the certificates.
func (fleet *Fleet) Close() {
	if fleet.Balancer != nil {
		fleet.Balancer.Close()
	}
	group := swgroup.New(context.Background())
	for _, vm := range fleet.VMs {
		group.Go(func(context.Context) { vm.kill() })
	}
	group.Wait()
	for _, vm := range fleet.VMs {
		vm.caller.Close()
		vm.platform.Close()
		vm.peer.Close()
	}
	fleet.group.Stop()
	for _, server := range fleet.servers {
		group.Go(func(context.Context) { server.Close() })
	}
	group.Wait()
	if fleet.Platform != nil {
		fleet.Platform.Close()
	}
	_ = os.RemoveAll(fleet.directory)
}

// AwaitReady blocks until all VMs are ready or the context ends.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	return fleet.Balancer.AwaitReady(ctx, len(fleet.VMs))
}

// Targets returns the VMs with the addresses that callers use.
func (fleet *Fleet) Targets() []swlabload.Target {
	targets := make([]swlabload.Target, len(fleet.VMs))
	for i, vm := range fleet.VMs {
		targets[i] = swlabload.Target{Name: vm.Name, DataCentre: vm.DataCentre.Name, Address: vm.caller.Address().String()}
	}
	return targets
}

// CallerURLs returns the base URLs that callers use, one for each VM.
func (fleet *Fleet) CallerURLs() []string {
	urls := make([]string, len(fleet.VMs))
	for i, vm := range fleet.VMs {
		urls[i] = "http://" + vm.caller.Address().String()
	}
	return urls
}

// VM returns a VM by the number of its data centre and its number within it, both from zero.
func (fleet *Fleet) VM(dataCentre, number int) *VM {
	return fleet.VMs[dataCentre*vmsPerDataCentre+number]
}

// vmNames returns the names of the VMs in a data centre, or of all VMs outside it.
func (fleet *Fleet) vmNames(dataCentre string, inDataCentre bool) []string {
	var names []string
	for _, vm := range fleet.VMs {
		if (vm.DataCentre.Name == dataCentre) == inDataCentre {
			names = append(names, vm.Name)
		}
	}
	return names
}

// SetPeerPartition partitions the VMs of one data centre from those of all others, or ends the partition.
func (fleet *Fleet) SetPeerPartition(dataCentre string, partitioned bool) {
	fleet.Network.Partition(fleet.vmNames(dataCentre, true), fleet.vmNames(dataCentre, false), partitioned)
}

// SetPlatformPartition partitions the VMs of one data centre from the platform, or ends the partition.
func (fleet *Fleet) SetPlatformPartition(dataCentre string, partitioned bool) {
	fleet.Network.Partition(fleet.vmNames(dataCentre, true), []string{groupPlatform}, partitioned)
}
