package swgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// clientMargin is how long before the target an answer leaves: the way to the client and back, and the opening of its
	// connection.
	clientMargin = 16 * time.Millisecond
	// deadlineMargin is how long before the client's deadline its last answer leaves.
	deadlineMargin = 12 * time.Millisecond
	// defaultTimeout is how long a request may take when neither the client nor its route says.
	defaultTimeout = 10 * time.Second
	// startingRetryAfter is when a VM that has no configuration yet will have one.
	startingRetryAfter = 500 * time.Millisecond
)

// Quarantine knows the requests that crash backend servers.
type Quarantine interface {
	Check(fingerprint uint64, released bool) swquarantine.Verdict
	RecordCrash(server string, fingerprints []uint64)
	RecordCompletion(fingerprint uint64)
}

// Recorder takes the figures of requests. Routes stand where the search API has callers.
type Recorder interface {
	Query(priority swrule.Priority, route string, code swcode.Code, total time.Duration, subRequests int)
	Event(name string, count int64)
}

// Config holds what a Gateway is built from.
type Config struct {
	Group    *swgroup.Group
	Protocol Protocol
	Routes   *swroute.ActiveTable
	Replicas *swreplica.Registry
	Budget   *Budget
	// Relays carry attempts for replicas of other regions; it may be nil, and every attempt then goes straight to its replica.
	Relays *swrelay.Client
	// Rules are the operator's rules, and Limits keeps to the limits of those that have any; both may be nil.
	Rules   swquery.Rules
	Limiter Limiter
	// Informed reports whether this VM has heard which rules are in force, if any, and of backend servers; nil means that it has.
	HasSynced func() bool
	// CallerHeader names the header in which clients give their name for the rules; empty when none does.
	CallerHeader string
	Quarantine   Quarantine
	Recorder     Recorder
	Log          zerolog.Logger
}

// Gateway answers clients' requests. Construct it with New.
type Gateway struct {
	config   Config
	pace     *pace
	patience *patience
	rooms    *swtable.Table[string, *room]
	// admissions holds those of the gathered routes, by name.
	admissions *swtable.Table[string, *admission]
	log        *requestLog
}

// New returns a gateway.
func New(config Config) *Gateway {
	return &Gateway{
		config:     config,
		pace:       newPace(),
		patience:   newPatience(),
		rooms:      swtable.New[string, *room](),
		admissions: swtable.New[string, *admission](),
		log:        newRequestLog(config.Log),
	}
}

// ServeHTTP answers one request.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, message *http.Request) {
	arrived := time.Now()
	request, refusal := gateway.accept(writer, message, arrived)
	if refusal != nil {
		refusal.write(writer)
		gateway.record(request, nil, refusal)
		gateway.log.refusal(request, message, refusal)
		return
	}
	call, refusal := gateway.serve(message.Context(), request)
	if call == nil {
		refusal.write(writer)
		gateway.record(request, nil, refusal)
		gateway.log.refusal(request, message, refusal)
		return
	}
	if call.gone {
		gateway.config.Recorder.Event("clients_gone", 1)
		gateway.log.gone(call)
		return
	}
	if refusal == nil {
		refusal = call.answer(writer)
	}
	if refusal != nil {
		refusal.write(writer)
	}
	gateway.record(request, call, refusal)
	gateway.log.call(call, refusal)
}

// record counts the end of a request. The call is nil for one that was never sent.
func (gateway *Gateway) record(request *request, call *call, refusal *Refusal) {
	recorder := gateway.config.Recorder
	priority, route, code := swrule.Deferrable, "", swcode.OK
	if request.route != nil {
		route = request.route.Name
		priority = swrule.Priority(min(max(request.route.Priority, int(swrule.Urgent)), int(swrule.Deferrable)))
	}
	if refusal != nil {
		code = refusal.Code
	}
	if call == nil {
		recorder.Query(priority, route, code, time.Since(request.arrived), 0)
		return
	}
	recorder.Query(priority, route, code, time.Since(request.arrived), call.gather.Attempts)
	for name, count := range map[string]int{
		"hedges": call.gather.Hedges, "retries": call.gather.Retries, "repeats_denied": call.denied,
		"parts_missing": len(call.shards) - call.answers,
	} {
		if count > 0 {
			recorder.Event(name, int64(count))
		}
	}
}

// serve sends a request until it is decided. The call is nil for a refusal of a request that was never sent.
func (gateway *Gateway) serve(ctx context.Context, request *request) (*call, *Refusal) {
	services := request.services()
	now := time.Now()
	for _, service := range services {
		gateway.config.Budget.CountRequest(now, service)
	}
	release, refusal := gateway.acquire(ctx, request)
	if refusal != nil {
		return nil, refusal
	}
	defer release()
	if refusal := gateway.admit(request); refusal != nil {
		return nil, refusal
	}
	var last *call
	for {
		leave := func() {}
		if !request.route.Gathered() {
			var refusal *Refusal
			if leave, refusal = gateway.enter(ctx, request, services[0]); refusal != nil {
				return last, refusal
			}
		}
		call := gateway.newCall(request, services)
		if !call.servable() {
			leave()
			request.without = call.without()
			return last, &Refusal{Status: http.StatusServiceUnavailable, Code: swcode.NoReplica, RetryAfter: startingRetryAfter}
		}
		call.run(ctx, leave)
		call.settle()
		call.noteCrowding(time.Now())
		if !call.mayWait() || !gateway.config.Budget.Take(time.Now(), services[0], 1) {
			return call, nil
		}
		last = call
	}
}

