package swconn

import (
	"bufio"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes. It holds a small response with its header.
	readBufferSize = 2 << 10
	// minBodyBuffer is the size of the first buffer of a body that may be larger, in bytes. It doubles until the body fits.
	minBodyBuffer = 4 << 10
	// maxFraming bounds the bytes of a body that are not content, such as the sizes of chunks: it is what any body may have, and
	// content/framingRatio may come on top. Many tiny chunks would cost much work for little content.
	maxFraming   = 64 << 10
	framingRatio = 2
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
	// Memory bounds what the responses of all readers hold together. If nil, there is no such bound.
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

// Reader reads the HTTP/1.1 responses on one connection to a server. A response that exceeds the limits is an error, after which
// the connection must be closed.
type Reader struct {
	limits Limits
	source *allowanceReader
	buffer *bufio.Reader
	// holding is what the response that is being read holds.
	holding holding
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
	reader.source.left, reader.source.holding = readBufferSize, nil
	_, err := reader.buffer.Peek(1)
	return err
}

// Buffered returns the number of bytes that were received and not read yet.
func (reader *Reader) Buffered() int {
	return reader.buffer.Buffered()
}

// ReadResponse reads the response to a request with the given method, after its interim responses. The caller calls the response's Release
// when it no longer uses it.
func (reader *Reader) ReadResponse(method string) (*Response, error) {
	reader.holding = holding{memory: reader.limits.Memory}
	response, err := reader.readResponse(method)
	if err != nil {
		reader.holding.release()
		return nil, err
	}
	reader.holding.attach(response)
	return response, nil
}

func (reader *Reader) readResponse(method string) (*Response, error) {
	reader.source.left, reader.source.holding = reader.limits.MaxHeader, &reader.holding
	// WaitForData may have read the beginning of the header.
	buffered, _ := reader.buffer.Peek(reader.buffer.Buffered())
	if !reader.holding.grow(headerCost(buffered)) {
		return nil, reader.limits.Memory.limitError()
	}
	for interim := 0; ; interim++ {
		if interim > reader.limits.MaxInterim {
			return nil, &LimitError{Exceeded: "the number of interim responses", Limit: reader.limits.MaxInterim}
		}
		message, err := http.ReadResponse(reader.buffer, &http.Request{Method: method}) //nolint:bodyclose // See readBody.
		switch {
		case err == nil:
		case reader.source.outOfMemory:
			return nil, reader.limits.Memory.limitError()
		case reader.source.left == 0:
			// The error may be about the line that was cut off.
			return nil, &LimitError{Exceeded: "the header", Limit: reader.limits.MaxHeader}
		default:
			return nil, errors.Wrap(err, "read response")
		}
		if !isValidStatusText(message.Status) {
			return nil, ErrInvalidStatus
		}
		if containsStatusLine(message.Status) || fieldsContainStatusLine(message.Header) {
			return nil, ErrJoined
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
		if fieldsContainStatusLine(message.Trailer) || reader.bodyIsJoined(body) {
			return nil, ErrJoined
		}
		return &Response{Status: message.StatusCode, Header: message.Header, Body: body, Closes: message.Close}, nil
	}
}

// isInterim reports whether a status is informational (1xx), so that the final response follows. 101 (Switching Protocols) is final.
func isInterim(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// readBody reads a complete body. It doesn't close the body, because Close would read on to its end, which may never come.
func (reader *Reader) readBody(message *http.Response) ([]byte, error) {
	reader.source.left, reader.source.holding = unlimited, nil
	start := reader.position()
	most := reader.limits.MaxBody + 1
	if length := message.ContentLength; length >= 0 && length < int64(most) {
		most = int(length) + 1
	}
	body := []byte{}
	for {
		if len(body) == cap(body) {
			// The buffer grows with what arrives, not with what the header announces.
			size := min(max(2*cap(body), minBodyBuffer), most)
			if !reader.holding.grow(size - cap(body)) {
				return nil, reader.limits.Memory.limitError()
			}
			body = append(make([]byte, 0, size), body...)
		}
		read, err := message.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+read]
		framing := reader.position() - start - len(body)
		switch {
		case len(body) > reader.limits.MaxBody:
			return nil, &LimitError{Exceeded: "the body", Limit: reader.limits.MaxBody}
		case framing > maxFraming+len(body)/framingRatio:
			return nil, &LimitError{Exceeded: "the framing of the body", Limit: maxFraming}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, errors.Wrap(err, "read body")
		}
	}
}

// position returns the number of bytes that were consumed on the connection.
func (reader *Reader) position() int {
	return reader.source.total - reader.buffer.Buffered()
}

// unlimited is the allowance of an allowanceReader without a bound.
const unlimited = -1

var errAllowanceExceeded = errors.New("too many bytes")

// allowanceReader reads at most left bytes, unless left is unlimited.
type allowanceReader struct {
	reader io.Reader
	left   int
	// total is the number of bytes that were read.
	total int
	// holding counts what is read as a part of a header; nil while a body is read. outOfMemory is set once it does not fit.
	holding     *holding
	outOfMemory bool
}

// Read implements io.Reader.
func (allowanceReader *allowanceReader) Read(data []byte) (int, error) {
	if allowanceReader.left == 0 || allowanceReader.outOfMemory {
		return 0, errAllowanceExceeded
	}
	if allowanceReader.left != unlimited {
		data = data[:min(len(data), allowanceReader.left)]
	}
	read, err := allowanceReader.reader.Read(data)
	allowanceReader.total += read
	if allowanceReader.left != unlimited {
		allowanceReader.left -= read
	}
	if allowanceReader.holding != nil && !allowanceReader.holding.grow(headerCost(data[:read])) {
		allowanceReader.outOfMemory = true
		return 0, errAllowanceExceeded
	}
	return read, err
}
