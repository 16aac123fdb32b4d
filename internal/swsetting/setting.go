// Package swsetting reads the settings file, applies defaults and checks every field.
package swsetting

import (
	"net/netip"
	"time"
)

// Settings is the settings file of one VM. Durations are written as in 250ms, 2s or 1m.
type Settings struct {
	// Name is the VM's name, unique among the VMs of the system.
	Name string `yaml:"Name" validate:"required"`
	// Region is the VM's region.
	Region string `yaml:"Region" validate:"required"`
	// DataCentre is the VM's data centre.
	DataCentre string    `yaml:"DataCentre" validate:"required"`
	Gateway    Gateway   `yaml:"Gateway"`
	Caller     Caller    `yaml:"Caller"`
	Peer       Peer      `yaml:"Peer"`
	Platform   Platform  `yaml:"Platform"`
	Query      Query     `yaml:"Query"`
	Admission  Admission `yaml:"Admission"`
	Member     Member    `yaml:"Member"`
	Stop       Stop      `yaml:"Stop"`
	Log        Log       `yaml:"Log"`
}

// Gateway configures the gateway, which forwards clients' HTTP requests according to the platform's configuration. If Listen
// is set, the VM runs the gateway instead of the search API, and needs neither Caller nor Peer.TLS.
type Gateway struct {
	// Listen is the TCP address for clients.
	Listen netip.AddrPort `yaml:"Listen"`
	// Ready is the TCP address at which the balancer checks whether this VM accepts clients.
	Ready netip.AddrPort `yaml:"Ready"`
	// Metrics is the TCP address of /metrics; if empty, metrics are not served.
	Metrics netip.AddrPort `yaml:"Metrics"`
	// Regions maps each data centre to its region.
	Regions map[string]string `yaml:"Regions"`
	// Grace is how long the process may run after SIGTERM.
	Grace time.Duration `yaml:"Grace"`
	// RepeatRatio bounds the hedges and retries of all VMs together, as a ratio to the requests for a service.
	RepeatRatio float64 `yaml:"RepeatRatio"`
	// RepeatSlack is the number of hedges and retries that all VMs together may send beyond RepeatRatio.
	RepeatSlack float64 `yaml:"RepeatSlack"`
	// RepeatWindow is the period over which RepeatRatio and RepeatSlack apply.
	RepeatWindow time.Duration `yaml:"RepeatWindow"`
	// ShareRepeats lets VMs lend each other what they do not use of RepeatSlack. It costs processor time with each service that a VM begins
	// to use, which small VMs may not have.
	ShareRepeats bool `yaml:"ShareRepeats"`
	// Capacity is this VM's capacity relative to other VMs, such as its network bandwidth in Mbit/s. VMs with more capacity
	// forward changes at the platform to the others.
	Capacity float64 `yaml:"Capacity"`
	// MemoryMB is the memory that this VM gives to the process, in megabytes. The responses of backend servers may take an eighth of it
	// together, beyond the first 16 KiB of each, and clients a quarter: their connections, headers, bodies and the answers that they have not
	// read. When clients reach it, those that hold most for least progress are closed. It applies to the clients of the search API as well.
	MemoryMB float64 `yaml:"MemoryMB"`
	// ApplyWithin is the time within which a new configuration must be in force. Watches for it end after half of that time,
	// because a watch may miss a change without an error.
	ApplyWithin time.Duration `yaml:"ApplyWithin"`
	// DrainWithin is the time within which a leaving backend server must get no more new requests. Watches for backend servers
	// end after half of that time.
	DrainWithin time.Duration `yaml:"DrainWithin"`
	// CallerHeader is the request header with the client's name, which rules match; if empty, the client's address is used.
	CallerHeader string `yaml:"CallerHeader"`
	// EntryGrace is how long after an outage of the platform a backend server is kept although its entry is missing.
	EntryGrace time.Duration `yaml:"EntryGrace"`
	// Heartbeat is how often a backend server renews its entry at the platform. EntryGrace does not apply after an outage in which
	// no entry can have expired. With 0, it applies after every outage.
	Heartbeat time.Duration `yaml:"Heartbeat"`
	// EvacuateWithin is the time within which the backend servers of an evacuated data centre must get no more requests. With 0,
	// evacuations are not followed.
	EvacuateWithin time.Duration `yaml:"EvacuateWithin"`
	// QuotaWindow is the period over which the requests of a tenant are bounded. With 0, tenants have no quotas.
	QuotaWindow time.Duration `yaml:"QuotaWindow"`
	// QuotaOverage is the fraction by which a tenant may exceed its quota within QuotaWindow. VMs use it as a margin for restarts.
	QuotaOverage float64 `yaml:"QuotaOverage"`
	// QuotaSlack is the number of requests by which a tenant may exceed its quota within QuotaWindow, beyond QuotaOverage.
	QuotaSlack float64 `yaml:"QuotaSlack"`
	// WarmUpOverage is the factor by which a cold backend server may get more requests in a second, from all VMs together, than the rate of
	// its service. With 0, cold backend servers have no limit.
	WarmUpOverage float64 `yaml:"WarmUpOverage"`
	// WarmUpSlack is the number of requests that a cold backend server may get in a second beyond that.
	WarmUpSlack float64 `yaml:"WarmUpSlack"`
	// ObservationInterval is the shortest time between two messages in which this VM tells others what it has observed of backend servers,
	// while something unusual is observed. With 0, VMs tell each other nothing.
	ObservationInterval time.Duration `yaml:"ObservationInterval"`
	// RegionPrice is what a megabyte to or from another data centre of the region is worth in waiting time. With 0 for it and FarPrice, the
	// distance of a backend server costs a fixed time instead.
	RegionPrice time.Duration `yaml:"RegionPrice"`
	// FarPrice is what a megabyte to or from another region is worth in waiting time.
	FarPrice time.Duration `yaml:"FarPrice"`
	// MaxDescriptors is the number of file descriptors that the process may open; 0 means unknown. Connections of clients may take half of it,
	// of the search API as well; the rest is for backend servers, peers and probes.
	MaxDescriptors int `yaml:"MaxDescriptors"`
}

