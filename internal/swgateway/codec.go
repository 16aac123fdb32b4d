package swgateway

import (
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swrelay"
)

// Codec encodes attempts and matches responses to requests, both on the VM that received the request and on the relay.
type Codec struct {
	Protocol Protocol
}

var _ swrelay.Codec = Codec{}

// Encode returns the bytes of an attempt with the given time left.
func (codec Codec) Encode(attempt *swrelay.Attempt, timeLeft time.Duration) []byte {
	data := make([]byte, 0, len(attempt.Head)+len(attempt.Body)+128)
	data = append(data, attempt.Head...)
	data = codec.Protocol.AppendAttemptHeaders(data, AttemptInfo{Replica: attempt.Replica, Timeout: timeLeft})
	data = append(data, "\r\n"...)
	return append(data, attempt.Body...)
}

// IsResponseTo reports whether a response belongs to the client's request with that ID. One without an ID may be bytes that answer no request,
// and proves nothing: not that the request has not run, nor that another replica has the address.
func (codec Codec) IsResponseTo(status int, header http.Header, requestID string) bool {
	return codec.Protocol.ReadResponseInfo(status, header).RequestID == requestID
}
