package swhttp

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// defaultLimit is the number of hits that are returned if the request gives no limit.
	defaultLimit = 10
	// maxRequestIDBytes is the largest length of a request ID.
	maxRequestIDBytes = 128
	// maxKeysPerRequest is the largest number of keys that one request may ask for.
	maxKeysPerRequest = 1000
)

// unknownField returns the name of the field if err is the error of encoding/json for an unknown field. That error has no type,
// only its text.
func unknownField(err error) (string, bool) {
	const prefix = "json: unknown field "
	text := err.Error()
	if !strings.HasPrefix(text, prefix) {
		return "", false
	}
	return strings.Trim(strings.TrimPrefix(text, prefix), `"`), true
}

func (server *Server) handleLive(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, healthReply{State: "Live"})
}

type healthReply struct {
	State  string
	Reason string `json:",omitempty"`
}

func (server *Server) handleReady(writer http.ResponseWriter, _ *http.Request) {
	if err := server.config.CheckReady(); err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, healthReply{State: "NotReady", Reason: err.Error()})
		return
	}
	writeJSON(writer, http.StatusOK, healthReply{State: "Ready"})
}

func (server *Server) handleStatus(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, server.config.Status())
}

func (server *Server) handleSearch(writer http.ResponseWriter, request *http.Request) {
	var search swclient.SearchRequest
	if err := decodeBody(request, &search); err != nil {
		server.writeError(writer, search.RequestID, err)
		return
	}
	if err := server.completeRequest(request, &search); err != nil {
		server.writeError(writer, search.RequestID, err)
		return
	}
	result := server.config.Queries.Run(request.Context(), NewQuery(&search))
	reply := NewReply(search.RequestID, result)
	server.logRefusal(&search, &reply)
	writeReply(writer, reply)
}

func (server *Server) handleKeys(writer http.ResponseWriter, request *http.Request) {
	var keysRequest swclient.KeysRequest
	if err := decodeBody(request, &keysRequest); err != nil {
		server.writeError(writer, "", err)
		return
	}
	if keysRequest.Count < 1 || keysRequest.Count > maxKeysPerRequest {
		server.writeError(writer, "", &swcode.Error{Code: swcode.BadField, Ran: swcode.RanNo, Field: "Count", Message: "it is outside 1 to 1000", Fix: "ask for fewer keys, more often"})
		return
	}
	reply, err := server.config.Keys.Issue(request.Context(), keysRequest.Count)
	if err != nil {
		server.writeError(writer, "", err)
		return
	}
	setRetryAfter(writer, time.Duration(reply.RetryAfter))
	writeJSON(writer, swcode.Describe(reply.Code).Status, reply)
}

func (server *Server) handleRuns(writer http.ResponseWriter, request *http.Request) {
	var run swclient.RunRequest
	if err := decodeBody(request, &run); err != nil {
		server.writeError(writer, run.RequestID, err)
		return
	}
	if run.Key == "" {
		run.Key = request.Header.Get(swclient.HeaderIdempotencyKey)
	}
	if run.Key == "" {
		server.writeError(writer, run.RequestID, &swcode.Error{Code: swcode.BadField, Ran: swcode.RanNo, Field: "Key", Message: "it is empty", Fix: "take a key from POST /v1/keys, or send an Idempotency-Key header"})
		return
	}
	if err := server.completeRequest(request, &run.SearchRequest); err != nil {
		server.writeError(writer, run.RequestID, err)
		return
	}
	reply := server.config.Keys.Run(request.Context(), run)
	server.logRefusal(&run.SearchRequest, &reply)
	writeReply(writer, reply)
}

