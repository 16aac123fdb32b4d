package swquery

import (
	"context"
	"net/netip"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Dialer opens exchanges with peers.
type Dialer interface {
	Open(ctx context.Context, target netip.AddrPort, method swpeer.Method) (Exchange, error)
	// Forget makes the next exchange use a fresh connection.
	Forget(target netip.AddrPort)
}

// PeerDialer adapts a node of the peer transport.
type PeerDialer struct {
	Node *swpeer.Node
}

// Open starts an exchange.
func (peerDialer PeerDialer) Open(ctx context.Context, target netip.AddrPort, method swpeer.Method) (Exchange, error) {
	stream, err := peerDialer.Node.Open(ctx, target, method)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Forget drops the present connection.
func (peerDialer PeerDialer) Forget(target netip.AddrPort) {
	peerDialer.Node.Forget(target)
}

// link is one batch on its way to one owner.
type link struct {
	owner    swmember.Member
	batch    *Batch
	attempts map[uint64]struct{}
	cancel   context.CancelFunc
	controls chan []uint64
	// heard is the time of the last message from the owner, or of the sending.
	heard time.Time
	// lost marks a link whose attempts were given up.
	lost bool
	// local marks a batch that this VM serves itself.
	local bool
}

// scatterEvent is what a link reports to the gather.
type scatterEvent struct {
	link  *link
	reply Reply
	// broken marks the end of the link; ran tells whether its attempts may have run.
	broken bool
	ran    swcode.Ran
}

// scatter sends the attempts of one gather to the owners and brings their answers back on one channel.
type scatter struct {
	engine *Engine
	group  *swgroup.Group
	ctx    context.Context
	cancel context.CancelFunc
	events chan scatterEvent
	links  []*link
}

// eventRoom is the number of replies that wait for the gather before links block.
const eventRoom = 64

func newScatter(ctx context.Context, engine *Engine) *scatter {
	ctx, cancel := context.WithCancel(ctx)
	return &scatter{
		engine: engine,
		group:  engine.config.Group,
		ctx:    ctx,
		cancel: cancel,
		events: make(chan scatterEvent, eventRoom),
	}
}

// close withdraws everything that is still open.
func (scatter *scatter) close() {
	scatter.cancel()
}

// send groups the commands by owner and sends each owner one batch.
func (scatter *scatter) send(now time.Time, header Batch, view *swmember.View, commands []Command) {
	byOwner := make(map[string]*link)
	for _, command := range commands {
		target := byOwner[command.Target.Owner]
		if target == nil {
			target = scatter.newLink(now, header, view, command.Target.Owner)
			byOwner[command.Target.Owner] = target
			scatter.links = append(scatter.links, target)
		}
		target.attempts[command.Attempt] = struct{}{}
		target.batch.Items = append(target.batch.Items, Item{Attempt: command.Attempt, Shard: command.Shard, Server: command.Target.Server})
	}
	for _, target := range byOwner {
		scatter.start(target)
	}
}

func (scatter *scatter) newLink(now time.Time, header Batch, view *swmember.View, owner string) *link {
	batch := header
	batch.Items = nil
	member, known := view.Member(owner)
	if !known {
		member = swmember.Member{Name: owner}
	}
	return &link{
		owner:    member,
		batch:    &batch,
		attempts: make(map[uint64]struct{}),
		controls: make(chan []uint64, 1),
		heard:    now,
		local:    owner == view.Self.Name,
	}
}

func (scatter *scatter) start(link *link) {
	ctx, cancel := context.WithCancel(scatter.ctx)
	link.cancel = cancel
	if link.local {
		scatter.group.Go(func(context.Context) { scatter.serveLocal(ctx, link) })
		return
	}
	scatter.group.Go(func(context.Context) { scatter.exchange(ctx, link) })
}

// serveLocal runs a batch for backend servers that this VM owns.
func (scatter *scatter) serveLocal(ctx context.Context, link *link) {
	defer link.cancel()
	work := scatter.engine.owner.start(ctx, link.batch)
	defer work.cancel()
	for left := len(link.batch.Items); left > 0; {
		select {
		case answer := <-work.answers:
			answers := work.drain(answer)
			left -= len(answers)
			event := scatterEvent{link: link, reply: Reply{Answers: answers}}
			if left == 0 {
				event.reply.Report = scatter.engine.config.Backends.Report()
			}
			scatter.report(event)
		case attempts := <-link.controls:
			work.withdraw(attempts)
		case <-ctx.Done():
			return
		}
	}
}

// exchange carries a batch to its owner over the peer transport.
func (scatter *scatter) exchange(ctx context.Context, link *link) {
	defer link.cancel()
	exchange, err := scatter.engine.config.Dialer.Open(ctx, link.owner.Peer, swpeer.MethodBatch)
	if err != nil {
		scatter.report(scatterEvent{link: link, broken: true, ran: swcode.RanNo})
		return
	}
	stop := context.AfterFunc(ctx, exchange.Cancel)
	defer stop()
	if err := exchange.Send(*link.batch); err != nil {
		scatter.report(scatterEvent{link: link, broken: true, ran: swcode.RanUnknown})
		return
	}
	scatter.group.Go(func(context.Context) { sendControls(ctx, exchange, link) })
	scatter.receive(link, exchange)
}

func (scatter *scatter) receive(link *link, exchange Exchange) {
	for left := len(link.batch.Items); left > 0; {
		var reply Reply
		if err := exchange.Receive(&reply); err != nil {
			scatter.report(scatterEvent{link: link, broken: true, ran: swcode.RanUnknown})
			return
		}
		left -= len(reply.Answers)
		scatter.report(scatterEvent{link: link, reply: reply})
	}
}

func sendControls(ctx context.Context, exchange Exchange, link *link) {
	for {
		select {
		case attempts := <-link.controls:
			if err := exchange.Send(Control{Cancel: attempts}); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (scatter *scatter) report(event scatterEvent) {
	select {
	case scatter.events <- event:
	case <-scatter.ctx.Done():
	}
}

// withdraw tells the owners which attempts are no longer wanted. A link that is still busy with an earlier withdrawal
// learns of these when the query ends.
func (scatter *scatter) withdraw(commands []Command) {
	for _, link := range scatter.links {
		var attempts []uint64
		for _, command := range commands {
			if _, ok := link.attempts[command.Attempt]; ok {
				attempts = append(attempts, command.Attempt)
			}
		}
		if len(attempts) == 0 {
			continue
		}
		select {
		case link.controls <- attempts:
		default:
		}
	}
}

// answered takes an attempt off its link and reports whether it was on it.
func (link *link) answered(attempt uint64) bool {
	if _, ok := link.attempts[attempt]; !ok {
		return false
	}
	delete(link.attempts, attempt)
	return true
}
