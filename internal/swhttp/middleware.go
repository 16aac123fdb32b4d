package swhttp

import (
	"encoding/json"
	"io"
	"log"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// discardLogger discards the errors that net/http logs, which are about connections that callers broke.
var discardLogger = log.New(io.Discard, "", 0)

// overloadRetryAfter is the retry delay for callers that are refused because too many requests are in flight.
const overloadRetryAfter = time.Second

// limitRequests refuses requests over the limit of requests in flight and bodies over the size limit. While the server is
// leaving, it also closes each connection after the response.
func (server *Server) limitRequests(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		inFlight := server.inFlight.Add(1)
		defer server.inFlight.Add(-1)
		if server.leaving.Load() {
			writer.Header().Set("Connection", "close")
		}
		if inFlight > int64(server.config.MaxRequests) {
			writeRefusal(writer, "", &swcode.Error{
				Code:       swcode.TooManyRequests,
				Ran:        swcode.RanNo,
				Message:    "this VM already has " + strconv.Itoa(server.config.MaxRequests) + " requests in flight",
				RetryAfter: overloadRetryAfter,
			})
			return
		}
		request.Body = http.MaxBytesReader(writer, request.Body, server.config.MaxBody)
		serve(writer, request)
	})
}

// recoverPanics recovers from the panic of a handler, logs it with its stack, and replies with an internal error.
func (server *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			panicValue := recover()
			if panicValue == nil {
				return
			}
			server.config.Log.Error().Interface("Fault", panicValue).Str("Path", request.URL.Path).Bytes("Stack", debug.Stack()).Msg("a request handler panicked")
			writeRefusal(writer, "", &swcode.Error{Code: swcode.Internal, Ran: swcode.RanUnknown, Message: "a request handler failed"})
		}()
		next.ServeHTTP(writer, request)
	})
}

func notFound(writer http.ResponseWriter, request *http.Request) {
	writeRefusal(writer, "", &swcode.Error{Code: swcode.NotFound, Ran: swcode.RanNo, Message: "no path " + request.URL.Path})
}

func methodNotAllowed(writer http.ResponseWriter, request *http.Request) {
	writeRefusal(writer, "", &swcode.Error{Code: swcode.MethodNotAllowed, Ran: swcode.RanNo, Message: "path " + request.URL.Path + " does not accept " + request.Method})
}

// writeRefusal writes a reply that holds only a refusal.
func writeRefusal(writer http.ResponseWriter, requestID string, refusal *swcode.Error) {
	writeReply(writer, swclient.SearchReply{
		Code:      refusal.Code,
		Ran:       refusal.Ran,
		RequestID: requestID,
		Refusal:   NewRefusal(refusal),
	})
}

// NewRefusal returns the part of a reply that describes a refusal.
func NewRefusal(refusal *swcode.Error) swclient.Refusal {
	return swclient.Refusal{
		Field:      refusal.Field,
		Message:    refusal.Message,
		Fix:        refusal.Fix,
		Rule:       refusal.Rule,
		RetryAfter: swclient.Duration(refusal.RetryAfter),
	}
}

// writeReply writes the reply to a search or a run with the HTTP status of its code.
func writeReply(writer http.ResponseWriter, reply swclient.SearchReply) {
	setRetryAfter(writer, time.Duration(reply.RetryAfter))
	writeJSON(writer, swcode.Describe(reply.Code).Status, reply)
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds.
func setRetryAfter(writer http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

// writeJSON writes a JSON response. Write errors are ignored: they mean that the caller is gone.
func writeJSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(body, '\n'))
}

// decodeBody decodes the body, which must be exactly one JSON object without unknown fields. Every error is a *swcode.Error.
func decodeBody(request *http.Request, target any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return newBodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &swcode.Error{Code: swcode.BadRequest, Ran: swcode.RanNo, Message: "the body has more data after the JSON object", Fix: "send one object"}
	}
	return nil
}

// newBodyError returns the refusal for an error of decoding a body.
func newBodyError(err error) error {
	var tooLargeErr *http.MaxBytesError
	if errors.As(err, &tooLargeErr) {
		return &swcode.Error{Code: swcode.BodyTooLarge, Ran: swcode.RanNo, Message: "the body exceeds " + strconv.FormatInt(tooLargeErr.Limit, 10) + " bytes", Fix: "send a smaller request"}
	}
	if errors.Is(err, swlistener.ErrFull) {
		return &swcode.Error{Code: swcode.TooManyClients, Ran: swcode.RanNo, Message: "the callers of this VM hold all memory or connections that it gives them", RetryAfter: overloadRetryAfter}
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &swcode.Error{Code: swcode.BadField, Ran: swcode.RanNo, Field: typeErr.Field, Message: "a JSON " + typeErr.Value + " has the wrong type", Fix: "give a " + typeErr.Type.String()}
	}
	var durationErr *swclient.DurationError
	if errors.As(err, &durationErr) {
		return &swcode.Error{Code: swcode.BadField, Ran: swcode.RanNo, Field: "Timeout", Message: durationErr.Error(), Fix: "give a number and a unit"}
	}
	if field, found := unknownField(err); found {
		return &swcode.Error{Code: swcode.BadField, Ran: swcode.RanNo, Field: field, Message: "the field is not known", Fix: "leave it out"}
	}
	return &swcode.Error{Code: swcode.BadRequest, Ran: swcode.RanNo, Message: err.Error(), Fix: "send one JSON object"}
}
