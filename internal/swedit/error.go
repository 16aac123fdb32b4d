package swedit

import "fmt"

// RaceError tells that the platform does not show the rules at the version that the operator edited. Nothing was written.
type ConflictError struct {
	// Base is the version that the operator edited.
	Base uint64
	// Version is the version at the platform, or zero when there is no object.
	Version uint64
	// Text is the rule file at the platform.
	Text string
	// Edits holds the edits since Base that are still remembered, newest first.
	Edits []Edit
	// Bad is set when the object at the platform can't be decoded.
	DecodeErr error
}

// Error names both versions and the last editor.
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

// UnknownError tells that the answer to a write was lost and that its outcome could not be settled. Applying the same
// file again finds out, as long as the platform remembers the edits since.
type OutcomeUnknownError struct {
	EditID string
	// Version is the version at the platform when it is known.
	Version uint64
	Cause   error
}

// Error names the edit.
func (err *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of edit %s is unknown: %v", err.EditID, err.Cause)
}

// Unwrap returns the last failure.
func (err *OutcomeUnknownError) Unwrap() error {
	return err.Cause
}

// UnavailableError tells that the platform could not be reached in time. Nothing was written.
type UnavailableError struct {
	Cause error
}

// Error names the last failure.
func (err *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was written: %v", err.Cause)
}

// Unwrap returns the last failure.
func (err *UnavailableError) Unwrap() error {
	return err.Cause
}
