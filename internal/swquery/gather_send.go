package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Tick sends the hedges that are due.
func (gather *Gather) Tick(now time.Time) Actions {
	gather.resetActions()
	if now.Before(gather.nextTick) {
		return gather.actions
	}
	gather.nextTick = time.Time{}
	if !gather.config.Idempotent || gather.mayCrashServers() || (gather.config.Canary && !gather.anyAnswered) {
		return gather.actions
	}
	for position := range gather.shards {
		shard := &gather.shards[position]
		if shard.state != shardRunning || shard.hedgeAt.IsZero() {
			continue
		}
		if now.Before(shard.hedgeAt) {
			gather.scheduleTick(shard.hedgeAt)
			continue
		}
		gather.hedge(now, position)
	}
	return gather.actions
}

// hedge sends one more attempt for a late shard. If the budget denies it, the hedge is scheduled again, since a shard that
// stays late needs it more than one that has just become late.
func (gather *Gather) hedge(now time.Time, position int) {
	shard := &gather.shards[position]
	shard.hedgeAt = time.Time{}
	gather.reportLate(now, shard)
	if !gather.hasTarget(shard) {
		return
	}
	if gather.config.Budget.Take(shard.plan.Number) && gather.sendAttempt(now, position) {
		gather.Hedges++
		return
	}
	gather.scheduleHedge(now, shard, shard.plan.Targets[shard.nextTarget])
}

// replaceHedge replaces a hedge that reached no server. It takes nothing from the budget, which already granted the hedge.
func (gather *Gather) replaceHedge(now time.Time, position int, answer swbackend.Answer) {
	shard := &gather.shards[position]
	if !gather.config.Idempotent || gather.sendingStopped || gather.mayCrashServers() || !usedNoCapacity(answer.Outcome) || !gather.hasTarget(shard) {
		return
	}
	gather.sendAttempt(now, position)
}

// reportLate passes the open attempts of a shard to OnLate.
func (gather *Gather) reportLate(now time.Time, shard *gatherShard) {
	for i := range shard.attempts {
		attempt := &shard.attempts[i]
		if attempt.ended || attempt.reportedLate || gather.config.OnLate == nil {
			continue
		}
		attempt.reportedLate = true
		gather.config.OnLate(attempt.target.Server, now.Sub(attempt.sentAt))
	}
}

// scheduleHedge sets the time of the shard's next hedge.
func (gather *Gather) scheduleHedge(now time.Time, shard *gatherShard, target Target) {
	if gather.config.HedgeDelay == nil {
		return
	}
	if wait := gather.config.HedgeDelay(shard.plan.Number, target); wait > 0 {
		shard.hedgeAt = now.Add(wait)
		gather.scheduleTick(shard.hedgeAt)
	}
}

// SendElsewhere sends one more attempt for each shard whose open attempts all match, such as those of an unresponsive owner.
// The matching attempts stay open, so an answer of a slow owner still counts, and a shard without budget keeps waiting for it.
func (gather *Gather) SendElsewhere(now time.Time, matches func(attemptID uint64, target Target) bool) Actions {
	gather.resetActions()
	if !gather.config.Idempotent || gather.mayCrashServers() || gather.sendingStopped {
		return gather.actions
	}
	for position := range gather.shards {
		shard := &gather.shards[position]
		if shard.state != shardRunning || !gather.waitsOnlyFor(position, matches) || !gather.hasTarget(shard) {
			continue
		}
		if gather.config.Budget.Take(shard.plan.Number) && gather.sendAttempt(now, position) {
			gather.Retries++
		}
	}
	return gather.actions
}

// waitsOnlyFor reports whether a shard has open attempts and all of them match.
func (gather *Gather) waitsOnlyFor(position int, matches func(attemptID uint64, target Target) bool) bool {
	shard := &gather.shards[position]
	if shard.openAttempts == 0 {
		return false
	}
	for i := range shard.attempts {
		if !shard.attempts[i].ended && !matches(gather.attemptID(position, i), shard.attempts[i].target) {
			return false
		}
	}
	return true
}

// NextTick returns a time no later than the next due hedge, or the zero time if no hedge is scheduled.
func (gather *Gather) NextTick() time.Time {
	return gather.nextTick
}

func (gather *Gather) scheduleTick(at time.Time) {
	if gather.nextTick.IsZero() || at.Before(gather.nextTick) {
		gather.nextTick = at
	}
}

// sendAttempt sends an attempt to the shard's next target and reports whether there was one. A shard without a target and
// without open attempts fails.
func (gather *Gather) sendAttempt(now time.Time, position int) bool {
	shard := &gather.shards[position]
	if !gather.hasTarget(shard) {
		gather.failUnreachable(position)
		return false
	}
	if gather.config.SortTargets != nil {
		gather.config.SortTargets(shard.plan.Number, shard.plan.Targets[shard.nextTarget:])
	}
	target := shard.plan.Targets[shard.nextTarget]
	shard.nextTarget++
	shard.attempts = append(shard.attempts, attempt{target: target, sentAt: now})
	shard.openAttempts++
	gather.Attempts++
	shard.hedgeAt = time.Time{}
	gather.scheduleHedge(now, shard, target)
	gather.actions.Send = append(gather.actions.Send, Command{
		Attempt: gather.attemptID(position, len(shard.attempts)-1),
		Shard:   shard.plan.Number,
		Target:  target,
	})
	return true
}

// hasTarget advances to the shard's next usable target and reports whether there is one and an attempt is left.
func (gather *Gather) hasTarget(shard *gatherShard) bool {
	if len(shard.attempts) >= maxAttempts || shard.countMayHaveRun() >= gather.config.MaxAttempts {
		return false
	}
	for shard.nextTarget < len(shard.plan.Targets) {
		if !shard.isExcluded(shard.plan.Targets[shard.nextTarget].Server) {
			return true
		}
		shard.nextTarget++
	}
	return false
}

// countMayHaveRun returns the number of attempts that may have run.
func (shard *gatherShard) countMayHaveRun() int {
	count := 0
	for i := range shard.attempts {
		if !shard.attempts[i].notRun {
			count++
		}
	}
	return count
}

func (shard *gatherShard) isExcluded(server string) bool {
	for i := range shard.attempts {
		if shard.attempts[i].serverExcluded && shard.attempts[i].target.Server == server {
			return true
		}
	}
	return false
}

// failUnreachable fails a shard without open attempts that has no target left.
func (gather *Gather) failUnreachable(position int) {
	shard := &gather.shards[position]
	if shard.state != shardRunning || shard.openAttempts > 0 {
		return
	}
	shard.answer = swbackend.Answer{Outcome: swbackend.Unreachable, Ran: swcode.RanNo, Code: swcode.NoReplica, Message: "no usable replica is left"}
	gather.failShard(position)
}
