package swplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// request is one call of the object API.
type request struct {
	operation string
	method    string
	kind      string
	name      string
	path      []string
	query     url.Values
	header    http.Header
	body      []byte
	// wait is how long the platform may hold the call.
	wait time.Duration
}

// answer is what came back from the platform.
type answer struct {
	status int
	body   []byte
	// tag is the entity tag of the body, if the platform gave one.
	tag string
}

// read makes a call without effect and decodes its answer into target.
func (client *Client) read(ctx context.Context, request request, target any) (err error) {
	defer client.observe(request, time.Now(), &err)
	_, err = client.readTagged(ctx, request, target)
	return err
}

// readTagged is read that also returns the entity tag of the answer. A call with the tag of an earlier answer leaves target
// as it is when that answer still holds.
func (client *Client) readTagged(ctx context.Context, request request, target any) (tag string, err error) {
	answer, _, err := client.exchange(ctx, request)
	if err != nil {
		return "", &Error{Operation: request.describe(), Reason: ErrUnavailable, Cause: err}
	}
	return answer.tag, decodeRead(&request, &answer, target)
}

func decodeRead(request *request, answer *answer, target any) error {
	switch answer.status {
	case http.StatusOK:
		if err := json.Unmarshal(answer.body, target); err != nil {
			return &Error{Operation: request.describe(), Reason: ErrMalformedResponse, Cause: err}
		}
		return nil
	case http.StatusNoContent, http.StatusNotModified:
		return nil
	}
	return &Error{Operation: request.describe(), Reason: readReason(answer.status), Status: answer.status}
}

func readReason(status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusGone:
		return ErrRevisionTooOld
	case status == http.StatusTooManyRequests, status >= http.StatusInternalServerError:
		return ErrUnavailable
	case status >= http.StatusBadRequest:
		return ErrRejected
	}
	return ErrMalformedResponse
}

// write makes a call with an effect.
func (client *Client) write(ctx context.Context, request request) (object Object, err error) {
	defer client.observe(request, time.Now(), &err)
	if len(request.body) > MaxValueSize {
		cause := errors.Errorf("value of %d bytes exceeds the limit of %d", len(request.body), MaxValueSize)
		return Object{}, &Error{Operation: request.describe(), Reason: ErrRejected, Cause: cause}
	}
	answer, reached, err := client.exchange(ctx, request)
	if err != nil {
		reason := ErrUnavailable
		if reached {
			reason = ErrOutcomeUnknown
		}
		return Object{}, &Error{Operation: request.describe(), Reason: reason, Cause: err}
	}
	switch answer.status {
	case http.StatusNoContent:
		return Object{Kind: request.kind, Name: request.name}, nil
	case http.StatusOK, http.StatusCreated:
		if err := json.Unmarshal(answer.body, &object); err != nil {
			return Object{}, &Error{Operation: request.describe(), Reason: ErrOutcomeUnknown, Status: answer.status, Cause: err}
		}
		return object, nil
	}
	return Object{}, &Error{Operation: request.describe(), Reason: writeReason(answer.status), Status: answer.status}
}

func writeReason(status int) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed, status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return ErrUnavailable
	case status == http.StatusRequestTimeout:
		return ErrOutcomeUnknown
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return ErrRejected
	}
	return ErrOutcomeUnknown
}

// exchange sends a request and reads the whole answer. reached tells whether the platform may have seen the request: it
// is false only when the transport looked for a connection and got none.
func (client *Client) exchange(ctx context.Context, request request) (result answer, reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.Timeout+request.wait)
	defer cancel()
	var sought, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sought.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	result, err = client.roundTrip(ctx, request)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// Whatever silenced this connection may have silenced the unused ones as well.
		client.http.CloseIdleConnections()
	}
	return result, connected.Load() || !sought.Load(), err
}

func (client *Client) roundTrip(ctx context.Context, request request) (answer, error) {
	target := client.base.JoinPath(escapePath(request.path)...)
	target.RawQuery = request.query.Encode()
	message, err := http.NewRequestWithContext(ctx, request.method, target.String(), bytes.NewReader(request.body))
	if err != nil {
		return answer{}, err
	}
	for key, values := range request.header {
		message.Header[key] = values
	}
	if len(request.body) > 0 {
		message.Header.Set("Content-Type", "application/json")
	}
	response, err := client.http.Do(message)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return answer{}, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswer {
		return answer{}, errors.Errorf("answer exceeds %d bytes", maxAnswer)
	}
	return answer{status: response.StatusCode, body: body, tag: response.Header.Get(headerTag)}, nil
}

func escapePath(elements []string) []string {
	escaped := make([]string, len(elements))
	for i, element := range elements {
		escaped[i] = url.PathEscape(element)
	}
	return escaped
}

func (client *Client) observe(request request, start time.Time, err *error) {
	if client.config.OnCall == nil {
		return
	}
	client.config.OnCall(Call{Operation: request.operation, Kind: request.kind, Elapsed: time.Since(start), Err: *err})
}
