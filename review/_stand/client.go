package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// call is what a client asks for.
type call struct {
	method, host, path, route string
	body                      []byte
	timeout                   time.Duration
}

// connectTimeout is how long a client waits for a new connection.
const connectTimeout = time.Second

// client stands in for one client, which has one request at a time. It keeps its connection to one gateway.
type client struct {
	run      *run
	gateways []string
	conn     net.Conn
	reader   *bufio.Reader
}

var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%08x%08x", rand.Uint32(), lastID.Add(1))
}

// do sends a call, and sends it once more on a new connection if the answer promises that it has not run.
func (client *client) do(call *call) {
	deadline := time.Now().Add(call.timeout)
	for attempt := range 2 {
		status, retryAfter := client.attempt(call, deadline)
		if attempt > 0 || status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return
		}
		client.disconnect()
		wait := min(retryAfter, time.Until(deadline)/3)
		time.Sleep(wait)
		if time.Until(deadline) < 50*time.Millisecond {
			return
		}
	}
}

func (client *client) disconnect() {
	if client.conn != nil {
		client.conn.Close()
		client.conn = nil
	}
}

// attempt sends one request and records its answer.
func (client *client) attempt(call *call, deadline time.Time) (status int, retryAfter time.Duration) {
	if client.conn == nil {
		conn, err := net.DialTimeout("tcp", client.gateways[rand.IntN(len(client.gateways))], connectTimeout)
		if err != nil {
			return 0, 0
		}
		client.conn, client.reader = conn, bufio.NewReader(conn)
	}
	id := newID()
	journal := client.run.journal
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", call.method, call.path, call.host,
		wire.RequestID, id, wire.Deadline, time.Until(deadline).Milliseconds(), len(call.body))
	buffer.Write(call.body)
	journal.update(id, func(entry *entry) { entry.route, entry.sentAt = call.route, journal.now() })
	end := func(status int, note string) {
		journal.update(id, func(entry *entry) { entry.status, entry.note, entry.answeredAt = status, note, journal.now() })
	}
	_ = client.conn.SetDeadline(deadline)
	if _, err := client.conn.Write(buffer.Bytes()); err != nil {
		end(0, " write failed")
		client.disconnect()
		return 0, 0
	}
	leaves := client.run.leaves()
	if leaves {
		// The client ends its sending side and reads what still comes until the gateway closes the connection.
		conn, delay := client.conn.(*net.TCPConn), time.Duration(rand.Float64()*float64(leaveWithin))
		timer := time.AfterFunc(delay, func() {
			journal.update(id, func(entry *entry) { entry.leftAt = journal.now() })
			_ = conn.CloseWrite()
		})
		defer timer.Stop()
		defer client.disconnect()
	}
	response, err := http.ReadResponse(client.reader, &http.Request{Method: call.method})
	if err != nil {
		end(0, " no answer")
		client.disconnect()
		return 0, 0
	}
	_, err = io.ReadAll(response.Body)
	if err != nil {
		end(0, " body broke off")
		client.disconnect()
		return 0, 0
	}
	note := ""
	if response.StatusCode < http.StatusMultipleChoices && response.Header.Get(wire.Stamp) == "" {
		note = " without a stamp"
	}
	end(response.StatusCode, note)
	if response.Close {
		client.disconnect()
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0.1
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// load sends calls at a rate per second from a pool of clients until the time is over. A call waits for a free client.
func (run *run) load(gateways []string, clients int, rate float64, duration time.Duration, next func() *call) {
	pool := make(chan *client, clients)
	for range clients {
		pool <- &client{run: run, gateways: gateways}
	}
	ends := time.Now().Add(duration)
	for time.Now().Before(ends) && run.ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		client := <-pool
		call := next()
		run.goroutine(func() {
			client.do(call)
			pool <- client
		})
	}
	for range clients {
		client := <-pool
		client.disconnect()
	}
}
