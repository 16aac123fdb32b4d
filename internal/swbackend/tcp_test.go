package swbackend

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swindex"
)

func TestExecuteOverTCP(t *testing.T) {
	var mutex sync.Mutex
	var got []searchRequest
	backend := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, message *http.Request) {
		var request searchRequest
		if err := json.NewDecoder(message.Body).Decode(&request); err != nil || message.Method != http.MethodPost {
			http.Error(writer, "{}", http.StatusBadRequest)
			return
		}
		mutex.Lock()
		got = append(got, request)
		mutex.Unlock()
		answer := echo(request)
		if err := json.NewEncoder(writer).Encode(answer.body); err != nil {
			t.Error(err)
		}
	}))
	defer backend.Close()
	pool := NewPool(Config{})
	defer pool.Close()
	address := netip.MustParseAddrPort(backend.Listener.Addr().String())
	pool.SetServers([]swindex.Server{{Name: serverName, Address: address, Slots: 2, Connections: 25}})
	subRequest := newSubRequest(time.Minute)
	answer := pool.Execute(t.Context(), subRequest)
	want := Answer{Code: answer.Code, Ran: answer.Ran, Hits: []Hit{{ID: "a", Score: 1, Shard: subRequest.Shard}}, QueueWait: answer.QueueWait, Service: answer.Service}
	if diff := cmp.Diff(want, answer); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	wantRequest := searchRequest{
		QueryID: "0000000000000007", Attempt: "0000000000000009", Index: "desk", Snapshot: "s1", Shard: 3,
		Kind: "balance-check", Query: "a", Limit: 5, Caller: "treasurer-desk",
	}
	mutex.Lock()
	defer mutex.Unlock()
	if len(got) != 1 {
		t.Fatalf("the server got %d requests", len(got))
	}
	if timeout, err := time.ParseDuration(got[0].Timeout); err != nil || timeout <= 0 || timeout > time.Minute {
		t.Errorf("timeout %q", got[0].Timeout)
	}
	got[0].Timeout = ""
	if diff := cmp.Diff(wantRequest, got[0]); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
}
