package swadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// shedInterval is the time between two adjustments of thresholds.
	shedInterval = 100 * time.Millisecond
	// shedSamples is the number of arrivals without which a level is not lowered.
	shedSamples = 4
	// leastFraction is the fraction that is always admitted, so that the load stays observable.
	leastFraction = 0.004
	// lossTolerated is the share of arrivals that may be lost before the level is lowered.
	lossTolerated = 0.02
	// lossSevere is the share of arrivals whose loss lowers the level at once.
	lossSevere = 0.2
	// waitSevere is the multiple of the target that lowers the level at once when the mean queue wait exceeds it.
	waitSevere = 2
	// cutTo is the part of the load served to which an overload lowers the level.
	cutTo = 0.95
	// steepestCut is the largest reduction of a level in one adjustment after the first.
	steepestCut = 0.7
	// growthBase is the growth of the level in an adjustment soon after a cut.
	growthBase = 0.02
	// growthSlope is the additional growth for each second since the last cut.
	growthSlope = 0.06
	// growthMost bounds the growth of a level in one adjustment.
	growthMost = 0.10
	// bindingPart is the part of a fraction that must be in use for the level to count as binding.
	bindingPart = 0.8
	// unboundAfter is the time after which a level that does not bind is dropped.
	unboundAfter = 5 * time.Second
	// recoveryMost bounds the growth of a fraction in one adjustment.
	recoveryMost = 0.20
	// reportedCallers is the number of heavy callers that a report names for a priority.
	reportedCallers = 4
	// trackedCallers is the number of callers whose load is known apart; others are taken together.
	trackedCallers = 64
	// demandGain is the weight of the latest interval in a caller's load.
	demandGain = 0.2
	// demandJump is the factor above which the latest interval replaces a caller's load.
	demandJump = 2
	// overloadGain is the weight of the latest interval in the loss and the queue wait.
	overloadGain = 0.3
	// servedGain is the weight of the latest interval in the load served.
	servedGain = 0.3
)

// shedder controls which cohorts of one priority a queue admits. Its level is the load of one caller, in sub-requests a
// second, that the queue takes; each caller's admitted fraction is the level over the load that the caller offers, so
// that a caller above its fair share is cut and its peers are not. Roots thin the load before it arrives, by this
// queue's thresholds or another's; the cohorts that still arrive tell how much, since cohorts are spread evenly.
type shedder struct {
	target time.Duration
	// level is zero when nothing is bounded.
	level    float64
	callers  map[string]*callerDemand
	served   float64
	arrivals int
	starts   int
	lost     int
	waited   time.Duration
	// lossShare and meanWait are the smoothed share of arrivals that were lost, and queue wait.
	lossShare float64
	meanWait  time.Duration
	sinceCut  time.Duration
	unbound   time.Duration
}

