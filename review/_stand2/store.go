package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectsPath is the path of all objects of the platform's store.
const objectsPath = "/v1/objects/"

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// objectMeta is the metadata of an object.
type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      time.Time
}

// store is the platform's store in memory. Construct it with newStore.
type store struct {
	server *httptest.Server

	mutex    sync.Mutex
	revision uint64
	objects  map[string]object
	history  []event
	// forgotten is the revision of the latest change that is no longer in history.
	forgotten uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newStore() *store {
	store := &store{revision: 1, objects: make(map[string]object), changed: make(chan struct{})}
	store.server = httptest.NewServer(store)
	return store
}

func (store *store) address() string {
	return store.server.Listener.Addr().String()
}

// put creates or replaces an object, as the operator and the replicas do.
func (store *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored := store.objects[kind+"/"+name]
	stored.Meta.Name, stored.Spec = name, data
	store.change(kind, stored, false)
}

// change records a change of an object. The caller holds the mutex.
func (store *store) change(kind string, changed object, deleted bool) object {
	store.revision++
	changed.Meta.Revision = store.revision
	if changed.Meta.Created == 0 {
		changed.Meta.Created = store.revision
	}
	if deleted {
		delete(store.objects, kind+"/"+changed.Meta.Name)
	} else {
		store.objects[kind+"/"+changed.Meta.Name] = changed
	}
	now := time.Now()
	store.history = append(store.history, event{Object: changed, Deleted: deleted, kind: kind, at: now})
	for now.Sub(store.history[0].at) > historyTime {
		store.forgotten = store.history[0].Object.Meta.Revision
		store.history = store.history[1:]
	}
	close(store.changed)
	store.changed = make(chan struct{})
	return changed
}

// ServeHTTP answers a call.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, objectsPath), "/")
	status, reply := http.StatusOK, any(nil)
	switch query := request.URL.Query(); {
	case request.Method != http.MethodGet:
		status, reply = store.write(request, kind, name)
	case query.Has("watch"):
		status, reply = store.watch(request.Context(), kind, query.Get("watch"), query.Get("wait_ms"))
	case name != "":
		store.mutex.Lock()
		stored, ok := store.objects[kind+"/"+name]
		store.mutex.Unlock()
		if reply = stored; !ok {
			status = http.StatusNotFound
		}
	default:
		reply = store.list(kind)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(reply)
}

func (store *store) write(request *http.Request, kind, name string) (status int, reply any) {
	var written object
	_ = json.NewDecoder(request.Body).Decode(&written)
	condition := written.Meta.Revision
	if text := request.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	if request.Method == http.MethodPost {
		name = written.Meta.Name
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	stored, exists := store.objects[kind+"/"+name]
	switch {
	case request.Method == http.MethodPost && exists, condition != 0 && exists && condition != stored.Meta.Revision:
		return http.StatusConflict, stored
	case request.Method != http.MethodPost && !exists:
		return http.StatusNotFound, map[string]any{}
	case request.Method == http.MethodDelete:
		return http.StatusOK, store.change(kind, stored, true)
	}
	stored.Meta.Name = name
	if isStatus {
		stored.Status = written.Status
	} else {
		stored.Spec, stored.Meta.Finalizers = written.Spec, written.Meta.Finalizers
	}
	return http.StatusOK, store.change(kind, stored, false)
}

func (store *store) list(kind string) any {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	items := []object{}
	for key, stored := range store.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, stored)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return map[string]any{"items": items, "has_more": false, "at": store.revision}
}

// watch returns the changes of a kind after a revision, for which it waits.
func (store *store) watch(ctx context.Context, kind, after, waitMS string) (status int, reply any) {
	since, _ := strconv.ParseUint(after, 10, 64)
	wait, _ := strconv.Atoi(waitMS)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		store.mutex.Lock()
		if since < store.forgotten {
			store.mutex.Unlock()
			return http.StatusGone, map[string]any{}
		}
		events := []event{}
		for _, known := range store.history {
			if known.kind == kind && known.Object.Meta.Revision > since {
				events = append(events, known)
			}
		}
		reply = map[string]any{"events": events, "at": store.revision}
		changed := store.changed
		store.mutex.Unlock()
		if len(events) > 0 || ended {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			return http.StatusOK, reply
		}
	}
}
