package swapp

import (
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// coldBurstFraction is the fraction of what a cold replica may get in a second beyond its rate that VMs use for bursts. The rest is for
// restarts of VMs, and for requests sent in different seconds that arrive in the same one since their paths differ by up to 20 ms.
const coldBurstFraction = 0.5

// coldLimits returns the limits if cold replicas have any; else nil, which costs nothing when a replica is chosen.
func coldLimits(settings *swsetting.Gateway, limits *swlimit.Pool) *swlimit.Pool {
	if settings.WarmUpOverage <= 0 {
		return nil
	}
	return limits
}

// coldLimit returns the limit of a cold replica of a service, within any second; the zero Limit if there is none.
func coldLimit(settings *swsetting.Gateway, service swroute.Service) swlimit.Limit {
	if settings.WarmUpOverage <= 0 || service.WarmUpRate <= 0 {
		return swlimit.Limit{}
	}
	allowed := service.WarmUpRate*settings.WarmUpOverage + settings.WarmUpSlack
	rate := min(service.WarmUpRate, allowed)
	burst := coldBurstFraction * (allowed - rate)
	return swlimit.Limit{Rate: rate, Burst: burst, Margin: allowed - rate - burst}
}
