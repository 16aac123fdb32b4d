package swplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// Request is one call of an object API whose paths and bodies another package defines.
type Request struct {
	// Operation and Kind name the call in errors and metrics.
	Operation string
	Kind      string
	Method    string
	// Path holds the elements of the path, not escaped.
	Path  []string
	Query url.Values
	Body  []byte
	// Wait is how long the platform may hold the call.
	Wait time.Duration
}

// Read makes a call without effect and decodes the JSON answer into target. Errors are as for the Client's own calls.
func (client *Client) Read(ctx context.Context, call Request, target any) error {
	return client.read(ctx, call.internal(), target)
}

// Write makes a call with an effect and decodes the JSON answer into target, which may be nil.
func (client *Client) Write(ctx context.Context, call Request, target any) (err error) {
	internal := call.internal()
	defer client.observe(internal, time.Now(), &err)
	answer, reached, err := client.exchange(ctx, internal)
	if err != nil {
		reason := ErrUnavailable
		if reached {
			reason = ErrOutcomeUnknown
		}
		return &Error{Operation: internal.describe(), Reason: reason, Cause: err}
	}
	if answer.status < http.StatusOK || answer.status >= http.StatusMultipleChoices {
		return &Error{Operation: internal.describe(), Reason: writeReason(answer.status), Status: answer.status}
	}
	if target == nil || len(answer.body) == 0 {
		return nil
	}
	if err := json.Unmarshal(answer.body, target); err != nil {
		return &Error{Operation: internal.describe(), Reason: ErrOutcomeUnknown, Status: answer.status, Cause: err}
	}
	return nil
}

func (call *Request) internal() request {
	return request{
		operation: call.Operation, method: call.Method, kind: call.Kind,
		path: call.Path, query: call.Query, body: call.Body, wait: call.Wait,
	}
}
