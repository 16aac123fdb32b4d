package swgateway

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// Prune removes the statistics of routes and services that the configuration in force does not name. Configurations change a
// thousand times a day, with new names each time.
func (handler *Handler) Prune(table *swroute.Table) {
	services, routes := make(map[string]bool), make(map[string]bool)
	table.ForEachService(func(name string) { services[name] = true })
	table.ForEachRoute(func(route *swroute.Route) { routes[route.Name] = true })
	keepOnly(handler.latencies.routes, routes)
	keepOnly(handler.latencies.services, services)
	homes := make(map[string]bool)
	for _, known := range table.AllHomes() {
		homes[known.Key("")] = true
	}
	keepOnlyIf(handler.waitQueues, func(key string) bool { return isNamed(key, services, homes) })
	keepOnlyIf(handler.loadShedders, func(key string) bool { return isNamed(key, routes, homes) })
	keepOnly(handler.spills, services)
	keepOnly(handler.clientTimeouts.longest, routes)
	handler.config.Budget.prune(time.Now(), services)
}

// isNamed reports whether a key that swroute.Homes.Key made is of one of the names and of one of the homes.
func isNamed(key string, names, homes map[string]bool) bool {
	name, ofHomes := swroute.SplitKey(key)
	return names[name] && homes[ofHomes]
}

// keepOnly removes the entries whose names are not in the set.
func keepOnly[Value any](table *swtable.Table[string, Value], names map[string]bool) {
	keepOnlyIf(table, func(name string) bool { return names[name] })
}

// keepOnlyIf removes the entries whose names are not to be kept.
func keepOnlyIf[Value any](table *swtable.Table[string, Value], keeps func(name string) bool) {
	var unused []string
	table.Range(func(name string, _ Value) bool {
		if !keeps(name) {
			unused = append(unused, name)
		}
		return true
	})
	for _, name := range unused {
		table.Delete(name)
	}
}

// prune removes services that are not named and received no request within the window. Until then their repeats still count.
func (budget *Budget) prune(now time.Time, names map[string]bool) {
	windowStart := budget.bucketAt(now) - budgetBuckets - 1
	kept := make(map[string]bool)
	budget.services.Range(func(name string, serviceBudget *serviceBudget) bool {
		serviceBudget.mutex.Lock()
		defer serviceBudget.mutex.Unlock()
		kept[name] = names[name] || serviceBudget.bucket >= windowStart
		if !kept[name] {
			budget.limits.Set(now, SlackKey(name), swlimit.Limit{})
		}
		return true
	})
	keepOnly(budget.services, kept)
}
