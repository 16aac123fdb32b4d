package swkey

import (
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Outcome is what came of a run, or of an attempt to begin one.
type Outcome struct {
	Code    swcode.Code
	Ran     swcode.Ran
	Field   string        `cbor:",omitempty"`
	Message string        `cbor:",omitempty"`
	Fix     string        `cbor:",omitempty"`
	Rule    int           `cbor:",omitempty"`
	Wait    time.Duration `cbor:",omitempty"`
	// Reply is the encoded reply of a run, kept for repeats. It is nil when the run gave none, or when it exceeded the
	// size that is kept and this is a repeat; Message then says so.
	Reply []byte `cbor:",omitempty"`
}

// OutcomeFromError returns the outcome that an error stands for: the error's own code, or Internal with Ran Unknown.
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

// Err returns the outcome as an error, or nil when the run answered.
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

// retryWait is how long a caller should wait before it sends again after a refusal that will pass soon.
const retryWait = 200 * time.Millisecond

func refusalForNow(code swcode.Code, ran swcode.Ran, message string) Outcome {
	return Outcome{Code: code, Ran: ran, Message: message, Wait: retryWait}
}
