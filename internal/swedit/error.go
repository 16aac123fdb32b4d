package swedit

import "fmt"

// ConflictError means that the platform does not have the rules at the version that the operator edited, or that its reads lag
// behind that version. Nothing was written.
type ConflictError struct {
	// Base is the version that the operator edited.
	Base uint64
	// Version is the version at the platform, or zero if the object does not exist.
	Version uint64
	// Text is the rule file at the platform.
	Text string
	// Edits holds the edits since Base that the document still records, newest first.
	Edits []Edit
	// DecodeErr is set if the object at the platform can't be decoded.
	DecodeErr error
}

// Error returns a text with both versions and the operator of the newest edit.
func (err *ConflictError) Error() string {
	if err.Version == 0 {
		return fmt.Sprintf("version %d was edited, but the platform has no rules; nothing was written", err.Base)
	}
	if err.Version < err.Base {
		return fmt.Sprintf("version %d was edited, but the platform shows version %d: its reads lag, or the version is wrong; nothing was written", err.Base, err.Version)
	}
	text := fmt.Sprintf("version %d was edited, but the rules are at version %d", err.Base, err.Version)
	if len(err.Edits) > 0 {
		text += " by " + err.Edits[0].By
	}
	return text + "; nothing was written"
}

// OutcomeUnknownError means that the response to a write was lost and its outcome could not be determined. Applying the same
// file again determines it, as long as the document still records the edits made since.
type OutcomeUnknownError struct {
	EditID string
	// Version is the version at the platform, or zero if it is not known.
	Version uint64
	Cause   error
}

// Error returns a text with the edit ID and the cause.
func (err *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unknown: %v", err.EditID, err.Cause)
}

// Unwrap returns the last failure.
func (err *OutcomeUnknownError) Unwrap() error {
	return err.Cause
}

// UnavailableError means that the platform was not available in time. Nothing was written.
type UnavailableError struct {
	Cause error
}

// Error returns a text with the cause.
func (err *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was written: %v", err.Cause)
}

// Unwrap returns the last failure.
func (err *UnavailableError) Unwrap() error {
	return err.Cause
}
