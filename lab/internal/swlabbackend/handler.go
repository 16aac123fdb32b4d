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

// maxRequest is the largest request body in bytes.
const maxRequest = 1 << 20

// identity names one attempt of a query.
type identity struct {
	queryID string
	attempt string
}

// Request is the body of /search and /run.
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

// answer is the body of a 200.
type answer struct {
	QueryID  string
	Attempt  string
	Snapshot string
	Shard    int
	Hits     []Hit
	Counts   map[string]int64
}

// refusal is the body of every other status.
type refusal struct {
	Code    string
	Message string   `json:",omitempty"`
	Held    []string `json:",omitempty"`
}

// run is a request that holds a slot or waits for one.
type run struct {
	cancel context.CancelFunc
	mutex  sync.Mutex
	ended  bool
	reason Outcome
}

// end withdraws the run for a reason; the first reason stands.
func (run *run) end(reason Outcome) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if !run.ended {
		run.ended = true
		run.reason = reason
	}
	run.cancel()
}

// outcome returns the reason of the end, and byDefault when nobody ended the run.
func (run *run) outcome(byDefault Outcome) Outcome {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	if run.ended {
		return run.reason
	}
	return byDefault
}

func (server *Server) handler() http.Handler {
	router := http.NewServeMux()
	router.HandleFunc("POST /search", server.serve)
	router.HandleFunc("POST /run", server.serve)
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

func (server *Server) refuse(writer http.ResponseWriter, status int, body refusal) {
	server.config.Journal.refuse(body.Code)
	server.write(writer, status, body)
}

func (server *Server) serve(writer http.ResponseWriter, request *http.Request) {
	var wanted Request
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequest))
	if err := decoder.Decode(&wanted); err != nil {
		server.refuse(writer, http.StatusBadRequest, refusal{Code: "BadRequest", Message: err.Error()})
		return
	}
	timeout, err := time.ParseDuration(wanted.Timeout)
	if err != nil {
		server.refuse(writer, http.StatusBadRequest, refusal{Code: "BadRequest", Message: err.Error()})
		return
	}
	if since := server.sinceLeaving(); since > 0 {
		server.config.Journal.arrive(Arrival{Server: server.config.Name, SinceLeaving: since})
		writer.Header().Set("Connection", "close")
		server.refuse(writer, http.StatusServiceUnavailable, refusal{Code: "Leaving"})
		return
	}
	snapshot, held := server.find(wanted.Index, wanted.Snapshot, wanted.Shard)
	if snapshot == nil {
		server.refuse(writer, http.StatusConflict, refusal{Code: "SnapshotNotHeld", Held: held})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), timeout)
	defer cancel()
	current := &run{cancel: cancel}
	server.register(identity{wanted.QueryID, wanted.Attempt}, current)
	defer server.unregister(identity{wanted.QueryID, wanted.Attempt}, current)
	if !server.acquire(ctx) {
		server.refuseWaiting(ctx, writer, current)
		return
	}
	defer func() { <-server.slots }()
	server.run(ctx, writer, wanted, snapshot, current)
}

func (server *Server) register(at identity, current *run) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.running[at] = current
}

func (server *Server) unregister(at identity, current *run) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.running[at] == current {
		delete(server.running, at)
	}
}

