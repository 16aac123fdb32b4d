package swbackend

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// returnSpread is the fraction of the time that a server asked for over which the VMs return to it.
const returnSpread = 0.2

// holdOff sends the server nothing for a time that it asked for, unless a longer one is set. A server that sheds for seconds would otherwise
// spend its time on refusals.
func (server *server) holdOff(wait time.Duration) {
	if wait <= 0 {
		return
	}
	until := time.Now().Add(wait + time.Duration(returnSpread*rand.Float64()*float64(wait)))
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if until.After(server.heldUntil) {
		server.heldUntil = until
	}
}

// isHeldOff reports whether the server wants nothing now.
func (server *server) isHeldOff() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return time.Now().Before(server.heldUntil)
}

// heldOffAnswer is the answer to work for a server that wants nothing now.
func (server *server) heldOffAnswer() Answer {
	return Answer{Outcome: Shed, Ran: swcode.RanNo, Code: swcode.QueueFull, Message: server.name + " sheds load and asked for a pause"}
}