// Enabled reports whether the VM runs the gateway.
func (gateway *Gateway) Enabled() bool {
	return gateway.Listen.IsValid()
}

// bytesPerMB is the number of bytes in a megabyte of the settings.
const bytesPerMB = 1e6

// MemoryBytes returns a fraction of the process's memory, in bytes.
func (gateway *Gateway) MemoryBytes(fraction float64) int64 {
	return int64(fraction * bytesPerMB * gateway.MemoryMB)
}

// Caller configures the HTTP listener for callers.
type Caller struct {
	// Listen is the TCP address for callers.
	Listen netip.AddrPort `yaml:"Listen"`
	TLS    TLS            `yaml:"TLS"`
	// TrustCallerField accepts the caller's name from the request if there is no client certificate.
	TrustCallerField bool `yaml:"TrustCallerField"`
	// MaxBody bounds the body of a request, in bytes.
	MaxBody int64 `yaml:"MaxBody"`
	// MaxRequests bounds the requests in flight; further requests are refused.
	MaxRequests int `yaml:"MaxRequests"`
}

// Peer configures the QUIC listener for other VMs.
type Peer struct {
	// Listen is the UDP address for other VMs.
	Listen netip.AddrPort `yaml:"Listen"`
	// Advertise is the UDP address that other VMs use to reach this VM; if empty, it is Listen.
	Advertise netip.AddrPort `yaml:"Advertise"`
	TLS       TLS            `yaml:"TLS"`
	// Seeds are peer addresses to contact if the platform's VM list is unavailable at startup.
	Seeds []netip.AddrPort `yaml:"Seeds"`
}

// TLS holds the paths of PEM files. If all are empty, TLS is off, which is allowed for the caller listener only.
type TLS struct {
	// Certificate is the PEM file of this VM's certificate.
	Certificate string `yaml:"Certificate"`
	// Key is the PEM file of the certificate's private key.
	Key string `yaml:"Key"`
	// CA is the PEM file of the certificate authorities that must have signed the other side's certificate.
	CA string `yaml:"CA"`
}

// Platform configures the client of the platform's object API.
type Platform struct {
	// URL is the base URL of the object API.
	URL string `yaml:"URL" validate:"required,url"`
	// Timeout bounds each call; a watch may take its wait time in addition.
	Timeout time.Duration `yaml:"Timeout"`
	// WatchWait is how long a watch waits for a change.
	WatchWait time.Duration `yaml:"WatchWait"`
	// ListEvery is the time between two reads of the VM list by a watcher.
	ListEvery time.Duration `yaml:"ListEvery"`
}

// Query configures how queries are sent to shards and their answers gathered.
type Query struct {
	// Placement is Owner, where one VM of a data centre sends all requests to a backend server, or Direct, where every VM
	// sends its own.
	Placement string `yaml:"Placement" validate:"oneof=Owner Direct"`
	// DefaultTimeout is the timeout of requests that set none.
	DefaultTimeout time.Duration `yaml:"DefaultTimeout"`
	// MaxTimeout bounds the timeout that requests set.
	MaxTimeout time.Duration `yaml:"MaxTimeout"`
	// HedgePercent bounds hedges and retries, in percent of sub-requests; zero turns hedging off.
	HedgePercent float64 `yaml:"HedgePercent"`
	// HedgePercentile is the percentile of a shard's latency after which a hedge is sent.
	HedgePercentile float64 `yaml:"HedgePercentile"`
	// AckTimeout is how long an owner may take to acknowledge a batch.
	AckTimeout time.Duration `yaml:"AckTimeout"`
}

// Admission configures how an owner divides a backend server's slots among requests.
type Admission struct {
	// Shares holds the minimum shares of the slots that are reserved for Urgent, Standard and Deferrable work, in percent.
	Shares []int `yaml:"Shares"`
	// QueueLimit bounds the sub-requests that wait for one backend server.
	QueueLimit int `yaml:"QueueLimit"`
	// QueueTarget is the queue wait above which whole queries are shed.
	QueueTarget time.Duration `yaml:"QueueTarget"`
	// ShedByCohort enables the shedding of whole queries at the root, the VM that received the query.
	ShedByCohort bool `yaml:"ShedByCohort"`
}

// Member configures how VMs detect failed VMs by probes and gossip.
type Member struct {
	// ProbeEvery is the time between two probes.
	ProbeEvery time.Duration `yaml:"ProbeEvery"`
	// ProbeTimeout is how long a probe may take before other VMs are asked to probe the same VM.
	ProbeTimeout time.Duration `yaml:"ProbeTimeout"`
	// SuspectFor is how long a suspect VM may refute the suspicion before it counts as dead.
	SuspectFor time.Duration `yaml:"SuspectFor"`
}

// Stop configures the graceful shutdown.
type Stop struct {
	// BalancerWait is how long the VM keeps serving after it reports that it is not ready.
	BalancerWait time.Duration `yaml:"BalancerWait"`
	// DrainTimeout bounds the wait for requests in flight at shutdown.
	DrainTimeout time.Duration `yaml:"DrainTimeout"`
}

// Log configures the JSON log on standard output.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"Level" validate:"oneof=debug info warn error"`
}
