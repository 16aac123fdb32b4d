package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
)

// crasher reports whether the request may have killed the server that died with it in flight: no server has answered it.
func (gather *Gather) crasher() bool {
	return !gather.answered && gather.config.MayRetryCrashed != nil && !gather.config.MayRetryCrashed()
}

// holdBack keeps a shard whose server died from being tried again until another shard has answered, which shows that the
// request does not kill what runs it. It does not hold back when no other shard could answer.
func (gather *Gather) holdBack(shard *gatherShard, answer swbackend.Answer) bool {
	if !answer.Crash || !gather.config.Idempotent || !gather.hasTarget(shard) || !gather.crasher() || !gather.pending() {
		return false
	}
	shard.held = true
	gather.held++
	return true
}

// pending reports whether an attempt of any shard has no outcome yet.
func (gather *Gather) pending() bool {
	for i := range gather.shards {
		if gather.shards[i].state == shardRunning && gather.shards[i].running > 0 {
			return true
		}
	}
	return false
}

// releaseHeld tries the shards that were held back again.
func (gather *Gather) releaseHeld(now time.Time) {
	for i := 0; gather.held > 0 && i < len(gather.shards); i++ {
		if gather.takeHeld(i) {
			gather.retryOrFail(now, i)
		}
	}
}

// failHeld gives up the shards that were held back once no attempt is left that could answer.
func (gather *Gather) failHeld() {
	if gather.held == 0 || gather.pending() {
		return
	}
	for i := 0; gather.held > 0 && i < len(gather.shards); i++ {
		if gather.takeHeld(i) {
			gather.fail(i)
		}
	}
}

func (gather *Gather) takeHeld(position int) bool {
	shard := &gather.shards[position]
	if !shard.held {
		return false
	}
	shard.held = false
	gather.held--
	return true
}
