package swquery

import (
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Coverage returns the part of the plan that the answered shards cover.
func (gather *Gather) Coverage() Coverage {
	coverage := Coverage{OfShards: len(gather.shards)}
	for i := range gather.shards {
		shard := &gather.shards[i]
		coverage.Of += shard.plan.Documents
		if shard.state == shardAnswered {
			coverage.Documents += shard.plan.Documents
			coverage.Shards++
		}
	}
	return coverage
}

// Ran reports whether any backend server may have run a part of the query. Open attempts may have run.
func (gather *Gather) Ran() swcode.Ran {
	ran := swcode.RanNo
	for i := range gather.shards {
		shard := &gather.shards[i]
		ran = maxRan(ran, shard.ran)
		if shard.openAttempts > 0 {
			ran = maxRan(ran, swcode.RanUnknown)
		}
	}
	return ran
}

// FirstFailure returns the last outcome of the first failed shard, and the shard's number.
func (gather *Gather) FirstFailure() (answer swbackend.Answer, shard int, found bool) {
	for i := range gather.shards {
		if gather.shards[i].state == shardFailed {
			return gather.shards[i].answer, gather.shards[i].plan.Number, true
		}
	}
	return swbackend.Answer{}, 0, false
}

// countRuns counts the shards of non-idempotent work on which it ran, did not run or may have run.
func (gather *Gather) countRuns() (ran, notRun, unknown int) {
	for i := range gather.shards {
		shard := &gather.shards[i]
		switch {
		case shard.state == shardAnswered:
			ran++
		case shard.openAttempts > 0 || shard.ran == swcode.RanUnknown:
			unknown++
		case shard.ran == swcode.RanYes:
			ran++
		default:
			notRun++
		}
	}
	return ran, notRun, unknown
}

func (shard *gatherShard) recordRan(ran swcode.Ran) {
	shard.ran = maxRan(shard.ran, ran)
}

// maxRan returns the stronger of two values: Yes over Unknown over No.
func maxRan(a, b swcode.Ran) swcode.Ran {
	switch {
	case a == swcode.RanYes || b == swcode.RanYes:
		return swcode.RanYes
	case a == swcode.RanNo && b == swcode.RanNo:
		return swcode.RanNo
	}
	return swcode.RanUnknown
}

// MaxCoverage returns the highest coverage, as a fraction, that the query can still reach.
func (gather *Gather) MaxCoverage() float64 {
	coverage := Coverage{
		Documents: gather.totalDocuments - gather.failedDocuments,
		Of:        gather.totalDocuments,
		Shards:    len(gather.shards) - gather.failedShards,
		OfShards:  len(gather.shards),
	}
	return coverage.Fraction()
}
