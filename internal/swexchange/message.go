package swexchange

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swobservation"
)

// Kind is what a message is for.
type Kind uint8

// The kinds of messages.
const (
	// FromVM is the report of a VM to the aggregator of its data centre.
	FromVM Kind = 1
	// FromDataCentre is the report of the aggregator of a data centre to that of another one.
	FromDataCentre Kind = 2
	// Notice says that something is unusual. The receiver asks its aggregator.
	Notice Kind = 3
)

// Message is sent to another VM.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Report is an encoded swobservation.Report.
	Report []byte `cbor:"2,keyasint,omitempty"`
}

// Reply answers a Message.
type Reply struct {
	// Report is what the others saw.
	Report []byte `cbor:"1,keyasint,omitempty"`
	// Entries is the largest number of entries in the next message, and Wait how long to wait at least until then.
	Entries int           `cbor:"2,keyasint,omitempty"`
	Wait    time.Duration `cbor:"3,keyasint,omitempty"`
}

// maxWait bounds how long a VM waits because another one asked it to.
const maxWait = 2 * time.Minute

const (
	// callOverhead is the number of bytes that a call takes beside its reports: packet headers, encryption, framing and acknowledgements.
	callOverhead = 200
	// bytesPerSecond and maxBytes bound what a VM sends and receives for observations: half of what control work may take on average, and
	// one episode of some seconds in a data centre of 25 VMs at full speed.
	bytesPerSecond = 1500
	maxBytes       = 512 << 10
	// frugalEntries bounds the entries of a message once the bytes are used up, and frugalCall is what a call with them takes.
	frugalEntries = 24
	frugalCall    = callOverhead + 2*11*frugalEntries
	// frugalMargin is how much longer VMs wait than bytesPerSecond needs, so that the budget recovers.
	frugalMargin = 1.25
)

// byteBudget bounds the bytes of messages on average. While it is negative, messages are smaller and rarer.
type byteBudget struct {
	level      float64
	refilledAt time.Time
}

func newByteBudget(now time.Time) byteBudget {
	return byteBudget{level: maxBytes, refilledAt: now}
}

func (budget *byteBudget) refill(now time.Time) {
	budget.level = min(maxBytes, budget.level+bytesPerSecond*max(0, now.Sub(budget.refilledAt).Seconds()))
	budget.refilledAt = now
}

func (budget *byteBudget) spend(now time.Time, bytes int) {
	budget.refill(now)
	budget.level -= float64(bytes)
}

// pace returns the bound on entries of a message and the wait until the next one, for a VM that exchanges messages with a number of peers.
func (budget *byteBudget) pace(now time.Time, peers int) (entries int, wait time.Duration) {
	budget.refill(now)
	if budget.level >= 0 {
		return swobservation.MaxEntries, time.Duration(peers) * intervalPerVM
	}
	return frugalEntries, time.Duration(frugalMargin * float64(peers) * frugalCall / bytesPerSecond * float64(time.Second))
}
