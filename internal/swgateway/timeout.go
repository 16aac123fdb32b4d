package swgateway

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// clientTimeouts tracks the longest timeout that clients of each route send. A client that retries sends a shorter one, and the
// difference is the time since its first attempt.
type clientTimeouts struct {
	longest *swtable.Table[string, time.Duration]
}

func newClientTimeouts() *clientTimeouts {
	return &clientTimeouts{longest: swtable.New[string, time.Duration]()}
}

// timeoutDecay sets how fast the longest timeout adapts to clients with shorter ones: each request reduces it by one part in
// timeoutDecay.
const timeoutDecay = 2048

// elapsed returns the time since the client's first attempt, given the time that the client has left.
func (clientTimeouts *clientTimeouts) elapsed(route string, timeLeft time.Duration) time.Duration {
	var longest time.Duration
	clientTimeouts.longest.Update(route, func(previous time.Duration, _ bool) (time.Duration, bool) {
		longest = max(previous-previous/timeoutDecay, timeLeft)
		return longest, true
	})
	if elapsed := longest - timeLeft; elapsed > minElapsed {
		return elapsed
	}
	return 0
}

// minElapsed is the minimum difference that counts as elapsed time.
const minElapsed = 10 * time.Millisecond
