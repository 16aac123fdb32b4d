package swlabrule

import (
	"maps"
	"slices"
	"time"
)

// checkTenants checks the headers of all requests, the keys, and the quotas.
func (facts *Facts) checkTenants(report *report) {
	for _, arrival := range facts.Arrivals {
		if arrival.Credential {
			report.add("CREDENTIAL", "%s reached %s with the header that holds keys", describe(arrival), arrival.Replica)
		}
		request, sent := facts.Requests[arrival.RequestID]
		var want []string
		if sent && request.Tenant != "" {
			want = []string{request.Tenant}
		}
		if !slices.Equal(want, arrival.Tenants) {
			report.add("TENANT", "%s reached %s as a request of %q, want %q", describe(arrival), arrival.Replica, arrival.Tenants, want)
		}
		if sent && request.Key != "" && !facts.keyValid(request, arrival.At) {
			report.add("KEY", "%s reached %s although its key was unknown to %s when it was sent", arrival.RequestID, arrival.Replica, request.VM)
		}
	}
	facts.checkQuotas(report)
}

// keyValid reports whether one of the versions that may have been in force knows the key of a request.
func (facts *Facts) keyValid(request Request, receivedAt time.Time) bool {
	return slices.ContainsFunc(facts.inForce(request, receivedAt), func(version Version) bool {
		return slices.ContainsFunc(slices.Collect(maps.Values(version.Tenants)), func(tenant Tenant) bool { return slices.Contains(tenant.Keys, request.Key) })
	})
}

// checkQuotas finds tenants of which more requests ran within a window than their quota allows. Each request counts once, when it first
// reached a replica that ran it. With several versions, the highest quota of the tenant counts.
func (facts *Facts) checkQuotas(report *report) {
	begun := make(map[string]map[string]time.Time)
	for _, arrival := range facts.Arrivals {
		tenant := facts.Requests[arrival.RequestID].Tenant
		if tenant == "" || !arrival.Ran {
			continue
		}
		if begun[tenant] == nil {
			begun[tenant] = make(map[string]time.Time)
		}
		if first, known := begun[tenant][arrival.RequestID]; !known || arrival.At.Before(first) {
			begun[tenant][arrival.RequestID] = arrival.At
		}
	}
	for _, tenant := range slices.Sorted(maps.Keys(begun)) {
		bound, limited := facts.quotaOf(tenant)
		if !limited {
			continue
		}
		times := slices.SortedFunc(maps.Values(begun[tenant]), time.Time.Compare)
		first := 0
		for last, at := range times {
			for at.Sub(times[first]) >= facts.Bounds.QuotaWindow {
				first++
			}
			if count := last - first + 1; float64(count) > bound {
				report.add("QUOTA", "%d requests of %s ran within %s, its quota allows %.1f", count, tenant, facts.Bounds.QuotaWindow, bound)
			}
		}
	}
}

// quotaOf returns how many requests of a tenant may run in a window. limited is false if a version sets no limit.
func (facts *Facts) quotaOf(name string) (bound float64, limited bool) {
	for _, version := range facts.Versions {
		tenant, exists := version.Tenants[name]
		if !exists {
			continue
		}
		if tenant.Rate == 0 {
			return 0, false
		}
		limited = true
		quota := tenant.Rate*facts.Bounds.QuotaWindow.Seconds() + tenant.Burst
		bound = max(bound, quota*(1+facts.Bounds.QuotaOverage)+facts.Bounds.QuotaSlack)
	}
	return bound, limited
}
