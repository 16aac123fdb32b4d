package swplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// Request is one call of an object API whose paths and bodies are defined by another package.
type Request struct {
	// Operation and Kind label the call in errors and metrics.
	Operation string
	Kind      string
	Method    string
	// Path holds the unescaped elements of the path.
	Path  []string
	Query url.Values
	Body  []byte
	// Decode decodes the body of a successful response; if nil, it is decoded as one JSON document into the call's target.
	Decode func(body []byte) error
	// Wait is how long a watch asks the platform to wait. It extends the timeout of the call.
	Wait time.Duration
}

// Read makes a call without side effects and decodes the JSON response into target, or with request.Decode. It returns the header of the response, or nil if
// there was none, and fails with the same errors as Get.
func (client *Client) Read(ctx context.Context, request Request, target any) (header http.Header, err error) {
	apiRequest := request.toAPIRequest()
	defer client.observe(apiRequest, time.Now(), &err)
	response, err := client.readResponse(ctx, apiRequest, target)
	return response.header, err
}

// Write makes a call that changes an object and decodes the JSON response into target, which may be nil. It returns the header of the
// response, or nil if there was none, and fails with the same errors as Update.
func (client *Client) Write(ctx context.Context, request Request, target any) (header http.Header, err error) {
	apiRequest := request.toAPIRequest()
	defer client.observe(apiRequest, time.Now(), &err)
	response, err := client.sendWrite(ctx, apiRequest)
	if err != nil || target == nil || len(response.body) == 0 {
		return response.header, err
	}
	if err := json.Unmarshal(response.body, target); err != nil {
		return response.header, &Error{Operation: apiRequest.describe(), Reason: ErrOutcomeUnknown, Status: response.status, Cause: err}
	}
	return response.header, nil
}

func (request *Request) toAPIRequest() apiRequest {
	return apiRequest{
		operation: request.Operation, method: request.Method, kind: request.Kind,
		path: request.Path, query: request.Query, body: request.Body, decode: request.Decode, wait: request.Wait,
	}
}
