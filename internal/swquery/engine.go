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

// Members is the live set of VMs.
type Members interface {
	View() *swmember.View
	// ReportSuspect tells that a member did not answer in time.
	ReportSuspect(name string)
}

// Rules is the version of the rules in force.
type Rules interface {
	// Current returns the rule set and its version, and false while there is none.
	Current() (ruleSet Matcher, version uint64, ok bool)
}

// Matcher is one version of the rules.
type Matcher interface {
	Match(request swrule.Request) swrule.Decision
}

// Limiter enforces the limits of rules in this data centre.
type Limiter interface {
	// Acquire waits for the rule's limit, as long as its For allows. Refusals are *swcode.Error.
	Acquire(ctx context.Context, decision swrule.Decision) (release func(), err error)
}

// Gate refuses whole queries by what owners reported.
type Gate interface {
	Observe(owner string, report swadmission.Report)
	Admit(query swadmission.Query, shards [][]string) (retryAfter time.Duration, admitted bool)
	Accepts(server string, query swadmission.Query) bool
	Shedding(server string) bool
}

// Quarantine knows the fingerprints that crash backend servers.
type Quarantine interface {
	Check(fingerprint uint64, released bool) swquarantine.Verdict
	// MayRetry reports whether a request may be hedged or sent again.
	MayRetry(fingerprint uint64) bool
	// Completed tells that every shard answered a request with the fingerprint.
	RecordCompletion(fingerprint uint64)
}

// Crashes judges requests by the backend servers that died with them in flight.
type Crashes interface {
	// Answered tells that a backend server answered a request with the fingerprint.
	RecordAnswer(fingerprint uint64)
	// MayRetryCrashed reports whether a request may be sent again after a server died with it in flight.
	MayRetryAfterCrash(fingerprint uint64) bool
}

// Recorder takes the figures of queries.
type Recorder interface {
	RecordQuery(priority swrule.Priority, caller string, code swcode.Code, total time.Duration, subRequests int)
	CountEvent(name string, count int64)
}

// Config holds what an Engine is built from.
type Config struct {
	Group      *swgroup.Group
	Registry   *swindex.Registry
	Members    Members
	Rules      Rules
	Limiter    Limiter
	Gate       Gate
	Quarantine Quarantine
	// Crashes may be nil; a crash then does not forbid a retry.
	Crashes   Crashes
	Backends  Backends
	Dialer    Dialer
	Recorder  Recorder
	Placement Placement
	Log       zerolog.Logger
	// AckTimeout is how long an owner may be silent before its attempts go elsewhere.
	AckTimeout time.Duration
	// HedgePercent bounds hedges and retries, in percent of sub-requests.
	HedgePercent float64
	// HedgePercentile is the percentile of a shard's latency after which it is hedged.
	HedgePercentile float64
	MaxTimeout      time.Duration
	// ShedByCohort refuses whole queries at the root.
	ShedByCohort bool
}

// Engine runs queries as their root, and serves batches as an owner. Construct it with New.
type Engine struct {
	config    Config
	owner     *Owner
	lines     *lines
	latencies *Latencies
	planner   *Planner
	budget    *AttemptBudget
	absent    *absentSnapshots
	pin       *pinStep
	steps     []step
}

// heartbeats is the number of times that an owner speaks within the time for which it may be silent.
const heartbeats = 4

// New returns an engine.
func New(config Config) *Engine {
	latencies := NewLatencies(config.HedgePercentile)
	engine := &Engine{
		config:    config,
		owner:     NewOwner(config.Backends, config.Group, config.AckTimeout/heartbeats),
		lines:     newLines(config.Dialer, config.Group),
		latencies: latencies,
		planner:   NewPlanner(config.Registry, config.Placement, latencies),
		budget:    NewAttemptBudget(config.HedgePercent),
		absent:    newAbsentSnapshots(),
	}
	if config.Crashes != nil {
		engine.owner.onAnswered = config.Crashes.RecordAnswer
	}
	engine.pin = &pinStep{registry: config.Registry, absent: engine.absent}
	engine.steps = engine.orderedSteps()
	return engine
}

// Owner returns the side of the engine that serves batches of other VMs.
func (engine *Engine) Owner() *Owner {
	return engine.owner
}

// ForgetPeer makes the next batch to the VM at the address go over a fresh connection, as when another process took it.
func (engine *Engine) ReconnectPeer(address netip.AddrPort) {
	engine.lines.forgetPeer(address)
}

// Run answers or refuses one query. The context ends when the caller goes away.
func (engine *Engine) Run(ctx context.Context, query Query) Result {
	started := time.Now()
	execution := &execution{query: &query, started: started, deadline: started.Add(query.Timeout)}
	ctx, cancel := context.WithDeadline(ctx, execution.deadline)
	defer cancel()
	defer execution.finish()
	err := engine.runSteps(ctx, execution)
	result := execution.outcome(err)
	result.Took = time.Since(started)
	engine.record(execution, &result)
	return result
}

// runSteps takes the steps in order. A step that finds the pinned snapshot gone sends the query back to the pin.
func (engine *Engine) runSteps(ctx context.Context, execution *execution) error {
	for i := 0; i < len(engine.steps); i++ {
		err := engine.steps[i].Run(ctx, execution)
		var restart *restartError
		if errors.As(err, &restart) {
			engine.absent.add(execution.query.Index, restart.Snapshot)
			engine.config.Recorder.CountEvent("snapshot_restarts", 1)
			execution.reset()
			i = engine.pinPosition() - 1
			continue
		}
		if err != nil {
			return errors.Wrap(err, engine.steps[i].String())
		}
	}
	return nil
}

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
