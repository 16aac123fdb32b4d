// Package swplatform is a client of the platform's object API, with conditional updates, watches and the VM list.
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
	// defaultTimeout is the default of Config.Timeout.
	defaultTimeout = 2 * time.Second
	// maxIdleConnections bounds the idle connections that a client keeps open.
	maxIdleConnections = 4
	// idleConnectionTimeout is how long a connection may be idle before it is closed.
	idleConnectionTimeout = 30 * time.Second
	// keepAliveInterval is the time between two TCP keep-alive probes. A connection is closed after maxKeepAliveProbes probes
	// without a reply, so the connection of an unresponsive watch is closed within about three seconds.
	keepAliveInterval  = time.Second
	maxKeepAliveProbes = 2
	// maxResponseSize bounds the body of a response, in bytes.
	maxResponseSize = 64 << 20
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Config configures a Client.
type Config struct {
	// URL is the base URL of the object API.
	URL string
	// Timeout bounds each call; a watch may take its wait time in addition. The default is 2 s.
	Timeout time.Duration
	// Transport sends the requests. The default is an HTTP/1.1 transport with TCP keep-alive.
	Transport http.RoundTripper
	// OnCall is called with each finished call; it may be nil.
	OnCall func(Call)
}

// Call describes a finished call, for metrics.
type Call struct {
	// Operation is get, list, create, update, delete, watch or vms.
	Operation string
	// Kind is the kind of object, empty for vms.
	Kind    string
	Elapsed time.Duration
	// Err is nil for a success.
	Err error
}

// Client calls the object API. It does not retry. It is safe for concurrent use.
type Client struct {
	config Config
	base   *url.URL
	http   *http.Client
	// lists holds the latest VM list of each data centre.
	lists *swtable.Table[string, vmList]
}

// New returns a client, or an error for a malformed URL. It does not call the platform.
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

// newTransport returns an HTTP/1.1 transport. In HTTP/1.1 a cancelled call closes its own connection and affects no other call.
func newTransport(timeout time.Duration) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes,
	}}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		TLSHandshakeTimeout: timeout,
		Protocols:           protocols,
		// The limit includes interim responses.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.http.CloseIdleConnections()
}

// Get reads one object.
func (client *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var object Object
	err := client.read(ctx, apiRequest{
		operation: "get", method: http.MethodGet, kind: kind, name: name,
		path: []string{"v1", "objects", kind, name},
	}, &object)
	return object, err
}

// List returns the store's revision and the names and versions of the objects of a kind whose names start with prefix.
func (client *Client) List(ctx context.Context, kind, prefix string) (uint64, []ObjectVersion, error) {
	var response struct {
		Revision uint64
		Objects  []ObjectVersion
	}
	err := client.read(ctx, apiRequest{
		operation: "list", method: http.MethodGet, kind: kind,
		path:  []string{"v1", "objects", kind},
		query: url.Values{"Prefix": {prefix}},
	}, &response)
	return response.Revision, response.Objects, err
}

// Create creates an object. It fails with ErrConflict if the object exists.
func (client *Client) Create(ctx context.Context, kind, name string, value []byte) (Object, error) {
	return client.write(ctx, apiRequest{
		operation: "create", method: http.MethodPut, kind: kind, name: name,
		path:   []string{"v1", "objects", kind, name},
		header: http.Header{"If-None-Match": {"*"}},
		body:   value,
	})
}

// Update replaces an object that is at the given version. It fails with ErrConflict if the object is at another version.
func (client *Client) Update(ctx context.Context, kind, name string, version uint64, value []byte) (Object, error) {
	return client.write(ctx, apiRequest{
		operation: "update", method: http.MethodPut, kind: kind, name: name,
		path:   []string{"v1", "objects", kind, name},
		header: http.Header{"If-Match": {quoteVersion(version)}},
		body:   value,
	})
}

// Delete deletes an object that is at the given version; version zero deletes it at any version.
func (client *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	header := http.Header{}
	if version != 0 {
		header.Set("If-Match", quoteVersion(version))
	}
	_, err := client.write(ctx, apiRequest{
		operation: "delete", method: http.MethodDelete, kind: kind, name: name,
		path:   []string{"v1", "objects", kind, name},
		header: header,
	})
	return err
}

// Watch waits for at most wait until an object of the kind has a revision above after. On an unresponsive connection it
// fails with ErrUnavailable once wait plus the client's timeout has passed; the next call opens a new connection.
func (client *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (WatchResult, error) {
	result := WatchResult{Revision: after}
	err := client.read(ctx, apiRequest{
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

// describe returns the operation, the kind and the name of the object, for error messages.
func (apiRequest *apiRequest) describe() string {
	object := strings.Trim(apiRequest.kind+"/"+apiRequest.name, "/")
	return strings.TrimSpace(apiRequest.operation + " " + object)
}
