// Package swroute holds the routing table: which services serve the requests of a host and path, and the limits on these
// requests.
package swroute

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Limits bounds the size of client requests and the time that clients may take to send them.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound one request; zero means no limit.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header, and again the time to read its body. IdleTimeout bounds the time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a set of replicas that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the replicas' health check.
	HealthPath string
	// MaxConnections is the number of connections that one replica accepts from all callers together; zero means unknown.
	MaxConnections int
	// WarmUp is how long a replica stays cold after it has started. WarmUpRate is the number of requests per second that a cold replica takes
	// from all VMs together; zero means no limit.
	WarmUp     time.Duration
	WarmUpRate float64
}

// WeightedService is a service that receives a share of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how requests for one host and path prefix are served. It is immutable except for its request counter.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a client waits for its answer; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the latency that the operator wants to stay below; zero means none.
	TargetLatency time.Duration
	// MaxAttempts is the number of replicas of one service to which a request may be sent; at least one.
	MaxAttempts int
	// Priority is the priority of the route's requests; zero is the most urgent. That of the tenant takes precedence.
	Priority int
	// Homes are the regions whose replicas may serve the route's requests; empty for all regions.
	Homes []string
	// Public routes take requests without a tenant's key.
	Public bool
	// WeightedServices share the requests of a route that is not gathered.
	WeightedServices []WeightedService
	// Shards are the services whose answers are merged into a gathered answer; empty for other routes.
	Shards []string
	// TopK is the number of records in a gathered answer.
	TopK int
	// MinCoverage is the minimum fraction of shards that a gathered answer must contain.
	MinCoverage float64

	requestCount atomic.Uint64
	// offset is this process's random start, from 0 to 1, in the sequence that NextService follows. Without it, all VMs would
	// choose the same services at the same time.
	offset float64
}

// Gathered reports whether requests go to every shard and the answers are merged.
func (route *Route) Gathered() bool {
	return len(route.Shards) > 0
}

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1 are a low-discrepancy sequence: they spread evenly
// over [0, 1).
const goldenRatio = 0.6180339887498949

// NextService returns the service of the next request. Any run of consecutive requests is split closely by weight.
func (route *Route) NextService() string {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	position := route.offset + float64(route.requestCount.Add(1))*goldenRatio
	return route.serviceAt(position - float64(int64(position)))
}

// serviceAt returns the service whose share of the weights covers a point in [0, 1).
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

// Table is one version of the routing table. It is immutable; a request uses the same table from start to end.
type Table struct {
	// Version orders tables; a process never returns to a lower version.
	Version uint64
	Limits  Limits

	services map[string]Service
	hosts    map[string][]*Route
	tenants  []*Tenant
	keys     keyIndex
}

// TableConfig holds what a Table is built from.
type TableConfig struct {
	Version  uint64
	Limits   Limits
	Services []Service
	Routes   []*Route
	// Tenants share the system; if empty, no request needs a key.
	Tenants []*Tenant
}

// NewTable returns a table of the routes and services. Among the routes of a host, the one with the longest matching prefix
// applies.
func NewTable(config TableConfig) *Table {
	table := &Table{
		Version:  config.Version,
		Limits:   config.Limits,
		services: make(map[string]Service, len(config.Services)),
		hosts:    make(map[string][]*Route),
		tenants:  config.Tenants,
		keys:     indexKeys(config.Tenants),
	}
	for _, service := range config.Services {
		table.services[service.Name] = service
	}
	for _, route := range config.Routes {
		route.offset = rand.Float64()
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

// Service returns the service of that name, and whether the table contains it.
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

// ForEachRoute calls visit for every route.
func (table *Table) ForEachRoute(visit func(route *Route)) {
	for _, list := range table.hosts {
		for _, route := range list {
			visit(route)
		}
	}
}

// ForEachService calls visit with the name of every service that a route sends requests to. Names may repeat.
func (table *Table) ForEachService(visit func(name string)) {
	table.ForEachRoute(func(route *Route) {
		for _, name := range route.services() {
			visit(name)
		}
	})
}

// CanonicalHost removes the port and converts the host to lower case.
func CanonicalHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
