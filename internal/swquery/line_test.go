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

// countingDialer opens streams that carry nothing, and counts.
type countingDialer struct {
	opened  int
	forgot  int
	refused bool
	// full makes peers read nothing.
	full bool
}

func (dialer *countingDialer) Open(ctx context.Context, _ netip.AddrPort, _ swpeer.Method) (Exchange, error) {
	dialer.opened++
	if dialer.refused {
		return nil, errors.New("refused")
	}
	ctx, cancel := context.WithCancel(ctx)
	return &silentExchange{ctx: ctx, cancel: cancel, full: dialer.full}, nil
}

func (dialer *countingDialer) Reconnect(netip.AddrPort) { dialer.forgot++ }

// silentExchange takes messages, or holds them up, and answers nothing until it is cancelled.
type silentExchange struct {
	ctx    context.Context
	cancel context.CancelFunc
	// full makes Send wait, as a peer does that reads nothing.
	full bool
}

func (exchange *silentExchange) Send(...any) error {
	if exchange.full {
		<-exchange.ctx.Done()
	}
	return exchange.ctx.Err()
}

func (exchange *silentExchange) Receive(any) error {
	<-exchange.ctx.Done()
	return exchange.ctx.Err()
}
func (exchange *silentExchange) Cancel() { exchange.cancel() }

func newTestLink() *link {
	return &link{owner: swmember.Member{Peer: vmAddress("b")}, batch: &Batch{}, attempts: map[uint64]struct{}{1: {}}, events: newEventQueue()}
}

// TestLossOnAnEarlierStreamLeavesTheFreshOneAlone loses two batches of one stream, with a fresh stream between them.
func TestLossOnAnEarlierStreamLeavesTheFreshOneAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(t.Context())
		defer group.Stop()
		dialer := &countingDialer{}
		lines := newLines(dialer, group)
		first, second, third := newTestLink(), newTestLink(), newTestLink()
		lines.send(first)
		lines.send(second)
		synctest.Wait()
		lines.forget(first.line)
		lines.send(third)
		synctest.Wait()
		lines.forget(second.line)
		fourth := newTestLink()
		lines.send(fourth)
		synctest.Wait()
		if diff := cmp.Diff([]int{2, 1}, []int{dialer.opened, dialer.forgot}); diff != "" {
			t.Errorf("streams opened, connections forgotten (-want +got):\n%s", diff)
		}
		if third.line != fourth.line {
			t.Error("the fresh stream was dropped")
		}
	})
}

// TestStreamForgottenBeforeItRanEnds checks that nothing is left of it.
func TestStreamForgottenBeforeItRanEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(t.Context())
		defer group.Stop()
		lines := newLines(&countingDialer{}, group)
		link := newTestLink()
		lines.send(link)
		line := link.line
		lines.forget(line)
		line.remove(link)
		synctest.Wait()
		if !line.ended {
			t.Error("the stream is open with nobody to use it")
		}
	})
}

// TestBrokenStreamTellsWhetherTheBatchMayHaveLeft breaks a stream with one batch in its write and one behind it, and one
// that was never made.
func TestBrokenStreamTellsWhetherTheBatchMayHaveLeft(t *testing.T) {
	for name, test := range map[string]struct {
		dialer countingDialer
		want   []swcode.Ran
	}{
		"the peer cannot be dialled": {countingDialer{refused: true}, []swcode.Ran{swcode.RanNo, swcode.RanNo}},
		"the peer reads nothing":     {countingDialer{full: true}, []swcode.Ran{swcode.RanUnknown, swcode.RanNo}},
		"both were written":          {countingDialer{}, []swcode.Ran{swcode.RanUnknown, swcode.RanUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(t.Context())
				defer group.Stop()
				lines := newLines(&test.dialer, group)
				var got []swcode.Ran
				links := []*link{newTestLink(), newTestLink()}
				for _, link := range links {
					lines.send(link)
					synctest.Wait()
				}
				links[0].line.cancel()
				synctest.Wait()
				for _, link := range links {
					for _, event := range link.events.take() {
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

// endingExchange ends at once while its writes take time.
type endingExchange struct {
	silentExchange
	writing bool
}

func (exchange *endingExchange) Receive(message any) error {
	envelope := message.(*Envelope)
	if envelope.Batch == nil && !exchange.writing {
		exchange.writing = true
		envelope.ID, envelope.Batch = 1, &Batch{Remaining: time.Second, Items: []Item{{Attempt: 1, Server: "a0"}}}
		return nil
	}
	time.Sleep(time.Millisecond)
	return io.EOF
}

// TestServeReturnsOnceNothingUsesTheStream ends a stream during a write.
func TestServeReturnsOnceNothingUsesTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(1)
		defer world.group.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		exchange := &endingExchange{silentExchange: silentExchange{ctx: ctx, cancel: cancel, full: true}}
		owner := NewOwner(instantBackends{}, world.group, time.Second)
		if err := owner.Serve(t.Context(), exchange); err != nil {
			t.Error(err)
		}
		if ctx.Err() == nil {
			t.Error("the stream was left to a write that goes on")
		}
	})
}
