package swplatform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := New(Config{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func respondWith(status int, body string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		fmt.Fprint(writer, body)
	}
}

func TestCallsFollowTheProtocol(t *testing.T) {
	const object = `{"Kind":"Rules","Name":"main","Version":3,"Revision":9,"Value":{"Text":"x"}}`
	want := Object{Kind: "Rules", Name: "main", Version: 3, Position: Position{Revision: 9}, Value: json.RawMessage(`{"Text":"x"}`)}
	tests := []struct {
		name, line, ifMatch, ifNoneMatch, body string
		status                                 int
		call                                   func(ctx context.Context, client *Client) (any, error)
		want                                   any
	}{
		{
			name: "get", line: "GET /v1/objects/Rules/main", status: 200, body: object, want: want,
			call: func(ctx context.Context, client *Client) (any, error) { return client.Get(ctx, "Rules", "main") },
		},
		{
			name: "escaped name", line: "GET /v1/objects/Rules/a%2Fb", status: 200, body: object, want: want,
			call: func(ctx context.Context, client *Client) (any, error) { return client.Get(ctx, "Rules", "a/b") },
		},
		{
			name: "create", line: "PUT /v1/objects/Rules/main", ifNoneMatch: "*", status: 201, body: object, want: want,
			call: func(ctx context.Context, client *Client) (any, error) {
				return client.Create(ctx, "Rules", "main", []byte("{}"))
			},
		},
		{
			name: "update", line: "PUT /v1/objects/Rules/main", ifMatch: `"2"`, status: 200, body: object, want: want,
			call: func(ctx context.Context, client *Client) (any, error) {
				return client.Update(ctx, "Rules", "main", 2, []byte("{}"))
			},
		},
		{
			name: "delete", line: "DELETE /v1/objects/Rules/main", ifMatch: `"3"`, status: 204, want: nil,
			call: func(ctx context.Context, client *Client) (any, error) {
				return nil, client.Delete(ctx, "Rules", "main", 3)
			},
		},
		{
			name: "list", line: "GET /v1/objects/Status?Prefix=ma", status: 200,
			body: `{"Revision":9,"Objects":[{"Name":"maule","Version":4}]}`,
			want: []ObjectVersion{{Name: "maule", Version: 4}},
			call: func(ctx context.Context, client *Client) (any, error) {
				_, objects, err := client.List(ctx, "Status", "ma")
				return objects, err
			},
		},
		{
			name: "watch with a change", line: "GET /v1/watch/Rules?After=8&Wait=30s", status: 200,
			body: `{"Revision":9,"Objects":[` + object + `]}`,
			want: WatchResult{Revision: 9, Objects: []Object{want}},
			call: func(ctx context.Context, client *Client) (any, error) {
				return client.Watch(ctx, "Rules", 8, 30*time.Second)
			},
		},
		{
			name: "watch without a change", line: "GET /v1/watch/Rules?After=8&Wait=1s", status: 204,
			want: WatchResult{Revision: 8},
			call: func(ctx context.Context, client *Client) (any, error) {
				return client.Watch(ctx, "Rules", 8, time.Second)
			},
		},
		{
			name: "VMs, one with a malformed address", line: "GET /v1/vms?DataCentre=maule", status: 200,
			body: `{"VMs":[{"Name":"a","Role":"Entry","DataCentre":"maule","Region":"sur","Peer":"127.0.0.1:7001","Caller":"nowhere","State":"Live"},
				{"Name":"b","Role":"Backend","Peer":"","Caller":"","State":"Leaving"}]}`,
			want: []VM{
				{Name: "a", Role: RoleEntry, DataCentre: "maule", Region: "sur", Peer: netip.MustParseAddrPort("127.0.0.1:7001"), State: StateLive},
				{Name: "b", Role: RoleBackend, State: StateLeaving},
			},
			call: func(ctx context.Context, client *Client) (any, error) { return client.VMs(ctx, "maule") },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var line, ifMatch, ifNoneMatch string
			client := newTestClient(t, func(writer http.ResponseWriter, request *http.Request) {
				line = request.Method + " " + request.RequestURI
				ifMatch = request.Header.Get("If-Match")
				ifNoneMatch = request.Header.Get("If-None-Match")
				respondWith(test.status, test.body)(writer, request)
			})
			got, err := test.call(t.Context(), client)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
				t.Error("result (-want +got):\n" + diff)
			}
			if diff := cmp.Diff([]string{test.line, test.ifMatch, test.ifNoneMatch}, []string{line, ifMatch, ifNoneMatch}); diff != "" {
				t.Error("request (-want +got):\n" + diff)
			}
		})
	}
}

