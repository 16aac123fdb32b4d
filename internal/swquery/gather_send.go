package swquery

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// Tick sends the hedges that are due.
func (gather *Gather) Tick(now time.Time) Actions {
	gather.reset()
	if now.Before(gather.nextTick) {
		return gather.orders
	}
	gather.nextTick = time.Time{}
	if !gather.config.Idempotent || gather.suspect() || (gather.config.Canary && !gather.answered) {
		return gather.orders
	}
	for position := range gather.shards {
		shard := &gather.shards[position]
		if shard.state != shardRunning || shard.hedgeAt.IsZero() {
			continue
		}
		if now.Before(shard.hedgeAt) {
			gather.noteTick(shard.hedgeAt)
			continue
		}
		gather.hedge(now, position)
	}
	return gather.orders
}

// hedge sends one more attempt for a shard that is late. Without budget it asks again later, since a shard that stays late
// needs the hedge more than one that is only just late.
func (gather *Gather) hedge(now time.Time, position int) {
	shard := &gather.shards[position]
	shard.hedgeAt = time.Time{}
	gather.noteLate(now, shard)
	if !gather.hasTarget(shard) {
		return
	}
	if gather.config.Budget.Take(shard.plan.Number) && gather.send(now, position) {
		gather.Hedges++
		return
	}
	gather.scheduleHedge(now, shard, shard.plan.Targets[shard.nextTarget])
}

// replaceHedge sends another hedge in place of one that reached no server: the budget granted it, and the shard is as late as
// before.
func (gather *Gather) replaceHedge(now time.Time, position int, answer swbackend.Answer) {
	shard := &gather.shards[position]
	if !gather.config.Idempotent || gather.closed || gather.suspect() || !costsNothing(answer.Outcome) || !gather.hasTarget(shard) {
		return
	}
	gather.send(now, position)
}

// noteLate tells of the attempts of a shard that are late.
func (gather *Gather) noteLate(now time.Time, shard *gatherShard) {
	for i := range shard.attempts {
		attempt := &shard.attempts[i]
		if attempt.ended || attempt.late || gather.config.OnLate == nil {
			continue
		}
		attempt.late = true
		gather.config.OnLate(attempt.target.Server, now.Sub(attempt.sentAt))
	}
}

// scheduleHedge sets the time of the next hedge of a shard.
func (gather *Gather) scheduleHedge(now time.Time, shard *gatherShard, target Target) {
	if gather.config.HedgeAfter == nil {
		return
	}
	if wait := gather.config.HedgeAfter(shard.plan.Number, target); wait > 0 {
		shard.hedgeAt = now.Add(wait)
		gather.noteTick(shard.hedgeAt)
	}
}

// Overtake sends one more attempt for each shard that waits only for attempts that match, such as those of an owner that
// is silent. The attempts themselves stay: an owner that was only slow still counts, and a shard for which the budget
// grants nothing goes on waiting for it.
func (gather *Gather) Overtake(now time.Time, matches func(attemptID uint64, target Target) bool) Actions {
	gather.reset()
	if !gather.config.Idempotent || gather.suspect() || gather.closed {
		return gather.orders
	}
	for position := range gather.shards {
		shard := &gather.shards[position]
		if shard.state != shardRunning || !gather.waitsOnlyFor(position, matches) || !gather.hasTarget(shard) {
			continue
		}
		if gather.config.Budget.Take(shard.plan.Number) && gather.send(now, position) {
			gather.Retries++
		}
	}
	return gather.orders
}

// waitsOnlyFor reports whether a shard has attempts without an outcome and all of them match.
func (gather *Gather) waitsOnlyFor(position int, matches func(attemptID uint64, target Target) bool) bool {
	shard := &gather.shards[position]
	if shard.running == 0 {
		return false
	}
	for i := range shard.attempts {
		if !shard.attempts[i].ended && !matches(gather.attemptID(position, i), shard.attempts[i].target) {
			return false
		}
	}
	return true
}

// NextTick returns a time no later than the next hedge, or the zero time when none is due.
func (gather *Gather) NextTick() time.Time {
	return gather.nextTick
}

func (gather *Gather) noteTick(at time.Time) {
	if gather.nextTick.IsZero() || at.Before(gather.nextTick) {
		gather.nextTick = at
	}
}

func (gather *Gather) send(now time.Time, position int) bool {
	shard := &gather.shards[position]
	if !gather.hasTarget(shard) {
		gather.failUnreachable(position)
		return false
	}
	if gather.config.Order != nil {
		gather.config.Order(shard.plan.Number, shard.plan.Targets[shard.nextTarget:])
	}
	target := shard.plan.Targets[shard.nextTarget]
	shard.nextTarget++
	shard.attempts = append(shard.attempts, attempt{target: target, sentAt: now})
	shard.running++
	gather.Attempts++
	shard.hedgeAt = time.Time{}
	gather.scheduleHedge(now, shard, target)
	gather.orders.Send = append(gather.orders.Send, Command{
		Attempt: gather.attemptID(position, len(shard.attempts)-1),
		Shard:   shard.plan.Number,
		Target:  target,
	})
	return true
}

// hasTarget moves on to the next target whose server may answer, and reports whether there is one.
func (gather *Gather) hasTarget(shard *gatherShard) bool {
	if len(shard.attempts) >= maxAttempts || shard.mayHaveRun() >= gather.config.MaxAttempts {
		return false
	}
	for shard.nextTarget < len(shard.plan.Targets) {
		if !shard.isUseless(shard.plan.Targets[shard.nextTarget].Server) {
			return true
		}
		shard.nextTarget++
	}
	return false
}

// mayHaveRun counts the attempts that have run for all that is known.
func (shard *gatherShard) mayHaveRun() int {
	count := 0
	for i := range shard.attempts {
		if !shard.attempts[i].notRun {
			count++
		}
	}
	return count
}

func (shard *gatherShard) isUseless(server string) bool {
	for i := range shard.attempts {
		if shard.attempts[i].useless && shard.attempts[i].target.Server == server {
			return true
		}
	}
	return false
}

// failUnreachable fails a shard that has no replica to send to.
func (gather *Gather) failUnreachable(position int) {
	shard := &gather.shards[position]
	if shard.state != shardRunning || shard.running > 0 {
		return
	}
	shard.answer = swbackend.Answer{Outcome: swbackend.Unreachable, Code: swcode.NoReplica, Message: "no live replica is left"}
	gather.fail(position)
}
