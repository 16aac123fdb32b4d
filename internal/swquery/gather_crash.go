package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
)

// mayHaveCausedCrash reports whether the request may have caused the crash of a server that had it in flight: no server has
// answered it, and MayRetryAfterCrash returns false.
func (gather *Gather) mayHaveCausedCrash() bool {
	return !gather.anyAnswered && gather.config.MayRetryAfterCrash != nil && !gather.config.MayRetryAfterCrash()
}

// deferRetry defers the retry of a shard whose server crashed until another shard has answered, which shows that the request
// does not crash every server that runs it. It returns false if no other shard could answer.
func (gather *Gather) deferRetry(shard *gatherShard, answer swbackend.Answer) bool {
	if !answer.Crash || !gather.config.Idempotent || !gather.hasTarget(shard) || !gather.mayHaveCausedCrash() || !gather.hasOpenAttempts() {
		return false
	}
	shard.deferred = true
	gather.deferredShards++
	return true
}

// hasOpenAttempts reports whether any undecided shard has an attempt without an outcome.
func (gather *Gather) hasOpenAttempts() bool {
	for i := range gather.shards {
		if gather.shards[i].state == shardRunning && gather.shards[i].openAttempts > 0 {
			return true
		}
	}
	return false
}

// retryDeferred retries the shards whose retry was deferred.
func (gather *Gather) retryDeferred(now time.Time) {
	for i := 0; gather.deferredShards > 0 && i < len(gather.shards); i++ {
		if gather.clearDeferred(i) {
			gather.retryOrFail(now, i)
		}
	}
}

// failDeferred fails the shards whose retry was deferred once no open attempt is left that could answer.
func (gather *Gather) failDeferred() {
	if gather.deferredShards == 0 || gather.hasOpenAttempts() {
		return
	}
	for i := 0; gather.deferredShards > 0 && i < len(gather.shards); i++ {
		if gather.clearDeferred(i) {
			gather.failShard(i)
		}
	}
}

func (gather *Gather) clearDeferred(position int) bool {
	shard := &gather.shards[position]
	if !shard.deferred {
		return false
	}
	shard.deferred = false
	gather.deferredShards--
	return true
}
