package swgateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swobservation"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// maxLinesPerSecond and maxLineBurst limit the log lines about requests, so that logging at the highest load costs less than
	// a tenth of what serving the requests costs.
	maxLinesPerSecond = 100
	maxLineBurst      = 400
	// sampleInterval is the number of requests that were answered in full and in time of which one is logged.
	sampleInterval = 256
)

// requestLog logs requests through a token bucket. Failed, partial and late requests are logged; of the others only a sample is.
type requestLog struct {
	log zerolog.Logger

	mutex       sync.Mutex
	tokens      float64
	refilledAt  time.Time
	dropped     int
	sampleCount int
}

func newRequestLog(log zerolog.Logger) *requestLog {
	return &requestLog{log: log, tokens: maxLineBurst, refilledAt: time.Now()}
}

// allow reports whether a line may be logged. It first logs how many lines were dropped.
func (requestLog *requestLog) allow(now time.Time) bool {
	requestLog.mutex.Lock()
	defer requestLog.mutex.Unlock()
	requestLog.tokens = min(maxLineBurst, requestLog.tokens+maxLinesPerSecond*now.Sub(requestLog.refilledAt).Seconds())
	requestLog.refilledAt = now
	if requestLog.tokens < 1 {
		requestLog.dropped++
		return false
	}
	requestLog.tokens--
	if requestLog.dropped > 0 {
		requestLog.log.Warn().Int("Dropped", requestLog.dropped).Msg("log lines about requests were dropped by the rate limit")
		requestLog.dropped = 0
	}
	return true
}

// sample reports whether a request that was answered in full and in time is part of the sample.
func (requestLog *requestLog) sample() bool {
	requestLog.mutex.Lock()
	defer requestLog.mutex.Unlock()
	requestLog.sampleCount++
	return requestLog.sampleCount%sampleInterval == 1
}

// logRefusal logs a request that was refused without being sent to a replica. capacity describes the replicas of a service that is taken
// to be full.
func (requestLog *requestLog) logRefusal(request *request, httpRequest *http.Request, refusal *Refusal, capacity func(request *request, service string) []string) {
	now := time.Now()
	if !requestLog.allow(now) {
		return
	}
	line := requestLog.log.Info().Str("Request", request.id).Str("Host", httpRequest.Host).Str("Path", httpRequest.URL.Path).
		Int("Status", refusal.Status).Stringer("Code", refusal.Code).Dur("RetryAfter", refusal.RetryAfter).Dur("Took", now.Sub(request.arrivedAt))
	if request.tenant != nil {
		line = line.Str("Tenant", request.tenantName())
	}
	if request.othersAhead > 0 || request.shareAdmitted > 0 {
		line = line.Int("Ahead", request.othersAhead).Float64("Admitted", request.shareAdmitted)
	}
	if request.table != nil {
		line = line.Uint64("Config", request.table.Version)
	}
	if request.route != nil {
		line = line.Str("Route", request.route.Name).Strs("Without", request.unreachableServices)
		if homes := request.homes.Load(); homes != nil && homes.homes.Limited() {
			line = line.Strs("Homes", homes.homes.Regions())
		}
	}
	if service := request.serviceInNeed(refusal); service != "" {
		line = line.Str("Service", service).Strs("Capacity", capacity(request, service))
	}
	if request.ruleVersion > 0 {
		line = line.Uint64("Rules", request.ruleVersion).Int("Rule", request.decision.Line).Str("Caller", request.caller)
	}
	line.Msg("refused")
}

// serviceInNeed returns the service whose replicas explain a refusal: the full one, or the first one without a replica. It is empty if there is
// none.
func (request *request) serviceInNeed(refusal *Refusal) string {
	switch {
	case len(request.unreachableServices) > 0:
		return request.unreachableServices[0]
	case refusal.Code == swcode.QueueFull:
		return request.service
	}
	return ""
}

