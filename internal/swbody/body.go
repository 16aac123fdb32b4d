// Package swbody lets clients whose request was refused before its body was read still read the answer.
package swbody

import (
	"io"
	"net/http"
	"time"
)

const (
	// drainFor and drainMost bound how long and how much of an unread body is read on: a client on a slow link that sends ten
	// times the usual limits.
	drainFor  = 3 * time.Second
	drainMost = 64 << 20
)

// Drained serves requests and reads what the handler left of their bodies after its answer. A connection that closes with
// bytes unread is reset, which can take the answer from a client that sends its whole request first.
func DrainBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body := request.Body
		if body == nil || body == http.NoBody || request.ContentLength == 0 {
			next.ServeHTTP(writer, request)
			return
		}
		control := http.NewResponseController(writer)
		// Without it, net/http closes the body at the first byte of the answer.
		if err := control.EnableFullDuplex(); err != nil {
			next.ServeHTTP(writer, request)
			return
		}
		watched := &watchedBody{ReadCloser: body}
		request.Body = watched
		next.ServeHTTP(writer, request)
		if watched.ended {
			return
		}
		// The client may be gone, and the answer with it: nothing is left to do then.
		if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(drainFor)) != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, body, drainMost)
	})
}

// watchedBody notes whether a body was read to its end.
type watchedBody struct {
	io.ReadCloser
	ended bool
}

func (body *watchedBody) Read(buffer []byte) (int, error) {
	read, err := body.ReadCloser.Read(buffer)
	body.ended = body.ended || err != nil
	return read, err
}
