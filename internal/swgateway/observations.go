package swgateway

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swobservation"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

const (
	// spreadJitter replaces costJitter while all VMs together see something unusual at a replica of the shard. All of them then leave it at
	// about the same time, and would go to the same other one.
	spreadJitter = 0.25
	// probeShare is the fraction of first attempts for which the observations of other VMs do not count. All VMs together then send a
	// replica that they avoid about one request in four seconds, which shows its recovery; more would cost searches too many parts.
	probeShare = 0.01
	// slowFactor is the multiple of the service's usual latency above which an answer is slow. Latencies that vary by a third of their mean
	// exceed it once in forty attempts.
	slowFactor = 2
)

// pathAllowance is the part of a latency that the path to a replica explains: a round trip, and two for a new connection between regions.
var pathAllowance = map[swreplica.Distance]time.Duration{swreplica.SameRegion: 10 * time.Millisecond, swreplica.OtherRegion: 80 * time.Millisecond}

// sharedEstimates returns what all VMs together know about the remaining replicas of a shard, or nil if that is nothing, and the jitter
// of their costs.
func (call *call) sharedEstimates(now time.Time, shardCall *shardCall, remaining []swquery.Target) ([]swobservation.Estimate, float64) {
	tracker := call.handler.config.Observations
	if !tracker.KnowsAny() {
		return nil, costJitter
	}
	isFirst := len(remaining) == len(shardCall.replicas)
	if isFirst && rand.Float64() < probeShare {
		return nil, costJitter
	}
	estimates, jitter := make([]swobservation.Estimate, len(remaining)), costJitter
	for i, target := range remaining {
		estimates[i] = tracker.Estimate(now, target.Server)
		if estimates[i] != (swobservation.Estimate{}) {
			jitter = spreadJitter
		}
	}
	return estimates, jitter
}

// countObservation counts the outcome of an attempt for the other VMs. Attempts that were not sent, were cancelled, failed at a relay, or met
// this VM's own links say nothing about the replica.
func (call *call) countObservation(result *attemptResult, answer swbackend.Answer) {
	tracker := call.handler.config.Observations
	if tracker == nil {
		return
	}
	outcome := swobservation.Answered
	switch answer.Outcome {
	case swbackend.Answered:
		// The estimate of a service's latency starts low and follows slowly at a VM that sends it few requests.
		usual := max(call.handler.latencies.routeMedian(call.request.route.Name).Value(),
			call.handler.latencies.serviceLatency(call.shards[result.command.Shard].service))
		if !result.detoured && result.endedAt.Sub(result.replicaResult.SentAt) > slowFactor*usual+pathAllowance[result.replica.Distance()] {
			outcome = swobservation.AnsweredSlowly
		}
	case swbackend.Broken, swbackend.Failed:
		switch result.replicaResult.Outcome {
		case swreplica.RelayFailed, swreplica.Overlong, swreplica.LinksLost:
			return
		case swreplica.Broken:
			if !result.relay.Valid() {
				id := result.replica.ID()
				result.replica.RecordFailure(result.endedAt, func(now time.Time) { tracker.Observe(now, id, swobservation.Lost) })
				return
			}
		}
		outcome = swobservation.Lost
	case swbackend.Shed:
		if result.meaning == meaningWrongReplica {
			return
		}
		outcome = swobservation.Rejected
	default:
		return
	}
	tracker.Observe(result.endedAt, result.replica.ID(), outcome)
}
