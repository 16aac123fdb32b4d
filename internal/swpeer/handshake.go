package swpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

const (
	// maxHandshakes bounds the connections from others whose handshake is not complete, and so has not shown a certificate yet. Each takes a
	// few tens of kilobytes for at most a few handshakeTimeout. Even after a failure of all VMs, a VM is dialled by fewer at a time.
	maxHandshakes = 256
	// verifyHandshakes is the number from which on a new connection must first show that it receives what is sent to its address, so that packets
	// with false addresses take no memory. It costs a round trip.
	verifyHandshakes = 64
)

// errTooManyHandshakes is the error of a connection that is refused before its handshake.
var errTooManyHandshakes = errors.New("too many handshakes")

// handshakes counts the connections from others whose handshake is not complete.
type handshakes struct {
	open atomic.Int64
}

// handshakeKey is the context key of the function that ends the counting of a connection.
type handshakeKey struct{}

// mustVerify reports whether a new connection must first show that it receives what is sent to its address.
func (handshakes *handshakes) mustVerify(net.Addr) bool {
	return handshakes.open.Load() >= verifyHandshakes
}

// begin counts a connection until complete is called with its context, or until it ends.
func (handshakes *handshakes) begin(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if handshakes.open.Add(1) > maxHandshakes {
		handshakes.open.Add(-1)
		return nil, errTooManyHandshakes
	}
	end := sync.OnceFunc(func() { handshakes.open.Add(-1) })
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// complete ends the counting of a connection whose handshake is complete.
func (*handshakes) complete(ctx context.Context) {
	if end, counted := ctx.Value(handshakeKey{}).(func()); counted {
		end()
	}
}
