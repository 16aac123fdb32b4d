// Package swlabproxy forwards TCP and UDP traffic between named groups, with delays, losses, stalled connections and partitions.
package swlabproxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Link holds the network conditions for traffic from one group to another. The zero value forwards everything at once.
type Link struct {
	// Delay is added in this direction only.
	Delay time.Duration
	// Loss is the probability that a datagram is dropped. TCP is not affected.
	Loss float64
	// Cut drops everything. New TCP connections are closed. Open ones drop all data without closing, and stay that way for good
	// once they have dropped any. Datagrams are dropped.
	Cut bool
	// Refuse closes new TCP connections. Open ones work on.
	Refuse bool
	// Hold delays everything until it is false again.
	Hold bool
}

// groupPair is the key of a link: its source and destination groups.
type groupPair struct {
	from string
	to   string
}

// Network holds the links between groups. Proxies share it. Its methods may be called concurrently.
type Network struct {
	mutex   sync.Mutex
	links   map[groupPair]Link
	changed chan struct{}
	random  *rand.Rand
}

// NewNetwork returns a network whose links have no faults. The seed determines which datagrams are lost.
func NewNetwork(seed uint64) *Network {
	return &Network{
		links:   make(map[groupPair]Link),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// Set replaces the conditions from one group to another.
func (network *Network) Set(from, to string, link Link) {
	network.Change(from, to, func(current *Link) { *current = link })
}

// Change modifies the link from one group to another.
func (network *Network) Change(from, to string, change func(link *Link)) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	link := network.links[groupPair{from, to}]
	change(&link)
	network.links[groupPair{from, to}] = link
	close(network.changed)
	network.changed = make(chan struct{})
}

// ChangeBoth modifies the links between two groups in both directions.
func (network *Network) ChangeBoth(a, b string, change func(link *Link)) {
	network.Change(a, b, change)
	network.Change(b, a, change)
}

// Partition sets Cut in both directions on the links between every group of one side and every group of the other.
func (network *Network) Partition(one, other []string, cut bool) {
	for _, a := range one {
		for _, b := range other {
			network.ChangeBoth(a, b, func(link *Link) { link.Cut = cut })
		}
	}
}

// link returns the conditions from one group to another, and a channel that is closed when any link changes.
func (network *Network) link(from, to string) (Link, <-chan struct{}) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.links[groupPair{from, to}], network.changed
}

// shouldDrop decides at random whether a datagram is dropped.
func (network *Network) shouldDrop(chance float64) bool {
	if chance <= 0 {
		return false
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.random.Float64() < chance
}
