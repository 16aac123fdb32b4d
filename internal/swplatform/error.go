package swplatform

import (
	"fmt"

	"github.com/pkg/errors"
)

// Reasons of failed calls. Every error of a Client but a context's own matches exactly one of them under errors.Is.
var (
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object is not at the version that a write was conditional on, or that an object to be
	// created exists. The write had no effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that a read got no answer, or that a write surely had no effect because it never reached the
	// store or the store said that it is down.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect: its answer was lost. Read the object to find out; a
	// write that is still under way can take effect later, unless the object has moved on from the version it names.
	ErrOutcomeUnknown = errors.New("outcome of write unknown")
	// ErrRevisionTooOld means that a watch continues from a revision that the store no longer keeps: list again.
	ErrRevisionTooOld = errors.New("revision too old")
	// ErrRejected means that the store found the call malformed or too large. A write had no effect.
	ErrRejected = errors.New("rejected by platform")
	// ErrBadAnswer means that the answer to a read does not follow the protocol.
	ErrMalformedResponse = errors.New("malformed answer from platform")
)

// Error is a failed call.
type Error struct {
	// Operation is the call, such as "update Rules/main".
	Operation string
	// Reason is one of the reasons above.
	Reason error
	// Status is the HTTP status of the answer, or zero without one.
	Status int
	// Cause is the failure underneath, or nil.
	Cause error
}

// Error names the call, the reason and the cause.
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