// logCall logs a request that was sent. Requests that were answered in full and in time are sampled.
func (requestLog *requestLog) logCall(call *call, refusal *Refusal) {
	now := time.Now()
	complete := refusal == nil && call.answeredShards == len(call.shards)
	late := !call.request.answerBy.IsZero() && now.After(call.request.answerBy)
	if complete && !late && !requestLog.sample() || !requestLog.allow(now) {
		return
	}
	missing := []string{}
	for i := range call.shards {
		if !call.shards[i].answered {
			missing = append(missing, call.shards[i].service)
		}
	}
	line := requestLog.log.Info().Str("Request", call.request.id).Str("Route", call.request.route.Name).Str("Tenant", call.request.tenantName()).
		Uint64("Config", call.request.table.Version).Int("Answers", call.answeredShards).Int("Shards", len(call.shards)).
		Int("Hedges", call.gather.Hedges).Int("Retries", call.gather.Retries).Int("Denied", call.deniedRepeats).Int("Held", call.heldRepeats).
		Int("DeniedWithoutUse", call.deniedWithoutUse).
		Dur("Took", now.Sub(call.request.arrivedAt)).Dur("Within", call.request.deadline.Sub(call.request.arrivedAt)).
		Strs("Missing", missing).Strs("Attempts", call.describeAttempts(complete && !late))
	if call.rejected && !call.request.route.Gathered() {
		line = line.Str("Service", call.request.service).Strs("Capacity", call.handler.describeCapacity(call.request, call.request.service))
	}
	switch {
	case refusal != nil:
		line.Int("Status", refusal.Status).Stringer("Code", refusal.Code).Stringer("Ran", call.gather.Ran()).Msg("not answered")
	case !complete:
		line.Msg("answered in part")
	case late:
		line.Msg("answered late")
	default:
		line.Msg("answered")
	}
}

// logClientGone logs a request whose client closed the connection.
func (requestLog *requestLog) logClientGone(call *call) {
	if !requestLog.allow(time.Now()) {
		return
	}
	requestLog.log.Info().Str("Request", call.request.id).Str("Route", call.request.route.Name).Str("Tenant", call.request.tenantName()).
		Dur("Took", time.Since(call.request.arrivedAt)).Strs("Attempts", call.describeAttempts(false)).Msg("the client left")
}

// unprovenRejectionOutcome is the outcome in the log of an attempt whose response is a meaningUnprovenRejection.
const unprovenRejectionOutcome = "UnprovenRejection"

// attemptRecord describes one attempt for the log.
type attemptRecord struct {
	id      uint64
	service string
	replica *swreplica.Replica
	// relay is the VM that relayed the attempt; empty if it went directly to the replica.
	relay string
	// connection is the number of this VM's connection that carried the attempt; zero if none did or the attempt is open.
	connection uint64
	// startedAt is when the attempt was started, endedAt when its outcome arrived; the zero time until then.
	startedAt time.Time
	endedAt   time.Time
	// status is that of the replica's response; zero if there is none.
	status  int
	outcome string
	// shared is what all VMs together knew about the replica, and left why the attempt left the data centre; empty if it did not.
	shared swobservation.Estimate
	left   leaveReason
}

// describe describes an attempt of a request that arrived at the given time.
func (attemptRecord *attemptRecord) describe(arrivedAt time.Time) string {
	took := "open"
	if !attemptRecord.endedAt.IsZero() {
		took = attemptRecord.endedAt.Sub(attemptRecord.startedAt).Round(100 * time.Microsecond).String()
	}
	path := attemptRecord.replica.Distance().String()
	if attemptRecord.relay != "" {
		path += "/" + attemptRecord.relay
	}
	if attemptRecord.left != "" {
		path += "/" + string(attemptRecord.left)
	}
	if attemptRecord.shared != (swobservation.Estimate{}) {
		path += fmt.Sprintf("/shared:%.2f,%.2f,%.2f,%d", attemptRecord.shared.Loss, attemptRecord.shared.Rejection, attemptRecord.shared.Slowness, attemptRecord.shared.VMs)
	}
	if attemptRecord.connection != 0 {
		path += "#" + strconv.FormatUint(attemptRecord.connection, 10)
	}
	outcome := attemptRecord.outcome
	if attemptRecord.status >= http.StatusMultipleChoices {
		outcome = strconv.Itoa(attemptRecord.status) + " " + outcome
	}
	return fmt.Sprintf("%s %s %s +%s %s %s", attemptRecord.service, attemptRecord.replica.ID(), path,
		attemptRecord.startedAt.Sub(arrivedAt).Round(100*time.Microsecond), took, outcome)
}

// describeAttempts returns one entry per attempt, from before the request was requeued as well; with failedOnly it skips those that were
// answered.
func (call *call) describeAttempts(failedOnly bool) []string {
	lines := []string{}
	for _, attempts := range [][]attemptRecord{call.request.earlierAttempts, call.attempts} {
		for i := range attempts {
			if failedOnly && attempts[i].outcome == "Answered" {
				continue
			}
			lines = append(lines, attempts[i].describe(call.request.arrivedAt))
		}
	}
	return lines
}
