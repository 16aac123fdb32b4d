// Package swgateway forwards clients' HTTP requests to backend servers. A route sends each request either to one of its services,
// or, on a gathered route, to every shard, and merges the answers. A shard is a service that holds a part of the data. A service
// runs as several replicas, which are the backend servers.
//
// A request to a single service is called plain. A request on a gathered route is called a search, and the work or answer of one
// shard is one of its parts. An attempt sends a request to one replica. Further attempts for the same service are repeats: a hedge
// while an earlier attempt is late, or a retry after it has failed.
//
// Attempts are planned by swquery.Gather, which the search API uses with another wire protocol.
package swgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swobservation"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swshare"
	"github.com/sycamorewall/sycamorewall/internal/swspillover"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// targetMargin is subtracted from the target latency, to allow for the network round trip to the client and for the opening
	// of its connection.
	targetMargin = 16 * time.Millisecond
	// deadlineMargin is subtracted from the client's timeout, so that the answer arrives before the client gives up.
	deadlineMargin = 12 * time.Millisecond
	// defaultTimeout applies when neither the client nor the route sets a timeout.
	defaultTimeout = 10 * time.Second
	// notReadyRetryAfter is the Retry-After while a VM has no configuration yet or a service has no available replica.
	notReadyRetryAfter = 500 * time.Millisecond
)

// Quarantine refuses requests that have crashed backend servers; swquarantine.Tracker implements it.
type Quarantine interface {
	Check(fingerprint uint64, released bool) swquarantine.Verdict
	RecordCrash(server string, fingerprints []uint64)
	RecordCompletion(fingerprint uint64)
}

// Recorder records metrics of requests; swmetric.Recorder implements it. The Handler passes the route's name where the search API
// passes the caller's.
type Recorder interface {
	RecordQuery(priority swrule.Priority, route string, code swcode.Code, total time.Duration, subRequests int)
	// RecordTenantRequest counts a request of a tenant.
	RecordTenantRequest(tenant string, code swcode.Code)
	CountEvent(name string, count int64)
}

// HandlerConfig holds the parameters of a Handler.
type HandlerConfig struct {
	Group    *swgroup.Group
	Protocol Protocol
	Routes   *swroute.ActiveTable
	Replicas *swreplica.Registry
	Budget   *Budget
	// Relays forward attempts at replicas of other regions. If nil, every attempt goes directly to its replica.
	Relays *swrelay.Client
	// Observations holds what all VMs together have observed of the replicas; it may be nil.
	Observations *swobservation.Tracker
	// Quotas holds the quotas of the tenants; nil if they have none.
	Quotas *Quotas
	// Prices decide which share of the requests leaves the data centre; the zero value keeps fixed penalties for the distance.
	Prices swspillover.Prices
	// Rules holds the operator's rules, and Limiter applies the limits that some of them set; both may be nil.
	Rules   swquery.Rules
	Limiter Limiter
	// HasSynced reports whether this VM has received the rules in force, if any, and the list of backend servers. Nil means that
	// it has.
	HasSynced func() bool
	// CallerHeader is the header that contains the caller's name for the rules; empty if there is none.
	CallerHeader string
	Quarantine   Quarantine
	Recorder     Recorder
	Log          zerolog.Logger
}

// Handler answers client requests. Construct it with NewHandler.
type Handler struct {
	config         HandlerConfig
	latencies      *latencyTracker
	clientTimeouts *clientTimeouts
	waitQueues     *swtable.Table[string, *waitQueue]
	// loadShedders holds the load shedders of gathered routes by route name.
	loadShedders *swtable.Table[string, *loadShedder]
	// ledger holds the work of the tenants.
	ledger *swshare.Ledger[string]
	// spills holds which share of the requests for a service leaves the data centre.
	spills *swtable.Table[string, *serviceSpill]
	log    *requestLog
	stop   *stop
}

// NewHandler returns a handler without any observations.
func NewHandler(handlerConfig HandlerConfig) *Handler {
	return &Handler{
		config:         handlerConfig,
		latencies:      newLatencyTracker(),
		clientTimeouts: newClientTimeouts(),
		waitQueues:     swtable.New[string, *waitQueue](),
		loadShedders:   swtable.New[string, *loadShedder](),
		ledger:         swshare.NewLedger[string](),
		spills:         swtable.New[string, *serviceSpill](),
		log:            newRequestLog(handlerConfig.Log),
		stop:           newStop(),
	}
}

// ServeHTTP answers one request.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	arrivedAt := time.Now()
	request, refusal := handler.readRequest(writer, httpRequest, arrivedAt)
	if refusal != nil {
		refusal.write(writer)
		handler.recordMetrics(request, nil, refusal)
		handler.log.logRefusal(request, httpRequest, refusal, handler.describeCapacity)
		return
	}
	call, refusal := handler.serve(httpRequest.Context(), request)
	if call == nil {
		refusal.write(writer)
		handler.recordMetrics(request, nil, refusal)
		handler.log.logRefusal(request, httpRequest, refusal, handler.describeCapacity)
		return
	}
	defer call.release()
	if call.clientGone {
		handler.config.Recorder.CountEvent("clients_gone", 1)
		handler.log.logClientGone(call)
		// A client that has ended only its sending side still reads. If the handler returned, net/http would send it an empty success.
		panic(http.ErrAbortHandler)
	}
	if refusal == nil {
		refusal = call.writeAnswer(writer)
	}
	if refusal != nil {
		refusal.write(writer)
	}
	handler.recordMetrics(request, call, refusal)
	handler.log.logCall(call, refusal)
}

