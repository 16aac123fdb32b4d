package swlabsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabrule"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabusers"
)

// allFeatures is the word that stands for all features in a list of them.
const allFeatures = "all"

// ParseFeatures returns the features of the given names.
func ParseFeatures(names []string) ([]swlabrule.Feature, error) {
	var features []swlabrule.Feature
	for _, name := range names {
		switch {
		case name == allFeatures:
			features = append(features, swlabrule.AllFeatures()...)
		case slices.Contains(swlabrule.AllFeatures(), swlabrule.Feature(name)):
			features = append(features, swlabrule.Feature(name))
		default:
			return nil, errors.Errorf("%q is no feature (use %s, or %v)", name, allFeatures, swlabrule.AllFeatures())
		}
	}
	return features, nil
}

// The bounds of the features. Those of evacuations, quotas and cold replicas are the values that deployments use.
const (
	evacuateWithin = 5 * time.Second
	quotaWindow    = 5 * time.Second
	quotaOverage   = 0.1
	quotaSlack     = 20
	warmUp         = 3 * time.Second
	warmUpRate     = 10
	warmUpOverage  = 1.5
	warmUpSlack    = 5
	// warmUpNotice is how long VMs may take to learn that a replica in use has become cold: some renewals of its entry, and some health
	// checks. The users' platform names no bound.
	warmUpNotice = 2 * time.Second
	// inFlight is how long a request may be on its way through the proxies, which delay by up to 40 ms, on a machine that is busy.
	inFlight = 500 * time.Millisecond
	// evacuatedFor is how long a data centre stays evacuated once it must be empty.
	evacuatedFor = 1500 * time.Millisecond
	// hotRate is the rate and the burst of the tenant that always sends more.
	hotRate = 20
)

// Names of tenants, and the prefix of all keys. It occurs nowhere else, so that a key in a log is found.
const (
	calmTenant     = "calm"
	rotatingTenant = "rotating"
	hotTenant      = "hot"
	abroadTenant   = "abroad"
	forgedTenant   = "forged"
	keyPrefix      = "soak-key-"
)

// Prefixes of the paths of the features' routes.
const (
	publicPath     = "/public/"
	homePath       = "/home/fixed/"
	homeSearchPath = "/home/search/"
	movingHomePath = "/home/moving/"
)

// recorder records what the rules of the features are checked on. A nil recorder records nothing.
type recorder struct {
	features []swlabrule.Feature

	mutex sync.Mutex
	facts swlabrule.Facts
	// sights holds the highest version that each process was seen to have.
	sights map[*process]int
	// seenBy holds the process of each sight in facts.
	seenBy []*process
	// vms maps the addresses that clients use to the names of the VMs.
	vms map[string]string
}

func newRecorder(config *Config) *recorder {
	if len(config.Features) == 0 {
		return nil
	}
	within := evacuateWithin
	if config.SafetyOnly {
		within *= safetyTimeoutFactor
	}
	return &recorder{
		features: config.Features, sights: make(map[*process]int), vms: make(map[string]string),
		facts: swlabrule.Facts{
			Regions: regions, Requests: make(map[string]swlabrule.Request),
			Bounds: swlabrule.Bounds{
				EvacuateWithin: within, InFlight: inFlight, WarmUpRate: warmUpRate, WarmUpOverage: warmUpOverage, WarmUpSlack: warmUpSlack,
				WarmUpNotice: warmUpNotice, QuotaWindow: quotaWindow, QuotaOverage: quotaOverage, QuotaSlack: quotaSlack,
			},
		},
	}
}

// has reports whether a feature is used.
func (recorder *recorder) has(feature swlabrule.Feature) bool {
	return recorder != nil && slices.Contains(recorder.features, feature)
}

// configure sets the settings of the features and records the address of the VM.
func (recorder *recorder) configure(settings *swsetting.Settings) {
	if recorder == nil {
		return
	}
	recorder.vms[settings.Gateway.Listen.String()] = settings.Name
	if recorder.has(swlabrule.Evacuations) {
		settings.Gateway.EvacuateWithin = evacuateWithin
	}
	if recorder.has(swlabrule.Cold) {
		settings.Gateway.WarmUpOverage, settings.Gateway.WarmUpSlack = warmUpOverage, warmUpSlack
	}
	if recorder.has(swlabrule.Tenants) {
		settings.Gateway.QuotaWindow, settings.Gateway.QuotaOverage, settings.Gateway.QuotaSlack = quotaWindow, quotaOverage, quotaSlack
	}
}

// rotatingKey returns the key that the rotating tenant gets with a version. It keeps it in the next version.
func rotatingKey(version int) string {
	return fmt.Sprintf("%srotating-%d", keyPrefix, version)
}

// versionStep is the difference of the numbers of two versions.
const versionStep = 2

