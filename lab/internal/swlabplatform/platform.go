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
	// maxValueSize bounds the value of an object, in bytes.
	maxValueSize = 1 << 20
	// defaultWatchWait is how long a watch waits when the request states no time.
	defaultWatchWait = 30 * time.Second
)

// Config configures a Platform.
type Config struct {
	// Listen is the TCP address. When empty, the platform uses a free port of 127.0.0.1.
	Listen string
	// VMListLag is the age of the VM list that callers see.
	VMListLag time.Duration
}

// Platform is a simulated platform that serves the object API. Construct it with Start.
type Platform struct {
	store  *store
	server *http.Server
	group  *swgroup.Group
	url    string
}

// Start starts a platform, which runs until Close.
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

// Close stops the platform and ends all calls.
func (platform *Platform) Close() {
	_ = platform.server.Close()
	platform.group.Stop()
}

// SetFault replaces the injected faults.
func (platform *Platform) SetFault(fault Fault) {
	platform.store.setFault(fault)
}

// SetVMs replaces the VM list. Callers see the new list after Config.VMListLag.
func (platform *Platform) SetVMs(vms []VM) {
	platform.store.setVMs(vms)
}

// Calls returns the number of calls by kind.
func (platform *Platform) Calls() map[string]int64 {
	return platform.store.callCounts()
}

// Put stores a value unconditionally and returns the new object.
func (platform *Platform) Put(kind, name string, value any) (Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode %s/%s", kind, name)
	}
	object, _ := platform.store.put(key{kind, name}, data, precondition{always: true})
	return object, nil
}

// Get returns an object, and whether it exists. The fault StaleReads applies.
func (platform *Platform) Get(kind, name string) (Object, bool) {
	return platform.store.get(key{kind, name})
}

// Compact discards the revisions before the current one. Watches that start from a discarded one are answered with 410.
func (platform *Platform) Compact() {
	platform.store.mutex.Lock()
	defer platform.store.mutex.Unlock()
	platform.store.compactedRevision = platform.store.revision - 1
}

// Handler returns a handler for the object API and for the lab's own paths /fault and /calls.
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

// countCalls wraps a handler: it counts the call and injects the faults Slow and Down.
func (platform *Platform) countCalls(kind string, serve http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		platform.store.countCall(kind)
		fault, _ := platform.store.currentFault()
		if fault.Slow > 0 {
			select {
			case <-time.After(fault.Slow):
			case <-request.Context().Done():
				return
			}
		}
		if fault.Down {
			reply(writer, http.StatusServiceUnavailable, errorResponse{Message: "the store is down"})
			return
		}
		serve(writer, request)
	}
}

type errorResponse struct {
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
		reply(writer, http.StatusNotFound, errorResponse{Message: "no such object"})
		return
	}
	reply(writer, http.StatusOK, object)
}

// parsePrecondition reads If-Match and If-None-Match. ok is false when they are absent or malformed.
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
		reply(writer, http.StatusPreconditionRequired, errorResponse{Message: "If-Match or If-None-Match is required"})
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxValueSize))
	if err != nil {
		reply(writer, http.StatusRequestEntityTooLarge, errorResponse{Message: err.Error()})
		return
	}
	if !json.Valid(value) {
		reply(writer, http.StatusBadRequest, errorResponse{Message: "the value is not JSON"})
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
		reply(writer, http.StatusNotFound, errorResponse{Message: "no such object"})
		return
	}
	reply(writer, http.StatusPreconditionFailed, errorResponse{Message: "the version differs"})
}

func (platform *Platform) remove(writer http.ResponseWriter, request *http.Request) {
	want := precondition{always: true}
	if request.Header.Get("If-Match") != "" {
		var ok bool
		if want, ok = parsePrecondition(request); !ok {
			reply(writer, http.StatusBadRequest, errorResponse{Message: "malformed If-Match"})
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

// watchResponse is the response to a watch.
type watchResponse struct {
	Revision int64
	Objects  []Object
}

// objectHead is the entry for an object in the response to a list.
type objectHead struct {
	Name    string
	Version int64
}

func (platform *Platform) list(writer http.ResponseWriter, request *http.Request) {
	revision, objects := platform.store.list(mux.Vars(request)["Kind"], request.URL.Query().Get("Prefix"))
	heads := make([]objectHead, len(objects))
	for i, object := range objects {
		heads[i] = objectHead{Name: object.Name, Version: object.Version}
	}
	reply(writer, http.StatusOK, struct {
		Revision int64
		Objects  []objectHead
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
		revision, objects, changed, available := platform.store.changesAfter(mux.Vars(request)["Kind"], after)
		switch {
		case fault.WatchSilent:
			changed = faultChanged
		case fault.Down:
			reply(writer, http.StatusServiceUnavailable, errorResponse{Message: "the store is down"})
			return
		case !available:
			reply(writer, http.StatusGone, errorResponse{Message: "the revision is no longer kept"})
			return
		case len(objects) > 0:
			reply(writer, http.StatusOK, watchResponse{Revision: revision, Objects: objects})
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

// faultRequest is the body of /fault: a Fault with a duration such as "1s".
type faultRequest struct {
	Down        bool
	Slow        string
	LoseAnswers int
	WatchSilent bool
	StaleReads  bool
}

func (platform *Platform) changeFault(writer http.ResponseWriter, request *http.Request) {
	var body faultRequest
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxValueSize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		reply(writer, http.StatusBadRequest, errorResponse{Message: err.Error()})
		return
	}
	delay := time.Duration(0)
	if body.Slow != "" {
		var err error
		if delay, err = time.ParseDuration(body.Slow); err != nil {
			reply(writer, http.StatusBadRequest, errorResponse{Message: err.Error()})
			return
		}
	}
	platform.SetFault(Fault{
		Down: body.Down, Slow: delay, LoseAnswers: body.LoseAnswers,
		WatchSilent: body.WatchSilent, StaleReads: body.StaleReads,
	})
	writer.WriteHeader(http.StatusNoContent)
}
