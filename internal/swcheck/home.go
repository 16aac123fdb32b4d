package swcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// homeGroup holds the elements that have the same homes. Comparing groups keeps the work small for thousands of routes and tenants.
type homeGroup struct {
	homes   []string
	indexes []int
	names   []string
}

// groups collects elements by their homes, in order of first occurrence. Elements without homes are left out.
type groups struct {
	byKey map[string]*homeGroup
	list  []*homeGroup
}

func (groups *groups) add(homes []string, index int, name string) {
	if len(homes) == 0 {
		return
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(homes)))
	// The separator is in no name of a region, because the platform's names are words.
	key := strings.Join(sorted, "\x00")
	group, ok := groups.byKey[key]
	if !ok {
		group = &homeGroup{homes: sorted}
		if groups.byKey == nil {
			groups.byKey = make(map[string]*homeGroup)
		}
		groups.byKey[key] = group
		groups.list = append(groups.list, group)
	}
	group.indexes, group.names = append(group.indexes, index), append(group.names, name)
}

// intersect returns the homes that two elements have in common; an empty list stands for all regions. ok is false if there are none.
func intersect(a, b []string) (homes []string, ok bool) {
	switch {
	case len(a) == 0:
		return b, true
	case len(b) == 0:
		return a, true
	}
	for _, home := range a {
		if slices.Contains(b, home) {
			homes = append(homes, home)
		}
	}
	return homes, len(homes) > 0
}

// checkHomePairs finds unknown regions, and tenants and routes without a home in common.
func (checker *checker) checkHomePairs() {
	var routes, tenants groups
	closedRoutes := 0
	for i, route := range checker.config.Table.Routes {
		checker.checkRegions(checker.place(typeRoute, i, route.Name, "Homes"), route.Homes)
		if !route.Public {
			closedRoutes++
			routes.add(route.Homes, i, route.Name)
		}
	}
	for i, tenant := range checker.config.Table.Tenants {
		checker.checkRegions(checker.place(typeTenant, i, tenant.Name, "Homes"), tenant.Homes)
		tenants.add(tenant.Homes, i, tenant.Name)
	}
	for _, tenantGroup := range tenants.list {
		var closedTo []string
		for _, routeGroup := range routes.list {
			if _, ok := intersect(tenantGroup.homes, routeGroup.homes); !ok {
				closedTo = append(closedTo, routeGroup.names...)
			}
		}
		if len(closedTo) == 0 {
			continue
		}
		place := checker.place(typeTenant, tenantGroup.indexes[0], tenantGroup.names[0], "Homes")
		if others := tenantGroup.names[1:]; len(others) > 0 {
			place += fmt.Sprintf(" (and %s)", checker.list(others))
		}
		fix := "add a region that the routes and the tenant have in common, if the tenant is to use them"
		if len(closedTo) == closedRoutes {
			checker.addError(place, "has no region in common with any route, so all requests are refused", fix)
		} else {
			checker.addWarning(place, "has no region in common with routes, so requests there are refused: "+checker.list(closedTo), fix)
		}
	}
}

// checkRegions finds homes that are no region of the deployment.
func (checker *checker) checkRegions(place string, homes []string) {
	if checker.config.Regions == nil || len(homes) == 0 {
		return
	}
	known := make(map[string]bool)
	for _, region := range checker.config.Regions {
		known[region] = true
	}
	var unknown []string
	for _, home := range homes {
		if !known[home] {
			unknown = append(unknown, home)
		}
	}
	switch {
	case len(unknown) == len(homes):
		checker.addError(place, "names no region of the deployment, so all requests are refused: "+checker.list(unknown), "correct the names")
	case len(unknown) > 0:
		checker.addWarning(place, "names unknown regions: "+checker.list(unknown), "correct the names")
	}
}

// allowed reports whether a replica in a region may serve a route or tenant.
func allowed(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// effectiveHomes returns the homes for a tenant's requests on a route. ok is false if nothing may serve them.
func effectiveHomes(route *swroute.Route, tenant *swroute.Tenant) (homes []string, ok bool) {
	return intersect(route.Homes, tenant.Homes)
}
