package swlabbackend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxRequestSize bounds a request body, in bytes.
const maxRequestSize = 1 << 20

// attemptID identifies one attempt of a query.
type attemptID struct {
	queryID string
	attempt string
}

// Request is the body of a request to /search or /run.
type Request struct {
	QueryID  string
	Attempt  string
	Index    string
	Snapshot string
	Shard    int
	Kind     string
	Query    string
	Limit    int
	Timeout  string
	RunKey   string
	Caller   string
}

// searchResponse is the body of a successful response to a Request.
type searchResponse struct {
	QueryID  string
	Attempt  string
	Snapshot string
	Shard    int
	Hits     []Hit
	Counts   map[string]int64
}

// errorResponse is the body of every response with an error status.
type errorResponse struct {
	// QueryID and Attempt are those of the request; empty if it could not be read.
	QueryID string `json:",omitempty"`
	Attempt string `json:",omitempty"`
	Code    string
	Message string   `json:",omitempty"`
	Held    []string `json:",omitempty"`
}

// attempt is a request that occupies a slot or waits for one.
type attempt struct {
	cancel context.CancelFunc
	mutex  sync.Mutex
	ended  bool
	reason Outcome
}

// end cancels the attempt. When it is called several times, the first reason is kept.
func (attempt *attempt) end(reason Outcome) {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if !attempt.ended {
		attempt.ended = true
		attempt.reason = reason
	}
	attempt.cancel()
}

// outcome returns the reason passed to end, or defaultOutcome when end was not called.
func (attempt *attempt) outcome(defaultOutcome Outcome) Outcome {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if attempt.ended {
		return attempt.reason
	}
	return defaultOutcome
}

func (server *Server) handler() http.Handler {
	router := http.NewServeMux()
	router.HandleFunc("POST /search", server.serveSearch)
	router.HandleFunc("POST /run", server.serveSearch)
	router.HandleFunc("POST /cancel", server.serveCancel)
	router.HandleFunc("GET /health", server.serveHealth)
	router.HandleFunc("GET /load", server.serveLoad)
	return router
}

func (server *Server) write(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)))
	if server.sinceLeaving() > 0 {
		header.Set("Sw-Leaving", "true")
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

// refuse writes the error response to an attempt and counts it in the journal.
func (server *Server) refuse(writer http.ResponseWriter, status int, id attemptID, body errorResponse) {
	body.QueryID, body.Attempt = id.queryID, id.attempt
	server.config.Journal.countRefusal(body.Code)
	server.write(writer, status, body)
}

func (server *Server) serveSearch(writer http.ResponseWriter, request *http.Request) {
	var search Request
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestSize))
	if err := decoder.Decode(&search); err != nil {
		server.refuse(writer, http.StatusBadRequest, attemptID{}, errorResponse{Code: "BadRequest", Message: err.Error()})
		return
	}
	timeout, err := time.ParseDuration(search.Timeout)
	id := attemptID{search.QueryID, search.Attempt}
	if err != nil {
		server.refuse(writer, http.StatusBadRequest, id, errorResponse{Code: "BadRequest", Message: err.Error()})
		return
	}
	if since := server.sinceLeaving(); since > 0 {
		server.config.Journal.addArrival(Arrival{Server: server.config.Name, SinceLeaving: since})
		writer.Header().Set("Connection", "close")
		server.refuse(writer, http.StatusServiceUnavailable, id, errorResponse{Code: "Leaving"})
		return
	}
	snapshot, heldIDs := server.findSnapshot(search.Index, search.Snapshot, search.Shard)
	if snapshot == nil {
		server.refuse(writer, http.StatusConflict, id, errorResponse{Code: "SnapshotNotHeld", Held: heldIDs})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	started := &attempt{cancel: cancel}
	server.register(id, started)
	defer server.unregister(id, started)
	if !server.acquire(ctx) {
		server.refuseWithoutSlot(ctx, writer, id, started)
		return
	}
	defer func() { <-server.slots }()
	server.run(ctx, writer, search, snapshot, started)
}

func (server *Server) register(id attemptID, attempt *attempt) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.attempts[id] = attempt
}

func (server *Server) unregister(id attemptID, attempt *attempt) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.attempts[id] == attempt {
		delete(server.attempts, id)
	}
}

