package swrollout

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpack"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// pullJitter bounds the wait before the first attempt of a pull.
	pullJitter = 20 * time.Millisecond
	// pullFirst and pullMax bound the wait between attempts.
	pullFirst = 50 * time.Millisecond
	pullMax   = 15 * time.Second
	// fetchTimeout bounds one attempt.
	fetchTimeout = 2 * time.Second
	// fetchWait is how long a VM that pulls a document itself lets others wait for it.
	fetchWait = time.Second
	// farAttempt is the attempt, and each multiple of it, that goes to another data centre.
	farAttempt = 3
)

// FetchRequest asks for a document of at least a version.
type FetchRequest struct {
	_ struct{} `cbor:",toarray"`

	Kind    string
	Name    string
	Version uint64
}

// FetchReply answers a FetchRequest. Version is zero when the VM does not hold the document at that version.
type FetchReply struct {
	_ struct{} `cbor:",toarray"`

	Version uint64
	// Packed is the value, compressed.
	Packed []byte
}

// HandleFetch gives a document to a peer. A VM that is pulling the document itself lets the peer wait for it, so that a
// document follows the tree along which its announcement spread. Register it for swpeer.MethodFetch.
func (store *Store) HandleFetch(ctx context.Context, _ string, request FetchRequest) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchWait)
	defer cancel()
	for {
		document, changed := store.poll(request)
		if document.Version >= request.Version && document.Version > 0 {
			packed, err := store.packed(document)
			return FetchReply{Version: document.Version, Packed: packed}, err
		}
		if changed == nil {
			return FetchReply{}, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return FetchReply{}, nil
		}
	}
}

// packed returns a document's compressed value, and keeps it while the document is in force.
func (store *Store) packed(document Document) ([]byte, error) {
	store.mutex.RLock()
	present := store.documents[document.Key()]
	current, packed := present.document.Version, present.packed
	store.mutex.RUnlock()
	if current == document.Version && packed != nil {
		return packed, nil
	}
	packed, err := swpack.Compress(document.Value)
	if err != nil {
		return nil, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if present.document.Version == document.Version {
		present.packed = packed
	}
	return packed, nil
}

// poll returns the document in force, and while a pull is running the channel that is closed when the document changes.
func (store *Store) poll(request FetchRequest) (Document, <-chan struct{}) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	present, ok := store.documents[request.Kind+"/"+request.Name]
	if !ok {
		return Document{}, nil
	}
	if !present.pulling {
		return present.document, nil
	}
	return present.document, present.changed
}

// announced notes that some VM has a version of a document in force.
func (store *Store) announced(record swmember.Record) {
	kindName, name, ok := splitKey(record.Key)
	if !ok {
		return
	}
	present, _, err := store.holding(kindName, name)
	if err != nil {
		return
	}
	store.mutex.Lock()
	present.announced = max(present.announced, record.Version)
	behind := present.behind()
	store.mutex.Unlock()
	if !behind {
		return
	}
	select {
	case store.wanted <- struct{}{}:
	default:
	}
}

// behind reports, under the lock, whether a higher version is announced that was not rejected.
func (holding *holding) behind() bool {
	if holding.rejected != nil && holding.rejected.Version >= holding.announced {
		return false
	}
	return holding.announced > holding.document.Version
}

// Run pulls announced documents from peers until the context ends.
func (store *Store) Run(ctx context.Context) {
	group := swgroup.New(ctx)
	defer group.Stop()
	for {
		for _, due := range store.takeDue() {
			group.Go(func(ctx context.Context) { store.pull(ctx, due) })
		}
		select {
		case <-ctx.Done():
			return
		case <-store.wanted:
		}
	}
}

// takeDue marks the documents that are behind as being pulled and returns them.
func (store *Store) takeDue() []*holding {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var due []*holding
	for _, present := range store.documents {
		if present.behind() && !present.pulling {
			present.pulling = true
			due = append(due, present)
		}
	}
	return due
}

// pull fetches a document until it is no longer behind.
func (store *Store) pull(ctx context.Context, holding *holding) {
	wait(ctx, store.jitter(pullJitter))
	delay := pullFirst
	for attempt := 1; ctx.Err() == nil && store.stillBehind(holding); attempt++ {
		if store.pullOnce(ctx, holding, attempt) {
			continue
		}
		wait(ctx, delay/2+store.jitter(delay/2))
		delay = min(2*delay, pullMax)
	}
}

// stillBehind reports whether a pull goes on, and ends it otherwise.
func (store *Store) stillBehind(holding *holding) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	holding.pulling = holding.behind()
	return holding.pulling
}

// pullOnce fetches a document from one peer and reports whether it came nearer to what is announced.
func (store *Store) pullOnce(ctx context.Context, holding *holding, attempt int) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	store.mutex.RLock()
	request := FetchRequest{Kind: holding.document.Kind, Name: holding.document.Name, Version: holding.document.Version + 1}
	if attempt == 1 {
		request.Version = holding.announced
	}
	store.mutex.RUnlock()
	target, ok := store.choosePeer(request.Kind+"/"+request.Name, attempt)
	if !ok {
		return false
	}
	var reply FetchReply
	if err := store.config.Transport.Call(ctx, target.Peer, swpeer.MethodFetch, request, &reply); err != nil || reply.Version == 0 {
		return false
	}
	value, err := swpack.Decompress(reply.Packed, MaxDocumentSize)
	if err != nil {
		store.config.Log.Warn().Err(err).Str("From", target.Name).Msg("document cannot be read")
		return false
	}
	document := Document{Kind: request.Kind, Name: request.Name, Version: reply.Version, Value: value}
	if !store.genuine(document) {
		store.config.Log.Warn().Str("Document", document.Key()).Str("From", target.Name).Msg("document differs from its announcement")
		return false
	}
	accepted, err := store.Apply(document)
	return accepted || err != nil
}

// genuine reports whether a document is what was announced under its version, as far as that is known.
func (store *Store) genuine(document Document) bool {
	record, ok := store.config.Records.Get(swmember.TopicDocument, document.Key())
	if !ok || record.Version != document.Version || len(record.Value) != 8 {
		return true
	}
	return binary.BigEndian.Uint64(record.Value) == xxhash.Sum64(document.Value)
}

// choosePeer returns whom to ask: first the VM that sent the announcement, then others of the own data centre, and now
// and then a VM of another one.
func (store *Store) choosePeer(key string, attempt int) (swmember.Member, bool) {
	view := store.config.Members.View()
	if attempt == 1 {
		source := store.config.Records.Source(swmember.TopicDocument, key)
		if member, ok := view.Member(source); ok {
			return member, true
		}
	}
	dataCentre := view.Self.DataCentre
	if attempt%farAttempt == 0 || len(view.Members(dataCentre)) <= 1 {
		dataCentre = store.anyDataCentre(view)
	}
	members := view.Members(dataCentre)
	if len(members) == 0 {
		return swmember.Member{}, false
	}
	member := members[store.draw(len(members))]
	return member, member.Name != view.Self.Name
}

func (store *Store) anyDataCentre(view *swmember.View) string {
	dataCentres := view.DataCentres()
	if len(dataCentres) == 0 {
		return ""
	}
	return dataCentres[store.draw(len(dataCentres))]
}

func (store *Store) draw(limit int) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.random.IntN(limit)
}

// jitter draws a duration below limit.
func (store *Store) jitter(limit time.Duration) time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return time.Duration(store.random.Float64() * float64(limit))
}

// wait sleeps until the time is over or the context ends.
func wait(ctx context.Context, delay time.Duration) {
	_ = swtimer.Wait(ctx, delay)
}
