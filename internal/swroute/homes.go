package swroute

import (
	"slices"
	"strings"
)

// Homes are the regions whose replicas may serve a request. The zero value allows all regions.
type Homes struct {
	limited bool
	// regions are sorted; if there are none and limited is set, no replica may serve the request.
	regions []string
}

// CombineHomes returns the regions that are in every list. An empty list allows all regions.
func CombineHomes(lists ...[]string) Homes {
	homes := Homes{}
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !homes.limited:
			homes = Homes{limited: true, regions: slices.Compact(slices.Sorted(slices.Values(list)))}
		default:
			homes.regions = slices.DeleteFunc(homes.regions, func(region string) bool { return !slices.Contains(list, region) })
		}
	}
	return homes
}

// Limited reports whether some regions may not serve the request.
func (homes Homes) Limited() bool {
	return homes.limited
}

// Contains reports whether replicas in a region may serve the request. The region of a data centre that the settings do not name is
// empty, which is in no list.
func (homes Homes) Contains(region string) bool {
	return !homes.limited || region != "" && slices.Contains(homes.regions, region)
}

// Regions returns the regions if they are limited, else nil. The caller must not modify the slice.
func (homes Homes) Regions() []string {
	return homes.regions
}

// keySeparator stands in no name of a service, route or region: the configuration is JSON text that operators write.
const keySeparator = "\x00"

// Key returns a name for what is counted of a service or route within the homes only. It is the given name if all regions are allowed.
func (homes Homes) Key(name string) string {
	if !homes.limited {
		return name
	}
	return name + keySeparator + strings.Join(homes.regions, keySeparator)
}

// SplitKey returns the name from which Key made a key, and what Key makes of an empty name.
func SplitKey(key string) (name, ofHomes string) {
	name, _, _ = strings.Cut(key, keySeparator)
	return name, key[len(name):]
}

// AllHomes returns the homes that requests may have: those of each route, combined with those of each tenant. There are few of them,
// however many routes and tenants there are, because most share theirs.
func (table *Table) AllHomes() []Homes {
	byKey := map[string]Homes{"": {}}
	table.ForEachRoute(func(route *Route) {
		homes := CombineHomes(route.Homes)
		byKey[homes.Key("")] = homes
	})
	ofTenants := map[string][]string{"": nil}
	for _, tenant := range table.tenants {
		ofTenants[CombineHomes(tenant.Homes).Key("")] = tenant.Homes
	}
	combined := make(map[string]Homes)
	for _, homes := range byKey {
		for _, list := range ofTenants {
			both := homes
			if homes.limited && len(homes.regions) > 0 || !homes.limited {
				both = CombineHomes(homes.regions, list)
			}
			combined[both.Key("")] = both
		}
	}
	all := make([]Homes, 0, len(combined))
	for _, homes := range combined {
		all = append(all, homes)
	}
	return all
}
