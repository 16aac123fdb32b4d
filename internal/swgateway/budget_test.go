package swgateway

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestHedgesLeaveTheBudgetToRetries replays the requests of one VM for a shard whose replicas begin to reject half of what they get,
// while a third of the attempts are late and all searches need every remaining shard. It guards against hedges that use up the budget,
// so that searches fail for lack of retries.
func TestHedgesLeaveTheBudgetToRetries(t *testing.T) {
	const (
		requestInterval = 50 * time.Millisecond
		window          = 10 * time.Second
		// A hedge that was denied is wanted again at each request for as long as the attempt is late.
		lateFor   = 500 * time.Millisecond
		calmFor   = 2 * window
		rejectFor = 2 * window
		// leastRetries is the fraction of the granted repeats that are retries, where more retries are wanted than can be granted.
		leastRetries = 0.9
	)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		budget := NewBudget(BudgetConfig{Ratio: 0.2, Slack: 54, Window: window, VMs: func() int { return 7 }})
		start := time.Now()
		var lateUntil []time.Time
		calmHedges, hedges, retries := 0, 0, 0
		for time.Since(start) < calmFor+rejectFor {
			time.Sleep(requestInterval)
			now := time.Now()
			budget.CountRequest(now, "s")
			rejecting := now.Sub(start) > calmFor
			// The first window after that still holds the hedges of the calm time.
			counted := now.Sub(start) > calmFor+window
			if rejecting && random.IntN(2) == 0 && budget.Take(now, "s", Retry, 1) && counted {
				retries++
			}
			if random.IntN(3) == 0 {
				lateUntil = append(lateUntil, now.Add(lateFor))
			}
			lateUntil = slices.DeleteFunc(lateUntil, func(until time.Time) bool {
				granted := budget.Take(now, "s", Hedge, 1)
				switch {
				case granted && !rejecting:
					calmHedges++
				case granted && counted:
					hedges++
				}
				return granted || now.After(until)
			})
		}
		if float64(retries) < leastRetries*float64(retries+hedges) {
			t.Errorf("%d retries and %d hedges were granted while replicas reject, want %.0f in 100 to be retries", retries, hedges, 100*leastRetries)
		}
		if calmHedges == 0 {
			t.Error("no hedge was granted while no replica rejects")
		}
	})
}
