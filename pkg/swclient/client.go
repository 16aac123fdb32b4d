package swclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Defaults of Config.
const (
	defaultTimeout     = 2 * time.Second
	defaultResendAfter = 500 * time.Millisecond
	defaultKeysAhead   = 32
	initialBackoff     = 20 * time.Millisecond
	maxBackoff         = time.Second
	// maxReplyBytes bounds the size of a reply.
	maxReplyBytes = 64 << 20
	// maxHeaderBytes bounds the header of a reply.
	maxHeaderBytes = 64 << 10
)

// Config configures a Client. Zero fields other than Endpoints get defaults.
type Config struct {
	// Endpoints are base URLs of entry VMs or of their balancer. Sends use them in turn, so a resend goes to the next one.
	Endpoints []string
	// HTTP makes the calls; its transport holds the caller's certificate. It must not have a Timeout of its own.
	HTTP *http.Client
	// Caller names the caller if no client certificate does.
	Caller string
	// Timeout bounds a call whose context has no deadline.
	Timeout time.Duration
	// ResendAfter is how long Run waits for the answer to one send before it sends again.
	ResendAfter time.Duration
	// KeysAhead is the number of keys that are fetched in one request, ahead of their use.
	KeysAhead int
}

// Client sends requests to the query tier. It is safe for concurrent use. Construct it with New.
type Client struct {
	config Config
	// sends counts all requests, so that they use the endpoints in turn.
	sends atomic.Uint64
	keys  keyCache
}

// New returns a client.
func New(config Config) (*Client, error) {
	if len(config.Endpoints) == 0 {
		return nil, errors.New("a client needs at least one endpoint")
	}
	setDefault(&config.HTTP, newHTTPClient())
	setDefault(&config.Timeout, defaultTimeout)
	setDefault(&config.ResendAfter, defaultResendAfter)
	setDefault(&config.KeysAhead, defaultKeysAhead)
	return &Client{config: config}, nil
}

// newHTTPClient returns a client like http.DefaultClient that bounds the header of responses.
func newHTTPClient() *http.Client {
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, ForceAttemptHTTP2: true, MaxResponseHeaderBytes: maxHeaderBytes}
	return &http.Client{Transport: transport}
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}

// Search runs an idempotent query. It resends the query as long as that may succeed and the context's deadline allows it.
// A refusal of a VM is returned as a *swcode.Error. The reply of another server, such as a balancer, is another error and counts as a lost answer.
func (client *Client) Search(ctx context.Context, request SearchRequest) (SearchReply, error) {
	ctx, cancel := client.withDeadline(ctx)
	defer cancel()
	request.Caller = client.callerOrDefault(request.Caller)
	for attempt := 0; ; attempt++ {
		var reply SearchReply
		request.Timeout = remaining(ctx)
		err := client.post(ctx, PathSearch, &request, &reply)
		if err == nil {
			err = reply.Err()
		}
		if err == nil {
			return reply, nil
		}
		if !retryable(err) || !waitToResend(ctx, attempt, err) {
			return reply, err
		}
	}
}

// retryable reports whether an idempotent request may succeed when sent again.
func retryable(err error) bool {
	var refused *swcode.Error
	if !errors.As(err, &refused) {
		return true
	}
	return swcode.Describe(refused.Code).Retry
}

// withDeadline adds Config.Timeout to a context that has no deadline.
func (client *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, client.config.Timeout)
}

func (client *Client) callerOrDefault(caller string) string {
	if caller != "" {
		return caller
	}
	return client.config.Caller
}

// remaining returns the time until the context's deadline, but at least a millisecond, or zero without a deadline.
func remaining(ctx context.Context) Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return Duration(max(time.Until(deadline), time.Millisecond))
}

// waitToResend waits for the refusal's RetryAfter, or for an exponential backoff, plus a random jitter of up to half of it.
// It returns false if the context ends or its deadline passes before that.
func waitToResend(ctx context.Context, attempt int, err error) bool {
	pause := min(initialBackoff<<min(attempt, 10), maxBackoff)
	var refused *swcode.Error
	if errors.As(err, &refused) && refused.RetryAfter > 0 {
		pause = refused.RetryAfter
	}
	pause += rand.N(pause/2 + 1)
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= pause {
		return false
	}
	return swtimer.Wait(ctx, pause) == nil
}

// mandatoryFields are those that every reply of a VM has.
type mandatoryFields struct {
	Code swcode.Code
	Ran  *swcode.Ran
}

// decodeReply decodes the reply of a VM. The reply of another server, such as a balancer that has lost the VM, is an error: it says nothing
// about the request, whatever its status.
func decodeReply(data []byte, reply any) error {
	var mandatory mandatoryFields
	if err := json.Unmarshal(data, &mandatory); err != nil {
		return errors.Wrap(err, "decode reply")
	}
	if mandatory.Code == 0 || mandatory.Ran == nil {
		return errors.New("the reply has no Code or no Ran, so that it is not of a VM")
	}
	return errors.Wrap(json.Unmarshal(data, reply), "decode reply")
}

// post sends a request to the next endpoint and decodes the reply of a VM, whatever its status.
func (client *Client) post(ctx context.Context, path string, request, reply any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	send := client.sends.Add(1) - 1
	endpoint := client.config.Endpoints[send%uint64(len(client.config.Endpoints))]
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	call.Header.Set("Content-Type", "application/json")
	response, err := client.config.HTTP.Do(call)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if response.StatusCode < http.StatusContinue {
		return errors.Errorf("the status %s is none of HTTP, so that the reply is not of a VM", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	return errors.Wrapf(decodeReply(data, reply), "status %d", response.StatusCode)
}
