package swbody

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestClientThatSendsItsWholeBodyFirstReadsTheRefusal guards against a reset that discards the refusal: the client sends 9 MiB to
// a handler that accepts 64 KiB, and only then reads.
func TestClientThatSendsItsWholeBodyFirstReadsTheRefusal(t *testing.T) {
	const size = 9 << 20
	for name, header := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", size),
		"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(DrainBody(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				request.Body = http.MaxBytesReader(writer, request.Body, 64<<10)
				if _, err := io.ReadAll(request.Body); err != nil {
					writer.WriteHeader(http.StatusRequestEntityTooLarge)
				}
			})))
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			request := append([]byte("POST / HTTP/1.1\r\nHost: x\r\n"+header), make([]byte, size)...)
			if _, err := conn.Write(append(request, "\r\n0\r\n\r\n"...)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if diff := cmp.Diff(http.StatusRequestEntityTooLarge, response.StatusCode); diff != "" {
				t.Error("status (-want +got):\n" + diff)
			}
		})
	}
}

func TestConnectionIsReusedAfterTheBodyIsRead(t *testing.T) {
	server := httptest.NewServer(DrainBody(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(writer, request.Body); err != nil {
			t.Error(err)
		}
	})))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 3 {
		if _, err := conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("abc", string(body)); diff != "" {
			t.Error("body (-want +got):\n" + diff)
		}
		response.Body.Close()
	}
}
