package swapp

import (
	"github.com/sycamorewall/sycamorewall/internal/swgateway"
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
)

// newQuotas returns the quotas of tenants, or nil if the settings call for none.
func newQuotas(config Config, pool *swlimit.Pool) *swgateway.Quotas {
	settings := config.Settings.Gateway
	if settings.QuotaWindow <= 0 {
		return nil
	}
	return swgateway.NewQuotas(swgateway.QuotasConfig{
		Pool: pool, Window: settings.QuotaWindow, Overage: settings.QuotaOverage, Slack: settings.QuotaSlack,
	})
}
