// Package swcheck finds mistakes in a configuration before it is written to the platform's store, and describes what it changes. It
// prints no key of a tenant.
package swcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtypo"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

// Config holds what is checked and what it is checked against.
type Config struct {
	// Table is the configuration to check.
	Table swroute.TableConfig
	// InForce is the configuration in force, or nil if it is not known.
	InForce *swroute.TableConfig
	// Entries are the replicas; nil if they are not known.
	Entries []swreplica.Entry
	// Regions maps data centres to their regions; nil if they are not known. The check of homes needs them.
	Regions map[string]string
	// Names maps the names of types and fields of swroute, such as Route.Homes, to those in the configuration's encoding.
	Names map[string]string
	// Unread are the fields of the configuration's encoding that the gateway does not read.
	Unread []UnreadField
}

// UnreadField is a field that the gateway does not read.
type UnreadField struct {
	// Place is the object with the field, such as routes[3].
	Place string
	Name  string
	// Known are the fields that are read of such an object.
	Known []string
}

// Finding is a mistake in the configuration.
type Finding struct {
	Severity swrule.Severity
	// Place is the route, service, tenant or limit, and the field.
	Place string
	// Fault says what is wrong.
	Fault string
	// Fix says what to change.
	Fix string
}

// String formats the finding as severity: place: fault (fix).
func (finding Finding) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", finding.Severity, finding.Place, finding.Fault, finding.Fix)
}

// Report is the result of a check.
type Report struct {
	Version  uint64
	Findings []Finding
	// InForce is the version in force, or zero if it is not known.
	InForce uint64
	// Changes are the differences from the configuration in force.
	Changes []Change
}

// HasErrors reports whether one of the findings is an error.
func (report *Report) HasErrors() bool {
	return slices.ContainsFunc(report.Findings, func(finding Finding) bool { return finding.Severity == swrule.Error })
}

// Check checks a configuration. Errors come before warnings.
func Check(config Config) Report {
	checker := newChecker(&config)
	report := Report{Version: config.Table.Version}
	if config.InForce != nil {
		report.InForce = config.InForce.Version
		report.Changes = checker.compare()
		checker.checkVersion(len(report.Changes) > 0)
	}
	checker.checkUnread()
	checker.checkLimits()
	checker.checkServices()
	checker.checkRoutes()
	checker.checkTenants()
	checker.checkHomePairs()
	if config.Entries != nil {
		checker.checkEntries()
	}
	slices.SortStableFunc(checker.findings, func(a, b Finding) int { return int(a.Severity) - int(b.Severity) })
	report.Findings = checker.findings
	return report
}

// checker collects the findings of one check.
type checker struct {
	config   *Config
	findings []Finding
	// services holds the first service of each name.
	services map[string]*swroute.Service
	// keys holds the keys of all tenants, also of those in force. A name that equals one is not printed.
	keys map[string]bool
}

func newChecker(config *Config) *checker {
	checker := &checker{config: config, services: make(map[string]*swroute.Service), keys: make(map[string]bool)}
	for i := range config.Table.Services {
		service := &config.Table.Services[i]
		if checker.services[service.Name] == nil {
			checker.services[service.Name] = service
		}
	}
	tenants := config.Table.Tenants
	if config.InForce != nil {
		tenants = slices.Concat(tenants, config.InForce.Tenants)
	}
	for _, tenant := range tenants {
		for _, key := range tenant.Keys {
			if key != "" {
				checker.keys[key] = true
			}
		}
	}
	return checker
}

func (checker *checker) add(severity swrule.Severity, place, fault, fix string) {
	checker.findings = append(checker.findings, Finding{severity, place, fault, fix})
}

func (checker *checker) addError(place, fault, fix string) {
	checker.add(swrule.Error, place, fault, fix)
}

func (checker *checker) addWarning(place, fault, fix string) {
	checker.add(swrule.Warning, place, fault, fix)
}

// Types of the elements of a configuration, as in Config.Names.
const (
	typeRoute   = "Route"
	typeService = "Service"
	typeTenant  = "Tenant"
	typeLimits  = "Limits"
)

// encoded returns the name that the encoding gives to a type or field.
func (checker *checker) encoded(name string) string {
	if encoded, ok := checker.config.Names[name]; ok {
		return encoded
	}
	return name
}

// place returns the place of an element: its list, its index and name, and the field unless that is empty.
func (checker *checker) place(elementType string, index int, name, field string) string {
	place := fmt.Sprintf("%s[%d] %s", checker.encoded(elementType), index, checker.quote(name))
	if field != "" {
		place += " " + checker.encoded(elementType+"."+field)
	}
	return place
}

func (checker *checker) limitsPlace(field string) string {
	return checker.encoded(typeLimits) + " " + checker.encoded(typeLimits+"."+field)
}

