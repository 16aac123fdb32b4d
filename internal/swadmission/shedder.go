package swadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// adjustInterval is the minimum time between two adjustments of the level and the fractions.
	adjustInterval = 100 * time.Millisecond
	// minSamples is the minimum number of arrivals in an interval for its measurements to count as overload or a jump.
	minSamples = 4
	// minFraction is the fraction that is always admitted, so that the offered load can still be measured.
	minFraction = 0.004
	// maxLossShare is the share of lost arrivals above which the level is lowered.
	maxLossShare = 0.02
	// severeLossShare is the share of lost arrivals above which the level is lowered without regard to the moving average.
	severeLossShare = 0.2
	// severeWaitFactor is the multiple of the target wait above which the level is lowered without regard to the average.
	severeWaitFactor = 2
	// reductionFactor is the factor of the served load to which an overload lowers the level.
	reductionFactor = 0.95
	// minReductionFactor is the smallest factor by which one adjustment lowers an existing level.
	minReductionFactor = 0.7
	// minGrowth is the relative growth of the level in an adjustment right after a reduction.
	minGrowth = 0.02
	// growthPerSecond is the additional relative growth for each second since the last reduction.
	growthPerSecond = 0.06
	// maxGrowth is the maximum relative growth of a level in one adjustment.
	maxGrowth = 0.10
	// minBindingShare is the part of an admitted fraction that must be in use for the level to count as binding.
	minBindingShare = 0.8
	// unboundTimeout is the time after which a level that does not bind is removed.
	unboundTimeout = 5 * time.Second
	// maxFractionGrowth is the maximum relative growth of a fraction in one adjustment.
	maxFractionGrowth = 0.20
	// maxReportedCallers is the maximum number of callers that a report lists for a priority.
	maxReportedCallers = 4
	// maxTrackedCallers is the number of callers whose load is tracked individually. All others are tracked together.
	maxTrackedCallers = 64
	// demandWeight is the weight of the latest interval in the moving average of a caller's load.
	demandWeight = 0.2
	// demandJumpFactor is the increase above which the latest interval replaces the moving average of a caller's load.
	demandJumpFactor = 2
	// overloadWeight is the weight of the latest interval in the moving averages of the lost share and the queue wait.
	overloadWeight = 0.3
	// servedRateWeight is the weight of the latest interval in the moving average of the served load.
	servedRateWeight = 0.3
)

// shedder controls which cohorts of one priority a queue admits. Its level is the load in sub-requests per second that the
// queue accepts from each caller. A caller's admitted fraction is the level divided by the load that the caller offers,
// so that only callers above their fair share are limited.
//
// Roots shed load before it arrives, according to this queue's thresholds or another's. Cohorts are distributed evenly,
// so the mean cohort of the arrivals shows which share the roots admitted, and from that follows the offered load.
type shedder struct {
	target time.Duration
	// level is the accepted load per caller in sub-requests per second, or zero when the load is not limited.
	level      float64
	callers    map[string]*callerDemand
	servedRate float64
	arrivals   int
	starts     int
	lost       int
	totalWait  time.Duration
	// lossShare and meanWait are moving averages of the share of lost arrivals and of the queue wait.
	lossShare      float64
	meanWait       time.Duration
	sinceReduction time.Duration
	unboundTime    time.Duration
}

// callerDemand tracks the load of one caller.
type callerDemand struct {
	// fraction is the admitted fraction of the caller's cohorts.
	fraction float64
	// arrivals is the number of admitted arrivals in this interval, and cohortSum the sum of their cohorts.
	arrivals  int
	cohortSum float64
	// rate and cohortRate are moving averages of arrivals and cohortSum per second.
	rate       float64
	cohortRate float64
}

func newShedder(target time.Duration) shedder {
	return shedder{target: target, callers: make(map[string]*callerDemand)}
}

// recordArrival reports whether the cohort is admitted, and counts the work if it is.
func (shedder *shedder) recordArrival(caller string, cohort uint16) bool {
	demand := shedder.demand(caller)
	if demand.fraction < 1 && cohort >= cohortThreshold(demand.fraction) {
		return false
	}
	demand.arrivals++
	demand.cohortSum += float64(cohort)
	shedder.arrivals++
	return true
}

// demand returns the load of a caller. Callers beyond maxTrackedCallers share the entry with the empty name.
func (shedder *shedder) demand(caller string) *callerDemand {
	demand := shedder.callers[caller]
	if demand != nil {
		return demand
	}
	if len(shedder.callers) >= maxTrackedCallers && caller != "" {
		return shedder.demand("")
	}
	demand = &callerDemand{fraction: 1}
	shedder.callers[caller] = demand
	return demand
}

func (shedder *shedder) recordStart(wait time.Duration) {
	shedder.starts++
	shedder.totalWait += wait
}

// adjust updates the level and the callers' fractions from the measurements of the last interval.
func (shedder *shedder) adjust(elapsed time.Duration) {
	shedder.measure(elapsed)
	if shedder.isOverloaded() {
		shedder.reduceLevel(elapsed)
	} else {
		shedder.raiseLevel(elapsed)
	}
	for caller, demand := range shedder.callers {
		demand.updateFraction(shedder.level)
		if demand.fraction == 1 && demand.rate < 1 {
			delete(shedder.callers, caller)
		}
	}
	shedder.arrivals, shedder.starts, shedder.lost, shedder.totalWait = 0, 0, 0, 0
}

