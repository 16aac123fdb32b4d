// Package swlabcrowd simulates crowds of clients that do not behave: they stop short of the end of a request, send or read very slowly, or
// send far more than a server accepts.
package swlabcrowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 5 * time.Second
	// reconnectDelay is the time between the end of a client's connection and its next one.
	reconnectDelay = time.Second
	// trickleDelay is the time between two bytes of a client that sends slowly.
	trickleDelay = 100 * time.Millisecond
	// floodDelay is the time between two pieces of floodSize bytes of a body without end. It bounds the work that a crowd causes.
	floodDelay = 5 * time.Millisecond
	floodSize  = 16 << 10
)

// IDPrefix is the prefix of the IDs of a crowd's requests.
const IDPrefix = "crowd-"

// Request is what the clients of a crowd send, or a part of it.
type Request struct {
	Method string
	Path   string
	Host   string
	// BodySize is the number of bytes of the body, which begins with BodyStart.
	BodySize  int
	BodyStart string
}

// head returns the request line and the headers, without the empty line that ends them.
func (request *Request) head(id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n", request.Method, request.Path, request.Host, id)
}

// Behavior is what each client of a crowd does on a connection.
type Behavior struct {
	// Send sends until it has nothing left to send or the connection fails. It calls settle once the rest may take without end.
	Send func(ctx context.Context, conn net.Conn, request Request, id string, settle func()) error
	// Reads reports whether the client reads what the server sends.
	Reads bool
}

// Config holds the parameters of a crowd.
type Config struct {
	// Address is the host and port of the server.
	Address  string
	Clients  int
	Behavior Behavior
	Request  Request
}

// Crowd is a number of clients that connect again whenever the server closes their connection. Construct it with Start.
type Crowd struct {
	config  Config
	group   *swgroup.Group
	settled atomic.Int64
}

// Start starts the clients, which run until Stop.
func Start(config Config) *Crowd {
	crowd := &Crowd{config: config, group: swgroup.New(context.Background())}
	for i := range config.Clients {
		crowd.group.Go(func(ctx context.Context) { crowd.run(ctx, i) })
	}
	return crowd
}

// Stop closes the connections and waits for the clients.
func (crowd *Crowd) Stop() {
	crowd.group.Stop()
}

// Settled returns the number of clients that have once sent all that they send without waiting, or whose first connection has ended.
func (crowd *Crowd) Settled() int {
	return int(crowd.settled.Load())
}

func (crowd *Crowd) run(ctx context.Context, number int) {
	settle := sync.OnceFunc(func() { crowd.settled.Add(1) })
	for attempt := 0; ctx.Err() == nil; attempt++ {
		crowd.connect(ctx, fmt.Sprintf("%s%d-%d", IDPrefix, number, attempt), settle)
		settle()
		if swtimer.Wait(ctx, reconnectDelay) != nil {
			return
		}
	}
}

// connect opens a connection, and returns once the server has closed it or the context is done.
func (crowd *Crowd) connect(ctx context.Context, id string, settle func()) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", crowd.config.Address)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	behavior := crowd.config.Behavior
	closed := make(chan struct{})
	if behavior.Reads {
		// A client that sends while the server has already closed the connection notices it by reading.
		crowd.group.Go(func(context.Context) {
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
			close(closed)
		})
	}
	err = behavior.Send(ctx, conn, crowd.config.Request, id, settle)
	settle()
	if err != nil {
		return
	}
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// filler is the content of bodies, at most this much in one piece.
var filler = strings.Repeat("x", 256<<10)

// write writes text to a connection.
func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

// ShortBody announces a body, sends it but for its last byte in pieces of the given size, and waits. If the size is zero, it sends one piece.
func ShortBody(pieceSize int) Behavior {
	return Behavior{Reads: true, Send: func(_ context.Context, conn net.Conn, request Request, id string, _ func()) error {
		err := write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", request.head(id), request.BodySize))
		if err == nil {
			err = write(conn, request.BodyStart)
		}
		size := pieceSize
		if size == 0 {
			size = len(filler)
		}
		for left := request.BodySize - len(request.BodyStart) - 1; left > 0 && err == nil; left -= size {
			err = write(conn, filler[:min(size, left)])
		}
		return err
	}}
}

