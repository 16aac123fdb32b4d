// Package swcode defines the numbered result codes that every answer and refusal carries.
package swcode

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Code is the number of a result. Numbers never change their meaning; docs/RESULT-CODES.md lists them.
type Code int

// The result codes. 1xx: answered; 2xx: invalid request; 3xx: refused by policy; 4xx: refused for lack of capacity;
// 5xx: the work could not be completed; 6xx: keys of non-idempotent work.
const (
	OK Code = 100

	BadRequest       Code = 200
	BadField         Code = 201
	BodyTooLarge     Code = 202
	UnknownIndex     Code = 203
	CallerNotProven  Code = 204
	MethodNotAllowed Code = 205
	NotFound         Code = 206

	RefusedByRule     Code = 300
	RuleRateExceeded  Code = 301
	RuleWaitExceeded  Code = 302
	Quarantined       Code = 303
	NoRuleMatched     Code = 304
	QuarantinedByRule Code = 305
	UnknownKey        Code = 306
	OverQuota         Code = 307
	NotHome           Code = 308
	Evacuated         Code = 309

	ShedByPriority  Code = 400
	QueueFull       Code = 401
	CannotMeet      Code = 402
	Leaving         Code = 403
	NotReady        Code = 404
	TooManyRequests Code = 405
	TooManyClients  Code = 406

	DeadlineExceeded    Code = 500
	CoverageTooLow      Code = 501
	SnapshotUnavailable Code = 502
	NoReplica           Code = 503
	BackendFailed       Code = 504
	CallerGone          Code = 505
	Internal            Code = 506

	KeyInvalid         Code = 600
	KeyExpired         Code = 601
	KeyTableFull       Code = 602
	IssuerGone         Code = 603
	ClaimUnavailable   Code = 604
	KeyReused          Code = 606
	OutcomeUnknown     Code = 607
	RunInProgress      Code = 608
	PartialRun         Code = 609
	HandoverInProgress Code = 610
	IssuerUnreachable  Code = 611
)

// Ran says whether any backend server ran a request, as far as is known.
type Ran int

// The values of Ran. The zero value is RanUnknown, so that what lacks Ran does not say that nothing ran.
const (
	RanUnknown Ran = 0
	RanYes     Ran = 1
	RanNo      Ran = 2
)

var ranNames = map[Ran]string{RanNo: "No", RanYes: "Yes", RanUnknown: "Unknown"}

// String returns No, Yes or Unknown.
func (ran Ran) String() string {
	return ranNames[ran]
}

// MarshalText encodes the name.
func (ran Ran) MarshalText() ([]byte, error) {
	return []byte(ran.String()), nil
}

// UnmarshalText decodes a name.
func (ran *Ran) UnmarshalText(text []byte) error {
	for value, name := range ranNames {
		if name == string(text) {
			*ran = value
			return nil
		}
	}
	return fmt.Errorf("ran %q is not one of No, Yes, Unknown", text)
}

// The encodings of Ran in CBOR: single bytes, each an unsigned integer. They do not follow the values, and must not change.
const (
	cborRanNo      = 0
	cborRanYes     = 1
	cborRanUnknown = 2
)

// MarshalCBOR encodes the value as an integer.
func (ran Ran) MarshalCBOR() ([]byte, error) {
	switch ran {
	case RanNo:
		return []byte{cborRanNo}, nil
	case RanYes:
		return []byte{cborRanYes}, nil
	case RanUnknown:
	}
	return []byte{cborRanUnknown}, nil
}

// UnmarshalCBOR decodes an integer. Any other value is RanUnknown.
func (ran *Ran) UnmarshalCBOR(data []byte) error {
	*ran = RanUnknown
	switch {
	case bytes.Equal(data, []byte{cborRanNo}):
		*ran = RanNo
	case bytes.Equal(data, []byte{cborRanYes}):
		*ran = RanYes
	}
	return nil
}

// Entry describes a code as the documentation lists it.
type Entry struct {
	Code Code
	Name string
	// Status is the HTTP status that carries the code.
	Status int
	// Ran lists the values of Ran that may accompany the code.
	Ran []Ran
	// Retry reports whether the same request may succeed when sent again.
	Retry bool
	// Meaning says what happened.
	Meaning string
	// Advice says what to do.
	Advice string
}

var (
	ranNoOnly      = []Ran{RanNo}
	ranAny         = []Ran{RanNo, RanYes, RanUnknown}
	ranUnknownOnly = []Ran{RanUnknown}
)

