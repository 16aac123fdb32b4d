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
	// maxPartSize bounds the part of a table that one message carries, in bytes.
	maxPartSize = 1 << 20
	// offerTimeout is how long an offered table waits for its commit.
	offerTimeout = time.Minute
	// handoverCallTimeout bounds one message of a handover and its answer.
	handoverCallTimeout = 2 * time.Second
	// drainPollInterval is the time between two checks of the number of runs in flight.
	drainPollInterval = 5 * time.Millisecond
	// commitRetryInterval is the time between an unanswered commit and the next.
	commitRetryInterval = 50 * time.Millisecond
)

// HandoverEntry is an entry of a table that is handed over.
type HandoverEntry struct {
	Sequence    uint64
	Caller      string
	Fingerprint uint64
	Expires     time.Duration
	Outcome     Outcome
}

// HandoverMessage offers a part of a key table, or commits the offer. Until the commit the receiver only stores the parts.
type HandoverMessage struct {
	Issuer Issuer
	// Offer identifies the offer, which is made to one peer.
	Offer uint64
	// Part is the number of the part, counted from zero.
	Part    int
	Secret  []byte          `cbor:",omitempty"`
	Entries []HandoverEntry `cbor:",omitempty"`
	// Commit makes the receiver the holder. Parts is the number of parts of the offer.
	Commit bool `cbor:",omitempty"`
	Parts  int  `cbor:",omitempty"`
	// Latest is the latest expiry of the keys issued, on the table's clock.
	Latest time.Duration `cbor:",omitempty"`
	// Ahead is the difference to add to the receiver's clock. The sum is never earlier than the table's clock.
	Ahead time.Duration `cbor:",omitempty"`
}

// HandoverAnswer answers a HandoverMessage.
type HandoverAnswer struct {
	Accepted bool
	// Clock is the time on the clock of the receiver's own key table.
	Clock time.Duration
}

// storedOffer is a key table that was offered to this VM and not committed yet.
type storedOffer struct {
	id      uint64
	secret  []byte
	parts   map[int][]HandoverEntry
	size    int64
	expires time.Time
}

// Handover stops issuing keys and beginning runs, waits for the runs in flight, and hands each key table that is still
// needed over to one successor. The context bounds the wait; runs that have not finished by then are handed over with an
// unknown outcome. After an error the table that failed belongs to its successor or to no VM, never to this one.
func (service *Service) Handover(ctx context.Context) error {
	stopped := service.stopTables()
	var lastErr error
	for _, keyTable := range stopped {
		err := service.handOver(ctx, keyTable)
		if err != nil {
			lastErr = errors.Wrapf(err, "hand over the key table of %s", successorKey(keyTable.issuer))
		}
		keyTable.endHandover()
	}
	return lastErr
}

// stopTables stops the active tables and returns them.
func (service *Service) stopTables() []*keyTable {
	var stopped []*keyTable
	service.keyTables.Range(func(_ Issuer, keyTable *keyTable) bool {
		if keyTable.stop() {
			stopped = append(stopped, keyTable)
		}
		return true
	})
	return stopped
}

// handOver hands one stopped table over to the first successor that accepts it. A table that is no longer needed
// is not handed over.
func (service *Service) handOver(ctx context.Context, keyTable *keyTable) error {
	keyTable.waitForRuns(ctx)
	if keyTable.timeToLive() <= 0 {
		return nil
	}
	parts := keyTable.exportEntries()
	err := errors.New("no known peer can take it over")
	for _, peer := range service.config.Directory.Successors(service.self.Name) {
		if peer.Name == service.self.Name {
			continue
		}
		var commit HandoverMessage
		commit, err = service.offerTo(ctx, keyTable, peer, parts)
		if err != nil {
			continue
		}
		keyTable.relinquish(peer.Name)
		service.announceHolder(keyTable, peer.Name)
		return service.commitTo(ctx, peer, commit)
	}
	return err
}

