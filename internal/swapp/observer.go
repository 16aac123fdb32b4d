package swapp

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// poolObserver records metrics of the backend servers that this VM sends to.
type poolObserver struct {
	recorder *swmetric.Recorder
}

// QueueWait records how long a sub-request waited for a slot.
func (poolObserver poolObserver) QueueWait(work *swadmission.Work, wait time.Duration) {
	poolObserver.recorder.RecordQueueWait(work.Priority, work.Caller, wait)
}

// ServiceTime records how long a sub-request held its slot.
func (poolObserver poolObserver) ServiceTime(work *swadmission.Work, service time.Duration) {
	poolObserver.recorder.RecordServiceTime(work.Priority, work.Caller, service)
}

// Shed counts a sub-request that the admission queue shed, by the code of the refusal.
func (poolObserver poolObserver) Shed(_ *swadmission.Work, code swcode.Code) {
	poolObserver.recorder.CountEvent("sub_request_"+code.String(), 1)
}

// Wasted counts a sub-request that used a slot without an answer in time.
func (poolObserver poolObserver) Wasted(*swadmission.Work, time.Duration) {
	poolObserver.recorder.CountEvent("sub_request_wasted", 1)
}

// connectionEvents maps the events of connections to backend servers to names of metrics.
var connectionEvents = map[swbackend.ConnectionEvent]string{
	swbackend.ConnectionOpened:       "connection_dialled",
	swbackend.DialFailed:             "connection_dial_failed",
	swbackend.ConnectionUnresponsive: "connection_silent",
	swbackend.ResponseMismatched:     "connection_crossed",
	swbackend.ConnectionLost:         "connection_died",
	swbackend.SuspectClosed:          "connection_distrusted",
	swbackend.CancelledByClose:       "connection_closed_to_cancel",
	swbackend.CancelledByRequest:     "connection_kept_by_cancel",
	swbackend.LimitExceeded:          "responses_too_large",
	swbackend.LinksLost:              "connections_lost_together",
}

// ConnectionEvent counts an event of a connection.
func (poolObserver poolObserver) ConnectionEvent(_ string, event swbackend.ConnectionEvent) {
	poolObserver.recorder.CountEvent(connectionEvents[event], 1)
}
