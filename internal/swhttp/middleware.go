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

	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// discardLog drops what net/http says of connections that callers broke.
var discardLog = log.New(io.Discard, "", 0)

// overloadRetryAfter is the wait given to callers that this VM has no room for.
const overloadRetryAfter = time.Second

// bounded refuses requests beyond the number held at once, and bodies beyond their limit.
func (server *Server) bounded(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		held := server.held.Add(1)
		defer server.held.Add(-1)
		if server.leaving.Load() {
			writer.Header().Set("Connection", "close")
		}
		if held > int64(server.config.MaxRequests) {
			writeRefusal(writer, "", &swcode.Error{
				Code:       swcode.TooManyRequests,
				Message:    "this VM holds " + strconv.Itoa(server.config.MaxRequests) + " requests already",
				RetryAfter: overloadRetryAfter,
			})
			return
		}
		request.Body = http.MaxBytesReader(writer, request.Body, server.config.MaxBody)
		serve(writer, request)
	})
}

// recovering turns a panic into a numbered refusal and a log line.
func (server *Server) recovering(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer func() {
			fault := recover()
			if fault == nil {
				return
			}
			server.config.Log.Error().Interface("Fault", fault).Str("Path", request.URL.Path).Bytes("Stack", debug.Stack()).Msg("a request handler panicked")
			writeRefusal(writer, "", &swcode.Error{Code: swcode.Internal, Ran: swcode.RanUnknown, Message: "a request handler failed"})
		}()
		next.ServeHTTP(writer, request)
	})
}

func notFound(writer http.ResponseWriter, request *http.Request) {
	writeRefusal(writer, "", &swcode.Error{Code: swcode.NotFound, Message: "no path " + request.URL.Path})
}

func methodNotAllowed(writer http.ResponseWriter, request *http.Request) {
	writeRefusal(writer, "", &swcode.Error{Code: swcode.MethodNotAllowed, Message: "path " + request.URL.Path + " does not take " + request.Method})
}

// writeRefusal answers with a refusal.
func writeRefusal(writer http.ResponseWriter, requestID string, refusal *swcode.Error) {
	writeReply(writer, swclient.SearchReply{
		Code:      refusal.Code,
		Ran:       refusal.Ran,
		RequestID: requestID,
		Refusal:   NewRefusal(refusal),
	})
}

// RefusalFields returns the fields of a reply that tell of a refusal.
func NewRefusal(refusal *swcode.Error) swclient.Refusal {
	return swclient.Refusal{
		Field:      refusal.Field,
		Message:    refusal.Message,
		Fix:        refusal.Fix,
		Rule:       refusal.Rule,
		RetryAfter: swclient.Duration(refusal.RetryAfter),
	}
}

// writeReply answers a search or a run under the HTTP status of its code.
func writeReply(writer http.ResponseWriter, reply swclient.SearchReply) {
	setRetryAfter(writer, time.Duration(reply.RetryAfter))
	writeJSON(writer, swcode.Describe(reply.Code).Status, reply)
}

func setRetryAfter(writer http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

// writeJSON encodes the value. A caller that is gone cannot be told, so the error of the write is dropped.
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

// decodeBody reads one JSON object of the target's form. A fault is a *swcode.Error.
func decodeBody(request *http.Request, target any) error {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return bodyFault(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &swcode.Error{Code: swcode.BadRequest, Message: "more follows the JSON object", Fix: "send one object"}
	}
	return nil
}

func bodyFault(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &swcode.Error{Code: swcode.BodyTooLarge, Message: "the body exceeds " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes", Fix: "send a smaller request"}
	}
	var mistyped *json.UnmarshalTypeError
	if errors.As(err, &mistyped) {
		return &swcode.Error{Code: swcode.BadField, Field: mistyped.Field, Message: "a JSON " + mistyped.Value + " does not fit", Fix: "give a " + mistyped.Type.String()}
	}
	var duration *swclient.DurationError
	if errors.As(err, &duration) {
		return &swcode.Error{Code: swcode.BadField, Field: "Timeout", Message: duration.Error(), Fix: "give a number and a unit"}
	}
	if field, found := unknownField(err); found {
		return &swcode.Error{Code: swcode.BadField, Field: field, Message: "the field is not known", Fix: "leave it out"}
	}
	return &swcode.Error{Code: swcode.BadRequest, Message: err.Error(), Fix: "send one JSON object"}
}