// recordMetrics records the result of a request. The call is nil if the request was never sent.
func (handler *Handler) recordMetrics(request *request, call *call, refusal *Refusal) {
	recorder := handler.config.Recorder
	priority, route, code := swrule.Deferrable, "", swcode.OK
	if request.route != nil {
		route = request.route.Name
		priority = swrule.Priority(min(max(request.priority(), int(swrule.Urgent)), int(swrule.Deferrable)))
	}
	if refusal != nil {
		code = refusal.Code
	}
	if request.tenant != nil {
		recorder.RecordTenantRequest(request.tenant.Name, code)
	}
	if call == nil {
		recorder.RecordQuery(priority, route, code, time.Since(request.arrivedAt), 0)
		return
	}
	recorder.RecordQuery(priority, route, code, time.Since(request.arrivedAt), call.gather.Attempts)
	for name, count := range map[string]int{
		"hedges": call.gather.Hedges, "retries": call.gather.Retries, "repeats_denied": call.deniedRepeats, "repeats_held": call.heldRepeats,
		"repeats_denied_without_use": call.deniedWithoutUse, "parts_missing": len(call.shards) - call.answeredShards,
	} {
		if count > 0 {
			recorder.CountEvent(name, int64(count))
		}
	}
}

// serve spends a use of the tenant's quota, sends a request and waits until the answer is decided. A request that has not run and never will
// gives its use back. The call is nil if the request is refused without being sent.
func (handler *Handler) serve(ctx context.Context, request *request) (*call, *Refusal) {
	if refusal := handler.config.Quotas.take(ctx, request); refusal != nil {
		return nil, refusal
	}
	call, refusal := handler.serveWithinQuota(ctx, request)
	if call == nil || call.gather.Ran() == swcode.RanNo {
		handler.config.Quotas.giveBack(request)
	}
	return call, refusal
}

