package swquery

import "context"

// mergeStep merges the answers of the shards.
type mergeStep struct{}

func (*mergeStep) String() string { return "merge the answers" }

// Run sets the hits and counts of the result.
func (*mergeStep) Run(_ context.Context, execution *execution) error {
	execution.result.Hits = mergeHits(execution.gather.shards, execution.query.Limit)
	execution.result.Counts = mergeCounts(execution.gather.shards)
	return nil
}
