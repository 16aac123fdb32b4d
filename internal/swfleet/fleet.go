// Package swfleet keeps the registry of the VMs that run the gateway, with the addresses at which peers reach them. Each VM
// writes its own object in the platform's store once and reads those of the others.
package swfleet

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// VM is a VM's entry in the registry.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	// Peer is the UDP address for other VMs.
	Peer netip.AddrPort
	// Capacity is the VM's capacity relative to that of the others.
	Capacity float64
}

// Encode returns the value of the VM's object.
func (vm *VM) Encode() ([]byte, error) {
	value, err := json.Marshal(vm)
	return value, errors.Wrap(err, "encode VM")
}

// objectName returns the name of the VM's object, of kind swfollow.KindShared.
func (vm *VM) objectName() string {
	return swfollow.PrefixVM + vm.Name
}

// Decode decodes a VM's object. ok is false for an object that does not describe a valid VM.
func Decode(object swplatform.Object) (vm VM, ok bool) {
	if err := json.Unmarshal(object.Value, &vm); err != nil {
		return VM{}, false
	}
	return vm, vm.objectName() == object.Name && vm.Peer.IsValid()
}

// Fleet holds the registered VMs. It is safe for concurrent use.
type Fleet struct {
	self VM
	// joined is set once this VM has read the registry, and isNew if the registry did not hold it then.
	joined, isNew atomic.Bool

	mutex sync.RWMutex
	vms   map[string]VM
	// counts holds the number of VMs by data centre.
	counts map[string]int
	// upstreams caches the result of Upstreams; nil when it must be computed.
	upstreams []swfeed.Peer
	// relays caches the results of Relays by data centre.
	relays map[string][]swrelay.Relay
	// lastPolled is when each VM last polled this one.
	lastPolled map[string]time.Time
	// unregistered is set while this VM's own object is not in the store, and becameUnregistered receives a signal when it is set.
	unregistered       bool
	becameUnregistered chan struct{}
	// view caches the result of View; nil when it must be computed.
	view *swmember.View
}

// New returns a fleet that holds only this VM.
func New(self VM) *Fleet {
	return &Fleet{
		self:       self,
		vms:        map[string]VM{self.Name: self},
		counts:     map[string]int{self.DataCentre: 1},
		relays:     make(map[string][]swrelay.Relay),
		lastPolled: make(map[string]time.Time),

		becameUnregistered: make(chan struct{}, 1),
	}
}

// ObserveListing checks whether a complete listing of the registry holds this VM. A store that came back from an older copy may have
// lost its object.
func (fleet *Fleet) ObserveListing(change swfollow.Change) {
	isListed := func(object swplatform.Object) bool { return object.Name == fleet.self.objectName() && !object.Deleted }
	if !change.Full || slices.ContainsFunc(change.Objects, isListed) {
		return
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.markUnregistered()
}

// markUnregistered records that this VM's object is not in the store. The caller holds the mutex.
func (fleet *Fleet) markUnregistered() {
	fleet.unregistered = true
	select {
	case fleet.becameUnregistered <- struct{}{}:
	default:
	}
}

// Apply applies the VMs that are new or changed and the names of the objects that were removed. This VM always remains in
// the fleet with its own description.
func (fleet *Fleet) Apply(changed []VM, removed []string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, vm := range changed {
		if vm.Name != fleet.self.Name {
			fleet.vms[vm.Name] = vm
		}
	}
	for _, object := range removed {
		name := strings.TrimPrefix(object, swfollow.PrefixVM)
		if name == fleet.self.Name {
			fleet.markUnregistered()
			continue
		}
		delete(fleet.vms, name)
		delete(fleet.lastPolled, name)
	}
	fleet.upstreams, fleet.view = nil, nil
	clear(fleet.relays)
	clear(fleet.counts)
	for _, vm := range fleet.vms {
		fleet.counts[vm.DataCentre]++
	}
}

// Len returns the number of VMs, including this one.
func (fleet *Fleet) Len() int {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return len(fleet.vms)
}

// VMCounts returns the number of VMs in a data centre and in total.
func (fleet *Fleet) VMCounts(dataCentre string) swreplica.VMCounts {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return swreplica.VMCounts{SameDataCentre: fleet.counts[dataCentre], Total: len(fleet.vms)}
}

// upstreamKey is the rendezvous key by which VMs of equal capacity are ranked; the first VM of a data centre leads its feed.
const upstreamKey = "follow"

// Upstreams returns the VMs of this data centre that rank before this one, in order. See swfeed for their use.
func (fleet *Fleet) Upstreams() []swfeed.Peer {
	fleet.mutex.RLock()
	upstreams := fleet.upstreams
	fleet.mutex.RUnlock()
	if upstreams != nil {
		return upstreams
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	// The leader sends the changes to all other VMs of the data centre, so the largest VMs rank first.
	byCapacity := make(map[float64][]swmember.Member)
	for _, vm := range fleet.vms {
		if vm.DataCentre == fleet.self.DataCentre {
			byCapacity[vm.Capacity] = append(byCapacity[vm.Capacity], swmember.Member{Name: vm.Name, Peer: vm.Peer})
		}
	}
	fleet.upstreams = []swfeed.Peer{}
	for _, capacity := range slices.Backward(slices.Sorted(maps.Keys(byCapacity))) {
		for _, member := range swmember.Rank(byCapacity[capacity], upstreamKey) {
			if member.Name == fleet.self.Name {
				return fleet.upstreams
			}
			fleet.upstreams = append(fleet.upstreams, swfeed.Peer{Name: member.Name, Address: member.Peer})
		}
	}
	return fleet.upstreams
}
