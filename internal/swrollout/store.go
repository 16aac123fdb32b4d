package swrollout

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// Members provides the current view of the members.
type Members interface {
	View() *swmember.View
}

// Transport sends calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the response into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// Config configures a Store.
type Config struct {
	Records   *swmember.RecordStore
	Members   Members
	Transport Transport
	// Seed seeds the random number generator; zero selects a random seed.
	Seed uint64
	Log  zerolog.Logger
}

// Store holds the documents in force on this VM. The version of a document never decreases. Construct it with New; it is
// safe for concurrent use.
type Store struct {
	config Config
	// wake receives a signal when an announced document must be pulled.
	wake chan struct{}

	mutex     sync.RWMutex
	random    *rand.Rand
	kinds     map[string]*registration
	documents map[string]*documentState
}

// registration holds the validation and the subscribers of a kind of documents.
type registration struct {
	check       func(value []byte) error
	subscribers []func(Document)
}

// documentState is the state of one document. applyMutex serializes the application of versions and the calls of
// subscribers; the store's mutex guards the fields.
type documentState struct {
	applyMutex sync.Mutex

	document Document
	// compressed caches the document's compressed value once a peer has requested it.
	compressed []byte
	since      time.Time
	rejected   *Rejection
	// announced is the highest version that this VM has in force or that gossip has announced.
	announced uint64
	pulling   bool
	// changed is closed and replaced when a higher version comes into force.
	changed chan struct{}
}

// New returns a store without documents.
func New(config Config) *Store {
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	store := &Store{
		config:    config,
		wake:      make(chan struct{}, 1),
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		kinds:     make(map[string]*registration),
		documents: make(map[string]*documentState),
	}
	config.Records.Subscribe(swmember.TopicDocument, store.receiveAnnouncement)
	return store
}

// RegisterKind registers a kind of documents with its validation; a nil check accepts every value. The store accepts only
// documents of registered kinds. The check must not use the store.
func (store *Store) RegisterKind(kindName string, check func(value []byte) error) {
	store.mutex.Lock()
	store.getOrCreateKind(kindName).check = check
	store.mutex.Unlock()
	for _, record := range store.config.Records.Records(swmember.TopicDocument) {
		store.receiveAnnouncement(record)
	}
}

// getOrCreateKind returns the registration of a kind, creating it if necessary. The caller holds the mutex.
func (store *Store) getOrCreateKind(name string) *registration {
	kind, ok := store.kinds[name]
	if !ok {
		kind = &registration{}
		store.kinds[name] = kind
	}
	return kind
}

// Subscribe registers a kind, and calls receive with each document of the kind that is in force or comes into force.
// Calls for one document are in ascending order of version and never concurrent; receive must not call Apply.
func (store *Store) Subscribe(kindName string, receive func(Document)) {
	store.mutex.Lock()
	kind := store.getOrCreateKind(kindName)
	kind.subscribers = append(kind.subscribers, receive)
	var states []*documentState
	for _, documentState := range store.documents {
		if documentState.document.Kind == kindName {
			states = append(states, documentState)
		}
	}
	store.mutex.Unlock()
	for _, documentState := range states {
		documentState.applyMutex.Lock()
		if document, ok := store.inForce(documentState); ok {
			receive(document)
		}
		documentState.applyMutex.Unlock()
	}
}

// Apply puts a document in force if its version is higher than the one in force. An invalid document leaves the last valid
// version in force, and Status shows the rejection. The error wraps ErrTooLarge, ErrUnknownKind, ErrTooMany or ErrInvalid.
func (store *Store) Apply(document Document) (accepted bool, err error) {
	if len(document.Value) > MaxDocumentSize {
		return false, errors.Wrapf(ErrTooLarge, "%s version %d has %d bytes", document.Key(), document.Version, len(document.Value))
	}
	documentState, check, err := store.getOrCreateState(document.Kind, document.Name)
	if err != nil {
		return false, err
	}
	documentState.applyMutex.Lock()
	defer documentState.applyMutex.Unlock()
	current, ok := store.inForce(documentState)
	if ok && document.Version <= current.Version || document.Version == 0 {
		return false, nil
	}
	if check != nil {
		if err := check(document.Value); err != nil {
			store.reject(documentState, document, err)
			return false, errors.Wrapf(ErrInvalid, "%s version %d: %s", document.Key(), document.Version, err)
		}
	}
	store.putInForce(documentState, document)
	return true, nil
}

