package swlabusers

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// send sends a GET request to a replica and returns the response.
func send(t *testing.T, replica *Replica, path string, header map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+replica.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response
}

// TestReplicaRecordsWhatArrives guards against rules that are checked on something else than what replicas received.
func TestReplicaRecordsWhatArrives(t *testing.T) {
	journal := NewJournal()
	journal.RecordArrivals()
	const warmUp = time.Hour
	replica, err := StartReplica(ReplicaConfig{ID: "i-1", Service: "s", Slots: 1, Journal: journal, DataCentre: "one", WarmUp: warmUp})
	if err != nil {
		t.Fatal(err)
	}
	send(t, replica, "/a", map[string]string{"X-Request-Id": "1", "X-Target-Instance": "i-1", "X-Tenant-Id": "t"})
	send(t, replica, "/b", map[string]string{"X-Request-Id": "2", "X-Target-Instance": "i-2", "X-Credential": ""})
	health := send(t, replica, "/healthz", nil)
	replica.BecomeCold(warmUp)
	send(t, replica, "/c", map[string]string{"X-Request-Id": "3", "X-Target-Instance": "i-1"})
	// Close waits until every connection has been handled.
	replica.Close()
	left, err := strconv.Atoi(health.Header.Get("X-Warmup-Ms"))
	if err != nil || health.StatusCode != http.StatusOK || left <= 0 || left > int(warmUp.Milliseconds()) {
		t.Errorf("the health check got %s with the warm-up %d, %v", health.Status, left, err)
	}
	if got := replica.Entry("127.0.0.1:9", "one", "ready", 1)["warmup_left_ms"].(int64); got <= 0 || got > warmUp.Milliseconds() {
		t.Errorf("the entry's warm-up is %d ms", got)
	}
	var got []Arrival
	// A request is recorded after its response has been written, so the next one, on another connection, may be recorded before it.
	arrivals := slices.SortedFunc(slices.Values(journal.Arrivals()), func(a, b Arrival) int { return a.At.Compare(b.At) })
	for _, arrival := range arrivals {
		if arrival.At.IsZero() || arrival.ColdSince.IsZero() {
			t.Errorf("%+v lacks a time", arrival)
		}
		arrival.At, arrival.ColdSince = time.Time{}, time.Time{}
		got = append(got, arrival)
	}
	want := []Arrival{
		{RequestID: "1", Path: "/a", Replica: "i-1", DataCentre: "one", Tenants: []string{"t"}, Ran: true},
		{RequestID: "2", Path: "/b", Replica: "i-1", DataCentre: "one", Credential: true, Misdirected: true},
		{Path: "/healthz", Replica: "i-1", DataCentre: "one"},
		{RequestID: "3", Path: "/c", Replica: "i-1", DataCentre: "one", Ran: true, ColdInUse: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error("arrivals (-want +got):\n" + diff)
	}
}

// TestReplicaWithoutRecordingIsAsBefore guards against a change of what replicas answer in runs that don't use the features.
func TestReplicaWithoutRecordingIsAsBefore(t *testing.T) {
	journal := NewJournal()
	replica, err := StartReplica(ReplicaConfig{ID: "i-1", Service: "s", Slots: 1, Journal: journal})
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	health := send(t, replica, "/healthz", nil)
	if health.StatusCode != http.StatusBadRequest || health.Header.Get("X-Warmup-Ms") != "" {
		t.Errorf("the health check got %s", health.Status)
	}
	if diff := cmp.Diff(int64(0), replica.Entry("127.0.0.1:9", "one", "ready", 1)["warmup_left_ms"]); diff != "" {
		t.Error("warm-up of the entry (-want +got):\n" + diff)
	}
	if diff := cmp.Diff([]Arrival(nil), journal.Arrivals()); diff != "" {
		t.Error("arrivals (-want +got):\n" + diff)
	}
}
