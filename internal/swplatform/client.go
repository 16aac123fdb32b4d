// Package swplatform is the client of the platform's object API: versions, conditional updates, watches and the VM list.
package swplatform

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

const (
	// defaultTimeout bounds calls when Config gives no timeout.
	defaultTimeout = 2 * time.Second
	// idleConnections is the number of unused connections that a client keeps.
	idleConnections = 4
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 30 * time.Second
	// keepAlive is the time between two probes of a connection that waits for an answer, keepAliveCount the number of probes
	// without a reply that end it: a watch whose connection went silent is found within about three seconds.
	keepAlive      = time.Second
	keepAliveCount = 2
	// maxAnswer is the largest answer that is read, in bytes.
	maxAnswer = 64 << 20
)

// Config holds what a Client is built from.
type Config struct {
	// URL is the base URL of the object API.
	URL string
	// Timeout bounds each call; a watch may take that much longer than it waits. The default is 2 s.
	Timeout time.Duration
	// Transport carries the calls. When it is nil, the client makes its own.
	Transport http.RoundTripper
	// OnCall is told of each finished call; it may be nil.
	OnCall func(Call)
}

// Call describes a finished call for metrics.
type Call struct {
	// Operation is get, list, create, update, delete, watch or vms.
	Operation string
	// Kind is the kind of object, empty for vms.
	Kind    string
	Elapsed time.Duration
	// Err is nil for a success.
	Err error
}

// Client calls the object API. It makes no retries of its own. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL
	http   *http.Client
	// lists holds the last VM list of each data centre.
	lists *swtable.Table[string, vmList]
}

// New returns a client. It fails on a malformed URL and does not call the platform.
func New(config Config) (*Client, error) {
	base, err := url.Parse(config.URL)
	if err != nil {
		return nil, errors.Wrap(err, "parse platform URL")
	}
	if base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, errors.Errorf("platform URL %q is not of the form http://host:port", config.URL)
	}
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Transport == nil {
		config.Transport = newTransport(config.Timeout)
	}
	return &Client{
		config: config,
		base:   base,
		lists:  swtable.New[string, vmList](),
		http: &http.Client{
			Transport:     config.Transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// newTransport keeps to HTTP/1.1, where a call that is given up closes its own connection and no other call's.
func newTransport(timeout time.Duration) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveCount,
	}}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: timeout,
		Protocols:           protocols,
	}
}

// Close closes the connections that are not in use.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// Get reads one object.
func (client *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := client.read(ctx, request{
		operation: "get", method: http.MethodGet, kind: kind, name: name,
		path: []string{"v1", "objects", kind, name},
	}, &object)
	return object, err
}

// List returns the store's revision and the names and versions of the objects of a kind whose names start with prefix.
func (client *Client) List(ctx context.Context, kind, prefix string) (uint64, []ObjectVersion, error) {
	var answer struct {
		Revision uint64
		Objects  []ObjectVersion
	}
	err := client.read(ctx, request{
		operation: "list", method: http.MethodGet, kind: kind,
		path:  []string{"v1", "objects", kind},
		query: url.Values{"Prefix": {prefix}},
	}, &answer)
	return answer.Revision, answer.Objects, err
}

// Create makes an object that does not exist yet; ErrConflict tells that it does.
func (client *Client) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return client.write(ctx, request{
		operation: "create", method: http.MethodPut, kind: kind, name: name,
		path:   []string{"v1", "objects", kind, name},
		header: http.Header{"If-None-Match": {"*"}},
		body:   value,
	})
}

// Update replaces an object that is at the given version; ErrConflict tells that it is not.
func (client *Client) Update(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error) {
	return client.write(ctx, request{
		operation: "update", method: http.MethodPut, kind: kind, name: name,
		path:   []string{"v1", "objects", kind, name},
		header: http.Header{"If-Match": {quoteVersion(version)}},
		body:   value,
	})
}

// Delete removes an object that is at the given version; version zero removes it at any version.
func (client *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	header := http.Header{}
	if version != 0 {
		header.Set("If-Match", quoteVersion(version))
	}
	_, err := client.write(ctx, request{
		operation: "delete", method: http.MethodDelete, kind: kind, name: name,
		path:   []string{"v1", "objects", kind, name},
		header: header,
	})
	return err
}

// Watch waits until an object of the kind has a revision above after, for at most wait. A connection that goes silent is
// given up after wait and the client's timeout with ErrUnavailable; the next call uses a fresh one.
func (client *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (WatchResult, error) {
	result := WatchResult{Revision: after}
	err := client.read(ctx, request{
		operation: "watch", method: http.MethodGet, kind: kind,
		path: []string{"v1", "watch", kind},
		query: url.Values{
			"After": {strconv.FormatUint(after, 10)},
			"Wait":  {wait.String()},
		},
		wait: wait,
	}, &result)
	if err != nil {
		return WatchResult{Revision: after}, err
	}
	return result, nil
}

func quoteVersion(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

// describe names the call for errors.
func (request *request) describe() string {
	object := strings.Trim(request.kind+"/"+request.name, "/")
	return strings.TrimSpace(request.operation + " " + object)
}
