// Package swfleet keeps the register of the VMs that run the gateway: who they are and where peers reach them. Each VM writes
// its own object in the platform's store, once, and reads the others'.
package swfleet

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// VM is one VM as it describes itself.
type VM struct {
	Name       string
	Region     string
	DataCentre string
	// Peer is the UDP address for other VMs.
	Peer netip.AddrPort
	// Capacity is the VM's size beside the others'.
	Capacity float64
}

// Encode returns the value of the VM's object.
func (vm *VM) Encode() ([]byte, error) {
	value, err := json.Marshal(vm)
	return value, errors.Wrap(err, "encode VM")
}

// objectName returns the name of the VM's object, of the kind that all of this product's objects share.
func (vm *VM) objectName() string {
	return swfollow.PrefixVM + vm.Name
}

// Decode reads the object of a VM. ok is false for one that describes none.
func Decode(object swplatform.Object) (vm VM, ok bool) {
	if err := json.Unmarshal(object.Value, &vm); err != nil {
		return VM{}, false
	}
	return vm, vm.objectName() == object.Name && vm.Peer.IsValid()
}

// Fleet holds the VMs that are registered. It is safe for concurrent use.
type Fleet struct {
	self VM

	mutex sync.RWMutex
	vms   map[string]VM
	// counts holds the number of VMs by data centre.
	counts map[string]int
	// ahead caches the answer of Ahead; nil when it is to be worked out.
	ahead []swfeed.Peer
	// relays caches the answers of Relays by data centre.
	relays map[string][]swrelay.Relay
	// heard is when VMs last asked this one for news.
	heard map[string]time.Time
	// missing is set while this VM's own object is not in the store.
	missing bool
	// view caches the answer of View; nil when it is to be worked out.
	view *swmember.View
}

// New returns a fleet of which only this VM is known.
func New(self VM) *Fleet {
	return &Fleet{self: self, vms: map[string]VM{self.Name: self}, counts: map[string]int{self.DataCentre: 1}, relays: make(map[string][]swrelay.Relay), heard: make(map[string]time.Time)}
}

// Apply takes the VMs that are new or changed and the names of the objects that are gone. This VM counts whatever the store
// says.
func (fleet *Fleet) Apply(changed []VM, gone []string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for _, vm := range changed {
		if vm.Name != fleet.self.Name {
			fleet.vms[vm.Name] = vm
		}
	}
	for _, object := range gone {
		name := strings.TrimPrefix(object, swfollow.PrefixVM)
		if name == fleet.self.Name {
			fleet.missing = true
			continue
		}
		delete(fleet.vms, name)
		delete(fleet.heard, name)
	}
	fleet.ahead, fleet.view = nil, nil
	clear(fleet.relays)
	clear(fleet.counts)
	for _, vm := range fleet.vms {
		fleet.counts[vm.DataCentre]++
	}
}

// Len returns the number of VMs, this one included.
func (fleet *Fleet) Len() int {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return len(fleet.vms)
}

// Share returns how many VMs there are in a data centre, and in all.
func (fleet *Fleet) Share(dataCentre string) swreplica.Share {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return swreplica.Share{Near: fleet.counts[dataCentre], All: len(fleet.vms)}
}

// followKey is the rendezvous key by which the VMs of a data centre agree on who follows the store.
const followKey = "follow"

// Ahead returns the VMs of this data centre that come before this one in the order in which they follow the store.
func (fleet *Fleet) Upstreams() []swfeed.Peer {
	fleet.mutex.RLock()
	ahead := fleet.ahead
	fleet.mutex.RUnlock()
	if ahead != nil {
		return ahead
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	// Changes go from one VM to all others of the data centre, so the largest come first.
	sizes := make(map[float64][]swmember.Member)
	for _, vm := range fleet.vms {
		if vm.DataCentre == fleet.self.DataCentre {
			sizes[vm.Capacity] = append(sizes[vm.Capacity], swmember.Member{Name: vm.Name, Peer: vm.Peer})
		}
	}
	fleet.ahead = []swfeed.Peer{}
	for _, size := range slices.Backward(slices.Sorted(maps.Keys(sizes))) {
		for _, member := range swmember.Rank(sizes[size], followKey) {
			if member.Name == fleet.self.Name {
				return fleet.ahead
			}
			fleet.ahead = append(fleet.ahead, swfeed.Peer{Name: member.Name, Address: member.Peer})
		}
	}
	return fleet.ahead
}
