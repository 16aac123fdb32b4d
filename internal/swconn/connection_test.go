package swconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// endpoint is a connection under test together with the server's side of it.
type endpoint struct {
	*Connection
	server *net.TCPConn
	closed chan error
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	endpoint := &endpoint{server: server.(*net.TCPConn), closed: make(chan error, 1)}
	endpoint.Connection = New(client, Limits{}, Hooks{OnClose: func(_ *Connection, err error) { endpoint.closed <- err }})
	group := swgroup.New(context.Background())
	group.Go(endpoint.ReadLoop)
	t.Cleanup(func() {
		endpoint.Close()
		server.Close()
		group.Stop()
	})
	return endpoint
}

func (endpoint *endpoint) write(t *testing.T, text string) {
	t.Helper()
	if _, err := endpoint.server.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func (endpoint *endpoint) send(t *testing.T, id string) <-chan Result {
	t.Helper()
	results, sent, err := endpoint.Send(&Request{
		Method:  "GET",
		Data:    []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		WriteBy: time.Now().Add(time.Minute),
		ReadBy:  time.Now().Add(time.Minute),
		Accept:  func(_ int, header http.Header) bool { return header.Get("Id") == id },
	})
	if err != nil || !sent {
		t.Fatalf("sent is %t, error %v", sent, err)
	}
	if _, err := http.ReadRequest(bufio.NewReader(endpoint.server)); err != nil {
		t.Fatal(err)
	}
	return results
}

const responseA = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\nKeep-Alive: timeout=7\r\n\r\nabc"

func TestSendReturnsTheCompleteResponse(t *testing.T) {
	endpoint := newEndpoint(t)
	results := endpoint.send(t, "a")
	endpoint.write(t, "HTTP/1.1 100 Continue\r\n\r\n"+responseA)
	result := <-results
	if result.Err != nil {
		t.Fatal(result.Err)
	}
	if diff := cmp.Diff("abc", string(result.Response.Body)); diff != "" {
		t.Error("body (-want +got):\n" + diff)
	}
	if diff := cmp.Diff(7*time.Second, endpoint.KeepAliveTimeout()); diff != "" {
		t.Error("idle limit (-want +got):\n" + diff)
	}
}

func TestResponseToAnEarlierRequestIsDropped(t *testing.T) {
	endpoint := newEndpoint(t)
	results := endpoint.send(t, "a")
	endpoint.write(t, "HTTP/1.1 200 OK\r\nId: z\r\nContent-Length: 3\r\n\r\nzzz"+responseA)
	result := <-results
	if result.Err != nil {
		t.Fatal(result.Err)
	}
	if diff := cmp.Diff("abc", string(result.Response.Body)); diff != "" {
		t.Error("body (-want +got):\n" + diff)
	}
}

func TestSecondResponseMakesTheConnectionUnusable(t *testing.T) {
	endpoint := newEndpoint(t)
	results := endpoint.send(t, "a")
	endpoint.write(t, responseA+responseA)
	if result := <-results; result.Err != nil {
		t.Fatal(result.Err)
	}
	if err := <-endpoint.closed; !errors.Is(err, ErrUnsolicited) {
		t.Errorf("ended with %v, want %v", err, ErrUnsolicited)
	}
	if endpoint.Usable() {
		t.Error("the connection is usable after unsolicited data")
	}
}

func TestIncompleteResponsesAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":   "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 30\r\n\r\nabc",
		"truncated chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"truncated header": "HTTP/1.1 200 OK\r\nId: a",
		"not HTTP":         "\x00\x01garbage\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newEndpoint(t)
			results := endpoint.send(t, "a")
			endpoint.write(t, text)
			endpoint.server.Close()
			if result := <-results; result.Err == nil {
				t.Errorf("response %+v, want an error", result.Response)
			}
		})
	}
}

func TestResponseWithoutLengthIsCompleteOnlyAfterACleanClose(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			endpoint := newEndpoint(t)
			results := endpoint.send(t, "a")
			endpoint.write(t, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nabc")
			if reset {
				if err := endpoint.server.SetLinger(0); err != nil {
					t.Fatal(err)
				}
			}
			endpoint.server.Close()
			result := <-results
			if got := result.Err != nil; got != reset {
				t.Errorf("error %v, want an error: %t", result.Err, reset)
			}
		})
	}
}

// TestResponseCutAnywhereIsNotComplete guards against a success with an empty or short body that looks whole, because the server stopped
// in the middle of its response and closed the connection.
func TestResponseCutAnywhereIsNotComplete(t *testing.T) {
	for name, response := range map[string]string{
		"with a length":  responseA,
		"in chunks":      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"without either": "HTTP/1.1 200 OK\r\nId: a\r\nServer: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for length := range len(response) {
				endpoint := newEndpoint(t)
				results := endpoint.send(t, "a")
				endpoint.write(t, response[:length])
				endpoint.server.Close()
				if result := <-results; result.Err == nil {
					t.Errorf("a response cut after %q was complete: %+v", response[:length], result.Response)
				}
			}
		})
	}
}
