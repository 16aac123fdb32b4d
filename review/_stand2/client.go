package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	err     error
	elapsed time.Duration
}

// newRequestID returns the ID of a client attempt.
func newRequestID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// encodeRequest returns a request as a client sends it.
func encodeRequest(method, path, id string, deadline time.Duration, body string) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: case.example\r\n%s: %s\r\n%s: %d\r\n", method, path, names.RequestID, id, names.Deadline, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n")
	text.WriteString(body)
	return []byte(text.String())
}

// exchange sends a request on an open connection and reads the answer until the deadline.
func exchange(conn net.Conn, reader *bufio.Reader, method string, data []byte, deadline time.Duration) answer {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(deadline))
	if _, err := conn.Write(data); err != nil {
		return answer{err: err, elapsed: time.Since(began)}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, elapsed: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err, elapsed: time.Since(began)}
}

// ask sends a request on a new connection.
func ask(address, method, path, id string, deadline time.Duration, body string) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	return exchange(conn, bufio.NewReader(conn), method, encodeRequest(method, path, id, deadline, body), deadline)
}
