package swkey

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// chunkSize is the size of the largest part of a table in one message, in bytes.
	chunkSize = 1 << 20
	// pendingLife is how long an offered authority waits for its commit.
	pendingLife = time.Minute
	// callTimeout bounds one message of a handover.
	callTimeout = 2 * time.Second
	// drainPoll is the time between two looks at the runs in flight.
	drainPoll = 5 * time.Millisecond
	// commitPause is the time between two commits of which no answer came.
	commitPause = 50 * time.Millisecond
)

// HandoverEntry is a run in a table that moves.
type HandoverEntry struct {
	Sequence    uint64
	Caller      string
	Fingerprint uint64
	Expires     time.Duration
	Outcome     Outcome
}

// HandoverMessage offers an authority in parts, or commits it. Until the commit the receiver only stores.
type HandoverMessage struct {
	Issuer Issuer
	// Offer identifies the attempt.
	Offer uint64
	// Part counts the messages of the offer from zero.
	Part    int
	Secret  []byte          `cbor:",omitempty"`
	Entries []HandoverEntry `cbor:",omitempty"`
	// Commit makes the receiver the holder. Parts is the number of parts that the offer had.
	Commit bool `cbor:",omitempty"`
	Parts  int  `cbor:",omitempty"`
	// Latest is the latest expiry of the keys issued, on the authority's clock.
	Latest time.Duration `cbor:",omitempty"`
	// Ahead is what to add to the receiver's clock to get a time that is not before the authority's clock.
	Ahead time.Duration `cbor:",omitempty"`
}

// HandoverAnswer answers a HandoverMessage.
type HandoverAnswer struct {
	Accepted bool
	// Clock is the receiver's own clock.
	Clock time.Duration
}

// pendingHandover is an authority that was offered and not committed.
type pendingHandover struct {
	offer   uint64
	secret  []byte
	parts   map[int][]HandoverEntry
	size    int64
	expires time.Time
}

// Handover stops issuing and running, waits for the runs in flight, and hands every authority that this VM holds and that
// has something to tell to one successor. The context bounds the wait; runs that have not finished by then are handed over with an unknown outcome.
// After an error the authority that failed belongs to its successor or to no one, never to this VM.
func (service *Service) Handover(ctx context.Context) error {
	held := service.stopAll()
	var failed error
	for _, authority := range held {
		err := service.handOver(ctx, authority)
		if err != nil {
			failed = errors.Wrapf(err, "hand over the keys of %s", successorKey(authority.issuer))
		}
		authority.settle()
	}
	return failed
}

func (service *Service) stopAll() []*authority {
	var held []*authority
	service.authorities.Range(func(_ Issuer, authority *authority) bool {
		if authority.stop() {
			held = append(held, authority)
		}
		return true
	})
	return held
}

func (service *Service) handOver(ctx context.Context, authority *authority) error {
	authority.drain(ctx)
	if authority.useful() <= 0 {
		return nil
	}
	parts := authority.export()
	err := errors.New("no peer is known that could take them")
	for _, peer := range service.config.Directory.Successors(service.self.Name) {
		if peer.Name == service.self.Name {
			continue
		}
		var commit HandoverMessage
		commit, err = service.offer(ctx, authority, peer, parts)
		if err != nil {
			continue
		}
		authority.relinquish(peer.Name)
		service.announce(authority, peer.Name)
		return service.commit(ctx, peer, commit)
	}
	return err
}

// offer sends the table to a peer, which must not act on it yet, and returns the message that would commit it.
func (service *Service) offer(ctx context.Context, authority *authority, peer Peer, parts [][]HandoverEntry) (HandoverMessage, error) {
	message := HandoverMessage{Issuer: authority.issuer, Offer: randomIncarnation()}
	commit := HandoverMessage{
		Issuer: authority.issuer,
		Offer:  message.Offer,
		Commit: true,
		Parts:  len(parts),
		Latest: time.Duration(authority.latest.Load()),
	}
	for i, entries := range parts {
		message.Part = i
		message.Secret = authority.secret
		message.Entries = entries
		answer, err := service.handoverCall(ctx, peer, message)
		if err != nil {
			return HandoverMessage{}, err
		}
		if !answer.Accepted {
			return HandoverMessage{}, errors.Errorf("%s refused them", peer.Name)
		}
		commit.Ahead = authority.clock.now() - answer.Clock
	}
	return commit, nil
}

// commit makes the peer the holder. It sends the same commit to the same peer until it is answered: a commit that took
// effect without an answer must not be followed by one to another peer.
func (service *Service) commit(ctx context.Context, peer Peer, message HandoverMessage) error {
	for {
		answer, err := service.handoverCall(ctx, peer, message)
		if err == nil && answer.Accepted {
			return nil
		}
		if err == nil {
			return errors.Errorf("%s dropped them before the commit", peer.Name)
		}
		if swtimer.Wait(ctx, commitPause) != nil {
			return errors.Wrapf(err, "commit to %s", peer.Name)
		}
	}
}

func (service *Service) handoverCall(ctx context.Context, peer Peer, message HandoverMessage) (HandoverAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer HandoverAnswer
	err := service.config.Transport.Call(ctx, peer.Address, swpeer.MethodHandover, message, &answer)
	return answer, err
}

// announce spreads who holds an authority, for as long as that is of use.
func (service *Service) announce(authority *authority, successor string) {
	if service.config.Records == nil {
		return
	}
	issuer := authority.issuer
	present, _ := service.config.Records.Get(swmember.TopicSuccessor, successorKey(issuer))
	service.config.Records.Put(swmember.Record{
		Topic:   swmember.TopicSuccessor,
		Key:     successorKey(issuer),
		Version: present.Version + 1,
		Value:   []byte(successor),
		Expires: max(authority.useful(), time.Second),
	})
}

