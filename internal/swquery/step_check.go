package swquery

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	maxNameLength = 128
	maxTextLength = 16 << 10
	// maxLimit is the highest number of hits that a caller may request.
	maxLimit = 10_000
	// minTimeout is the shortest timeout that a caller may request.
	minTimeout = time.Millisecond
)

// checkStep validates the fields of a query.
type checkStep struct {
	maxTimeout time.Duration
}

func (*checkStep) String() string { return "check the request" }

// Run refuses a query that has a field out of range.
func (checkStep *checkStep) Run(_ context.Context, execution *execution) error {
	query := execution.query
	for _, name := range []struct{ field, value string }{
		{"Caller", query.Caller}, {"Kind", query.Kind}, {"Index", query.Index},
	} {
		if name.value == "" {
			return badField(name.field, "it is empty", "give a name")
		}
		if len(name.value) > maxNameLength {
			return badField(name.field, fmt.Sprintf("it is longer than %d bytes", maxNameLength), "give a shorter name")
		}
	}
	if len(query.Text) > maxTextLength {
		return badField("Query", fmt.Sprintf("it is longer than %d bytes", maxTextLength), "send a shorter query")
	}
	if query.Limit < 0 || query.Limit > maxLimit {
		return badField("Limit", fmt.Sprintf("%d is outside 0 to %d", query.Limit, maxLimit), "ask for fewer hits")
	}
	if math.IsNaN(query.MinCoverage) || query.MinCoverage < 0 || query.MinCoverage > 1 {
		return badField("MinCoverage", fmt.Sprintf("%v is outside 0 to 1", query.MinCoverage), "give a fraction, or leave it out for 1")
	}
	if query.Timeout < minTimeout {
		return badField("Timeout", fmt.Sprintf("%s is below %s", query.Timeout, minTimeout), "give a longer timeout")
	}
	if query.Timeout > checkStep.maxTimeout {
		return badField("Timeout", fmt.Sprintf("%s is above %s", query.Timeout, checkStep.maxTimeout), "give a shorter timeout")
	}
	return nil
}

func badField(field, message, fix string) error {
	return &swcode.Error{Code: swcode.BadField, Ran: swcode.RanNo, Field: field, Message: message, Fix: fix}
}
