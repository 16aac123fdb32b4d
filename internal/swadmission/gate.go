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
	// reportStale is the age from which on a report loses its hold.
	reportStale = time.Second
	// reportRecovery is the further age after which a report no longer sheds anything.
	reportRecovery = 5 * time.Second
	// rootHeadroom is the multiple of the reported fractions up to which a root admits. Queues shed in the order of cohorts
	// themselves, so what they could have taken is not lost to the lowest of many thresholds.
	rootHeadroom = 1.15
	// retryBase is the shortest mean RetryAfter of a shed query.
	retryBase = 250 * time.Millisecond
	// retryMost is the longest mean RetryAfter of a shed query.
	retryMost = 4 * time.Second
)

// Query is what a Gate decides on.
type Query struct {
	Priority swrule.Priority
	Caller   string
	Cohort   uint16
}

// Gate refuses whole queries at the root by what the owners of backend servers reported last. It is safe for
// concurrent use.
type Gate struct {
	servers *swtable.Table[string, *gateEntry]
	owners  *swtable.Table[string, ownerEntry]
	// reported is set while some owner's report sheds anything.
	reported atomic.Bool
	// purged is when owners that fell silent were last dropped, in nanoseconds since 1970.
	purged atomic.Int64
}

// gateEntry is what was reported last of a server. It is not changed once it is in the table.
type gateEntry struct {
	owner  string
	report ServerReport
	heard  time.Time
}

type ownerEntry struct {
	servers []string
	heard   time.Time
}

// NewGate returns a gate that admits everything.
func NewGate() *Gate {
	return &Gate{servers: swtable.New[string, *gateEntry](), owners: swtable.New[string, ownerEntry]()}
}

// Observe takes in the report that an owner sent with a reply. It replaces the owner's earlier report.
func (gate *Gate) Observe(owner string, report Report) {
	if len(report.Servers) == 0 && !gate.reported.Load() {
		return
	}
	now := time.Now()
	names := make([]string, len(report.Servers))
	for i := range report.Servers {
		names[i] = report.Servers[i].Server
		gate.servers.Put(names[i], &gateEntry{owner: owner, report: report.Servers[i], heard: now})
	}
	gate.owners.Update(owner, func(earlier ownerEntry, _ bool) (ownerEntry, bool) {
		gate.dropMissing(owner, earlier.servers, names)
		return ownerEntry{servers: names, heard: now}, len(names) > 0
	})
	gate.purge(now)
	gate.reported.Store(gate.owners.Len() > 0)
}

// dropMissing removes the owner's servers that its latest report no longer names.
func (gate *Gate) dropMissing(owner string, earlier, present []string) {
	for _, name := range earlier {
		if slices.Contains(present, name) {
			continue
		}
		gate.servers.Update(name, func(entry *gateEntry, known bool) (*gateEntry, bool) {
			return entry, known && entry.owner != owner
		})
	}
}

// purge drops owners that have not been heard of since their reports lost their hold.
func (gate *Gate) purge(now time.Time) {
	last := gate.purged.Load()
	if now.UnixNano()-last < int64(reportStale) || !gate.purged.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	var silent []string
	gate.owners.Range(func(owner string, entry ownerEntry) bool {
		if now.Sub(entry.heard) > reportStale+reportRecovery {
			silent = append(silent, owner)
		}
		return true
	})
	for _, owner := range silent {
		entry, _ := gate.owners.Get(owner)
		gate.dropMissing(owner, entry.servers, nil)
		gate.owners.Delete(owner)
	}
}

// Shedding reports whether the server's owner sheds any work, so that no hedge should go there.
func (gate *Gate) Shedding(server string) bool {
	if !gate.reported.Load() {
		return false
	}
	entry, ok := gate.servers.Get(server)
	return ok && time.Since(entry.heard) < reportStale+reportRecovery
}

// Accepts reports whether the server's queue admits the query's cohort. A planner prefers replicas that do.
func (gate *Gate) Accepts(server string, query Query) bool {
	if !gate.reported.Load() {
		return true
	}
	return float64(query.Cohort) < gate.fraction(time.Now(), server, &query)*AllCohorts
}

// allAdmitted is a fraction above every cohort.
const allAdmitted = 2.0

// fraction returns the admitted fraction. It recovers when the owner has not been heard of for a while, so that a root
// that sends nothing comes to probe again.
func (gate *Gate) fraction(now time.Time, server string, query *Query) float64 {
	entry, ok := gate.servers.Get(server)
	if !ok {
		return allAdmitted
	}
	admitted := entry.report.admitted(query.Priority, query.Caller)
	if admitted == AllCohorts {
		return allAdmitted
	}
	fraction := max(leastFraction, rootHeadroom*float64(admitted)/AllCohorts)
	stale := now.Sub(entry.heard) - reportStale
	if stale <= 0 {
		return fraction
	}
	return fraction + stale.Seconds()/reportRecovery.Seconds()
}

// Admit decides on a whole query before any backend server sees it. shards holds for each shard the backend servers
// that the query could use; a shard none of whose servers accepts the query refuses it. retryAfter is how long the
// caller should wait when it is refused; it differs from call to call, so that callers spread.
func (gate *Gate) Admit(query Query, shards [][]string) (retryAfter time.Duration, admitted bool) {
	if !gate.reported.Load() {
		return 0, true
	}
	now := time.Now()
	lowest := allAdmitted
	for _, replicas := range shards {
		lowest = min(lowest, gate.best(now, replicas, &query))
		if float64(query.Cohort) >= lowest*AllCohorts {
			return retryDelay(lowest), false
		}
	}
	return 0, true
}

// best returns the highest admitted fraction among the replicas of a shard. It looks no further than a replica that
// accepts the query.
func (gate *Gate) best(now time.Time, replicas []string, query *Query) float64 {
	if len(replicas) == 0 {
		return allAdmitted
	}
	best := 0.0
	for _, server := range replicas {
		best = max(best, gate.fraction(now, server, query))
		if float64(query.Cohort) < best*AllCohorts {
			return best
		}
	}
	return best
}

// retryDelay returns a random delay whose mean grows as less is admitted.
func retryDelay(fraction float64) time.Duration {
	mean := min(float64(retryMost), float64(retryBase)/max(fraction, leastFraction))
	return time.Duration(mean * (0.5 + rand.Float64()))
}