// offerTo sends the table to a peer, which must not use it yet, and returns the message that commits the offer.
func (service *Service) offerTo(ctx context.Context, keyTable *keyTable, peer Peer, parts [][]HandoverEntry) (HandoverMessage, error) {
	message := HandoverMessage{Issuer: keyTable.issuer, Offer: randomID()}
	commit := HandoverMessage{
		Issuer: keyTable.issuer,
		Offer:  message.Offer,
		Commit: true,
		Parts:  len(parts),
		Latest: time.Duration(keyTable.latestExpiry.Load()),
	}
	for i, entries := range parts {
		message.Part = i
		message.Secret = keyTable.secret
		message.Entries = entries
		answer, err := service.sendHandover(ctx, peer, message)
		if err != nil {
			return HandoverMessage{}, err
		}
		if !answer.Accepted {
			return HandoverMessage{}, errors.Errorf("%s refused the offer", peer.Name)
		}
		commit.Ahead = keyTable.clock.now() - answer.Clock
	}
	return commit, nil
}

// commitTo makes the peer the holder. It sends the same commit to the same peer until it is answered: an unanswered commit
// may have taken effect, and a commit to another peer would then create a second holder.
func (service *Service) commitTo(ctx context.Context, peer Peer, message HandoverMessage) error {
	for {
		answer, err := service.sendHandover(ctx, peer, message)
		if err == nil && answer.Accepted {
			return nil
		}
		if err == nil {
			return errors.Errorf("%s dropped the offer before the commit", peer.Name)
		}
		if swtimer.Wait(ctx, commitRetryInterval) != nil {
			return errors.Wrapf(err, "commit to %s", peer.Name)
		}
	}
}

func (service *Service) sendHandover(ctx context.Context, peer Peer, message HandoverMessage) (HandoverAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, handoverCallTimeout)
	defer cancel()
	var answer HandoverAnswer
	err := service.config.Transport.Call(ctx, peer.Address, swpeer.MethodHandover, message, &answer)
	return answer, err
}

// announceHolder spreads by gossip which VM holds a key table, for as long as the table is needed.
func (service *Service) announceHolder(keyTable *keyTable, successor string) {
	if service.config.Records == nil {
		return
	}
	issuer := keyTable.issuer
	current, _ := service.config.Records.Get(swmember.TopicSuccessor, successorKey(issuer))
	service.config.Records.Put(swmember.Record{
		Topic:   swmember.TopicSuccessor,
		Key:     successorKey(issuer),
		Version: current.Version + 1,
		Value:   []byte(successor),
		Expires: max(keyTable.timeToLive(), time.Second),
	})
}

// waitForRuns waits until no run is in flight, or until only the time for the handover itself is left before the
// context's deadline.
func (keyTable *keyTable) waitForRuns(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		reserve := min(time.Until(deadline)/2, 2*handoverCallTimeout)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-reserve))
		defer cancel()
	}
	for keyTable.inFlight.Load() > 0 {
		if swtimer.Wait(ctx, drainPollInterval) != nil {
			return
		}
	}
}

// exportEntries returns the entries of the table in parts, at least one. Runs in flight have an unknown outcome.
func (keyTable *keyTable) exportEntries() [][]HandoverEntry {
	parts := [][]HandoverEntry{nil}
	var size int64
	keyTable.entries.Range(func(sequence uint64, run *entry) bool {
		exported := HandoverEntry{
			Sequence:    sequence,
			Caller:      run.caller,
			Fingerprint: run.fingerprint,
			Expires:     run.expires,
			Outcome:     refusal(swcode.OutcomeUnknown, swcode.RanUnknown, "the issuer left while the run was in flight"),
		}
		if run.finished() {
			exported.Outcome = run.outcome
		}
		last := len(parts) - 1
		entrySize := outcomeSize(exported.Outcome)
		if size += entrySize; size > maxPartSize && len(parts[last]) > 0 {
			parts, size = append(parts, nil), entrySize
			last++
		}
		parts[last] = append(parts[last], exported)
		return true
	})
	return parts
}

// endHandover marks a table that could not be handed over as abandoned, and releases the requests that wait for the
// handover.
func (keyTable *keyTable) endHandover() {
	keyTable.phaseMutex.Lock()
	defer keyTable.phaseMutex.Unlock()
	if keyTable.phase == stopping {
		keyTable.phase = abandoned
		close(keyTable.handoverEnded)
	}
}

