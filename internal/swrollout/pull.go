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
	// maxPullJitter bounds the random delay before the first attempt of a pull.
	maxPullJitter = 20 * time.Millisecond
	// initialPullDelay and maxPullDelay bound the exponential backoff between attempts.
	initialPullDelay = 50 * time.Millisecond
	maxPullDelay     = 15 * time.Second
	// fetchTimeout is the timeout of one attempt.
	fetchTimeout = 2 * time.Second
	// maxFetchWait bounds how long a fetch waits at a VM that is pulling the document itself.
	maxFetchWait = time.Second
	// remoteAttemptInterval makes every third attempt choose a peer from any data centre.
	remoteAttemptInterval = 3
)

// FetchRequest requests a document at Version or higher.
type FetchRequest struct {
	_ struct{} `cbor:",toarray"`

	Kind    string
	Name    string
	Version uint64
}

// FetchReply answers a FetchRequest. Version is zero when the VM does not have the requested version.
type FetchReply struct {
	_ struct{} `cbor:",toarray"`

	Version uint64
	// Packed is the compressed value.
	Packed []byte
}

// HandleFetch sends a document to a peer. While this VM is pulling the document itself, the peer waits for it, so that a
// document follows the path of its announcement. It is the handler of swpeer.MethodFetch.
func (store *Store) HandleFetch(ctx context.Context, _ string, request FetchRequest) (FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, maxFetchWait)
	defer cancel()
	for {
		document, changed := store.lookup(request)
		if document.Version >= request.Version && document.Version > 0 {
			packed, err := store.compressed(document)
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

// compressed returns a document's compressed value, which is cached while the document is in force.
func (store *Store) compressed(document Document) ([]byte, error) {
	store.mutex.RLock()
	state := store.documents[document.Key()]
	current, compressed := state.document.Version, state.compressed
	store.mutex.RUnlock()
	if current == document.Version && compressed != nil {
		return compressed, nil
	}
	compressed, err := swpack.Compress(document.Value)
	if err != nil {
		return nil, err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if state.document.Version == document.Version {
		state.compressed = compressed
	}
	return compressed, nil
}

// lookup returns the document in force, and while it is being pulled a channel that is closed when a higher version follows.
func (store *Store) lookup(request FetchRequest) (Document, <-chan struct{}) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	state, ok := store.documents[request.Kind+"/"+request.Name]
	if !ok {
		return Document{}, nil
	}
	if !state.pulling {
		return state.document, nil
	}
	return state.document, state.changed
}

// receiveAnnouncement records that a VM has a version of a document in force, and requests a pull if this VM is behind.
func (store *Store) receiveAnnouncement(record swmember.Record) {
	kindName, name, ok := splitKey(record.Key)
	if !ok {
		return
	}
	state, _, err := store.getOrCreateState(kindName, name)
	if err != nil {
		return
	}
	store.mutex.Lock()
	state.announced = max(state.announced, record.Version)
	behind := state.isBehind()
	store.mutex.Unlock()
	if !behind {
		return
	}
	select {
	case store.wake <- struct{}{}:
	default:
	}
}

// isBehind reports whether a higher version is announced that was not rejected. The caller holds the store's mutex.
func (documentState *documentState) isBehind() bool {
	if documentState.rejected != nil && documentState.rejected.Version >= documentState.announced {
		return false
	}
	return documentState.announced > documentState.document.Version
}

// Run pulls announced documents from peers until the context is cancelled.
func (store *Store) Run(ctx context.Context) {
	group := swgroup.New(ctx)
	defer group.Stop()
	for {
		for _, due := range store.startDuePulls() {
			group.Go(func(ctx context.Context) { store.pull(ctx, due) })
		}
		select {
		case <-ctx.Done():
			return
		case <-store.wake:
		}
	}
}

// startDuePulls marks the documents that are behind as being pulled and returns them.
func (store *Store) startDuePulls() []*documentState {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var due []*documentState
	for _, state := range store.documents {
		if state.isBehind() && !state.pulling {
			state.pulling = true
			due = append(due, state)
		}
	}
	return due
}

// pull fetches a document, with retries, until it is no longer behind.
func (store *Store) pull(ctx context.Context, documentState *documentState) {
	wait(ctx, store.jitter(maxPullJitter))
	delay := initialPullDelay
	for attempt := 1; ctx.Err() == nil && store.continuePull(documentState); attempt++ {
		if store.pullOnce(ctx, documentState, attempt) {
			continue
		}
		wait(ctx, delay/2+store.jitter(delay/2))
		delay = min(2*delay, maxPullDelay)
	}
}

// continuePull reports whether the document is still behind. If not, it marks the pull as ended.
func (store *Store) continuePull(documentState *documentState) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	documentState.pulling = documentState.isBehind()
	return documentState.pulling
}

// pullOnce fetches a document from one peer and reports whether it put a higher version in force or rejected one.
func (store *Store) pullOnce(ctx context.Context, documentState *documentState, attempt int) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	store.mutex.RLock()
	request := FetchRequest{Kind: documentState.document.Kind, Name: documentState.document.Name, Version: documentState.document.Version + 1}
	if attempt == 1 {
		request.Version = documentState.announced
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
		store.config.Log.Warn().Err(err).Str("From", target.Name).Msg("document from a peer cannot be decompressed")
		return false
	}
	document := Document{Kind: request.Kind, Name: request.Name, Version: reply.Version, Value: value}
	if !store.matchesAnnouncement(document) {
		store.config.Log.Warn().Str("Document", document.Key()).Str("From", target.Name).Msg("document differs from its announcement")
		return false
	}
	accepted, err := store.Apply(document)
	return accepted || err != nil
}

// matchesAnnouncement reports whether a document's hash matches the announcement of its version, if this VM has one.
func (store *Store) matchesAnnouncement(document Document) bool {
	record, ok := store.config.Records.Get(swmember.TopicDocument, document.Key())
	if !ok || record.Version != document.Version || len(record.Value) != 8 {
		return true
	}
	return binary.BigEndian.Uint64(record.Value) == xxhash.Sum64(document.Value)
}

// choosePeer returns the peer to fetch from: on the first attempt the VM that sent the announcement, then random VMs of this
// data centre, and on every third attempt a random VM of any data centre. It returns false if it chose this VM or found none.
func (store *Store) choosePeer(key string, attempt int) (swmember.Member, bool) {
	view := store.config.Members.View()
	if attempt == 1 {
		source := store.config.Records.Source(swmember.TopicDocument, key)
		if member, ok := view.Member(source); ok {
			return member, true
		}
	}
	dataCentre := view.Self.DataCentre
	if attempt%remoteAttemptInterval == 0 || len(view.Members(dataCentre)) <= 1 {
		dataCentre = store.randomDataCentre(view)
	}
	members := view.Members(dataCentre)
	if len(members) == 0 {
		return swmember.Member{}, false
	}
	member := members[store.randomIndex(len(members))]
	return member, member.Name != view.Self.Name
}

func (store *Store) randomDataCentre(view *swmember.View) string {
	dataCentres := view.DataCentres()
	if len(dataCentres) == 0 {
		return ""
	}
	return dataCentres[store.randomIndex(len(dataCentres))]
}

func (store *Store) randomIndex(limit int) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.random.IntN(limit)
}

// jitter returns a random duration below limit.
func (store *Store) jitter(limit time.Duration) time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return time.Duration(store.random.Float64() * float64(limit))
}

// wait sleeps for a delay or until the context is cancelled.
func wait(ctx context.Context, delay time.Duration) {
	_ = swtimer.Wait(ctx, delay)
}
