package swgateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Refusal is a response that this VM sends instead of a replica's.
type Refusal struct {
	Status int
	Code   swcode.Code
	// RetryAfter is how long the client should wait before it retries; zero sends no Retry-After.
	RetryAfter time.Duration
}

func refuse(status int, code swcode.Code) *Refusal {
	return &Refusal{Status: status, Code: code}
}

// write sends the refusal.
func (refusal *Refusal) write(writer http.ResponseWriter) {
	header := writer.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain")
	body := refusal.Code.String() + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(refusal.Status)
	_, _ = writer.Write([]byte(body))
}
