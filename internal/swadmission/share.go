package swadmission

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// minShare is the share of a priority that the settings give none, so that its work does not starve.
	minShare = 0.01
	// serviceTimeWeight is the weight of a new observation in the moving average of the service time.
	serviceTimeWeight = 0.1
	// maxSavedWork is the maximum credit of a priority, as a number of sub-requests.
	maxSavedWork = 4
	// defaultServiceTime is the assumed service time before any observation.
	defaultServiceTime = 5 * time.Millisecond
)

// shareCredits holds each priority's credit toward its minimum share of slot time, in seconds.
type shareCredits struct {
	shares  [swrule.Priorities]float64
	credits [swrule.Priorities]float64
}

func newShareCredits(percent []int) shareCredits {
	ledger := shareCredits{}
	for i := range ledger.shares {
		ledger.shares[i] = max(minShare, float64(percent[i])/100)
	}
	return ledger
}

// next returns the priority whose work runs next: the one with the most credit if it covers its next work, otherwise the
// most urgent. At least one queue must not be empty.
func (ledger *shareCredits) next(lines *[swrule.Priorities]priorityQueue, service *serviceTimes) swrule.Priority {
	best, bestDue := swrule.Priority(-1), 1.0
	for priority := range swrule.Priority(swrule.Priorities) {
		if lines[priority].length == 0 {
			continue
		}
		if best < 0 {
			best = priority
		}
		due := ledger.credits[priority] / service.cost(priority)
		if due >= bestDue {
			best, bestDue = priority, due
		}
	}
	return best
}

// charge accounts for work of the priority that starts. Every priority gains its share of the cost, up to maxSavedWork, so
// that a priority within its share rarely waits behind another's overload. The priority that runs then pays the cost.
func (ledger *shareCredits) charge(priority swrule.Priority, service *serviceTimes) {
	cost := service.cost(priority)
	for i := range ledger.credits {
		limit := maxSavedWork * service.cost(swrule.Priority(i))
		ledger.credits[i] = min(limit, ledger.credits[i]+ledger.shares[i]*cost)
	}
	ledger.credits[priority] = max(0, ledger.credits[priority]-cost)
}

// serviceTimes holds exponentially weighted moving averages of the observed service times, in seconds.
type serviceTimes struct {
	means       [swrule.Priorities]float64
	overallMean float64
}

func (estimate *serviceTimes) add(priority swrule.Priority, service time.Duration) {
	estimate.means[priority] = movingAverage(estimate.means[priority], service.Seconds())
	estimate.overallMean = movingAverage(estimate.overallMean, service.Seconds())
}

// addLowerBound records the service time of work that was abandoned. It counts only if it raises the average.
func (estimate *serviceTimes) addLowerBound(priority swrule.Priority, service time.Duration) {
	if service.Seconds() > estimate.means[priority] {
		estimate.add(priority, service)
	}
}

func movingAverage(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceTimeWeight*(sample-mean)
}

// mean returns the expected service time of a priority, or that of all work if there is none, or zero.
func (estimate *serviceTimes) mean(priority swrule.Priority) time.Duration {
	seconds := estimate.means[priority]
	if seconds == 0 {
		seconds = estimate.overallMean
	}
	return time.Duration(seconds * float64(time.Second))
}

func (estimate *serviceTimes) overall() time.Duration {
	return time.Duration(estimate.overallMean * float64(time.Second))
}

// cost returns the expected service time in seconds. It is never zero.
func (estimate *serviceTimes) cost(priority swrule.Priority) float64 {
	mean := estimate.mean(priority)
	if mean <= 0 {
		mean = defaultServiceTime
	}
	return mean.Seconds()
}

// Result is the outcome of work that held a slot.
type Result int

// The possible results.
const (
	// Completed means that the backend server answered in time.
	Completed Result = 0
	// ShedByServer means that the backend server refused the work because it lacked capacity.
	ShedByServer Result = 1
	// Wasted means that the work used the backend server but gave no answer in time.
	Wasted Result = 2
	// NotRun means that the backend server did not run the work.
	NotRun Result = 3
)
