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
	// meanClientPause is the mean pause between two requests of a client.
	meanClientPause = 15 * time.Millisecond
	// clientTimeout is the deadline that clients send with a request. They wait one second longer for the response.
	clientTimeout = 1500 * time.Millisecond
)

// request is one request and its result as the client saw it.
type request struct {
	// id is the value of the X-Request-Id header.
	id string
	// runsAtMostOnce is set for POST requests. Their route is unsafe, so at most one replica may run each of them.
	runsAtMostOnce bool
	// refusals are the statuses that a feature makes the right answer, as 429 to a tenant over its quota.
	refusals []int
	// refusedByRule is set when the operator's rules refuse the request.
	refusedByRule bool
	status        int
	err           error
	sentAt        time.Time
	latency       time.Duration
}

// results collects the requests of all clients and the violations of guarantees that were found.
type results struct {
	mutex      sync.Mutex
	requests   []request
	violations []string
	// watches holds the IDs of the requests of watchConfiguration.
	watches map[string]bool
	// recorder is nil without features.
	recorder *recorder
}

func (results *results) add(request request) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	results.requests = append(results.requests, request)
}

func (results *results) addViolation(format string, values ...any) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	results.violations = append(results.violations, fmt.Sprintf(format, values...))
}

// client sends requests to one VM and reuses its connections.
type client struct {
	number       int
	name         string
	target       string
	results      *results
	random       *rand.Rand
	http         *http.Client
	requestCount int
}

func newClient(number int, target string, seed uint64, results *results) *client {
	return &client{
		number: number, name: fmt.Sprintf("c%d", number), target: target, results: results, random: rand.New(rand.NewPCG(seed, uint64(number))),
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
}

func (client *client) run(ctx context.Context) {
	for swtimer.Wait(ctx, time.Duration(client.random.Int64N(int64(2*meanClientPause)))) == nil {
		if client.results.recorder != nil && client.sendToFeature(ctx) {
			continue
		}
		switch client.random.IntN(10) {
		case 0, 1, 2:
			client.post(ctx)
		case 3:
			client.send(ctx, http.MethodGet, fmt.Sprintf("%s%s-%d", refusedPath, client.name, client.requestCount), "")
		default:
			client.gather(ctx, "/search/")
		}
	}
	client.http.CloseIdleConnections()
}

// send sends one request and records its result. net/http cannot resend a POST by itself, because the body cannot be read twice.
func (client *client) send(ctx context.Context, method, path, body string) (header http.Header, responseBody []byte, sent request) {
	client.requestCount++
	sent = request{
		id: fmt.Sprintf("%s-%d", client.name, client.requestCount), runsAtMostOnce: method == http.MethodPost,
		refusedByRule: strings.HasPrefix(path, refusedPath), sentAt: time.Now(),
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.target+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(body))
	request.Host = "soak"
	request.Header.Set("X-Request-Id", sent.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if method == http.MethodGet {
		request.Body = nil
	}
	client.addTenant(request, &sent)
	response, err := client.http.Do(request)
	sent.err = err
	if err == nil {
		responseBody, sent.err = io.ReadAll(response.Body)
		response.Body.Close()
		header, sent.status = response.Header, response.StatusCode
	}
	sent.latency = time.Since(sent.sentAt)
	client.results.add(sent)
	return header, responseBody, sent
}

func (client *client) post(ctx context.Context) {
	path, body := fmt.Sprintf("/post/%s-%d", client.name, client.requestCount), strings.Repeat("x", client.random.IntN(2000))
	header, responseBody, sent := client.send(ctx, http.MethodPost, path, body)
	if sent.err != nil || sent.status != http.StatusOK {
		return
	}
	service, _, _ := strings.Cut(header.Get("X-Server-Stamp"), ".")
	if header.Get("X-Server-Stamp") != swlabusers.Stamp(service, sent.id) {
		client.results.addViolation("MIXED: the response to %s has the stamp %q", sent.id, header.Get("X-Server-Stamp"))
	}
	if !bytes.Equal(responseBody, swlabusers.EchoDigest(service, http.MethodPost, path, []byte(body))) {
		client.results.addViolation("MIXED: the response to %s has the body of another request", sent.id)
	}
}

// gather sends a GET request to a gathered route.
func (client *client) gather(ctx context.Context, prefix string) {
	path := fmt.Sprintf("%s%s-%d", prefix, client.name, client.requestCount)
	header, responseBody, sent := client.send(ctx, http.MethodGet, path, "")
	if sent.err != nil || sent.status != http.StatusOK {
		return
	}
	if problem := checkGatheredResponse(header, responseBody, sent.id, path); problem != "" {
		client.results.addViolation("MIXED: the response to %s %s", sent.id, problem)
	}
}

// checkGatheredResponse returns what is wrong with a response that was gathered from shards, or the empty string.
func checkGatheredResponse(header http.Header, body []byte, id, path string) string {
	stamps := strings.Split(header.Get("X-Part-Stamps"), ", ")
	if wantMissing := fmt.Sprint(shardCount - len(stamps)); header.Get("X-Missing-Parts") != wantMissing {
		return fmt.Sprintf("names %d parts and says that %s are missing", len(stamps), header.Get("X-Missing-Parts"))
	}
	if len(stamps)*4 < shardCount*3 {
		return fmt.Sprintf("has only %d parts", len(stamps))
	}
	var records [][]byte
	seen := make(map[string]bool)
	for _, stamp := range stamps {
		service, _, _ := strings.Cut(stamp, ".")
		if stamp != swlabusers.Stamp(service, id) || seen[service] || !strings.HasPrefix(service, "shard-") {
			return "has the wrong part " + stamp
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
		return "does not hold the greatest records of its parts"
	}
	return ""
}
