// Package swquery runs queries by scatter and gather. The VM that received a query is its root: it runs the query's steps in
// order, sends sub-requests in batches to the owners, hedges and retries them, and merges the answers. An owner is a VM that
// sends sub-requests to backend servers on behalf of roots.
package swquery

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Query is a decoded request of a caller.
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
	// RunKey is set only for non-idempotent work.
	RunKey string
	// Route selects by hash the one shard that runs the query; empty means all shards.
	Route       string
	Fingerprint uint64
}

// Idempotent reports whether sub-requests may be sent more than once.
func (query *Query) Idempotent() bool {
	return query.RunKey == ""
}

// Cohort returns a hash of the query's ID. Under overload, the queries of one priority are shed by cohort.
func (query *Query) Cohort() uint16 {
	var bytes [8]byte
	for i := range bytes {
		bytes[i] = byte(query.ID >> (8 * i))
	}
	return uint16(xxhash.Sum64(bytes[:]))
}

// Coverage is the part of a snapshot that an answer covers.
type Coverage struct {
	Documents int64
	Of        int64
	Shards    int
	OfShards  int
}

// Fraction returns the covered part of the documents, from 0 to 1, or of the shards if the snapshot has no documents.
func (coverage Coverage) Fraction() float64 {
	if coverage.Of > 0 {
		return float64(coverage.Documents) / float64(coverage.Of)
	}
	if coverage.OfShards > 0 {
		return float64(coverage.Shards) / float64(coverage.OfShards)
	}
	return 0
}

// complete reports whether every shard answered.
func (coverage Coverage) complete() bool {
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
	// SubRequests is the number of attempts sent, including hedges and retries.
	SubRequests int
	Hedges      int
	Retries     int
}
