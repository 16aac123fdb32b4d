package swcheck

import (
	"fmt"
	"strings"

	"github.com/sycamorewall/sycamorewall/internal/swroute"
)

// match is what decides which requests a route matches.
type match struct{ host, prefix string }

func matchOf(route *swroute.Route) match {
	return match{swroute.CanonicalHost(route.Host), route.Prefix}
}

// String returns the host and the prefix as they stand in a URL.
func (match match) String() string {
	return match.host + match.prefix
}

func (checker *checker) checkRoutes() {
	names := make(map[string]bool)
	first := make(map[match]int)
	for i, route := range checker.config.Table.Routes {
		place := func(field string) string { return checker.place(typeRoute, i, route.Name, field) }
		if names[route.Name] {
			checker.addWarning(place("Name"), "an earlier route has the same name; logs and metrics do not tell them apart", "give each route a name of its own")
		}
		names[route.Name] = true
		if earlier, taken := first[matchOf(route)]; taken {
			checker.addDuplicateRoute(place("Prefix"), earlier, route)
		} else {
			first[matchOf(route)] = i
		}
		checker.checkMatch(place, route)
		checker.checkTimes(place, route)
		checker.checkRouteServices(place, route)
		if route.Gathered() {
			checker.checkGathering(place, route)
		}
	}
}

func (checker *checker) addDuplicateRoute(place string, earlier int, route *swroute.Route) {
	former := checker.config.Table.Routes[earlier]
	fault := "never matches: an earlier route has the same host and prefix: " + checker.place(typeRoute, earlier, former.Name, "")
	if former.Host != route.Host {
		fault = "never matches: an earlier route has the same prefix, and a host that differs only in case or port: " +
			checker.place(typeRoute, earlier, former.Name, "")
	}
	checker.addError(place, fault, "remove one of the routes")
}

// checkMatch finds routes that match no request.
func (checker *checker) checkMatch(place func(string) string, route *swroute.Route) {
	switch {
	case route.Host == "":
		checker.addError(place("Host"), "is empty, so the route never matches", "write the host that clients send")
	case strings.ContainsAny(route.Host, "*/?# \t"):
		checker.addError(place("Host"), "contains a character that no host has, so the route never matches", "write the host alone; patterns are not supported")
	}
	switch {
	case route.Prefix != "" && !strings.HasPrefix(route.Prefix, "/"):
		checker.addError(place("Prefix"), "does not begin with a slash, so the route never matches", "write / before it")
	case strings.ContainsAny(route.Prefix, "?# \t"):
		checker.addError(place("Prefix"), "contains a character that no path has, so the route never matches", "write the path without query, fragment and blanks")
	}
}

func (checker *checker) checkTimes(place func(string) string, route *swroute.Route) {
	if route.Timeout < 0 {
		checker.addError(place("Timeout"), "is negative", "use a positive number, or zero for no limit")
	}
	if route.TargetLatency < 0 {
		checker.addError(place("TargetLatency"), "is negative", "use a positive number, or zero for none")
	}
	if route.Timeout > 0 && route.TargetLatency > route.Timeout {
		checker.addWarning(place("TargetLatency"), fmt.Sprintf("%s is above the time-out, %s", route.TargetLatency, route.Timeout),
			"lower it, or raise "+checker.encoded("Route.Timeout"))
	}
}

func (checker *checker) checkRouteServices(place func(string) string, route *swroute.Route) {
	field := "WeightedServices"
	if route.Gathered() {
		field = "Shards"
	}
	names := servicesOf(route)
	var unknown []string
	for _, name := range names {
		if checker.services[name] == nil {
			unknown = append(unknown, name)
		}
	}
	if len(unknown) > 0 {
		checker.addError(place(field), "names unknown services: "+checker.list(unknown), "add them to "+checker.encoded(typeService)+", or correct the names")
	}
	if twice := duplicates(names); len(twice) > 0 {
		checker.addError(place(field), "names services twice: "+checker.list(twice), "name each service once")
	}
	if route.Gathered() {
		if len(route.WeightedServices) > 0 {
			checker.addWarning(place("WeightedServices"), "is ignored, since the route has "+checker.encoded("Route.Shards"), "remove it")
		}
		return
	}
	total := 0.0
	for _, weightedService := range route.WeightedServices {
		total += max(0, weightedService.Weight)
		switch {
		case weightedService.Weight < 0:
			checker.addError(place(field), "the weight of "+checker.quote(weightedService.Service)+" is negative", "use a positive number")
		case weightedService.Weight == 0:
			checker.addWarning(place(field), "the weight of "+checker.quote(weightedService.Service)+" is zero", "remove the service, or give it a weight")
		}
	}
	if total == 0 {
		checker.addError(place(field), "no weight is positive, so the last service gets all requests", "give the services weights")
	}
}

func (checker *checker) checkGathering(place func(string) string, route *swroute.Route) {
	if route.TopK <= 0 {
		checker.addError(place("TopK"), "is not positive, so answers hold no records", "use the number of records that clients expect")
	}
	if route.MinCoverage < 0 || route.MinCoverage > 1 {
		checker.addError(place("MinCoverage"), number(route.MinCoverage)+" is not a fraction from 0 to 1", "use a fraction such as 0.75")
	}
}
