package swlabbackend_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
)

// longTimeout exceeds the duration of every test.
const longTimeout = time.Hour

type fixture struct {
	server   *swlabbackend.Server
	journal  *swlabbackend.Journal
	snapshot *swlabbackend.Snapshot
	client   *http.Client
}

func startFixture(t *testing.T, change func(config *swlabbackend.Config)) *fixture {
	t.Helper()
	journal := swlabbackend.NewJournal()
	config := swlabbackend.Config{
		Name: "desk-0-a", Slots: 1, MaxConnections: 8, MedianServiceTime: time.Microsecond, Seed: 1, Journal: journal,
	}
	if change != nil {
		change(&config)
	}
	server, err := swlabbackend.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	snapshot := swlabbackend.NewSnapshot(1, "desk", "s1", 3, 90)
	server.AddShards(snapshot, 0)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return &fixture{server: server, journal: journal, snapshot: snapshot, client: client}
}

func (fixture *fixture) request(id string) swlabbackend.Request {
	return swlabbackend.Request{
		QueryID: id, Attempt: id, Index: "desk", Snapshot: "s1", Query: "levy count:state tag:" + id, Limit: 5,
		Timeout: longTimeout.String(),
	}
}

// post sends a request and returns the status and the body. The status is zero when the connection broke.
func (fixture *fixture) post(path string, request any) (int, string) {
	data, err := json.Marshal(request)
	if err != nil {
		panic(err)
	}
	response, err := fixture.client.Post(fmt.Sprintf("http://%s%s", fixture.server.Address(), path), "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func TestSearchEqualsScanOfShard(t *testing.T) {
	fixture := startFixture(t, nil)
	status, body := fixture.post("/search", fixture.request("a"))
	if status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	var got swlabbackend.Result
	if err := json.Unmarshal([]byte(body), &got); err != nil {
		t.Fatal(err)
	}
	if len(got.Hits) != 5 {
		t.Errorf("%d hits, want 5", len(got.Hits))
	}
	if diff := cmp.Diff(fixture.snapshot.ScanShard(0, "levy count:state", 5), got); diff != "" {
		t.Error(diff)
	}
	records := fixture.journal.Records()
	if len(records) != 1 || records[0].Tag != "a" || records[0].Outcome != swlabbackend.Finished {
		t.Errorf("records %+v", records)
	}
}

func TestScanIsIndependentOfShardCount(t *testing.T) {
	snapshot := swlabbackend.NewSnapshot(1, "desk", "s1", 3, 90)
	repartitioned := swlabbackend.NewSnapshot(1, "desk", "s1", 4, 90)
	if diff := cmp.Diff(snapshot.Scan("levy", 100), repartitioned.Scan("levy", 100)); diff != "" {
		t.Errorf("the number of shards changes the result: %s", diff)
	}
	if got := snapshot.TotalDocuments(); got != 90 {
		t.Errorf("%d documents, want 90", got)
	}
	if cmp.Equal(snapshot.Scan("levy", 100), swlabbackend.NewSnapshot(1, "desk", "s2", 3, 90).Scan("levy", 100)) {
		t.Error("two snapshots return the same result")
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name   string
		before func(fixture *fixture, request *swlabbackend.Request)
		status int
		code   string
	}{
		{"snapshot not held", func(_ *fixture, request *swlabbackend.Request) { request.Snapshot = "s2" }, 409, "SnapshotNotHeld"},
		{"shard not held", func(_ *fixture, request *swlabbackend.Request) { request.Shard = 1 }, 409, "SnapshotNotHeld"},
		{"leaving", func(fixture *fixture, _ *swlabbackend.Request) { fixture.server.StartLeaving() }, 503, "Leaving"},
		{"shed", func(fixture *fixture, _ *swlabbackend.Request) {
			fixture.server.SetFault(swlabbackend.Fault{ShedAll: true})
		}, 503, "Shed"},
		{"late", func(fixture *fixture, request *swlabbackend.Request) {
			fixture.server.SetFault(swlabbackend.Fault{ServiceTimeFactor: 1e12})
			request.Timeout = "1ms"
		}, 504, "Late"},
		{"malformed", func(_ *fixture, request *swlabbackend.Request) { request.Timeout = "soon" }, 400, "BadRequest"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fixture := startFixture(t, nil)
			request := fixture.request("a")
			test.before(fixture, &request)
			status, body := fixture.post("/search", request)
			if status != test.status || !strings.Contains(body, `"`+test.code+`"`) {
				t.Errorf("status %d, body %s; want %d %s", status, body, test.status, test.code)
			}
		})
	}
}

