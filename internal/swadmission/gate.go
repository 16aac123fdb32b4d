package swadmission

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	// reportStale is the age from which on a report loses its hold.
	reportStale = time.Second
	// reportRecovery is the further age after which a report no longer sheds anything.
	reportRecovery = 5 * time.Second
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
	servers *swtable.Table[string, gateEntry]
	owners  *swtable.Table[string, []string]
}

type gateEntry struct {
	owner  string
	report ServerReport
	heard  time.Time
}

// NewGate returns a gate that admits everything.
func NewGate() *Gate {
	return &Gate{servers: swtable.New[string, gateEntry](), owners: swtable.New[string, []string]()}
}

// Observe takes in the report that an owner sent with a reply. It replaces the owner's earlier report.
func (gate *Gate) Observe(owner string, report Report) {
	if len(report.Servers) == 0 {
		if _, known := gate.owners.Get(owner); !known {
			return
		}
	}
	names := make([]string, len(report.Servers))
	now := time.Now()
	for i := range report.Servers {
		names[i] = report.Servers[i].Server
		gate.servers.Put(names[i], gateEntry{owner: owner, report: report.Servers[i], heard: now})
	}
	gate.owners.Update(owner, func(earlier []string, _ bool) ([]string, bool) {
		gate.dropMissing(owner, earlier, names)
		return names, len(names) > 0
	})
}

// dropMissing removes the owner's servers that its latest report no longer names.
func (gate *Gate) dropMissing(owner string, earlier, present []string) {
	for _, name := range earlier {
		if contains(present, name) {
			continue
		}
		gate.servers.Update(name, func(entry gateEntry, known bool) (gateEntry, bool) {
			return entry, known && entry.owner != owner
		})
	}
}

func contains(names []string, name string) bool {
	for _, present := range names {
		if present == name {
			return true
		}
	}
	return false
}

// Shedding reports whether the server's owner sheds any work, so that no hedge should go there.
func (gate *Gate) Shedding(server string) bool {
	entry, ok := gate.servers.Get(server)
	return ok && time.Since(entry.heard) < reportStale+reportRecovery
}

// Accepts reports whether the server's queue admits the query's cohort. A planner prefers replicas that do.
func (gate *Gate) Accepts(server string, query Query) bool {
	return float64(query.Cohort) < gate.fraction(server, &query)*AllCohorts
}

// fraction returns the admitted fraction. It recovers when the owner has not been heard of for a while, so that a root
// that sends nothing comes to probe again.
func (gate *Gate) fraction(server string, query *Query) float64 {
	entry, ok := gate.servers.Get(server)
	if !ok {
		return 2
	}
	admitted := entry.report.admitted(query.Priority, query.Caller)
	if admitted == AllCohorts {
		return 2
	}
	fraction := max(leastFraction, float64(admitted)/AllCohorts)
	stale := time.Since(entry.heard) - reportStale
	if stale <= 0 {
		return fraction
	}
	return fraction + stale.Seconds()/reportRecovery.Seconds()
}

// Admit decides on a whole query before any backend server sees it. shards holds for each shard the backend servers
// that the query could use; a shard none of whose servers accepts the query refuses it. retryAfter is how long the
// caller should wait when it is refused; it differs from call to call, so that callers spread.
func (gate *Gate) Admit(query Query, shards [][]string) (retryAfter time.Duration, admitted bool) {
	lowest := 2.0
	for _, replicas := range shards {
		lowest = min(lowest, gate.best(replicas, &query))
	}
	if float64(query.Cohort) < lowest*AllCohorts {
		return 0, true
	}
	return retryDelay(lowest), false
}

// best returns the highest admitted fraction among the replicas of a shard.
func (gate *Gate) best(replicas []string, query *Query) float64 {
	best := 0.0
	for _, server := range replicas {
		best = max(best, gate.fraction(server, query))
		if best > 1 {
			return best
		}
	}
	if len(replicas) == 0 {
		return 2
	}
	return best
}

// retryDelay returns a random delay whose mean grows as less is admitted.
func retryDelay(fraction float64) time.Duration {
	mean := min(float64(retryMost), float64(retryBase)/max(fraction, leastFraction))
	return time.Duration(mean * (0.5 + rand.Float64()))
}
