package swcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// Change is a difference from the configuration in force.
type Change struct {
	// Place is the route, service, tenant or limit.
	Place string
	// What says what changes, and Meaning what callers notice.
	What    string
	Meaning string
}

// String formats the change as place: what: meaning.
func (change Change) String() string {
	return change.Place + ": " + change.What + ": " + change.Meaning
}

// comparison collects the changes from former to next.
type comparison struct {
	*checker
	former, next *swroute.TableConfig
	formerTable  *swroute.Table
	nextTable    *swroute.Table
	changes      []Change
}

// compare returns the differences from the configuration in force, by routes, services, tenants and limits. Elements are matched by name.
func (checker *checker) compare() []Change {
	comparison := &comparison{checker: checker, former: checker.config.InForce, next: &checker.config.Table}
	comparison.formerTable, comparison.nextTable = swroute.NewTable(*comparison.former), swroute.NewTable(*comparison.next)
	comparison.compareRoutes()
	comparison.compareServices()
	comparison.compareTenants()
	comparison.compareLimits()
	return comparison.changes
}

// add adds a change of a named element.
func (comparison *comparison) add(elementType, name, what, meaning string) {
	comparison.changes = append(comparison.changes, Change{comparison.encoded(elementType) + " " + comparison.quote(name), what, meaning})
}

// addField adds a change of a field, unless the values are equal. The values must not hold keys.
func (comparison *comparison) addField(elementType, name, field, former, next, meaning string) {
	if former != next {
		comparison.add(elementType, name, fmt.Sprintf("%s %s -> %s", comparison.encoded(elementType+"."+field), former, next), meaning)
	}
}

// pair is an element in the configuration in force and in the one that is checked; one of them may be nil.
type pair[Element any] struct {
	name         string
	former, next *Element
}

// pairUp pairs elements by name: first the next ones in their order, then those that are removed.
func pairUp[Element any](former, next []*Element, nameOf func(*Element) string) []pair[Element] {
	formerByName := make(map[string]*Element, len(former))
	for _, element := range former {
		formerByName[nameOf(element)] = element
	}
	seen := make(map[string]bool, len(next))
	var pairs []pair[Element]
	for _, element := range next {
		if name := nameOf(element); !seen[name] {
			seen[name] = true
			pairs = append(pairs, pair[Element]{name, formerByName[name], element})
		}
	}
	for _, element := range former {
		if name := nameOf(element); !seen[name] {
			seen[name] = true
			pairs = append(pairs, pair[Element]{name, element, nil})
		}
	}
	return pairs
}

func (comparison *comparison) compareRoutes() {
	for _, pair := range pairUp(comparison.former.Routes, comparison.next.Routes, func(route *swroute.Route) string { return route.Name }) {
		switch {
		case pair.former == nil:
			comparison.add(typeRoute, pair.name, "added", comparison.describeMatch(comparison.formerTable, pair.next, "so far got", "so far were served by"))
		case pair.next == nil:
			comparison.add(typeRoute, pair.name, "removed", comparison.describeMatch(comparison.nextTable, pair.former, "get", "are served by"))
		default:
			comparison.compareRoute(pair.name, pair.former, pair.next)
		}
	}
}

// describeMatch says what a table does with requests for the host and prefix of a route.
func (comparison *comparison) describeMatch(table *swroute.Table, route *swroute.Route, notFound, servedBy string) string {
	requests := "requests for " + comparison.quote(matchOf(route).String())
	if other := table.Match(route.Host, route.Prefix); other != nil {
		return fmt.Sprintf("%s %s %s", requests, servedBy, comparison.quote(other.Name))
	}
	return fmt.Sprintf("%s %s 404", requests, notFound)
}

