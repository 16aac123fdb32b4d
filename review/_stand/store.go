package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storePage is the number of objects in one page of a listing.
	storePage = 50
	// storeDelay is how long the store takes for a call.
	storeDelay = 4 * time.Millisecond
)

type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	revision uint64
	kind     string
	Deleted  bool   `json:"deleted"`
	Object   object `json:"object"`
}

// store stands in for the platform's store.
type store struct {
	mutex    sync.Mutex
	kinds    map[string]map[string]object
	revision uint64
	history  []event
	changed  chan struct{}
	server   *http.Server
	address  string
}

func startStore(run *run, address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	store := &store{kinds: make(map[string]map[string]object), revision: 1, changed: make(chan struct{}), address: listener.Addr().String()}
	store.server = &http.Server{Handler: http.HandlerFunc(store.serve), ReadHeaderTimeout: time.Minute}
	run.goroutine(func() { _ = store.server.Serve(listener) })
	return store, nil
}

// put writes an object without a call.
func (store *store) put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(kind, name, value)
}

// remove removes an object without a call.
func (store *store) remove(kind, name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if known, ok := store.kinds[kind][name]; ok {
		delete(store.kinds[kind], name)
		store.revision++
		known.Meta.Revision = store.revision
		store.publish(event{revision: store.revision, kind: kind, Deleted: true, Object: known})
	}
}

// write writes an object. The caller holds the mutex.
func (store *store) write(kind, name string, value json.RawMessage) object {
	if store.kinds[kind] == nil {
		store.kinds[kind] = make(map[string]object)
	}
	known, exists := store.kinds[kind][name]
	if exists && string(known.Spec) == string(value) {
		return known
	}
	store.revision++
	if !exists {
		known.Meta.Name, known.Meta.Created, known.Meta.Finalizers = name, store.revision, []string{}
	}
	known.Meta.Revision, known.Spec = store.revision, value
	store.kinds[kind][name] = known
	store.publish(event{revision: store.revision, kind: kind, Object: known})
	return known
}

func (store *store) publish(event event) {
	store.history = append(store.history, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func answer(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

func (store *store) serve(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeDelay)
	path := strings.Split(strings.TrimPrefix(request.URL.Path, "/v1/objects/"), "/")
	kind, name := path[0], ""
	if len(path) > 1 {
		name = path[1]
	}
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && query.Has("watch"):
		store.watch(writer, request, kind)
	case request.Method == http.MethodGet && name == "":
		store.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodGet:
		store.mutex.Lock()
		known, ok := store.kinds[kind][name]
		store.mutex.Unlock()
		if !ok {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		answer(writer, http.StatusOK, known)
	case request.Method == http.MethodDelete:
		store.remove(kind, name)
		writer.WriteHeader(http.StatusOK)
	default:
		store.change(writer, request, kind)
	}
}

func (store *store) list(writer http.ResponseWriter, kind, after string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var names []string
	for name := range store.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, name := range names[:min(len(names), storePage)] {
		items = append(items, store.kinds[kind][name])
	}
	answer(writer, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > storePage, "at": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
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
		changed, revision, events := store.changed, store.revision, []event{}
		for _, event := range store.history {
			if event.revision > after && event.kind == kind {
				events = append(events, event)
			}
		}
		store.mutex.Unlock()
		if len(events) > 0 || timedOut {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": revision})
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

// change serves a POST or a PUT.
func (store *store) change(writer http.ResponseWriter, request *http.Request, kind string) {
	var sent object
	if err := json.NewDecoder(request.Body).Decode(&sent); err != nil || sent.Meta.Name == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	known, exists := store.kinds[kind][sent.Meta.Name]
	switch {
	case request.Method == http.MethodPost && exists:
		answer(writer, http.StatusConflict, known)
	case request.Method == http.MethodPut && !exists:
		writer.WriteHeader(http.StatusNotFound)
	case request.Method == http.MethodPut && sent.Meta.Revision != 0 && sent.Meta.Revision != known.Meta.Revision:
		answer(writer, http.StatusConflict, known)
	default:
		answer(writer, http.StatusOK, store.write(kind, sent.Meta.Name, sent.Spec))
	}
}