// drain waits until no run is in flight, or the context's time is used up but for what the handover itself takes.
func (authority *authority) drain(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		reserve := min(time.Until(deadline)/2, 2*callTimeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-reserve))
		defer cancel()
	}
	for authority.running.Load() > 0 {
		if swtimer.Wait(ctx, drainPoll) != nil {
			return
		}
	}
}

// export returns the table in parts, at least one. Runs in flight have an unknown outcome.
func (authority *authority) export() [][]HandoverEntry {
	parts := [][]HandoverEntry{nil}
	var size int64
	authority.entries.Range(func(sequence uint64, run *entry) bool {
		moved := HandoverEntry{
			Sequence:    sequence,
			Caller:      run.caller,
			Fingerprint: run.fingerprint,
			Expires:     run.expires,
			Outcome:     refusal(swcode.OutcomeUnknown, swcode.RanUnknown, "the issuer left while the run was in flight"),
		}
		if run.finished() {
			moved.Outcome = run.outcome
		}
		size += int64(len(moved.Outcome.Reply)) + entryOverhead
		if size > chunkSize {
			parts = append(parts, nil)
			size = 0
		}
		last := len(parts) - 1
		parts[last] = append(parts[last], moved)
		return true
	})
	return parts
}

// settle ends the waits for an authority that could not be handed over.
func (authority *authority) settle() {
	authority.mutex.Lock()
	defer authority.mutex.Unlock()
	if authority.phase == stopping {
		authority.phase = abandoned
		close(authority.settled)
	}
}

// ServeHandover answers a leaving peer's HandoverMessage.
func (service *Service) ServeHandover(_ context.Context, _ string, message HandoverMessage) (HandoverAnswer, error) {
	answer := HandoverAnswer{Clock: service.own.clock.now()}
	if phase, _ := service.own.current(); phase != active {
		return answer, nil
	}
	if message.Commit {
		answer.Accepted = service.adopt(message)
		return answer, nil
	}
	answer.Accepted = service.store(message)
	return answer, nil
}

// store keeps a part of an offer. It refuses what does not fit into the memory limit.
func (service *Service) store(message HandoverMessage) bool {
	service.dropPending()
	service.maintain()
	if _, held := service.authorities.Get(message.Issuer); held {
		return false
	}
	accepted := false
	service.pending.Update(message.Issuer, func(offer *pendingHandover, ok bool) (*pendingHandover, bool) {
		if !ok || offer.offer != message.Offer {
			service.discard(offer)
			offer = &pendingHandover{offer: message.Offer, secret: message.Secret, parts: make(map[int][]HandoverEntry)}
		}
		offer.expires = time.Now().Add(pendingLife)
		_, stored := offer.parts[message.Part]
		size := sizeOf(message.Entries)
		if !stored && service.bytes.Add(size) > service.config.Limits.MaxBytes {
			service.bytes.Add(-size)
			service.discard(offer)
			return nil, false
		}
		if !stored {
			offer.parts[message.Part] = message.Entries
			offer.size += size
		}
		accepted = true
		return offer, true
	})
	return accepted
}

func sizeOf(entries []HandoverEntry) int64 {
	var size int64
	for i := range entries {
		size += outcomeSize(entries[i].Outcome)
	}
	return size
}

// discard returns the memory of an offer.
func (service *Service) discard(offer *pendingHandover) {
	if offer != nil {
		service.bytes.Add(-offer.size)
	}
}

// dropPending forgets offers whose commit did not come in time.
func (service *Service) dropPending() {
	var late []Issuer
	service.pending.Range(func(issuer Issuer, offer *pendingHandover) bool {
		if time.Now().After(offer.expires) {
			late = append(late, issuer)
		}
		return true
	})
	for _, issuer := range late {
		service.pending.Update(issuer, func(offer *pendingHandover, ok bool) (*pendingHandover, bool) {
			if ok && time.Now().After(offer.expires) {
				service.discard(offer)
				return nil, false
			}
			return offer, ok
		})
	}
}

// adopt makes this VM the holder of an authority whose offer it stored. A repeated commit is accepted again.
func (service *Service) adopt(message HandoverMessage) bool {
	if present, held := service.authorities.Get(message.Issuer); held {
		return present.offer == message.Offer
	}
	var taken *pendingHandover
	service.pending.Update(message.Issuer, func(offer *pendingHandover, ok bool) (*pendingHandover, bool) {
		if !ok || offer.offer != message.Offer || len(offer.parts) != message.Parts {
			return offer, ok
		}
		taken = offer
		return nil, false
	})
	if taken == nil {
		return false
	}
	base := service.own.clock.now() + message.Ahead
	adopted := newAuthority(message.Issuer, taken.secret, base, service.config.Limits, &service.bytes)
	adopted.offer = message.Offer
	adopted.noteExpiry(message.Latest)
	for _, entries := range taken.parts {
		adopted.restore(entries)
	}
	service.authorities.Put(message.Issuer, adopted)
	service.located.Delete(message.Issuer)
	service.announce(adopted, service.self.Name)
	return true
}

// restore fills the table with runs of a former holder, whose memory is already accounted for.
func (authority *authority) restore(entries []HandoverEntry) {
	for i := range entries {
		moved := &entries[i]
		run := &entry{
			caller:      moved.Caller,
			fingerprint: moved.Fingerprint,
			expires:     moved.Expires,
			done:        make(chan struct{}),
			outcome:     moved.Outcome,
			size:        outcomeSize(moved.Outcome),
		}
		close(run.done)
		authority.entries.Put(moved.Sequence, run)
		authority.remember(moved.Sequence, moved.Expires+authority.limits.Retention)
	}
}
