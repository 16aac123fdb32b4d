package swreplica

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swreach"
)

// errEvacuated means that the replica's data centre is evacuated.
var errEvacuated = errors.New("the replica's data centre is evacuated")

// returnPenalty ranks a replica whose data centre has just returned behind those of other regions, for the requests that exceed its share.
const returnPenalty = 150 * time.Millisecond

// place is a data centre with the replicas that this VM knows there. It is safe for concurrent use.
type place struct {
	name     string
	registry *Registry
	pool     *Pool
	// replicas holds the listed replicas there.
	replicas atomic.Pointer[[]*Replica]
	// judge judges this VM's links to the place. sending is the number of requests that are in flight there directly.
	judge   swreach.Judge
	sending atomic.Int64
	links   atomic.Pointer[links]
	// failures holds those for which either the links or a replica may be at fault.
	failures deferredFailures
	// returnOver is RegistryConfig.ReturnOver.
	returnOver time.Duration
	state      atomic.Pointer[placeState]
}

// placeState says whether a place is evacuated. It is immutable.
type placeState struct {
	evacuated bool
	// returnedAt is when the last evacuation ended; the zero time if there was none.
	returnedAt time.Time
}

func newPlace(registry *Registry, name string) *place {
	place := &place{name: name, registry: registry, pool: registry.config.Pool, returnOver: registry.config.ReturnOver}
	place.state.Store(&placeState{})
	place.links.Store(newLinks())
	return place
}

// isEvacuated reports whether nothing may be sent to the place.
func (place *place) isEvacuated() bool {
	return place.state.Load().evacuated
}

// withheld returns the fraction of its usual share that the place must not get: 1 while it is evacuated, then falling to 0.
func (place *place) withheld(now time.Time) float64 {
	state := place.state.Load()
	switch since := now.Sub(state.returnedAt); {
	case state.evacuated:
		return 1
	case state.returnedAt.IsZero() || since >= place.returnOver:
		return 0
	default:
		return 1 - max(0, float64(since)/float64(place.returnOver))
	}
}

// set changes whether the place is evacuated, and reports whether that is a change. Callers hold the registry's mutex.
func (place *place) set(now time.Time, evacuated bool) bool {
	if place.isEvacuated() == evacuated {
		return false
	}
	state := &placeState{evacuated: evacuated}
	if !evacuated {
		state.returnedAt = now
	}
	place.state.Store(state)
	return true
}

// ReturnPenalty returns what is added to the cost of the replica for a request while its data centre returns after an evacuation. draw is a
// uniform random number from 0 to 1. The replica stays a candidate for when all others are full or have gone.
func (candidate *Candidate) ReturnPenalty(draw float64) time.Duration {
	if draw < candidate.Withheld {
		return returnPenalty
	}
	return 0
}

// Evacuated reports whether the operator has evacuated the replica's data centre.
func (replica *Replica) Evacuated() bool {
	return replica.place.isEvacuated()
}

// placeOf returns the place of a data centre. The caller holds the mutex.
func (registry *Registry) placeOf(dataCentre string) *place {
	known, ok := registry.places[dataCentre]
	if !ok {
		known = newPlace(registry, dataCentre)
		registry.places[dataCentre] = known
	}
	return known
}

// prunePlaces forgets the data centres that have neither replicas nor an evacuation, and whose links are in order. The caller holds the mutex.
func (registry *Registry) prunePlaces(now time.Time) {
	used := make(map[*place]bool)
	for _, replica := range registry.byID {
		used[replica.place] = true
	}
	maps.DeleteFunc(registry.places, func(_ string, place *place) bool {
		return !used[place] && place.withheld(now) == 0 && place.judge.State() == swreach.Reached
	})
}

// UpdateEvacuations begins the evacuation of data centres, and ends that of others. Nothing more is sent to the replicas of an evacuated data
// centre, requests that wait for a connection there are placed elsewhere, and idle connections are closed. Requests in flight continue.
// Afterwards the share of the data centre grows from nothing within RegistryConfig.ReturnOver.
func (registry *Registry) UpdateEvacuations(begun, ended []string) {
	now := time.Now()
	registry.mutex.Lock()
	var changed []*place
	for _, dataCentre := range begun {
		if place := registry.placeOf(dataCentre); place.set(now, true) {
			changed = append(changed, place)
		}
	}
	for _, dataCentre := range ended {
		if place, ok := registry.places[dataCentre]; ok {
			place.set(now, false)
		}
	}
	var emptied []*Replica
	for _, replica := range registry.byID {
		if slices.Contains(changed, replica.place) {
			emptied = append(emptied, replica)
		}
	}
	registry.mutex.Unlock()
	for _, replica := range emptied {
		replica.empty()
	}
}

// Evacuated returns the evacuated data centres in order of their names, including those without replicas.
func (registry *Registry) Evacuated() []string {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var names []string
	for name, place := range registry.places {
		if place.isEvacuated() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// InFlightByDataCentre returns the number of this VM's requests in flight at the replicas of each data centre.
func (registry *Registry) InFlightByDataCentre() map[string]int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	counts := make(map[string]int)
	for _, replica := range registry.byID {
		replica.mutex.Lock()
		counts[replica.DataCentre()] += len(replica.inFlight)
		replica.mutex.Unlock()
	}
	return counts
}

// empty closes the idle connections and wakes the requests that wait for one.
func (replica *Replica) empty() {
	replica.mutex.Lock()
	idle := replica.idleConnections
	replica.idleConnections = nil
	replica.signalFreed()
	replica.mutex.Unlock()
	for _, connection := range idle {
		connection.Close()
	}
}
