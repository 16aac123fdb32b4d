package swgateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// unusedMargin is the fraction of a quota's margin that swlimit leaves: it places half of the margin at the VMs and lets processes start with
// a third.
const unusedMargin = 1.0 / 6

// QuotasConfig holds the parameters of Quotas.
type QuotasConfig struct {
	Pool *swlimit.Pool
	// Within any Window, the requests of a tenant that run at all VMs exceed its rate and burst by at most the fraction Overage and the
	// number Slack.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Quotas holds the quotas of the tenants. A nil *Quotas has none. It is safe for concurrent use.
type Quotas struct {
	config QuotasConfig

	mutex   sync.Mutex
	version uint64
	quotas  map[string]*quota
}

// quota is the quota of one tenant.
type quota struct {
	limit swlimit.Limit
	// promisedAt is the latest time at which a refused client was told to come back, before it was spread.
	promisedAt time.Time
}

// lifetime is how long after it was taken a use may be spent or given back. Requests that wait together may be sent together, up to the rate
// times the lifetime beyond the limit, which the unused margin has to cover. It is at most the window.
func (quota *quota) lifetime(window time.Duration) time.Duration {
	return time.Duration(min(unusedMargin*quota.limit.Margin/quota.limit.Rate, window.Seconds()) * float64(time.Second))
}

// quotaUse is a use of a quota that a request has taken.
type quotaUse struct {
	takenAt  time.Time
	lifetime time.Duration
}

// expired reports whether the use may no longer be spent or given back.
func (quotaUse *quotaUse) expired(now time.Time) bool {
	return now.Sub(quotaUse.takenAt) > quotaUse.lifetime
}

// NewQuotas returns quotas without tenants.
func NewQuotas(config QuotasConfig) *Quotas {
	return &Quotas{config: config, quotas: make(map[string]*quota)}
}

// quotaKey returns the key of a tenant's quota in the pool.
func quotaKey(tenant string) string {
	return "tenant/" + tenant
}

// Apply sets the quotas of a table, unless those of a newer one are set. It must be called before the table comes into force: a tenant without
// a limit in the pool may send as much as it likes.
func (quotas *Quotas) Apply(now time.Time, table *swroute.Table) {
	if quotas == nil {
		return
	}
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	if table.Version <= quotas.version {
		return
	}
	quotas.version = table.Version
	limits := quotas.limits(table.Tenants())
	for name := range quotas.quotas {
		if _, kept := limits[name]; !kept {
			quotas.config.Pool.Set(now, quotaKey(name), swlimit.Limit{})
			delete(quotas.quotas, name)
		}
	}
	for name, limit := range limits {
		held, ok := quotas.quotas[name]
		if !ok {
			held = &quota{}
			quotas.quotas[name] = held
		}
		if held.limit != limit {
			held.limit = limit
			quotas.config.Pool.Set(now, quotaKey(name), limit)
		}
	}
}

// limits returns the limits of the tenants that have one, by name. Of tenants with the same name, the lowest rate applies.
func (quotas *Quotas) limits(tenants []*swroute.Tenant) map[string]swlimit.Limit {
	limits := make(map[string]swlimit.Limit)
	for _, tenant := range tenants {
		if tenant.Rate <= 0 {
			continue
		}
		limit := quotas.limitOf(tenant)
		if former, ok := limits[tenant.Name]; ok && former.Rate <= limit.Rate {
			continue
		}
		limits[tenant.Name] = limit
	}
	return limits
}

// sustainedFraction is the fraction of the margin that may raise the rate. The rest is for restarts and for the uses that VMs hold in stock.
const sustainedFraction = 0.5

// limitOf returns the limit of a tenant with a quota. A tenant that sends its rate, and its burst as well in each window, stays within the quota
// of every window, but not within a token bucket of that rate. So the burst raises the rate as far as the margin allows.
func (quotas *Quotas) limitOf(tenant *swroute.Tenant) swlimit.Limit {
	window, burst := quotas.config.Window.Seconds(), max(0, tenant.Burst)
	margin := quotas.config.Overage*(tenant.Rate*window+burst) + quotas.config.Slack
	sustained := min(burst, sustainedFraction*margin)
	return swlimit.Limit{Rate: tenant.Rate + sustained/window, Burst: burst, Margin: margin - sustained}
}

// take spends one use of the quota of the request's tenant, or refuses the request.
func (quotas *Quotas) take(ctx context.Context, request *request) *Refusal {
	if quotas == nil || request.tenant == nil {
		return nil
	}
	lifetime, limited := quotas.lifetimeOf(request.tenant.Name)
	if !limited {
		return nil
	}
	if !quotas.config.Pool.TakeOrAsk(ctx, quotaKey(request.tenant.Name)) {
		return &Refusal{Status: http.StatusTooManyRequests, Code: swcode.OverQuota, RetryAfter: quotas.retryAfter(time.Now(), request.tenant.Name)}
	}
	request.quotaUse = &quotaUse{takenAt: time.Now(), lifetime: lifetime}
	return nil
}

// lifetimeOf returns the lifetime of a tenant's uses, and whether the tenant has a limit.
func (quotas *Quotas) lifetimeOf(tenant string) (lifetime time.Duration, limited bool) {
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	quota, limited := quotas.quotas[tenant]
	if !limited {
		return 0, false
	}
	return quota.lifetime(quotas.config.Window), true
}

// renew spends another use for a request that has waited until its own has expired, or refuses the request. Nothing of it may have run.
func (quotas *Quotas) renew(ctx context.Context, request *request) *Refusal {
	if request.quotaUse == nil || !request.quotaUse.expired(time.Now()) {
		return nil
	}
	request.quotaUse = nil
	return quotas.take(ctx, request)
}

// giveBack returns the use of a request that has not run and never will, unless it has expired.
func (quotas *Quotas) giveBack(request *request) {
	now := time.Now()
	if request.quotaUse == nil || request.quotaUse.expired(now) {
		return
	}
	request.quotaUse = nil
	quotas.config.Pool.Return(now, quotaKey(request.tenant.Name))
}

// retryAfter returns when a refused client should come back. Each client of a tenant is told a time of its own, one use after the other at
// the tenant's rate, so that they do not come back together. The time lies within the window: a client that finds the tenant still over its
// limit then is told another one.
func (quotas *Quotas) retryAfter(now time.Time, tenant string) time.Duration {
	wait := quotas.config.Pool.Wait(now, quotaKey(tenant))
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	quota, limited := quotas.quotas[tenant]
	if !limited {
		return spreadRetryAfter(wait)
	}
	interval := time.Duration(min(1/quota.limit.Rate, quotas.config.Window.Seconds()) * float64(time.Second))
	latest := now.Add(max(wait, quotas.config.Window))
	quota.promisedAt = later(quota.promisedAt.Add(interval), now.Add(wait))
	if quota.promisedAt.After(latest) {
		quota.promisedAt = latest
	}
	return spreadRetryAfter(quota.promisedAt.Sub(now))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
