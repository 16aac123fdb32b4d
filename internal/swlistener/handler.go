package swlistener

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext adds a connection to the context of its requests. It is called from http.Server.ConnContext.
func (*Guard) ConnContext(ctx context.Context, netConn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(netConn))
}

// Handler returns a handler that counts what next reads of the bodies of its requests until it returns. next holds as many copies of each
// byte. The handler belongs inside swbody.DrainBody: net/http would wait for the rest of an unread body within the call of next, during which a
// connection is not closed in favor of others.
func (*Guard) Handler(next http.Handler, copies int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, _ := request.Context().Value(connKey{}).(*Conn)
		if conn == nil {
			next.ServeHTTP(writer, request)
			return
		}
		conn.enter(phaseServing)
		counted := &countedBody{ReadCloser: request.Body, conn: conn, copies: copies}
		if request.Body != nil && request.Body != http.NoBody {
			request.Body = counted
		}
		defer func() {
			conn.release(counted.held.Swap(0))
			conn.enter(phaseEnding)
		}()
		next.ServeHTTP(writer, request)
	})
}

// countedBody counts the bytes of a body that were read.
type countedBody struct {
	io.ReadCloser
	conn   *Conn
	copies int
	held   atomic.Int64
	begun  bool
}

// Read reads a part of the body. It returns ErrFull if there is no memory for it, or if the connection is closed in favor of others.
func (countedBody *countedBody) Read(buffer []byte) (int, error) {
	if !countedBody.begun {
		countedBody.begun = true
		countedBody.conn.enter(phaseBody)
	}
	read, err := countedBody.ReadCloser.Read(buffer)
	if read > 0 {
		size := int64(countedBody.copies * read)
		if chargeErr := countedBody.conn.charge(size); chargeErr != nil {
			return 0, chargeErr
		}
		countedBody.held.Add(size)
	}
	if err != nil {
		if countedBody.conn.isEvicted() {
			return 0, ErrFull
		}
		countedBody.conn.enter(phaseServing)
	}
	return read, err
}
