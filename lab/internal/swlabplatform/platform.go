package swlabplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// maxValue is the largest value in bytes.
	maxValueSize = 1 << 20
	// defaultWait is how long a watch waits when the call does not say.
	defaultWatchWait = 30 * time.Second
)

// Config holds what a Platform is built from.
type Config struct {
	// Listen is the TCP address; a free port of loopback when empty.
	Listen string
	// Lag is how old the VM list is.
	VMListLag time.Duration
}

// Platform serves the object API. Construct it with Start.
type Platform struct {
	store  *store
	server *http.Server
	group  *swgroup.Group
	url    string
}

// Start listens and serves until Close.
func Start(config Config) (*Platform, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform")
	}
	platform := &Platform{
		store: newStore(config.VMListLag),
		group: swgroup.New(context.Background()),
		url:   "http://" + listener.Addr().String(),
	}
	platform.server = &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: 10 * time.Second}
	platform.group.Go(func(context.Context) { _ = platform.server.Serve(listener) })
	return platform, nil
}

// URL returns the base URL.
func (platform *Platform) URL() string {
	return platform.url
}

// Address returns the TCP address.
func (platform *Platform) Address() string {
	return strings.TrimPrefix(platform.url, "http://")
}

// Close ends every call.
func (platform *Platform) Close() {
	_ = platform.server.Close()
	platform.group.Stop()
}

// SetFault replaces the faults.
func (platform *Platform) SetFault(fault Fault) {
	platform.store.setFault(fault)
}

// SetVMs replaces the VM list, which shows after the lag.
func (platform *Platform) SetVMs(vms []VM) {
	platform.store.setVMs(vms)
}

// Calls returns the number of calls by kind.
func (platform *Platform) Calls() map[string]int64 {
	return platform.store.callCounts()
}

// Put stores a value whatever the present version and returns the new one.
func (platform *Platform) Put(kind, name string, value any) (Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	object, _ := platform.store.put(key{kind, name}, data, precondition{always: true})
	return object, nil
}

// Get returns an object as the store holds it.
func (platform *Platform) Get(kind, name string) (Object, bool) {
	return platform.store.get(key{kind, name})
}

// Compact forgets the revisions up to the present one, so that watches from them are answered with 410.
func (platform *Platform) Compact() {
	platform.store.mutex.Lock()
	defer platform.store.mutex.Unlock()
	platform.store.compactedRevision = platform.store.revision - 1
}

// Handler returns the object API, and the lab's own calls /fault and /calls.
func (platform *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	api := router.PathPrefix("/v1").Subrouter()
	api.HandleFunc("/objects/{Kind}/{Name}", platform.countCalls(CallGet, platform.get)).Methods(http.MethodGet)
	api.HandleFunc("/objects/{Kind}/{Name}", platform.countCalls(CallPut, platform.put)).Methods(http.MethodPut)
	api.HandleFunc("/objects/{Kind}/{Name}", platform.countCalls(CallPut, platform.remove)).Methods(http.MethodDelete)
	api.HandleFunc("/objects/{Kind}", platform.countCalls(CallList, platform.list)).Methods(http.MethodGet)
	api.HandleFunc("/watch/{Kind}", platform.countCalls(CallWatch, platform.watch)).Methods(http.MethodGet)
	api.HandleFunc("/vms", platform.countCalls(CallVMs, platform.vms)).Methods(http.MethodGet)
	router.HandleFunc("/fault", platform.changeFault).Methods(http.MethodPost)
	router.HandleFunc("/calls", func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, http.StatusOK, platform.Calls())
	})
	return router
}

func (platform *Platform) countCalls(call string, serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		platform.store.countCall(call)
		fault, _ := platform.store.currentFault()
		if fault.Slow > 0 {
			select {
			case <-time.After(fault.Slow):
			case <-request.Context().Done():
				return
			}
		}
		if fault.Down {
			reply(writer, http.StatusServiceUnavailable, message{Message: "the store is down"})
			return
		}
		serve(writer, request)
	}
}

