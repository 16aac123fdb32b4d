package swquery

import (
	"cmp"
	"slices"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
)

// mergeHits returns the best limit hits of all shards, ordered by descending score, then by ID and shard, so that the order
// does not depend on which answer arrived first.
func mergeHits(shards []gatherShard, limit int) []swbackend.Hit {
	total := 0
	for i := range shards {
		if shards[i].state == shardAnswered {
			total += len(shards[i].answer.Hits)
		}
	}
	hits := make([]swbackend.Hit, 0, total)
	for i := range shards {
		if shards[i].state != shardAnswered {
			continue
		}
		for _, hit := range shards[i].answer.Hits {
			hit.Shard = shards[i].plan.Number
			hits = append(hits, hit)
		}
	}
	slices.SortFunc(hits, compareHits)
	if len(hits) > limit {
		hits = hits[:limit]
	}
	return hits
}

func compareHits(a, b swbackend.Hit) int {
	if order := cmp.Compare(b.Score, a.Score); order != 0 {
		return order
	}
	if order := cmp.Compare(a.ID, b.ID); order != 0 {
		return order
	}
	return cmp.Compare(a.Shard, b.Shard)
}

// mergeCounts sums the counts of the shards that answered, or returns nil if there are none.
func mergeCounts(shards []gatherShard) map[string]int64 {
	var counts map[string]int64
	for i := range shards {
		if shards[i].state != shardAnswered {
			continue
		}
		for name, count := range shards[i].answer.Counts {
			if counts == nil {
				counts = make(map[string]int64)
			}
			counts[name] += count
		}
	}
	return counts
}
