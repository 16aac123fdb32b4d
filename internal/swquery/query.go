// Package swquery runs queries: the ordered steps at the root, the scatter to owners, the gather with hedges and retries,
// and the owner's side of a batch.
package swquery

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Query is one request of a caller after decoding.
type Query struct {
	ID          uint64
	RequestID   string
	Caller      string
	Kind        string
	Index       string
	Text        string
	Limit       int
	MinCoverage float64
	Timeout     time.Duration
	// RunKey marks non-idempotent work.
	RunKey string
	// Route limits the work to the one shard that it hashes to; empty means every shard.
	Route       string
	Fingerprint uint64
}

// Idempotent reports whether sub-requests may be sent more than once.
func (query *Query) Idempotent() bool {
	return query.RunKey == ""
}

// Cohort places the query in the order in which its priority is shed.
func (query *Query) Cohort() uint16 {
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(query.ID >> (8 * i))
	}
	return uint16(xxhash.Sum64(bytes[:]))
}

// Coverage tells how much of the snapshot an answer covers.
type Coverage struct {
	Documents int64
	Of        int64
	Shards    int
	OfShards  int
}

// Fraction returns the covered part, from 0 to 1. A snapshot without documents is covered by its shards.
func (coverage Coverage) Fraction() float64 {
	if coverage.Of > 0 {
		return float64(coverage.Documents) / float64(coverage.Of)
	}
	if coverage.OfShards > 0 {
		return float64(coverage.Shards) / float64(coverage.OfShards)
	}
	return 0
}

// whole reports whether every shard answered.
func (coverage Coverage) whole() bool {
	return coverage.Shards == coverage.OfShards
}

// Result is the answer to a Query, or its refusal.
type Result struct {
	Code        swcode.Code
	Ran         swcode.Ran
	Err         *swcode.Error
	Snapshot    string
	Coverage    Coverage
	RuleVersion uint64
	Rule        int
	Priority    swrule.Priority
	Hits        []swbackend.Hit
	Counts      map[string]int64
	Took        time.Duration
	// SubRequests is the number of attempts sent, hedges and retries included.
	SubRequests int
	Hedges      int
	Retries     int
}
