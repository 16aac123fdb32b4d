package swroute

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"unicode"
)

// Tenant is a customer that shares the system with others. It is immutable.
type Tenant struct {
	Name string
	// Keys are the keys by which its requests are recognised. They are secret.
	Keys []string
	// Priority takes precedence over that of the route if HasPriority is set; zero is the most urgent.
	Priority    int
	HasPriority bool
	// Rate is the number of requests per second that all VMs together may run for it, and Burst the number beyond that; a zero Rate means
	// no limit.
	Rate  float64
	Burst float64
	// Homes are the regions whose replicas may serve its requests; empty for all regions.
	Homes []string
}

// HasTenants reports whether requests on routes that are not public need a key.
func (table *Table) HasTenants() bool {
	return len(table.tenants) > 0
}

// Tenants returns all tenants. The caller must not modify the slice.
func (table *Table) Tenants() []*Tenant {
	return table.tenants
}

// TenantOf returns the tenant that holds a key, or nil if none or several do. Its time depends neither on the number of keys nor on how much
// of a key the given one matches.
func (table *Table) TenantOf(key string) *Tenant {
	if key == "" || len(key) > table.keys.longest {
		return nil
	}
	return table.keys.owners[sha256.Sum256([]byte(key))]
}

// AmbiguousKeys returns the number of keys that several tenants hold, and the names of these tenants in order.
func (table *Table) AmbiguousKeys() (count int, tenants []string) {
	return table.keys.ambiguous, table.keys.sharers
}

// UnnamedTenants returns the number of tenants whose name cannot be sent to replicas. Their keys are refused.
func (table *Table) UnnamedTenants() int {
	return table.keys.unnamed
}

// keyIndex finds tenants by their keys. The keys are hashed, so that a comparison tells nothing about a key.
type keyIndex struct {
	// owners holds nil for a key of several tenants: it does not say whose request it is.
	owners map[[sha256.Size]byte]*Tenant
	// longest is the length of the longest key. Longer ones are not hashed.
	longest int
	// ambiguous is the number of keys that several tenants hold, and sharers are the names of these tenants.
	ambiguous int
	sharers   []string
	unnamed   int
}

func indexKeys(tenants []*Tenant) keyIndex {
	index := keyIndex{owners: make(map[[sha256.Size]byte]*Tenant)}
	first := make(map[[sha256.Size]byte]*Tenant)
	sharers := make(map[string]bool)
	for _, tenant := range tenants {
		if !canBeSent(tenant.Name) {
			index.unnamed++
			continue
		}
		for _, key := range tenant.Keys {
			if key == "" {
				continue
			}
			index.longest = max(index.longest, len(key))
			digest := sha256.Sum256([]byte(key))
			former, taken := first[digest]
			switch {
			case !taken:
				first[digest], index.owners[digest] = tenant, tenant
			case former != tenant:
				if index.owners[digest] != nil {
					index.ambiguous++
				}
				index.owners[digest] = nil
				sharers[former.Name], sharers[tenant.Name] = true, true
			}
		}
	}
	index.sharers = slices.Sorted(maps.Keys(sharers))
	return index
}

// canBeSent reports whether a name can be the value of a header.
func canBeSent(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl)
}
