package swplatform

import (
	"context"
	"encoding/json"
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
	// Wait is how long a watch asks the platform to wait. It extends the timeout of the call.
	Wait time.Duration
}

// Read makes a call without side effects and decodes the JSON response into target. It fails with the same errors as Get.
func (client *Client) Read(ctx context.Context, request Request, target any) error {
	return client.read(ctx, request.toAPIRequest(), target)
}

// Write makes a call that changes an object and decodes the JSON response into target, which may be nil. It fails with the
// same errors as Update.
func (client *Client) Write(ctx context.Context, request Request, target any) (err error) {
	apiRequest := request.toAPIRequest()
	defer client.observe(apiRequest, time.Now(), &err)
	response, err := client.sendWrite(ctx, apiRequest)
	if err != nil {
		return err
	}
	if target == nil || len(response.body) == 0 {
		return nil
	}
	if err := json.Unmarshal(response.body, target); err != nil {
		return &Error{Operation: apiRequest.describe(), Reason: ErrOutcomeUnknown, Status: response.status, Cause: err}
	}
	return nil
}

func (request *Request) toAPIRequest() apiRequest {
	return apiRequest{
		operation: request.Operation, method: request.Method, kind: request.Kind,
		path: request.Path, query: request.Query, body: request.Body, wait: request.Wait,
	}
}
