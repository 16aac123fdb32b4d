package swadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// shedInterval is the time between two adjustments of thresholds.
	shedInterval = 50 * time.Millisecond
	// shedSamples is the number of arrivals without which a threshold is not lowered.
	shedSamples = 4
	// leastFraction is the fraction that is always admitted, so that the load stays observable.
	leastFraction = 0.004
	// steepestCut is the largest reduction of a fraction in one adjustment.
	steepestCut = 0.5
	// growthBase is the growth of the level in an adjustment soon after a cut.
	growthBase = 0.005
	// growthSlope is the additional growth for each second since the last cut.
	growthSlope = 0.02
	// growthMost bounds the growth of a level or fraction in one adjustment.
	growthMost = 0.05
	// reportedCallers is the number of heavy callers that a report names for a priority.
	reportedCallers = 4
	// trackedCallers is the number of callers whose load is known apart; others are taken together.
	trackedCallers = 64
	// demandGain is the weight of the latest interval in a caller's load.
	demandGain = 0.3
)

// shedder controls which cohorts of one priority a queue admits. Its level is the load of one caller, in sub-requests a
// second, that the queue takes; each caller's admitted fraction follows from its load and the level, so that a caller
// above its fair share is cut and its peers are not.
type shedder struct {
	target   time.Duration
	level    float64
	callers  map[string]*callerDemand
	arrivals int
	starts   int
	lost     int
	waited   time.Duration
	sinceCut time.Duration
}

// callerDemand is the load of one caller.
type callerDemand struct {
	// fraction is the share of the caller's cohorts that is admitted.
	fraction float64
	// eligible counts the arrivals of admitted cohorts in this interval.
	eligible int
	// rate is the smoothed load of admitted cohorts a second.
	rate float64
}

func newShedder(target time.Duration) shedder {
	return shedder{target: target, callers: make(map[string]*callerDemand)}
}

// arrive counts work and reports whether its cohort is admitted.
func (shedder *shedder) arrive(caller string, cohort uint16) bool {
	demand := shedder.demand(caller)
	if demand.fraction < 1 && cohort >= asCohort(demand.fraction) {
		return false
	}
	demand.eligible++
	shedder.arrivals++
	return true
}

func (shedder *shedder) demand(caller string) *callerDemand {
	demand := shedder.callers[caller]
	if demand != nil {
		return demand
	}
	if len(shedder.callers) >= trackedCallers && caller != "" {
		return shedder.demand("")
	}
	demand = &callerDemand{fraction: 1}
	shedder.callers[caller] = demand
	return demand
}

func (shedder *shedder) started(wait time.Duration) {
	shedder.starts++
	shedder.waited += wait
}

// adjust moves the level and the callers' fractions by what the last interval showed.
func (shedder *shedder) adjust(elapsed time.Duration, capacity float64) {
	shedder.measure(elapsed)
	if shedder.overloaded() {
		shedder.cut(capacity)
		shedder.sinceCut = 0
	} else {
		shedder.sinceCut += elapsed
		shedder.grow(capacity)
	}
	for caller, demand := range shedder.callers {
		demand.follow(shedder.level)
		if demand.fraction == 1 && demand.rate < 1 {
			delete(shedder.callers, caller)
		}
	}
	shedder.arrivals, shedder.starts, shedder.lost, shedder.waited = 0, 0, 0, 0
}

func (shedder *shedder) measure(elapsed time.Duration) {
	for _, demand := range shedder.callers {
		rate := float64(demand.eligible) / elapsed.Seconds()
		demand.rate += demandGain * (rate - demand.rate)
		demand.eligible = 0
	}
}

func (shedder *shedder) overloaded() bool {
	if shedder.arrivals < shedSamples {
		return false
	}
	if shedder.lost > 0 {
		return true
	}
	return shedder.starts > 0 && shedder.waited/time.Duration(shedder.starts) > shedder.target
}

// cut lowers the level below the heaviest caller's load by the part that was not served.
func (shedder *shedder) cut(capacity float64) {
	served := float64(shedder.starts) / float64(shedder.arrivals)
	if capacity > 0 && (shedder.level == 0 || shedder.level > capacity) {
		shedder.level = capacity
	}
	heaviest := 0.0
	for _, demand := range shedder.callers {
		heaviest = max(heaviest, demand.rate)
	}
	if shedder.level == 0 || shedder.level > heaviest {
		shedder.level = heaviest
	}
	shedder.level *= min(1-growthBase, max(steepestCut, served))
}

func (shedder *shedder) grow(capacity float64) {
	if shedder.level == 0 {
		return
	}
	step := min(growthMost, growthBase+growthSlope*shedder.sinceCut.Seconds())
	shedder.level *= 1 + step
	if capacity > 0 && shedder.level > 2*capacity {
		shedder.level = 0
	}
}

// follow moves the fraction towards the level. A level of zero bounds nothing.
func (demand *callerDemand) follow(level float64) {
	factor := 1 + growthMost
	if level > 0 && demand.rate > 0 {
		factor = max(steepestCut, min(factor, level/demand.rate))
	}
	demand.fraction = max(leastFraction, min(1, demand.fraction*factor))
}

func asCohort(fraction float64) uint16 {
	return uint16(fraction * AllCohorts)
}

// report returns the fraction that holds for most callers, and the callers with a lower one.
func (shedder *shedder) report(priority swrule.Priority) (uint16, []CallerReport) {
	var heavy []CallerReport
	for caller, demand := range shedder.callers {
		if demand.fraction < 1 {
			heavy = append(heavy, CallerReport{Priority: priority, Caller: caller, Admitted: asCohort(demand.fraction)})
		}
	}
	if len(heavy) <= reportedCallers {
		return AllCohorts, heavy
	}
	slices.SortFunc(heavy, func(a, b CallerReport) int { return cmp.Compare(a.Admitted, b.Admitted) })
	return heavy[reportedCallers].Admitted, heavy[:reportedCallers]
}
