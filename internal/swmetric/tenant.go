package swmetric

import (
	"github.com/uber-go/tally/v4"

	"github.com/sycamorewall/sycamorewall/internal/swtable"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// maxTenants is the number of tenants that have metrics of their own. All others share otherTenant, to bound the cardinality: one series a
	// tenant and result code.
	maxTenants = 128
	// otherTenant is the label of the tenants over maxTenants.
	otherTenant = "other"
)

// tenantCounters counts the requests of tenants by result.
type tenantCounters struct {
	scope    tally.Scope
	tenants  *swtable.Table[string, struct{}]
	counters *swtable.Table[tenantLabels, tally.Counter]
}

type tenantLabels struct {
	tenant string
	code   swcode.Code
}

func newTenantCounters(scope tally.Scope) tenantCounters {
	return tenantCounters{scope: scope, tenants: swtable.New[string, struct{}](), counters: swtable.New[tenantLabels, tally.Counter]()}
}

// RecordTenantRequest counts a finished request of a tenant by its code. Concurrent calls may exceed maxTenants by a few.
func (recorder *Recorder) RecordTenantRequest(tenant string, code swcode.Code) {
	tenantCounters := &recorder.tenantCounters
	if _, known := tenantCounters.tenants.Get(tenant); !known {
		if tenantCounters.tenants.Len() >= maxTenants {
			tenant = otherTenant
		} else {
			tenantCounters.tenants.Put(tenant, struct{}{})
		}
	}
	tenantCounters.counters.GetOrPut(tenantLabels{tenant, code}, func() tally.Counter {
		return tenantCounters.scope.Tagged(map[string]string{"tenant": tenant, "code": code.String()}).Counter("tenant_requests")
	}).Inc(1)
}