// awaitLoad blocks until the response of /load contains the given JSON field.
func (fixture *fixture) awaitLoad(field string) {
	for {
		response, err := fixture.client.Get(fmt.Sprintf("http://%s/load", fixture.server.Address()))
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if strings.Contains(string(body), field) {
			return
		}
	}
}

func TestCancelEndsRunAndKeepsConnection(t *testing.T) {
	fixture := startFixture(t, nil)
	fixture.server.SetFault(swlabbackend.Fault{ServiceTimeFactor: 1e12})
	group := swgroup.New(context.Background())
	group.Go(func(context.Context) {
		fixture.awaitLoad(`"Running":1`)
		fixture.post("/cancel", fixture.request("a"))
	})
	status, _ := fixture.post("/search", fixture.request("a"))
	group.Wait()
	if status != 499 {
		t.Errorf("status %d, want 499", status)
	}
	if records := fixture.journal.Records(); len(records) != 1 || records[0].Outcome != swlabbackend.Cancelled {
		t.Errorf("records %+v", records)
	}
}

func TestCrashDropsConnectionsAndServerRestarts(t *testing.T) {
	fixture := startFixture(t, func(config *swlabbackend.Config) { config.RestartDelay = time.Millisecond })
	request := fixture.request("a")
	request.Query = "levy crash:boom"
	if status, body := fixture.post("/search", request); status != 0 {
		t.Errorf("status %d: %s", status, body)
	}
	for {
		if status, _ := fixture.post("/search", fixture.request("b")); status == http.StatusOK {
			break
		}
	}
	records := fixture.journal.Records()
	if len(records) != 2 || records[0].Outcome != swlabbackend.Crashed {
		t.Errorf("records %+v", records)
	}
}

func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	fixture := startFixture(t, func(config *swlabbackend.Config) { config.MaxConnections = 1 })
	for i, want := range []error{nil, io.EOF} {
		connection, err := net.Dial("tcp", fixture.server.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		if want == nil {
			if _, err = fmt.Fprintf(connection, "GET /health HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := connection.Read(make([]byte, 1)); err != want { //nolint:errorlint // Read returns io.EOF itself
			t.Errorf("connection %d: %v, want %v", i, err, want)
		}
	}
	if got := fixture.server.RejectedConnections(); got != 1 {
		t.Errorf("%d rejected, want 1", got)
	}
}

func TestUnresponsiveConnectionsAnswerNothingWhileNewOnesWork(t *testing.T) {
	fixture := startFixture(t, nil)
	existing, err := net.Dial("tcp", fixture.server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer existing.Close()
	for fixture.server.OpenConnections() == 0 {
		continue
	}
	fixture.server.MakeUnresponsive(false)
	if status, _ := fixture.post("/search", fixture.request("a")); status != http.StatusOK {
		t.Errorf("status %d on a new connection", status)
	}
	fmt.Fprintf(existing, "GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
	fixture.post("/search", fixture.request("b"))
	fixture.server.Close()
	if _, err := existing.Read(make([]byte, 1)); err == nil {
		t.Error("the unresponsive connection sent data")
	}
}

func TestWrongAnswers(t *testing.T) {
	fixture := startFixture(t, nil)
	fixture.server.AddShards(swlabbackend.NewSnapshot(1, "desk", "s2", 3, 90), 0)
	fixture.post("/search", fixture.request("a"))
	fixture.server.SetFault(swlabbackend.Fault{MismatchChance: 1})
	if _, body := fixture.post("/search", fixture.request("b")); !strings.Contains(body, `"QueryID":"a"`) {
		t.Errorf("the response does not belong to the previous request: %s", body)
	}
	fixture.server.SetFault(swlabbackend.Fault{WrongSnapshotChance: 1})
	if _, body := fixture.post("/search", fixture.request("c")); !strings.Contains(body, `"Snapshot":"s2"`) {
		t.Errorf("the response is not for the other snapshot: %s", body)
	}
	fixture.server.SetFault(swlabbackend.Fault{FailAsRejectionChance: 1})
	status, body := fixture.post("/search", fixture.request("d"))
	isRejection := status == http.StatusServiceUnavailable || status == http.StatusConflict
	records := fixture.journal.Records()
	if ran := len(records) == 4 && records[3].QueryID == "d"; !isRejection || !ran || !strings.Contains(body, `"QueryID":"d"`) || strings.Contains(body, "Shed") {
		t.Errorf("status %d, ran %t, response %s; want a request that ran and failed like a refused one", status, ran, body)
	}
}
