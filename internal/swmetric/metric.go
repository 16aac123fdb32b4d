// Package swmetric counts and times queries by priority and caller, and serves the figures to the operator's collector.
package swmetric

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// reportEvery is the time between two passes of counts to the reporter.
	reportEvery = time.Second
	// maxCallers bounds the callers with histograms of their own; the rest share one.
	maxCallers = 128
	// otherCaller stands for the callers beyond maxCallers.
	otherCaller = "other"
)

// latencyBuckets cover 0.25 ms to 16 s with a factor of the square root of two.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 1.4142135623730951, 33)

// countBuckets cover 1 to 1,024 sub-requests.
var countBuckets = tally.MustMakeExponentialValueBuckets(1, 2, 11)

// Recorder holds the figures of one VM. Construct it with New.
type Recorder struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
	callers *swtable.Table[string, struct{}]
	classes *swtable.Table[class, *histograms]
	codes   *swtable.Table[codeKey, tally.Counter]
	events  *swtable.Table[string, tally.Counter]
}

type class struct {
	priority swrule.Priority
	caller   string
}

type codeKey struct {
	class class
	code  swcode.Code
}

type histograms struct {
	total       tally.Histogram
	queueWait   tally.Histogram
	service     tally.Histogram
	subRequests tally.Histogram
}

// New returns a recorder whose figures carry the VM and data centre.
func New(vm, dataCentre string) *Recorder {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "sycamorewall",
		Tags:                   map[string]string{"vm": vm, "data_centre": dataCentre},
		CachedReporter:         reporter,
		Separator:              tallyprometheus.DefaultSeparator,
		SanitizeOptions:        &tallyprometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Recorder{
		scope:   scope,
		closer:  closer,
		handler: reporter.HTTPHandler(),
		callers: swtable.New[string, struct{}](),
		classes: swtable.New[class, *histograms](),
		codes:   swtable.New[codeKey, tally.Counter](),
		events:  swtable.New[string, tally.Counter](),
	}
}

// Handler serves the figures in the text format of Prometheus.
func (recorder *Recorder) Handler() http.Handler {
	return recorder.handler
}

// Close passes the last counts on and ends the reporting.
func (recorder *Recorder) Close() error {
	return errors.Wrap(recorder.closer.Close(), "close metrics")
}

// Query records the end of a query.
func (recorder *Recorder) RecordQuery(priority swrule.Priority, caller string, code swcode.Code, total time.Duration, subRequests int) {
	class := recorder.class(priority, caller)
	recorder.code(class, code).Inc(1)
	if subRequests == 0 {
		return
	}
	histograms := recorder.histograms(class)
	histograms.total.RecordDuration(total)
	histograms.subRequests.RecordValue(float64(subRequests))
}

// QueueWait records how long a sub-request waited for a slot of a backend server.
func (recorder *Recorder) RecordQueueWait(priority swrule.Priority, caller string, wait time.Duration) {
	recorder.histograms(recorder.class(priority, caller)).queueWait.RecordDuration(wait)
}

// Service records how long a sub-request held its slot.
func (recorder *Recorder) RecordServiceTime(priority swrule.Priority, caller string, service time.Duration) {
	recorder.histograms(recorder.class(priority, caller)).service.RecordDuration(service)
}

// Event counts something that happened, by name.
func (recorder *Recorder) CountEvent(name string, count int64) {
	recorder.events.GetOrPut(name, func() tally.Counter {
		return recorder.scope.Tagged(map[string]string{"event": name}).Counter("events")
	}).Inc(count)
}

func (recorder *Recorder) class(priority swrule.Priority, caller string) class {
	if _, known := recorder.callers.Get(caller); !known {
		if recorder.callers.Len() >= maxCallers {
			return class{priority: priority, caller: otherCaller}
		}
		recorder.callers.Put(caller, struct{}{})
	}
	return class{priority: priority, caller: caller}
}

func (recorder *Recorder) code(class class, code swcode.Code) tally.Counter {
	return recorder.codes.GetOrPut(codeKey{class: class, code: code}, func() tally.Counter {
		tags := class.tags()
		tags["code"] = code.String()
		return recorder.scope.Tagged(tags).Counter("queries")
	})
}

func (recorder *Recorder) histograms(class class) *histograms {
	return recorder.classes.GetOrPut(class, func() *histograms {
		scope := recorder.scope.Tagged(class.tags())
		return &histograms{
			total:       scope.Histogram("query_seconds", latencyBuckets),
			queueWait:   scope.Histogram("queue_wait_seconds", latencyBuckets),
			service:     scope.Histogram("service_seconds", latencyBuckets),
			subRequests: scope.Histogram("sub_requests", countBuckets),
		}
	})
}

func (class class) tags() map[string]string {
	return map[string]string{"priority": class.priority.String(), "caller": class.caller}
}
