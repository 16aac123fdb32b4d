package swlabsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
)

const (
	// clientPause is the time between two requests of a client.
	clientPause = 15 * time.Millisecond
	// clientPatience is how long a client waits.
	clientPatience = 1500 * time.Millisecond
)

// attempt is one request as its client saw it.
type attempt struct {
	id   string
	once bool
	// ruled is set when the operator's rules refuse the request.
	ruled  bool
	status int
	err    error
	at     time.Time
	took   time.Duration
}

// record holds the attempts of all clients, and what was wrong.
type record struct {
	mutex    sync.Mutex
	attempts []attempt
	wrong    []string
}

func (record *record) add(attempt attempt) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.attempts = append(record.attempts, attempt)
}

func (record *record) fault(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.wrong = append(record.wrong, fmt.Sprintf(format, values...))
}

// client sends requests to one VM over connections that it keeps.
type client struct {
	name   string
	target string
	record *record
	random *rand.Rand
	http   *http.Client
	number int
}

func newClient(number int, target string, seed uint64, record *record) *client {
	return &client{
		name: fmt.Sprintf("c%d", number), target: target, record: record, random: rand.New(rand.NewPCG(seed, uint64(number))),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}},
	}
}

func (client *client) run(ctx context.Context) {
	for swtimer.Wait(ctx, time.Duration(client.random.Int64N(int64(2*clientPause)))) == nil {
		switch client.random.IntN(10) {
		case 0, 1, 2:
			client.post(ctx)
		case 3:
			client.send(ctx, http.MethodGet, fmt.Sprintf("%s%s-%d", refusedPath, client.name, client.number), "")
		default:
			client.search(ctx)
		}
	}
	client.http.CloseIdleConnections()
}

// send makes one request. net/http sends nothing again by itself: the requests have bodies that cannot be read twice.
func (client *client) send(ctx context.Context, method, path, body string) (header http.Header, read []byte, sent attempt) {
	client.number++
	sent = attempt{id: fmt.Sprintf("%s-%d", client.name, client.number), once: method == http.MethodPost, ruled: strings.HasPrefix(path, refusedPath), at: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, clientPatience+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.target+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(body))
	request.Host = "soak"
	request.Header.Set("X-Request-Id", sent.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientPatience.Milliseconds()))
	if method == http.MethodGet {
		request.Body = nil
	}
	response, err := client.http.Do(request)
	sent.err = err
	if err == nil {
		read, sent.err = io.ReadAll(response.Body)
		response.Body.Close()
		header, sent.status = response.Header, response.StatusCode
	}
	sent.took = time.Since(sent.at)
	client.record.add(sent)
	return header, read, sent
}

func (client *client) post(ctx context.Context) {
	path, body := fmt.Sprintf("/post/%s-%d", client.name, client.number), strings.Repeat("x", client.random.IntN(2000))
	header, read, sent := client.send(ctx, http.MethodPost, path, body)
	if sent.err != nil || sent.status != http.StatusOK {
		return
	}
	service, _, _ := strings.Cut(header.Get("X-Server-Stamp"), ".")
	if header.Get("X-Server-Stamp") != swlabusers.Stamp(service, sent.id) {
		client.record.fault("MIXED: %s has the signature %q", sent.id, header.Get("X-Server-Stamp"))
	}
	if !bytes.Equal(read, swlabusers.EchoDigest(service, http.MethodPost, path, []byte(body))) {
		client.record.fault("MIXED: %s has the body of another request", sent.id)
	}
}

func (client *client) search(ctx context.Context) {
	path := fmt.Sprintf("/search/%s-%d", client.name, client.number)
	header, read, sent := client.send(ctx, http.MethodGet, path, "")
	if sent.err != nil || sent.status != http.StatusOK {
		return
	}
	if problem := checkGathered(header, read, sent.id, path); problem != "" {
		client.record.fault("MIXED: %s %s", sent.id, problem)
	}
}

// checkGathered tells what is wrong with a gathered answer.
func checkGathered(header http.Header, body []byte, id, path string) string {
	stamps := strings.Split(header.Get("X-Part-Stamps"), ", ")
	if got := fmt.Sprint(shards - len(stamps)); header.Get("X-Missing-Parts") != got {
		return fmt.Sprintf("names %d parts and %s missing", len(stamps), header.Get("X-Missing-Parts"))
	}
	if len(stamps)*4 < shards*3 {
		return fmt.Sprintf("has %d parts only", len(stamps))
	}
	var records [][]byte
	seen := make(map[string]bool)
	for _, stamp := range stamps {
		service, _, _ := strings.Cut(stamp, ".")
		if stamp != swlabusers.Stamp(service, id) || seen[service] || !strings.HasPrefix(service, "shard-") {
			return "has the part " + stamp
		}
		seen[service] = true
		part := swlabusers.PartRecords(service, path)
		for ; len(part) > 0; part = part[swlabusers.RecordSize:] {
			records = append(records, part[:swlabusers.RecordSize])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	const top = 10
	if !bytes.Equal(body, bytes.Join(records[:top], nil)) {
		return "is not the greatest records of its parts"
	}
	return ""
}
