package swrelay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

const (
	// askedPerCentre is the number of VMs in each lost data centre that are asked in a round, and minAsked and maxAsked bound those of all.
	askedPerCentre = 2
	minAsked       = 8
	maxAsked       = 24
	// askTimeout bounds a question: a handshake and a round trip between the farthest regions, on a busy VM.
	askTimeout = 400 * time.Millisecond
	// askAgainAfter is the time after which a VM is asked again that reached nothing of use.
	askAgainAfter = 2 * time.Second
	// refreshInterval is the time between two rounds while detours are known, and searchInterval that while one is missing.
	refreshInterval = time.Second
	searchInterval  = 250 * time.Millisecond
	// reachLifetime is how long a VM counts as reaching what it said. It covers two lost rounds.
	reachLifetime = 3 * time.Second
)

// ReachRequest asks a VM which data centres' replicas it reaches.
type ReachRequest struct{}

// ReachReply is the answer. A VM that answers relays attempts with AnyDistance.
type ReachReply struct {
	DataCentres []string `cbor:"1,keyasint"`
}

// detours holds the VMs that reach the data centres to which this VM has lost its links. It is safe for concurrent use.
type detours struct {
	mutex sync.Mutex
	// lost holds the data centres that this VM does not reach.
	lost map[string]*lostCentre
	// said holds what other VMs have said that they reach, and askedAt when they were asked.
	said    map[netip.AddrPort]saidReach
	askedAt map[netip.AddrPort]time.Time
	// searching is set while a search runs.
	searching bool
	// changed is closed when the fields above change.
	changed chan struct{}
}

// lostCentre is a data centre that this VM does not reach. searched is set once others were asked for a detour.
type lostCentre struct {
	searched bool
}

// saidReach is what a VM has said that it reaches.
type saidReach struct {
	relay       Relay
	dataCentres []string
	at          time.Time
}

func newDetours() *detours {
	return &detours{
		lost: make(map[string]*lostCentre), said: make(map[netip.AddrPort]saidReach), askedAt: make(map[netip.AddrPort]time.Time), changed: make(chan struct{}),
	}
}

// signal wakes those that wait for a change. The caller holds the mutex.
func (detours *detours) signal() {
	close(detours.changed)
	detours.changed = make(chan struct{})
}

// OnReach records that this VM has lost its links to the replicas of a data centre, or that they are back. It then looks for other VMs that
// reach the data centre.
func (client *Client) OnReach(dataCentre string, reached bool) {
	detours := client.detours
	detours.mutex.Lock()
	defer detours.mutex.Unlock()
	if reached {
		delete(detours.lost, dataCentre)
		detours.signal()
		return
	}
	detours.lost[dataCentre] = &lostCentre{}
	if !detours.searching && client.config.VMs != nil {
		detours.searching = true
		client.config.Group.Go(client.search)
	}
}

// search asks other VMs what they reach while data centres are lost.
func (client *Client) search(ctx context.Context) {
	for wait := time.Duration(0); waitFor(ctx, wait); {
		targets, centres, done := client.beginRound(time.Now())
		if done {
			return
		}
		var waitGroup sync.WaitGroup
		for _, target := range targets {
			waitGroup.Add(1)
			client.config.Group.Go(func(ctx context.Context) {
				defer waitGroup.Done()
				client.ask(ctx, target)
			})
		}
		waitGroup.Wait()
		wait = client.endRound(centres)
	}
}

// waitFor waits, and reports whether that was before the end of the context.
func waitFor(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// beginRound returns the VMs to ask and the data centres that are lost now. done is set if there are none, which ends the search.
func (client *Client) beginRound(now time.Time) (targets []Relay, centres []*lostCentre, done bool) {
	detours := client.detours
	detours.mutex.Lock()
	defer detours.mutex.Unlock()
	if len(detours.lost) == 0 {
		detours.searching = false
		clear(detours.said)
		clear(detours.askedAt)
		return nil, nil, true
	}
	vms := client.config.VMs()
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	asked := make(map[string]int)
	var notDue []Relay
	isDue := func(vm Relay) bool {
		if said, ok := detours.said[vm.Address]; ok && len(said.dataCentres) > 0 {
			return true
		}
		return now.Sub(detours.askedAt[vm.Address]) >= askAgainAfter
	}
	rest := slices.DeleteFunc(vms, func(vm Relay) bool {
		_, lost := detours.lost[vm.DataCentre]
		if !isDue(vm) {
			notDue = append(notDue, vm)
			return true
		}
		if lost && asked[vm.DataCentre] < askedPerCentre && len(targets) < maxAsked {
			asked[vm.DataCentre]++
			targets = append(targets, vm)
			return true
		}
		return false
	})
	targets = append(targets, rest[:min(len(rest), max(0, minAsked-len(targets)))]...)
	// While a detour is missing, those that reached nothing are asked again early rather than none.
	if early := minAsked - len(targets); early > 0 && detours.missesWay(now) {
		targets = append(targets, notDue[:min(len(notDue), early)]...)
	}
	for _, target := range targets {
		detours.askedAt[target.Address] = now
	}
	return targets, slices.Collect(maps.Values(detours.lost)), false
}

// ask asks one VM what it reaches.
func (client *Client) ask(ctx context.Context, target Relay) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply ReachReply
	err := client.config.Transport.Call(ctx, target.Address, swpeer.MethodReach, ReachRequest{}, &reply)
	detours := client.detours
	detours.mutex.Lock()
	defer detours.mutex.Unlock()
	if err != nil {
		delete(detours.said, target.Address)
		return
	}
	detours.said[target.Address] = saidReach{relay: target, dataCentres: reply.DataCentres, at: time.Now()}
	if len(reply.DataCentres) > 0 {
		client.recordReply(target)
	}
	detours.signal()
}