// acquire takes a slot, or waits for one when fewer than Config.MaxWaiting requests wait. It reports whether it took a
// slot. When it returns false because the request was shed, the context has not ended.
func (server *Server) acquire(ctx context.Context) bool {
	if server.currentFault().ShedAll {
		return false
	}
	select {
	case server.slots <- struct{}{}:
		return true
	default:
	}
	if !server.changeWaiting(1) {
		return false
	}
	defer server.changeWaiting(-1)
	select {
	case server.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// changeWaiting adds change to the number of waiting requests. It reports false, and changes nothing, when an increase
// would exceed Config.MaxWaiting.
func (server *Server) changeWaiting(change int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if change > 0 && server.waiting >= server.config.MaxWaiting {
		return false
	}
	server.waiting += change
	return true
}

// refuseWithoutSlot responds to a request for which acquire returned false.
func (server *Server) refuseWithoutSlot(ctx context.Context, writer http.ResponseWriter, id attemptID, attempt *attempt) {
	if ctx.Err() == nil {
		writer.Header().Set("Retry-After", "1")
		server.refuse(writer, http.StatusServiceUnavailable, id, errorResponse{Code: "Shed"})
		return
	}
	server.refuseEnded(writer, id, attempt.outcome(Late))
}

// refuseEnded responds to a request that ended before its run finished. After a crash it aborts the connection.
func (server *Server) refuseEnded(writer http.ResponseWriter, id attemptID, outcome Outcome) {
	switch outcome {
	case Cancelled:
		server.refuse(writer, statusCancelled, id, errorResponse{Code: "Cancelled"})
	case Crashed:
		panic(http.ErrAbortHandler)
	default:
		server.refuse(writer, http.StatusGatewayTimeout, id, errorResponse{Code: "Late"})
	}
}

// statusCancelled is the HTTP status of a request that its client cancelled.
const statusCancelled = 499

// run waits for the service time, records the run and writes the response.
func (server *Server) run(ctx context.Context, writer http.ResponseWriter, search Request, snapshot *Snapshot, attempt *attempt) {
	record := Record{
		Server: server.config.Name, QueryID: search.QueryID, Attempt: search.Attempt, Index: search.Index,
		Snapshot: search.Snapshot, Shard: search.Shard, Kind: search.Kind, Caller: search.Caller,
		RunKey: search.RunKey, Tag: Tag(search.Query), Started: time.Now(),
	}
	if parse(search.Query).crashName != "" {
		attempt.end(Crashed)
		server.Crash()
	}
	select {
	case <-time.After(server.serviceTime()):
		record.Outcome = attempt.outcome(Finished)
	case <-ctx.Done():
		record.Outcome = attempt.outcome(contextOutcome(ctx))
	}
	record.Ended = time.Now()
	server.config.Journal.addRecord(record)
	if record.Outcome != Finished {
		server.refuseEnded(writer, attemptID{search.QueryID, search.Attempt}, record.Outcome)
		return
	}
	if server.chance(server.currentFault().FailAsRejectionChance) {
		server.failAsRejection(writer, attemptID{search.QueryID, search.Attempt})
		return
	}
	server.reply(writer, search, snapshot)
}

// failAsRejection writes one of the error responses that have the status of a refused request, but not its code.
func (server *Server) failAsRejection(writer http.ResponseWriter, id attemptID) {
	status, code := http.StatusServiceUnavailable, ""
	if server.chance(0.5) {
		status = http.StatusConflict
	}
	if server.chance(0.5) {
		code = "Internal"
	}
	server.write(writer, status, errorResponse{QueryID: id.queryID, Attempt: id.attempt, Code: code})
}

// contextOutcome returns the outcome of a request whose context ended: Late after its deadline, and Cancelled when the
// client closed the connection.
func contextOutcome(ctx context.Context) Outcome {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // the context's own error is never wrapped
		return Late
	}
	return Cancelled
}

// reply writes the result of a search, with the faults of wrong responses applied.
func (server *Server) reply(writer http.ResponseWriter, search Request, snapshot *Snapshot) {
	fault := server.currentFault()
	if server.chance(fault.WrongSnapshotChance) {
		snapshot = server.otherSnapshot(snapshot)
	}
	body := &searchResponse{QueryID: search.QueryID, Attempt: search.Attempt, Snapshot: snapshot.ID, Shard: search.Shard}
	if search.Shard < len(snapshot.Shards) {
		result := snapshot.ScanShard(search.Shard, search.Query, search.Limit)
		body.Hits, body.Counts = result.Hits, result.Counts
	}
	if previous := server.swapLastResponse(body); previous != nil && server.chance(fault.MismatchChance) {
		body = previous
	}
	if server.chance(fault.DuplicateChance) {
		server.replyTwice(writer, body)
		return
	}
	server.write(writer, http.StatusOK, body)
}

// otherSnapshot returns another held snapshot of the same index, or the given one when there is none.
func (server *Server) otherSnapshot(snapshot *Snapshot) *Snapshot {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, heldSnapshot := range server.held {
		if heldSnapshot.snapshot.Index == snapshot.Index && heldSnapshot.snapshot != snapshot {
			return heldSnapshot.snapshot
		}
	}
	return snapshot
}

// swapLastResponse stores a response and returns the one stored before, or nil.
func (server *Server) swapLastResponse(body *searchResponse) *searchResponse {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	previous := server.lastResponse
	server.lastResponse = body
	return previous
}

// replyTwice writes a response twice on its connection. It closes the connection a second later, so that the client has
// time to read both.
func (server *Server) replyTwice(writer http.ResponseWriter, body *searchResponse) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(err)
	}
	for range 2 {
		fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	}
	_ = buffer.Flush()
	server.group.Go(func(ctx context.Context) {
		defer connection.Close()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	})
}

func (server *Server) serveCancel(writer http.ResponseWriter, request *http.Request) {
	var cancellation struct{ QueryID, Attempt string }
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequestSize)).Decode(&cancellation); err != nil {
		server.refuse(writer, http.StatusBadRequest, attemptID{}, errorResponse{Code: "BadRequest", Message: err.Error()})
		return
	}
	server.mutex.Lock()
	found, ok := server.attempts[attemptID{cancellation.QueryID, cancellation.Attempt}]
	server.mutex.Unlock()
	if ok {
		found.end(Cancelled)
	}
	server.write(writer, http.StatusOK, struct{ Found bool }{ok})
}

func (server *Server) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	state := "Ready"
	switch {
	case server.fault.ReportsIdle:
	case !server.leavingSince.IsZero():
		state = "Leaving"
	case time.Since(server.warmUpStart) < server.config.WarmUpDuration:
		state = "Cold"
	}
	server.mutex.Unlock()
	server.write(writer, http.StatusOK, struct{ State string }{state})
}

func (server *Server) serveLoad(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	running, waiting := len(server.slots), server.waiting
	if server.fault.ReportsIdle {
		running, waiting = 0, 0
	}
	server.mutex.Unlock()
	server.write(writer, http.StatusOK, struct{ Running, Waiting, Slots int }{running, waiting, server.config.Slots})
}
