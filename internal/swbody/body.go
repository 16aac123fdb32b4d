// Package swbody lets a client read the response when its request was refused before the body was read.
package swbody

import (
	"io"
	"net/http"
	"time"
)

const (
	// drainTimeout and maxDrainBytes bound the time and the number of bytes for which an unread body is drained: enough for a
	// client on a slow link that sends ten times the usual limits.
	drainTimeout  = 3 * time.Second
	maxDrainBytes = 64 << 20
)

// DrainBody returns a handler that reads the rest of a request's body after next has responded. A connection that is closed with
// unread bytes is reset, so a client that sends its whole request first could lose the response.
func DrainBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body := request.Body
		if body == nil || body == http.NoBody || request.ContentLength == 0 {
			next.ServeHTTP(writer, request)
			return
		}
		control := http.NewResponseController(writer)
		// Without full duplex, net/http closes the body at the first byte of the response.
		if err := control.EnableFullDuplex(); err != nil {
			next.ServeHTTP(writer, request)
			return
		}
		tracked := &trackedBody{ReadCloser: body}
		request.Body = tracked
		next.ServeHTTP(writer, request)
		if tracked.ended {
			return
		}
		// On an error the client is gone, and there is nobody left to read the response.
		if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	})
}

// trackedBody records whether a body was read to its end, or to an error.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

func (body *trackedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	body.ended = body.ended || err != nil
	return count, err
}
