package swquery

import (
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Coverage returns what the answered shards cover of the plan.
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

// Ran tells whether any backend server may have run a part of the query. Attempts without an outcome may have run.
func (gather *Gather) Ran() swcode.Ran {
	ran := swcode.RanNo
	for i := range gather.shards {
		shard := &gather.shards[i]
		ran = moreRan(ran, shard.ran)
		if shard.running > 0 {
			ran = moreRan(ran, swcode.RanUnknown)
		}
	}
	return ran
}

// Failure returns the outcome of the first failed shard, and the shard's number.
func (gather *Gather) Failure() (answer swbackend.Answer, shard int, found bool) {
	for i := range gather.shards {
		if gather.shards[i].state == shardFailed {
			return gather.shards[i].answer, gather.shards[i].plan.Number, true
		}
	}
	return swbackend.Answer{}, 0, false
}

// tally counts the shards of non-idempotent work by whether they ran.
func (gather *Gather) tally() (ran, notRun, unknown int) {
	for i := range gather.shards {
		shard := &gather.shards[i]
		switch {
		case shard.state == shardAnswered:
			ran++
		case shard.running > 0 || shard.ran == swcode.RanUnknown:
			unknown++
		case shard.ran == swcode.RanYes:
			ran++
		default:
			notRun++
		}
	}
	return ran, notRun, unknown
}

func (shard *gatherShard) noteRan(ran swcode.Ran) {
	shard.ran = moreRan(shard.ran, ran)
}

// moreRan returns Yes over Unknown over No.
func moreRan(a, b swcode.Ran) swcode.Ran {
	if a == swcode.RanYes || b == swcode.RanYes {
		return swcode.RanYes
	}
	if a == swcode.RanUnknown || b == swcode.RanUnknown {
		return swcode.RanUnknown
	}
	return swcode.RanNo
}

// Reachable returns the highest coverage that the query can still come to, as a fraction.
func (gather *Gather) MaxCoverage() float64 {
	coverage := Coverage{
		Documents: gather.total - gather.failed,
		Of:        gather.total,
		Shards:    len(gather.shards) - gather.failedShards,
		OfShards:  len(gather.shards),
	}
	return coverage.Fraction()
}
