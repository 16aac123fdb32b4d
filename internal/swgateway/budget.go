package swgateway

import (
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// BudgetConfig limits the repeats at each service, summed over all VMs.
type BudgetConfig struct {
	// Within any Window, repeats are limited to Ratio times the requests for the service, plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Limits shares Slack between the VMs. If it is nil, the budget has only its part of Slack.
	Limits *swlimit.Pool
	// VMs returns the number of VMs that share Slack if Limits is nil. It may be nil if that is unknown.
	VMs func() int
}

const (
	// budgetBuckets is the number of buckets into which a window is divided.
	budgetBuckets = 20
	// budgetMargin is the fraction of the budget that is left unused. It covers requests that a client sent but this VM never
	// counted, and windows that begin within a bucket.
	budgetMargin = 0.1
	// fewRepeats is the number of earned repeats up to which there is no margin. Only whole repeats are granted, which leaves more unused:
	// 0.4 in the mean with a ratio of 0.2, a fifth of the two that a VM of a large fleet earns.
	fewRepeats = 3
	// slackMargin is the fraction of the slack that is left unused. It covers VMs whose lists of VMs differ for a moment.
	slackMargin = 0.05
	// defaultVMCount is the number of VMs that are assumed to share the slack while the number is unknown.
	defaultVMCount = 64
	// demandBuckets is the number of latest buckets from which the retries of a whole window are forecast. Hedges are denied for as long
	// after a denied retry.
	demandBuckets = 4
)

// Purpose is what a repeat is for.
type Purpose int

const (
	// Retry replaces an attempt that failed: without it, the request lacks this service's answer.
	Retry Purpose = iota
	// Hedge is sent beside an attempt that is late and may still be answered.
	Hedge
)

// Budget limits repeats, which are hedges and retries. Each VM uses repeats in proportion to the requests that it received, and beyond these
// the slack, which is a limit with a window in the pool that all VMs share. So all VMs together stay within the limit, however unevenly
// clients are distributed over them.
//
// Hedges leave the budget to retries, and the last use of the slack that this VM holds. While replicas reject much of what they get, most parts of a search need a retry, and attempts at
// the others are late as well. Hedges are wanted again and again until one is granted, so they would take most of the budget, and
// searches would fail for lack of retries.
type Budget struct {
	config BudgetConfig
	// startedAt is the origin from which buckets are counted, because the wall clock may jump.
	startedAt time.Time
	limits    *swlimit.Pool
	services  *swtable.Table[string, *serviceBudget]
}

// serviceBudget counts the requests and repeats at one service within the window.
type serviceBudget struct {
	mutex sync.Mutex
	// ring holds the counts by bucket; bucket is the number of the latest one.
	ring   [budgetBuckets + 1]bucketCounts
	bucket int64
	// hedgesFrom is the first bucket in which hedges are granted again after a retry was denied.
	hedgesFrom int64
}

// bucketCounts counts what happened within one bucket.
type bucketCounts struct {
	requests, hedges, retries float64
	// slackRetries counts the retries that used the slack; hedges and retries count the others.
	slackRetries float64
	// wantedRetries counts the retries that were asked for, whether or not they were granted.
	wantedRetries float64
}

// NewBudget returns a budget without any counted requests.
func NewBudget(config BudgetConfig) *Budget {
	if config.VMs == nil {
		config.VMs = func() int { return defaultVMCount }
	}
	if config.Limits == nil {
		config.Limits = swlimit.NewPool(swlimit.Config{VMs: config.VMs})
	}
	return &Budget{config: config, startedAt: time.Now(), limits: config.Limits, services: swtable.New[string, *serviceBudget]()}
}

func (budget *Budget) service(name string) *serviceBudget {
	return budget.services.GetOrPut(name, func() *serviceBudget {
		budget.limits.Set(time.Now(), SlackKey(name), budget.config.slackLimit())
		return &serviceBudget{}
	})
}

// CountRequest counts a request for a service.
func (budget *Budget) CountRequest(now time.Time, service string) {
	serviceBudget := budget.service(service)
	serviceBudget.mutex.Lock()
	defer serviceBudget.mutex.Unlock()
	serviceBudget.advance(budget.bucketAt(now)).requests++
}

// Take reports whether one more repeat at a service is granted, and counts it. share is the fraction of the budget that may be
// used; a value below one leaves the rest to requests that need it more.
func (budget *Budget) Take(now time.Time, service string, purpose Purpose, share float64) bool {
	serviceBudget := budget.service(service)
	serviceBudget.mutex.Lock()
	defer serviceBudget.mutex.Unlock()
	current := serviceBudget.advance(budget.bucketAt(now))
	window := serviceBudget.windowTotals()
	earned := budget.config.Ratio * window.requests
	limit := share * max((1-budgetMargin)*earned, min(earned, fewRepeats))
	used := window.hedges + window.retries
	key := SlackKey(service)
	if purpose == Hedge {
		if serviceBudget.bucket < serviceBudget.hedgesFrom {
			return false
		}
		reserved := max(0, serviceBudget.forecastRetries()-window.retries-window.slackRetries)
		held := share * budget.limits.Holds(now, key)
		if used+1 <= limit && used+reserved+1 <= limit+held {
			current.hedges++
			return true
		}
		return used+reserved+1 <= limit+held && budget.limits.TakeSpare(now, key)
	}
	current.wantedRetries++
	switch {
	case used+1 <= limit:
		current.retries++
	case share < 1 && budget.limits.TakeSpare(now, key), share >= 1 && budget.limits.Take(now, key):
		current.slackRetries++
	default:
		serviceBudget.hedgesFrom = serviceBudget.bucket + demandBuckets
		return false
	}
	return true
}

// HoldsSlack reports whether this VM holds a use of the slack of a service.
func (budget *Budget) HoldsSlack(now time.Time, service string) bool {
	return budget.limits.Holds(now, SlackKey(service)) >= 1
}

// SlackKey returns the key in the shared limits for the slack of a service.
func SlackKey(service string) string {
	return "repeats/" + service
}

// slackLimit returns the limit of the slack of each service. A window of the pool begins at any time, unlike one of serviceBudget.
func (config *BudgetConfig) slackLimit() swlimit.Limit {
	return swlimit.Limit{Burst: (1 - slackMargin) * config.Slack, Window: config.Window}
}

func (budget *Budget) bucketAt(now time.Time) int64 {
	return int64(now.Sub(budget.startedAt)) / max(1, int64(budget.config.Window)/budgetBuckets)
}

// advance moves the window forward to a bucket and returns its counts. The caller holds the mutex.
func (serviceBudget *serviceBudget) advance(bucket int64) *bucketCounts {
	if size := int64(len(serviceBudget.ring)); bucket-serviceBudget.bucket > size {
		serviceBudget.bucket = bucket - size
	}
	for serviceBudget.bucket < bucket {
		serviceBudget.bucket++
		*serviceBudget.counts(0) = bucketCounts{}
	}
	return serviceBudget.counts(0)
}

// counts returns the counts of the bucket that is age buckets older than the latest one. The caller holds the mutex.
func (serviceBudget *serviceBudget) counts(age int64) *bucketCounts {
	size := int64(len(serviceBudget.ring))
	return &serviceBudget.ring[(serviceBudget.bucket-age+size)%size]
}

// windowTotals returns the requests that are certainly within the window and the repeats that may be. The caller holds the mutex.
func (serviceBudget *serviceBudget) windowTotals() bucketCounts {
	var totals bucketCounts
	for age := range int64(len(serviceBudget.ring)) {
		counts := serviceBudget.counts(age)
		totals.hedges += counts.hedges
		totals.retries += counts.retries
		totals.slackRetries += counts.slackRetries
		if age < budgetBuckets {
			totals.requests += counts.requests
		}
	}
	return totals
}

// forecastRetries returns the number of retries that a whole window will want if they go on as in the latest buckets. A single one is
// not taken for a trend. The caller holds the mutex.
func (serviceBudget *serviceBudget) forecastRetries() float64 {
	recent := 0.0
	for age := range int64(demandBuckets) {
		recent += serviceBudget.counts(age).wantedRetries
	}
	return max(0, recent-1) * budgetBuckets / demandBuckets
}
