package swcheck

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// supply is what the replicas of a service in one data centre offer.
type supply struct {
	region   string
	replicas int
	slots    int
}

// supplies maps services and data centres to what their replicas offer.
type supplies map[string]map[string]supply

// supplies sums up the replicas that accept work.
func (checker *checker) supplies() supplies {
	supplies := make(supplies)
	for i := range checker.config.Entries {
		entry := &checker.config.Entries[i]
		if entry.Leaving {
			continue
		}
		dataCentres := supplies[entry.Service]
		if dataCentres == nil {
			dataCentres = make(map[string]supply)
			supplies[entry.Service] = dataCentres
		}
		former := dataCentres[entry.DataCentre]
		dataCentres[entry.DataCentre] = supply{entry.Region, former.replicas + 1, former.slots + entry.Slots}
	}
	return supplies
}

// count returns the replicas and slots of a service in the given homes, without those of a data centre that is lost, if any.
func (supplies supplies) count(service string, homes []string, lost string) (replicas, slots int) {
	for dataCentre, supply := range supplies[service] {
		if dataCentre != lost && allowed(homes, supply.region) {
			replicas += supply.replicas
			slots += supply.slots
		}
	}
	return replicas, slots
}

// shardsLeft returns the number of services with a replica.
func (supplies supplies) shardsLeft(services, homes []string, lost string) int {
	left := 0
	for _, service := range services {
		if replicas, _ := supplies.count(service, homes, lost); replicas > 0 {
			left++
		}
	}
	return left
}

// knownHomes returns the homes that can be compared with the replicas' regions: none if the regions are not known.
func (checker *checker) knownHomes(homes []string) []string {
	if checker.config.Regions == nil {
		return nil
	}
	return homes
}

// checkEntries compares the configuration with the replicas.
func (checker *checker) checkEntries() {
	supplies := checker.supplies()
	for i := range checker.config.Table.Services {
		service := &checker.config.Table.Services[i]
		if checker.services[service.Name] == service && len(supplies[service.Name]) == 0 {
			checker.addWarning(checker.place(typeService, i, service.Name, ""), "has no replica", "start replicas before requests are sent to it")
		}
	}
	for i, route := range checker.config.Table.Routes {
		place := func(field string) string { return checker.place(typeRoute, i, route.Name, field) }
		homes := checker.knownHomes(route.Homes)
		if !checker.checkSupply(place, supplies, route, homes) {
			continue
		}
		checker.checkAttempts(place, supplies, route, homes)
		if route.Gathered() {
			checker.checkLoss(place, supplies, route, homes)
		}
	}
	checker.checkTenantSupply(supplies)
}

// checkSupply checks that replicas stand in the homes of a route, and reports whether the route can be served. Services without a replica
// anywhere are not the homes' fault and are reported by checkEntries.
func (checker *checker) checkSupply(place func(string) string, supplies supplies, route *swroute.Route, homes []string) bool {
	var without []string
	services := servicesOf(route)
	for _, name := range services {
		anywhere, _ := supplies.count(name, nil, "")
		if inHomes, _ := supplies.count(name, homes, ""); inHomes == 0 && anywhere > 0 {
			without = append(without, name)
		}
	}
	served := supplies.shardsLeft(services, homes, "") > 0
	if route.Gathered() {
		served = served && supplies.covers(route, homes, "")
	}
	if len(without) == 0 {
		return served
	}
	fault, fix := "no replica stands in these regions of: "+checker.list(without), "add a region with replicas, or start replicas there"
	if served {
		checker.addWarning(place("Homes"), fault, fix)
	} else {
		checker.addError(place("Homes"), fault+"; all requests are refused", fix)
	}
	return served
}

// coverageTolerance absorbs rounding: three of four shards are enough for 0.75, whatever the digits.
const coverageTolerance = 1e-9

// covers reports whether enough shards have a replica.
func (supplies supplies) covers(route *swroute.Route, homes []string, lost string) bool {
	left := supplies.shardsLeft(route.Shards, homes, lost)
	return left > 0 && float64(left) >= route.MinCoverage*float64(len(route.Shards))-coverageTolerance
}

// checkAttempts warns of attempts that no replica is left for.
func (checker *checker) checkAttempts(place func(string) string, supplies supplies, route *swroute.Route, homes []string) {
	most := 0
	for _, name := range servicesOf(route) {
		replicas, _ := supplies.count(name, homes, "")
		most = max(most, replicas)
	}
	if route.MaxAttempts > most {
		checker.addWarning(place("MaxAttempts"), fmt.Sprintf("allows %d attempts, but no service of the route has more than %d replicas that may serve it",
			route.MaxAttempts, most), fmt.Sprintf("use at most %d", most))
	}
}

// checkLoss warns of a gathered route that the loss of one data centre stops.
func (checker *checker) checkLoss(place func(string) string, supplies supplies, route *swroute.Route, homes []string) {
	dataCentres := make(map[string]bool)
	for _, name := range route.Shards {
		for dataCentre := range supplies[name] {
			dataCentres[dataCentre] = true
		}
	}
	for _, dataCentre := range slices.Sorted(maps.Keys(dataCentres)) {
		if supplies.covers(route, homes, dataCentre) {
			continue
		}
		left := supplies.shardsLeft(route.Shards, homes, dataCentre)
		checker.addWarning(place("MinCoverage"), fmt.Sprintf("%s needs more than the %d of %d shards that remain when %s is lost",
			number(route.MinCoverage), left, len(route.Shards), checker.quote(dataCentre)), "lower it, or start replicas in other data centres")
	}
}

// checkTenantSupply warns of tenants whose rate is above what the replicas of every route take, if each request takes the route's target
// latency. Routes without one don't say how long a request takes.
func (checker *checker) checkTenantSupply(supplies supplies) {
	// Tenants with the same homes can use the same replicas.
	capacities := make(map[string]float64)
	for i, tenant := range checker.config.Table.Tenants {
		key := fmt.Sprintf("%q", tenant.Homes)
		capacity, known := capacities[key]
		if !known {
			capacity = checker.tenantCapacity(supplies, tenant)
			capacities[key] = capacity
		}
		if tenant.Rate > capacity {
			checker.addWarning(checker.place(typeTenant, i, tenant.Name, "Rate"),
				fmt.Sprintf("%s a second is above the %s that the replicas of its best route run if each request takes the target latency",
					number(tenant.Rate), number(math.Floor(capacity))), "lower the rate, or start more replicas")
		}
	}
}

// tenantCapacity returns the requests per second that the replicas of the best route for a tenant run. It is infinite if that is not known.
func (checker *checker) tenantCapacity(supplies supplies, tenant *swroute.Tenant) float64 {
	best, known := 0.0, false
	for _, route := range checker.config.Table.Routes {
		if route.Public {
			continue
		}
		homes, ok := effectiveHomes(route, tenant)
		if !ok {
			continue
		}
		if route.TargetLatency <= 0 {
			return math.Inf(1)
		}
		known = true
		best = max(best, float64(supplies.slotsOf(route, checker.knownHomes(homes)))/route.TargetLatency.Seconds())
	}
	if !known {
		return math.Inf(1)
	}
	return best
}

// slotsOf returns the requests that a route's replicas run at once: those of the scarcest shard, or of all weighted services together.
func (supplies supplies) slotsOf(route *swroute.Route, homes []string) int {
	total, scarcest := 0, math.MaxInt
	for _, name := range servicesOf(route) {
		_, slots := supplies.count(name, homes, "")
		total, scarcest = total+slots, min(scarcest, slots)
	}
	if route.Gathered() {
		return scarcest
	}
	return total
}