func (comparison *comparison) compareRoute(name string, former, next *swroute.Route) {
	field := func(field, former, next, meaning string) {
		comparison.addField(typeRoute, name, field, former, next, meaning)
	}
	if matchOf(former) != matchOf(next) {
		comparison.add(typeRoute, name, comparison.quote(matchOf(former).String())+" -> "+comparison.quote(matchOf(next).String()),
			comparison.describeMatch(comparison.nextTable, former, "get", "are served by"))
	}
	field("Idempotent", runs(former), runs(next), "says whether a request may be repeated after an attempt whose outcome is unknown")
	field("Timeout", orNone(former.Timeout), orNone(next.Timeout), "the longest time that clients wait for an answer")
	field("TargetLatency", orNone(former.TargetLatency), orNone(next.TargetLatency), "when gathered answers are sent without missing parts")
	field("MaxAttempts", fmt.Sprint(former.MaxAttempts), fmt.Sprint(next.MaxAttempts), "the replicas of a service that a request may be sent to")
	field("Priority", fmt.Sprint(former.Priority), fmt.Sprint(next.Priority), "lower numbers are served first when capacity is short")
	field("WeightedServices", comparison.describeWeights(former), comparison.describeWeights(next), "new requests are divided accordingly")
	field("Shards", comparison.listAll(former.Shards), comparison.listAll(next.Shards), "new answers are gathered from these services")
	field("TopK", fmt.Sprint(former.TopK), fmt.Sprint(next.TopK), "the number of records in an answer")
	field("MinCoverage", number(former.MinCoverage), number(next.MinCoverage), "requests fail if fewer parts of the answer arrive")
	field("Homes", comparison.describeHomes(former.Homes), comparison.describeHomes(next.Homes), "requests are refused when no replica there is left")
	field("Public", fmt.Sprint(former.Public), fmt.Sprint(next.Public), describePublic(next.Public))
}

func runs(route *swroute.Route) string {
	if route.Idempotent {
		return "idempotent"
	}
	return "at most once"
}

func describePublic(public bool) string {
	if public {
		return "requests need no key"
	}
	return "requests without a key get 401 if there are tenants"
}

// listAll quotes all names in order.
func (comparison *comparison) listAll(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	quoted := make([]string, len(names))
	for i, name := range names {
		quoted[i] = comparison.quote(name)
	}
	return strings.Join(quoted, ", ")
}

func (comparison *comparison) describeHomes(homes []string) string {
	if len(homes) == 0 {
		return "all regions"
	}
	return comparison.listAll(slices.Sorted(slices.Values(homes)))
}

