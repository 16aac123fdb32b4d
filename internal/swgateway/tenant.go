package swgateway

import (
	"net/http"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// authenticate finds the tenant of a request by its key, and refuses the request if it needs a key and has none that is valid.
func (request *request) authenticate() *Refusal {
	if !request.table.HasTenants() || request.route.Public {
		return nil
	}
	request.tenant = request.table.TenantOf(request.key)
	if request.tenant == nil {
		return refuse(http.StatusUnauthorized, swcode.UnknownKey)
	}
	return nil
}

// checkKey refuses a request that the table in force does not allow to be sent as it was encoded: its key was withdrawn, or now belongs to
// another tenant.
func (handler *Handler) checkKey(request *request) *Refusal {
	inForce := handler.config.Routes.Current()
	if inForce == request.table || !inForce.HasTenants() {
		return nil
	}
	route := inForce.Match(request.host, pathOf(request.target))
	if route == nil {
		route = request.route
	}
	tenant := inForce.TenantOf(request.key)
	switch {
	case tenant == nil && !route.Public:
		return refuse(http.StatusUnauthorized, swcode.UnknownKey)
	case !request.table.HasTenants(), request.tenant == nil && !route.Public:
		// The request was encoded for a table without tenants, with all headers of the client, or for a route that was public.
		return &Refusal{Status: http.StatusServiceUnavailable, Code: swcode.NotReady, RetryAfter: notReadyRetryAfter}
	case !route.Public && tenant.Name != request.tenant.Name:
		return refuse(http.StatusUnauthorized, swcode.UnknownKey)
	}
	return nil
}