// ShortChunks sends a body in chunks of the given size, without the chunk that ends it, and waits.
func ShortChunks(chunkSize int) Behavior {
	return Behavior{Reads: true, Send: func(_ context.Context, conn net.Conn, request Request, id string, _ func()) error {
		err := write(conn, request.head(id)+"Transfer-Encoding: chunked\r\n\r\n")
		if err == nil && request.BodyStart != "" {
			err = write(conn, fmt.Sprintf("%x\r\n%s\r\n", len(request.BodyStart), request.BodyStart))
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkSize, strings.Repeat("x", chunkSize))
		pieceSize := max(1, floodSize/chunkSize)
		for left := (request.BodySize - len(request.BodyStart)) / chunkSize; left > 0 && err == nil; left -= pieceSize {
			err = write(conn, strings.Repeat(chunk, min(pieceSize, left)))
		}
		return err
	}}
}

// Announce announces a body, sends one byte of it and waits.
var Announce = Behavior{Reads: true, Send: func(_ context.Context, conn net.Conn, request Request, id string, _ func()) error {
	return write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\nx", request.head(id), request.BodySize))
}}

// Flood sends a body without end, which it announces with a length far over any limit, or sends in chunks.
func Flood(chunked bool) Behavior {
	return Behavior{Reads: true, Send: func(ctx context.Context, conn net.Conn, request Request, id string, settle func()) error {
		piece := strings.Repeat("x", floodSize)
		framing := "Content-Length: 1000000000000\r\n\r\n"
		if chunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", floodSize, piece)
			framing = "Transfer-Encoding: chunked\r\n\r\n"
		}
		err := write(conn, request.head(id)+framing)
		for sent := 0; err == nil; sent += floodSize {
			if sent > request.BodySize {
				settle()
			}
			if err = swtimer.Wait(ctx, floodDelay); err == nil {
				err = write(conn, piece)
			}
		}
		return err
	}}
}

// Fields sends a header of a number of distinct short fields. It ends the header if it is complete, and waits.
func Fields(count int, complete bool) Behavior {
	// The fields are built once, so that a crowd costs little beside the server that it tests.
	var fields strings.Builder
	for number := range count {
		fmt.Fprintf(&fields, "%x:\r\n", number)
	}
	if complete {
		fields.WriteString("\r\n")
	}
	return Behavior{Reads: true, Send: func(_ context.Context, conn net.Conn, request Request, id string, _ func()) error {
		return write(conn, request.head(id)+fields.String())
	}}
}

// HalfHead sends a part of a header and waits.
var HalfHead = Behavior{Reads: true, Send: func(_ context.Context, conn net.Conn, request Request, id string, _ func()) error {
	return write(conn, request.head(id)+"X-Un")
}}

// SlowHead sends a header without end, a byte at a time.
var SlowHead = Behavior{Reads: true, Send: func(ctx context.Context, conn net.Conn, request Request, id string, settle func()) error {
	err := write(conn, request.head(id)+"X-Slow: ")
	settle()
	return trickle(ctx, conn, err)
}}

// SlowBody announces a body and sends it a byte at a time.
var SlowBody = Behavior{Reads: true, Send: func(ctx context.Context, conn net.Conn, request Request, id string, settle func()) error {
	err := write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", request.head(id), request.BodySize))
	settle()
	return trickle(ctx, conn, err)
}}

func trickle(ctx context.Context, conn net.Conn, err error) error {
	for err == nil {
		if err = swtimer.Wait(ctx, trickleDelay); err == nil {
			err = write(conn, "x")
		}
	}
	return err
}

// Pipeline sends a number of complete requests and reads no answer.
func Pipeline(count int) Behavior {
	return Behavior{Send: func(_ context.Context, conn net.Conn, request Request, id string, settle func()) error {
		settle()
		var err error
		for number := 0; number < count && err == nil; number++ {
			head := request.head(fmt.Sprintf("%s-%d", id, number))
			if request.BodySize > 0 {
				head += fmt.Sprintf("Content-Length: %d\r\n", request.BodySize)
			}
			err = write(conn, head+"\r\n"+strings.Repeat("x", request.BodySize))
		}
		return err
	}}
}
