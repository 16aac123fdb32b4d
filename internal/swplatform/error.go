package swplatform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Reasons for failed calls. Every *Error matches exactly one of them under errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object is not at the version that a write was conditional on, or that an object to be
	// created already exists. The write had no effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that a read got no response or a server error, or that a write certainly had no effect because
	// it never reached the store or the store reported that it is unavailable.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect, because its response was lost or inconclusive. Read the
	// object to find out. A write that is still in flight can take effect later, unless the object is no longer at the
	// version that the write is conditional on.
	ErrOutcomeUnknown = errors.New("outcome of write unknown")
	// ErrRevisionTooOld means that the store no longer keeps the changes since the watch's revision: list the objects again.
	ErrRevisionTooOld = errors.New("revision too old")
	// ErrFormerEra means that the response belongs to an era that the store has left: it says nothing about the current state. Call
	// again.
	ErrFormerEra = errors.New("response of a former era of the platform's store")
	// ErrRejected means that the call was rejected, for example as malformed or too large. A write had no effect.
	ErrRejected = errors.New("rejected by platform")
	// ErrMalformedResponse means that the response to a read does not follow the protocol.
	ErrMalformedResponse = errors.New("malformed response from platform")
)

// Error is a failed call.
type Error struct {
	// Operation describes the call, as in "update Rules/main".
	Operation string
	// Reason is one of the reasons above.
	Reason error
	// Status is the HTTP status of the response, or zero without one.
	Status int
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns a text with the call, the reason, the HTTP status and the cause.
func (err *Error) Error() string {
	text := err.Operation + ": " + err.Reason.Error()
	if err.Status != 0 {
		text += fmt.Sprintf(" (HTTP status %d)", err.Status)
	}
	if err.Cause != nil {
		text += ": " + err.Cause.Error()
	}
	return text
}

// Unwrap returns the reason and the cause.
func (err *Error) Unwrap() []error {
	if err.Cause == nil {
		return []error{err.Reason}
	}
	return []error{err.Reason, err.Cause}
}
