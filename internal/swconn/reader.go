package swconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes. It holds a small response with its header.
	readBufferSize = 2 << 10
	// bodyStep is the number of bytes by which the buffer of a large body grows.
	bodyStep = 64 << 10
)

// Defaults of Limits.
const (
	defaultMaxHeader  = 64 << 10
	defaultMaxInterim = 8
	defaultMaxBody    = 8 << 20
)

// Limits bounds what one server can make this process read and hold. Zero fields get defaults.
type Limits struct {
	// MaxHeader bounds the status line and header of a response, in bytes. It includes those of its interim responses.
	MaxHeader int
	// MaxInterim bounds the number of interim (1xx) responses before a response.
	MaxInterim int
	// MaxBody bounds the body of a response, in bytes.
	MaxBody int
	// Memory bounds the bodies that all readers are reading together. If nil, there is no such bound.
	Memory *Memory
}

func (limits Limits) withDefaults() Limits {
	if limits.MaxHeader == 0 {
		limits.MaxHeader = defaultMaxHeader
	}
	if limits.MaxInterim == 0 {
		limits.MaxInterim = defaultMaxInterim
	}
	if limits.MaxBody == 0 {
		limits.MaxBody = defaultMaxBody
	}
	return limits
}

// LimitError is the error of a response that exceeds one of the Limits.
type LimitError struct {
	// Exceeded names the part of the response.
	Exceeded string
	// Limit is the limit that it exceeds: a number of bytes, or of interim responses.
	Limit int
}

// Error describes the limit.
func (limitError *LimitError) Error() string {
	return fmt.Sprintf("%s of a response exceeds %d", limitError.Exceeded, limitError.Limit)
}

// ExceedsLimit reports whether an error is that of a response beyond its limits.
func ExceedsLimit(err error) bool {
	var limitError *LimitError
	return errors.As(err, &limitError)
}

// Memory bounds the bytes of the bodies that are being read by many connections. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory of a number of bytes.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// reserve takes a number of bytes and reports whether they were available. A nil Memory has no limit.
func (memory *Memory) reserve(size int64) bool {
	if memory == nil {
		return true
	}
	if memory.used.Add(size) <= memory.limit {
		return true
	}
	memory.used.Add(-size)
	return false
}

func (memory *Memory) release(size int64) {
	if memory != nil {
		memory.used.Add(-size)
	}
}

// Reader reads the HTTP/1.1 responses on one connection to a server. A response that exceeds the limits is an error, after which
// the connection must be closed.
type Reader struct {
	limits Limits
	source *allowanceReader
	buffer *bufio.Reader
	// onHeader is called with the header of each response, before its body is read. It may be nil.
	onHeader func(status int, header http.Header)
}

// NewReader returns a reader of the responses on a connection.
func NewReader(conn io.Reader, limits Limits) *Reader {
	source := &allowanceReader{reader: conn, left: readBufferSize}
	return &Reader{limits: limits.withDefaults(), source: source, buffer: bufio.NewReaderSize(source, readBufferSize)}
}

// WaitForData blocks until there is something to read or the connection ends.
func (reader *Reader) WaitForData() error {
	reader.source.left = readBufferSize
	_, err := reader.buffer.Peek(1)
	return err
}

// Buffered returns the number of bytes that were received and not read yet.
func (reader *Reader) Buffered() int {
	return reader.buffer.Buffered()
}

// ReadResponse reads the response to a request with the given method, after its interim responses.
func (reader *Reader) ReadResponse(method string) (*Response, error) {
	reader.source.left = reader.limits.MaxHeader
	for interim := 0; ; interim++ {
		if interim > reader.limits.MaxInterim {
			return nil, &LimitError{Exceeded: "the number of interim responses", Limit: reader.limits.MaxInterim}
		}
		message, err := http.ReadResponse(reader.buffer, &http.Request{Method: method}) //nolint:bodyclose // See readBody.
		if err != nil && reader.source.left == 0 {
			// The error may be about the line that was cut off.
			return nil, &LimitError{Exceeded: "the header", Limit: reader.limits.MaxHeader}
		}
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if isInterim(message.StatusCode) {
			continue
		}
		if reader.onHeader != nil {
			reader.onHeader(message.StatusCode, message.Header)
		}
		body, err := reader.readBody(message)
		if err != nil {
			return nil, err
		}
		return &Response{Status: message.StatusCode, Header: message.Header, Body: body, Closes: message.Close}, nil
	}
}

// isInterim reports whether a status is informational (1xx), so that the final response follows. 101 (Switching Protocols) is final.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// readBody reads a complete body. It doesn't close the body, because Close would read on to its end, which may never come. The
// first bodyStep bytes don't count towards Limits.Memory, so that small bodies are read whatever other servers send.
func (reader *Reader) readBody(message *http.Response) ([]byte, error) {
	reader.source.left = unlimited
	var body bytes.Buffer
	if message.ContentLength > 0 {
		body.Grow(int(min(message.ContentLength, bodyStep)) + bytes.MinRead)
	}
	reserved := int64(0)
	defer func() { reader.limits.Memory.release(reserved) }()
	for {
		_, err := io.CopyN(&body, message.Body, bodyStep)
		switch {
		case body.Len() > reader.limits.MaxBody:
			return nil, &LimitError{Exceeded: "the body", Limit: reader.limits.MaxBody}
		case errors.Is(err, io.EOF):
			return body.Bytes(), nil
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		case !reader.limits.Memory.reserve(bodyStep):
			return nil, &LimitError{Exceeded: "the memory for bodies, with this one", Limit: int(reader.limits.Memory.limit)}
		}
		reserved += bodyStep
	}
}

// unlimited is the allowance of an allowanceReader without a bound.
const unlimited = -1

var errAllowanceExceeded = errors.New("too many bytes")

// allowanceReader reads at most left bytes, unless left is unlimited.
type allowanceReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (allowanceReader *allowanceReader) Read(data []byte) (int, error) {
	if allowanceReader.left == unlimited {
		return allowanceReader.reader.Read(data)
	}
	if allowanceReader.left == 0 {
		return 0, errAllowanceExceeded
	}
	read, err := allowanceReader.reader.Read(data[:min(len(data), allowanceReader.left)])
	allowanceReader.left -= read
	return read, err
}