// getOrCreateState returns the state of a document, creating it if necessary, and the check of its kind.
func (store *Store) getOrCreateState(kindName, name string) (*documentState, func([]byte) error, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kind, ok := store.kinds[kindName]
	if !ok {
		return nil, nil, errors.Wrap(ErrUnknownKind, kindName)
	}
	key := kindName + "/" + name
	state, ok := store.documents[key]
	if ok {
		return state, kind.check, nil
	}
	if len(store.documents) >= maxDocuments {
		return nil, nil, errors.Wrap(ErrTooMany, key)
	}
	state = &documentState{document: Document{Kind: kindName, Name: name}, changed: make(chan struct{})}
	store.documents[key] = state
	return state, kind.check, nil
}

func (store *Store) inForce(documentState *documentState) (Document, bool) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return documentState.document, documentState.document.Version > 0
}

// putInForce puts a document in force, announces it, and calls the subscribers. The caller holds applyMutex.
func (store *Store) putInForce(documentState *documentState, document Document) {
	store.mutex.Lock()
	documentState.document = document
	documentState.compressed = nil
	documentState.since = time.Now()
	documentState.announced = max(documentState.announced, document.Version)
	if documentState.rejected != nil && documentState.rejected.Version <= document.Version {
		documentState.rejected = nil
	}
	close(documentState.changed)
	documentState.changed = make(chan struct{})
	subscribers := slices.Clone(store.kinds[document.Kind].subscribers)
	store.mutex.Unlock()
	store.config.Records.Put(document.announcement())
	for _, receive := range subscribers {
		receive(document)
	}
	store.config.Log.Info().Str("Document", document.Key()).Uint64("Version", document.Version).Msg("document in force")
}

// reject records and logs that a version is invalid. The caller holds applyMutex.
func (store *Store) reject(documentState *documentState, document Document, reason error) {
	store.mutex.Lock()
	if documentState.rejected == nil || documentState.rejected.Version <= document.Version {
		documentState.rejected = &Rejection{Version: document.Version, Reason: reason.Error(), At: time.Now()}
	}
	store.mutex.Unlock()
	store.config.Log.Error().Err(reason).Str("Document", document.Key()).Uint64("Version", document.Version).
		Msg("invalid document; the last valid version stays in force")
}

// Current returns the document of a kind and name that is in force. The caller must not modify its value.
func (store *Store) Current(kindName, name string) (Document, bool) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	state, ok := store.documents[kindName+"/"+name]
	if !ok || state.document.Version == 0 {
		return Document{}, false
	}
	return state.document, true
}

// Names returns the names of the documents of a kind that are in force, sorted.
func (store *Store) Names(kindName string) []string {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	var names []string
	for _, state := range store.documents {
		if state.document.Kind == kindName && state.document.Version > 0 {
			names = append(names, state.document.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Status returns the status of every document, sorted by kind and name.
func (store *Store) Status() []DocumentStatus {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	list := make([]DocumentStatus, 0, len(store.documents))
	for _, state := range store.documents {
		list = append(list, state.status())
	}
	slices.SortFunc(list, func(a, b DocumentStatus) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return list
}

func (documentState *documentState) status() DocumentStatus {
	return DocumentStatus{
		Kind:      documentState.document.Kind,
		Name:      documentState.document.Name,
		Version:   documentState.document.Version,
		Since:     documentState.since,
		Announced: documentState.announced,
		Rejected:  documentState.rejected,
	}
}
