package swkey

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Outcome is the result of a run, or of an attempt to begin one.
type Outcome struct {
	Code    swcode.Code
	Ran     swcode.Ran
	Field   string        `cbor:",omitempty"`
	Message string        `cbor:",omitempty"`
	Fix     string        `cbor:",omitempty"`
	Rule    int           `cbor:",omitempty"`
	Wait    time.Duration `cbor:",omitempty"`
	// Reply is the encoded reply of a run. It is nil if the run had none, and in a repeat if it exceeded the size that
	// is kept; Message then says so.
	Reply []byte `cbor:",omitempty"`
}

// OutcomeFromError returns an outcome with the error's fields.
func OutcomeFromError(err *swcode.Error) Outcome {
	return Outcome{
		Code:    err.Code,
		Ran:     err.Ran,
		Field:   err.Field,
		Message: err.Message,
		Fix:     err.Fix,
		Rule:    err.Rule,
		Wait:    err.RetryAfter,
	}
}

// Err returns the outcome as a *swcode.Error, or nil if its code is OK.
func (outcome Outcome) Err() error {
	if outcome.Code == swcode.OK {
		return nil
	}
	return &swcode.Error{
		Code:       outcome.Code,
		Ran:        outcome.Ran,
		Field:      outcome.Field,
		Message:    outcome.Message,
		Fix:        outcome.Fix,
		Rule:       outcome.Rule,
		RetryAfter: outcome.Wait,
	}
}

func refusal(code swcode.Code, ran swcode.Ran, message string) Outcome {
	return Outcome{Code: code, Ran: ran, Message: message}
}

// retryDelay is how long a caller should wait before it retries after a temporary refusal.
const retryDelay = 200 * time.Millisecond

// temporaryRefusal returns a refusal that asks the caller to retry after retryDelay.
func temporaryRefusal(code swcode.Code, ran swcode.Ran, message string) Outcome {
	return Outcome{Code: code, Ran: ran, Message: message, Wait: retryDelay}
}
