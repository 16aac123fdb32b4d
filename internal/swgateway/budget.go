package swgateway

import (
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// BudgetConfig sets how many repeats a service may get from all VMs.
type BudgetConfig struct {
	// Ratio is the share of repeats in the requests for a service, and Slack the number beyond it, within any Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
	// VMs returns the number of VMs that share Slack; it may be nil when that is not known.
	VMs func() int
}

const (
	// budgetSteps is the number of steps in which a window moves on.
	budgetSteps = 20
	// budgetReserve is the part of the ratio that is left unused, for requests that a client sent and this VM never counted,
	// and for a window that cuts a step.
	budgetReserve = 0.1
	// unknownVMs is the number of VMs taken to share the slack while the number is not known.
	unknownVMs = 64
)

// Budget grants repeats, which are hedges and retries alike. Each VM spends its own share: repeats in proportion to the
// requests that it took itself, and an even part of the slack, so that the sum over all VMs keeps to the bound without any
// of them asking another, however unevenly clients are spread over them.
type Budget struct {
	config BudgetConfig
	// began is where the steps are counted from; the time of day may jump.
	began    time.Time
	services *swtable.Table[string, *serviceBudget]
}

type serviceBudget struct {
	mutex sync.Mutex
	// requests and repeats count by step of the clock.
	requests [budgetSteps + 1]float64
	repeats  [budgetSteps + 1]float64
	step     int64
}

// NewBudget returns a budget that has counted nothing.
func NewBudget(config BudgetConfig) *Budget {
	if config.VMs == nil {
		config.VMs = func() int { return unknownVMs }
	}
	return &Budget{config: config, began: time.Now(), services: swtable.New[string, *serviceBudget]()}
}

func (budget *Budget) service(name string) *serviceBudget {
	return budget.services.GetOrPut(name, func() *serviceBudget { return &serviceBudget{} })
}

// Count notes a request for a service.
func (budget *Budget) CountRequest(now time.Time, service string) {
	counted := budget.service(service)
	counted.mutex.Lock()
	defer counted.mutex.Unlock()
	counted.requests[counted.advance(budget.stepAt(now))]++
}

// Take reports whether one more repeat at a service is granted, and counts it. share is the part of the allowance that may be
// used up: less than one leaves the rest to requests that need it more.
func (budget *Budget) Take(now time.Time, service string, share float64) bool {
	counted := budget.service(service)
	counted.mutex.Lock()
	defer counted.mutex.Unlock()
	at := counted.advance(budget.stepAt(now))
	requests, repeats := counted.sums(at)
	allowed := (1 - budgetReserve) * (budget.config.Ratio*requests + budget.slack(now))
	if repeats+1 > share*allowed {
		return false
	}
	counted.repeats[at]++
	return true
}

// slack returns this VM's part of the slack. A process that has just started has none: it does not know whether another one on
// this VM has spent it within the window.
func (budget *Budget) slack(now time.Time) float64 {
	if now.Sub(budget.began) < budget.config.Window {
		return 0
	}
	return budget.config.Slack / float64(max(1, budget.config.VMs()))
}

func (budget *Budget) stepAt(now time.Time) int64 {
	return int64(now.Sub(budget.began)) / max(1, int64(budget.config.Window)/budgetSteps)
}

// advance moves the window on to a step and returns the step's place. The caller holds the mutex.
func (counted *serviceBudget) advance(step int64) int {
	const places = budgetSteps + 1
	if step-counted.step > places {
		counted.step = step - places
	}
	for counted.step < step {
		counted.step++
		counted.requests[counted.step%places] = 0
		counted.repeats[counted.step%places] = 0
	}
	return int(counted.step % places)
}

// sums returns the requests of the window that are certainly in it, and the repeats that may be. The caller holds the mutex.
func (counted *serviceBudget) sums(at int) (requests, repeats float64) {
	const places = budgetSteps + 1
	oldest := (at + 1) % places
	for i := range counted.requests {
		repeats += counted.repeats[i]
		if i != oldest {
			requests += counted.requests[i]
		}
	}
	return requests, repeats
}
