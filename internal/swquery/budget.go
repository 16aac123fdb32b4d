package swquery

import "sync"

const (
	// budgetReserve is the number of extra attempts that may be made at once after a quiet time.
	budgetReserve = 200
	// percent turns a percentage into a fraction.
	percent = 100
)

// AttemptBudget grants hedges and retries as a part of the sub-requests sent. It is safe for concurrent use.
type AttemptBudget struct {
	mutex   sync.Mutex
	earn    float64
	balance float64
}

// NewAttemptBudget returns a budget of extraPercent of the sub-requests, with a full reserve when that is above zero.
func NewAttemptBudget(extraPercent float64) *AttemptBudget {
	budget := &AttemptBudget{earn: extraPercent / percent}
	if extraPercent > 0 {
		budget.balance = budgetReserve
	}
	return budget
}

// Earn counts first attempts.
func (budget *AttemptBudget) Earn(attempts int) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.balance = min(budgetReserve, budget.balance+budget.earn*float64(attempts))
}

// Take reports whether one more attempt is granted.
func (budget *AttemptBudget) Take(int) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}