var entries = []Entry{
	{OK, "OK", http.StatusOK, []Ran{RanYes}, false, "The answer is complete for the part of the index that Coverage states.", "Nothing."},
	{BadRequest, "BadRequest", http.StatusBadRequest, ranNoOnly, false, "The body is not a single JSON object with the request's fields.", "Correct the body as the message says."},
	{BadField, "BadField", http.StatusBadRequest, ranNoOnly, false, "A field is missing, unknown or outside its bounds.", "Correct the field that is named."},
	{BodyTooLarge, "BodyTooLarge", http.StatusRequestEntityTooLarge, ranNoOnly, false, "The body exceeds the limit.", "Send a smaller request."},
	{UnknownIndex, "UnknownIndex", http.StatusNotFound, ranNoOnly, false, "No catalogue names the index.", "Check the index name; check the catalogue object at the platform."},
	{CallerNotProven, "CallerNotProven", http.StatusForbidden, ranNoOnly, false, "The caller's name is not proven by a certificate and the settings do not trust the field.", "Present a client certificate, or set Caller.TrustCallerField."},
	{MethodNotAllowed, "MethodNotAllowed", http.StatusMethodNotAllowed, ranNoOnly, false, "The path does not accept this method.", "Use the method that the caller API page gives."},
	{NotFound, "NotFound", http.StatusNotFound, ranNoOnly, false, "The path does not exist.", "Use a path that the caller API page gives."},
	{RefusedByRule, "RefusedByRule", http.StatusForbidden, ranNoOnly, false, "A refuse rule matched; Rule is its line.", "Ask whoever the rule's comment names."},
	{RuleRateExceeded, "RuleRateExceeded", http.StatusTooManyRequests, ranNoOnly, true, "The rule's rate or in-flight limit is reached.", "Send again after RetryAfter."},
	{RuleWaitExceeded, "RuleWaitExceeded", http.StatusTooManyRequests, ranNoOnly, true, "The request waited as long as the rule's For allows, or the rule's queue is full.", "Send again after RetryAfter."},
	{Quarantined, "Quarantined", http.StatusForbidden, ranNoOnly, false, "Requests with this fingerprint crashed backend servers.", "Look up the fingerprint in the VM's status; release it with a rule when the cause is fixed."},
	{NoRuleMatched, "NoRuleMatched", http.StatusForbidden, ranNoOnly, false, "No rule matched the request.", "Add a rule that matches the request."},
	{QuarantinedByRule, "QuarantinedByRule", http.StatusForbidden, ranNoOnly, false, "A rule refuses this fingerprint.", "Ask whoever the rule's comment names."},
	{UnknownKey, "UnknownKey", http.StatusUnauthorized, ranNoOnly, false, "The request carries no key of a tenant.", "Send a key that the operator has given out."},
	{OverQuota, "OverQuota", http.StatusTooManyRequests, ranNoOnly, true, "The tenant's quota is used up.", "Send again after RetryAfter."},
	{NotHome, "NotHome", http.StatusServiceUnavailable, ranNoOnly, true, "No backend server in the regions that may serve the request takes it.", "Send again after RetryAfter."},
	{Evacuated, "Evacuated", http.StatusServiceUnavailable, ranNoOnly, true, "The operator has evacuated all data centres that could serve the request.", "Send again after RetryAfter."},
	{ShedByPriority, "ShedByPriority", http.StatusServiceUnavailable, ranAny, true, "The VMs that send to backend servers needed by the query are shedding its cohort. Ran is No when the VM that received the query refused it before asking any shard.", "Send again after RetryAfter."},
	{QueueFull, "QueueFull", http.StatusServiceUnavailable, ranAny, true, "The queue for a backend server was full.", "Send again after RetryAfter."},
	{CannotMeet, "CannotMeet", http.StatusServiceUnavailable, ranAny, true, "The work could not have finished by its deadline.", "Send again with a longer Timeout, or after RetryAfter."},
	{Leaving, "Leaving", http.StatusServiceUnavailable, ranNoOnly, true, "This VM is leaving and accepts no new requests.", "Send again; the balancer chooses another VM."},
	{NotReady, "NotReady", http.StatusServiceUnavailable, ranNoOnly, true, "This VM has no rules or catalogue yet.", "Send again; the balancer chooses another VM."},
	{TooManyRequests, "TooManyRequests", http.StatusServiceUnavailable, ranNoOnly, true, "This VM has reached its limit of requests in flight.", "Send again after RetryAfter."},
	{TooManyClients, "TooManyClients", http.StatusServiceUnavailable, ranNoOnly, true, "The clients of this VM hold as much memory or as many connections as it can give them.", "Send again after RetryAfter, on a new connection."},
	{DeadlineExceeded, "DeadlineExceeded", http.StatusGatewayTimeout, ranAny, true, "The deadline passed before the answer was complete.", "Send again; see the stragglers page."},
	{CoverageTooLow, "CoverageTooLow", http.StatusServiceUnavailable, ranAny, true, "Fewer documents were covered than MinCoverage requires.", "Send again, or accept a lower MinCoverage."},
	{SnapshotUnavailable, "SnapshotUnavailable", http.StatusServiceUnavailable, ranAny, true, "No published snapshot is held by a replica of every shard.", "See the snapshots page."},
	{NoReplica, "NoReplica", http.StatusServiceUnavailable, ranAny, true, "A shard has no live replica left.", "See the replicas page."},
	{BackendFailed, "BackendFailed", http.StatusBadGateway, ranAny, true, "A backend server failed the request.", "See the server named in the message."},
	{CallerGone, "CallerGone", 499, ranAny, false, "The caller closed its connection.", "Nothing."},
	{Internal, "Internal", http.StatusInternalServerError, ranAny, false, "A defect in the system.", "Report it with the log line of this request ID."},
	{KeyInvalid, "KeyInvalid", http.StatusBadRequest, ranNoOnly, false, "The key is malformed, forged or altered.", "Get a new key from POST /v1/keys."},
	{KeyExpired, "KeyExpired", http.StatusGone, []Ran{RanNo, RanUnknown}, false, "The key expired, so no run starts under it. Ran is Unknown when the outcome of an earlier run is no longer stored.", "If Ran is No, get a new key from POST /v1/keys; otherwise check first whether the work took effect."},
	{KeyTableFull, "KeyTableFull", http.StatusServiceUnavailable, ranNoOnly, true, "The issuer's key table is full.", "Send again after RetryAfter."},
	{IssuerGone, "IssuerGone", http.StatusServiceUnavailable, ranUnknownOnly, false, "The incarnation of the VM that issued the key is gone. This request was not run, and nothing runs under the key unless it is sent again; whether an earlier request ran is unknown.", "Check whether the work took effect before sending it under a new key."},
	{ClaimUnavailable, "ClaimUnavailable", http.StatusServiceUnavailable, ranNoOnly, true, "The claim on the caller's own key could not be stored at the platform.", "Send again under the same key."},
	{KeyReused, "KeyReused", http.StatusUnprocessableEntity, ranNoOnly, false, "The key was used with another body.", "Use one key for one piece of work."},
	{OutcomeUnknown, "OutcomeUnknown", http.StatusBadGateway, ranUnknownOnly, false, "At least one byte of the request may have reached a backend server, but no answer came back; the request will not be sent again.", "Check whether the work took effect before sending it under a new key."},
	{RunInProgress, "RunInProgress", http.StatusConflict, ranUnknownOnly, true, "The run under this key has not finished.", "Send again under the same key to get its outcome."},
	{PartialRun, "PartialRun", http.StatusBadGateway, ranUnknownOnly, false, "Some shards ran the work; others did not, or it is unknown whether they did.", "Check whether the work took effect on the shards that Coverage lacks."},
	{HandoverInProgress, "HandoverInProgress", http.StatusServiceUnavailable, ranUnknownOnly, true, "The issuer is handing its keys to a successor.", "Send again under the same key."},
	{IssuerUnreachable, "IssuerUnreachable", http.StatusServiceUnavailable, ranUnknownOnly, true, "The issuer of the key did not answer, and only the issuer may start a run under the key. This request no longer starts one.", "Send again under the same key; check whether the work took effect before sending it under a new one."},
}

