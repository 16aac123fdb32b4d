package swgateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swspillover"
)

const (
	// otherPlaceCost ranks the replicas of other places behind those of the place that was chosen, and before those that do not answer.
	otherPlaceCost = 5 * time.Second
	// bytesWeight is the weight of a new answer in a service's average of bytes.
	bytesWeight = 0.05
)

// serviceSpill holds which share of the requests for a service leaves the data centre, and the average bytes of a request and its answer.
type serviceSpill struct {
	balancer swspillover.Balancer

	mutex sync.Mutex
	bytes float64
}

func (serviceSpill *serviceSpill) observe(bytes int) {
	serviceSpill.mutex.Lock()
	defer serviceSpill.mutex.Unlock()
	if serviceSpill.bytes == 0 {
		serviceSpill.bytes = float64(bytes)
	}
	serviceSpill.bytes += bytesWeight * (float64(bytes) - serviceSpill.bytes)
}

func (serviceSpill *serviceSpill) averageBytes() int {
	serviceSpill.mutex.Lock()
	defer serviceSpill.mutex.Unlock()
	return int(serviceSpill.bytes)
}

// spill chooses the place of one attempt. A nil spill leaves fixed penalties in force.
type spill struct {
	service *serviceSpill
	// isFirst is set for a first attempt. Hedges and retries are few and go to the replica with the least cost.
	isFirst bool
	prices  [swspillover.Places]time.Duration
	// untilTarget and untilDeadline are the times left until the target latency and the deadline of the request.
	untilTarget, untilDeadline time.Duration
	// sound and suspect are what the places offer by replicas that are sound, and by those that are suspected to fail.
	sound, suspect [swspillover.Places]swspillover.Option
	places         []swreplica.Distance
}

// newSpill returns the choice of a place for an attempt at a shard, or nil if the settings do not call for one.
func (call *call) newSpill(now time.Time, shardCall *shardCall, remaining []swquery.Target) *spill {
	prices := call.handler.config.Prices
	if !prices.Enabled() {
		return nil
	}
	service := call.handler.spills.GetOrPut(shardCall.service, func() *serviceSpill { return &serviceSpill{} })
	untilTarget := time.Duration(0)
	if !call.request.answerBy.IsZero() {
		untilTarget = max(0, call.request.answerBy.Sub(now))
	}
	return &spill{
		untilTarget: untilTarget, untilDeadline: max(0, call.request.deadline.Sub(now)),
		service: service, isFirst: len(remaining) == len(shardCall.replicas),
		prices: prices.Of(service.averageBytes()), places: make([]swreplica.Distance, 0, len(remaining)),
	}
}

// price sets the price of a candidate's distance.
func (spill *spill) price(candidate *swreplica.Candidate) {
	if spill != nil {
		candidate.Priced, candidate.Price = true, spill.prices[candidate.Distance]
	}
}

// offer adds a candidate with its cost, which includes the price, to what its place offers. One that is not eligible counts for nothing there.
func (spill *spill) offer(candidate *swreplica.Candidate, cost time.Duration, eligible bool) {
	if spill == nil {
		return
	}
	spill.places = append(spill.places, candidate.Distance)
	if !eligible {
		return
	}
	offers := &spill.sound
	if candidate.Suspect() {
		offers = &spill.suspect
	}
	option := &offers[candidate.Distance]
	if taken := swspillover.WithTargets(cost-candidate.Price, spill.untilTarget, spill.untilDeadline); !option.Available || taken < option.Time {
		*option = swspillover.Option{Available: true, Time: taken, Price: candidate.Price}
	}
}

// choose returns what is added to the cost of each candidate so that the place of this attempt comes first. Places whose replicas are all
// suspected to fail are chosen only if there is no other.
func (spill *spill) choose(now time.Time) []time.Duration {
	if spill == nil || !spill.isFirst {
		return nil
	}
	place, ok := spill.service.balancer.Choose(now, spill.sound, rand.Float64())
	if !ok {
		return nil
	}
	added := make([]time.Duration, len(spill.places))
	for i := range added {
		if int(spill.places[i]) != place {
			added[i] = otherPlaceCost
		}
	}
	return added
}

// countSpilledBytes observes the bytes of a request and its answer, and counts those that left the data centre, by destination and reason.
func (call *call) countSpilledBytes(result *attemptResult, answer swbackend.Answer) {
	if answer.Outcome != swbackend.Answered {
		return
	}
	bytes := len(call.request.head) + len(call.request.body) + len(result.replicaResult.Response.Body)
	if left := call.reasonOf(result.command.Attempt); left != "" {
		dataCentre := result.replica.Entry().DataCentre
		call.handler.config.Recorder.CountEvent("left_to_"+dataCentre, 1)
		call.handler.config.Recorder.CountEvent("left_bytes_to_"+dataCentre, int64(bytes))
		call.handler.config.Recorder.CountEvent("left_for_"+string(left), 1)
	}
	if call.handler.config.Prices.Enabled() {
		service := call.shards[result.command.Shard].service
		call.handler.spills.GetOrPut(service, func() *serviceSpill { return &serviceSpill{} }).observe(bytes)
	}
}

// leaveReason is why an attempt left the data centre.
type leaveReason string

const (
	// leftNoOwnReplica is that the shard has no replica here that may get the request.
	leftNoOwnReplica leaveReason = "no_own_replica"
	// leftRepeat is that the attempt is a hedge or a retry.
	leftRepeat leaveReason = "repeat"
	// leftOwnDearer is that the own replicas were expected to cost more, or that a share of the requests leaves.
	leftOwnDearer leaveReason = "own_dearer"
)

// recordChoice records why an attempt goes to its replica, for the log.
func (call *call) recordChoice(now time.Time, record *attemptRecord, shard *shardCall) {
	record.shared = call.handler.config.Observations.Estimate(now, record.replica.ID())
	if record.replica.Distance() == swreplica.SameDataCentre {
		return
	}
	record.left = leftNoOwnReplica
	for _, replica := range shard.replicas {
		if replica.Distance() == swreplica.SameDataCentre {
			record.left = leftOwnDearer
		}
	}
	first := slices.IndexFunc(call.attempts, func(attempt attemptRecord) bool { return attempt.service == record.service })
	if record.left == leftOwnDearer && call.attempts[first].id != record.id {
		record.left = leftRepeat
	}
}

// reasonOf returns why an attempt left the data centre; empty if it did not.
func (call *call) reasonOf(attemptID uint64) leaveReason {
	for i := range call.attempts {
		if call.attempts[i].id == attemptID {
			return call.attempts[i].left
		}
	}
	return ""
}
