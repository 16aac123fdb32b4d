package swquery

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

type worldDialer struct {
	world *world
	from  string
}

func (worldDialer) Reconnect(netip.AddrPort) {}

// Open joins a root to the owner at target by two queues of encoded messages.
func (dialer worldDialer) Open(ctx context.Context, target netip.AddrPort, _ swpeer.Method) (Exchange, error) {
	world := dialer.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if world.gone[target] || !target.IsValid() {
		return nil, errors.New("no VM answers at " + target.String())
	}
	shared, cancel := context.WithCancel(context.Background())
	toOwner, toRoot := make(chan packet, 1024), make(chan packet, 1024)
	root := &memoryExchange{world: world, ctx: shared, cancel: cancel, in: toRoot, out: toOwner, peer: target, isRoot: true}
	world.streams[target] = append(world.streams[target], root)
	reading, endReading := context.WithCancel(shared)
	owner := &memoryExchange{world: world, ctx: reading, cancel: cancel, in: toOwner, out: toRoot, peer: target}
	world.group.Go(func(context.Context) {
		defer endReading()
		defer close(toRoot)
		_ = world.engines[string(rune(target.Addr().As4()[3]))].Owner().Serve(shared, owner)
	})
	return root, nil
}

// packet is a message on its way.
type packet struct {
	data []byte
	due  time.Time
}

type memoryExchange struct {
	world  *world
	ctx    context.Context
	cancel context.CancelFunc
	in     chan packet
	out    chan packet
	peer   netip.AddrPort
	isRoot bool
	// lost drops what is sent; the stream itself stays open.
	lost bool
}

// breakStreams ends the open streams to a VM, as its death does.
func (world *world) breakStreams(target netip.AddrPort) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, stream := range world.streams[target] {
		stream.cancel()
	}
	world.streams[target] = nil
}

// silenceStreams makes the open streams of all VMs drop what roots send for good, while new ones work.
func (world *world) silenceStreams() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, streams := range world.streams {
		for _, stream := range streams {
			stream.lost = true
		}
	}
}

// withCrossed puts a crossed reply before each that has answers.
func withCrossed(messages []any, cross func(reply Reply) Reply) []any {
	if cross == nil {
		return messages
	}
	var all []any
	for _, message := range messages {
		if reply, ok := message.(Reply); ok && len(reply.Answers) > 0 {
			all = append(all, cross(reply))
		}
		all = append(all, message)
	}
	return all
}

func (exchange *memoryExchange) Send(messages ...any) error {
	exchange.world.mutex.Lock()
	dropped := exchange.lost || exchange.world.silent[exchange.peer] || !exchange.isRoot && exchange.world.mute[exchange.peer]
	forge, cross := exchange.world.forge, exchange.world.cross
	exchange.world.mutex.Unlock()
	messages = withCrossed(messages, cross)
	for _, message := range messages {
		if reply, ok := message.(Reply); ok && forge != nil {
			forge(&reply)
			message = reply
		}
		data, err := swpeer.Marshal(message)
		if err != nil {
			return err
		}
		if dropped {
			continue
		}
		select {
		case exchange.out <- packet{data: data, due: time.Now().Add(exchange.world.distance)}:
		case <-exchange.ctx.Done():
			return exchange.ctx.Err()
		}
	}
	return nil
}

func (exchange *memoryExchange) Receive(message any) error {
	select {
	case packet, ok := <-exchange.in:
		if !ok {
			return io.EOF
		}
		time.Sleep(time.Until(packet.due))
		return errors.Wrap(swpeer.Unmarshal(packet.data, message), "decode")
	case <-exchange.ctx.Done():
		return exchange.ctx.Err()
	}
}

func (exchange *memoryExchange) Cancel() { exchange.cancel() }
