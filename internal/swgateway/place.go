package swgateway

import (
	"net/http"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// requestHomes are the homes of a request by one table.
type requestHomes struct {
	table *swroute.Table
	homes swroute.Homes
}

// homesIn returns the regions whose replicas may serve the request by a table, which may be a later one than that by which the request
// was admitted. It is safe for concurrent use.
func (request *request) homesIn(table *swroute.Table) swroute.Homes {
	if known := request.homes.Load(); known != nil && known.table == table {
		return known.homes
	}
	homes := swroute.CombineHomes(request.homeLists(table)...)
	request.homes.Store(&requestHomes{table: table, homes: homes})
	return homes
}

// homeLists returns the lists of regions that all apply to the request. A route or key that the table no longer has keeps its homes
// until its last request has ended.
func (request *request) homeLists(table *swroute.Table) [][]string {
	route := request.route
	if table != request.table {
		if current := table.Match(request.host, pathOf(request.target)); current != nil {
			route = current
		}
	}
	lists := [][]string{route.Homes}
	if request.tenant == nil {
		return lists
	}
	tenant := request.tenant
	if current := table.TenantOf(request.key); current != nil {
		tenant = current
	}
	return append(lists, tenant.Homes)
}

// homesOf returns the regions whose replicas may serve the request by the table in force.
func (handler *Handler) homesOf(request *request) swroute.Homes {
	table := handler.config.Routes.Current()
	if table == nil {
		table = request.table
	}
	return request.homesIn(table)
}

// mayServe reports whether a replica stands in the homes of the request. No other replica is ever asked.
func (handler *Handler) mayServe(request *request, replica *swreplica.Replica) bool {
	return handler.homesOf(request).Contains(replica.Region())
}

// displacedPenalty ranks replicas that may no longer serve the request behind all others.
const displacedPenalty = time.Minute

// mayPlaceAt reports whether a replica stands where the request may be served at this moment. That may change between the choice of the
// replica and the sending.
func (call *call) mayPlaceAt(replica *swreplica.Replica) bool {
	return call.handler.mayServe(call.request, replica) && !replica.Evacuated()
}

// mayEncodeFor reports whether the table in force allows that a replica gets the request at this moment.
func (call *call) mayEncodeFor(replica *swreplica.Replica) bool {
	return call.handler.checkKey(call.request) == nil && call.mayPlaceAt(replica)
}

// maySendTo reports whether an attempt may be sent to a replica at this moment.
func (call *call) maySendTo(replica *swreplica.Replica) bool {
	return call.mayEncodeFor(replica) && call.handler.available(call.request, replica)
}

// maxPlacements bounds how often a request is placed again at once. Each time another configuration or evacuation came into force, or another
// request was faster, between the choice of a replica and the sending.
const maxPlacements = 8

// isPlacedAnew reports whether the request is placed again because replicas that it was to be sent to may no longer serve it or take no more. Nothing was
// sent to them, and no replica rejected it, so that it neither waits nor takes a repeat from the budget. The next choice leaves them out.
func (call *call) isPlacedAnew() bool {
	return call.displaced && !call.rejected
}

// notServable returns the refusal of a request that lacks a replica of too many services.
func (call *call) notServable(now time.Time) *Refusal {
	code := swcode.NoReplica
	for i := range call.shards {
		if len(call.shards[i].replicas) > 0 {
			continue
		}
		// An evacuation explains the refusal better than the homes do: its end makes the request servable.
		if reason := call.placeReason(call.shards[i].service); reason != swcode.OK && code != swcode.Evacuated {
			code = reason
		}
	}
	if code == swcode.Evacuated {
		return &Refusal{Status: http.StatusServiceUnavailable, Code: code, RetryAfter: spreadRetryAfter(evacuatedRetryAfter)}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Code: code, RetryAfter: call.retryAfter(now)}
}

// evacuatedRetryAfter is the Retry-After of requests whose replicas are all evacuated. Nobody knows when the evacuation ends; it takes the
// operator seconds at least.
const evacuatedRetryAfter = time.Second

// placeReason returns why no replica of a service that is in use stands where the request may be served: NotHome or Evacuated. It returns
// OK if one does, or if none is in use anywhere.
func (call *call) placeReason(service string) swcode.Code {
	reason := swcode.OK
	for _, replica := range call.handler.config.Replicas.ServiceReplicas(service) {
		switch {
		case !replica.InUse():
		case call.mayPlaceAt(replica):
			return swcode.OK
		case call.handler.mayServe(call.request, replica):
			reason = swcode.Evacuated
		case reason == swcode.OK:
			reason = swcode.NotHome
		}
	}
	return reason
}

// waitQueueOf returns the queue in which a request waits for a service. Requests with other homes wait for other replicas.
func (handler *Handler) waitQueueOf(request *request, service string) *waitQueue {
	return handler.waitQueues.GetOrPut(handler.homesOf(request).Key(service), func() *waitQueue { return newWaitQueue(handler.ledger) })
}

// loadShedderOf returns the load shedder of the request's route. Requests with other homes load other replicas.
func (handler *Handler) loadShedderOf(request *request) *loadShedder {
	return handler.loadShedders.GetOrPut(handler.homesOf(request).Key(request.route.Name), newLoadShedder)
}

// notSentReason returns why an attempt was not sent to its replica, for the log and the metrics; empty for other reasons than the place and
// the state of the replica.
func (call *call) notSentReason(result *attemptResult) string {
	switch {
	case result.replicaResult.Outcome != swreplica.NotSent:
		return ""
	case !call.handler.mayServe(call.request, result.replica):
		return swcode.NotHome.String()
	case result.replica.Evacuated():
		return swcode.Evacuated.String()
	case result.replica.Cold(result.endedAt):
		return string(swreplica.ObstacleCold)
	}
	return ""
}

// withheldEvents are the names of the counters of attempts that were not sent, by reason.
var withheldEvents = map[string]string{
	swcode.NotHome.String(): "attempts_not_home", swcode.Evacuated.String(): "attempts_evacuated", string(swreplica.ObstacleCold): "attempts_cold",
}

// exclusion returns why a replica gets no request, for the log; empty if it may get one.
func (handler *Handler) exclusion(request *request, replica *swreplica.Replica) string {
	switch {
	case !handler.mayServe(request, replica):
		return swcode.NotHome.String()
	case replica.Evacuated():
		return swcode.Evacuated.String()
	case !handler.available(request, replica):
		return "Unavailable"
	}
	return ""
}
