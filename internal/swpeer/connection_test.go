package swpeer_test

import (
	"context"
	"sync"
	"testing"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swpeer/swpeertest"
)

// TestSoundConnectionOutlivesCancelledCalls guards against a handshake for the next call, because a caller has given up.
func TestSoundConnectionOutlivesCancelledCalls(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server, client := newNode(t, authority.TLS(t, "vm-1")), newNode(t, authority.TLS(t, "vm-2"))
	open := func(ctx context.Context) error {
		stream, err := client.Open(ctx, server.Address(), swpeer.MethodStatus)
		if err == nil {
			stream.Cancel()
		}
		return err
	}
	if err := open(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := client.Outbound(server.Address())
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	// The dial has ended, so that either the connection or the end of the context may be noticed first.
	for range 20 {
		if err := open(cancelled); err == nil {
			t.Error("a stream was opened for a caller that had given up")
		}
	}
	if client.Outbound(server.Address()) != before {
		t.Error("the connection was dropped although it is sound")
	}
}

// TestConnectionIsDroppedWhileAnotherIsDialled lets the race detector see a dial and the end of the connection before it.
func TestConnectionIsDroppedWhileAnotherIsDialled(t *testing.T) {
	authority := swpeertest.NewAuthority(t)
	server, client := newNode(t, authority.TLS(t, "vm-1")), newNode(t, authority.TLS(t, "vm-2"))
	for range 5 {
		client.Reconnect(server.Address())
		dialled := make(chan struct{})
		var dropping sync.WaitGroup
		dropping.Go(func() {
			for {
				select {
				case <-dialled:
					return
				default:
					client.DropFormer(server.Address())
				}
			}
		})
		stream, err := client.Open(t.Context(), server.Address(), swpeer.MethodStatus)
		if err != nil {
			t.Error(err)
		} else {
			stream.Cancel()
		}
		close(dialled)
		dropping.Wait()
	}
}
