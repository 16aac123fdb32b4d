package swquery

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// countingDialer counts the streams that it opens. The streams carry no replies.
type countingDialer struct {
	opened      int
	forgotten   int
	refuseDials bool
	// blockWrites makes the streams' Send block, as with a peer that reads nothing.
	blockWrites bool
}

func (dialer *countingDialer) Open(ctx context.Context, _ netip.AddrPort, _ swpeer.Method) (Stream, error) {
	dialer.opened++
	if dialer.refuseDials {
		return nil, errors.New("refused")
	}
	ctx, cancel := context.WithCancel(ctx)
	return &unresponsiveStream{ctx: ctx, cancel: cancel, blockWrites: dialer.blockWrites}, nil
}

func (dialer *countingDialer) Reconnect(netip.AddrPort) { dialer.forgotten++ }

// unresponsiveStream accepts messages, or blocks their writes, and receives nothing until it is cancelled.
type unresponsiveStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	// blockWrites makes Send block until the stream is cancelled, as with a peer that reads nothing.
	blockWrites bool
}

func (unresponsiveStream *unresponsiveStream) Send(...any) error {
	if unresponsiveStream.blockWrites {
		<-unresponsiveStream.ctx.Done()
	}
	return unresponsiveStream.ctx.Err()
}

func (unresponsiveStream *unresponsiveStream) Receive(any) error {
	<-unresponsiveStream.ctx.Done()
	return unresponsiveStream.ctx.Err()
}
func (unresponsiveStream *unresponsiveStream) Cancel() { unresponsiveStream.cancel() }

func newTestCall() *call {
	return &call{owner: swmember.Member{Peer: vmAddress("b")}, batch: &Batch{}, attempts: map[uint64]struct{}{1: {}}, events: newEventQueue()}
}

// TestLossOnReplacedStreamKeepsNewStream reports the loss of two batches of one stream, and opens a new stream between the two
// reports. The second report must not close the new stream.
func TestLossOnReplacedStreamKeepsNewStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(t.Context())
		defer group.Stop()
		dialer := &countingDialer{}
		ownerStreams := newOwnerStreams(dialer, group)
		first, second, third := newTestCall(), newTestCall(), newTestCall()
		ownerStreams.send(first)
		ownerStreams.send(second)
		synctest.Wait()
		ownerStreams.reconnect(first.stream)
		ownerStreams.send(third)
		synctest.Wait()
		ownerStreams.reconnect(second.stream)
		fourth := newTestCall()
		ownerStreams.send(fourth)
		synctest.Wait()
		if diff := cmp.Diff([]int{2, 1}, []int{dialer.opened, dialer.forgotten}); diff != "" {
			t.Errorf("streams opened, reconnects (-want +got):\n%s", diff)
		}
		if third.stream != fourth.stream {
			t.Error("the new stream was closed")
		}
	})
}

// TestStreamRetiredBeforeItRunsEnds checks that a stream that loses its last call before it is opened does not stay open.
func TestStreamRetiredBeforeItRunsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(t.Context())
		defer group.Stop()
		ownerStreams := newOwnerStreams(&countingDialer{}, group)
		call := newTestCall()
		ownerStreams.send(call)
		ownerStream := call.stream
		ownerStreams.reconnect(ownerStream)
		ownerStream.remove(call)
		synctest.Wait()
		if !ownerStream.ended {
			t.Error("the stream is still open without calls")
		}
	})
}

// TestBrokenStreamReportsWhetherBatchMayHaveRun breaks a stream after both batches were written, while one is being written
// and the other is queued, and before either could be sent.
func TestBrokenStreamReportsWhetherBatchMayHaveRun(t *testing.T) {
	for name, test := range map[string]struct {
		dialer countingDialer
		want   []swcode.Ran
	}{
		"the peer cannot be dialled": {countingDialer{refuseDials: true}, []swcode.Ran{swcode.RanNo, swcode.RanNo}},
		"the peer does not read":     {countingDialer{blockWrites: true}, []swcode.Ran{swcode.RanUnknown, swcode.RanNo}},
		"both were written":          {countingDialer{}, []swcode.Ran{swcode.RanUnknown, swcode.RanUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(t.Context())
				defer group.Stop()
				ownerStreams := newOwnerStreams(&test.dialer, group)
				var got []swcode.Ran
				calls := []*call{newTestCall(), newTestCall()}
				for _, call := range calls {
					ownerStreams.send(call)
					synctest.Wait()
				}
				calls[0].stream.cancel()
				synctest.Wait()
				for _, call := range calls {
					for _, event := range call.events.drain() {
						got = append(got, event.ran)
					}
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// endingStream ends right after its first envelope while a write blocks.
type endingStream struct {
	unresponsiveStream
	writing bool
}

func (endingStream *endingStream) Receive(message any) error {
	envelope := message.(*Envelope)
	if envelope.Batch == nil && !endingStream.writing {
		endingStream.writing = true
		envelope.ID, envelope.Batch = 1, &Batch{Remaining: time.Second, Items: []Item{{Attempt: 1, Server: "a0"}}}
		return nil
	}
	time.Sleep(time.Millisecond)
	return io.EOF
}

// TestServeReturnsAfterLastWrite ends a stream during a write. Serve must cancel and await the write, since the stream may not
// be used after it returns.
func TestServeReturnsAfterLastWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(1)
		defer cluster.group.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		endingStream := &endingStream{unresponsiveStream: unresponsiveStream{ctx: ctx, cancel: cancel, blockWrites: true}}
		owner := NewOwner(instantBackends{}, cluster.group, time.Second)
		if err := owner.Serve(t.Context(), endingStream); err != nil {
			t.Error(err)
		}
		if ctx.Err() == nil {
			t.Error("Serve returned before the write was cancelled")
		}
	})
}
