// Package swmetric records metrics of queries by priority and caller and serves them to a Prometheus collector.
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
	// reportInterval is the time between two flushes of metrics to the reporter.
	reportInterval = time.Second
	// maxCallers is the number of callers that have metrics of their own. All others share otherCaller, to bound the cardinality.
	maxCallers = 128
	// otherCaller is the label of the callers over maxCallers.
	otherCaller = "other"
)

// latencyBuckets cover 0.25 ms to 16 s; each bound is the previous one times the square root of two.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 1.4142135623730951, 33)

// countBuckets cover 1 to 1,024 sub-requests; each bound is twice the previous one.
var countBuckets = tally.MustMakeExponentialValueBuckets(1, 2, 11)

// Recorder records the metrics of one VM. Construct it with New.
type Recorder struct {
	scope              tally.Scope
	closer             io.Closer
	handler            http.Handler
	callers            *swtable.Table[string, struct{}]
	histogramsByLabels *swtable.Table[labels, *histograms]
	queryCounters      *swtable.Table[codeLabels, tally.Counter]
	eventCounters      *swtable.Table[string, tally.Counter]
	tenantCounters     tenantCounters
}

// labels identify the metrics of one priority and caller.
type labels struct {
	priority swrule.Priority
	caller   string
}

type codeLabels struct {
	labels labels
	code   swcode.Code
}

type histograms struct {
	queryTime   tally.Histogram
	queueWait   tally.Histogram
	serviceTime tally.Histogram
	subRequests tally.Histogram
}

// New returns a recorder whose metrics are labelled with the VM and data centre.
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
	}, reportInterval)
	return &Recorder{
		scope:              scope,
		closer:             closer,
		handler:            reporter.HTTPHandler(),
		callers:            swtable.New[string, struct{}](),
		histogramsByLabels: swtable.New[labels, *histograms](),
		queryCounters:      swtable.New[codeLabels, tally.Counter](),
		eventCounters:      swtable.New[string, tally.Counter](),
		tenantCounters:     newTenantCounters(scope),
	}
}

// Handler returns the handler that serves the metrics in the text format of Prometheus.
func (recorder *Recorder) Handler() http.Handler {
	return recorder.handler
}

// Close flushes the metrics and stops the reporter.
func (recorder *Recorder) Close() error {
	return errors.Wrap(recorder.closer.Close(), "close metrics")
}

// RecordQuery counts a finished query by its code. Its duration and number of sub-requests are recorded only if it sent any.
func (recorder *Recorder) RecordQuery(priority swrule.Priority, caller string, code swcode.Code, total time.Duration, subRequests int) {
	labels := recorder.labels(priority, caller)
	recorder.queryCounter(labels, code).Inc(1)
	if subRequests == 0 {
		return
	}
	histograms := recorder.histograms(labels)
	histograms.queryTime.RecordDuration(total)
	histograms.subRequests.RecordValue(float64(subRequests))
}

// RecordQueueWait records how long a sub-request waited for a slot of a backend server.
func (recorder *Recorder) RecordQueueWait(priority swrule.Priority, caller string, wait time.Duration) {
	recorder.histograms(recorder.labels(priority, caller)).queueWait.RecordDuration(wait)
}

// RecordServiceTime records how long a sub-request held its slot of a backend server.
func (recorder *Recorder) RecordServiceTime(priority swrule.Priority, caller string, serviceTime time.Duration) {
	recorder.histograms(recorder.labels(priority, caller)).serviceTime.RecordDuration(serviceTime)
}

// CountEvent adds count to the counter of the named event.
func (recorder *Recorder) CountEvent(name string, count int64) {
	recorder.eventCounters.GetOrPut(name, func() tally.Counter {
		return recorder.scope.Tagged(map[string]string{"event": name}).Counter("events")
	}).Inc(count)
}

// SetInFlight sets the number of this VM's requests in flight at the replicas of a data centre.
func (recorder *Recorder) SetInFlight(dataCentre string, count int) {
	recorder.scope.Tagged(map[string]string{"replicas_in": dataCentre}).Gauge("in_flight").Update(float64(count))
}

// SetReplicas sets the number of replicas in a state.
func (recorder *Recorder) SetReplicas(state string, count int) {
	recorder.scope.Tagged(map[string]string{"state": state}).Gauge("replicas").Update(float64(count))
}

// SetClients sets the number of open connections of clients, and the bytes that all clients hold.
func (recorder *Recorder) SetClients(connections int, held int64) {
	recorder.scope.Gauge("client_connections").Update(float64(connections))
	recorder.scope.Gauge("client_bytes").Update(float64(held))
}

// labels returns the labels for a caller's metrics, with otherCaller in place of the callers over maxCallers. Concurrent calls
// may exceed maxCallers by a few.
func (recorder *Recorder) labels(priority swrule.Priority, caller string) labels {
	if _, known := recorder.callers.Get(caller); !known {
		if recorder.callers.Len() >= maxCallers {
			return labels{priority: priority, caller: otherCaller}
		}
		recorder.callers.Put(caller, struct{}{})
	}
	return labels{priority: priority, caller: caller}
}

func (recorder *Recorder) queryCounter(labels labels, code swcode.Code) tally.Counter {
	return recorder.queryCounters.GetOrPut(codeLabels{labels: labels, code: code}, func() tally.Counter {
		tags := labels.tags()
		tags["code"] = code.String()
		return recorder.scope.Tagged(tags).Counter("queries")
	})
}

func (recorder *Recorder) histograms(labels labels) *histograms {
	return recorder.histogramsByLabels.GetOrPut(labels, func() *histograms {
		scope := recorder.scope.Tagged(labels.tags())
		return &histograms{
			queryTime:   scope.Histogram("query_seconds", latencyBuckets),
			queueWait:   scope.Histogram("queue_wait_seconds", latencyBuckets),
			serviceTime: scope.Histogram("service_seconds", latencyBuckets),
			subRequests: scope.Histogram("sub_requests", countBuckets),
		}
	})
}

func (labels labels) tags() map[string]string {
	return map[string]string{"priority": labels.priority.String(), "caller": labels.caller}
}
