package swgateway

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// patience learns how long the clients of each route wait at their first attempt, which tells how much of that a repeating
// client has spent already.
type patience struct {
	longest *swtable.Table[string, time.Duration]
}

func newPatience() *patience {
	return &patience{longest: swtable.New[string, time.Duration]()}
}

// patienceDecay is the part that the longest wait loses with each request, so that it follows clients that wait less.
const patienceDecay = 2048

// spent takes what a client has left and returns what it has spent.
func (patience *patience) spent(route string, left time.Duration) time.Duration {
	var longest time.Duration
	patience.longest.Update(route, func(known time.Duration, _ bool) (time.Duration, bool) {
		longest = max(known-known/patienceDecay, left)
		return longest, true
	})
	if spent := longest - left; spent > spentLeast {
		return spent
	}
	return 0
}

// spentLeast is the least difference that is taken for time spent.
const spentLeast = 10 * time.Millisecond
