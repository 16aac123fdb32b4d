// Package swspillover decides which share of a service's requests leaves the data centre of this VM. It compares the expected time to an
// answer in the own data centre, the region and elsewhere, plus the price of the bytes, and moves a share gradually to where the sum is
// least.
//
// A choice for each request by itself would be all or nothing: all VMs of a data centre see its replicas become slow at about the same time
// and leave together, the replicas elsewhere become slow, and all return. The package does no I/O and receives the time as an argument.
package swspillover

import (
	"sync"
	"time"
)

// Places is the number of places: the own data centre, the region and elsewhere, indexed by swreplica.Distance.
const Places = 3

const (
	// tolerance is the relative difference of costs below which no share is moved: the costs vary by a tenth at random.
	tolerance = 0.1
	// sharePerSecond is the share that moves in a second if one place costs twice as much as another, or more. Latencies follow the load
	// within some tenths of a second. A share that moved four times as fast sent
	// twice as much away in the test.
	sharePerSecond = 0.05
	// divertFrom is how much dearer, relative to the cheapest place, the place of a request must be for single requests to be diverted to the
	// cheapest one. divertGain is the fraction of requests diverted for each further multiple, and maxDiverted bounds it. This answers stalls
	// of less than a second, which the share does not follow; not all requests leave, so that they do not all overload the other place.
	divertFrom  = 0.5
	divertGain  = 0.5
	maxDiverted = 0.7
	// maxStep bounds the share that moves at once, for services with few requests.
	maxStep = 0.15
	// returnPerSecond is the share that at least returns in a second from a dearer place while the nearest one is cheaper.
	returnPerSecond = 0.02
	// maxElapsed is the longest time between two requests that counts. After a longer one the shares say little.
	maxElapsed = time.Second
	// minShare is the share below which a place loses the rest at once.
	minShare = 0.005
)

// Option is what a place offers for a request sent now.
type Option struct {
	// Available is set if the place has a replica that may get the request. What may not get it, because of homes, an evacuation or a limit
	// of cold replicas, is no option.
	Available bool
	// Time is the expected time to an answer, including path, queue and the cost of likely failures.
	Time time.Duration
	// Price is what the bytes of the request and its answer are worth in waiting time.
	Price time.Duration
}

func (option *Option) cost() time.Duration {
	return option.Time + option.Price
}

// Balancer holds the shares of one service's requests by place. It is safe for concurrent use; the zero value is ready.
type Balancer struct {
	mutex     sync.Mutex
	shares    [Places]float64
	updatedAt time.Time
}

// Choose moves the shares according to the options, and returns the place of a request; random is between 0 and 1. ok is false if no place
// is available.
func (balancer *Balancer) Choose(now time.Time, options [Places]Option, random float64) (place int, ok bool) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	cheapest, nearest := -1, -1
	for i := range options {
		if !options[i].Available {
			continue
		}
		if nearest < 0 {
			nearest = i
		}
		if cheapest < 0 || options[i].cost() < options[cheapest].cost() {
			cheapest = i
		}
	}
	if cheapest < 0 {
		return 0, false
	}
	balancer.dropUnavailable(options, nearest)
	elapsed := min(maxElapsed, now.Sub(balancer.updatedAt)).Seconds()
	balancer.updatedAt = now
	balancer.move(options, cheapest, nearest, elapsed)
	place, random = balancer.draw(nearest, random)
	dearer := float64(options[place].cost())/float64(max(time.Microsecond, options[cheapest].cost())) - 1
	if random < min(maxDiverted, divertGain*(dearer-divertFrom)) {
		place = cheapest
	}
	return place, true
}

// draw returns the place that a random number between 0 and 1 falls on, and what is left of the number, again between 0 and 1. The caller
// holds the mutex.
func (balancer *Balancer) draw(nearest int, random float64) (place int, left float64) {
	for i, share := range balancer.shares {
		if random < share {
			return i, random / share
		}
		random -= share
	}
	return nearest, 0
}

// Shares returns the share of each place.
func (balancer *Balancer) Shares() [Places]float64 {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	return balancer.shares
}

// dropUnavailable gives the shares of places without an available replica to the nearest one that has one. The caller holds the mutex.
func (balancer *Balancer) dropUnavailable(options [Places]Option, nearest int) {
	used := 0.0
	for i := range options {
		if !options[i].Available {
			balancer.shares[i] = 0
		}
		used += balancer.shares[i]
	}
	balancer.shares[nearest] += max(0, 1-used)
}

// move moves shares from each dearer place to the cheapest one, in proportion to how much dearer it is. The caller holds the mutex.
func (balancer *Balancer) move(options [Places]Option, cheapest, nearest int, elapsed float64) {
	least := float64(max(time.Microsecond, options[cheapest].cost()))
	for i := range options {
		if i == cheapest || balancer.shares[i] == 0 {
			continue
		}
		dearer := float64(options[i].cost())/least - 1
		step := 0.0
		if dearer > tolerance {
			step = min(maxStep, sharePerSecond*min(1, dearer-tolerance)*elapsed)
		}
		if cheapest == nearest {
			step = max(step, returnPerSecond*elapsed)
		}
		if step = min(step, balancer.shares[i]); balancer.shares[i]-step < minShare && step > 0 {
			step = balancer.shares[i]
		}
		balancer.shares[i] -= step
		balancer.shares[cheapest] += step
	}
}

// bytesPerMB is the number of bytes in a megabyte of a price.
const bytesPerMB = 1e6

// Prices is what a megabyte is worth in waiting time, by place. The zero value means that nothing calls for a decision by price.
type Prices struct {
	// Region is the price of a megabyte to or from another data centre of the region, and Far that of another region.
	Region time.Duration
	Far    time.Duration
}

// Enabled reports whether prices are set.
func (prices Prices) Enabled() bool {
	return prices.Region > 0 || prices.Far > 0
}

// Of returns what a number of bytes costs at each place.
func (prices Prices) Of(bytes int) [Places]time.Duration {
	perByte := float64(bytes) / bytesPerMB
	return [Places]time.Duration{0, time.Duration(perByte * float64(prices.Region)), time.Duration(perByte * float64(prices.Far))}
}
