package swquery

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Members provides the current set of VMs.
type Members interface {
	View() *swmember.View
	// ReportSuspect reports a member that did not respond in time.
	ReportSuspect(name string)
}

// Rules provides the rules in force.
type Rules interface {
	// Current returns the rule set and its version; ok is false if no rules are in force.
	Current() (ruleSet Matcher, version uint64, ok bool)
}

// Matcher decides requests by one version of the rules.
type Matcher interface {
	Match(request swrule.Request) swrule.Decision
}

// Limiter enforces the rules' limits across this data centre.
type Limiter interface {
	// Acquire waits until the rule's limit admits the request, at most for the rule's For. Refusals are of type *swcode.Error.
	Acquire(ctx context.Context, decision swrule.Decision) (release func(), err error)
}

// Gate refuses queries whose backend servers are overloaded, based on the reports of their owners.
type Gate interface {
	// Observe records the report that an owner sent with a reply.
	Observe(owner string, report swadmission.Report)
	// Admit decides on a whole query, given the usable backend servers of each shard. If the query is refused, the caller should
	// wait for retryAfter before it tries again.
	Admit(query swadmission.Query, shards [][]string) (retryAfter time.Duration, admitted bool)
	// Accepts reports whether the server's queue admits the query.
	Accepts(server string, query swadmission.Query) bool
	// Shedding reports whether the server's owner sheds any work for it.
	Shedding(server string) bool
}

// Quarantine decides on requests whose fingerprint is suspected of crashing backend servers.
type Quarantine interface {
	// Check returns the verdict on a request. released is true if a rule exempts its fingerprint from the quarantine.
	Check(fingerprint uint64, released bool) swquarantine.Verdict
	// MayRetry reports whether a request with the fingerprint may be hedged or retried.
	MayRetry(fingerprint uint64) bool
	// RecordCompletion records that every shard answered a request with the fingerprint.
	RecordCompletion(fingerprint uint64)
}

// CrashTracker records which request fingerprints were answered and which may have caused crashes.
type CrashTracker interface {
	// RecordAnswer records that a backend server answered a request with the fingerprint.
	RecordAnswer(fingerprint uint64)
	// MayRetryAfterCrash reports whether a request may be retried after a backend server crashed with it in flight.
	MayRetryAfterCrash(fingerprint uint64) bool
}

// Recorder records metrics of queries.
type Recorder interface {
	RecordQuery(priority swrule.Priority, caller string, code swcode.Code, total time.Duration, subRequests int)
	CountEvent(name string, count int64)
}

// Config configures an Engine.
type Config struct {
	Group      *swgroup.Group
	Registry   *swindex.Registry
	Members    Members
	Rules      Rules
	Limiter    Limiter
	Gate       Gate
	Quarantine Quarantine
	// Crashes may be nil; crashes then never prevent a retry.
	Crashes   CrashTracker
	Backends  Backends
	Dialer    Dialer
	Recorder  Recorder
	Placement Placement
	Log       zerolog.Logger
	// AckTimeout is how long an owner may send nothing before its attempts are also sent elsewhere.
	AckTimeout time.Duration
	// HedgePercent limits hedges and retries to this percentage of the sub-requests.
	HedgePercent float64
	// HedgePercentile is the percentile of a shard's latency after which an attempt is hedged.
	HedgePercentile float64
	MaxTimeout      time.Duration
	// ShedByCohort lets the root refuse a query as a whole when the backend servers shed its cohort.
	ShedByCohort bool
}

// Engine runs queries as their root and serves batches as an owner. Construct it with New.
type Engine struct {
	config       Config
	owner        *Owner
	ownerStreams *ownerStreams
	latencies    *Latencies
	planner      *Planner
	budget       *AttemptBudget
	unavailable  *unavailableSnapshots
	pin          *pinStep
	steps        []step
}

// heartbeatsPerAckTimeout is the number of heartbeats that an owner sends within AckTimeout.
const heartbeatsPerAckTimeout = 4

// New returns an engine with the given configuration.
func New(config Config) *Engine {
	latencies := NewLatencies(config.HedgePercentile)
	engine := &Engine{
		config:       config,
		owner:        NewOwner(config.Backends, config.Group, config.AckTimeout/heartbeatsPerAckTimeout),
		ownerStreams: newOwnerStreams(config.Dialer, config.Group),
		latencies:    latencies,
		planner:      NewPlanner(config.Registry, config.Placement, latencies),
		budget:       NewAttemptBudget(config.HedgePercent),
		unavailable:  newUnavailableSnapshots(),
	}
	if config.Crashes != nil {
		engine.owner.onAnswered = config.Crashes.RecordAnswer
	}
	engine.pin = &pinStep{registry: config.Registry, unavailable: engine.unavailable}
	engine.steps = engine.newSteps()
	return engine
}

// Owner returns the part of the engine that serves batches from other VMs.
func (engine *Engine) Owner() *Owner {
	return engine.owner
}

// ReconnectPeer makes the next batch to the VM at the address use a new connection. It is for a VM whose process was replaced.
func (engine *Engine) ReconnectPeer(address netip.AddrPort) {
	engine.ownerStreams.reconnectPeer(address)
}

// Run answers or refuses a query. It cancels the work when ctx ends, as when the caller disconnects.
func (engine *Engine) Run(ctx context.Context, query Query) Result {
	started := time.Now()
	execution := &execution{query: &query, started: started, deadline: started.Add(query.Timeout), earlierRan: swcode.RanNo}
	ctx, cancel := context.WithDeadline(ctx, execution.deadline)
	defer cancel()
	defer execution.finish()
	err := engine.runSteps(ctx, execution)
	result := execution.outcome(err)
	result.Took = time.Since(started)
	engine.record(execution, &result)
	return result
}

// runSteps runs the steps in order. After a *restartError it starts again at the pin step, on another snapshot.
func (engine *Engine) runSteps(ctx context.Context, execution *execution) error {
	for i := 0; i < len(engine.steps); i++ {
		err := engine.steps[i].Run(ctx, execution)
		var restart *restartError
		if errors.As(err, &restart) {
			engine.unavailable.add(execution.query.Index, restart.Snapshot)
			engine.config.Recorder.CountEvent("snapshot_restarts", 1)
			execution.reset()
			i = engine.pinIndex() - 1
			continue
		}
		if err != nil {
			return errors.Wrap(err, engine.steps[i].String())
		}
	}
	return nil
}

// record records the metrics of a query. The sub-requests of a refused query count as wasted.
func (engine *Engine) record(execution *execution, result *Result) {
	recorder := engine.config.Recorder
	recorder.RecordQuery(execution.decision.Priority, execution.query.Caller, result.Code, result.Took, result.SubRequests)
	if result.Hedges > 0 {
		recorder.CountEvent("hedges", int64(result.Hedges))
	}
	if result.Retries > 0 {
		recorder.CountEvent("retries", int64(result.Retries))
	}
	if result.Code != swcode.OK && result.SubRequests > 0 {
		recorder.CountEvent("wasted_queries", 1)
		recorder.CountEvent("wasted_sub_requests", int64(result.SubRequests))
	}
}