// completeRequest identifies the caller, checks the request ID and sets defaults.
func (server *Server) completeRequest(request *http.Request, search *swclient.SearchRequest) error {
	if err := server.identifyCaller(request, search); err != nil {
		return err
	}
	if len(search.RequestID) > maxRequestIDBytes {
		return &swcode.Error{Code: swcode.BadField, Ran: swcode.RanNo, Field: "RequestID", Message: "it is longer than 128 bytes", Fix: "give a shorter ID"}
	}
	if search.RequestID == "" {
		search.RequestID = swquery.FormatID(rand.Uint64())
	}
	if search.Timeout == 0 {
		search.Timeout = swclient.Duration(server.config.DefaultTimeout)
	}
	if search.Limit == 0 {
		search.Limit = defaultLimit
	}
	return nil
}

// identifyCaller sets the caller's name from its client certificate. Without one, the name in the request is accepted if the
// settings trust it.
func (server *Server) identifyCaller(request *http.Request, search *swclient.SearchRequest) error {
	if request.TLS != nil && len(request.TLS.PeerCertificates) > 0 {
		commonName := request.TLS.PeerCertificates[0].Subject.CommonName
		if search.Caller != "" && search.Caller != commonName {
			return &swcode.Error{Code: swcode.CallerNotProven, Ran: swcode.RanNo, Field: "Caller", Message: "the certificate names " + commonName, Fix: "leave the field out"}
		}
		search.Caller = commonName
		return nil
	}
	if !server.config.TrustCallerField {
		return &swcode.Error{Code: swcode.CallerNotProven, Ran: swcode.RanNo, Field: "Caller", Message: "no client certificate proves it", Fix: "present a client certificate"}
	}
	return nil
}

// writeError writes the refusal that err holds. Any other error is reported as internal.
func (server *Server) writeError(writer http.ResponseWriter, requestID string, err error) {
	refusal := &swcode.Error{}
	if !errors.As(err, &refusal) {
		refusal = &swcode.Error{Code: swcode.Internal, Ran: swcode.RanNo, Message: err.Error()}
	}
	writeRefusal(writer, requestID, refusal)
}

// logRefusal logs a reply whose code is not OK, at debug level.
func (server *Server) logRefusal(search *swclient.SearchRequest, reply *swclient.SearchReply) {
	if reply.Code == swcode.OK {
		return
	}
	server.config.Log.Debug().Str("RequestID", reply.RequestID).Str("Caller", search.Caller).Str("Kind", search.Kind).
		Int("Code", int(reply.Code)).Stringer("Ran", reply.Ran).Int("Rule", reply.Rule).Msg(reply.Message)
}

// NewQuery returns the query for a caller's request, with a new random ID.
func NewQuery(search *swclient.SearchRequest) swquery.Query {
	minCoverage := 1.0
	if search.MinCoverage != nil {
		minCoverage = *search.MinCoverage
	}
	return swquery.Query{
		ID:          rand.Uint64(),
		RequestID:   search.RequestID,
		Caller:      search.Caller,
		Kind:        search.Kind,
		Index:       search.Index,
		Text:        search.Query,
		Limit:       search.Limit,
		MinCoverage: minCoverage,
		Timeout:     time.Duration(search.Timeout),
		Fingerprint: swquarantine.Fingerprint(search.Kind, search.Index, search.Query),
	}
}

// NewReply returns the reply to the caller from the result of a query.
func NewReply(requestID string, result swquery.Result) swclient.SearchReply {
	reply := swclient.SearchReply{
		Code:        result.Code,
		Ran:         result.Ran,
		RequestID:   requestID,
		Snapshot:    result.Snapshot,
		Coverage:    swclient.Coverage(result.Coverage),
		RuleVersion: result.RuleVersion,
		Counts:      result.Counts,
		Took:        swclient.Duration(result.Took),
	}
	if result.Err != nil {
		reply.Refusal = NewRefusal(result.Err)
		return reply
	}
	reply.Hits = make([]swclient.Hit, len(result.Hits))
	for i, hit := range result.Hits {
		reply.Hits[i] = swclient.Hit(hit)
	}
	return reply
}
