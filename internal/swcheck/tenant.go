package swcheck

import (
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

func (checker *checker) checkTenants() {
	tenants := checker.config.Table.Tenants
	names := make(map[string]bool)
	holders := make(map[string]int)
	for i, tenant := range tenants {
		place := func(field string) string { return checker.place(typeTenant, i, tenant.Name, field) }
		switch {
		case tenant.Name == "":
			checker.addError(place("Name"), "is empty, so replicas can't tell the tenant from none", "name the tenant")
		case names[tenant.Name]:
			checker.addError(place("Name"), "an earlier tenant has the same name, so both share limits and metrics", "merge them, or rename one")
		case checker.keys[tenant.Name]:
			checker.addError(place("Name"), "equals a key, and names are sent to replicas and written to logs", "rename the tenant and replace the key")
		case !isHeaderValue(tenant.Name):
			checker.addError(place("Name"), "can't be sent to replicas in a header", "use printable characters without blanks at the ends")
		}
		names[tenant.Name] = true
		checker.checkKeys(place("Keys"), i, tenant, holders)
		checker.checkQuota(place, tenant)
	}
	public := func(route *swroute.Route) bool { return route.Public }
	if routes := checker.config.Table.Routes; len(tenants) > 0 && len(routes) > 0 && !slices.ContainsFunc(routes, func(route *swroute.Route) bool { return !public(route) }) {
		checker.addWarning(checker.encoded(typeTenant), "all routes are public, so no request needs a key", "remove the tenants, or "+checker.encoded("Route.Public")+" from routes")
	}
}

// isHeaderValue reports whether a header can carry a value unchanged.
func isHeaderValue(value string) bool {
	return !strings.ContainsFunc(value, unicode.IsControl) && strings.TrimSpace(value) == value
}

// checkKeys checks the keys of the tenant at index. holders holds the index of the tenant that has a key. Keys are named by their number.
func (checker *checker) checkKeys(place string, index int, tenant *swroute.Tenant, holders map[string]int) {
	if len(tenant.Keys) == 0 {
		checker.addWarning(place, "is empty, so no request is the tenant's", "add a key, or remove the tenant")
	}
	for i, key := range tenant.Keys {
		label := fmt.Sprintf("key %d of %d", i+1, len(tenant.Keys))
		if key == "" {
			checker.addError(place, label+" is empty, so requests without a key may pass for the tenant's", "remove it")
			continue
		}
		if !isHeaderValue(key) {
			checker.addError(place, label+" can't be sent in a header", "use printable characters without blanks at the ends")
		}
		holder, taken := holders[key]
		switch {
		case !taken:
			holders[key] = index
		case holder == index:
			checker.addWarning(place, label+" occurs twice", "remove one")
		default:
			checker.addError(place, fmt.Sprintf("%s is also a key of %s, so requests with it are refused for both",
				label, checker.place(typeTenant, holder, checker.config.Table.Tenants[holder].Name, "")), "give each tenant keys of its own")
		}
	}
}

func (checker *checker) checkQuota(place func(string) string, tenant *swroute.Tenant) {
	switch {
	case tenant.Rate < 0:
		checker.addError(place("Rate"), "is negative", "use a positive number, or zero for no limit")
	case tenant.Burst < 0:
		checker.addError(place("Burst"), "is negative", "use a positive number, or zero for none")
	case tenant.Rate == 0 && tenant.Burst > 0:
		checker.addWarning(place("Burst"), "has no effect without a rate", "set "+checker.encoded("Tenant.Rate")+", or remove it")
	case tenant.Rate > 0 && tenant.Rate+tenant.Burst < 1:
		checker.addWarning(place("Rate"), "with the burst it allows less than one request at a time", "raise the rate or the burst")
	}
}
