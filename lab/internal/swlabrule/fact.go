// Package swlabrule checks rules of the users' platform on what its replicas received: where requests may go, what they may carry, and how
// many of them there may be. It works on plain values that a run has recorded.
package swlabrule

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
)

// Feature is a part of the gateway whose rules are checked.
type Feature string

// The features.
const (
	// Homes restrict routes and tenants to regions.
	Homes Feature = "homes"
	// Evacuations empty a data centre.
	Evacuations Feature = "evacuations"
	// Cold replicas take few requests.
	Cold Feature = "cold"
	// Tenants have keys and quotas.
	Tenants Feature = "tenants"
)

// AllFeatures lists the features.
func AllFeatures() []Feature {
	return []Feature{Homes, Evacuations, Cold, Tenants}
}

// Tenant is a tenant in one version of the configuration.
type Tenant struct {
	Keys  []string
	Rate  float64
	Burst float64
	Homes []string
}

// Version is one version of the configuration.
type Version struct {
	Number    int
	WrittenAt time.Time
	// Homes maps the path prefixes of routes to their homes; routes without homes are left out.
	Homes   map[string][]string
	Tenants map[string]Tenant
}

// Request is a request as its client sent it.
type Request struct {
	VM     string
	SentAt time.Time
	// Key is empty for a request without one. Tenant is the one that has the key, in every version that knows the key.
	Key    string
	Tenant string
}

// Sight is the first answer that shows that a process of a VM has a version in force.
type Sight struct {
	VM      string
	At      time.Time
	Version int
	// Until is when the process ended; the zero time if it still runs.
	Until time.Time
}

// Evacuation is the time in which an object asked that a data centre be empty.
type Evacuation struct {
	DataCentre string
	From       time.Time
	// Until is when the object was deleted; the zero time if it still exists.
	Until time.Time
}

// Disturbance is a fault that may keep a VM from learning of a change.
type Disturbance struct {
	// VM is empty for a fault of the store, which affects all VMs.
	VM   string
	From time.Time
	// Until is the zero time while the fault lasts.
	Until time.Time
	// PeersOnly is set if the VM still reaches the store and the replicas.
	PeersOnly bool
}

// Bounds holds what the rules allow.
type Bounds struct {
	// EvacuateWithin is the time within which a data centre must be empty.
	EvacuateWithin time.Duration
	// InFlight is how long a request may be on its way to a replica.
	InFlight time.Duration
	// WarmUpRate, WarmUpOverage and WarmUpSlack bound the requests that a cold replica gets in any second: rate x overage + slack.
	WarmUpRate    float64
	WarmUpOverage float64
	WarmUpSlack   float64
	// WarmUpNotice is how long VMs may take to learn that a replica has become cold while it was in use.
	WarmUpNotice time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack bound the requests of a tenant that run in any window:
	// (rate x window + burst) x (1 + overage) + slack.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
}

// Facts is what a run has recorded. Versions, Sights, Evacuations and Disturbances are in order of their times.
type Facts struct {
	Bounds       Bounds
	Regions      map[string]string
	Versions     []Version
	Sights       []Sight
	Requests     map[string]Request
	Evacuations  []Evacuation
	Disturbances []Disturbance
	Arrivals     []swlabusers.Arrival
}

// Violations checks the rules of the given features and describes each violation.
func (facts *Facts) Violations(features []Feature) []string {
	checks := map[Feature]func(*report){
		Homes: facts.checkHomes, Evacuations: facts.checkEvacuations, Cold: facts.checkCold, Tenants: facts.checkTenants,
	}
	var violations []string
	for _, feature := range AllFeatures() {
		if slices.Contains(features, feature) {
			report := &report{counts: make(map[string]int)}
			checks[feature](report)
			violations = append(violations, report.lines()...)
		}
	}
	return violations
}

// maxShown is the number of violations of one rule that are described. More of them are counted, because a missing feature breaks its
// rule with nearly every request.
const maxShown = 5

// report collects the violations of one feature's rules.
type report struct {
	descriptions []string
	counts       map[string]int
	rules        []string
}

// add adds a violation of a rule.
func (report *report) add(rule, format string, values ...any) {
	if report.counts[rule] == 0 {
		report.rules = append(report.rules, rule)
	}
	if report.counts[rule]++; report.counts[rule] <= maxShown {
		report.descriptions = append(report.descriptions, rule+": "+fmt.Sprintf(format, values...))
	}
}

func (report *report) lines() []string {
	lines := report.descriptions
	for _, rule := range report.rules {
		if more := report.counts[rule] - maxShown; more > 0 {
			lines = append(lines, fmt.Sprintf("%s: and %d more", rule, more))
		}
	}
	return lines
}

// covers reports whether a period that ends at until, or never if that is zero, contains a time.
func covers(from, until, at time.Time) bool {
	return !at.Before(from) && (until.IsZero() || at.Before(until))
}

// inForce returns the versions that may have been in force for a request at the VM that it was sent to, until a replica received it. The
// VM may not go back to a version before the one that its process was seen to have.
func (facts *Facts) inForce(request Request, receivedAt time.Time) []Version {
	seen := 0
	for _, sight := range facts.Sights {
		if sight.VM == request.VM && covers(sight.At, sight.Until, request.SentAt) {
			seen = max(seen, sight.Version)
		}
	}
	var versions []Version
	for _, version := range facts.Versions {
		if version.Number >= seen && !version.WrittenAt.After(receivedAt) {
			versions = append(versions, version)
		}
	}
	return versions
}

// homesOf returns the homes of the route of a path; nil if the route has none.
func (version *Version) homesOf(path string) []string {
	longest, homes := "", []string(nil)
	for prefix, of := range version.Homes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest, homes = prefix, of
		}
	}
	return homes
}
