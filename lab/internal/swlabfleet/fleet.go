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
	// vmsEach is the number of VMs of a data centre.
	vmsPerDataCentre = 3
	// callerPort and peerPort are the ports of each VM on its own loopback address.
	callerPort = 8080
	peerPort   = 7400
	// stopTimeout bounds the graceful stop of a VM.
	stopTimeout = 60 * time.Second
	// balancerWait is how long the lab's balancer may take to see that a VM is not ready.
	balancerWait = 500 * time.Millisecond
	// Names of groups in the network.
	groupPlatform = "platform"
	groupCallers  = "callers"
)

// Process is a VM's program while it runs.
type Process interface {
	// Stop ends it gracefully.
	Stop(ctx context.Context) error
	// Kill ends it at once.
	Kill()
	// Pause stops it from running, or lets it run on.
	SetPaused(paused bool) error
}

// Launcher starts the program of a VM.
type Launcher func(ctx context.Context, settings swsetting.Settings) (Process, error)

// Config holds what a Fleet is built from.
type Config struct {
	User User
	Seed uint64
	// Launch starts VMs.
	Launch Launcher
	// ListLag is how old the platform's VM list is.
	VMListLag time.Duration
	// Change alters the settings of VMs before they start; it may be nil.
	ModifySettings func(settings *swsetting.Settings)
	// PlatformFault holds when the first VM starts.
	InitialPlatformFault swlabplatform.Fault
}

// VM is one VM of the system with the proxies around it.
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

// Fleet is everything that runs. Construct it with Start.
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

// fleets counts the fleets of this process, so that each has its own loopback addresses.
var fleetCount atomic.Uint32

// Start runs a fleet until Close. VMs may not be ready yet when it returns.
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
		return errors.Wrap(err, "make directory for certificates")
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

// address returns the loopback address of a VM, which no other fleet uses.
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

// namePeer notes the peer address of a VM. Packets of a fleet that ended may already arrive at the proxies.
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

// prepare makes the settings, certificate and proxies of a VM.
func (fleet *Fleet) prepareVM(vm *VM, authority *authority, at netip.Addr) error {
	certificates, err := authority.issue(vm.Name)
	if err != nil {
		return err
	}
	caller, peer := netip.AddrPortFrom(at, callerPort), netip.AddrPortFrom(at, peerPort)
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
		Group: fleet.peerName,
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

// delays sets the one-way delays between VMs.
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

// Close ends everything at once.
func (fleet *Fleet) Close() {
	if fleet.Balancer != nil {
		fleet.Balancer.Close()
	}
	stopping := swgroup.New(context.Background())
	for _, vm := range fleet.VMs {
		stopping.Go(func(context.Context) { vm.kill() })
	}
	stopping.Wait()
	for _, vm := range fleet.VMs {
		vm.caller.Close()
		vm.platform.Close()
		vm.peer.Close()
	}
	fleet.group.Stop()
	for _, server := range fleet.servers {
		stopping.Go(func(context.Context) { server.Close() })
	}
	stopping.Wait()
	if fleet.Platform != nil {
		fleet.Platform.Close()
	}
	_ = os.RemoveAll(fleet.directory)
}

// AwaitReady blocks until all VMs are ready or the context ends.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	return fleet.Balancer.AwaitReady(ctx, len(fleet.VMs))
}

// Targets returns the VMs as callers reach them.
func (fleet *Fleet) Targets() []swlabload.Target {
	targets := make([]swlabload.Target, len(fleet.VMs))
	for i, vm := range fleet.VMs {
		targets[i] = swlabload.Target{Name: vm.Name, DataCentre: vm.DataCentre.Name, Address: vm.caller.Address().String()}
	}
	return targets
}

// Callers returns the HTTP addresses of the VMs.
func (fleet *Fleet) CallerURLs() []string {
	list := make([]string, len(fleet.VMs))
	for i, vm := range fleet.VMs {
		list[i] = "http://" + vm.caller.Address().String()
	}
	return list
}

// VM returns the VM of that number within a data centre.
func (fleet *Fleet) VM(dataCentre, number int) *VM {
	return fleet.VMs[dataCentre*vmsPerDataCentre+number]
}

// names returns the VMs of a data centre, or all others.
func (fleet *Fleet) vmNames(dataCentre string, inside bool) []string {
	var list []string
	for _, vm := range fleet.VMs {
		if (vm.DataCentre.Name == dataCentre) == inside {
			list = append(list, vm.Name)
		}
	}
	return list
}

// Partition cuts the peers of one data centre off from those of all others, or heals the cut.
func (fleet *Fleet) SetPeerPartition(dataCentre string, cut bool) {
	fleet.Network.Partition(fleet.vmNames(dataCentre, true), fleet.vmNames(dataCentre, false), cut)
}

// PartitionPlatform cuts a data centre off from the platform, or heals the cut.
func (fleet *Fleet) SetPlatformPartition(dataCentre string, cut bool) {
	fleet.Network.Partition(fleet.vmNames(dataCentre, true), []string{groupPlatform}, cut)
}
