package swgateway

import (
	"net/http"

	"github.com/sycamorewall/sycamorewall/internal/swconn"
)

// meaning is what a replica's response means for its request.
type meaning int

const (
	// meaningUnusable responses say nothing for certain: they bear no signature, or their body is encoded. The request may have run.
	meaningUnusable meaning = 0
	// meaningAnswer responses are returned to the client, or merged with those of other shards.
	meaningAnswer meaning = 1
	// meaningFailure responses are returned to the client if no replica answers. The request has run.
	meaningFailure meaning = 2
	// meaningRejection responses state that the request has not run.
	meaningRejection meaning = 3
	// meaningWrongReplica responses come from another replica at the same address. The request has not run.
	meaningWrongReplica meaning = 4
	// meaningUnprovenRejection responses have the status of a rejection, but do not state that the request has not run, so that it may have. A
	// client would conclude from the status that it has not, and send it again.
	meaningUnprovenRejection meaning = 5
)

// forwardable reports whether a client may get the response.
func (meaning meaning) forwardable() bool {
	return meaning == meaningAnswer || meaning == meaningFailure
}

// interpret returns what a response means. A 4xx status is an answer on a route with a single service, because another replica would
// return the same; a shard that returns one contributes no records.
func interpret(response *swconn.Response, responseInfo ResponseInfo, gathered bool) meaning {
	switch {
	case !swconn.ValidStatus(response.Status):
		// A relay of an earlier version passes it on.
		return meaningUnusable
	case responseInfo.WrongReplica:
		return meaningWrongReplica
	case responseInfo.NotRun:
		return meaningRejection
	case responseInfo.ImpliesNotRun:
		return meaningUnprovenRejection
	case responseInfo.Signature == "", !hasIdentityEncoding(response.Header), response.Status < http.StatusOK:
		return meaningUnusable
	case response.Status < http.StatusMultipleChoices:
		return meaningAnswer
	case response.Status < http.StatusInternalServerError && !gathered:
		return meaningAnswer
	}
	return meaningFailure
}

// hasIdentityEncoding reports whether the body has no content encoding.
func hasIdentityEncoding(header http.Header) bool {
	encoding := header.Get("Content-Encoding")
	return encoding == "" || encoding == "identity"
}