var byCode = func() map[Code]Entry {
	table := make(map[Code]Entry, len(entries))
	for _, entry := range entries {
		table[entry.Code] = entry
	}
	return table
}()

// Entries returns every code in numeric order.
func Entries() []Entry {
	return append([]Entry(nil), entries...)
}

// Describe returns the entry of a code, and Internal's entry for an unknown one.
func Describe(code Code) Entry {
	entry, ok := byCode[code]
	if !ok {
		return byCode[Internal]
	}
	return entry
}

// String returns the code's name, or its number when it has none.
func (code Code) String() string {
	entry, ok := byCode[code]
	if !ok {
		return strconv.Itoa(int(code))
	}
	return entry.Name
}

// Error is a refusal or failure that is returned to the caller.
type Error struct {
	Code Code
	Ran  Ran
	// Field is the path of the request field at fault, if any.
	Field string
	// Message says what is wrong and names the server, shard or rule concerned.
	Message string
	// Fix says what to change.
	Fix string
	// Rule is the line of the rule that decided, or zero if none did.
	Rule int
	// RetryAfter is how long to wait before sending again, or zero.
	RetryAfter time.Duration
}

// Error formats the code's name, field, message and fix.
func (err *Error) Error() string {
	text := err.Code.String()
	if err.Field != "" {
		text += ": " + err.Field
	}
	if err.Message != "" {
		text += ": " + err.Message
	}
	if err.Fix != "" {
		text += " (" + err.Fix + ")"
	}
	return text
}

// Is reports whether target is an Error of the same code.
func (err *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Code == err.Code
}