// endRound ends a round for the data centres that were lost when it began, and returns how long to wait until the next one.
func (client *Client) endRound(centres []*lostCentre) time.Duration {
	detours := client.detours
	detours.mutex.Lock()
	defer detours.mutex.Unlock()
	for _, centre := range centres {
		centre.searched = true
	}
	detours.signal()
	if detours.missesWay(time.Now()) {
		return searchInterval
	}
	return refreshInterval
}

// missesWay reports whether no detour is known to one of the lost data centres, or none was sought yet. The caller holds the mutex.
func (detours *detours) missesWay(now time.Time) bool {
	for dataCentre, centre := range detours.lost {
		if !centre.searched || !detours.knowsWayTo(now, dataCentre) {
			return true
		}
	}
	return false
}

// knowsWayTo reports whether a VM has said that it reaches a data centre. The caller holds the mutex.
func (detours *detours) knowsWayTo(now time.Time, dataCentre string) bool {
	for _, said := range detours.said {
		if said.reaches(now, dataCentre) {
			return true
		}
	}
	return false
}

func (said *saidReach) reaches(now time.Time, dataCentre string) bool {
	return now.Sub(said.at) < reachLifetime && slices.Contains(said.dataCentres, dataCentre)
}

// mayCarry reports whether a relay may have a request with homes. Its body may be sent only to VMs that stand in one of them.
func (relay Relay) mayCarry(homes []string) bool {
	return len(homes) == 0 || slices.Contains(homes, relay.Region)
}

// Detour returns a VM that reaches a replica to which this VM has lost its links: one in the replica's data centre, otherwise in its region,
// otherwise any. Several equal ones share the attempts. It returns the zero Relay if none is known. homes are the only regions that may have the
// request; empty for all.
func (client *Client) Detour(replica *swreplica.Replica, homes []string) Relay {
	now := time.Now()
	client.detours.mutex.Lock()
	defer client.detours.mutex.Unlock()
	var best []Relay
	bestDistance := 0
	for address, said := range client.detours.said {
		if client.isSuspect(now, address) || !said.reaches(now, replica.DataCentre()) || !said.relay.mayCarry(homes) {
			continue
		}
		distance := said.relay.distanceTo(replica)
		if len(best) == 0 || distance < bestDistance {
			best, bestDistance = best[:0], distance
		}
		if distance == bestDistance {
			best = append(best, said.relay)
		}
	}
	if len(best) == 0 {
		return Relay{}
	}
	return best[rand.IntN(len(best))]
}

// distanceTo ranks relays by their distance to a replica.
func (relay Relay) distanceTo(replica *swreplica.Replica) int {
	switch {
	case relay.DataCentre == replica.DataCentre():
		return int(swreplica.SameDataCentre)
	case relay.Region == replica.Region():
		return int(swreplica.SameRegion)
	}
	return int(swreplica.OtherRegion)
}

// MayDetour reports whether a VM that reaches the replica is known or still being looked for.
func (client *Client) MayDetour(replica *swreplica.Replica, homes []string) bool {
	return client.Detour(replica, homes).Valid() || client.isSearching(replica.DataCentre())
}

func (client *Client) isSearching(dataCentre string) bool {
	client.detours.mutex.Lock()
	defer client.detours.mutex.Unlock()
	centre, lost := client.detours.lost[dataCentre]
	return client.detours.searching && lost && !centre.searched
}

// AwaitDetour returns a VM that reaches the replica, and waits for the first round of the search if none is known.
func (client *Client) AwaitDetour(ctx context.Context, replica *swreplica.Replica, homes []string) Relay {
	for {
		client.detours.mutex.Lock()
		changed := client.detours.changed
		client.detours.mutex.Unlock()
		if relay := client.Detour(replica, homes); relay.Valid() || !client.isSearching(replica.DataCentre()) {
			return relay
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Relay{}
		}
	}
}
