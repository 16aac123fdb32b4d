package swadmission

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// leastShare is the share that a priority keeps when the settings give it none, so that nothing starves.
	leastShare = 0.01
	// serviceGain is the weight of a new observation of the service time.
	serviceGain = 0.1
	// savedWork is the number of pieces of work for which a priority may save its claim.
	savedWork = 4
	// unknownCost stands for the service time before anything was observed.
	unknownCost = 5 * time.Millisecond
)

// shareLedger keeps each priority's claim to its minimum share of slot time, in seconds.
type shareLedger struct {
	share  [swrule.Priorities]float64
	credit [swrule.Priorities]float64
}

func newShareLedger(percent []int) shareLedger {
	ledger := shareLedger{}
	for i := range ledger.share {
		ledger.share[i] = max(leastShare, float64(percent[i])/100)
	}
	return ledger
}

// next returns the priority whose work goes next: one that is due by its minimum share, else the most urgent. At least
// one line must not be empty.
func (ledger *shareLedger) next(lines *[swrule.Priorities]line, service *serviceEstimate) swrule.Priority {
	best, bestDue := swrule.Priority(-1), 1.0
	for priority := range swrule.Priority(swrule.Priorities) {
		if lines[priority].length == 0 {
			continue
		}
		if best < 0 {
			best = priority
		}
		due := ledger.credit[priority] / service.cost(priority)
		if due >= bestDue {
			best, bestDue = priority, due
		}
	}
	return best
}

// charge accounts for work of the priority that starts: every priority gains its share of the cost, and saves up to a
// few pieces of work, so that a priority within its share seldom waits behind a flood.
func (ledger *shareLedger) charge(priority swrule.Priority, service *serviceEstimate) {
	cost := service.cost(priority)
	for i := range ledger.credit {
		most := savedWork * service.cost(swrule.Priority(i))
		ledger.credit[i] = min(most, ledger.credit[i]+ledger.share[i]*cost)
	}
	ledger.credit[priority] = max(0, ledger.credit[priority]-cost)
}

// serviceEstimate is the observed service time by priority: an exponentially weighted mean.
type serviceEstimate struct {
	means [swrule.Priorities]float64
	all   float64
}

func (estimate *serviceEstimate) add(priority swrule.Priority, service time.Duration) {
	estimate.means[priority] = smooth(estimate.means[priority], service.Seconds())
	estimate.all = smooth(estimate.all, service.Seconds())
}

// censored takes in work that was given up: it counts only when it raises the estimate.
func (estimate *serviceEstimate) censored(priority swrule.Priority, service time.Duration) {
	if service.Seconds() > estimate.means[priority] {
		estimate.add(priority, service)
	}
}

func smooth(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceGain*(sample-mean)
}

// mean returns the expected service time of a priority, that of all work when it is unknown, or zero.
func (estimate *serviceEstimate) mean(priority swrule.Priority) time.Duration {
	seconds := estimate.means[priority]
	if seconds == 0 {
		seconds = estimate.all
	}
	return time.Duration(seconds * float64(time.Second))
}

func (estimate *serviceEstimate) overall() time.Duration {
	return time.Duration(estimate.all * float64(time.Second))
}

// cost returns the expected service time in seconds, never zero.
func (estimate *serviceEstimate) cost(priority swrule.Priority) float64 {
	mean := estimate.mean(priority)
	if mean <= 0 {
		mean = unknownCost
	}
	return mean.Seconds()
}

// Result tells what came of work that held a slot.
type Result int

// The results.
const (
	// Completed means that the backend server answered in time.
	Completed Result = 0
	// ShedByServer means that the backend server refused it for want of capacity.
	ShedByServer Result = 1
	// Lost means that it used the backend server and brought no answer in time.
	Wasted Result = 2
	// Unused means that the backend server never worked on it.
	NotRun Result = 3
)
