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

// apiRequest is one call of the object API.
type apiRequest struct {
	operation string
	method    string
	kind      string
	name      string
	path      []string
	query     url.Values
	header    http.Header
	body      []byte
	// decode decodes the body of a successful response to a read; if nil, it is decoded as JSON.
	decode func(body []byte) error
	// wait is how long a watch asks the platform to wait. It extends the timeout of the call.
	wait time.Duration
}

// response is the platform's response to a call.
type response struct {
	status int
	body   []byte
	// etag is the entity tag of the body, or empty without one.
	etag string
	// header is the response's header, or nil if there was no response.
	header http.Header
}

// read makes a call without side effects and decodes the response into target.
func (client *Client) read(ctx context.Context, apiRequest apiRequest, target any) (err error) {
	defer client.observe(apiRequest, time.Now(), &err)
	_, err = client.readResponse(ctx, apiRequest, target)
	return err
}

// readWithETag is like read and also returns the entity tag of the response. A call with the tag of an earlier response
// leaves target unchanged if that response is still current.
func (client *Client) readWithETag(ctx context.Context, apiRequest apiRequest, target any) (etag string, err error) {
	response, err := client.readResponse(ctx, apiRequest, target)
	return response.etag, err
}

// readResponse is like read and also returns the response, if there was one.
func (client *Client) readResponse(ctx context.Context, apiRequest apiRequest, target any) (response, error) {
	response, _, err := client.send(ctx, apiRequest)
	if err != nil {
		return response, &Error{Operation: apiRequest.describe(), Reason: ErrUnavailable, Cause: err}
	}
	return response, decodeReadResponse(&apiRequest, &response, target)
}

func decodeReadResponse(apiRequest *apiRequest, response *response, target any) error {
	switch response.status {
	case http.StatusOK:
		decode := apiRequest.decode
		if decode == nil {
			decode = func(body []byte) error { return json.Unmarshal(body, target) }
		}
		if err := decode(response.body); err != nil {
			return &Error{Operation: apiRequest.describe(), Reason: ErrMalformedResponse, Cause: err}
		}
		return nil
	case http.StatusNoContent, http.StatusNotModified:
		return nil
	}
	return &Error{Operation: apiRequest.describe(), Reason: readReason(response.status), Status: response.status}
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

// write makes a call that changes an object and returns the object.
func (client *Client) write(ctx context.Context, apiRequest apiRequest) (object Object, err error) {
	defer client.observe(apiRequest, time.Now(), &err)
	response, err := client.sendWrite(ctx, apiRequest)
	if err != nil {
		return Object{}, err
	}
	switch response.status {
	case http.StatusNoContent:
		return Object{Kind: apiRequest.kind, Name: apiRequest.name}, nil
	case http.StatusOK, http.StatusCreated:
		if err := json.Unmarshal(response.body, &object); err != nil {
			return Object{}, &Error{Operation: apiRequest.describe(), Reason: ErrOutcomeUnknown, Status: response.status, Cause: err}
		}
		return object, nil
	}
	return Object{}, &Error{Operation: apiRequest.describe(), Reason: ErrOutcomeUnknown, Status: response.status}
}

// sendWrite sends a call that changes an object, unless its value is too large. It returns the response, and an error unless its status is
// 2xx.
func (client *Client) sendWrite(ctx context.Context, apiRequest apiRequest) (response, error) {
	if len(apiRequest.body) > MaxValueSize {
		cause := errors.Errorf("value of %d bytes exceeds the limit of %d", len(apiRequest.body), MaxValueSize)
		return response{}, &Error{Operation: apiRequest.describe(), Reason: ErrRejected, Cause: cause}
	}
	answer, mayHaveArrived, err := client.send(ctx, apiRequest)
	if err != nil {
		reason := ErrUnavailable
		if mayHaveArrived {
			reason = ErrOutcomeUnknown
		}
		return response{}, &Error{Operation: apiRequest.describe(), Reason: reason, Cause: err}
	}
	if answer.status < http.StatusOK || answer.status >= http.StatusMultipleChoices {
		return answer, &Error{Operation: apiRequest.describe(), Reason: writeReason(answer.status), Status: answer.status}
	}
	return answer, nil
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

// send sends a request and reads the whole response. mayHaveArrived reports whether the platform may have received the
// request: it is false only if the transport looked for a connection and got none. A transport that does not report its
// use of connections may have sent the request.
func (client *Client) send(ctx context.Context, apiRequest apiRequest) (result response, mayHaveArrived bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, client.config.Timeout+apiRequest.wait)
	defer cancel()
	var connectionRequested, connectionObtained atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connectionRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connectionObtained.Store(true) },
	})
	result, err = client.roundTrip(ctx, apiRequest)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// The idle connections may be unresponsive for the same reason.
		client.http.CloseIdleConnections()
	}
	return result, connectionObtained.Load() || !connectionRequested.Load(), err
}

func (client *Client) roundTrip(ctx context.Context, apiRequest apiRequest) (response, error) {
	target := client.base.JoinPath(escapePath(apiRequest.path)...)
	target.RawQuery = apiRequest.query.Encode()
	httpRequest, err := http.NewRequestWithContext(ctx, apiRequest.method, target.String(), bytes.NewReader(apiRequest.body))
	if err != nil {
		return response{}, err
	}
	for key, values := range apiRequest.header {
		httpRequest.Header[key] = values
	}
	if len(apiRequest.body) > 0 {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	httpResponse, err := client.http.Do(httpRequest)
	if err != nil {
		return response{}, err
	}
	defer httpResponse.Body.Close()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseSize+1))
	if err != nil {
		return response{}, errors.Wrap(err, "read response")
	}
	if len(body) > maxResponseSize {
		return response{}, errors.Errorf("response exceeds %d bytes", maxResponseSize)
	}
	return response{status: httpResponse.StatusCode, body: body, etag: httpResponse.Header.Get(headerETag), header: httpResponse.Header}, nil
}

func escapePath(elements []string) []string {
	escaped := make([]string, len(elements))
	for i, element := range elements {
		escaped[i] = url.PathEscape(element)
	}
	return escaped
}

func (client *Client) observe(apiRequest apiRequest, start time.Time, err *error) {
	if client.config.OnCall == nil {
		return
	}
	client.config.OnCall(Call{Operation: apiRequest.operation, Kind: apiRequest.kind, Elapsed: time.Since(start), Err: *err})
}
