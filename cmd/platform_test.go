package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
)

// fakePlatform is an in-memory object API for test scripts.
type fakePlatform struct {
	server *httptest.Server

	mutex   sync.Mutex
	objects map[string]swplatform.Object
	vms     []swplatform.VM
	// down makes every call fail with status 503.
	down bool
	// loseAnswers is the number of writes that are stored but whose connection is closed without an answer.
	loseAnswers int
	// rivalAfterLoss stores another operator's edit after each write whose answer is lost.
	rivalAfterLoss bool
}

func newFakePlatform() *fakePlatform {
	platform := &fakePlatform{objects: make(map[string]swplatform.Object)}
	router := mux.NewRouter()
	router.HandleFunc("/v1/objects/{Kind}/{Name}", platform.get).Methods(http.MethodGet)
	router.HandleFunc("/v1/objects/{Kind}/{Name}", platform.put).Methods(http.MethodPut)
	router.HandleFunc("/v1/objects/{Kind}", platform.list)
	router.HandleFunc("/v1/vms", platform.listVMs)
	platform.server = httptest.NewServer(router)
	return platform
}

// lock locks the mutex, which the caller unlocks, and reports whether the platform is up. If it is down, lock writes the answer.
func (platform *fakePlatform) lock(writer http.ResponseWriter) bool {
	platform.mutex.Lock()
	if platform.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	return !platform.down
}

func objectKey(request *http.Request) string {
	return mux.Vars(request)["Kind"] + "/" + mux.Vars(request)["Name"]
}

func writeJSON(writer http.ResponseWriter, value any) {
	if err := json.NewEncoder(writer).Encode(value); err != nil {
		panic(err)
	}
}

func (platform *fakePlatform) get(writer http.ResponseWriter, request *http.Request) {
	defer platform.mutex.Unlock()
	if !platform.lock(writer) {
		return
	}
	object, ok := platform.objects[objectKey(request)]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(writer, object)
}

func (platform *fakePlatform) put(writer http.ResponseWriter, request *http.Request) {
	defer platform.mutex.Unlock()
	if !platform.lock(writer) {
		return
	}
	key := objectKey(request)
	present, exists := platform.objects[key]
	create := request.Header.Get("If-None-Match") == "*"
	if create == exists || !create && request.Header.Get("If-Match") != strconv.Quote(fmt.Sprint(present.Version)) {
		writer.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	value, err := io.ReadAll(request.Body)
	if err != nil {
		panic(err)
	}
	platform.store(key, value)
	if platform.loseAnswers > 0 {
		platform.loseAnswers--
		if platform.rivalAfterLoss {
			platform.writeRivalEdit("refuse # rival\n")
		}
		panic(http.ErrAbortHandler)
	}
	answer := platform.objects[key]
	answer.Value = nil
	writeJSON(writer, answer)
}

func (platform *fakePlatform) store(key string, value []byte) {
	kind, name, _ := strings.Cut(key, "/")
	version := platform.objects[key].Version + 1
	platform.objects[key] = swplatform.Object{Kind: kind, Name: name, Version: version, Value: value}
}

func (platform *fakePlatform) list(writer http.ResponseWriter, request *http.Request) {
	defer platform.mutex.Unlock()
	if !platform.lock(writer) {
		return
	}
	var versions []swplatform.ObjectVersion
	for _, object := range platform.objects {
		if object.Kind == mux.Vars(request)["Kind"] {
			versions = append(versions, swplatform.ObjectVersion{Name: object.Name, Version: object.Version})
		}
	}
	writeJSON(writer, struct{ Objects []swplatform.ObjectVersion }{versions})
}

func (platform *fakePlatform) listVMs(writer http.ResponseWriter, _ *http.Request) {
	defer platform.mutex.Unlock()
	if platform.lock(writer) {
		writeJSON(writer, struct{ VMs []swplatform.VM }{platform.vms})
	}
}

// writeRivalEdit stores an edit of the rules by another operator.
func (platform *fakePlatform) writeRivalEdit(text string) {
	object := platform.objects["Rules/main"]
	var document swedit.Document
	if object.Version > 0 {
		if err := json.Unmarshal(object.Value, &document); err != nil {
			panic(err)
		}
	}
	edit := swedit.Edit{ID: "rival", By: "rival", At: time.Unix(0, 0), Base: object.Version}
	document = swedit.Document{Text: text, Edits: append([]swedit.Edit{edit}, document.Edits...)}
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	platform.store("Rules/main", value)
}

// writeStatus stores the status of a data centre whose VMs report the given rule versions.
func (platform *fakePlatform) writeStatus(dataCentre string, versions []string) error {
	status := swrollout.Status{DataCentre: dataCentre, At: time.Now()}
	for i, text := range versions {
		version, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return err
		}
		status.VMs = append(status.VMs, swrollout.VMStatus{Name: fmt.Sprintf("%s-%d", dataCentre, i+1), RuleVersion: version, State: "Alive"})
	}
	value, err := json.Marshal(status)
	if err != nil {
		return err
	}
	platform.store("Status/"+dataCentre, value)
	return nil
}

// runScriptCommand implements the command "platform" of test scripts.
func (platform *fakePlatform) runScriptCommand(script *testscript.TestScript, negated bool, args []string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if negated || len(args) == 0 {
		script.Fatalf("usage: platform down|up|lose|lose-then-rival|rival TEXT|bad|vm DATACENTRE|status DATACENTRE VERSION...")
	}
	switch args[0] {
	case "down":
		platform.down = true
	case "up":
		platform.down = false
	case "lose":
		platform.loseAnswers++
	case "lose-then-rival":
		platform.loseAnswers++
		platform.rivalAfterLoss = true
	case "rival":
		platform.writeRivalEdit(args[1] + "\n")
	case "bad":
		platform.store("Rules/main", []byte(`{"Text":"allow everything","Edits":null}`))
	case "vm":
		platform.vms = append(platform.vms, swplatform.VM{Name: args[1], Role: swplatform.RoleEntry, DataCentre: args[1], State: swplatform.StateLive})
	case "status":
		script.Check(platform.writeStatus(args[1], args[2:]))
	default:
		script.Fatalf("unknown platform command %q", args[0])
	}
}