// mayWait reports whether a request that all replicas rejected may be sent again once there is room.
func (call *call) mayWait() bool {
	return !call.request.route.Gathered() && !call.gone && !call.late && call.answers == 0 && call.shed && call.gather.Ran() == swcode.RanNo
}

// accept reads a request whole and decides whether it may be passed on.
func (gateway *Gateway) accept(writer http.ResponseWriter, message *http.Request, arrived time.Time) (*request, *Refusal) {
	requestInfo := gateway.config.Protocol.ReadRequestInfo(message.Header)
	request := &request{id: requestInfo.ID, method: message.Method, host: message.Host, arrived: arrived}
	if !gateway.awaitStart(message.Context()) {
		return request, &Refusal{Status: http.StatusServiceUnavailable, Code: swcode.NotReady, RetryAfter: startingRetryAfter}
	}
	request.table = gateway.config.Routes.Current()
	request.target = originForm(message)
	if request.target == "" || requestInfo.ID == "" {
		return request, refuse(http.StatusBadRequest, swcode.BadRequest)
	}
	request.route = request.table.Match(message.Host, pathOf(request.target))
	if request.route == nil {
		return request, refuse(http.StatusNotFound, swcode.NotFound)
	}
	if limit := request.table.Limits.MaxHeaderBytes; limit > 0 && headerSize(message) > limit {
		return request, refuse(http.StatusRequestHeaderFieldsTooLarge, swcode.BadRequest)
	}
	body, refusal := readBody(writer, message, request.table.Limits)
	if refusal != nil {
		return request, refusal
	}
	request.body = body
	gateway.setTimes(request, requestInfo.Timeout)
	request.fingerprint = fingerprintOf(request.method, request.host, request.target, body)
	if refusal := gateway.matchRules(request, message); refusal != nil {
		return request, refusal
	}
	if gateway.config.Quarantine.Check(request.fingerprint, request.decision.Release) == swquarantine.Refused {
		return request, refuse(http.StatusServiceUnavailable, swcode.Quarantined)
	}
	request.head = encodeHead(gateway.config.Protocol, message, request.target, len(body))
	return request, nil
}

const (
	// startWait is how long a request waits for a VM that has just started to hear of its configuration, rules and servers: a few
	// calls to the store or to a peer while all VMs start.
	startWait = 400 * time.Millisecond
	// startCheck is the time between two looks.
	startCheck = 5 * time.Millisecond
)

// awaitStart waits until this VM can serve, and reports whether it can. It answers the load after all VMs were lost: clients meet
// the first that is back before it has heard anything, most of them with their last try.
func (gateway *Gateway) awaitStart(ctx context.Context) bool {
	ready := func() bool {
		return gateway.config.Routes.Current() != nil && (gateway.config.HasSynced == nil || gateway.config.HasSynced())
	}
	for waited := time.Duration(0); !ready(); waited += startCheck {
		if waited >= startWait || swtimer.Wait(ctx, startCheck) != nil {
			return false
		}
	}
	return true
}

// setTimes derives the deadline, and the moment by which an answer is in time for the target. A client that repeats has
// less time left than one that comes first; what is missing has passed since its first attempt.
func (gateway *Gateway) setTimes(request *request, left time.Duration) {
	route := request.route
	spent := time.Duration(0)
	if left > 0 {
		spent = gateway.patience.spent(route.Name, left)
		request.returned = spent > 0
	}
	wait := defaultTimeout
	if left > 0 {
		wait = left - deadlineMargin
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	request.deadline = request.arrived.Add(wait)
	if route.TargetLatency > 0 {
		request.answerBy = request.arrived.Add(route.TargetLatency - clientMargin - spent)
	}
}

// observe takes the latency of an answer.
func (gateway *Gateway) observe(request *request, service string, replica *swreplica.Replica, now time.Time, latency time.Duration) {
	replica.ObserveLatency(now, latency)
	if !request.route.Gathered() {
		gateway.rooms.GetOrPut(service, newRoom).noteAnswer(now)
	}
	gateway.pace.observe(request.route.Name, service, latency)
}

// settle judges what broke off: a request that nothing answered may be what crashes replicas, if those that broke off are
// down as well. One that was only cut from a replica is no evidence.
func (call *call) settle() {
	gateway, fingerprint := call.gateway, call.request.fingerprint
	if call.answers > 0 {
		gateway.config.Quarantine.RecordCompletion(fingerprint)
		return
	}
	for _, crash := range call.crashes {
		gateway.config.Group.Go(func(ctx context.Context) {
			if crash.replica.AnsweredSince(crash.at) || crash.replica.Probe(ctx) {
				return
			}
			id := crash.replica.ID()
			gateway.config.Quarantine.RecordCrash(id, []uint64{fingerprint})
			gateway.config.Log.Warn().Str("Request", call.request.id).Str("Replica", id).Uint64("Fingerprint", fingerprint).
				Msg("a replica went down with the request in flight")
		})
	}
}
