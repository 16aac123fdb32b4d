package swadmission

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// staleReportAge is the age from which on the fractions in a report are raised gradually.
	staleReportAge = time.Second
	// reportFadeTime is the time after staleReportAge in which the raised fractions reach 1, so that the report sheds nothing.
	reportFadeTime = 5 * time.Second
	// admissionHeadroom is the multiple of the reported fractions up to which a root admits. The lowest fraction of many
	// shards limits a query, which would leave the other queues underused. Queues shed the excess by cohort themselves.
	admissionHeadroom = 1.15
	// minMeanRetryDelay is the minimum of the mean RetryAfter of a shed query.
	minMeanRetryDelay = 250 * time.Millisecond
	// maxMeanRetryDelay is the maximum of the mean RetryAfter of a shed query.
	maxMeanRetryDelay = 4 * time.Second
)

// Query holds the attributes of a query that a Gate decides on.
type Query struct {
	Priority swrule.Priority
	Caller   string
	Cohort   uint16
}

// Gate is the admission control of a root: it refuses whole queries according to the latest reports of the VMs that own
// the backend servers. It is safe for concurrent use.
type Gate struct {
	servers *swtable.Table[string, *serverEntry]
	owners  *swtable.Table[string, ownerEntry]
	// anyShedding is true while some owner's report sheds work.
	anyShedding atomic.Bool
	// purgedAt is when stale owners were last removed, in nanoseconds since the Unix epoch.
	purgedAt atomic.Int64
}

// serverEntry holds the latest report on a server. It is immutable once it is in the table.
type serverEntry struct {
	owner      string
	report     ServerReport
	receivedAt time.Time
}

// ownerEntry lists the servers in an owner's latest report.
type ownerEntry struct {
	servers    []string
	receivedAt time.Time
}

// NewGate returns a gate that admits everything.
func NewGate() *Gate {
	return &Gate{servers: swtable.New[string, *serverEntry](), owners: swtable.New[string, ownerEntry]()}
}

// Observe records the report that an owner sent with a reply. It replaces the owner's earlier report.
func (gate *Gate) Observe(owner string, report Report) {
	if len(report.Servers) == 0 && !gate.anyShedding.Load() {
		return
	}
	now := time.Now()
	names := make([]string, len(report.Servers))
	for i := range report.Servers {
		names[i] = report.Servers[i].Server
		gate.servers.Put(names[i], &serverEntry{owner: owner, report: report.Servers[i], receivedAt: now})
	}
	gate.owners.Update(owner, func(earlier ownerEntry, _ bool) (ownerEntry, bool) {
		gate.removeUnreported(owner, earlier.servers, names)
		return ownerEntry{servers: names, receivedAt: now}, len(names) > 0
	})
	gate.removeStaleOwners(now)
	gate.anyShedding.Store(gate.owners.Len() > 0)
}

// removeUnreported removes the owner's servers that its latest report no longer contains.
func (gate *Gate) removeUnreported(owner string, earlier, present []string) {
	for _, name := range earlier {
		if slices.Contains(present, name) {
			continue
		}
		gate.servers.Update(name, func(entry *serverEntry, known bool) (*serverEntry, bool) {
			return entry, known && entry.owner != owner
		})
	}
}

// removeStaleOwners removes owners whose latest report is so old that it no longer sheds anything.
func (gate *Gate) removeStaleOwners(now time.Time) {
	last := gate.purgedAt.Load()
	if now.UnixNano()-last < int64(staleReportAge) || !gate.purgedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	var stale []string
	gate.owners.Range(func(owner string, entry ownerEntry) bool {
		if now.Sub(entry.receivedAt) > staleReportAge+reportFadeTime {
			stale = append(stale, owner)
		}
		return true
	})
	for _, owner := range stale {
		entry, _ := gate.owners.Get(owner)
		gate.removeUnreported(owner, entry.servers, nil)
		gate.owners.Delete(owner)
	}
}

// Shedding reports whether the server's owner sheds any work for it. No hedge should be sent to such a server.
func (gate *Gate) Shedding(server string) bool {
	if !gate.anyShedding.Load() {
		return false
	}
	entry, ok := gate.servers.Get(server)
	return ok && time.Since(entry.receivedAt) < staleReportAge+reportFadeTime
}

// Accepts reports whether the server's queue admits the query's cohort. Planners prefer replicas that do.
func (gate *Gate) Accepts(server string, query Query) bool {
	if !gate.anyShedding.Load() {
		return true
	}
	return float64(query.Cohort) < gate.admittedFraction(time.Now(), server, &query)*AllCohorts
}

// allAdmitted is a fraction above every cohort.
const allAdmitted = 2.0

// admittedFraction returns the fraction of the query's cohorts that the server's queue admits. The fraction grows when the
// report is stale; otherwise a root that refuses everything would never receive a new report.
func (gate *Gate) admittedFraction(now time.Time, server string, query *Query) float64 {
	entry, ok := gate.servers.Get(server)
	if !ok {
		return allAdmitted
	}
	admitted := entry.report.admitted(query.Priority, query.Caller)
	if admitted == AllCohorts {
		return allAdmitted
	}
	fraction := max(minFraction, admissionHeadroom*float64(admitted)/AllCohorts)
	stale := now.Sub(entry.receivedAt) - staleReportAge
	if stale <= 0 {
		return fraction
	}
	return fraction + stale.Seconds()/reportFadeTime.Seconds()
}

// Admit decides on a whole query before any sub-request is sent. shards lists the usable backend servers of each shard.
// The query is refused if some shard has no server that accepts it. retryAfter is how long the caller should then wait;
// it is randomized, so that callers do not retry at the same time.
func (gate *Gate) Admit(query Query, shards [][]string) (retryAfter time.Duration, admitted bool) {
	if !gate.anyShedding.Load() {
		return 0, true
	}
	now := time.Now()
	lowest := allAdmitted
	for _, replicas := range shards {
		lowest = min(lowest, gate.highestFraction(now, replicas, &query))
		if float64(query.Cohort) >= lowest*AllCohorts {
			return retryDelay(lowest), false
		}
	}
	return 0, true
}

// highestFraction returns the highest admitted fraction among the replicas of a shard. It stops at the first replica that
// accepts the query.
func (gate *Gate) highestFraction(now time.Time, replicas []string, query *Query) float64 {
	if len(replicas) == 0 {
		return allAdmitted
	}
	highest := 0.0
	for _, server := range replicas {
		highest = max(highest, gate.admittedFraction(now, server, query))
		if float64(query.Cohort) < highest*AllCohorts {
			return highest
		}
	}
	return highest
}

// retryDelay returns a random delay whose mean grows as the admitted fraction falls.
func retryDelay(fraction float64) time.Duration {
	mean := min(float64(maxMeanRetryDelay), float64(minMeanRetryDelay)/max(fraction, minFraction))
	return time.Duration(mean * (0.5 + rand.Float64()))
}
