package swrelay

import (
	"maps"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

// sendingTable holds the sendings of requests whose response is passed on to a client: one that is sent again must use another connection, also
// if both attempts come through this VM. The zero value is empty. It is safe for concurrent use.
type sendingTable struct {
	mutex sync.Mutex
	byID  map[string]*relayedSendings
	// prunedAt is when expired entries were last removed.
	prunedAt time.Time
}

// sendingsLifetime bounds the time for which the sendings of a request are kept after its latest attempt, as a client may name any deadline.
const sendingsLifetime = time.Minute

// relayedSendings are the sendings of one request, which are kept until no attempt is to be expected.
type relayedSendings struct {
	swreplica.Sendings
	// attempts is the number of attempts in progress, and endedAt when the latest one ended.
	attempts int
	endedAt  time.Time
	deadline time.Time
}

func (sendings *relayedSendings) expired(now time.Time) bool {
	return sendings.attempts == 0 && (now.After(sendings.deadline) || now.Sub(sendings.endedAt) > sendingsLifetime)
}

// begin returns the sendings of the request with an ID for an attempt that begins now. The caller must call end when the attempt has ended.
func (sendingTable *sendingTable) begin(now time.Time, requestID string, deadline time.Time) (sendings *swreplica.Sendings, end func(now time.Time)) {
	sendingTable.mutex.Lock()
	defer sendingTable.mutex.Unlock()
	if sendingTable.byID == nil {
		sendingTable.byID = make(map[string]*relayedSendings)
	}
	if now.Sub(sendingTable.prunedAt) > time.Second {
		sendingTable.prunedAt = now
		maps.DeleteFunc(sendingTable.byID, func(_ string, sendings *relayedSendings) bool { return sendings.expired(now) })
	}
	known, ok := sendingTable.byID[requestID]
	if !ok {
		known = &relayedSendings{}
		sendingTable.byID[requestID] = known
	}
	known.attempts++
	if deadline.After(known.deadline) {
		known.deadline = deadline
	}
	return &known.Sendings, func(now time.Time) {
		sendingTable.mutex.Lock()
		defer sendingTable.mutex.Unlock()
		known.attempts--
		known.endedAt = now
	}
}
