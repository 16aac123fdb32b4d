package swgateway

import (
	"io"
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// minBodyBuffer is the size of the first buffer of a body in bytes. It doubles as bytes arrive, so that a client makes this process hold
	// no more than about twice what it has sent.
	minBodyBuffer = 4 << 10
	// bodyCopies is how often the bytes of a body are held: as read, and in the copy that is sent to a replica.
	bodyCopies = 2
	// tooManyClientsRetryAfter is the Retry-After of a request for whose body there is no memory. Clients that stall are closed before that
	// time has passed.
	tooManyClientsRetryAfter = time.Second
)

// readGrowing reads a body whose announced length is not trusted; it is negative if unknown.
func readGrowing(body io.Reader, announced int64) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			data = growBody(data, announced)
		}
		read, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+read]
		if err == io.EOF { //nolint:errorlint // Readers return io.EOF itself at the end.
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// growBody returns a larger buffer with the same content. It has a byte more than an announced length, in which the reader finds the end.
func growBody(data []byte, announced int64) []byte {
	size := max(minBodyBuffer, 2*cap(data))
	if left := announced + 1 - int64(len(data)); left > 0 && int64(len(data))+left < int64(size) {
		size = len(data) + int(left)
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown
}

func refuseTooManyClients() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Code: swcode.TooManyClients, RetryAfter: tooManyClientsRetryAfter}
}

// headerBounds returns the largest header that connections read, for the limits in force.
func (server *Server) headerBounds() swlistener.HeaderLimits {
	limits := swroute.Limits{}
	if table := server.config.Routes.Current(); table != nil {
		limits = table.Limits
	}
	most := limits.MaxHeaderBytes
	if most <= 0 || most > maxHeaderBytes {
		most = maxHeaderBytes
	}
	return swlistener.LimitsFor(most)
}