// acquire takes a slot, waiting while there is a place to wait. The context is still alive when it returns false for
// want of a place.
func (server *Server) acquire(ctx context.Context) bool {
	if server.faultNow().ShedAll {
		return false
	}
	select {
	case server.slots <- struct{}{}:
		return true
	default:
	}
	if !server.wait(1) {
		return false
	}
	defer server.wait(-1)
	select {
	case server.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// wait changes the number of waiting requests and reports whether there was a place.
func (server *Server) wait(change int) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if change > 0 && server.waiting >= server.config.MaxWaiting {
		return false
	}
	server.waiting += change
	return true
}

// refuseWaiting answers a request that got no slot.
func (server *Server) refuseWaiting(ctx context.Context, writer http.ResponseWriter, current *run) {
	if ctx.Err() == nil {
		writer.Header().Set("Retry-After", "1")
		server.refuse(writer, http.StatusServiceUnavailable, refusal{Code: "Shed"})
		return
	}
	server.refuseEnded(writer, current.outcome(Late))
}

func (server *Server) refuseEnded(writer http.ResponseWriter, outcome Outcome) {
	switch outcome {
	case Cancelled:
		server.refuse(writer, statusCancelled, refusal{Code: "Cancelled"})
	case Crashed:
		panic(http.ErrAbortHandler)
	default:
		server.refuse(writer, http.StatusGatewayTimeout, refusal{Code: "Late"})
	}
}

// statusCancelled answers a request that was withdrawn.
const statusCancelled = 499

func (server *Server) run(ctx context.Context, writer http.ResponseWriter, wanted Request, snapshot *Snapshot, current *run) {
	record := Record{
		Server: server.config.Name, QueryID: wanted.QueryID, Attempt: wanted.Attempt, Index: wanted.Index,
		Snapshot: wanted.Snapshot, Shard: wanted.Shard, Kind: wanted.Kind, Caller: wanted.Caller,
		RunKey: wanted.RunKey, Tag: Tag(wanted.Query), Started: time.Now(),
	}
	if parse(wanted.Query).crash != "" {
		current.end(Crashed)
		server.Crash()
	}
	select {
	case <-time.After(server.serviceTime()):
		record.Outcome = current.outcome(Finished)
	case <-ctx.Done():
		record.Outcome = current.outcome(endOf(ctx))
	}
	record.Ended = time.Now()
	server.config.Journal.add(record)
	if record.Outcome != Finished {
		server.refuseEnded(writer, record.Outcome)
		return
	}
	server.reply(writer, wanted, snapshot)
}

// endOf tells a deadline from a closed connection.
func endOf(ctx context.Context) Outcome {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // the context's own error is never wrapped
		return Late
	}
	return Cancelled
}

func (server *Server) reply(writer http.ResponseWriter, wanted Request, snapshot *Snapshot) {
	fault := server.faultNow()
	if server.chance(fault.WrongSnapshotChance) {
		snapshot = server.other(snapshot)
	}
	body := &answer{QueryID: wanted.QueryID, Attempt: wanted.Attempt, Snapshot: snapshot.ID, Shard: wanted.Shard}
	if wanted.Shard < len(snapshot.Shards) {
		result := snapshot.ScanShard(wanted.Shard, wanted.Query, wanted.Limit)
		body.Hits, body.Counts = result.Hits, result.Counts
	}
	if previous := server.swap(body); previous != nil && server.chance(fault.MismatchChance) {
		body = previous
	}
	if server.chance(fault.DuplicateChance) {
		server.replyTwice(writer, body)
		return
	}
	server.write(writer, http.StatusOK, body)
}

// other returns another snapshot of the index that the server holds, or the same.
func (server *Server) other(snapshot *Snapshot) *Snapshot {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, holding := range server.holdings {
		if holding.snapshot.Index == snapshot.Index && holding.snapshot != snapshot {
			return holding.snapshot
		}
	}
	return snapshot
}

// swap keeps an answer and returns the one before.
func (server *Server) swap(body *answer) *answer {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	previous := server.last
	server.last = body
	return previous
}

// replyTwice writes an answer twice on its connection, which it then closes.
func (server *Server) replyTwice(writer http.ResponseWriter, body *answer) {
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
	var wanted struct{ QueryID, Attempt string }
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxRequest)).Decode(&wanted); err != nil {
		server.refuse(writer, http.StatusBadRequest, refusal{Code: "BadRequest", Message: err.Error()})
		return
	}
	server.mutex.Lock()
	current, ok := server.running[identity{wanted.QueryID, wanted.Attempt}]
	server.mutex.Unlock()
	if ok {
		current.end(Cancelled)
	}
	server.write(writer, http.StatusOK, struct{ Found bool }{ok})
}

func (server *Server) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	state := "Ready"
	switch {
	case server.fault.ReportsIdle:
	case !server.leaving.IsZero():
		state = "Leaving"
	case time.Since(server.started) < server.config.WarmUpDuration:
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
