package swgateway

import (
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// BudgetConfig limits the repeats at each service, summed over all VMs.
type BudgetConfig struct {
	// Within any Window, repeats are limited to Ratio times the requests for the service, plus Slack.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// VMs returns the number of VMs that share Slack. It may be nil if that is unknown.
	VMs func() int
}

const (
	// budgetBuckets is the number of buckets into which a window is divided.
	budgetBuckets = 20
	// budgetMargin is the fraction of the budget that is left unused. It covers requests that a client sent but this VM never
	// counted, and windows that begin within a bucket.
	budgetMargin = 0.1
	// defaultVMCount is the number of VMs that are assumed to share the slack while the number is unknown.
	defaultVMCount = 64
)

// Budget limits repeats, which are hedges and retries. Each VM uses its own share: repeats in proportion to the requests that it
// received, and an even part of the slack. So all VMs together stay within the limit without coordination, however unevenly
// clients are distributed over them.
type Budget struct {
	config BudgetConfig
	// startedAt is the origin from which buckets are counted, because the wall clock may jump.
	startedAt time.Time
	services  *swtable.Table[string, *serviceBudget]
}

// serviceBudget counts the requests and repeats at one service within the window.
type serviceBudget struct {
	mutex sync.Mutex
	// requests and repeats are counts by bucket, in a ring; bucket is the number of the latest one.
	requests [budgetBuckets + 1]float64
	repeats  [budgetBuckets + 1]float64
	bucket   int64
}

// NewBudget returns a budget without any counted requests.
func NewBudget(config BudgetConfig) *Budget {
	if config.VMs == nil {
		config.VMs = func() int { return defaultVMCount }
	}
	return &Budget{config: config, startedAt: time.Now(), services: swtable.New[string, *serviceBudget]()}
}

func (budget *Budget) service(name string) *serviceBudget {
	return budget.services.GetOrPut(name, func() *serviceBudget { return &serviceBudget{} })
}

// CountRequest counts a request for a service.
func (budget *Budget) CountRequest(now time.Time, service string) {
	serviceBudget := budget.service(service)
	serviceBudget.mutex.Lock()
	defer serviceBudget.mutex.Unlock()
	serviceBudget.requests[serviceBudget.advance(budget.bucketAt(now))]++
}

// Take reports whether one more repeat at a service is granted, and counts it. share is the fraction of the budget that may be
// used; a value below one leaves the rest to requests that need it more.
func (budget *Budget) Take(now time.Time, service string, share float64) bool {
	serviceBudget := budget.service(service)
	serviceBudget.mutex.Lock()
	defer serviceBudget.mutex.Unlock()
	index := serviceBudget.advance(budget.bucketAt(now))
	requests, repeats := serviceBudget.windowTotals(index)
	allowed := (1 - budgetMargin) * (budget.config.Ratio*requests + budget.slack(now))
	if repeats+1 > share*allowed {
		return false
	}
	serviceBudget.repeats[index]++
	return true
}

// slack returns this VM's part of the slack. It is zero for the first window after the start, because a previous process on this
// VM may have used the slack within that window.
func (budget *Budget) slack(now time.Time) float64 {
	if now.Sub(budget.startedAt) < budget.config.Window {
		return 0
	}
	return budget.config.Slack / float64(max(1, budget.config.VMs()))
}

func (budget *Budget) bucketAt(now time.Time) int64 {
	return int64(now.Sub(budget.startedAt)) / max(1, int64(budget.config.Window)/budgetBuckets)
}

// advance moves the window forward to a bucket and returns its index in the ring. The caller holds the mutex.
func (serviceBudget *serviceBudget) advance(bucket int64) int {
	const size = budgetBuckets + 1
	if bucket-serviceBudget.bucket > size {
		serviceBudget.bucket = bucket - size
	}
	for serviceBudget.bucket < bucket {
		serviceBudget.bucket++
		serviceBudget.requests[serviceBudget.bucket%size] = 0
		serviceBudget.repeats[serviceBudget.bucket%size] = 0
	}
	return int(serviceBudget.bucket % size)
}

// windowTotals returns the requests that are certainly within the window and the repeats that may be. The caller holds the mutex.
func (serviceBudget *serviceBudget) windowTotals(index int) (requests, repeats float64) {
	const size = budgetBuckets + 1
	oldest := (index + 1) % size
	for i := range serviceBudget.requests {
		repeats += serviceBudget.repeats[i]
		if i != oldest {
			requests += serviceBudget.requests[i]
		}
	}
	return requests, repeats
}
