package swgateway

import (
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
)

// Codec encodes attempts and tells which responses answer them, on the VM that took the request and on those that relay it.
type Codec struct {
	Protocol Protocol
}

var _ swrelay.Codec = Codec{}

// Encode returns the bytes of an attempt that is sent with so much time left.
func (codec Codec) Encode(attempt *swrelay.Attempt, left time.Duration) []byte {
	data := make([]byte, 0, len(attempt.Head)+len(attempt.Body)+128)
	data = append(data, attempt.Head...)
	data = codec.Protocol.AppendAttemptHeaders(data, AttemptInfo{Replica: attempt.Replica, Timeout: left})
	data = append(data, "\r\n"...)
	return append(data, attempt.Body...)
}

// Answers reports whether a response answers the client's request of that ID. A response without an ID counts when it is a
// rejection or a failure, which servers may send before they have read the request.
func (codec Codec) IsResponseTo(response *swconn.Response, requestID string) bool {
	responseInfo := codec.Protocol.ReadResponseInfo(response.Status, response.Header)
	return responseInfo.RequestID == requestID || responseInfo.RequestID == "" && (responseInfo.NotRun || responseInfo.WrongReplica || response.Status >= http.StatusBadRequest)
}