// extend adds the features' routes and tenants to a configuration, and records the version.
func (recorder *recorder) extend(configuration map[string]any, number int, ledger string, gather []string) {
	if recorder == nil {
		return
	}
	version := swlabrule.Version{Number: number, WrittenAt: time.Now(), Homes: make(map[string][]string), Tenants: make(map[string]swlabrule.Tenant)}
	routes := configuration["routes"].([]map[string]any)
	if recorder.has(swlabrule.Homes) {
		moving := []string{"here"}
		if number/versionStep%2 == 0 {
			moving = []string{"there"}
		}
		version.Homes[homePath], version.Homes[homeSearchPath], version.Homes[movingHomePath] = []string{"here"}, []string{"here"}, moving
		routes = append(routes,
			plainRoute("home", homePath, ledger), plainRoute("home-moving", movingHomePath, ledger), gatheredRoute("home-search", homeSearchPath, gather))
		for _, route := range routes {
			if homes := version.Homes[route["path_prefix"].(string)]; homes != nil {
				route["allowed_regions"] = homes
			}
		}
	}
	if recorder.has(swlabrule.Cold) {
		for _, backend := range configuration["backends"].([]map[string]any) {
			backend["warmup_s"], backend["warmup_per_s"] = warmUp.Seconds(), warmUpRate
		}
	}
	if recorder.has(swlabrule.Tenants) {
		public := gatheredRoute("public", publicPath, gather)
		public["public"] = true
		for _, route := range routes {
			// The requests that test which version is in force have no key.
			route["public"] = strings.HasPrefix(route["path_prefix"].(string), "/version/")
		}
		routes = append(routes, public)
		version.Tenants = recorder.tenants(number)
		configuration["tenants"] = encodeTenants(version.Tenants)
	}
	configuration["routes"] = routes
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.facts.Versions = append(recorder.facts.Versions, version)
}

func plainRoute(name, prefix, service string) map[string]any {
	return map[string]any{"name": name, "hostname": "soak", "path_prefix": prefix, "route_type": "safe", "timeout_ms": 1500,
		"target_latency_ms": 150, "priority": 1, "backend": service, "attempts": 2}
}

func gatheredRoute(name, prefix string, gather []string) map[string]any {
	return map[string]any{"name": name, "hostname": "soak", "path_prefix": prefix, "route_type": "safe", "timeout_ms": 1500,
		"target_latency_ms": 150, "priority": 1, "gather": gather, "attempts": 2, "top_k": 10, "min_shard_ratio": 0.75}
}

// tenants returns the tenants of a version.
func (recorder *recorder) tenants(number int) map[string]swlabrule.Tenant {
	tenants := map[string]swlabrule.Tenant{
		calmTenant:     {Keys: []string{keyPrefix + "calm-1", keyPrefix + "calm-2"}},
		rotatingTenant: {Keys: []string{rotatingKey(number), rotatingKey(number - versionStep)}},
		hotTenant:      {Keys: []string{keyPrefix + "hot"}, Rate: hotRate, Burst: hotRate},
	}
	if recorder.has(swlabrule.Homes) {
		tenants[abroadTenant] = swlabrule.Tenant{Keys: []string{keyPrefix + "abroad"}, Homes: []string{"there"}}
	}
	return tenants
}

func encodeTenants(tenants map[string]swlabrule.Tenant) []map[string]any {
	var encoded []map[string]any
	for _, name := range []string{calmTenant, rotatingTenant, hotTenant, abroadTenant} {
		if tenant, exists := tenants[name]; exists {
			encoded = append(encoded, map[string]any{
				"name": name, "api_keys": tenant.Keys, "rate_per_s": tenant.Rate, "burst": tenant.Burst, "allowed_regions": tenant.Homes})
		}
	}
	return encoded
}

// tenantOf returns the tenant of a client, by its number.
func (recorder *recorder) tenantOf(number int) string {
	tenants := []string{calmTenant, rotatingTenant, hotTenant, calmTenant}
	if recorder.has(swlabrule.Homes) {
		tenants = append(tenants, abroadTenant)
	}
	return tenants[number%len(tenants)]
}

// chooseKey returns a key for a request of a tenant. Those of the rotating tenant may be withdrawn already.
func (recorder *recorder) chooseKey(tenant string, random *rand.Rand) string {
	if tenant != rotatingTenant {
		return keyPrefix + tenant + map[string]string{calmTenant: fmt.Sprint("-", 1+random.IntN(2))}[tenant]
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	const keysInUse = 4
	return rotatingKey(recorder.facts.Versions[len(recorder.facts.Versions)-1].Number - versionStep*random.IntN(keysInUse))
}

// addRequest records a request before it is sent.
func (recorder *recorder) addRequest(id string, request swlabrule.Request) {
	if recorder == nil {
		return
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.facts.Requests[id] = request
}

// see records that a process of a VM has a version in force.
func (recorder *recorder) see(vm *vm, process *process, version int) {
	if recorder == nil {
		return
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if recorder.sights[process] < version {
		recorder.sights[process] = version
		recorder.facts.Sights = append(recorder.facts.Sights, swlabrule.Sight{VM: vm.name, At: time.Now(), Version: version})
		recorder.seenBy = append(recorder.seenBy, process)
	}
}

// disturb records the beginning of a fault that may keep a VM, or all VMs if none is named, from learning of a change. The returned
// function records its end.
func (recorder *recorder) disturb(disturbance swlabrule.Disturbance) (end func()) {
	if recorder == nil {
		return func() {}
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	index := len(recorder.facts.Disturbances)
	disturbance.From = time.Now()
	recorder.facts.Disturbances = append(recorder.facts.Disturbances, disturbance)
	return func() {
		recorder.mutex.Lock()
		defer recorder.mutex.Unlock()
		recorder.facts.Disturbances[index].Until = time.Now()
	}
}

// violations checks the rules of the features on all that was recorded.
func (recorder *recorder) violations(journal *swlabusers.Journal) []string {
	if recorder == nil {
		return nil
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	for i, process := range recorder.seenBy {
		recorder.facts.Sights[i].Until = process.endedAt()
	}
	recorder.facts.Arrivals = journal.Arrivals()
	return recorder.facts.Violations(recorder.features)
}
