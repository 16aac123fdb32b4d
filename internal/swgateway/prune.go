package swgateway

import (
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtable"
)

// Prune forgets what was learned about routes and services that the configuration in force does not name. Configurations change
// a thousand times a day, with new names each time.
func (gateway *Gateway) Prune(table *swroute.Table) {
	services, routes := make(map[string]bool), make(map[string]bool)
	table.ForEachService(func(name string) { services[name] = true })
	table.ForEachRoute(func(route *swroute.Route) { routes[route.Name] = true })
	keepOnly(gateway.pace.routes, routes)
	keepOnly(gateway.pace.services, services)
	keepOnly(gateway.rooms, services)
	keepOnly(gateway.admissions, routes)
	keepOnly(gateway.patience.longest, routes)
	gateway.config.Budget.prune(time.Now(), services)
}

// keepOnly removes the entries that are not named.
func keepOnly[Value any](table *swtable.Table[string, Value], names map[string]bool) {
	var gone []string
	table.Range(func(name string, _ Value) bool {
		if !names[name] {
			gone = append(gone, name)
		}
		return true
	})
	for _, name := range gone {
		table.Delete(name)
	}
}

// prune forgets services that are not named and that nothing was sent to within the window; what was spent on them still counts
// until then.
func (budget *Budget) prune(now time.Time, names map[string]bool) {
	oldest := budget.stepAt(now) - budgetSteps - 1
	kept := make(map[string]bool)
	budget.services.Range(func(name string, counted *serviceBudget) bool {
		counted.mutex.Lock()
		defer counted.mutex.Unlock()
		kept[name] = names[name] || counted.step >= oldest
		return true
	})
	keepOnly(budget.services, kept)
}
