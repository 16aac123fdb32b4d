// Package swlabusers stands in for the users' platform, by what their pages say: the store, and the replicas of services.
package swlabusers

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// pageSize is the number of objects in one answer to a listing; small, so that listings have pages.
	pageSize = 20
	// historySize is the number of changes that watches can continue from.
	historySize = 4096
)

// Fault is how the store misbehaves. The zero value is a store that works.
type Fault struct {
	// Busy answers 503, Reset closes connections without an answer, Silent answers nothing.
	Busy         bool
	Reset        bool
	Unresponsive bool
	// LoseAnswers does what writes ask and resets their connections.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
}

// Object is one object of the store.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// Meta is what the store says of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// event is one change of a kind.
type event struct {
	revision uint64
	kind     string
	Deleted  bool   `json:"deleted"`
	Object   Object `json:"object"`
}

// Store is the store. Construct it with StartStore.
type Store struct {
	server *http.Server
	group  *swgroup.Group
	target string

	mutex    sync.Mutex
	fault    Fault
	kinds    map[string]map[string]Object
	revision uint64
	history  []event
	// floor is the revision up to which the history is gone.
	floor   uint64
	changed chan struct{}
	calls   int
}

// StartStore serves on a free port of loopback until Close.
func StartStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	store := &Store{
		group: swgroup.New(context.Background()), target: listener.Addr().String(),
		kinds: make(map[string]map[string]Object), revision: 1, changed: make(chan struct{}),
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/objects/{Kind}", store.faulty(store.list)).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{Kind}", store.faulty(store.create)).Methods(http.MethodPost)
	router.HandleFunc("/v1/objects/{Kind}/{Name}", store.faulty(store.get)).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{Kind}/{Name}", store.faulty(store.replace)).Methods(http.MethodPut)
	router.HandleFunc("/v1/objects/{Kind}/{Name}", store.faulty(store.remove)).Methods(http.MethodDelete)
	store.server = &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second}
	store.group.Go(func(context.Context) { _ = store.server.Serve(listener) })
	return store, nil
}

// Address returns the TCP address.
func (store *Store) Address() string {
	return store.target
}

// Close ends every call.
func (store *Store) Close() {
	_ = store.server.Close()
	store.group.Stop()
}

// SetFault replaces the fault, and ends calls that wait.
func (store *Store) SetFault(fault Fault) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fault = fault
	store.signal()
}

// Calls returns the number of calls so far.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

// Compact forgets the history, so that watches that go on from an earlier revision are answered with 410.
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history, store.floor = nil, store.revision
}

// Put writes an object as the operator or a server does.
func (store *Store) Put(kind, name string, spec any) error {
	value, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.put(kind, name, value)
	return nil
}

// Delete removes an object.
func (store *Store) Delete(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.kinds[kind][name]
	if !ok {
		return
	}
	delete(store.kinds[kind], name)
	store.revision++
	store.record(event{revision: store.revision, kind: kind, Deleted: true, Object: object})
}

// put writes an object. The caller holds the mutex.
func (store *Store) put(kind, name string, value json.RawMessage) Object {
	objects, ok := store.kinds[kind]
	if !ok {
		objects = make(map[string]Object)
		store.kinds[kind] = objects
	}
	object, known := objects[name]
	if known && string(object.Spec) == string(value) {
		return object
	}
	store.revision++
	if !known {
		object.Meta = Meta{Name: name, Created: store.revision, Finalizers: []string{}}
	}
	object.Meta.Revision, object.Spec = store.revision, value
	objects[name] = object
	store.record(event{revision: store.revision, kind: kind, Object: object})
	return object
}

// record keeps a change for watches. The caller holds the mutex.
func (store *Store) record(event event) {
	store.history = append(store.history, event)
	if len(store.history) > historySize {
		store.floor = store.history[0].revision
		store.history = store.history[1:]
	}
	store.signal()
}

// signal wakes calls that wait. The caller holds the mutex.
func (store *Store) signal() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// faulty serves a call as the fault in force says.
func (store *Store) faulty(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		store.calls++
		fault := store.fault
		store.mutex.Unlock()
		time.Sleep(fault.Delay)
		switch {
		case fault.Busy:
			writer.WriteHeader(http.StatusServiceUnavailable)
		case fault.Reset:
			panic(http.ErrAbortHandler)
		case fault.Unresponsive:
			<-request.Context().Done()
		case fault.LoseAnswers && request.Method != http.MethodGet:
			serve(discardWriter{http.Header{}}, request)
			panic(http.ErrAbortHandler)
		default:
			serve(writer, request)
		}
	}
}

// discardWriter is where the answers go that are lost.
type discardWriter struct{ header http.Header }

func (writer discardWriter) Header() http.Header            { return writer.header }
func (writer discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (writer discardWriter) WriteHeader(int)                {}

func answerJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	kind, query := mux.Vars(request)["Kind"], request.URL.Query()
	if query.Has("watch") {
		store.watch(writer, request, kind)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var names []string
	for name := range store.kinds[kind] {
		if name > query.Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := make([]Object, 0, pageSize)
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, store.kinds[kind][name])
	}
	answerJSON(writer, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageSize, "at": store.revision})
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, err := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		store.mutex.Lock()
		changed, revision, gone, fault := store.changed, store.revision, after < store.floor, store.fault
		events := []event{}
		for _, event := range store.history {
			if event.revision > after && event.kind == kind {
				events = append(events, event)
			}
		}
		store.mutex.Unlock()
		switch {
		case fault.Busy || fault.Reset || fault.Unresponsive:
			panic(http.ErrAbortHandler)
		case gone:
			writer.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			answerJSON(writer, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.kinds[mux.Vars(request)["Kind"]][mux.Vars(request)["Name"]]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(writer, http.StatusOK, object)
}

func (store *Store) create(writer http.ResponseWriter, request *http.Request) {
	store.write(writer, request, func(known bool) int {
		if known {
			return http.StatusConflict
		}
		return http.StatusCreated
	})
}

func (store *Store) replace(writer http.ResponseWriter, request *http.Request) {
	store.write(writer, request, func(known bool) int {
		if !known {
			return http.StatusNotFound
		}
		return http.StatusOK
	})
}

// write puts the object in the body when the status that decide returns is a success.
func (store *Store) write(writer http.ResponseWriter, request *http.Request, decide func(known bool) int) {
	var object Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil || object.Meta.Name == "" || strings.Contains(object.Meta.Name, "/") {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := mux.Vars(request)["Kind"]
	store.mutex.Lock()
	defer store.mutex.Unlock()
	present, known := store.kinds[kind][object.Meta.Name]
	status := decide(known)
	if status < http.StatusMultipleChoices {
		present = store.put(kind, object.Meta.Name, object.Spec)
	}
	answerJSON(writer, status, present)
}

func (store *Store) remove(writer http.ResponseWriter, request *http.Request) {
	store.Delete(mux.Vars(request)["Kind"], mux.Vars(request)["Name"])
	writer.WriteHeader(http.StatusOK)
}
