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
	shareCredits := shareCredits{}
	for i := range shareCredits.shares {
		shareCredits.shares[i] = max(minShare, float64(percent[i])/100)
	}
	return shareCredits
}

// next returns the priority whose work runs next: the one with the most credit if it covers its next work, otherwise the
// most urgent. At least one queue must not be empty.
func (shareCredits *shareCredits) next(queues *[swrule.Priorities]priorityQueue, service *serviceTimes) swrule.Priority {
	best, bestRatio := swrule.Priority(-1), 1.0
	for priority := range swrule.Priority(swrule.Priorities) {
		if queues[priority].length == 0 {
			continue
		}
		if best < 0 {
			best = priority
		}
		ratio := shareCredits.credits[priority] / service.cost(priority)
		if ratio >= bestRatio {
			best, bestRatio = priority, ratio
		}
	}
	return best
}

// charge accounts for work of the priority that starts. Every priority gains its share of the cost, up to maxSavedWork, so
// that a priority within its share rarely waits behind another's overload. The priority that runs then pays the cost.
func (shareCredits *shareCredits) charge(priority swrule.Priority, service *serviceTimes) {
	cost := service.cost(priority)
	for i := range shareCredits.credits {
		limit := maxSavedWork * service.cost(swrule.Priority(i))
		shareCredits.credits[i] = min(limit, shareCredits.credits[i]+shareCredits.shares[i]*cost)
	}
	shareCredits.credits[priority] = max(0, shareCredits.credits[priority]-cost)
}

// serviceTimes holds exponentially weighted moving averages of the observed service times, in seconds.
type serviceTimes struct {
	means       [swrule.Priorities]float64
	overallMean float64
}

func (serviceTimes *serviceTimes) add(priority swrule.Priority, service time.Duration) {
	serviceTimes.means[priority] = movingAverage(serviceTimes.means[priority], service.Seconds())
	serviceTimes.overallMean = movingAverage(serviceTimes.overallMean, service.Seconds())
}

// addLowerBound records the service time of work that was abandoned. It counts only if it raises the average.
func (serviceTimes *serviceTimes) addLowerBound(priority swrule.Priority, service time.Duration) {
	if service.Seconds() > serviceTimes.means[priority] {
		serviceTimes.add(priority, service)
	}
}

func movingAverage(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + serviceTimeWeight*(sample-mean)
}

// mean returns the expected service time of a priority, or that of all work if there is none, or zero.
func (serviceTimes *serviceTimes) mean(priority swrule.Priority) time.Duration {
	seconds := serviceTimes.means[priority]
	if seconds == 0 {
		seconds = serviceTimes.overallMean
	}
	return time.Duration(seconds * float64(time.Second))
}

func (serviceTimes *serviceTimes) overall() time.Duration {
	return time.Duration(serviceTimes.overallMean * float64(time.Second))
}

// cost returns the expected service time in seconds. It is never zero.
func (serviceTimes *serviceTimes) cost(priority swrule.Priority) float64 {
	mean := serviceTimes.mean(priority)
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
