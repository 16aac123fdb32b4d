package swquery

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// planStep orders the replicas of each shard and refuses the query if backend servers shed its cohort.
type planStep struct {
	engine *Engine
}

func (*planStep) String() string { return "plan shards, replicas and owners" }

// Run sets the plan of the query. A refusal here comes before any backend server has received the query.
func (planStep *planStep) Run(_ context.Context, execution *execution) error {
	engine := planStep.engine
	execution.view = engine.config.Members.View()
	execution.plan = engine.planner.Plan(time.Now(), execution.query.Index, execution.snapshot, execution.view)
	execution.routeToOneShard()
	if !engine.config.ShedByCohort {
		return nil
	}
	return planStep.applyAdmission(execution)
}

// applyAdmission refuses the query if a shard has no server that admits it, and otherwise prefers the servers that do.
func (planStep *planStep) applyAdmission(execution *execution) error {
	gate := planStep.engine.config.Gate
	query := swadmission.Query{
		Priority: execution.decision.Priority,
		Caller:   execution.query.Caller,
		Cohort:   execution.query.Cohort(),
	}
	retryAfter, admitted := gate.Admit(query, shardServers(execution.plan))
	if !admitted {
		refusal := execution.refuse(swcode.ShedByPriority, "the owners of the required backend servers are shedding "+query.Priority.String()+" work")
		refusal.RetryAfter = retryAfter
		return refusal
	}
	for i := range execution.plan {
		preferAccepting(execution.plan[i].Targets, gate, query)
	}
	return nil
}

// shardServers lists the backend servers of each shard.
func shardServers(plan []ShardPlan) [][]string {
	total := 0
	for i := range plan {
		total += len(plan[i].Targets)
	}
	backing := make([]string, 0, total)
	shards := make([][]string, len(plan))
	for i := range plan {
		first := len(backing)
		for _, target := range plan[i].Targets {
			backing = append(backing, target.Server)
		}
		shards[i] = backing[first:len(backing):len(backing)]
	}
	return shards
}

// preferAccepting moves the first target whose server admits the query to the front.
func preferAccepting(targets []Target, gate Gate, query swadmission.Query) {
	for i := range targets {
		if !gate.Accepts(targets[i].Server, query) {
			continue
		}
		accepting := targets[i]
		copy(targets[1:i+1], targets[:i])
		targets[0] = accepting
		return
	}
}

// routeToOneShard reduces the plan to the shard that the query's route hashes to, if it has a route.
func (execution *execution) routeToOneShard() {
	if execution.query.Route == "" || len(execution.plan) == 0 {
		return
	}
	position := xxhash.Sum64String(execution.query.Route) % uint64(len(execution.plan))
	execution.plan = execution.plan[position : position+1]
}