type message struct {
	Message string
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func keyOf(request *http.Request) key {
	vars := mux.Vars(request)
	return key{vars["Kind"], vars["Name"]}
}

func (platform *Platform) get(writer http.ResponseWriter, request *http.Request) {
	object, ok := platform.store.get(keyOf(request))
	if !ok {
		reply(writer, http.StatusNotFound, message{Message: "no such object"})
		return
	}
	reply(writer, http.StatusOK, object)
}

// condition reads the precondition headers; ok is false when they are absent or malformed.
func parsePrecondition(request *http.Request) (want precondition, ok bool) {
	if request.Header.Get("If-None-Match") == "*" {
		return precondition{absent: true}, true
	}
	version, err := strconv.ParseInt(strings.Trim(request.Header.Get("If-Match"), `"`), 10, 64)
	return precondition{version: version}, err == nil
}

func (platform *Platform) put(writer http.ResponseWriter, request *http.Request) {
	want, ok := parsePrecondition(request)
	if !ok {
		reply(writer, http.StatusPreconditionRequired, message{Message: "If-Match or If-None-Match is required"})
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValueSize))
	if err != nil {
		reply(writer, http.StatusRequestEntityTooLarge, message{Message: err.Error()})
		return
	}
	if !json.Valid(value) {
		reply(writer, http.StatusBadRequest, message{Message: "the value is not JSON"})
		return
	}
	object, result := platform.store.put(keyOf(request), value, want)
	if result != written {
		replyWriteError(writer, result)
		return
	}
	if platform.store.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	object.Value = nil
	status := http.StatusOK
	if want.absent {
		status = http.StatusCreated
	}
	reply(writer, status, object)
}

func replyWriteError(writer http.ResponseWriter, result writeOutcome) {
	if result == missing {
		reply(writer, http.StatusNotFound, message{Message: "no such object"})
		return
	}
	reply(writer, http.StatusPreconditionFailed, message{Message: "the version differs"})
}

func (platform *Platform) remove(writer http.ResponseWriter, request *http.Request) {
	want := precondition{always: true}
	if request.Header.Get("If-Match") != "" {
		var ok bool
		if want, ok = parsePrecondition(request); !ok {
			reply(writer, http.StatusBadRequest, message{Message: "malformed If-Match"})
			return
		}
	}
	if result := platform.store.remove(keyOf(request), want); result != written {
		replyWriteError(writer, result)
		return
	}
	if platform.store.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(http.StatusNoContent)
}

// listing is the answer to a list and to a watch.
type listing struct {
	Revision int64
	Objects  []Object
}

// head is an object without its value.
type head struct {
	Name    string
	Version int64
}

func (platform *Platform) list(writer http.ResponseWriter, request *http.Request) {
	revision, objects := platform.store.list(mux.Vars(request)["Kind"], request.URL.Query().Get("Prefix"))
	heads := make([]head, len(objects))
	for i, object := range objects {
		heads[i] = head{Name: object.Name, Version: object.Version}
	}
	reply(writer, http.StatusOK, struct {
		Revision int64
		Objects  []head
	}{revision, heads})
}

func (platform *Platform) watch(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseInt(request.URL.Query().Get("After"), 10, 64)
	if err != nil {
		after = 0
	}
	wait, err := time.ParseDuration(request.URL.Query().Get("Wait"))
	if err != nil {
		wait = defaultWatchWait
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	expired := false
	for {
		fault, faultChanged := platform.store.currentFault()
		revision, objects, changed, kept := platform.store.changesAfter(mux.Vars(request)["Kind"], after)
		switch {
		case fault.WatchSilent:
			changed = faultChanged
		case fault.Down:
			reply(writer, http.StatusServiceUnavailable, message{Message: "the store is down"})
			return
		case !kept:
			reply(writer, http.StatusGone, message{Message: "the revision is no longer kept"})
			return
		case len(objects) > 0:
			reply(writer, http.StatusOK, listing{Revision: revision, Objects: objects})
			return
		case expired:
			writer.WriteHeader(http.StatusNoContent)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
			if fault.WatchSilent {
				continue
			}
		case <-request.Context().Done():
			return
		}
	}
}

func (platform *Platform) vms(writer http.ResponseWriter, request *http.Request) {
	list := struct{ VMs []VM }{platform.store.visibleVMs(request.URL.Query().Get("DataCentre"))}
	body, err := json.Marshal(list)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(body))
	writer.Header().Set("ETag", tag)
	if request.Header.Get("If-None-Match") == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	reply(writer, http.StatusOK, list)
}

// faultRequest is Fault with a duration that people can write.
type faultRequest struct {
	Down        bool
	Slow        string
	LoseAnswers int
	WatchSilent bool
	StaleReads  bool
}

func (platform *Platform) changeFault(writer http.ResponseWriter, request *http.Request) {
	var wanted faultRequest
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxValueSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wanted); err != nil {
		reply(writer, http.StatusBadRequest, message{Message: err.Error()})
		return
	}
	slow := time.Duration(0)
	if wanted.Slow != "" {
		var err error
		if slow, err = time.ParseDuration(wanted.Slow); err != nil {
			reply(writer, http.StatusBadRequest, message{Message: err.Error()})
			return
		}
	}
	platform.SetFault(Fault{
		Down: wanted.Down, Slow: slow, LoseAnswers: wanted.LoseAnswers,
		WatchSilent: wanted.WatchSilent, StaleReads: wanted.StaleReads,
	})
	writer.WriteHeader(http.StatusNoContent)
}
