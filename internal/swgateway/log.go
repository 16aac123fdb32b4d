package swgateway

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
)

const (
	// linesPerSecond and linesAtOnce bound the lines about requests: what a VM logs under its worst load stays below a tenth
	// of what it spends on the requests.
	linesPerSecond = 100
	linesAtOnce    = 400
	// sampleOne is the part of requests without anything to tell that are logged: one in so many.
	sampleOne = 256
)

// requestLog bounds the lines about requests. What failed goes before what is ordinary, of which only a sample is logged.
type requestLog struct {
	log zerolog.Logger

	mutex   sync.Mutex
	tokens  float64
	at      time.Time
	dropped int
	served  int
}

func newRequestLog(log zerolog.Logger) *requestLog {
	return &requestLog{log: log, tokens: linesAtOnce, at: time.Now()}
}

// admit reports whether a line may be written, and tells first how many were not.
func (requestLog *requestLog) admit(now time.Time) bool {
	requestLog.mutex.Lock()
	defer requestLog.mutex.Unlock()
	requestLog.tokens = min(linesAtOnce, requestLog.tokens+linesPerSecond*now.Sub(requestLog.at).Seconds())
	requestLog.at = now
	if requestLog.tokens < 1 {
		requestLog.dropped++
		return false
	}
	requestLog.tokens--
	if requestLog.dropped > 0 {
		requestLog.log.Warn().Int("Dropped", requestLog.dropped).Msg("lines about requests were left out to bound the log")
		requestLog.dropped = 0
	}
	return true
}

// sampled reports whether a request with nothing to tell is in the sample.
func (requestLog *requestLog) sampled() bool {
	requestLog.mutex.Lock()
	defer requestLog.mutex.Unlock()
	requestLog.served++
	return requestLog.served%sampleOne == 1
}

// refusal tells of a request that reached no replica.
func (requestLog *requestLog) refusal(request *request, message *http.Request, refusal *Refusal) {
	now := time.Now()
	if !requestLog.admit(now) {
		return
	}
	line := requestLog.log.Info().Str("Request", request.id).Str("Host", message.Host).Str("Path", message.URL.Path).
		Int("Status", refusal.Status).Stringer("Code", refusal.Code).Dur("RetryAfter", refusal.RetryAfter).Dur("Took", now.Sub(request.arrived))
	if request.table != nil {
		line = line.Uint64("Config", request.table.Version)
	}
	if request.route != nil {
		line = line.Str("Route", request.route.Name).Strs("Without", request.without)
	}
	if request.rules > 0 {
		line = line.Uint64("Rules", request.rules).Int("Rule", request.decision.Line).Str("Caller", request.caller)
	}
	line.Msg("refused")
}

// call tells of a request that was sent: always when it did not get a whole answer in time, else by sample.
func (requestLog *requestLog) call(call *call, refusal *Refusal) {
	now := time.Now()
	whole := refusal == nil && call.answers == len(call.shards)
	late := !call.request.answerBy.IsZero() && now.After(call.request.answerBy)
	if whole && !late && !requestLog.sampled() || !requestLog.admit(now) {
		return
	}
	missing := []string{}
	for i := range call.shards {
		if !call.shards[i].answered {
			missing = append(missing, call.shards[i].service)
		}
	}
	line := requestLog.log.Info().Str("Request", call.request.id).Str("Route", call.request.route.Name).
		Uint64("Config", call.request.table.Version).Int("Answers", call.answers).Int("Shards", len(call.shards)).
		Int("Hedges", call.gather.Hedges).Int("Retries", call.gather.Retries).Int("Denied", call.denied).
		Dur("Took", now.Sub(call.request.arrived)).Dur("Within", call.request.deadline.Sub(call.request.arrived)).
		Strs("Missing", missing).Strs("Attempts", call.story(whole && !late))
	switch {
	case refusal != nil:
		line.Int("Status", refusal.Status).Stringer("Code", refusal.Code).Stringer("Ran", call.gather.Ran()).Msg("not answered")
	case !whole:
		line.Msg("answered in part")
	case late:
		line.Msg("answered late")
	default:
		line.Msg("answered")
	}
}

// gone tells of a client that left.
func (requestLog *requestLog) gone(call *call) {
	if !requestLog.admit(time.Now()) {
		return
	}
	requestLog.log.Info().Str("Request", call.request.id).Str("Route", call.request.route.Name).
		Dur("Took", time.Since(call.request.arrived)).Strs("Attempts", call.story(false)).Msg("the client left")
}

// attemptStory is one attempt for the log.
type attemptStory struct {
	id      uint64
	service string
	replica *swreplica.Replica
	// relay is the VM through which it went, empty when it went straight to the replica.
	relay string
	// begun is when the attempt was ordered, ended when its outcome came; the zero time while there is none.
	begun   time.Time
	ended   time.Time
	outcome string
}

// story describes the attempts in words, all of them or only those that did not bring an answer at first.
func (call *call) story(short bool) []string {
	lines := []string{}
	for i := range call.told {
		attempt := &call.told[i]
		if short && attempt.outcome == "Answered" {
			continue
		}
		took := "open"
		if !attempt.ended.IsZero() {
			took = attempt.ended.Sub(attempt.begun).Round(100 * time.Microsecond).String()
		}
		way := attempt.replica.Distance().String()
		if attempt.relay != "" {
			way += "/" + attempt.relay
		}
		lines = append(lines, fmt.Sprintf("%s %s %s +%s %s %s", attempt.service, attempt.replica.ID(), way,
			attempt.begun.Sub(call.request.arrived).Round(100*time.Microsecond), took, attempt.outcome))
	}
	return lines
}
