package swquery

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

type clusterDialer struct {
	cluster *cluster
	from    string
}

func (clusterDialer) Reconnect(netip.AddrPort) {}

// Open connects a root to the owner at target by two channels of encoded messages.
func (dialer clusterDialer) Open(ctx context.Context, target netip.AddrPort, _ swpeer.Method) (Stream, error) {
	cluster := dialer.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if cluster.unreachable[target] || !target.IsValid() {
		return nil, errors.New("no VM answers at " + target.String())
	}
	shared, cancel := context.WithCancel(context.Background())
	toOwner, toRoot := make(chan packet, 1024), make(chan packet, 1024)
	root := &memoryStream{cluster: cluster, ctx: shared, cancel: cancel, in: toRoot, out: toOwner, peer: target, isRoot: true}
	cluster.streams[target] = append(cluster.streams[target], root)
	reading, endReading := context.WithCancel(shared)
	owner := &memoryStream{cluster: cluster, ctx: reading, cancel: cancel, in: toOwner, out: toRoot, peer: target}
	cluster.group.Go(func(context.Context) {
		defer endReading()
		defer close(toRoot)
		_ = cluster.engines[string(rune(target.Addr().As4()[3]))].Owner().Serve(shared, owner)
	})
	return root, nil
}

// packet is an encoded message and the time at which it is delivered.
type packet struct {
	data []byte
	due  time.Time
}

type memoryStream struct {
	cluster *cluster
	ctx     context.Context
	cancel  context.CancelFunc
	in      chan packet
	out     chan packet
	peer    netip.AddrPort
	isRoot  bool
	// dropsMessages makes Send discard messages while the stream stays open.
	dropsMessages bool
}

// breakStreams ends the open streams to a VM, as the end of its process does.
func (cluster *cluster) breakStreams(target netip.AddrPort) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, stream := range cluster.streams[target] {
		stream.cancel()
	}
	cluster.streams[target] = nil
}

// stallStreams makes the open streams of all VMs discard what roots send from now on. New streams work.
func (cluster *cluster) stallStreams() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, streams := range cluster.streams {
		for _, stream := range streams {
			stream.dropsMessages = true
		}
	}
}

// insertMismatchedReplies inserts a mismatched reply before each reply that has answers.
func insertMismatchedReplies(messages []any, mismatched func(reply Reply) Reply) []any {
	if mismatched == nil {
		return messages
	}
	var all []any
	for _, message := range messages {
		if reply, ok := message.(Reply); ok && len(reply.Answers) > 0 {
			all = append(all, mismatched(reply))
		}
		all = append(all, message)
	}
	return all
}

func (memoryStream *memoryStream) Send(messages ...any) error {
	memoryStream.cluster.mutex.Lock()
	dropped := memoryStream.dropsMessages || memoryStream.cluster.unresponsive[memoryStream.peer] || !memoryStream.isRoot && memoryStream.cluster.losesReplies[memoryStream.peer]
	alter, mismatched := memoryStream.cluster.alterReply, memoryStream.cluster.mismatchedReply
	memoryStream.cluster.mutex.Unlock()
	messages = insertMismatchedReplies(messages, mismatched)
	for _, message := range messages {
		if reply, ok := message.(Reply); ok && alter != nil {
			alter(&reply)
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
		case memoryStream.out <- packet{data: data, due: time.Now().Add(memoryStream.cluster.delay)}:
		case <-memoryStream.ctx.Done():
			return memoryStream.ctx.Err()
		}
	}
	return nil
}

func (memoryStream *memoryStream) Receive(message any) error {
	select {
	case packet, ok := <-memoryStream.in:
		if !ok {
			return io.EOF
		}
		time.Sleep(time.Until(packet.due))
		return errors.Wrap(swpeer.Unmarshal(packet.data, message), "decode")
	case <-memoryStream.ctx.Done():
		return memoryStream.ctx.Err()
	}
}

func (memoryStream *memoryStream) Cancel() { memoryStream.cancel() }
