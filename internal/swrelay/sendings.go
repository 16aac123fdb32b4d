package swrelay

import (
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

// relayedSendings are the sendings of one request, which are kept until no attempt can follow.
type relayedSendings struct {
	swreplica.Sendings
	until time.Time
}

// of returns the sendings of the request with an ID, to be kept until its deadline at least.
func (sendingTable *sendingTable) of(now time.Time, requestID string, until time.Time) *swreplica.Sendings {
	sendingTable.mutex.Lock()
	defer sendingTable.mutex.Unlock()
	if sendingTable.byID == nil {
		sendingTable.byID = make(map[string]*relayedSendings)
	}
	if now.Sub(sendingTable.prunedAt) > time.Second {
		sendingTable.prunedAt = now
		for id, sendings := range sendingTable.byID {
			if now.After(sendings.until) {
				delete(sendingTable.byID, id)
			}
		}
	}
	sendings, ok := sendingTable.byID[requestID]
	if !ok {
		sendings = &relayedSendings{}
		sendingTable.byID[requestID] = sendings
	}
	if until.After(sendings.until) {
		sendings.until = until
	}
	return &sendings.Sendings
}
