package swgateway

import (
	"net/http"
	"time"
)

// logRefusal tells of a request that reached no replica.
func (gateway *Gateway) logRefusal(request *request, message *http.Request, refusal *Refusal) {
	line := gateway.config.Log.Info().Str("Request", request.id).Str("Host", message.Host).Str("Path", message.URL.Path).
		Int("Status", refusal.Status).Stringer("Code", refusal.Code).Dur("RetryAfter", refusal.RetryAfter)
	if request.table != nil {
		line = line.Uint64("Config", request.table.Version)
	}
	line.Msg("refused")
}

// logCall tells of a request that did not get a whole answer.
func (gateway *Gateway) logCall(call *call, refusal *Refusal) {
	if refusal == nil && call.answers == len(call.shards) {
		return
	}
	line := gateway.config.Log.Info().Str("Request", call.request.id).Str("Route", call.request.route.Name).
		Uint64("Config", call.request.table.Version).Int("Answers", call.answers).Int("Shards", len(call.shards)).
		Int("Attempts", call.gather.Attempts).Int("Hedges", call.gather.Hedges).Int("Retries", call.gather.Retries).
		Dur("Took", time.Since(call.request.arrived)).Bool("Late", call.late)
	missing := []string{}
	for i := range call.shards {
		if !call.shards[i].answered {
			missing = append(missing, call.shards[i].service)
		}
	}
	line = line.Strs("Missing", missing)
	if refusal == nil {
		line.Msg("answered in part")
		return
	}
	line.Int("Status", refusal.Status).Stringer("Code", refusal.Code).Stringer("Ran", call.gather.Ran()).Msg("not answered")
}

// logGone tells of a client that left.
func (gateway *Gateway) logGone(call *call) {
	gateway.config.Log.Debug().Str("Request", call.request.id).Str("Route", call.request.route.Name).
		Dur("Took", time.Since(call.request.arrived)).Msg("the client left")
}