func (comparison *comparison) describeWeights(route *swroute.Route) string {
	parts := make([]string, len(route.WeightedServices))
	for i, weightedService := range route.WeightedServices {
		parts[i] = comparison.quote(weightedService.Service) + " " + number(weightedService.Weight)
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func (comparison *comparison) compareServices() {
	pointers := func(services []swroute.Service) []*swroute.Service {
		list := make([]*swroute.Service, len(services))
		for i := range services {
			list[i] = &services[i]
		}
		return list
	}
	for _, pair := range pairUp(pointers(comparison.former.Services), pointers(comparison.next.Services), func(service *swroute.Service) string { return service.Name }) {
		former, next := pair.former, pair.next
		switch {
		case former == nil:
			comparison.add(typeService, pair.name, "added", "its replicas get requests once a route names it")
			continue
		case next == nil:
			comparison.add(typeService, pair.name, "removed", "its replicas get no requests any more")
			continue
		}
		field := func(field, former, next, meaning string) {
			comparison.addField(typeService, pair.name, field, former, next, meaning)
		}
		field("HealthPath", comparison.quote(former.HealthPath), comparison.quote(next.HealthPath), "replicas that do not answer it count as unreachable")
		field("MaxConnections", fmt.Sprint(former.MaxConnections), fmt.Sprint(next.MaxConnections), "the connections to one replica from all VMs")
		field("WarmUp", orNone(former.WarmUp), orNone(next.WarmUp), "how long new replicas take little load")
		field("WarmUpRate", number(former.WarmUpRate), number(next.WarmUpRate), "requests a second at a cold replica; 0 is no limit")
	}
}

func (comparison *comparison) compareTenants() {
	former, next := comparison.former.Tenants, comparison.next.Tenants
	list := comparison.encoded(typeTenant)
	switch {
	case len(former) == 0 && len(next) > 0:
		comparison.changes = append(comparison.changes, Change{list, "none -> some", "requests without a key get 401 on routes that are not public"})
	case len(former) > 0 && len(next) == 0:
		comparison.changes = append(comparison.changes, Change{list, "some -> none", "no request needs a key any more"})
	}
	for _, pair := range pairUp(former, next, func(tenant *swroute.Tenant) string { return tenant.Name }) {
		switch {
		case pair.former == nil:
			comparison.add(typeTenant, pair.name, fmt.Sprintf("added with %d keys", len(pair.next.Keys)), "requests with these keys are its own")
		case pair.next == nil:
			comparison.add(typeTenant, pair.name, fmt.Sprintf("removed with %d keys", len(pair.former.Keys)), comparison.describeWithdrawn(pair.former.Keys))
		default:
			comparison.compareTenant(pair.name, pair.former, pair.next)
		}
	}
}

// describeWithdrawn says what becomes of requests with keys that a tenant no longer has.
func (comparison *comparison) describeWithdrawn(keys []string) string {
	if len(comparison.next.Tenants) == 0 {
		return "no request needs a key any more"
	}
	moved := 0
	for _, key := range keys {
		if comparison.nextTable.TenantOf(key) != nil {
			moved++
		}
	}
	switch moved {
	case 0:
		return "requests with them get 401 on routes that are not public"
	case len(keys):
		return "they are keys of other tenants now"
	}
	return fmt.Sprintf("%d of them are keys of other tenants now; requests with the others get 401 on routes that are not public", moved)
}

// without returns the keys in a that are not in b.
func without(a, b []string) []string {
	kept := make(map[string]bool, len(b))
	for _, key := range b {
		kept[key] = true
	}
	var missing []string
	for _, key := range a {
		if !kept[key] {
			missing = append(missing, key)
		}
	}
	return missing
}

func (comparison *comparison) compareTenant(name string, former, next *swroute.Tenant) {
	field := func(field, former, next, meaning string) {
		comparison.addField(typeTenant, name, field, former, next, meaning)
	}
	keys := comparison.encoded("Tenant.Keys")
	if withdrawn := without(former.Keys, next.Keys); len(withdrawn) > 0 {
		comparison.add(typeTenant, name, fmt.Sprintf("%s withdraws %d of %d", keys, len(withdrawn), len(former.Keys)), comparison.describeWithdrawn(withdrawn))
	}
	if added := without(next.Keys, former.Keys); len(added) > 0 {
		comparison.add(typeTenant, name, fmt.Sprintf("%s adds %d", keys, len(added)), "requests with these keys are its own")
	}
	field("Priority", describePriority(former), describePriority(next), "lower numbers are served first when capacity is short")
	field("Rate", describeRate(former), describeRate(next), "requests beyond it get 429")
	field("Burst", number(former.Burst), number(next.Burst), "requests beyond the rate that may run at once")
	field("Homes", comparison.describeHomes(former.Homes), comparison.describeHomes(next.Homes), "requests are refused when no replica there is left")
}

func describePriority(tenant *swroute.Tenant) string {
	if !tenant.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(tenant.Priority)
}

func describeRate(tenant *swroute.Tenant) string {
	if tenant.Rate == 0 {
		return "no limit"
	}
	return number(tenant.Rate) + "/s"
}

func (comparison *comparison) compareLimits() {
	former, next := comparison.former.Limits, comparison.next.Limits
	for _, limit := range []struct{ field, former, next, meaning string }{
		{"MaxHeaderBytes", fmt.Sprint(former.MaxHeaderBytes), fmt.Sprint(next.MaxHeaderBytes), "larger headers are refused"},
		{"MaxBodyBytes", fmt.Sprint(former.MaxBodyBytes), fmt.Sprint(next.MaxBodyBytes), "larger bodies get 413"},
		{"HeaderTimeout", orNone(former.HeaderTimeout), orNone(next.HeaderTimeout), "slower clients are cut off"},
		{"IdleTimeout", orNone(former.IdleTimeout), orNone(next.IdleTimeout), "connections that are idle for longer are closed"},
	} {
		if limit.former != limit.next {
			comparison.changes = append(comparison.changes, Change{comparison.limitsPlace(limit.field), limit.former + " -> " + limit.next, limit.meaning})
		}
	}
}
