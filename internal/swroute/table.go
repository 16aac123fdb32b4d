// Package swroute holds the routes in force: which host and path goes to which services, and what its requests may cost.
package swroute

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Limits bounds what a client may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request; zero means no bound of its own.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a request, Idle the time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of replicas that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the replicas' health check.
	HealthPath string
	// MaxConnections is what one replica accepts from all callers together; zero means that it is not known.
	MaxConnections int
}

// Part is one service of a route with the weight of its share.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route tells what to do with requests of one host and path prefix. It is immutable apart from its split counter.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Repeatable requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a client is kept waiting; zero means no bound.
	Timeout time.Duration
	// Target is the latency that the operator aims for; zero means none.
	TargetLatency time.Duration
	// MaxAttempts is the number of replicas of one service to which a request may be sent; at least one.
	MaxAttempts int
	// Priority is the rank of the route's requests; zero is the most urgent.
	Priority int
	// Parts share the requests of a route that is not gathered.
	WeightedServices []WeightedService
	// Shards are the services of which each contributes to a gathered answer; empty for other routes.
	Shards []string
	// TopRecords is the number of records in a gathered answer.
	TopK int
	// MinCoverage is the least share of shards in a gathered answer.
	MinCoverage float64

	turns atomic.Uint64
	// phase is where this process begins in the sequence of turns, from 0 to 1.
	phase float64
}

// Gathered reports whether an answer combines all shards.
func (route *Route) Gathered() bool {
	return len(route.Shards) > 0
}

// goldenRatio spreads successive turns evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// NextService returns the service of the next request, so that any run of requests splits closely by weight.
func (route *Route) NextService() string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	turn := route.phase + float64(route.turns.Add(1))*goldenRatio
	return route.serviceAt(turn - float64(int64(turn)))
}

// serviceAt returns the service whose share of the weights covers a point of [0, 1).
func (route *Route) serviceAt(point float64) string {
	total := 0.0
	for _, weightedService := range route.WeightedServices {
		total += weightedService.Weight
	}
	point *= total
	for _, weightedService := range route.WeightedServices {
		if point < weightedService.Weight {
			return weightedService.Service
		}
		point -= weightedService.Weight
	}
	return route.WeightedServices[len(route.WeightedServices)-1].Service
}

// services returns the names of all services of the route.
func (route *Route) services() []string {
	if route.Gathered() {
		return route.Shards
	}
	names := make([]string, len(route.WeightedServices))
	for i, weightedService := range route.WeightedServices {
		names[i] = weightedService.Service
	}
	return names
}

// Table is one version of the routes. It is immutable; a request keeps the table that it began with.
type Table struct {
	// Version orders tables; a process never goes back to a lower one.
	Version uint64
	Limits  Limits

	services map[string]Service
	hosts    map[string][]*Route
}

// NewTable returns a table of the routes and services. Routes of one host are matched by their longest prefix.
func NewTable(version uint64, limits Limits, services []Service, routes []*Route) *Table {
	table := &Table{
		Version:  version,
		Limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]*Route),
	}
	for _, service := range services {
		table.services[service.Name] = service
	}
	for _, route := range routes {
		route.phase = rand.Float64()
		host := CanonicalHost(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, list := range table.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// Match returns the route of a request, or nil when none matches.
func (table *Table) Match(host, path string) *Route {
	for _, route := range table.hosts[CanonicalHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Service returns what is known of a service, and whether the table names it.
func (table *Table) Service(name string) (Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Len returns the number of routes.
func (table *Table) Len() int {
	total := 0
	for _, list := range table.hosts {
		total += len(list)
	}
	return total
}

// Routes calls visit for every route.
func (table *Table) ForEachRoute(visit func(route *Route)) {
	for _, list := range table.hosts {
		for _, route := range list {
			visit(route)
		}
	}
}

// Services calls visit for the name of every service that a route sends to.
func (table *Table) ForEachService(visit func(name string)) {
	table.ForEachRoute(func(route *Route) {
		for _, name := range route.services() {
			visit(name)
		}
	})
}

// CanonicalHost drops a port and the case.
func CanonicalHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
