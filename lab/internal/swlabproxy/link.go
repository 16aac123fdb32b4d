// Package swlabproxy passes TCP and UDP traffic on with delay, loss, cuts, silence and partitions between groups.
package swlabproxy

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Link is what happens to traffic from one group to another. The zero value passes everything at once.
type Link struct {
	// Delay is added one way.
	Delay time.Duration
	// Loss is the chance that a datagram is dropped; TCP is not affected.
	Loss float64
	// Cut drops everything: new TCP connections are closed, open ones go silent, datagrams vanish.
	Cut bool
	// Hold keeps everything back until it is false again.
	Hold bool
}

type pair struct {
	from string
	to   string
}

// Network holds the links between groups. It is shared by proxies, and its methods may be called at any time.
type Network struct {
	mutex   sync.Mutex
	links   map[pair]Link
	changed chan struct{}
	random  *rand.Rand
}

// NewNetwork returns a network of links without faults.
func NewNetwork(seed uint64) *Network {
	return &Network{
		links:   make(map[pair]Link),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// Set replaces the link from one group to another.
func (network *Network) Set(from, to string, link Link) {
	network.Change(from, to, func(present *Link) { *present = link })
}

// Change alters the link from one group to another.
func (network *Network) Change(from, to string, change func(link *Link)) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	link := network.links[pair{from, to}]
	change(&link)
	network.links[pair{from, to}] = link
	close(network.changed)
	network.changed = make(chan struct{})
}

// ChangeBoth alters the links between two groups in both directions.
func (network *Network) ChangeBoth(a, b string, change func(link *Link)) {
	network.Change(a, b, change)
	network.Change(b, a, change)
}

// Partition cuts every group of one side off from every group of the other.
func (network *Network) Partition(one, other []string, cut bool) {
	for _, a := range one {
		for _, b := range other {
			network.ChangeBoth(a, b, func(link *Link) { link.Cut = cut })
		}
	}
}

func (network *Network) link(from, to string) (Link, <-chan struct{}) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.links[pair{from, to}], network.changed
}

// lose draws whether a datagram is dropped.
func (network *Network) lose(chance float64) bool {
	if chance <= 0 {
		return false
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return network.random.Float64() < chance
}
