// Package swlabusers simulates the users' platform as the users document it: its store, and the replicas of its services.
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
	// pageSize is the number of objects in one page of a listing. It is small so that listings have several pages.
	pageSize = 20
	// maxHistory is the number of most recent changes that are kept for watches, and for returns from an older copy.
	maxHistory = 4096
	// headerEra counts in each response how often the store has come back from an older copy.
	headerEra = "Store-Era"
)

// Fault holds the faults to simulate. The zero value has none.
type Fault struct {
	// Busy responds with status 503.
	Busy bool
	// Reset closes connections without a response.
	Reset bool
	// Unresponsive keeps connections open and sends no response.
	Unresponsive bool
	// LoseAnswers executes writes, but closes their connections without a response.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
}

// Object is an object of the store.
type Object struct {
	Meta Meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// Meta is the metadata of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// event is one change to an object.
type event struct {
	revision uint64
	kind     string
	Deleted  bool   `json:"deleted"`
	Object   Object `json:"object"`
}

// Store simulates the platform's store over HTTP. Construct it with StartStore.
type Store struct {
	server  *http.Server
	group   *swgroup.Group
	address string

	mutex    sync.Mutex
	fault    Fault
	kinds    map[string]map[string]Object
	revision uint64
	history  []event
	// compactedUpTo is the last revision that is no longer in the history.
	compactedUpTo uint64
	// writes holds the latest writes, so that they can be lost, and era counts how often that happened.
	writes  []write
	era     uint64
	changed chan struct{}
	calls   int
}

// write is one write of an object: when it was made, and what it replaced.
type write struct {
	at         time.Time
	kind, name string
	// former is the object before the write; nil if there was none. revision is the store's revision before it.
	former   *Object
	revision uint64
}

// StartStore starts a store on a free loopback port, which serves until Close.
func StartStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	store := &Store{
		group: swgroup.New(context.Background()), address: listener.Addr().String(),
		kinds: make(map[string]map[string]Object), revision: 1, era: 1, changed: make(chan struct{}),
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/objects/{Kind}", store.withFault(store.list)).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{Kind}", store.withFault(store.create)).Methods(http.MethodPost)
	router.HandleFunc("/v1/objects/{Kind}/{Name}", store.withFault(store.get)).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{Kind}/{Name}", store.withFault(store.replace)).Methods(http.MethodPut)
	router.HandleFunc("/v1/objects/{Kind}/{Name}", store.withFault(store.remove)).Methods(http.MethodDelete)
	store.server = &http.Server{Handler: router, ReadHeaderTimeout: 10 * time.Second}
	store.group.Go(func(context.Context) { _ = store.server.Serve(listener) })
	return store, nil
}

// Address returns the host and port on which the store listens.
func (store *Store) Address() string {
	return store.address
}

// Close stops the server and closes every connection.
func (store *Store) Close() {
	_ = store.server.Close()
	store.group.Stop()
}

// SetFault replaces the faults. Watches that wait see the new ones at once.
func (store *Store) SetFault(fault Fault) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.fault = fault
	store.wakeWaiters()
}

// Calls returns the number of calls so far.
func (store *Store) Calls() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

// Compact drops the history, so that a watch from an earlier revision gets status 410 (Gone).
func (store *Store) Compact() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.history, store.compactedUpTo = nil, store.revision
}

// RollBack makes the store lose its writes since a time, as if it had come back from a copy. Watches end.
func (store *Store) RollBack(since time.Time) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for len(store.writes) > 0 && store.writes[len(store.writes)-1].at.After(since) {
		write := store.writes[len(store.writes)-1]
		store.writes = store.writes[:len(store.writes)-1]
		store.revision = write.revision
		if write.former == nil {
			delete(store.kinds[write.kind], write.name)
		} else {
			store.kinds[write.kind][write.name] = *write.former
		}
	}
	store.history = slices.DeleteFunc(store.history, func(event event) bool { return event.revision > store.revision })
	store.compactedUpTo = min(store.compactedUpTo, store.revision)
	store.era++
	store.wakeWaiters()
}

// Settle makes RollBack keep all writes so far.
func (store *Store) Settle() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.writes = nil
}

// recordWrite records a write before it is made. The caller holds the mutex.
func (store *Store) recordWrite(kind, name string) {
	write := write{at: time.Now(), kind: kind, name: name, revision: store.revision}
	if former, ok := store.kinds[kind][name]; ok {
		write.former = &former
	}
	if len(store.writes) == maxHistory {
		store.writes = store.writes[1:]
	}
	store.writes = append(store.writes, write)
}

