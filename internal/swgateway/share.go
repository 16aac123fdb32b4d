package swgateway

import (
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swshare"
)

// priority returns the priority of a request: that of its tenant, or else of its route.
func (request *request) priority() int {
	if request.tenant != nil && request.tenant.HasPriority {
		return request.tenant.Priority
	}
	return request.route.Priority
}

// class returns the class of the request's work. Requests without a tenant are one holder.
func (request *request) class() swshare.Class[string] {
	return swshare.Class[string]{Priority: request.priority(), Holder: request.tenantName()}
}

// tenantName returns the name of the request's tenant; empty if it has none.
func (request *request) tenantName() string {
	if request.tenant == nil {
		return ""
	}
	return request.tenant.Name
}

// workOf estimates the work of a request: the usual latency of each of its parts.
func (handler *Handler) workOf(services []string) time.Duration {
	work := time.Duration(0)
	for _, service := range services {
		work += handler.latencies.serviceLatency(service)
	}
	return work
}

// offer counts the work of a request that has arrived, and sets its claim. Where there are no tenants, all claims are equal, and requests go in
// the order in which they arrived.
func (handler *Handler) offer(request *request, services []string) {
	if !request.table.HasTenants() {
		return
	}
	now := time.Now()
	request.work = handler.workOf(services)
	handler.ledger.Offer(now, request.class(), request.work)
	request.claim = swshare.Claim[string]{
		Class: request.class(), Guaranteed: handler.ledger.Guarantees(now, rand.Float64()), Deadline: request.deadline,
	}
}

// hotRepeatShare is the fraction of a service's repeats that is available to tenants which offer more than their share. Of the replicas that they
// fill, the requests of others are rejected as well, and need the rest.
const hotRepeatShare = 0.5

// repeatShare returns the fraction of a service's repeats that is available to a request.
func (handler *Handler) repeatShare(request *request) float64 {
	if !request.table.HasTenants() || handler.ledger.WithinShare(time.Now(), request.class()) {
		return 1
	}
	return hotRepeatShare
}

// startWork counts the work of a request that is about to be sent for the first time.
func (handler *Handler) startWork(request *request) {
	if request.work > 0 && !request.started {
		request.started = true
		handler.ledger.Serve(time.Now(), request.class(), request.work)
	}
}
