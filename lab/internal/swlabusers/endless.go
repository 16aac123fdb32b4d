package swlabusers

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

// Endless selects what a replica sends without end in place of a response, until the connection closes.
type Endless int

// The kinds of endless responses.
const (
	NotEndless Endless = 0
	// EndlessLine is a status line without end.
	EndlessLine Endless = 1
	// EndlessHeader is a header of any number of fields.
	EndlessHeader Endless = 2
	// EndlessInterim is any number of interim responses.
	EndlessInterim Endless = 3
	// EndlessBody is a body in any number of chunks.
	EndlessBody Endless = 4
	// EndlessTail is a complete response that is followed by any number of other bytes.
	EndlessTail Endless = 5
	// EndlessFields is a header of thousands of distinct short fields, and a body that then comes a byte at a time.
	EndlessFields Endless = 6
	// EndlessTinyChunks is a body in any number of chunks of a byte.
	EndlessTinyChunks Endless = 7
	// EndlessKinds is the number of kinds, NotEndless included.
	EndlessKinds = 8
)

const (
	// endlessBlockSize is the number of bytes that a replica sends at a time.
	endlessBlockSize = 16 << 10
	// fieldsSize is the number of bytes of a header of many fields, and trickleDelay the time between the bytes of the body after it.
	fieldsSize   = 60 << 10
	trickleDelay = 20 * time.Millisecond
)

// distinctFields returns header lines with fields that have short names and no value.
func distinctFields() string {
	var lines strings.Builder
	for number := 0; lines.Len() < fieldsSize; number++ {
		fmt.Fprintf(&lines, "%x:\r\n", number)
	}
	return lines.String()
}

// writeEndless writes an endless response with the given header, and returns when the connection fails.
func writeEndless(conn net.Conn, endless Endless, header string, answer []byte) {
	status := "HTTP/1.1 200 OK\r\n" + header
	start, repeated, delay := "", "", time.Duration(0)
	switch endless {
	case EndlessLine:
		start, repeated = "HTTP/1.1 200 ", "OK"
	case EndlessHeader:
		start, repeated = status, "X-Filler: 0123456789\r\n"
	case EndlessInterim:
		repeated = "HTTP/1.1 102 Processing\r\n\r\n"
	case EndlessBody:
		start, repeated = status+"Transfer-Encoding: chunked\r\n\r\n", "20\r\n"+"0123456789abcdef0123456789abcdef"+"\r\n"
	case EndlessFields:
		start, repeated, delay = status+distinctFields()+"Content-Length: 200000\r\n\r\n", "x", trickleDelay
	case EndlessTinyChunks:
		start, repeated = status+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"
	case EndlessTail:
		start, repeated = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", status, len(answer), answer), "\x00garbage"
	}
	block := bytes.Repeat([]byte(repeated), endlessBlockSize/len(repeated))
	if delay > 0 {
		block = []byte(repeated)
	}
	_, err := conn.Write([]byte(start))
	for err == nil {
		time.Sleep(delay)
		_, err = conn.Write(block)
	}
}
