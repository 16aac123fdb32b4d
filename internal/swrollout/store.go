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

// Members gives the present picture of the members.
type Members interface {
	View() *swmember.View
}

// Transport carries calls to other VMs.
type Transport interface {
	// Call sends request to target and decodes the answer into reply.
	Call(ctx context.Context, target netip.AddrPort, method swpeer.Method, request, reply any) error
}

// Config holds what a Store is built from.
type Config struct {
	Records   *swmember.RecordStore
	Members   Members
	Transport Transport
	// Seed sets the sequence of random choices; zero draws one.
	Seed uint64
	Log  zerolog.Logger
}

// Store holds the documents in force on this VM. A document's version only ever grows. Construct it with New; it is
// safe for concurrent use.
type Store struct {
	config Config
	// wanted has an element when an announcement may call for a pull.
	wanted chan struct{}

	mutex     sync.RWMutex
	random    *rand.Rand
	kinds     map[string]*kind
	documents map[string]*holding
}

// kind is what is registered for a kind of documents.
type kind struct {
	check       func(value []byte) error
	subscribers []func(Document)
}

// holding is the state of one document. The offering mutex orders versions and the calls of subscribers; the store's
// mutex guards the fields.
type holding struct {
	offering sync.Mutex

	document Document
	// packed is the document's compressed value, once a peer has asked for it.
	packed   []byte
	since    time.Time
	rejected *Rejection
	// announced is the highest version that gossip told of.
	announced uint64
	pulling   bool
	// changed is closed when a higher version comes into force.
	changed chan struct{}
}

// New returns a store without documents.
func New(config Config) *Store {
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	store := &Store{
		config:    config,
		wanted:    make(chan struct{}, 1),
		random:    rand.New(rand.NewPCG(config.Seed, 1)),
		kinds:     make(map[string]*kind),
		documents: make(map[string]*holding),
	}
	config.Records.Subscribe(swmember.TopicDocument, store.announced)
	return store
}

// Validate registers a kind of documents and its check; a nil check accepts every value. Only registered kinds are
// taken. The check must not use the store.
func (store *Store) RegisterKind(kindName string, check func(value []byte) error) {
	store.mutex.Lock()
	store.kind(kindName).check = check
	store.mutex.Unlock()
	for _, record := range store.config.Records.Records(swmember.TopicDocument) {
		store.announced(record)
	}
}

// kind returns, under the lock, what is registered for a kind, registering it first when need be.
func (store *Store) kind(name string) *kind {
	present, ok := store.kinds[name]
	if !ok {
		present = &kind{}
		store.kinds[name] = present
	}
	return present
}

// Subscribe registers a kind and calls receive with each document of the kind that is in force or comes into force.
// Calls for one document are in order of version and never concurrent; receive must not offer documents.
func (store *Store) Subscribe(kindName string, receive func(Document)) {
	store.mutex.Lock()
	registered := store.kind(kindName)
	registered.subscribers = append(registered.subscribers, receive)
	var present []*holding
	for _, holding := range store.documents {
		if holding.document.Kind == kindName {
			present = append(present, holding)
		}
	}
	store.mutex.Unlock()
	for _, holding := range present {
		holding.offering.Lock()
		if document, ok := store.inForce(holding); ok {
			receive(document)
		}
		holding.offering.Unlock()
	}
}

// Offer puts a document in force when its version is higher than the one in force. An invalid document leaves the last
// good version in force and shows in Status. The error is one of the package's refusals.
func (store *Store) Apply(document Document) (accepted bool, err error) {
	if len(document.Value) > MaxDocumentSize {
		return false, errors.Wrapf(ErrTooLarge, "%s version %d has %d bytes", document.Key(), document.Version, len(document.Value))
	}
	holding, check, err := store.holding(document.Kind, document.Name)
	if err != nil {
		return false, err
	}
	holding.offering.Lock()
	defer holding.offering.Unlock()
	current, ok := store.inForce(holding)
	if ok && document.Version <= current.Version || document.Version == 0 {
		return false, nil
	}
	if check != nil {
		if err := check(document.Value); err != nil {
			store.reject(holding, document, err)
			return false, errors.Wrapf(ErrInvalid, "%s version %d: %s", document.Key(), document.Version, err)
		}
	}
	store.accept(holding, document)
	return true, nil
}

// holding returns the state of a document, making it first when need be, and the check of its kind.
func (store *Store) holding(kindName, name string) (*holding, func([]byte) error, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	registered, ok := store.kinds[kindName]
	if !ok {
		return nil, nil, errors.Wrap(ErrUnknownKind, kindName)
	}
	key := kindName + "/" + name
	present, ok := store.documents[key]
	if ok {
		return present, registered.check, nil
	}
	if len(store.documents) >= maxDocuments {
		return nil, nil, errors.Wrap(ErrTooMany, key)
	}
	present = &holding{document: Document{Kind: kindName, Name: name}, changed: make(chan struct{})}
	store.documents[key] = present
	return present, registered.check, nil
}

func (store *Store) inForce(holding *holding) (Document, bool) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return holding.document, holding.document.Version > 0
}

// accept puts a document in force and tells the subscribers, under the offering mutex.
func (store *Store) accept(holding *holding, document Document) {
	store.mutex.Lock()
	holding.document = document
	holding.packed = nil
	holding.since = time.Now()
	holding.announced = max(holding.announced, document.Version)
	if holding.rejected != nil && holding.rejected.Version <= document.Version {
		holding.rejected = nil
	}
	close(holding.changed)
	holding.changed = make(chan struct{})
	subscribers := slices.Clone(store.kinds[document.Kind].subscribers)
	store.mutex.Unlock()
	store.config.Records.Put(document.announcement())
	for _, receive := range subscribers {
		receive(document)
	}
	store.config.Log.Info().Str("Document", document.Key()).Uint64("Version", document.Version).Msg("document in force")
}

func (store *Store) reject(holding *holding, document Document, reason error) {
	store.mutex.Lock()
	if holding.rejected == nil || holding.rejected.Version <= document.Version {
		holding.rejected = &Rejection{Version: document.Version, Reason: reason.Error(), At: time.Now()}
	}
	store.mutex.Unlock()
	store.config.Log.Error().Err(reason).Str("Document", document.Key()).Uint64("Version", document.Version).
		Msg("invalid document, the last good version stays in force")
}

// Current returns the document in force under a kind and name. The caller must not change its value.
func (store *Store) Current(kindName, name string) (Document, bool) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	present, ok := store.documents[kindName+"/"+name]
	if !ok || present.document.Version == 0 {
		return Document{}, false
	}
	return present.document, true
}

// Names returns the names of the documents of a kind that are in force, in order.
func (store *Store) Names(kindName string) []string {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	var names []string
	for _, present := range store.documents {
		if present.document.Kind == kindName && present.document.Version > 0 {
			names = append(names, present.document.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Status tells of every document in order of kind and name.
func (store *Store) Status() []DocumentStatus {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	list := make([]DocumentStatus, 0, len(store.documents))
	for _, present := range store.documents {
		list = append(list, present.status())
	}
	slices.SortFunc(list, func(a, b DocumentStatus) int {
		return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name)
	})
	return list
}

func (holding *holding) status() DocumentStatus {
	return DocumentStatus{
		Kind:      holding.document.Kind,
		Name:      holding.document.Name,
		Version:   holding.document.Version,
		Since:     holding.since,
		Announced: holding.announced,
		Rejected:  holding.rejected,
	}
}
