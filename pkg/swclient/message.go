// Package swclient is the client library for callers. It sends searches, prefetches idempotency keys, and resends
// non-idempotent work under the same key until its outcome is known or its deadline passes.
package swclient

import (
	"fmt"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Paths of the caller API.
const (
	PathSearch = "/v1/search"
	PathKeys   = "/v1/keys"
	PathRuns   = "/v1/runs"
)

// HeaderIdempotencyKey is the header with the caller's own key, for a body without Key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Duration is a time.Duration that is encoded in JSON as text such as "180ms".
type Duration time.Duration

// DurationError means that a text is not a duration.
type DurationError struct {
	Text string
}

// Error returns the text and an example of the expected form.
func (err *DurationError) Error() string {
	return fmt.Sprintf("%q is not a duration such as 250ms", err.Text)
}

// MarshalText formats the duration as time.Duration does.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText parses a duration such as "180ms" or "2s".
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return &DurationError{Text: string(text)}
	}
	*duration = Duration(parsed)
	return nil
}

// SearchRequest is the body of POST /v1/search.
type SearchRequest struct {
	// Caller names the caller if no client certificate does.
	Caller string `json:",omitempty"`
	Kind   string
	Index  string
	Query  string
	// Limit is the maximum number of hits.
	Limit int `json:",omitempty"`
	// MinCoverage is the minimum fraction of the documents that an answer must cover, above 0 and up to 1; nil means 1.
	MinCoverage *float64 `json:",omitempty"`
	// Timeout is how long the caller waits; zero means the server's default.
	Timeout Duration `json:",omitempty"`
	// RequestID is echoed in the reply and written to logs.
	RequestID string `json:",omitempty"`
}

// RunRequest is the body of POST /v1/runs.
type RunRequest struct {
	SearchRequest
	// Key is a key from POST /v1/keys, or one that the caller made.
	Key string
	// Route is the routing value that selects the only shard to run the work; if it is empty, all shards run it.
	Route string `json:",omitempty"`
	// StartBefore is the time on the issuer's clock, as in KeysReply.Clock, after which the issuer must not start the run and
	// abandons it. If it is zero, only Timeout applies, counted from when a VM reads the request.
	StartBefore Duration `json:",omitempty"`
}

// Coverage counts the documents and shards that an answer covers.
type Coverage struct {
	// Documents is the number of documents in the shards that answered, Of the number in the snapshot.
	Documents int64
	Of        int64
	// Shards is the number of shards that answered, OfShards the number in the snapshot.
	Shards   int
	OfShards int
}

// Fraction returns the fraction of the documents that are covered, from 0 to 1.
func (coverage Coverage) Fraction() float64 {
	if coverage.Of == 0 {
		return 0
	}
	return float64(coverage.Documents) / float64(coverage.Of)
}

// Hit is one matching document.
type Hit struct {
	ID    string
	Score float64
	Shard int
	Text  string `json:",omitempty"`
}

// Refusal holds the fields of a reply that is not an answer.
type Refusal struct {
	// Field is the path of the request field at fault.
	Field string `json:",omitempty"`
	// Message says what is wrong.
	Message string `json:",omitempty"`
	// Fix says what to change.
	Fix string `json:",omitempty"`
	// Rule is the line of the rule that decided.
	Rule int `json:",omitempty"`
	// RetryAfter is how long to wait before sending again.
	RetryAfter Duration `json:",omitempty"`
}

// SearchReply is the body of every reply to POST /v1/search and POST /v1/runs, answers and refusals alike.
type SearchReply struct {
	Code      swcode.Code
	Ran       swcode.Ran
	RequestID string
	Refusal
	Snapshot    string           `json:",omitempty"`
	Coverage    Coverage         `json:",omitzero"`
	RuleVersion uint64           `json:",omitempty"`
	Hits        []Hit            `json:",omitempty"`
	Counts      map[string]int64 `json:",omitempty"`
	Took        Duration
}

// KeysRequest is the body of POST /v1/keys.
type KeysRequest struct {
	// Caller names the caller if no client certificate does.
	Caller string `json:",omitempty"`
	// Count is the number of keys requested.
	Count int
}

// KeysReply is the body of the reply to POST /v1/keys.
type KeysReply struct {
	Code swcode.Code
	Ran  swcode.Ran
	Refusal
	Keys []string `json:",omitempty"`
	// Expires is how long after the reply a run may still start under the keys.
	Expires Duration `json:",omitempty"`
	// Clock is the time on the issuer's clock when it made the keys; RunRequest.StartBefore is a time on the same clock.
	Clock Duration `json:",omitempty"`
}

// Err returns the refusal as an error, or nil when the reply is an answer.
func (reply *SearchReply) Err() error {
	return refusalError(reply.Code, reply.Ran, reply.Refusal)
}

// Err returns the refusal as an error, or nil when keys were issued.
func (reply *KeysReply) Err() error {
	return refusalError(reply.Code, reply.Ran, reply.Refusal)
}

func refusalError(code swcode.Code, ran swcode.Ran, refusal Refusal) error {
	if code == swcode.OK {
		return nil
	}
	return &swcode.Error{
		Code:       code,
		Ran:        ran,
		Field:      refusal.Field,
		Message:    refusal.Message,
		Fix:        refusal.Fix,
		Rule:       refusal.Rule,
		RetryAfter: time.Duration(refusal.RetryAfter),
	}
}