// HandleHandover answers the HandoverMessage of a peer that is leaving. It is the handler of swpeer.MethodHandover.
func (service *Service) HandleHandover(_ context.Context, _ string, message HandoverMessage) (HandoverAnswer, error) {
	answer := HandoverAnswer{Clock: service.ownTable.clock.now()}
	if phase, _ := service.ownTable.phaseAndSuccessor(); phase != active {
		return answer, nil
	}
	if message.Commit {
		answer.Accepted = service.adoptTable(message)
		return answer, nil
	}
	answer.Accepted = service.storePart(message)
	return answer, nil
}

// storePart stores a part of an offer. It returns false if this VM already holds a table of the issuer, or, after dropping the
// offer, if the part exceeds the memory limit.
func (service *Service) storePart(message HandoverMessage) bool {
	service.dropExpiredOffers()
	service.maintain()
	if _, held := service.keyTables.Get(message.Issuer); held {
		return false
	}
	accepted := false
	service.offers.Update(message.Issuer, func(offer *storedOffer, ok bool) (*storedOffer, bool) {
		if !ok || offer.id != message.Offer {
			service.releaseOffer(offer)
			offer = &storedOffer{id: message.Offer, secret: message.Secret, parts: make(map[int][]HandoverEntry)}
		}
		offer.expires = time.Now().Add(offerTimeout)
		_, stored := offer.parts[message.Part]
		size := entriesSize(message.Entries)
		if !stored && service.usedBytes.Add(size) > service.config.Limits.MaxBytes {
			service.usedBytes.Add(-size)
			service.releaseOffer(offer)
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

func entriesSize(entries []HandoverEntry) int64 {
	var size int64
	for i := range entries {
		size += outcomeSize(entries[i].Outcome)
	}
	return size
}

// releaseOffer releases the memory reserved for an offer, which may be nil.
func (service *Service) releaseOffer(offer *storedOffer) {
	if offer != nil {
		service.usedBytes.Add(-offer.size)
	}
}

// dropExpiredOffers removes offers that were not committed in time.
func (service *Service) dropExpiredOffers() {
	var expired []Issuer
	service.offers.Range(func(issuer Issuer, offer *storedOffer) bool {
		if time.Now().After(offer.expires) {
			expired = append(expired, issuer)
		}
		return true
	})
	for _, issuer := range expired {
		service.offers.Update(issuer, func(offer *storedOffer, ok bool) (*storedOffer, bool) {
			if ok && time.Now().After(offer.expires) {
				service.releaseOffer(offer)
				return nil, false
			}
			return offer, ok
		})
	}
}

// adoptTable makes this VM the holder of a table whose offer it stored. A repeated commit is accepted again.
func (service *Service) adoptTable(message HandoverMessage) bool {
	if existing, held := service.keyTables.Get(message.Issuer); held {
		return existing.offerID == message.Offer
	}
	var accepted *storedOffer
	service.offers.Update(message.Issuer, func(offer *storedOffer, ok bool) (*storedOffer, bool) {
		if !ok || offer.id != message.Offer || len(offer.parts) != message.Parts {
			return offer, ok
		}
		accepted = offer
		return nil, false
	})
	if accepted == nil {
		return false
	}
	initialTime := service.ownTable.clock.now() + message.Ahead
	adopted := newKeyTable(message.Issuer, accepted.secret, initialTime, service.config.Limits, &service.usedBytes)
	adopted.offerID = message.Offer
	adopted.recordExpiry(message.Latest)
	for _, entries := range accepted.parts {
		adopted.importEntries(entries)
	}
	service.keyTables.Put(message.Issuer, adopted)
	service.locations.Delete(message.Issuer)
	service.announceHolder(adopted, service.self.Name)
	return true
}

// importEntries adds the entries of the former holder. Their memory was reserved when the parts were stored.
func (keyTable *keyTable) importEntries(entries []HandoverEntry) {
	for i := range entries {
		imported := &entries[i]
		run := &entry{
			caller:      imported.Caller,
			fingerprint: imported.Fingerprint,
			expires:     imported.Expires,
			done:        make(chan struct{}),
			outcome:     imported.Outcome,
			size:        outcomeSize(imported.Outcome),
		}
		close(run.done)
		keyTable.entries.Put(imported.Sequence, run)
		keyTable.scheduleRemoval(imported.Sequence, imported.Expires+keyTable.limits.Retention)
	}
}