func (shedder *shedder) measure(elapsed time.Duration) {
	for _, demand := range shedder.callers {
		demand.measure(elapsed)
	}
	shedder.servedRate += servedRateWeight * (float64(shedder.starts)/elapsed.Seconds() - shedder.servedRate)
}

// measure updates the moving averages and starts a new interval. A jump of the load replaces the averages, so that shedding
// follows it at once.
func (demand *callerDemand) measure(elapsed time.Duration) {
	rate := float64(demand.arrivals) / elapsed.Seconds()
	cohorts := demand.cohortSum / elapsed.Seconds()
	weight := demandWeight
	if demand.arrivals >= minSamples && rate > demandJumpFactor*demand.rate {
		weight = 1
	}
	demand.rate += weight * (rate - demand.rate)
	demand.cohortRate += weight * (cohorts - demand.cohortRate)
	demand.arrivals, demand.cohortSum = 0, 0
}

// arrivingShare returns the share of the caller's cohorts that roots admit. It is twice the mean cohort of the arrivals.
func (demand *callerDemand) arrivingShare() float64 {
	if demand.rate == 0 {
		return 1
	}
	return max(minFraction, min(1, 2*demand.cohortRate/demand.rate/AllCohorts))
}

// offeredRate returns the sub-requests per second that would arrive if the roots shed nothing.
func (demand *callerDemand) offeredRate() float64 {
	return demand.rate / demand.arrivingShare()
}

// isOverloaded reports whether the load is far too high in this interval, or too high both in this interval and in the
// moving average, so that neither a short burst nor an overload that has ended lowers the level.
func (shedder *shedder) isOverloaded() bool {
	if shedder.arrivals < minSamples {
		return false
	}
	loss := float64(shedder.lost) / float64(shedder.arrivals)
	shedder.lossShare += overloadWeight * (loss - shedder.lossShare)
	wait := shedder.target / 2
	if shedder.starts > 0 {
		wait = shedder.totalWait / time.Duration(shedder.starts)
	}
	shedder.meanWait += time.Duration(overloadWeight * float64(wait-shedder.meanWait))
	if loss > severeLossShare || wait > severeWaitFactor*shedder.target {
		return true
	}
	if loss > maxLossShare && shedder.lossShare > maxLossShare {
		return true
	}
	return wait > shedder.target && shedder.meanWait > shedder.target
}

// reduceLevel lowers the level according to the load that was served.
func (shedder *shedder) reduceLevel(elapsed time.Duration) {
	served := max(shedder.servedRate, float64(shedder.starts)/elapsed.Seconds())
	level := reductionFactor * shedder.fairLevel(served)
	if shedder.level > 0 {
		level = max(minReductionFactor*shedder.level, min(reductionFactor*shedder.level, level))
	}
	shedder.level = level
	shedder.sinceReduction, shedder.unboundTime = 0, 0
}

// fairLevel returns the max-min fair share: the cap on each caller's load at which the loads add up to total.
func (shedder *shedder) fairLevel(total float64) float64 {
	loads := make([]float64, 0, len(shedder.callers))
	for _, demand := range shedder.callers {
		loads = append(loads, demand.offeredRate())
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

// raiseLevel raises a level that binds, and removes one that has not bound for unboundTimeout.
func (shedder *shedder) raiseLevel(elapsed time.Duration) {
	if shedder.level == 0 {
		return
	}
	shedder.sinceReduction += elapsed
	if !shedder.isBinding() {
		shedder.unboundTime += elapsed
		if shedder.unboundTime > unboundTimeout {
			shedder.level = 0
		}
		return
	}
	shedder.unboundTime = 0
	shedder.level *= 1 + min(maxGrowth, minGrowth+growthPerSecond*shedder.sinceReduction.Seconds())
}

// isBinding reports whether the level limits the load of some caller.
func (shedder *shedder) isBinding() bool {
	for _, demand := range shedder.callers {
		if demand.fraction < 1 && demand.arrivingShare() > minBindingShare*demand.fraction {
			return true
		}
	}
	return false
}

// updateFraction moves the admitted fraction toward the level. A level of zero limits nothing.
func (demand *callerDemand) updateFraction(level float64) {
	target := 1.0
	if offered := demand.offeredRate(); level > 0 && offered > level {
		target = level / offered
	}
	demand.fraction = max(minFraction, min(target, demand.fraction*(1+maxFractionGrowth)))
	demand.scaleToFraction()
}

// scaleToFraction scales the moving averages down to the cohorts that are admitted from now on.
func (demand *callerDemand) scaleToFraction() {
	ratio := demand.fraction / demand.arrivingShare()
	if ratio < 1 {
		demand.rate *= ratio
		demand.cohortRate *= ratio * ratio
	}
}

func cohortThreshold(fraction float64) uint16 {
	return uint16(fraction * AllCohorts)
}

// report returns the threshold that applies to most callers, and the callers with a lower threshold.
func (shedder *shedder) report(priority swrule.Priority) (uint16, []CallerReport) {
	var limited []CallerReport
	for caller, demand := range shedder.callers {
		if demand.fraction < 1 {
			limited = append(limited, CallerReport{Priority: priority, Caller: caller, Admitted: cohortThreshold(demand.fraction)})
		}
	}
	if len(limited) <= maxReportedCallers {
		return AllCohorts, limited
	}
	slices.SortFunc(limited, func(a, b CallerReport) int { return cmp.Compare(a.Admitted, b.Admitted) })
	return limited[maxReportedCallers].Admitted, limited[:maxReportedCallers]
}