// Put writes an object without a call over HTTP. It does nothing when the object has this spec already.
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
	store.recordWrite(kind, name)
	delete(store.kinds[kind], name)
	store.revision++
	store.appendEvent(event{revision: store.revision, kind: kind, Deleted: true, Object: object})
}

// put writes an object, unless its spec stays the same, and returns it. The caller holds the mutex.
func (store *Store) put(kind, name string, value json.RawMessage) Object {
	objects, ok := store.kinds[kind]
	if !ok {
		objects = make(map[string]Object)
		store.kinds[kind] = objects
	}
	object, exists := objects[name]
	if exists && string(object.Spec) == string(value) {
		return object
	}
	store.recordWrite(kind, name)
	store.revision++
	if !exists {
		object.Meta = Meta{Name: name, Created: store.revision, Finalizers: []string{}}
	}
	object.Meta.Revision, object.Spec = store.revision, value
	objects[name] = object
	store.appendEvent(event{revision: store.revision, kind: kind, Object: object})
	return object
}

// appendEvent adds a change to the history and wakes the watches. The caller holds the mutex.
func (store *Store) appendEvent(event event) {
	store.history = append(store.history, event)
	if len(store.history) > maxHistory {
		store.compactedUpTo = store.history[0].revision
		store.history = store.history[1:]
	}
	store.wakeWaiters()
}

// wakeWaiters wakes the watches that wait for a change. The caller holds the mutex.
func (store *Store) wakeWaiters() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// withFault wraps a handler so that it behaves as the current fault requires.
func (store *Store) withFault(serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		store.calls++
		fault := store.fault
		writer.Header().Set(headerEra, strconv.FormatUint(store.era, 10))
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

// discardWriter discards a response that is to be lost.
type discardWriter struct{ header http.Header }

func (writer discardWriter) Header() http.Header            { return writer.header }
func (writer discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (writer discardWriter) WriteHeader(int)                {}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// list returns a page of the objects of a kind in order of their names, or serves a watch.
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
	writeJSON(writer, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageSize, "at": store.revision})
}

// watch returns the changes after a revision. When there are none yet, it waits for one until wait_ms has passed.
func (store *Store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	after, err := strconv.ParseUint(request.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		store.mutex.Lock()
		changed, revision, fault := store.changed, store.revision, store.fault
		isGone := after < store.compactedUpTo || after > store.revision
		writer.Header().Set(headerEra, strconv.FormatUint(store.era, 10))
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
		case isGone:
			writer.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || timedOut:
			writeJSON(writer, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
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
	writeJSON(writer, http.StatusOK, object)
}

func (store *Store) create(writer http.ResponseWriter, request *http.Request) {
	store.writeObject(writer, request, func(current *Object, _ uint64) int {
		if current != nil {
			return http.StatusConflict
		}
		return http.StatusCreated
	})
}

func (store *Store) replace(writer http.ResponseWriter, request *http.Request) {
	store.writeObject(writer, request, func(current *Object, revision uint64) int {
		switch {
		case current == nil:
			return http.StatusNotFound
		case revision != 0 && revision != current.Meta.Revision:
			return http.StatusConflict
		}
		return http.StatusOK
	})
}

// writeObject decodes the object in the body and writes it if chooseStatus, which is called with the current object, if any, and the
// revision that the call requires, returns a success status. The response holds the object that is now stored.
func (store *Store) writeObject(writer http.ResponseWriter, request *http.Request, chooseStatus func(current *Object, revision uint64) int) {
	var object Object
	if err := json.NewDecoder(request.Body).Decode(&object); err != nil || object.Meta.Name == "" || strings.Contains(object.Meta.Name, "/") {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := mux.Vars(request)["Kind"]
	store.mutex.Lock()
	defer store.mutex.Unlock()
	current, exists := store.kinds[kind][object.Meta.Name]
	var existing *Object
	if exists {
		existing = &current
	}
	status := chooseStatus(existing, object.Meta.Revision)
	if status < http.StatusMultipleChoices {
		current = store.put(kind, object.Meta.Name, object.Spec)
	}
	writeJSON(writer, status, current)
}

func (store *Store) remove(writer http.ResponseWriter, request *http.Request) {
	store.Delete(mux.Vars(request)["Kind"], mux.Vars(request)["Name"])
	writer.WriteHeader(http.StatusOK)
}
