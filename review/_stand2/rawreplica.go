package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// rawReplica is a stand-in of a backend server that writes its responses itself, so that it can write bytes that belong to no response.
type rawReplica struct {
	*replica
	listener net.Listener
	// strayShare is the share of the requests before whose response a copy of the connection's latest rejection is sent, cut short at a random byte.
	strayShare float64
	strays     atomic.Int64
}

func startRawReplica(id, service, zone string, slots, queue int, work time.Duration) (*rawReplica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw := &rawReplica{listener: listener, replica: &replica{
		id: id, service: service, zone: zone, work: work, born: time.Now().UnixMilli(), address: listener.Addr().String(),
		slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+queue), runs: make(map[string]int), works: make(map[string]int),
	}}
	tasks.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { raw.serve(conn) })
		}
	})
	return raw, nil
}

// rejection returns the response to a request that the replica rejects because it is full. echo is the header line with the request's ID.
func rejection(echo string) string {
	date := time.Now().UTC().Format(http.TimeFormat)
	return "HTTP/1.1 503 Service Unavailable\r\n" + names.NotRun + ": 1\r\nDate: " + date + "\r\n" + echo + "Content-Length: 0\r\n\r\n"
}

// serve answers the requests of a connection, one at a time.
func (raw *rawReplica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	latestRejection := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		work, err := readWork(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(names.RequestID)
		echo := names.RequestID + ": " + id + "\r\n"
		if request.Header.Get(names.Instance) != raw.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", echo)
			continue
		}
		select {
		case raw.queue <- struct{}{}:
		default:
			latestRejection = rejection(echo)
			fmt.Fprint(conn, latestRejection)
			continue
		}
		if latestRejection != "" && rand.Float64() < raw.strayShare {
			raw.strays.Add(1)
			fmt.Fprint(conn, latestRejection[:1+rand.IntN(len(latestRejection)-1)])
			latestRejection = ""
		}
		raw.slots <- struct{}{}
		raw.mutex.Lock()
		raw.runs[id]++
		run := raw.runs[id]
		raw.works[work]++
		raw.mutex.Unlock()
		raw.total.Add(1)
		time.Sleep(raw.work)
		<-raw.slots
		<-raw.queue
		body := records(raw.id)
		response := "HTTP/1.1 200 OK\r\n" + names.Stamp + ": " + strings.Join([]string{raw.id, id, strconv.Itoa(run)}, ".") + "\r\n" + echo +
			"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
		if _, err := conn.Write(append([]byte(response), body...)); err != nil {
			return
		}
	}
}
