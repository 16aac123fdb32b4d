package swquery

import "sync"

const (
	// budgetBurst is the highest balance of a budget, and so the number of extra attempts that may be made at once.
	budgetBurst = 200
	// percent divides a percentage to give a fraction.
	percent = 100
)

// AttemptBudget is a token bucket for extra attempts (hedges and retries). First attempts fill it by a fraction of their
// number. It is safe for concurrent use.
type AttemptBudget struct {
	mutex    sync.Mutex
	earnRate float64
	balance  float64
}

// NewAttemptBudget returns a budget that allows extraPercent extra attempts per 100 first attempts. It starts full unless
// extraPercent is zero.
func NewAttemptBudget(extraPercent float64) *AttemptBudget {
	budget := &AttemptBudget{earnRate: extraPercent / percent}
	if extraPercent > 0 {
		budget.balance = budgetBurst
	}
	return budget
}

// Earn adds the share of extra attempts that the given number of first attempts allows.
func (budget *AttemptBudget) Earn(attempts int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.balance = min(budgetBurst, budget.balance+budget.earnRate*float64(attempts))
}

// Take reports whether one more attempt is granted, and deducts it from the balance, which all shards share.
func (budget *AttemptBudget) Take(int) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}