// callerDemand is the load of one caller.
type callerDemand struct {
	// fraction is the share of the caller's cohorts that is admitted.
	fraction float64
	// arrivals and cohorts are the number and the sum of the cohorts of admitted arrivals in this interval.
	arrivals int
	cohorts  float64
	// rate and cohortRate are the smoothed admitted arrivals, and the sum of their cohorts, a second.
	rate       float64
	cohortRate float64
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
	demand.arrivals++
	demand.cohorts += float64(cohort)
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
func (shedder *shedder) adjust(elapsed time.Duration) {
	shedder.measure(elapsed)
	if shedder.overloaded() {
		shedder.cut(elapsed)
	} else {
		shedder.grow(elapsed)
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
		demand.measure(elapsed)
	}
	shedder.served += servedGain * (float64(shedder.starts)/elapsed.Seconds() - shedder.served)
}

func (demand *callerDemand) measure(elapsed time.Duration) {
	rate := float64(demand.arrivals) / elapsed.Seconds()
	cohorts := demand.cohorts / elapsed.Seconds()
	gain := demandGain
	if demand.arrivals >= shedSamples && rate > demandJump*demand.rate {
		gain = 1
	}
	demand.rate += gain * (rate - demand.rate)
	demand.cohortRate += gain * (cohorts - demand.cohortRate)
	demand.arrivals, demand.cohorts = 0, 0
}

// arriving returns the share of the caller's cohorts that roots let through: twice the mean cohort.
func (demand *callerDemand) arriving() float64 {
	if demand.rate == 0 {
		return 1
	}
	return max(leastFraction, min(1, 2*demand.cohortRate/demand.rate/AllCohorts))
}

// offered returns the load in sub-requests a second that would arrive if nothing were shed at the roots.
func (demand *callerDemand) offered() float64 {
	return demand.rate / demand.arriving()
}

// overloaded reports whether the load is far too high in this interval, or too high both in this interval and in the
// smoothed past, so that neither a short burst nor an overload that is over lowers the level.
func (shedder *shedder) overloaded() bool {
	if shedder.arrivals < shedSamples {
		return false
	}
	loss := float64(shedder.lost) / float64(shedder.arrivals)
	shedder.lossShare += overloadGain * (loss - shedder.lossShare)
	wait := shedder.target / 2
	if shedder.starts > 0 {
		wait = shedder.waited / time.Duration(shedder.starts)
	}
	shedder.meanWait += time.Duration(overloadGain * float64(wait-shedder.meanWait))
	if loss > lossSevere || wait > waitSevere*shedder.target {
		return true
	}
	if loss > lossTolerated && shedder.lossShare > lossTolerated {
		return true
	}
	return wait > shedder.target && shedder.meanWait > shedder.target
}

// cut lowers the level to what was served.
func (shedder *shedder) cut(elapsed time.Duration) {
	served := max(shedder.served, float64(shedder.starts)/elapsed.Seconds())
	level := cutTo * shedder.waterLevel(served)
	if shedder.level > 0 {
		level = max(steepestCut*shedder.level, min(cutTo*shedder.level, level))
	}
	shedder.level = level
	shedder.sinceCut, shedder.unbound = 0, 0
}

// waterLevel returns the load of one caller at which the callers' loads, none above it, add up to total.
func (shedder *shedder) waterLevel(total float64) float64 {
	loads := make([]float64, 0, len(shedder.callers))
	for _, demand := range shedder.callers {
		loads = append(loads, demand.offered())
	}
	slices.Sort(loads)
	for i, load := range loads {
		share := total / float64(len(loads)-i)
		if load >= share {
			return share
		}
		total -= load
	}
	if len(loads) == 0 {
		return total
	}
	return loads[len(loads)-1]
}

// grow raises a level that binds, and drops one that has not bound for a while.
func (shedder *shedder) grow(elapsed time.Duration) {
	if shedder.level == 0 {
		return
	}
	shedder.sinceCut += elapsed
	if !shedder.binding() {
		shedder.unbound += elapsed
		if shedder.unbound > unboundAfter {
			shedder.level = 0
		}
		return
	}
	shedder.unbound = 0
	shedder.level *= 1 + min(growthMost, growthBase+growthSlope*shedder.sinceCut.Seconds())
}

// binding reports whether the level is what holds some caller's load down.
func (shedder *shedder) binding() bool {
	for _, demand := range shedder.callers {
		if demand.fraction < 1 && demand.arriving() > bindingPart*demand.fraction {
			return true
		}
	}
	return false
}

// follow moves the fraction to the level. A level of zero bounds nothing.
func (demand *callerDemand) follow(level float64) {
	wanted := 1.0
	if offered := demand.offered(); level > 0 && offered > level {
		wanted = level / offered
	}
	demand.fraction = max(leastFraction, min(wanted, demand.fraction*(1+recoveryMost)))
	demand.truncate()
}

// truncate takes what was smoothed down to the cohorts that are admitted from now on.
func (demand *callerDemand) truncate() {
	kept := demand.fraction / demand.arriving()
	if kept < 1 {
		demand.rate *= kept
		demand.cohortRate *= kept * kept
	}
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
