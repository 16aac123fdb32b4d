package swconn

import (
	"net/http"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// ErrJoined means that a response is made of the beginning of one and of the next one. It answers no request, whatever its header says.
var ErrJoined = errors.New("a response was cut short and continues with another one")

// statusLine matches the beginning of a status line. In a response that was cut in its head, the status line of the next one stands in the middle
// of the line that was cut: at the beginning of a line, it has no colon and is no header field.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] +[0-9]{3}`)

// statusLineLength is the number of bytes of the beginning of a status line that a sound server sends.
const statusLineLength = len("HTTP/1.1 200")

func containsStatusLine(text string) bool {
	// Nearly all texts end here, at a fraction of the cost of the pattern.
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}

func fieldsContainStatusLine(header http.Header) bool {
	for _, values := range header {
		for _, value := range values {
			if containsStatusLine(value) {
				return true
			}
		}
	}
	return false
}

// bodyIsJoined reports whether a status line begins in a body and the server has sent more than the body that is not the beginning of a response.
// The body was then cut and filled with the next response, of which the rest is left. A body may well contain a status line otherwise.
func (reader *Reader) bodyIsJoined(body []byte) bool {
	left, _ := reader.buffer.Peek(min(reader.buffer.Buffered(), statusLineLength))
	if len(left) == 0 || len(body) == 0 || statusLine.Match(left) {
		return false
	}
	end := append(body[max(0, len(body)-statusLineLength+1):len(body):len(body)], left...)
	return statusLine.Match(body) || statusLine.Match(end)
}