// serveWithinQuota sends a request and waits until the answer is decided. A request to a single service that every replica rejected waits for
// capacity and is sent again, which takes one repeat from the budget. The call is nil if the request is refused without being sent.
func (handler *Handler) serveWithinQuota(ctx context.Context, request *request) (*call, *Refusal) {
	services := request.services()
	now := time.Now()
	for _, service := range services {
		handler.config.Budget.CountRequest(now, service)
	}
	handler.offer(request, services)
	release, refusal := handler.acquireLimits(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	defer release()
	if refusal := handler.shedLoad(request); refusal != nil {
		return nil, refusal
	}
	var last *call
	requeued, placements := 0, 0
	for {
		releaseTurn := func() {}
		if !request.route.Gathered() {
			var refusal *Refusal
			if releaseTurn, refusal = handler.waitForCapacity(ctx, request, services[0]); refusal != nil {
				return last, refusal
			}
		}
		call := handler.newCall(request, services)
		if !call.servable() {
			releaseTurn()
			request.unreachableServices = call.unreachableServices()
			return last, call.notServable(time.Now())
		}
		refusal := handler.checkKey(request)
		if refusal == nil {
			refusal = handler.config.Quotas.renew(ctx, request)
		}
		if refusal != nil {
			releaseTurn()
			return last, refusal
		}
		handler.startWork(request)
		call.run(ctx, releaseTurn)
		call.reportCrashes()
		call.recordOverload(time.Now())
		if !call.canRequeue() {
			return call, nil
		}
		isPlacedAnew := call.isPlacedAnew() && placements < maxPlacements
		placements++
		if call.sent && !isPlacedAnew && !handler.config.Budget.Take(time.Now(), services[0], Retry, handler.repeatShare(request)) {
			call.countDenied(services[0])
			return call, nil
		}
		last = call
		if call.sent {
			if !isPlacedAnew {
				if refusal := handler.waitToRequeue(ctx, request, services[0], requeued); refusal != nil {
					last.clientGone = ctx.Err() != nil
					return last, refusal
				}
				requeued++
			}
			call.release()
			request.earlierAttempts = append(request.earlierAttempts, call.attempts...)
		}
	}
}

// canRequeue reports whether a request to a single service, which its replicas rejected, may be sent again once they have capacity.
func (call *call) canRequeue() bool {
	return !call.request.route.Gathered() && !call.clientGone && !call.timedOut && call.answeredShards == 0 && (call.rejected || call.rateLimited || call.displaced) && call.gather.Ran() == swcode.RanNo
}

// readRequest reads the whole request and checks whether it may be sent to replicas.
func (handler *Handler) readRequest(writer http.ResponseWriter, httpRequest *http.Request, arrivedAt time.Time) (*request, *Refusal) {
	requestInfo := handler.config.Protocol.ReadRequestInfo(httpRequest.Header)
	request := &request{id: requestInfo.ID, method: httpRequest.Method, host: httpRequest.Host, key: requestInfo.Key, arrivedAt: arrivedAt}
	if !handler.awaitStartup(httpRequest.Context()) {
		return request, &Refusal{Status: http.StatusServiceUnavailable, Code: swcode.NotReady, RetryAfter: notReadyRetryAfter}
	}
	request.table = handler.config.Routes.Current()
	request.target = originForm(httpRequest)
	if request.target == "" || requestInfo.ID == "" {
		return request, refuse(http.StatusBadRequest, swcode.BadRequest)
	}
	request.route = request.table.Match(httpRequest.Host, pathOf(request.target))
	if request.route == nil {
		return request, refuse(http.StatusNotFound, swcode.NotFound)
	}
	if refusal := request.authenticate(); refusal != nil {
		return request, refusal
	}
	if limit := request.table.Limits.MaxHeaderBytes; limit > 0 && headerSize(httpRequest) > limit {
		return request, refuse(http.StatusRequestHeaderFieldsTooLarge, swcode.BadRequest)
	}
	body, refusal := readBody(writer, httpRequest, request.table.Limits)
	if refusal != nil {
		return request, refusal
	}
	request.body = body
	handler.setDeadlines(request, requestInfo.Timeout)
	if refusal := handler.stop.admit(request, request.route.TargetLatency); refusal != nil {
		return request, refusal
	}
	request.fingerprint = request.contentFingerprint()
	if refusal := handler.matchRules(request, httpRequest); refusal != nil {
		return request, refusal
	}
	if handler.config.Quarantine.Check(request.fingerprint, request.decision.Release) == swquarantine.Refused {
		return request, refuse(http.StatusServiceUnavailable, swcode.Quarantined)
	}
	request.head = encodeHead(handler.config.Protocol, httpRequest, request)
	return request, nil
}

const (
	// startupTimeout is how long a request waits at a VM that has just started and has not received its configuration, rules and
	// servers. While all VMs start, this takes a few calls to the store or to a peer.
	startupTimeout = 400 * time.Millisecond
	// startupCheckInterval is the polling interval of that wait.
	startupCheckInterval = 5 * time.Millisecond
)

// awaitStartup waits until this VM can serve, and reports whether it can. After an outage of all VMs, clients reach the first VM
// that is back before it has received anything, most of them with their last retry.
func (handler *Handler) awaitStartup(ctx context.Context) bool {
	ready := func() bool {
		return handler.config.Routes.Current() != nil && (handler.config.HasSynced == nil || handler.config.HasSynced())
	}
	for waited := time.Duration(0); !ready(); waited += startupCheckInterval {
		if waited >= startupTimeout || swtimer.Wait(ctx, startupCheckInterval) != nil {
			return false
		}
	}
	return true
}

// setDeadlines sets the deadline of the request and the time by which an answer meets the target latency. A client that retries
// has less time left than at its first attempt; the difference is the time that has elapsed since then.
func (handler *Handler) setDeadlines(request *request, clientTimeout time.Duration) {
	route := request.route
	elapsed := time.Duration(0)
	if clientTimeout > 0 {
		elapsed = handler.clientTimeouts.elapsed(route.Name, clientTimeout)
		request.clientRetry = elapsed > 0
	}
	timeout := defaultTimeout
	if clientTimeout > 0 {
		timeout = clientTimeout - deadlineMargin
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	request.deadline = request.arrivedAt.Add(timeout)
	if route.TargetLatency > 0 {
		request.answerBy = request.arrivedAt.Add(route.TargetLatency - targetMargin - elapsed)
	}
}

// observe records the latency of an answer in the statistics of its replica, service and route.
func (handler *Handler) observe(request *request, service string, replica *swreplica.Replica, now time.Time, latency time.Duration) {
	replica.ObserveLatency(now, latency)
	if !request.route.Gathered() {
		handler.waitQueueOf(request, service).recordAnswer(now)
	}
	handler.latencies.observe(request.route.Name, service, latency)
}

// reportCrashes reports to the quarantine the replicas that may have crashed because of this request. A broken attempt counts
// only if no replica answered the request and its own replica is down; a lost connection alone is no evidence.
func (call *call) reportCrashes() {
	handler, fingerprint := call.handler, call.request.fingerprint
	if call.answeredShards > 0 {
		handler.config.Quarantine.RecordCompletion(fingerprint)
		return
	}
	for _, broken := range call.brokenAttempts {
		handler.config.Group.Go(func(ctx context.Context) {
			// A replica that was evacuated meanwhile is not probed, which is no evidence.
			if broken.replica.AnsweredSince(broken.brokenAt) || broken.replica.Probe(ctx) || broken.replica.Evacuated() || handler.linksLost(ctx, broken.replica) {
				return
			}
			id := broken.replica.ID()
			handler.config.Quarantine.RecordCrash(id, []uint64{fingerprint})
			handler.config.Log.Warn().Str("Request", call.request.id).Str("Replica", id).Uint64("Fingerprint", fingerprint).
				Msg("a replica went down with the request in flight")
		})
	}
}