// hiddenName stands for a name that equals a tenant's key.
const hiddenName = "(not shown: it equals a key)"

// quote quotes a name from the configuration, unless it equals a key.
func (checker *checker) quote(name string) string {
	if checker.keys[name] {
		return hiddenName
	}
	return strconv.Quote(name)
}

// maxListed is the number of names in a list. More of them don't help to find the cause and make lines unreadable.
const maxListed = 4

// list quotes names, the first of them if there are many.
func (checker *checker) list(names []string) string {
	quoted := make([]string, 0, maxListed+1)
	for i, name := range names {
		if i == maxListed {
			quoted = append(quoted, fmt.Sprintf("%d more", len(names)-maxListed))
			break
		}
		quoted = append(quoted, checker.quote(name))
	}
	return strings.Join(quoted, ", ")
}

func (checker *checker) checkVersion(differs bool) {
	version, inForce := checker.config.Table.Version, checker.config.InForce.Version
	if version > inForce || version == inForce && !differs {
		return
	}
	checker.addError(checker.encoded("Version"), fmt.Sprintf("%d is not higher than the version in force, %d, so VMs ignore it", version, inForce),
		fmt.Sprintf("use %d or higher", inForce+1))
}

// checkUnread finds misspelled fields. Others may be meant for other readers of the configuration. The name is not printed, as a key may
// stand in a wrong place.
func (checker *checker) checkUnread() {
	for _, unread := range checker.config.Unread {
		if nearest := swtypo.Nearest(unread.Name, unread.Known); nearest != "" {
			checker.addWarning(unread.Place, fmt.Sprintf("has a field that is not read and that resembles %q", nearest), "correct the field's name")
		}
	}
}

func (checker *checker) checkLimits() {
	limits := checker.config.Table.Limits
	for _, limit := range []struct {
		field    string
		negative bool
	}{
		{"MaxHeaderBytes", limits.MaxHeaderBytes < 0},
		{"MaxBodyBytes", limits.MaxBodyBytes < 0},
		{"HeaderTimeout", limits.HeaderTimeout < 0},
		{"IdleTimeout", limits.IdleTimeout < 0},
	} {
		if limit.negative {
			checker.addError(checker.limitsPlace(limit.field), "is negative", "use a positive number, or zero for no limit")
		}
	}
}

func (checker *checker) checkServices() {
	used := make(map[string]bool)
	for _, route := range checker.config.Table.Routes {
		for _, name := range servicesOf(route) {
			used[name] = true
		}
	}
	for i := range checker.config.Table.Services {
		service := &checker.config.Table.Services[i]
		place := func(field string) string { return checker.place(typeService, i, service.Name, field) }
		if service.Name == "" {
			checker.addError(place("Name"), "is empty", "name the service")
		}
		if checker.services[service.Name] != service {
			checker.addError(place("Name"), "an earlier service has the same name; only the last one applies", "remove one of them")
		} else if !used[service.Name] {
			checker.addWarning(place(""), "no route sends requests to it", "remove it, or name it in a route")
		}
		if service.HealthPath != "" && !strings.HasPrefix(service.HealthPath, "/") {
			checker.addError(place("HealthPath"), "does not begin with a slash", "write a path such as /healthz")
		}
		if service.MaxConnections < 0 {
			checker.addError(place("MaxConnections"), "is negative", "use a positive number, or zero for unknown")
		}
		if service.WarmUp < 0 || service.WarmUpRate < 0 {
			checker.addError(place("WarmUp"), "the warm-up or its rate is negative", "use a positive number, or zero for none")
		}
		if service.WarmUpRate > 0 && service.WarmUp == 0 {
			checker.addWarning(place("WarmUpRate"), "limits the rate of cold replicas, but replicas are cold for no time",
				"set "+checker.encoded("Service.WarmUp")+", or remove the rate")
		}
	}
}

// servicesOf returns the names of all services of a route.
func servicesOf(route *swroute.Route) []string {
	if route.Gathered() {
		return route.Shards
	}
	names := make([]string, len(route.WeightedServices))
	for i, weightedService := range route.WeightedServices {
		names[i] = weightedService.Service
	}
	return names
}

// duplicates returns each name that occurs more than once, in order.
func duplicates(names []string) []string {
	count := make(map[string]int, len(names))
	var found []string
	for _, name := range names {
		if count[name]++; count[name] == 2 {
			found = append(found, name)
		}
	}
	return found
}

// number formats a number without needless digits.
func number(value float64) string {
	return strconv.FormatFloat(value, 'g', 4, 64)
}

// orNone formats a duration; zero means that there is none.
func orNone(duration time.Duration) string {
	if duration == 0 {
		return "none"
	}
	return duration.String()
}