func TestFailedCallsReturnTheirReason(t *testing.T) {
	get := func(ctx context.Context, client *Client) error {
		_, err := client.Get(ctx, "Rules", "main")
		return err
	}
	update := func(ctx context.Context, client *Client) error {
		_, err := client.Update(ctx, "Rules", "main", 1, []byte("{}"))
		return err
	}
	watch := func(ctx context.Context, client *Client) error {
		_, err := client.Watch(ctx, "Rules", 1, time.Second)
		return err
	}
	closeConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name    string
		handler http.HandlerFunc
		call    func(ctx context.Context, client *Client) error
		want    error
	}{
		{"read of a missing object", respondWith(404, ""), get, ErrNotFound},
		{"read while the store is down", respondWith(503, ""), get, ErrUnavailable},
		{"read with a failing store", respondWith(500, ""), get, ErrUnavailable},
		{"read with a malformed response", respondWith(200, "{"), get, ErrMalformedResponse},
		{"read without a response", closeConnection, get, ErrUnavailable},
		{"read with a redirect", respondWith(302, ""), get, ErrMalformedResponse},
		{"watch from a revision no longer kept", respondWith(410, ""), watch, ErrRevisionTooOld},
		{"write conditional on another version", respondWith(412, ""), update, ErrConflict},
		{"write while the store is down", respondWith(503, ""), update, ErrUnavailable},
		{"write with a failing store", respondWith(500, ""), update, ErrOutcomeUnknown},
		{"write with a gateway timeout", respondWith(504, ""), update, ErrOutcomeUnknown},
		{"write with a malformed response", respondWith(200, "{"), update, ErrOutcomeUnknown},
		{"write without a response", closeConnection, update, ErrOutcomeUnknown},
		{"malformed write", respondWith(400, ""), update, ErrRejected},
		{"write above the size limit", respondWith(200, "{}"), func(ctx context.Context, client *Client) error {
			_, err := client.Create(ctx, "Rules", "main", make([]byte, MaxValueSize+1))
			return err
		}, ErrRejected},
		{"write of another package's object above the size limit", respondWith(200, "{}"), func(ctx context.Context, client *Client) error {
			_, err := client.Write(ctx, Request{Operation: "put", Kind: "k", Method: http.MethodPut, Body: make([]byte, MaxValueSize+1)}, nil)
			return err
		}, ErrRejected},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(t, test.handler)
			if err := test.call(t.Context(), client); !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
		})
	}
}

func TestWriteWithoutAConnectionIsUnavailable(t *testing.T) {
	client, err := New(Config{URL: "http://platform", Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") },
	}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Create(t.Context(), "Rules", "main", []byte("{}")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("error is %v, want %v", err, ErrUnavailable)
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (roundTripper roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	return roundTripper(request)
}

func TestWriteOverATransportWithoutTracingHasUnknownOutcome(t *testing.T) {
	client, err := New(Config{URL: "http://platform", Transport: roundTripper(func(*http.Request) (*http.Response, error) {
		return nil, io.ErrUnexpectedEOF
	})})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Create(t.Context(), "Rules", "main", []byte("{}")); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("error is %v, want %v", err, ErrOutcomeUnknown)
	}
}

// pipeDialer connects to an in-memory platform that never responds to watches of 20 s.
type pipeDialer struct {
	t     *testing.T
	group *swgroup.Group
	dials int
}

func (dialer *pipeDialer) dial(context.Context, string, string) (net.Conn, error) {
	dialer.dials++
	clientConn, serverConn := net.Pipe()
	dialer.group.Go(func(context.Context) {
		defer serverConn.Close()
		reader := bufio.NewReader(serverConn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if request.URL.Query().Get("Wait") == "20s" {
				// The copy ends when the client closes its end of the pipe.
				if _, err := io.Copy(io.Discard, reader); err != nil {
					dialer.t.Error(err)
				}
				return
			}
			fmt.Fprint(serverConn, "HTTP/1.1 204 No Content\r\n\r\n")
		}
	})
	return clientConn, nil
}

func TestUnresponsiveWatchTimesOutAndTheNextOneRedials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Wait()
		dialer := &pipeDialer{t: t, group: group}
		transport := &http.Transport{DialContext: dialer.dial}
		client, err := New(Config{URL: "http://platform", Timeout: 2 * time.Second, Transport: transport})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		if _, err := client.Watch(t.Context(), "Rules", 1, time.Second); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := client.Watch(t.Context(), "Rules", 1, 20*time.Second); !errors.Is(err, ErrUnavailable) {
			t.Errorf("error is %v, want %v", err, ErrUnavailable)
		}
		if diff := cmp.Diff(22*time.Second, time.Since(start)); diff != "" {
			t.Error("time until the watch fails (-want +got):\n" + diff)
		}
		if _, err := client.Watch(t.Context(), "Rules", 1, time.Second); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(2, dialer.dials); diff != "" {
			t.Error("dials (-want +got):\n" + diff)
		}
	})
}

func TestTimeoutClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := swgroup.New(context.Background())
		defer group.Wait()
		dialer := &pipeDialer{t: t, group: group}
		transport := &http.Transport{DialContext: dialer.dial}
		client, err := New(Config{URL: "http://platform", Timeout: 2 * time.Second, Transport: transport})
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		watches := swgroup.New(t.Context())
		watches.Go(func(ctx context.Context) {
			if _, err := client.Watch(ctx, "Rules", 1, 20*time.Second); !errors.Is(err, ErrUnavailable) {
				t.Errorf("error is %v, want %v", err, ErrUnavailable)
			}
		})
		synctest.Wait()
		if _, err := client.Watch(t.Context(), "Status", 1, time.Second); err != nil {
			t.Fatal(err)
		}
		watches.Wait()
		if _, err := client.Watch(t.Context(), "Rules", 1, time.Second); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(3, dialer.dials); diff != "" {
			t.Error("dials (-want +got):\n" + diff)
		}
	})
}
